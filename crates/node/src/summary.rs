use super::*;

/// Summary of a maintenance wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// State of the wave.
    pub standing: fleet::Standing,
    /// Number of its instances by [`fleet::Progress`].
    pub counts: BTreeMap<Name, usize>,
    /// Time from the start of the wave to its end, or to now if it has not ended, in fleet time.
    pub elapsed: Duration,
    /// Estimated time until the wave finishes; `None` before the first instance is done.
    pub estimate: Option<Duration>,
    /// What the wave is waiting for.
    pub wait: Option<Name>,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{} after {} s:", self.standing, self.elapsed.as_secs())?;
        for (i, (progress, count)) in self.counts.iter().enumerate() {
            let separator = if i == 0 { "" } else { "," };
            write!(f, "{separator} {count} {progress}")?;
        }
        match self.estimate {
            Some(left) if !left.is_zero() => write!(f, "; about {} s to go", left.as_secs())?,
            _ => {}
        }
        self.wait.iter().try_for_each(|wait| write!(f, "; {wait}"))
    }
}
