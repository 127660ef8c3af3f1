use super::*;

/// Proposals of this daemon that it has not seen applied yet.
#[derive(Debug)]
pub(crate) struct Proposals {
    /// Name of this daemon.
    origin: Name,
    /// Identifies this start of the daemon.
    boot: u64,
    /// Sequence number of the latest proposal.
    sequence: u64,
    pending: BTreeMap<u64, PendingProposal>,
}

impl Proposals {
    /// Delay before a proposal is sent to the leader again. It doubles each time, since the leader may
    /// have the proposal and be late, and every copy becomes an entry of the log.
    const RETRY_DELAY: Duration = Duration::from_millis(400);
    /// Age after which the waiting call is told that the outcome is unknown.
    const TIMEOUT: Duration = Duration::from_secs(10);

    pub(crate) fn new(origin: Name, boot: u64) -> Self {
        Self { origin, boot, sequence: 0, pending: BTreeMap::new() }
    }

    pub(crate) fn boot(&self) -> u64 {
        self.boot
    }

    /// Creates a proposal of `command`, and keeps it until it is applied.
    pub(crate) fn create(
        &mut self,
        now: Time,
        command: Command,
        waiter: Option<Waiter>,
    ) -> Proposal {
        self.sequence += 1;
        let (origin, boot, sequence) = (self.origin.clone(), self.boot, self.sequence);
        let proposal = Proposal { origin, boot, sequence, command };
        let pending = PendingProposal {
            proposal: proposal.clone(),
            waiter,
            proposed: now,
            retry_at: now + Self::RETRY_DELAY,
            retry_delay: Self::RETRY_DELAY * 2,
        };
        self.pending.insert(sequence, pending);
        proposal
    }

    /// Removes a proposal that was applied, and returns the call that waits for it.
    pub(crate) fn finish(&mut self, applied: &Proposal) -> Option<Waiter> {
        if applied.origin != self.origin || applied.boot != self.boot {
            return None;
        }
        self.pending.remove(&applied.sequence)?.waiter
    }

    /// Whether a step of the fleet planner has been proposed but not applied yet.
    pub(crate) fn has_pending_step(&self) -> bool {
        self.pending.values().any(|pending| {
            matches!(pending.proposal.command, Command::Fleet(fleet::Command::Step(_)))
        })
    }

    /// Proposals that are due to be sent to the leader again.
    pub(crate) fn take_due(&mut self, now: Time) -> Vec<Proposal> {
        let due = self.pending.values_mut().filter(|pending| pending.retry_at <= now);
        let due = due.map(|pending| {
            pending.retry_at = now + pending.retry_delay;
            pending.retry_delay *= 2;
            pending.proposal.clone()
        });
        due.collect()
    }

    /// All proposals, to be sent to a new leader.
    pub(crate) fn restart(&mut self, now: Time) -> Vec<Proposal> {
        for pending in self.pending.values_mut() {
            pending.retry_at = now;
            pending.retry_delay = Self::RETRY_DELAY;
        }
        self.take_due(now)
    }

    /// Removes proposals that have timed out, and returns the calls that wait for them.
    pub(crate) fn take_timed_out(&mut self, now: Time) -> Vec<Waiter> {
        let old = self.pending.extract_if(.., |_, p| p.proposed + Self::TIMEOUT <= now);
        old.filter_map(|(_, pending)| pending.waiter).collect()
    }
}
