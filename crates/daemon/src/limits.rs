use super::*;

/// Bounds of one HTTP edge.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    /// Connections open at once; further ones are refused.
    pub(crate) connections: usize,
    /// Longest wait for the next byte of a client.
    pub(crate) read_timeout: Duration,
    /// Longest wait for a client to take the next bytes of its answer.
    pub(crate) write_timeout: Duration,
}

impl Limits {
    /// Bounds of the callers' edge.
    pub(crate) const CALLERS: Self = Self {
        connections: 512,
        read_timeout: Duration::from_secs(10),
        write_timeout: Duration::from_secs(10),
    };

    /// Bounds of the upstreams' edge.
    pub(crate) const UPSTREAMS: Self = Self { connections: 256, ..Self::CALLERS };

    /// Bounds of the operators' edge.
    pub(crate) const OPERATORS: Self = Self { connections: 64, ..Self::CALLERS };
}
