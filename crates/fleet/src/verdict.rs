use super::*;

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "verdict")]
pub enum Verdict {
    /// It is accepted, and holds until a later change is accepted.
    #[display("accepted as revision {revision}")]
    Accepted {
        /// Its number.
        revision: Revision,
    },
    /// Another change came first.
    #[display("refused: `{author}` made revision {revision} with request `{request}`")]
    Conflict {
        /// Present revision.
        revision: Revision,
        /// Who made it.
        author: Name,
        /// Request that made it.
        request: Name,
    },
}
