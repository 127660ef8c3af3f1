use super::*;

/// One problem with its place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// File as the reader named it.
    pub file: String,
    /// Line, counted from 1; 0 where the whole file is meant.
    pub line: u32,
    /// Section, where there is one.
    pub section: Option<String>,
    /// Key, where there is one.
    pub key: Option<String>,
    /// What is wrong.
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
