use super::*;

/// A section of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// Line number of the header, counted from 1.
    pub line: u32,
    /// First word of the header.
    pub kind: String,
    /// Rest of the header, empty if there is none.
    pub name: String,
    /// Entries, in file order.
    pub entries: Vec<Entry>,
}

impl Section {
    /// The header without its brackets.
    pub fn header(&self) -> String {
        format!("{} {}", self.kind, self.name).trim().into()
    }
}
