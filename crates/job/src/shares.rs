//! Order among organisations when a pool is full: weighted dominant resource fairness (Ghodsi et al.
//! 2011) by progressive filling.
//!
//! The share of an organisation is the largest of its shares of the processors, memory and
//! accelerators of all usable instances. Among groups of the same class, queue priority and state
//! (begun or not), the next group placed is one of the organisation whose share divided by its
//! weight is lowest, and then of the one with the best priority. The group is its most urgent one.
//! The shares are updated after each group, so that a pass cannot give all room to one organisation.
//! An organisation with weight 0 comes after those with a weight. Groups that can no longer meet their
//! objective are not ordered by shares, but by the time left until nobody waits for them any more.
//!
//! Jobs without an organisation are taken together as one more organisation, with the mean weight of
//! the configured ones and the middle priority. They are ordered by urgency among themselves. They
//! cannot starve, since their share is the lowest while they have little at work, and gain nothing by
//! their number. Jobs of an organisation that is no longer configured count among them.
//!
//! Without configured organisations, or with [`Mechanism::FairShares`] off, groups are placed in the
//! order of their keys alone.

use super::*;
use {
    planning::{Rank, ReadyGroup},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque, binary_heap::PeekMut},
    },
};

/// Groups that wait to be placed, in the order of the shares of their organisations.
pub(crate) struct Filling<'a> {
    /// Groups of the ranks that have not begun, in the order of their keys.
    rest: std::iter::Peekable<std::vec::IntoIter<ReadyGroup<'a>>>,
    /// `None` if the order is that of the keys alone.
    shares: Option<Shares<'a>>,
    /// Groups of the current rank, by member.
    waiting: Vec<VecDeque<ReadyGroup<'a>>>,
    /// Members with waiting groups; that of the group returned last stays at the top.
    next: BinaryHeap<Reverse<Turn>>,
}

/// Shares of the organisations in a planning pass. The members are the configured organisations in
/// the order of their names, and at the end the jobs without one.
pub(crate) struct Shares<'a> {
    capacity: Resources,
    members: Vec<Member<'a>>,
    positions: Map<&'a str, usize>,
}

struct Member<'a> {
    name: Option<&'a Name>,
    weight: u64,
    priority: u8,
}

/// Key by which the next member is chosen; the lowest one comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    share: u64,
    priority: u8,
    /// Time that the first waiting group has to spare.
    slack: u64,
    group_id: GroupId,
    member: usize,
}

/// Unit of weighted shares.
const PARTS_PER_BILLION: u64 = 1_000_000_000;

impl<'a> Shares<'a> {
    pub(crate) fn new(config: &'a Config, capacity: Resources) -> Self {
        let organisations = &config.organisations;
        let weights: u64 = organisations.values().map(|each| u64::from(each.weight)).sum();
        let mean = weights.div_ceil(organisations.len().max(1) as u64).max(1);
        let member = |(name, organisation): (&'a Name, &Organisation)| Member {
            name: Some(name),
            weight: organisation.weight.into(),
            priority: organisation.priority,
        };
        let anonymous = Member { name: None, weight: mean, priority: u8::MAX / 2 };
        let positions = organisations.keys().enumerate();
        Self {
            capacity,
            members: organisations.iter().map(member).chain([anonymous]).collect(),
            positions: positions.map(|(position, name)| (&**name, position)).collect(),
        }
    }

    fn position(&self, organisation: Option<&Name>) -> usize {
        let position = organisation.and_then(|name| self.positions.get(&**name));
        position.copied().unwrap_or(self.members.len() - 1)
    }

    /// Weighted dominant share of a member.
    fn share(&self, ledger: &Ledger, member: usize) -> u64 {
        let Member { name, weight, .. } = self.members[member];
        let usage = ledger.at_work(name);
        let share = |usage: u64, capacity: u64| {
            usage.saturating_mul(PARTS_PER_BILLION).checked_div(capacity).unwrap_or_default()
        };
        let dominant = share(usage.millicores, self.capacity.millicores)
            .max(share(usage.memory_mb, self.capacity.memory_mb))
            .max(share(usage.accelerators, self.capacity.accelerators));
        dominant.checked_div(weight).unwrap_or(u64::MAX)
    }

    /// Weighted dominant share of the organisation of a group.
    pub(crate) fn share_of(&self, ledger: &Ledger, group: &ReadyGroup) -> u64 {
        self.share(ledger, self.position(group.organisation_name()))
    }
}

impl<'a> Filling<'a> {
    /// `groups` are in the order of their keys.
    pub(crate) fn new(groups: Vec<ReadyGroup<'a>>, shares: Option<Shares<'a>>) -> Self {
        let members = shares.as_ref().map_or(0, |shares| shares.members.len());
        Self {
            rest: groups.into_iter().peekable(),
            shares,
            waiting: (0..members).map(|_| VecDeque::new()).collect(),
            next: BinaryHeap::new(),
        }
    }

    /// The next group to place, of those that `skip` is not true for. `placed` tells whether tasks of
    /// the last one were placed, so that the share of its organisation has changed.
    pub(crate) fn next(
        &mut self,
        ledger: &Ledger,
        placed: bool,
        skip: impl Fn(&ReadyGroup) -> bool,
    ) -> Option<ReadyGroup<'a>> {
        let Some(shares) = &self.shares else { return self.rest.find(|group| !skip(group)) };
        if placed && let Some(mut top) = self.next.peek_mut() {
            top.0.share = shares.share(ledger, top.0.member);
        }
        loop {
            if self.next.is_empty() {
                self.begin_rank(ledger, &skip);
            }
            let mut top = self.next.peek_mut()?;
            let Reverse(turn) = &mut *top;
            let waiting = &mut self.waiting[turn.member];
            while waiting.front().is_some_and(&skip) {
                waiting.pop_front();
            }
            match waiting.front() {
                Some(first) if first.group_id == turn.group_id => return waiting.pop_front(),
                Some(first) => (turn.slack, turn.group_id) = (first.slack(), first.group_id),
                None => drop(PeekMut::pop(top)),
            }
        }
    }

    /// Takes the groups of the next rank.
    fn begin_rank(&mut self, ledger: &Ledger, skip: impl Fn(&ReadyGroup) -> bool) {
        while self.rest.next_if(&skip).is_some() {}
        let (Some(shares), Some(first)) = (&self.shares, self.rest.peek()) else { return };
        let rank: Rank = first.rank();
        while let Some(group) = self.rest.next_if(|group| group.rank() == rank) {
            if skip(&group) {
                continue;
            }
            // Among late groups, the time left until they are of no use decides.
            let name = group.organisation_name().filter(|_| !rank.0.is_late());
            let position = shares.position(name);
            self.waiting[position].push_back(group);
        }
        for (member, groups) in self.waiting.iter().enumerate() {
            let Some(first) = groups.front() else { continue };
            self.next.push(Reverse(Turn {
                share: shares.share(ledger, member),
                priority: shares.members[member].priority,
                slack: first.slack(),
                group_id: first.group_id,
                member,
            }));
        }
    }
}

impl Scheduler {
    /// Shares of the organisations, if they have an effect on the order of placement.
    pub(crate) fn shares<'a>(&self, now: Time, config: &'a Config) -> Option<Shares<'a>> {
        if config.organisations.is_empty() || !self.uses(Mechanism::FairShares) {
            return None;
        }
        Some(Shares::new(config, self.usable_capacity(now)))
    }
}
