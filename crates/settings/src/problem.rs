use super::*;

/// Kind of error in a document.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Problem {
    /// The line is not a section, a key with a value, a comment or blank.
    #[display("cannot read line `{_0}`")]
    Syntax(String),
    /// The key is before the first section.
    #[display("key stands before the first section")]
    Orphan,
    /// There is no section of this kind.
    #[display("unknown section")]
    UnknownSection,
    /// The section has no such key.
    #[display("unknown key")]
    UnknownKey,
    /// The section is a duplicate of the one at this line.
    #[display("section was given before, at line {_0}")]
    DuplicateSection(u32),
    /// The key is a duplicate of the one at this line.
    #[display("key was given before, at line {_0}")]
    DuplicateKey(u32),
    /// A required section is missing.
    #[display("section is missing")]
    MissingSection,
    /// A required key is missing.
    #[display("key is missing")]
    MissingKey,
    /// The value is invalid, for the reason in this message.
    #[display("{_0}")]
    Value(String),
}
