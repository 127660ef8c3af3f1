use super::*;

/// Limits of one HTTP listener.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    /// Maximum number of open connections; further ones are refused.
    pub(crate) connections: usize,
    /// Maximum wait for the next bytes from a client.
    pub(crate) read_timeout: Duration,
    /// Maximum wait for a client to accept further bytes of its answer.
    pub(crate) write_timeout: Duration,
}

impl Limits {
    /// Limits of the listener for callers.
    pub(crate) const CALLERS: Self = Self {
        connections: 512,
        read_timeout: Duration::from_secs(10),
        write_timeout: Duration::from_secs(10),
    };

    /// Limits of the listener for upstreams.
    pub(crate) const UPSTREAMS: Self = Self { connections: 256, ..Self::CALLERS };

    /// Limits of the listener for operators.
    pub(crate) const OPERATORS: Self = Self { connections: 64, ..Self::CALLERS };
}
