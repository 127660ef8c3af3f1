//! Prometheus metrics of a daemon.

use {
    super::*,
    model::Resources,
    prometheus_client::{
        encoding::{EncodeLabelSet, text},
        metrics::{
            counter::Counter,
            family::Family,
            gauge::Gauge,
            histogram::{Histogram, exponential_buckets},
        },
        registry::Registry,
    },
    std::sync::atomic::AtomicU64,
};

/// Content type of the metrics.
pub(crate) const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Upper bound of the smallest histogram bucket, in seconds.
const SMALLEST_BUCKET: f64 = 0.001;

/// Number of histogram buckets; each is twice as large as the one before.
const BUCKETS: u16 = 16;

/// Maximum number of queues with a label of their own; the others share one.
const MAX_QUEUE_LABELS: usize = 64;

/// Maximum number of organisations with counters: those with labels of their own, `other`, and as many
/// that were among the largest before a configuration changed.
const MAX_ORGANISATION_LABELS: usize = 42;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabels {
    call: &'static str,
    status: u16,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct QueueLabels {
    queue: String,
    end: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OrganisationLabel {
    organisation: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResourceLabels {
    organisation: String,
    resource: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    organisation: String,
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
    organisation: String,
    end: &'static str,
}

/// Metrics by organisation. Only the leader has values of the gauges.
#[derive(Debug, Default)]
struct OrganisationMetrics {
    usage: Family<ResourceLabels, Gauge>,
    limit: Family<ResourceLabels, Gauge>,
    dominant_share: Family<OrganisationLabel, Gauge<f64, AtomicU64>>,
    waiting: Family<OrganisationLabel, Gauge>,
    accepted: Family<OrganisationLabel, Counter>,
    surplus: Family<OrganisationLabel, Counter>,
    refused: Family<ReasonLabels, Counter>,
    ended: Family<EndLabels, Counter>,
    /// Labels in use.
    labels: RefCell<BTreeSet<Name>>,
}

impl OrganisationMetrics {
    fn register(&self, registry: &mut Registry) {
        let help = "Resources of the attempts of an organisation";
        registry.register("organisation_usage", help, self.usage.clone());
        let help = "Limit of an organisation; 0 is no limit";
        registry.register("organisation_limit", help, self.limit.clone());
        let help = "Largest share of the usable capacity among the resources";
        registry.register("organisation_dominant_share", help, self.dominant_share.clone());
        let help = "Jobs without a started task";
        registry.register("organisation_waiting", help, self.waiting.clone());
        let help = "Jobs accepted, including those beyond the agreed rate";
        registry.register("organisation_accepted", help, self.accepted.clone());
        let help = "Jobs accepted beyond the agreed rate";
        registry.register("organisation_surplus", help, self.surplus.clone());
        let help = "Jobs refused, by reason";
        registry.register("organisation_refused", help, self.refused.clone());
        let help = "Jobs that ended, by whether they met their objective";
        registry.register("organisation_ended", help, self.ended.clone());
    }

    fn clear_counters(&self) {
        self.accepted.clear();
        self.surplus.clear();
        self.refused.clear();
        self.ended.clear();
    }
}

/// All metrics of a daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    answers: Family<AnswerLabels, Counter>,
    answer_seconds: Family<KindLabel, Histogram>,
    decisions: Family<KindLabel, Counter>,
    ends: Family<KindLabel, Counter>,
    orders: Family<KindLabel, Counter>,
    unanswered: Family<KindLabel, Counter>,
    job_seconds: Family<QueueLabels, Histogram>,
    frames_dropped: Counter,
    processor_seconds: Family<KindLabel, Counter<f64, AtomicU64>>,
    process_seconds: Counter<f64, AtomicU64>,
    ready: Gauge,
    leads: Gauge,
    jobs_bytes: Gauge,
    jobs_bytes_limit: Gauge,
    queues: RefCell<BTreeSet<Name>>,
    organisations: OrganisationMetrics,
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(SMALLEST_BUCKET, 2.0, BUCKETS))
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("sardinevalve");
        let metrics = Self {
            answers: Family::default(),
            answer_seconds: Family::new_with_constructor(histogram as fn() -> Histogram),
            decisions: Family::default(),
            ends: Family::default(),
            orders: Family::default(),
            unanswered: Family::default(),
            job_seconds: Family::new_with_constructor(histogram as fn() -> Histogram),
            frames_dropped: Counter::default(),
            processor_seconds: Family::default(),
            process_seconds: Counter::default(),
            ready: Gauge::default(),
            leads: Gauge::default(),
            jobs_bytes: Gauge::default(),
            jobs_bytes_limit: Gauge::default(),
            queues: RefCell::default(),
            organisations: OrganisationMetrics::default(),
            registry: Registry::default(),
        };
        registry.register("answers", "Calls answered here", metrics.answers.clone());
        let help = "Seconds from a call to its answer";
        registry.register("answer_seconds", help, metrics.answer_seconds.clone());
        registry.register("decisions", "Lines for the log, by kind", metrics.decisions.clone());
        registry.register("attempt_ends", "Attempts that ended", metrics.ends.clone());
        registry.register("orders", "Orders to instances", metrics.orders.clone());
        let help = "Orders to instances that had no answer";
        registry.register("orders_unanswered", help, metrics.unanswered.clone());
        let help = "Seconds from hand-in to the end of a job";
        registry.register("job_seconds", help, metrics.job_seconds.clone());
        let help = "Messages to daemons that did not keep up";
        registry.register("frames_dropped", help, metrics.frames_dropped.clone());
        let help = "Time for which the main thread was busy, by activity";
        registry.register("processor_seconds", help, metrics.processor_seconds.clone());
        let help = "Processor time of the process";
        registry.register("process_seconds", help, metrics.process_seconds.clone());
        registry.register("ready", "Whether callers should come here", metrics.ready.clone());
        registry.register("leads", "Whether this daemon leads", metrics.leads.clone());
        let help = "Estimated memory of accepted jobs and the configuration";
        registry.register("jobs_bytes", help, metrics.jobs_bytes.clone());
        let help = "Memory of accepted jobs above which further ones are refused";
        registry.register("jobs_bytes_limit", help, metrics.jobs_bytes_limit.clone());
        metrics.organisations.register(&mut registry);
        Self { registry, ..metrics }
    }

    pub(crate) fn observe_answer(&self, call: &'static str, status: u16, took: Duration) {
        self.answers.get_or_create(&AnswerLabels { call, status }).inc();
        self.answer_seconds.get_or_create(&KindLabel { kind: call }).observe(took.as_secs_f64());
    }

    pub(crate) fn count_log_entry(&self, kind: &'static str) {
        self.decisions.get_or_create(&KindLabel { kind }).inc();
    }

    pub(crate) fn count_attempt_end(&self, reason: job::EndReason) {
        let kind = match reason {
            job::EndReason::Done => "done",
            job::EndReason::Failed => "failed",
            job::EndReason::Stopped => "stopped",
            job::EndReason::Lapsed => "lapsed",
            job::EndReason::Broken => "broken",
            job::EndReason::Alone => "alone",
            job::EndReason::Lost => "lost",
            job::EndReason::Crashed { .. } => "crashed",
            job::EndReason::Vanished => "vanished",
        };
        self.ends.get_or_create(&KindLabel { kind }).inc();
    }

    pub(crate) fn count_request(&self, order: &job::Order, answered: bool) {
        let kind = match order {
            job::Order::Start { .. } => "start",
            job::Order::Stop { .. } => "stop",
            job::Order::Renew { .. } => "renew",
            job::Order::Throttle { .. } => "throttle",
        };
        self.orders.get_or_create(&KindLabel { kind }).inc();
        if !answered {
            self.unanswered.get_or_create(&KindLabel { kind }).inc();
        }
    }

    pub(crate) fn observe_job(&self, queue: &Name, end: job::JobState, took: Duration) {
        let mut queues = self.queues.borrow_mut();
        let known = queues.contains(queue)
            || queues.len() < MAX_QUEUE_LABELS && queues.insert(queue.clone());
        let queue = if known { queue.to_string() } else { "other".into() };
        let labels = QueueLabels { queue, end: end.to_string() };
        self.job_seconds.get_or_create(&labels).observe(took.as_secs_f64());
    }

    pub(crate) fn count_organisation(&self, label: &Name, event: OrganisationEvent) {
        let metrics = &self.organisations;
        let mut labels = metrics.labels.borrow_mut();
        if !labels.contains(label) && labels.len() >= MAX_ORGANISATION_LABELS {
            // Configurations have changed the largest organisations. Counters may start anew, the
            // number of time series must not grow.
            labels.clear();
            metrics.clear_counters();
        }
        labels.insert(label.clone());
        let organisation = label.to_string();
        match event {
            OrganisationEvent::Accepted => {
                metrics.accepted.get_or_create(&OrganisationLabel { organisation }).inc();
            }
            OrganisationEvent::AcceptedSurplus => {
                let label = OrganisationLabel { organisation };
                metrics.accepted.get_or_create(&label).inc();
                metrics.surplus.get_or_create(&label).inc();
            }
            OrganisationEvent::Refused(reason) => {
                metrics.refused.get_or_create(&ReasonLabels { organisation, reason }).inc();
            }
            OrganisationEvent::Ended(end) => {
                metrics.ended.get_or_create(&EndLabels { organisation, end }).inc();
            }
        }
    }

    /// Replaces the gauges of all organisations.
    pub(crate) fn report_organisations(&self, reports: &[OrganisationReport]) {
        let OrganisationMetrics { usage, limit, dominant_share, waiting, .. } = &self.organisations;
        usage.clear();
        limit.clear();
        dominant_share.clear();
        waiting.clear();
        let set = |family: &Family<ResourceLabels, Gauge>, label: &Name, amounts: Resources| {
            let Resources { millicores, memory_mb, accelerators } = amounts;
            let amounts =
                [("cpu", millicores), ("memory", memory_mb), ("accelerators", accelerators)];
            for (resource, amount) in amounts {
                let labels = ResourceLabels { organisation: label.to_string(), resource };
                family.get_or_create(&labels).set(i64::try_from(amount).unwrap_or(i64::MAX));
            }
        };
        for report in reports {
            set(usage, &report.label, report.usage);
            if let Some(amounts) = report.limit {
                set(limit, &report.label, amounts);
            }
            let label = OrganisationLabel { organisation: report.label.to_string() };
            dominant_share.get_or_create(&label).set(report.dominant_share);
            let count = i64::try_from(report.waiting).unwrap_or(i64::MAX);
            waiting.get_or_create(&label).set(count);
        }
    }

    /// Counts time that the main thread was busy with an activity.
    pub(crate) fn count_time(&self, activity: &'static str, spent: Duration) {
        let label = KindLabel { kind: activity };
        self.processor_seconds.get_or_create(&label).inc_by(spent.as_secs_f64());
    }

    pub(crate) fn count_dropped_frames(&self, frames: u64) {
        self.frames_dropped.inc_by(frames);
    }

    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready.set(ready.into());
    }

    pub(crate) fn set_leads(&self, leads: bool) {
        self.leads.set(leads.into());
    }

    pub(crate) fn set_jobs_bytes(&self, used: usize, limit: usize) {
        self.jobs_bytes.set(used as i64);
        self.jobs_bytes_limit.set(limit as i64);
    }

    /// Encodes all metrics as text.
    pub(crate) fn text(&self) -> String {
        let process = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
        let process = process.tv_sec as f64 + process.tv_nsec as f64 / 1e9;
        self.process_seconds.inc_by(process - self.process_seconds.get());
        let mut body = String::new();
        text::encode(&mut body, &self.registry).expect("writing to a string cannot fail");
        body
    }
}
