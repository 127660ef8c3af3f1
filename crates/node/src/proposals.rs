use super::*;

/// Proposals of this daemon that it has not seen applied yet.
#[derive(Debug)]
pub(crate) struct Proposals {
    origin: Name,
    boot: u64,
    sequence: u64,
    pending: BTreeMap<u64, Pending>,
}

impl Proposals {
    /// After which a proposal is repeated.
    pub(crate) const REPEAT: Duration = Duration::from_millis(400);
    /// After which whoever waits for a proposal is told that its outcome is unknown.
    const GIVE_UP: Duration = Duration::from_secs(10);

    pub(crate) fn new(origin: Name, boot: u64) -> Self {
        Self { origin, boot, sequence: 0, pending: BTreeMap::new() }
    }

    pub(crate) fn boot(&self) -> u64 {
        self.boot
    }

    /// Makes a proposal of `command`, and keeps it until it is applied.
    pub(crate) fn make(&mut self, now: Time, command: Command, caller: Option<Caller>) -> Proposal {
        self.sequence += 1;
        let (origin, boot, sequence) = (self.origin.clone(), self.boot, self.sequence);
        let proposal = Proposal { origin, boot, sequence, command };
        let pending = Pending { proposal: proposal.clone(), caller, proposed: now };
        self.pending.insert(sequence, pending);
        proposal
    }

    /// Forgets a proposal that was applied, and returns who waits for it.
    pub(crate) fn finish(&mut self, applied: &Proposal) -> Option<Caller> {
        if applied.origin != self.origin || applied.boot != self.boot {
            return None;
        }
        self.pending.remove(&applied.sequence)?.caller
    }

    /// Whether a step of the fleet's planner is under way.
    pub(crate) fn awaits_step(&self) -> bool {
        self.pending.values().any(|pending| {
            matches!(pending.proposal.command, Command::Fleet(fleet::Command::Step(_)))
        })
    }

    /// Proposals older than `age`.
    pub(crate) fn older(&self, now: Time, age: Duration) -> Vec<Proposal> {
        let due = self.pending.values().filter(|pending| pending.proposed + age <= now);
        due.map(|pending| pending.proposal.clone()).collect()
    }

    /// Forgets proposals that took too long, and returns who waits for them.
    pub(crate) fn give_up(&mut self, now: Time) -> Vec<Caller> {
        let old = self.pending.extract_if(.., |_, p| p.proposed + Self::GIVE_UP <= now);
        old.filter_map(|(_, pending)| pending.caller).collect()
    }
}
