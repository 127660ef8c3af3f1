//! Counts the resources of every attempt by organisation, from the proposal of its claim until its
//! end is committed. An attempt counts wherever it is in between, also while it is unknown if it
//! runs, so that what runs can never exceed what is counted.

use super::*;

/// Resources at work by organisation, over all pools.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    /// What each attempt counts for.
    charges: BTreeMap<(TaskId, AttemptNumber), Charge>,
    /// Sums of the charges by organisation.
    usage: BTreeMap<Name, Resources>,
    /// Sum of the charges of jobs without an organisation.
    anonymous: Resources,
    /// Number of long-lived attempts by organisation.
    long_lived: BTreeMap<Name, usize>,
    /// A group by organisation that exceeds the limit and has waited too long. Nothing else starts
    /// for the organisation, so that its usage gets to zero and a task of the group may start.
    next_alone: BTreeMap<Name, GroupId>,
}

/// What an attempt counts for in the [`Ledger`].
#[derive(Debug, Clone)]
pub(crate) struct Charge {
    organisation: Option<Name>,
    size: Resources,
    long_lived: bool,
}

impl Charge {
    /// Upper bound of each amount. Best-effort tasks may name any number of processors, and sums
    /// must not overflow.
    const MAX: u64 = 1 << 40;

    /// The charge of a task of `group`. It is the full size, also of a best-effort task, which
    /// reserves no processor time.
    pub(crate) fn new(record: &JobRecord, group: &Group) -> Self {
        let max =
            Resources { millicores: Self::MAX, memory_mb: Self::MAX, accelerators: Self::MAX };
        Self {
            organisation: record.organisation.clone(),
            size: group.size.min(max),
            long_lived: group.is_long_lived(),
        }
    }
}

impl Ledger {
    /// Counts an attempt, unless it is counted already.
    pub(crate) fn add(&mut self, task: TaskId, number: AttemptNumber, charge: Charge) {
        if self.charges.contains_key(&(task, number)) {
            return;
        }
        match &charge.organisation {
            Some(name) => {
                *self.usage.entry(name.clone()).or_default() += charge.size;
                *self.long_lived.entry(name.clone()).or_default() += usize::from(charge.long_lived);
            }
            None => self.anonymous += charge.size,
        }
        self.charges.insert((task, number), charge);
    }

    /// Stops counting an attempt.
    pub(crate) fn remove(&mut self, task: TaskId, number: AttemptNumber) {
        let Some(charge) = self.charges.remove(&(task, number)) else { return };
        let Some(name) = charge.organisation else {
            self.anonymous = self.anonymous.saturating_sub(charge.size);
            return;
        };
        if let Some(usage) = self.usage.get_mut(&name) {
            *usage = usage.saturating_sub(charge.size);
        }
        if let Some(long_lived) = self.long_lived.get_mut(&name) {
            *long_lived -= usize::from(charge.long_lived);
        }
    }

    /// Resources at work for an organisation, or for jobs without one.
    pub(crate) fn at_work(&self, organisation: Option<&Name>) -> Resources {
        let Some(name) = organisation else { return self.anonymous };
        self.usage.get(name).copied().unwrap_or_default()
    }

    /// What an organisation may still start; an amount without a limit is the maximum.
    pub(crate) fn room(&self, name: &Name, organisation: &Organisation) -> Resources {
        let (limit, usage) = (organisation.limit, self.at_work(Some(name)));
        let room =
            |limit: u64, usage| if limit == 0 { u64::MAX } else { limit.saturating_sub(usage) };
        Resources {
            millicores: room(limit.millicores, usage.millicores),
            memory_mb: room(limit.memory_mb, usage.memory_mb),
            accelerators: room(limit.accelerators, usage.accelerators),
        }
    }

    /// Whether the limit of an organisation allows one more task of `group`, or the whole gang. A
    /// task that exceeds the limit by itself may start while nothing else is at work, since an
    /// accepted job must end after the limit was lowered.
    pub(crate) fn admits(
        &self,
        name: &Name,
        organisation: &Organisation,
        group_id: GroupId,
        group: &Group,
    ) -> bool {
        if self.next_alone.get(name).is_some_and(|next| *next != group_id) {
            return false;
        }
        let idle = || self.at_work(Some(name)) == Resources::default();
        group.smallest_start().fits(self.room(name, organisation)) || !group.is_gang() && idle()
    }

    /// Lets a group be the next of its organisation, unless another one is or a long-lived task of
    /// the organisation is at work, with which the usage never gets to zero.
    pub(crate) fn start_alone(&mut self, name: &Name, group_id: GroupId) {
        if self.long_lived.get(name).is_none_or(|long_lived| *long_lived == 0) {
            self.next_alone.entry(name.clone()).or_insert(group_id);
        }
    }

    /// Drops the groups that need not be next any more.
    pub(crate) fn retain_alone(&mut self, is_needed: impl Fn(&Name, GroupId) -> bool) {
        self.next_alone.retain(|name, group_id| is_needed(name, *group_id));
    }

    /// Stops counting all attempts.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }
}
