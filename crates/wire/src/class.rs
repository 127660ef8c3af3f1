/// Class of a frame between daemons: each has its own queue and stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Small, and correct also if it arrives before bulk that was sent earlier.
    Urgent,
    /// Large, or to be received after other bulk.
    Bulk,
}

impl Class {
    /// All classes, in the order of their streams.
    pub const ALL: [Self; 2] = [Self::Urgent, Self::Bulk];

    /// Name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Bulk => "bulk",
        }
    }

    /// Priority of the stream; higher ones are sent first.
    pub(crate) fn priority(self) -> i32 {
        match self {
            Self::Urgent => 1,
            Self::Bulk => 0,
        }
    }
}
