use super::*;

/// A queue of jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: Name,
    /// Host of its address.
    pub host: Name,
    /// Prefix of its paths.
    pub prefix: Name,
    /// Pool whose instances run its tasks.
    pub pool: Name,
    /// 0 comes first.
    pub priority: u8,
    /// Failed attempts at a task after which its job has failed.
    pub max_attempts: u32,
    /// How much longer than its longest chain of tasks a job may take, in thousandths.
    pub stretch_permille: u32,
    /// How much longer still.
    pub slack: Duration,
    /// How its policy is asked on which instances a group may run; `None` where it may on any.
    pub admission: Option<AdmissionPolicy>,
}

impl Queue {
    /// Time within which a job with this longest chain is wanted.
    pub fn objective(&self, critical_path: Duration) -> Duration {
        critical_path * self.stretch_permille / 1000 + self.slack
    }
}
