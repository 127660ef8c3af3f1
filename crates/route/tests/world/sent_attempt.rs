/// An attempt in progress.
pub struct SentAttempt {
    pub daemon: usize,
    /// Boot id of the daemon that sent it.
    pub boot: u64,
    pub attempt: route::Attempt,
    /// Whether it has reached its upstream.
    pub reached: bool,
}

impl SentAttempt {
    pub fn new(daemon: usize, boot: u64, attempt: route::Attempt) -> Self {
        Self { daemon, boot, attempt, reached: false }
    }
}
