use super::*;

/// Conditions on labels that must all be met. The empty selector matches nothing.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Selector(Vec<Requirement>);

impl Selector {
    /// Whether `labels` meet every condition.
    pub fn matches(&self, labels: &Labels) -> bool {
        !self.0.is_empty() && self.0.iter().all(|requirement| requirement.matches(labels))
    }

    /// The conditions, in the order in which they were written.
    pub fn requirements(&self) -> &[Requirement] {
        &self.0
    }

    fn term(text: &str, selector: &str) -> Result<Requirement> {
        let error = || Error::Term { term: text.into(), selector: selector.into() };
        let name = |text: &str| labels::name(text.trim()).map_err(|_| error());
        if let Some((key, value)) = text.split_once("!=") {
            return Ok(Requirement::Not(name(key)?, name(value)?));
        }
        if let Some((key, value)) = text.split_once('=') {
            return Ok(Requirement::Is(name(key)?, name(value)?));
        }
        Ok(Requirement::Has(name(text)?))
    }
}

impl FromStr for Selector {
    type Err = Error;

    /// Parses `key=value, key!=value, key`.
    fn from_str(text: &str) -> Result<Self> {
        let terms = text.split(',').map(str::trim).filter(|term| !term.is_empty());
        Ok(Self(terms.map(|term| Self::term(term, text)).collect::<Result<_>>()?))
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        labels::join(f, &self.0)
    }
}
