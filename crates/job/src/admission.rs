//! Permits to run tasks on an instance, for queues whose admission policy allows only some
//! instances.
//!
//! A service of the platform decides. It answers one query at a time for each machine that asks,
//! and a permit expires after a while. Queries are therefore sent as soon as a job is accepted, in
//! the order in which its tasks will be placed. Queries for a group are also sent in advance: once
//! all tasks that it depends on have been started, and some time before its round is due.

use super::*;
use {planning::PlacementKey, scheduler::note};

/// How long admission decisions of a queue take, and how long permits are valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionPolicy {
    /// Time that a decision takes, besides the time for each instance.
    pub decision: Duration,
    /// Additional time for each instance in the query.
    pub per_instance: Duration,
    /// How long a permit is valid.
    pub validity: Duration,
}

/// Asks which instances may run the tasks of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionQuery {
    /// The group.
    pub group_id: GroupId,
    /// The instances in question.
    pub instances: Vec<Name>,
    /// How long to wait for the answer.
    pub timeout: Duration,
}

/// Name of an instance that may run the tasks, and the ticket that the start request must carry.
pub type Permit = (Name, Name);

/// Answer of the platform to an [`AdmissionQuery`].
pub type AdmissionResult = Result<Vec<Permit>, CallError>;

/// Admission decisions received so far and queries in flight.
#[derive(Debug, Default)]
pub(crate) struct AdmissionState {
    decisions: BTreeMap<GroupId, BTreeMap<Incarnation, Decision>>,
    queries: Map<CallId, OpenQuery>,
    /// Maximum number of queries in flight.
    max_queries: usize,
    /// Pools in which no instance can take the ready tasks of some group: every suitable instance
    /// was denied, or is permitted but full, or there is none. Computed anew before queries are
    /// sent.
    denied_pools: BTreeSet<Name>,
    /// When the need for queries was last checked.
    last_checked: Time,
    /// Earliest time of the next query after the platform did not answer one.
    retry_at: Time,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Decision {
    Granted { ticket: Name, until: Time },
    Denied,
}

/// A query in flight.
#[derive(Debug)]
struct OpenQuery {
    group_id: GroupId,
    instances: Vec<Incarnation>,
    sent: Time,
    validity: Duration,
    timeout: Duration,
}

/// A group whose tasks need permits.
#[derive(Debug)]
struct PermitNeed<'a> {
    group_id: GroupId,
    group: &'a Group,
    pool: &'a Name,
    admission: AdmissionPolicy,
    /// Whether earlier groups are not done, or the round is not due yet.
    blocked: bool,
    /// Number of tasks that wait to be placed.
    waiting: u16,
    /// Position in the order of placement.
    key: PlacementKey,
}

/// Maximum number of instances in a query: the answer to a larger one would take too much of the
/// time within which the job should end.
const MAX_INSTANCES_PER_QUERY: usize = 30;
/// Maximum number of queries in flight; lower than the number that the platform lets wait.
const MAX_QUERIES_IN_FLIGHT: usize = 24;
/// Time allowed for an answer beyond what the policy states, since other queries may be ahead of
/// it.
const ANSWER_ALLOWANCE: Duration = Duration::from_millis(1500);
/// Delay before the next query after the platform did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Interval between checks for queries to send.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// A permit is not used this close to its expiry, since the start request has to arrive in time.
const EXPIRY_MARGIN: Duration = Duration::from_millis(150);

impl AdmissionPolicy {
    /// Time that a query about this many instances takes.
    pub fn duration(&self, instances: usize) -> Duration {
        self.decision + self.per_instance * instances as u32
    }

    /// Minimum time that a job waits for permits, for each group on its critical path.
    pub fn min_delay(&self) -> Duration {
        self.duration(MAX_INSTANCES_PER_QUERY)
    }
}

