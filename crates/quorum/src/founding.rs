use super::*;

/// Part that a daemon takes in the founding of a fleet, as it must be on disk before it answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Founding {
    /// The daemons that vote: the seeds at the first start. Later ones do not count, since the
    /// majorities of two lists could choose differently.
    pub seeds: BTreeSet<Name>,
    /// Highest ballot that this daemon has promised or held.
    pub ballot: Ballot,
    /// Ballot of its last vote, and the founders that it voted for.
    pub vote: Option<(Ballot, Founders)>,
}
