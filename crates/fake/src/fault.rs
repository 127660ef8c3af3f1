use super::*;

/// What goes wrong with a request that a runner has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum Fault {
    /// The answer takes longer
    Slow,
    /// The answer is an error, at once
    FailFast,
    /// The answer ends before its stated length
    TruncateLength,
    /// The answer ends before its last chunk
    TruncateChunked,
    /// The answer has no length, and ends with the connection
    Close,
    /// The answer comes after everybody has given up
    Late,
    /// The connection is reset; concerns every request of the runner
    Reset,
    /// The process ends in the middle of the answer
    DieMidAnswer,
    /// The answer points to another place
    Redirect,
}

impl Fault {
    /// The bytes on the wire in place of an answer with `body`, where they are not that answer.
    pub(crate) fn distort(self, body: &str) -> Option<String> {
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
