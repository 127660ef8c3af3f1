//! Agreed rates of organisations. A token bucket for each organisation tells which of its jobs
//! exceed the rate. The buckets are replicated with the table, so a change of leader grants nobody a
//! second burst.

use super::*;

/// Token buckets by organisation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Rates {
    buckets: BTreeMap<Name, Bucket>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Bucket {
    /// Tokens in thousandths of a job.
    millitokens: u64,
    /// When they were counted.
    at: UnixMs,
}

/// Tokens that one job takes, in thousandths.
const JOB: u64 = 1000;
/// Depth of a bucket: the jobs that arrive in this time at the agreed rate, in milliseconds.
const DEPTH_MS: u64 = 1000;

impl Rates {
    /// Takes the token of a job that an organisation submits; returns whether there was none, so
    /// that the job exceeds the agreed rate.
    pub(crate) fn take(&mut self, name: &Name, organisation: &Organisation, at: UnixMs) -> bool {
        let millitokens = self.millitokens(name, organisation, at);
        let exceeds = millitokens < JOB;
        let left = if exceeds { millitokens } else { millitokens - JOB };
        self.buckets.insert(name.clone(), Bucket { millitokens: left, at });
        exceeds
    }

    /// Whether the next job of an organisation exceeds its agreed rate.
    pub(crate) fn is_exceeded(&self, name: &Name, organisation: &Organisation, at: UnixMs) -> bool {
        self.millitokens(name, organisation, at) < JOB
    }

    /// Drops the buckets of organisations that are no longer configured.
    pub(crate) fn retain(&mut self, organisations: &BTreeMap<Name, Organisation>) {
        self.buckets.retain(|name, _| organisations.contains_key(name));
    }

    fn millitokens(&self, name: &Name, organisation: &Organisation, at: UnixMs) -> u64 {
        let weight = u64::from(organisation.weight);
        let depth = weight * DEPTH_MS;
        let Some(bucket) = self.buckets.get(name) else { return depth };
        let gained = weight.saturating_mul(at.saturating_sub(bucket.at));
        bucket.millitokens.saturating_add(gained).min(depth)
    }
}
