use {
    super::*,
    quorum::{Ballot, DiskId, Founders},
};

/// Message of the founding of a fleet, between a daemon that holds a ballot and the seeds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum FoundingMessage {
    /// Asks a seed to promise that it votes in no lower ballot.
    Prepare(Ballot),
    /// Answer to `Prepare`.
    Promise {
        /// The ballot of the `Prepare`.
        ballot: Ballot,
        /// Disk of the seed; `None` for a seed without one.
        disk: Option<DiskId>,
        /// Ballot of the seed's last vote, and the founders that it voted for.
        vote: Option<(Ballot, Founders)>,
    },
    /// Asks a seed to vote for these founders.
    Propose(Ballot, Founders),
    /// Answer to `Propose`: the seed has voted in the ballot.
    Vote(Ballot),
    /// Answer to `Prepare` or `Propose`: the seed has promised a higher ballot.
    Refuse(Ballot),
    /// A majority of the seeds has voted for these founders in one ballot.
    Chosen(Founders),
}
