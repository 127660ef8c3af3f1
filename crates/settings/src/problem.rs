use super::*;

/// What is wrong at a place.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Problem {
    /// Line that is neither a section, a key with a value, a comment, nor blank.
    #[display("cannot read line `{_0}`")]
    Syntax(String),
    /// Key before the first section.
    #[display("key stands before the first section")]
    Orphan,
    /// Section that does not exist.
    #[display("unknown section")]
    UnknownSection,
    /// Key that the section does not have.
    #[display("unknown key")]
    UnknownKey,
    /// Section that stands twice.
    #[display("section was given before, at line {_0}")]
    DuplicateSection(u32),
    /// Key that stands twice in its section.
    #[display("key was given before, at line {_0}")]
    DuplicateKey(u32),
    /// Section that must be there.
    #[display("section is missing")]
    MissingSection,
    /// Key that must be there.
    #[display("key is missing")]
    MissingKey,
    /// Value that cannot be read.
    #[display("{_0}")]
    Value(String),
}
