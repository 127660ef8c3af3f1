/// A key with its value and line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Line, counted from 1.
    pub line: u32,
    /// Key.
    pub key: String,
    /// Value without surrounding blanks.
    pub value: String,
}