impl AdmissionState {
    /// The ticket for starting tasks of a group on an instance, if there is a valid permit.
    pub(crate) fn ticket(
        &self,
        now: Time,
        group_id: GroupId,
        incarnation: &Incarnation,
    ) -> Option<&Name> {
        match self.decisions.get(&group_id)?.get(incarnation)? {
            Decision::Granted { ticket, until } if now + EXPIRY_MARGIN < *until => Some(ticket),
            Decision::Granted { .. } | Decision::Denied => None,
        }
    }

    /// Whether there is a valid permit for some instance.
    pub(crate) fn has_ticket(&self, now: Time, group_id: GroupId) -> bool {
        let decisions = self.decisions.get(&group_id).into_iter().flatten();
        decisions
            .map(|(incarnation, _)| incarnation)
            .any(|incarnation| self.ticket(now, group_id, incarnation).is_some())
    }

    /// The job that a query in flight is about.
    pub(crate) fn job_of(&self, query: CallId) -> Option<JobId> {
        Some(self.queries.get(&query)?.group_id.job)
    }

    /// Drops the decision about an instance that rejected the ticket, so that it is queried again.
    pub(crate) fn forget(&mut self, group_id: GroupId, incarnation: &Incarnation) {
        if let Some(decisions) = self.decisions.get_mut(&group_id) {
            decisions.remove(incarnation);
        }
    }

    /// Whether an instance should be queried: not denied, no usable permit and no query in flight.
    fn needs_query(&self, now: Time, group_id: GroupId, incarnation: &Incarnation) -> bool {
        let asked =
            |open: &OpenQuery| open.group_id == group_id && open.instances.contains(incarnation);
        let decision = self.decisions.get(&group_id).and_then(|all| all.get(incarnation));
        !matches!(decision, Some(Decision::Denied))
            && self.ticket(now, group_id, incarnation).is_none()
            && !self.queries.values().any(asked)
    }

    /// Whether a query for the group is in flight.
    fn has_query(&self, group_id: GroupId) -> bool {
        self.queries.values().any(|open| open.group_id == group_id)
    }

    /// Whether no instance of a pool can take the ready tasks of some group, because of denials or
    /// because the permitted instances are full.
    pub(crate) fn denies_whole_pool(&self, pool: &Name) -> bool {
        self.denied_pools.contains(pool)
    }

    /// Drops decisions and queries when this daemon no longer leads.
    pub(crate) fn resign(&mut self) {
        self.denied_pools.clear();
        self.decisions.clear();
        self.queries.clear();
    }
}

impl Scheduler {
    /// Sets the maximum number of queries in flight, up to [`MAX_QUERIES_IN_FLIGHT`].
    pub(crate) fn on_max_queries(&mut self, max_queries: usize) {
        self.admissions.max_queries = max_queries.min(MAX_QUERIES_IN_FLIGHT);
    }

    /// Sends admission queries, in the order in which tasks will be placed.
    pub(crate) fn send_admission_queries(
        &mut self,
        now: Time,
        unix: UnixMs,
        table: &Table,
        effects: &mut Vec<Effect>,
    ) {
        let Some(config) = &table.config else { return };
        if now < self.admissions.last_checked + CHECK_INTERVAL {
            return;
        }
        self.admissions.last_checked = now;
        if config.queues.values().all(|queue| queue.admission.is_none()) {
            return;
        }
        self.admissions.queries.retain(|_, open| now < open.sent + open.timeout + ANSWER_ALLOWANCE);
        self.admissions.decisions.retain(|group_id, _| table.live.contains(&group_id.job));
        if now < self.admissions.retry_at
            || self.admissions.queries.len() >= self.admissions.max_queries
        {
            return;
        }
        self.admissions.denied_pools.clear();
        let mut needs = self.permit_needs(unix, table, config);
        needs.sort_by_key(|need| (need.key, need.blocked, need.group_id));
        for need in needs {
            if self.admissions.queries.len() >= self.admissions.max_queries {
                return;
            }
            self.send_query(now, &need, effects);
        }
    }

