//! Counts the connections of this process by its own file descriptors. The kernel's tables of all
//! connections give the same count, but reading them takes milliseconds on an instance with large
//! tables.

use {
    super::*,
    std::os::fd::{BorrowedFd, RawFd},
};

/// Directory with a link for each open file descriptor of this process.
const DESCRIPTORS: &str = "/proc/self/fd";

/// Number of open connections whose local port is `port`; 0 if descriptors cannot be listed.
pub(crate) fn count(port: u16) -> usize {
    let Ok(entries) = fs::read_dir(DESCRIPTORS) else { return 0 };
    let names = entries.filter_map(|entry| Some(entry.ok()?.file_name()));
    let descriptors = names.filter_map(|name| name.to_str()?.parse().ok());
    descriptors.filter(|descriptor| is_connection(*descriptor, port)).count()
}

/// Whether `descriptor` is a connection with the local port `port`.
fn is_connection(descriptor: RawFd, port: u16) -> bool {
    // SAFETY: the descriptor was listed as open, and is only queried for its addresses. If another
    // thread closes it in the meantime, the queries fail or concern another socket of this process;
    // nothing is read, written or closed through it.
    let borrowed = unsafe { BorrowedFd::borrow_raw(descriptor) };
    let socket = socket2::SockRef::from(&borrowed);
    let local = socket.local_addr().ok().and_then(|address| address.as_socket());
    local.is_some_and(|address| address.port() == port) && socket.peer_addr().is_ok()
}
