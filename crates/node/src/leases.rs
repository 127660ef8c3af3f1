use super::*;

/// Leases of the announcements, as the leader keeps them. A new leader starts every lease anew.
#[derive(Debug, Default)]
pub(crate) struct Leases(BTreeMap<Name, Time>);

impl Leases {
    /// How long an announcement lasts without a renewal.
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

    /// Takes the instances whose lease has run out.
    pub(crate) fn take_lapsed(&mut self, now: Time) -> Vec<Name> {
        let lapsed = self.0.extract_if(.., |_, until| *until <= now);
        lapsed.map(|(instance, _)| instance).collect()
    }
}
