use super::*;

/// Refused connections. They stay open for a moment, since closing a socket with unread bytes
/// resets the connection, and the client may then lose the answer.
#[derive(Debug, Default)]
pub(crate) struct RefusedConnections(VecDeque<(Instant, TcpStream)>);

/// The answer to a connection over the limit.
const ANSWER: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    Content-Type: application/json\r\n\
    Content-Length: 41\r\n\
    Connection: close\r\n\
    Retry-After: 1\r\n\
    Sardinevalve-Outcome: not-run\r\n\r\n\
    {\"error\":\"too many connections are open\"}";

/// Time for which a refused connection stays open.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Maximum number of refused connections that stay open.
const MAX_LINGERING: usize = 64;

impl RefusedConnections {
    /// Sends the refusal on `stream`, and closes older connections that have lingered long enough.
    pub(crate) fn push(&mut self, mut stream: TcpStream) {
        stream.set_nonblocking(true).ok();
        stream.write_all(ANSWER).ok();
        stream.shutdown(Shutdown::Write).ok();
        self.0.push_back((Instant::now(), stream));
        while self.0.len() > MAX_LINGERING || self.oldest_is_done() {
            let Some((_, mut stream)) = self.0.pop_front() else { return };
            let _ = stream.read(&mut [0; 4096]);
        }
    }

    fn oldest_is_done(&self) -> bool {
        self.0.front().is_some_and(|(since, _)| since.elapsed() > LINGER_TIME)
    }
}
