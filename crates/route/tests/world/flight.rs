/// An attempt on its way.
pub struct Flight {
    pub daemon: usize,
    pub boot: u64,
    pub attempt: route::Attempt,
    /// Whether it has reached its upstream.
    pub reached: bool,
}

impl Flight {
    pub fn new(daemon: usize, boot: u64, attempt: route::Attempt) -> Self {
        Self { daemon, boot, attempt, reached: false }
    }
}
