use super::*;

/// A wave in numbers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Its state.
    pub standing: fleet::Standing,
    /// Instances by how far the wave is with them.
    pub counts: BTreeMap<Name, usize>,
    /// Fleet time since its start, until its end if it has ended.
    pub elapsed: Duration,
    /// Expected time until its end.
    pub estimate: Option<Duration>,
    /// What it waits for.
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
