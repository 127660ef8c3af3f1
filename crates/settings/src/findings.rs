use super::*;

/// All errors in a document, sorted by line.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Returns `value` if there are no findings, or else the findings sorted by line.
    pub(crate) fn into_result<T>(mut findings: Vec<Finding>, value: Option<T>) -> Result<T> {
        findings.sort_by_key(|finding| finding.line);
        value.filter(|_| findings.is_empty()).ok_or(Self(findings))
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            let separator = if i == 0 { "" } else { "\n" };
            write!(f, "{separator}{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
