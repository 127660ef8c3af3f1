//! Counters and times of a daemon, for whoever scrapes its metrics address.

use {
    super::*,
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
};

/// Type of the text that is scraped.
pub(crate) const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Upper end of the smallest bucket, in seconds.
const SMALLEST_BUCKET: f64 = 0.001;

/// Buckets of a histogram, each twice as large as the one before.
const BUCKETS: u16 = 16;

/// Queues that keep their names as labels; all others share one.
const QUEUES: usize = 64;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Kind {
    kind: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Answered {
    call: &'static str,
    status: u16,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct InQueue {
    queue: String,
    end: String,
}

/// Every metric of a daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    answers: Family<Answered, Counter>,
    answer_seconds: Family<Kind, Histogram>,
    decisions: Family<Kind, Counter>,
    ends: Family<Kind, Counter>,
    orders: Family<Kind, Counter>,
    unanswered: Family<Kind, Counter>,
    job_seconds: Family<InQueue, Histogram>,
    frames_dropped: Counter,
    ready: Gauge,
    leads: Gauge,
    queues: RefCell<BTreeSet<Name>>,
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
            ready: Gauge::default(),
            leads: Gauge::default(),
            queues: RefCell::default(),
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
        registry.register("ready", "Whether callers should come here", metrics.ready.clone());
        registry.register("leads", "Whether this daemon leads", metrics.leads.clone());
        Self { registry, ..metrics }
    }

    pub(crate) fn answered(&self, call: &'static str, status: u16, took: Duration) {
        self.answers.get_or_create(&Answered { call, status }).inc();
        self.answer_seconds.get_or_create(&Kind { kind: call }).observe(took.as_secs_f64());
    }

    pub(crate) fn decided(&self, kind: &'static str) {
        self.decisions.get_or_create(&Kind { kind }).inc();
    }

    pub(crate) fn ended(&self, how: job::EndReason) {
        let kind = match how {
            job::EndReason::Done => "done",
            job::EndReason::Failed => "failed",
            job::EndReason::Stopped => "stopped",
            job::EndReason::Lapsed => "lapsed",
            job::EndReason::Broken => "broken",
            job::EndReason::Alone => "alone",
            job::EndReason::Lost => "lost",
        };
        self.ends.get_or_create(&Kind { kind }).inc();
    }

    pub(crate) fn ordered(&self, order: &job::Order, answered: bool) {
        let kind = match order {
            job::Order::Start { .. } => "start",
            job::Order::Stop { .. } => "stop",
            job::Order::Renew { .. } => "renew",
            job::Order::Throttle { .. } => "throttle",
        };
        self.orders.get_or_create(&Kind { kind }).inc();
        if !answered {
            self.unanswered.get_or_create(&Kind { kind }).inc();
        }
    }

    pub(crate) fn finished(&self, queue: &Name, end: job::JobState, took: Duration) {
        let mut queues = self.queues.borrow_mut();
        let known = queues.contains(queue) || queues.len() < QUEUES && queues.insert(queue.clone());
        let queue = if known { queue.to_string() } else { "other".into() };
        let labels = InQueue { queue, end: end.to_string() };
        self.job_seconds.get_or_create(&labels).observe(took.as_secs_f64());
    }

    pub(crate) fn dropped_frame(&self) {
        self.frames_dropped.inc();
    }

    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready.set(ready.into());
    }

    pub(crate) fn set_leads(&self, leads: bool) {
        self.leads.set(leads.into());
    }

    /// The text of all metrics.
    pub(crate) fn text(&self) -> String {
        let mut body = String::new();
        text::encode(&mut body, &self.registry).expect("a string takes every line");
        body
    }
}
