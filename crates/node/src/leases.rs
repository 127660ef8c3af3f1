use super::*;

/// Leases of announced instances with their expiry, tracked by the leader. A new leader starts
/// every lease afresh.
#[derive(Debug, Default)]
pub(crate) struct Leases(BTreeMap<Name, Time>);

impl Leases {
    /// Time after which a lease expires unless it is renewed.
    pub(crate) const DURATION: Duration = Duration::from_millis(2500);

    pub(crate) fn renew(&mut self, now: Time, instance: Name) {
        self.0.insert(instance, now + Self::DURATION);
    }

    pub(crate) fn remove(&mut self, instance: &Name) {
        self.0.remove(instance);
    }

    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    /// Removes and returns the instances whose lease has expired.
    pub(crate) fn take_expired(&mut self, now: Time) -> Vec<Name> {
        let expired = self.0.extract_if(.., |_, until| *until <= now);
        expired.map(|(instance, _)| instance).collect()
    }
}
