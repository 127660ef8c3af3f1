//! What the organisations use. It is computed from all attempts at each call, for reports about
//! once per second.

use super::*;

impl Scheduler {
    /// Resources of the attempts without a committed end, by organisation. Each attempt counts in
    /// full from the time its claim is proposed, also if it is best-effort or being stopped.
    pub fn usage_by_organisation(&self, table: &Table) -> BTreeMap<Name, Resources> {
        let mut usage = BTreeMap::<Name, Resources>::new();
        for task in self.assigned.keys() {
            let Some(record) = table.jobs.get(&task.job) else { continue };
            let (Some(name), Some(group)) = (&record.organisation, record.group(*task)) else {
                continue;
            };
            match usage.get_mut(name) {
                Some(used) => *used += group.size,
                None => drop(usage.insert(name.clone(), group.size)),
            }
        }
        usage
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
