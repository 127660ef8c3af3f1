//! Leave to run tasks on an instance, where the policy of a queue allows only some instances.
//!
//! A service of the platform decides, one question at a time for each machine that asks, and the leave
//! that it grants holds for a while. So it is asked as soon as a job is accepted, in the order in which
//! its tasks will be placed, and already for the groups that come next.

use super::*;
use {planning::Key, scheduler::note};

/// How the policy of a queue is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionPolicy {
    /// Time that a question takes.
    pub decision: Duration,
    /// Time that it takes longer for each instance.
    pub per_instance: Duration,
    /// How long leave holds.
    pub validity: Duration,
}

/// Asks on which instances the tasks of a group may run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionQuery {
    /// The tasks.
    pub group_id: GroupId,
    /// The instances.
    pub instances: Vec<Name>,
    /// How long to wait for the answer.
    pub timeout: Duration,
}

/// An instance that may run the tasks, with the ticket that an order to start one carries.
pub type Permit = (Name, Name);

/// What the platform answered to a [`Question`].
pub type AdmissionResult = Result<Vec<Permit>, CallError>;

/// What the policy of queues has decided so far.
#[derive(Debug, Default)]
pub(crate) struct Policy {
    decisions: BTreeMap<GroupId, BTreeMap<Incarnation, Decision>>,
    queries: Map<CallId, Open>,
    /// Questions that may be under way at once.
    askers: usize,
    /// Pools all of whose instances were refused to tasks that wait.
    refused: BTreeSet<Name>,
    /// When it was last looked at what to ask.
    sought: Time,
    /// When the platform may be asked again after it did not answer.
    retry_at: Time,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Decision {
    Granted { ticket: Name, until: Time },
    Denied,
}

/// A question under way.
#[derive(Debug)]
struct Open {
    group_id: GroupId,
    instances: Vec<Incarnation>,
    sent: Time,
    validity: Duration,
    timeout: Duration,
}

/// Tasks that need leave.
#[derive(Debug)]
struct Need<'a> {
    group_id: GroupId,
    group: &'a Group,
    pool: &'a Name,
    admission: AdmissionPolicy,
    /// Whether earlier groups are not done.
    blocked: bool,
    waiting: u16,
    key: Key,
}

/// Instances in one question: as many as a job's objective allows time for.
const INSTANCES_IN_QUESTION: usize = 30;
/// Questions under way at once: below what the platform lets wait.
const MOST_QUESTIONS: usize = 24;
/// How long an answer may take beyond what the policy says, with others before it.
const PATIENCE: Duration = Duration::from_millis(1500);
/// Between a question that the platform did not answer and the next.
const RETRY: Duration = Duration::from_millis(150);
/// Between two looks at what to ask.
const SEEK_INTERVAL: Duration = Duration::from_millis(10);
/// Time before its end from which leave is not relied on: an order to start has to arrive.
const MARGIN: Duration = Duration::from_millis(150);

impl AdmissionPolicy {
    /// Time that a question about so many instances takes.
    pub fn duration(&self, instances: usize) -> Duration {
        self.decision + self.per_instance * instances as u32
    }

    /// Time that a job waits for leave at least, for each group of its longest chain.
    pub fn delay(&self) -> Duration {
        self.duration(INSTANCES_IN_QUESTION)
    }
}

impl Policy {
    /// The ticket with which tasks may be started on an instance.
    pub(crate) fn ticket(
        &self,
        now: Time,
        group_id: GroupId,
        incarnation: &Incarnation,
    ) -> Option<&Name> {
        match self.decisions.get(&group_id)?.get(incarnation)? {
            Decision::Granted { ticket, until } if now + MARGIN < *until => Some(ticket),
            Decision::Granted { .. } | Decision::Denied => None,
        }
    }

    /// Drops what an instance has refused, so that it is asked for again.
    pub(crate) fn forget(&mut self, group_id: GroupId, incarnation: &Incarnation) {
        if let Some(decisions) = self.decisions.get_mut(&group_id) {
            decisions.remove(incarnation);
        }
    }

    /// Whether nothing is known of an instance, or what is known runs out.
    fn is_open(&self, now: Time, group_id: GroupId, incarnation: &Incarnation) -> bool {
        let asked = |open: &Open| open.group_id == group_id && open.instances.contains(incarnation);
        let decision = self.decisions.get(&group_id).and_then(|all| all.get(incarnation));
        !matches!(decision, Some(Decision::Denied))
            && self.ticket(now, group_id, incarnation).is_none()
            && !self.queries.values().any(asked)
    }

    fn asks_for(&self, group_id: GroupId) -> bool {
        self.queries.values().any(|open| open.group_id == group_id)
    }

    /// Whether tasks wait that may run on none of the instances of a pool.
    pub(crate) fn has_refused(&self, pool: &Name) -> bool {
        self.refused.contains(pool)
    }

    pub(crate) fn resign(&mut self) {
        self.refused.clear();
        self.decisions.clear();
        self.queries.clear();
    }
}

impl Scheduler {
    /// Takes it that so many questions may be under way at once.
    pub(crate) fn on_askers(&mut self, askers: usize) {
        self.policy.askers = askers.min(MOST_QUESTIONS);
    }

