use super::*;

/// What became of a request, as its daemon tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
    /// It has no final answer yet.
    Pending,
    /// It ran.
    Run(Answer),
    /// It certainly did not run, and its claim is given back.
    NotRun,
    /// It may have run, or its answer is no longer kept.
    Unknown(Reason),
}
