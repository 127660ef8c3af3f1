use super::*;

/// Fault injected into the answer to a request that an upstream has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum Fault {
    /// The answer is delayed by the time of `--fault-ms`
    Slow,
    /// The answer is status 500, at once
    FailFast,
    /// The answer ends before its `Content-Length`
    TruncateLength,
    /// The answer ends before its last chunk
    TruncateChunked,
    /// The answer has no length and ends when the connection is closed
    Close,
    /// Like `slow`, to be used with a delay longer than every deadline
    Late,
    /// The connection is reset, for every request of the upstream
    Reset,
    /// The process exits in the middle of the answer
    DieMidAnswer,
    /// The answer is a redirect
    Redirect,
}

impl Fault {
    /// Bytes to write to the connection in place of a regular answer with `body`; `None` if the
    /// fault sends a regular answer.
    pub(crate) fn raw_response(self, body: &str) -> Option<String> {
        let (length, half) = (body.len(), &body[..body.len() / 2]);
        match self {
            Self::Slow | Self::Late | Self::FailFast => None,
            Self::Reset => Some(String::new()),
            Self::TruncateLength | Self::DieMidAnswer => {
                Some(format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{half}"))
            }
            Self::TruncateChunked => Some(format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{half}\r\n",
                half.len()
            )),
            Self::Close => Some(format!("HTTP/1.1 200 OK\r\n\r\n{body}")),
            Self::Redirect => Some(
                "HTTP/1.1 307 Temporary Redirect\r\nLocation: /elsewhere\r\n\
                 Content-Length: 0\r\n\r\n"
                    .into(),
            ),
        }
    }
}
