//! Connections of this process, as its own descriptors show them. The kernel's tables of all
//! connections would tell as much, but cost milliseconds a look on an instance with large tables.

use {
    super::*,
    std::os::fd::{BorrowedFd, RawFd},
};

/// Folder with a link for each open descriptor of this process.
const DESCRIPTORS: &str = "/proc/self/fd";

/// Open connections whose local port is `port`; 0 where descriptors cannot be listed.
pub(crate) fn count(port: u16) -> usize {
    let Ok(entries) = fs::read_dir(DESCRIPTORS) else { return 0 };
    let names = entries.filter_map(|entry| Some(entry.ok()?.file_name()));
    let descriptors = names.filter_map(|name| name.to_str()?.parse().ok());
    descriptors.filter(|descriptor| is_connection(*descriptor, port)).count()
}

/// Whether `descriptor` is a connection with the local port `port`.
fn is_connection(descriptor: RawFd, port: u16) -> bool {
    // SAFETY: the descriptor was listed as open, and is asked for its addresses alone. If another
    // thread closes it meanwhile, the questions fail or concern another socket of this process;
    // nothing is read, written or closed through it.
    let borrowed = unsafe { BorrowedFd::borrow_raw(descriptor) };
    let socket = socket2::SockRef::from(&borrowed);
    let local = socket.local_addr().ok().and_then(|address| address.as_socket());
    local.is_some_and(|address| address.port() == port) && socket.peer_addr().is_ok()
}
