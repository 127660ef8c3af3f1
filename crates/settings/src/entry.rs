/// A key with its value and line number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Line number, counted from 1.
    pub line: u32,
    /// Name of the key.
    pub key: String,
    /// Value, with surrounding white space trimmed.
    pub value: String,
}
