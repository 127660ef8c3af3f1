//! Limit of the process on open files, which includes sockets.

use super::*;

/// Maximum number of open files that the process needs: per caller connection two for the
/// connection and two for an attempt, two per connection of the other listeners, and some of its
/// own.
const REQUIRED_FILES: u64 = 4 * Limits::CALLERS.connections as u64
    + 2 * Limits::UPSTREAMS.connections as u64
    + 2 * Limits::OPERATORS.connections as u64
    + 256;

/// Raises the soft limit to the hard limit.
pub(crate) fn raise() {
    use rustix::process::{Resource, getrlimit, setrlimit};
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = limit.maximum;
    if let Err(error) = setrlimit(Resource::Nofile, limit) {
        log::warn!("cannot raise the limit on open files: {error}");
    }
    let current = getrlimit(Resource::Nofile).current;
    if let Some(current) = current.filter(|current| *current < REQUIRED_FILES) {
        log::warn!(files = current, needed = REQUIRED_FILES; "the limit on open files is too low");
    }
}
