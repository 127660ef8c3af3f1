use super::*;

/// Longest time for which a `pool` line stands; they come once a second.
const MAX_POOL_INTERVAL_MS: u64 = 2000;
/// Time for which the last `pool` line of a log stands.
const LAST_POOL_INTERVAL_MS: u64 = 1000;

/// Which jobs missed their objective, and why.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Time of the first line, in milliseconds since 1970.
    pub first_at: UnixMs,
    /// What was read.
    pub log: LogSummary,
    /// Late jobs with a named cause.
    pub attribution: Attribution,
    /// All jobs.
    pub total: Totals,
    /// By organisation; anonymous callers as `-`.
    pub organisations: BTreeMap<String, Totals>,
    /// By queue.
    pub queues: BTreeMap<String, Totals>,
    /// By the second of submission, since 1970.
    pub seconds: BTreeMap<u64, Totals>,
    /// By declared work. Jobs of which the log does not tell are left out.
    pub sizes: BTreeMap<SizeClass, Totals>,
    /// Instance seconds by pool.
    pub pools: BTreeMap<String, PoolUse>,
    /// The same over all pools by second, since 1970.
    pub pool_seconds: BTreeMap<u64, PoolUse>,
    /// Jobs that missed their objective, latest first.
    pub late_jobs: Vec<LateJob>,
}

/// How many late jobs have a named cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Attribution {
    /// Late jobs with a named cause.
    pub named: u64,
    /// Late jobs.
    pub late: u64,
    /// Late jobs whose causes are in part estimated from `pool` lines.
    pub estimated: u64,
    /// Late jobs whose `job-summary` is missing.
    pub without_summary: u64,
}

impl Attribution {
    /// Share of the late jobs with a named cause; 1 if none is late.
    pub fn share(&self) -> f64 {
        if self.late == 0 { 1.0 } else { self.named as f64 / self.late as f64 }
    }
}

impl Report {
    /// Evaluates a log.
    pub fn new(log: Log) -> Self {
        let (lines, log) = log.merge();
        let mut report = Self { log, ..Self::default() };
        report.first_at = lines.first().map_or(0, |line| line.at_ms);
        let mut leadership = Leadership::default();
        let mut jobs = BTreeMap::<String, Job>::new();
        let mut pool_causes = PoolCauses::default();
        let mut balances = BTreeMap::<String, Vec<PoolBalance>>::new();
        let mut numbers = BTreeMap::<&str, u64>::new();
        for line in &lines {
            leadership.record(line);
            match line.what.as_str() {
                "job-summary" => {
                    let number = Fields::parse(&line.why).number("number");
                    report.count_missing(numbers.entry(&line.daemon).or_default(), number);
                    let job = Job::from_summary(line, &mut report.log.unknown_fields);
                    match job {
                        Some(job) => {
                            pool_causes.record_queue(&job);
                            jobs.insert(job.id.clone(), job);
                        }
                        None if line.why.starts_with("cancelled") => {}
                        None => report.log.malformed += 1,
                    }
                }
                "job-over" => match Job::from_job_over(line) {
                    Some(job) => drop(jobs.entry(job.id.clone()).or_insert(job)),
                    None if line.why.starts_with("cancelled") => {}
                    None => report.log.malformed += 1,
                },
                "pool" => match PoolBalance::parse(line, &mut report.log.unknown_fields) {
                    Some(balance) => {
                        pool_causes.record(&balance);
                        balances.entry(balance.pool.clone()).or_default().push(balance);
                    }
                    None => report.log.malformed += 1,
                },
                // Numbers begin at 1 in each term.
                "owns" => drop(numbers.insert(&line.daemon, 0)),
                _ => {}
            }
        }
        report.log.terms = leadership.terms;
        report.log.leader_changes_seen = leadership.changes_seen;
        report.log.without_leader_ms = leadership.all_without_leader();
        for job in jobs.values() {
            report.add_job(job, &leadership, &pool_causes);
        }
        report.late_jobs.sort_by(|a, b| (b.lateness, &a.id).cmp(&(a.lateness, &b.id)));
        for (pool, balances) in balances {
            report.add_pool(pool, &balances);
        }
        report
    }

    /// Counts the summaries between the last one of a daemon and this one.
    fn count_missing(&mut self, last: &mut u64, number: Option<u64>) {
        let Some(number) = number else { return };
        let missing = number.saturating_sub(last.saturating_add(1));
        self.log.missing_summaries = self.log.missing_summaries.saturating_add(missing);
        *last = number;
    }

    fn add_job(&mut self, job: &Job, leadership: &Leadership, pools: &PoolCauses) {
        let late = job.missed().then(|| LateJob::new(job, leadership, pools));
        let organisation = job.organisation.clone().unwrap_or_else(|| "-".into());
        self.total.add(job, late.as_ref());
        self.organisations.entry(organisation).or_default().add(job, late.as_ref());
        self.queues.entry(job.queue.clone()).or_default().add(job, late.as_ref());
        let second = second_of(job.submitted_at());
        self.seconds.entry(second).or_default().add(job, late.as_ref());
        if let Some(work) = job.work {
            self.sizes.entry(SizeClass::of(work)).or_default().add(job, late.as_ref());
        }
        if let Some(late) = late {
            self.attribution.late += 1;
            self.attribution.named += u64::from(late.cause != Cause::Unknown);
            self.attribution.estimated += u64::from(late.is_estimated);
            self.attribution.without_summary += u64::from(!job.has_summary);
            self.late_jobs.push(late);
        }
    }

    fn add_pool(&mut self, pool: String, balances: &[PoolBalance]) {
        let mut size = balances.iter().find_map(PoolBalance::instance_size).unwrap_or(1);
        let total = self.pools.entry(pool).or_default();
        for (position, balance) in balances.iter().enumerate() {
            size = balance.instance_size().unwrap_or(size);
            let next = balances.get(position + 1);
            let ms = next.map_or(LAST_POOL_INTERVAL_MS, |next| next.at.saturating_sub(balance.at));
            let ms = ms.min(MAX_POOL_INTERVAL_MS);
            let used = balance.instance_seconds(ms, size);
            total.add(&used);
            self.pool_seconds.entry(second_of(balance.at)).or_default().add(&used);
        }
    }

    /// The report as JSON.
    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a report has string keys and finite numbers")
    }
}
