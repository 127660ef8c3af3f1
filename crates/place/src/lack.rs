use super::*;

/// A requirement of a job that no worker meets.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{requirement}: needs {need}, best is {best}")]
pub struct Lack {
    /// Which requirement.
    pub requirement: Requirement,
    /// What the job needs.
    pub need: Name,
    /// The best that there is.
    pub best: Name,
}

/// A kind of requirement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Requirement {
    /// Labels of the worker.
    #[display("labels")]
    Labels,
    /// Processors of one worker.
    #[display("processors")]
    Processors,
    /// Memory of one worker.
    #[display("memory")]
    Memory,
    /// Accelerators of one worker.
    #[display("accelerators")]
    Accelerators,
    /// All of them on the same worker.
    #[display("all at once")]
    Together,
    /// Team that has a quota.
    #[display("team")]
    Team,
    /// Quota of the team.
    #[display("quota")]
    Quota,
    /// Jobs of its group in a rack.
    #[display("spread")]
    Spread,
}

/// Lacks in one line.
pub(crate) fn list(lacks: &[Lack]) -> String {
    let lacks: Vec<_> = lacks.iter().map(ToString::to_string).collect();
    lacks.join("; ")
}
