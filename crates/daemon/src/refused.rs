use super::*;

/// Connections that were refused. They stay open for a moment, since a socket that is closed with
/// unread bytes resets the connection, and the client may lose the answer.
#[derive(Debug, Default)]
pub(crate) struct Refused(VecDeque<(Instant, TcpStream)>);

/// The answer to a connection beyond the limit.
const ANSWER: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    Content-Type: application/json\r\n\
    Content-Length: 41\r\n\
    Connection: close\r\n\
    Retry-After: 1\r\n\
    Sardinevalve-Outcome: not-run\r\n\r\n\
    {\"error\":\"too many connections are open\"}";

/// How long a refused connection stays open.
const LINGER: Duration = Duration::from_millis(500);

/// Refused connections that stay open at once.
const MAX_LINGERING: usize = 64;

impl Refused {
    /// Answers on `stream`.
    pub(crate) fn push(&mut self, mut stream: TcpStream) {
        stream.set_nonblocking(true).ok();
        stream.write_all(ANSWER).ok();
        stream.shutdown(Shutdown::Write).ok();
        self.0.push_back((Instant::now(), stream));
        while self.0.len() > MAX_LINGERING || self.has_lingered() {
            let Some((_, mut stream)) = self.0.pop_front() else { return };
            let _ = stream.read(&mut [0; 4096]);
        }
    }

    fn has_lingered(&self) -> bool {
        self.0.front().is_some_and(|(since, _)| since.elapsed() > LINGER)
    }
}
