use super::*;

/// Configuration of a queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: Name,
    /// Value of the `Host` header of its callers.
    pub host: Name,
    /// Prefix of its request paths.
    pub prefix: Name,
    /// Whether callers need no key.
    pub anonymous: bool,
    /// Pool whose instances run its tasks.
    pub pool: Name,
    /// Priority; lower values are scheduled first and 0 is the highest.
    pub priority: u8,
    /// Number of failed attempts at a task after which its job fails.
    pub max_attempts: u32,
    /// Factor by which a job may exceed its critical path, in thousandths.
    pub stretch_permille: u32,
    /// Constant added to the time that a job may take.
    pub slack: Duration,
    /// Cost of asking the admission policy which instances a group may use; `None` if it may use
    /// any.
    pub admission: Option<AdmissionPolicy>,
}

impl Queue {
    /// Time within which a job with this critical path should be done.
    pub fn objective(&self, critical_path: Duration) -> Duration {
        critical_path * self.stretch_permille / 1000 + self.slack
    }
}
