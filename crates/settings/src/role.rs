use super::*;

/// Role of a daemon in consensus.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Role {
    /// Votes, and stores the log on disk.
    #[display("voter")]
    Voter,
    /// Receives the log, but does not vote.
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
