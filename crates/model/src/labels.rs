use super::*;

/// Labels of an instance or worker, by key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deref, From, Serialize, Deserialize)]
pub struct Labels(BTreeMap<Name, Name>);

impl Labels {
    /// Sets `key` to `value`, replacing any earlier value.
    pub fn set(&mut self, key: Name, value: Name) {
        self.0.insert(key, value);
    }

    /// Removes `key`, if present.
    pub fn remove(&mut self, key: &str) {
        self.0.remove(key);
    }

    /// Adds every label of `other`; its values replace existing ones.
    pub fn merge(&mut self, other: &Labels) {
        for (key, value) in &other.0 {
            self.set(key.clone(), value.clone());
        }
    }
}

impl FromStr for Labels {
    type Err = Error;

    /// Parses `key=value, key=value`.
    fn from_str(text: &str) -> Result<Self> {
        let mut labels = Labels::default();
        for term in text.split(',').map(str::trim).filter(|term| !term.is_empty()) {
            let Some((key, value)) = term.split_once('=') else {
                return Err(Error::Label { label: term.into() });
            };
            labels.set(name(key.trim())?, name(value.trim())?);
        }
        Ok(labels)
    }
}

impl fmt::Display for Labels {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        join(f, self.0.iter().map(|(key, value)| format!("{key}={value}")))
    }
}

/// Writes `terms`, separated by commas.
pub(crate) fn join<T: fmt::Display>(
    f: &mut Formatter,
    terms: impl IntoIterator<Item = T>,
) -> fmt::Result {
    for (i, term) in terms.into_iter().enumerate() {
        let separator = if i == 0 { "" } else { ", " };
        write!(f, "{separator}{term}")?;
    }
    Ok(())
}

/// Validates a name.
pub(crate) fn name(text: &str) -> Result<Name> {
    let valid = |c: char| c.is_ascii_alphanumeric() || "._-/".contains(c);
    if text.is_empty() || text.len() > Config::MAX_NAME_BYTES || !text.chars().all(valid) {
        return Err(Error::Name { name: text.into() });
    }
    Ok(text.into())
}
