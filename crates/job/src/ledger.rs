//! Counts the resources of every attempt by organisation, from the proposal of its claim until its
//! end is committed. An attempt counts wherever it is in between, also while it is unknown if it
//! runs, so that what runs can never exceed what is counted.

use super::*;

/// Resources at work by organisation, over all pools.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    /// What each attempt counts for.
    charges: Map<(TaskId, AttemptNumber), Charge>,
    /// Sums of the charges by organisation.
    accounts: Map<Name, Account>,
    /// Sum of the charges of jobs without an organisation.
    anonymous: Resources,
    /// A group by organisation that exceeds the limit and has waited too long. Nothing else starts
    /// for the organisation, so that its usage gets to zero and a task of the group may start.
    next_alone: BTreeMap<Name, GroupId>,
}

/// Sums of the charges of an organisation.
#[derive(Debug, Default)]
struct Account {
    usage: Resources,
    /// Number of long-lived attempts.
    long_lived: usize,
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
        let std::collections::hash_map::Entry::Vacant(vacant) = self.charges.entry((task, number))
        else {
            return;
        };
        match &charge.organisation {
            Some(name) => {
                let account = match self.accounts.get_mut(name) {
                    Some(account) => account,
                    None => self.accounts.entry(name.clone()).or_default(),
                };
                account.usage += charge.size;
                account.long_lived += usize::from(charge.long_lived);
            }
            None => self.anonymous += charge.size,
        }
        vacant.insert(charge);
    }

    /// Stops counting an attempt.
    pub(crate) fn remove(&mut self, task: TaskId, number: AttemptNumber) {
        let Some(charge) = self.charges.remove(&(task, number)) else { return };
        let Some(name) = charge.organisation else {
            self.anonymous = self.anonymous.saturating_sub(charge.size);
            return;
        };
        if let Some(account) = self.accounts.get_mut(&name) {
            account.usage = account.usage.saturating_sub(charge.size);
            account.long_lived -= usize::from(charge.long_lived);
        }
    }

    /// Resources at work for an organisation, or for jobs without one.
    pub(crate) fn at_work(&self, organisation: Option<&Name>) -> Resources {
        let Some(name) = organisation else { return self.anonymous };
        self.accounts.get(name).map(|account| account.usage).unwrap_or_default()
    }

    /// Resources at work of each organisation that has any.
    pub(crate) fn by_organisation(&self) -> BTreeMap<Name, Resources> {
        let accounts = self.accounts.iter().map(|(name, account)| (name.clone(), account.usage));
        accounts.filter(|(_, usage)| *usage != Resources::default()).collect()
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

    /// Number of tasks of `group` that the limit of an organisation allows to start now; for a gang,
    /// all or none. One task that exceeds the limit by itself may start while nothing else is at
    /// work, since an accepted job must end after the limit was lowered.
    pub(crate) fn admitted(
        &self,
        name: &Name,
        organisation: &Organisation,
        group_id: GroupId,
        group: &Group,
    ) -> u64 {
        if self.next_alone.get(name).is_some_and(|next| *next != group_id) {
            return 0;
        }
        let room = self.room(name, organisation);
        if group.is_gang() {
            let fits = group.smallest_start().fits(room);
            return if fits { u64::from(group.count) } else { 0 };
        }
        let is_alone = || self.at_work(Some(name)) == Resources::default();
        match room.capacity_for(group.size) {
            0 if is_alone() => 1,
            tasks => tasks,
        }
    }

    /// Lets a group be the next of its organisation, unless another one is or a long-lived task of
    /// the organisation is at work, with which the usage never gets to zero.
    pub(crate) fn start_alone(&mut self, name: &Name, group_id: GroupId) {
        if self.accounts.get(name).is_none_or(|account| account.long_lived == 0) {
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
