use super::*;

/// Evidence that a task crashes the instances that run it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crashes {
    /// Instances that crashed soon after the task had started there.
    pub proven: u8,
    /// Instances that ended when the task may have run there, or had run there for long.
    pub possible: u8,
}

impl Crashes {
    /// Proven crashes after which a task is given up.
    const MAX_PROVEN: u8 = 3;
    /// The same if no other job was on board at the last one.
    const MAX_PROVEN_ALONE: u8 = 2;
    /// Proven and possible crashes after which a task is given up. Two further starts are allowed
    /// after the third crash.
    const MAX: u8 = 5;
    /// Time after which the evidence against a continuous task expires, in milliseconds.
    pub(crate) const VALIDITY_MS: UnixMs = 3_600_000;

    /// Adds what the end of an attempt shows. `since` is the time since the evidence before, for a
    /// task whose evidence expires.
    pub(crate) fn record(&mut self, reason: EndReason, since: Option<UnixMs>) {
        if since.is_some_and(|since| since > Self::VALIDITY_MS) {
            *self = Self::default();
        }
        match reason {
            EndReason::Crashed { .. } => self.proven = self.proven.saturating_add(1),
            EndReason::Vanished => self.possible = self.possible.saturating_add(1),
            _ => {}
        }
    }

    /// Whether the task must not run beside tasks of other jobs.
    pub(crate) fn is_suspect(&self) -> bool {
        self.proven > 0 || self.possible > 1
    }

    /// Whether the task is given up after an attempt that ended for `reason`.
    pub(crate) fn is_given_up(&self, reason: EndReason) -> bool {
        let alone = reason == EndReason::Crashed { alone: true };
        self.proven >= Self::MAX_PROVEN
            || alone && self.proven >= Self::MAX_PROVEN_ALONE
            || self.proven.saturating_add(self.possible) >= Self::MAX
    }
}
