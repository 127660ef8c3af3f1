use super::*;

/// A section with its entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// Line of the header, counted from 1.
    pub line: u32,
    /// First word of the header.
    pub kind: String,
    /// Rest of the header, empty where there is none.
    pub name: String,
    /// Entries in the order written.
    pub entries: Vec<Entry>,
}

impl Section {
    /// The header as it reads without its brackets.
    pub fn header(&self) -> String {
        format!("{} {}", self.kind, self.name).trim().into()
    }
}
