use super::*;

/// A count of instances, or a share of those selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Quota {
    /// That many instances.
    #[display("{_0}")]
    Count(u32),
    /// That many of a hundred instances.
    #[display("{_0}%")]
    Percent(u32),
}

impl Quota {
    /// The count that this quota holds back of `total` instances, rounded up.
    pub fn resolve_ceil(self, total: u32) -> u32 {
        match self {
            Self::Count(count) => count,
            Self::Percent(percent) => (u64::from(total) * u64::from(percent))
                .div_ceil(100)
                .min(u64::from(u32::MAX)) as u32,
        }
    }

    /// The count that this quota allows of `total` instances, rounded down.
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