    /// Groups with waiting tasks, and groups that will be ready while a permit granted now is still
    /// valid.
    fn permit_needs<'a>(
        &self,
        unix: UnixMs,
        table: &'a Table,
        config: &'a Config,
    ) -> Vec<PermitNeed<'a>> {
        let mut needs = Vec::new();
        // Rounds that come due within half the validity of a permit.
        let ahead = |queue: &Queue| Some(unix + queue.admission?.validity.as_millis() as u64 / 2);
        for due in DueRound::all(table, config, ahead) {
            let DueRound { round, queue, .. } = due;
            let Some(admission) = queue.admission else { continue };
            let mut forecast = None;
            for (position, group) in due.waiting_groups() {
                let blocked = due.at > unix || !round.dependencies_done(group);
                if blocked && !round.dependencies_started(group) {
                    continue;
                }
                let key =
                    forecast.get_or_insert_with(|| self.forecast(unix, due)).key(unix, due, group);
                let (group_id, pool) = (due.group_id(position), &queue.pool);
                let waiting = round.waiting[usize::from(position)];
                needs.push(PermitNeed { group_id, group, pool, admission, blocked, waiting, key });
            }
        }
        needs
    }

    /// Queries more instances if the valid permits do not suffice for the waiting tasks of a group.
    fn send_query(&mut self, now: Time, need: &PermitNeed, effects: &mut Vec<Effect>) {
        let PermitNeed { group_id, group, admission, .. } = need;
        let reserved = group.reserved();
        let mut permitted_slots = 0;
        let mut candidates = Vec::new();
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
            if self.admissions.ticket(now, *group_id, incarnation).is_some() {
                let limit = group.max_per_instance.unwrap_or(u16::MAX);
                permitted_slots += u64::from(limit).min(free.capacity_for(reserved));
            } else if self.admissions.needs_query(now, *group_id, incarnation) {
                let near_data =
                    group.data_rack.is_some() && announcement.rack() == group.data_rack.as_ref();
                candidates.push((near_data, free.millicores, incarnation.clone()));
            }
        }
        if candidates.is_empty()
            && permitted_slots == 0
            && !need.blocked
            && !self.admissions.has_query(*group_id)
        {
            self.admissions.denied_pools.insert(need.pool.clone());
        }
        if candidates.is_empty() || permitted_slots >= u64::from(need.waiting) {
            return;
        }
        candidates.sort_by(|a, b| b.cmp(a));
        candidates.truncate(MAX_INSTANCES_PER_QUERY);
        let instances: Vec<_> =
            candidates.into_iter().map(|(_, _, incarnation)| incarnation).collect();
        let timeout = admission.duration(instances.len()) + ANSWER_ALLOWANCE;
        let names = instances.iter().map(|incarnation| incarnation.name.clone()).collect();
        let id = self.next_call_id();
        let (group_id, validity) = (*group_id, admission.validity);
        let query = AdmissionQuery { group_id, instances: names, timeout };
        let open = OpenQuery { group_id, instances, sent: now, validity, timeout };
        self.admissions.queries.insert(id, open);
        effects.push(Effect::QueryAdmission { id, query });
    }

    pub(crate) fn on_admission_answered(
        &mut self,
        now: Time,
        id: CallId,
        result: AdmissionResult,
        effects: &mut Vec<Effect>,
    ) {
        let Some(open) = self.admissions.queries.remove(&id) else { return };
        let about = open.group_id.to_string();
        let permits = match result {
            Ok(permits) => permits,
            Err(failure) => {
                self.admissions.retry_at = now + RETRY_DELAY;
                return effects.push(note("leave-unanswered", about, failure.to_string()));
            }
        };
        let why = format!("granted on {} of {} instances", permits.len(), open.instances.len());
        effects.push(note("leave", about, why));
        let until = open.sent + open.validity;
        let decisions = self.admissions.decisions.entry(open.group_id).or_default();
        for incarnation in open.instances {
            let permit = permits.iter().find(|(name, _)| *name == incarnation.name);
            let granted =
                |(_, ticket): &Permit| Decision::Granted { ticket: ticket.clone(), until };
            decisions.insert(incarnation, permit.map_or(Decision::Denied, granted));
        }
        self.needs_planning = true;
    }
}
