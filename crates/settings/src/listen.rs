use super::*;

/// Addresses that a daemon listens on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// Address for callers, over HTTP.
    pub callers: SocketAddr,
    /// Address for upstreams, over HTTP.
    pub upstreams: SocketAddr,
    /// Address for operators, over HTTP.
    pub operators: SocketAddr,
}
