use super::*;

/// Access to the operators' interface.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operators {
    /// File with a line `NAME TOKEN` for each operator.
    pub tokens: PathBuf,
}
