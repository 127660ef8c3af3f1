use super::*;

/// A configuration as its operator sent it, not read yet: the form in which daemons pass it on, and
/// in which the log holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version that the text states.
    pub version: u64,
    /// The text.
    pub text: Arc<str>,
}

impl From<&Config> for Document {
    fn from(config: &Config) -> Self {
        Self { version: config.version, text: config.text.clone() }
    }
}
