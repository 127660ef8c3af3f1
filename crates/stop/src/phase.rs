/// Phase of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Not ready; connections and requests are taken as before.
    Serving,
    /// No connections are taken, and each is closed after the answer to its last request.
    Draining,
    /// The process ends, whether every request is answered or not.
    Over,
}
