use super::*;

/// Number of instances, absolute or as a percentage of those selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Quota {
    /// Absolute number of instances.
    #[display("{_0}")]
    Count(u32),
    /// Percentage of the selected instances.
    #[display("{_0}%")]
    Percent(u32),
}

impl Quota {
    /// Number of instances out of `total`, rounded up. An absolute number is not limited to
    /// `total`.
    pub fn resolve_ceil(self, total: u32) -> u32 {
        match self {
            Self::Count(count) => count,
            Self::Percent(percent) => (u64::from(total) * u64::from(percent))
                .div_ceil(100)
                .min(u64::from(u32::MAX)) as u32,
        }
    }

    /// Number of instances out of `total`, rounded down and limited to `total`.
    pub fn resolve_floor(self, total: u32) -> u32 {
        match self {
            Self::Count(count) => count.min(total),
            Self::Percent(percent) => (u64::from(total) * u64::from(percent) / 100) as u32,
        }
    }
}

impl FromStr for Quota {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let error = || Error::Quota { quota: text.into() };
        let Some(percent) = text.strip_suffix('%') else {
            return text.parse().map(Self::Count).map_err(|_| error());
        };
        match percent.trim().parse() {
            Ok(percent) if percent <= 100 => Ok(Self::Percent(percent)),
            _ => Err(error()),
        }
    }
}
