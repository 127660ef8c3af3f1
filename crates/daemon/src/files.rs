//! The bound of the process on open files, which sockets count towards.

use super::*;

/// Open files that the process needs at most: two for a connection of a client, two for an attempt,
/// and a few of its own.
const NEEDED: u64 = 4 * Limits::CALLERS.connections as u64
    + 2 * Limits::UPSTREAMS.connections as u64
    + 2 * Limits::OPERATORS.connections as u64
    + 256;

/// Raises the bound as far as the process may.
pub(crate) fn raise() {
    use rustix::process::{Resource, getrlimit, setrlimit};
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = limit.maximum;
    if let Err(error) = setrlimit(Resource::Nofile, limit) {
        log::warn!("cannot raise the bound on open files: {error}");
    }
    let current = getrlimit(Resource::Nofile).current;
    if let Some(current) = current.filter(|current| *current < NEEDED) {
        log::warn!(files = current, needed = NEEDED; "the bound on open files is too low");
    }
}
