use super::*;

/// A requirement of a job that cannot be met.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{requirement}: needs {need}, best is {best}")]
pub struct Lack {
    /// The requirement.
    pub requirement: Requirement,
    /// What the job needs.
    pub need: Name,
    /// The best that any worker, or the team's quota, offers.
    pub best: Name,
}

/// Kind of requirement.
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
    /// All amounts on the same worker.
    #[display("all at once")]
    Together,
    /// A configured team.
    #[display("team")]
    Team,
    /// Quota of the team.
    #[display("quota")]
    Quota,
    /// Number of jobs of the same group in a rack.
    #[display("spread")]
    Spread,
}

/// Formats `lacks` as one line.
pub(crate) fn list(lacks: &[Lack]) -> String {
    let lacks: Vec<_> = lacks.iter().map(ToString::to_string).collect();
    lacks.join("; ")
}
