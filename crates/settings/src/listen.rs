use super::*;

/// Where a daemon listens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// Callers, over HTTP.
    pub callers: SocketAddr,
    /// Upstreams, over HTTP.
    pub upstreams: SocketAddr,
    /// Operators, over HTTP.
    pub operators: SocketAddr,
}
