//! Connections of this instance, as the kernel counts them. A connection counts as long as its
//! socket is open here, whether or not the other side has closed its own.

use super::*;

/// Tables of the kernel, for either family of addresses.
const TABLES: [&str; 2] = ["/proc/self/net/tcp", "/proc/self/net/tcp6"];

/// States of a connection with an open socket: established, and closed by the other side.
const OPEN: [&str; 2] = ["01", "08"];

/// Open connections whose local port is `port`; 0 where the kernel has no such table.
pub(crate) fn count(port: u16) -> usize {
    let suffix = format!(":{port:04X}");
    let tables = TABLES.iter().filter_map(|path| fs::read_to_string(path).ok());
    tables.map(|table| table.lines().filter(|line| is_open(line, &suffix)).count()).sum()
}

/// Whether `line` is an open connection from a local address that ends in `suffix`.
fn is_open(line: &str, suffix: &str) -> bool {
    let mut fields = line.split_ascii_whitespace().skip(1);
    let local = fields.next().unwrap_or_default();
    let state = fields.nth(1).unwrap_or_default();
    local.ends_with(suffix) && OPEN.contains(&state)
}
