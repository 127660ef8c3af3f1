use super::*;

/// A line of the log of `sardinevalve-entry`. Fields that it does not have are ignored.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Line {
    pub(crate) at_ms: UnixMs,
    pub(crate) daemon: String,
    pub(crate) what: String,
    pub(crate) about: String,
    pub(crate) why: String,
    /// Lines left out before this one, of all kinds.
    pub(crate) dropped: u64,
}

impl Line {
    /// Parses a line. Text before the JSON object is ignored, such as a time and a process name.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        let line = serde_json::from_str::<Self>(object).ok()?;
        Some(line).filter(|line| !line.what.is_empty())
    }
}
