use super::*;

/// An error in a document, with its location.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Name of the file.
    pub file: String,
    /// Line number, counted from 1; 0 if the finding concerns the whole file.
    pub line: u32,
    /// Header of the section, if any.
    pub section: Option<String>,
    /// Name of the key, if any.
    pub key: Option<String>,
    /// Description of the error.
    pub problem: Problem,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if let Some(section) = &self.section {
            write!(f, "[{section}] ")?;
        }
        if let Some(key) = &self.key {
            write!(f, "`{key}`: ")?;
        }
        write!(f, "{}", self.problem)
    }
}
