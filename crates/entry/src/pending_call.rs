use super::*;

/// A call received by this daemon that has not been answered.
#[derive(Debug, Clone)]
pub(crate) struct PendingCall {
    pub(crate) call: Call,
    /// When its client stops waiting.
    pub(crate) until: Time,
    /// Daemon that it was last sent to, and when.
    pub(crate) sent: Option<(Name, Time)>,
    /// Daemons that have not answered, and how often it was sent to each. Any of them may have
    /// carried it out, or may still do so.
    unanswered: BTreeMap<Name, u32>,
}

impl PendingCall {
    /// Rate of the slowest link between daemons: 2 Mbit/s.
    const SLOWEST_LINK_BYTES_PER_S: u32 = 250_000;

    pub(crate) fn new(call: Call, until: Time) -> Self {
        Self { call, until, sent: None, unanswered: BTreeMap::new() }
    }

    /// Time that the slowest link takes to carry the call: a copy that is sent earlier only adds to what
    /// the link has to carry.
    pub(crate) fn transfer_time(&self) -> Duration {
        let bytes = match &self.call {
            Call::Configure(config) => config.text.len(),
            _ => 0,
        };
        Duration::from_secs(bytes as u64) / Self::SLOWEST_LINK_BYTES_PER_S
    }

    /// Whether some daemon may have carried it out, or may still do so.
    pub(crate) fn may_have_run(&self) -> bool {
        !self.unanswered.is_empty()
    }

    pub(crate) fn record_sent(&mut self, now: Time, to: Name) {
        *self.unanswered.entry(to.clone()).or_default() += 1;
        self.sent = Some((to, now));
    }

    /// Records the answer of `from` to one of the requests sent there.
    pub(crate) fn record_answer(&mut self, from: &Name) {
        if let Some(count) = self.unanswered.get_mut(from) {
            *count -= 1;
            if *count == 0 {
                self.unanswered.remove(from);
            }
        }
    }
}
