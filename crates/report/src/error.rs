use super::*;

/// What can fail while reading a log or drawing a report.
#[derive(Debug, Display, From)]
pub enum Error {
    /// A log could not be read.
    #[display("cannot read the log: {_0}")]
    Read(std::io::Error),
    /// The image could not be drawn.
    #[display("cannot draw the report: {_0}")]
    Draw(String),
}

impl std::error::Error for Error {}
