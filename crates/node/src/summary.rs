use super::*;

/// Summary of a maintenance wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Its state.
    pub standing: fleet::Standing,
    /// Number of instances by progress.
    pub counts: BTreeMap<Name, usize>,
    /// Fleet time from its start to its end, or to now if it has not ended.
    pub elapsed: Duration,
    /// Estimated remaining time.
    pub estimate: Option<Duration>,
    /// What it is waiting for.
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