    /// Asks for leave, for the tasks first that will be placed first.
    pub(crate) fn seek_leave(
        &mut self,
        now: Time,
        unix: UnixMs,
        table: &Table,
        effects: &mut Vec<Effect>,
    ) {
        let Some(config) = &table.config else { return };
        if now < self.policy.sought + SEEK_INTERVAL {
            return;
        }
        self.policy.sought = now;
        if config.queues.values().all(|queue| queue.admission.is_none()) {
            return;
        }
        self.policy.queries.retain(|_, open| now < open.sent + open.timeout + PATIENCE);
        self.policy.decisions.retain(|group_id, _| table.live.contains(&group_id.job));
        if now < self.policy.retry_at || self.policy.queries.len() >= self.policy.askers {
            return;
        }
        self.policy.refused.clear();
        let mut needs = self.needs(unix, table, config);
        needs.sort_by_key(|need| (need.key, need.blocked, need.group_id));
        for need in needs {
            if self.policy.queries.len() >= self.policy.askers {
                return;
            }
            self.ask(now, &need, effects);
        }
    }

    /// Groups with tasks that wait, and groups whose turn comes while leave still holds.
    fn needs<'a>(&self, unix: UnixMs, table: &'a Table, config: &'a Config) -> Vec<Need<'a>> {
        let mut needs = Vec::new();
        let ahead = |queue: &Queue| Some(unix + queue.admission?.validity.as_millis() as u64 / 2);
        for due in Due::all(table, config, ahead) {
            let Due { round, queue, .. } = due;
            let Some(admission) = queue.admission else { continue };
            let mut outlook = None;
            for (position, group) in due.waiting() {
                let blocked = due.at > unix || !round.is_unblocked(group);
                if blocked && !round.is_nearly_unblocked(group) {
                    continue;
                }
                let key = outlook.get_or_insert_with(|| self.outlook(due)).key(unix, due, group);
                let (group_id, pool) = (due.group_id(position), &queue.pool);
                let waiting = round.waiting[usize::from(position)];
                needs.push(Need { group_id, group, pool, admission, blocked, waiting, key });
            }
        }
        needs
    }

    fn ask(&mut self, now: Time, need: &Need, effects: &mut Vec<Effect>) {
        let Need { group_id, group, admission, .. } = need;
        let reserved = group.reserved();
        let mut places = 0;
        let mut open = Vec::new();
        for (incarnation, instance) in &self.instances {
            let Some(announcement) = &instance.announcement else { continue };
            let suits = announcement.pool == *need.pool
                && instance.is_usable(now)
                && group.accepts(&announcement.labels)
                && reserved.fits(announcement.capacity);
            if !suits {
                continue;
            }
            let free = if need.blocked { announcement.capacity } else { instance.free() };
            if self.policy.ticket(now, *group_id, incarnation).is_some() {
                let most = group.max_per_instance.unwrap_or(u16::MAX);
                places += u64::from(most).min(free.capacity_for(reserved));
            } else if self.policy.is_open(now, *group_id, incarnation) {
                let near =
                    group.data_rack.is_some() && announcement.rack() == group.data_rack.as_ref();
                open.push((near, free.millicores, incarnation.clone()));
            }
        }
        if open.is_empty() && places == 0 && !need.blocked && !self.policy.asks_for(*group_id) {
            self.policy.refused.insert(need.pool.clone());
        }
        if open.is_empty() || places >= u64::from(need.waiting) {
            return;
        }
        open.sort_by(|a, b| b.cmp(a));
        open.truncate(INSTANCES_IN_QUESTION);
        let instances: Vec<_> = open.into_iter().map(|(_, _, incarnation)| incarnation).collect();
        let timeout = admission.duration(instances.len()) + PATIENCE;
        let names = instances.iter().map(|incarnation| incarnation.name.clone()).collect();
        let id = self.next_call();
        let (group_id, validity) = (*group_id, admission.validity);
        let query = AdmissionQuery { group_id, instances: names, timeout };
        let open = Open { group_id, instances, sent: now, validity, timeout };
        self.policy.queries.insert(id, open);
        effects.push(Effect::QueryAdmission { id, query });
    }

    pub(crate) fn on_decided(
        &mut self,
        now: Time,
        id: CallId,
        result: AdmissionResult,
        effects: &mut Vec<Effect>,
    ) {
        let Some(open) = self.policy.queries.remove(&id) else { return };
        let about = open.group_id.to_string();
        let leaves = match result {
            Ok(leaves) => leaves,
            Err(failure) => {
                self.policy.retry_at = now + RETRY;
                return effects.push(note("leave-unanswered", about, failure.to_string()));
            }
        };
        let why = format!("granted on {} of {} instances", leaves.len(), open.instances.len());
        effects.push(note("leave", about, why));
        let until = open.sent + open.validity;
        let decisions = self.policy.decisions.entry(open.group_id).or_default();
        for incarnation in open.instances {
            let leave = leaves.iter().find(|(name, _)| *name == incarnation.name);
            let granted =
                |(_, ticket): &Permit| Decision::Granted { ticket: ticket.clone(), until };
            decisions.insert(incarnation, leave.map_or(Decision::Denied, granted));
        }
        self.dirty = true;
    }
}
