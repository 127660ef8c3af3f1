//! What the organisations use, for reports and for the order among them.

use super::*;

impl Scheduler {
    /// Resources of the attempts without a committed end, by organisation. Each attempt counts in
    /// full from the time its claim is proposed, also if it is best-effort or being stopped.
    pub fn usage_by_organisation(&self) -> BTreeMap<Name, Resources> {
        self.ledger.by_organisation()
    }

    /// Capacity of all instances on which attempts may be placed.
    pub fn usable_capacity(&self, now: Time) -> Resources {
        let usable = self.instances.values().filter(|instance| instance.is_usable(now));
        let announced = usable.filter_map(|instance| instance.announcement.as_ref());
        let mut capacity = Resources::default();
        announced.for_each(|announcement| capacity += announcement.capacity);
        capacity
    }
}
