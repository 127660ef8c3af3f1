use super::*;

/// Durations of a stop, from the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// How long requests are served as before, so that the load balancer redirects callers.
    pub serving: Duration,
    /// Minimum time for which the daemon drains, so that requests on their way are answered.
    pub draining: Duration,
    /// Time from the signal until the platform kills the process; `None` if it does not.
    pub grace: Option<Duration>,
}
