use super::*;

/// Part of a daemon in the agreement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Role {
    /// Votes and keeps state on disk.
    #[display("voter")]
    Voter,
    /// Follows without a vote.
    #[display("observer")]
    Observer,
}

impl FromStr for Role {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "voter" => Ok(Self::Voter),
            "observer" => Ok(Self::Observer),
            _ => Err(format!("unknown role `{text}`: use `voter` or `observer`")),
        }
    }
}
