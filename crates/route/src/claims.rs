use super::*;

/// Claims by key. Replicated: they change only by commands from the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// Log time, which [`Command::Tick`] advances. It is the same on every daemon and never runs
    /// ahead of real time.
    clock: Duration,
    /// Sequence number of the last claim.
    sequence: u64,
    held: BTreeMap<Name, Entry>,
    /// Keys by sequence number, the oldest claim first.
    order: BTreeMap<u64, Name>,
}

/// A claim with its sequence number and the log time at which it was made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    claim: Claim,
    sequence: u64,
    at: Duration,
}

impl Claims {
    /// Log time after which a claim is dropped.
    pub const RETENTION: Duration = Duration::from_secs(15 * 60);

    /// Maximum number of claims; further ones are refused.
    pub const MAX_CLAIMS: usize = 262_144;

    /// Log time.
    pub fn clock(&self) -> Duration {
        self.clock
    }

    /// Number of claims.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// The claim on `key`.
    pub fn get(&self, key: &Name) -> Option<&Claim> {
        self.held.get(key).map(|entry| &entry.claim)
    }

    /// Decides on a claim. Returns `None` if the same request holds the key already: its decision
    /// was returned when the claim was first applied.
    pub(crate) fn claim(&mut self, claim: Claim) -> Option<ClaimDecision> {
        let result = match self.held.get(&claim.key) {
            Some(entry) if entry.claim.same_holder(&claim) => return None,
            Some(entry) => entry
                .claim
                .mismatch(&claim)
                .map_or_else(|| ClaimResult::Taken(entry.claim.clone()), ClaimResult::Mismatch),
            None if self.held.len() >= Self::MAX_CLAIMS => ClaimResult::Full,
            None => {
                self.insert(claim.clone());
                ClaimResult::Granted
            }
        };
        Some(ClaimDecision { claim, result })
    }

    fn insert(&mut self, claim: Claim) {
        self.sequence += 1;
        let (key, sequence, at) = (claim.key.clone(), self.sequence, self.clock);
        self.order.insert(sequence, key.clone());
        self.held.insert(key, Entry { claim, sequence, at });
    }

    /// Drops a claim, unless another request holds the key by now.
    pub(crate) fn release(&mut self, claim: &Claim) {
        let Some(entry) = self.held.get(&claim.key) else { return };
        if !entry.claim.same_holder(claim) {
            return;
        }
        self.order.remove(&entry.sequence);
        self.held.remove(&claim.key);
    }

    /// Advances the log time and drops expired claims. Ignored unless the log time is `from`, so
    /// that no time is counted twice.
    pub(crate) fn tick(&mut self, from: Duration, to: Duration) {
        if from != self.clock || to < from {
            return;
        }
        self.clock = to;
        while let Some(oldest) = self.order.first_entry() {
            let expires = self.held.get(oldest.get()).map(|entry| entry.at + Self::RETENTION);
            if expires.is_some_and(|at| at > self.clock) {
                return;
            }
            self.held.remove(&oldest.remove());
        }
    }
}
