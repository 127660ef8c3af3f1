use super::*;

/// All metrics of a daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Number of answered requests.
    requests: Family<Answer, Counter>,
    /// Time from the arrival of a request to the end of its answer.
    total: Histograms,
    /// Time from the arrival of a request to its first attempt.
    queued: Histograms,
    /// Duration of the attempt whose answer was passed on to the caller.
    upstream: Histograms,
    gauges: RegisteredGauges,
    tenants: BoundedLabel,
    kinds: BoundedLabel,
    services: BoundedLabel,
}

/// Histograms of one duration. Each observation enters both: the one of its tenant, and the one of
/// its class, that is, of its kind and service.
#[derive(Debug)]
struct Histograms {
    tenant: Family<Tenant, Histogram>,
    class: Family<Class, Histogram>,
}

/// Labels of the counter of answered requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Answer {
    outcome: &'static str,
    reason: String,
}

/// Label of the histograms by tenant.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Tenant {
    tenant: String,
}

/// Labels of the histograms by kind and service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Class {
    kind: String,
    service: String,
}

/// Upper bound of the smallest bucket of a histogram.
const SMALLEST_BUCKET_SECONDS: f64 = 0.000_25;

/// Number of buckets of a histogram. The upper bound of each is twice that of the one before.
const BUCKETS: u16 = 18;

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Metrics without observations.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("sardinevalve");
        let requests = Family::default();
        registry.register("requests", "Requests answered", requests.clone());
        Self {
            gauges: RegisteredGauges::register(&mut registry),
            total: Histograms::register(&mut registry, "request", "arrival to answer"),
            queued: Histograms::register(&mut registry, "queue", "arrival to first attempt"),
            upstream: Histograms::register(&mut registry, "upstream", "the attempt answered"),
            requests,
            registry,
            tenants: BoundedLabel::default(),
            kinds: BoundedLabel::default(),
            services: BoundedLabel::default(),
        }
    }

    /// Records an answered request.
    pub fn observe(&self, observation: &Observation) {
        self.count(observation.outcome, observation.reason);
        let tenant = Tenant { tenant: self.tenants.value(observation.tenant) };
        let class = Class {
            kind: self.kinds.value(observation.kind),
            service: self.services.value(observation.service),
        };
        self.total.observe(&tenant, &class, Some(observation.total));
        self.queued.observe(&tenant, &class, observation.queued);
        self.upstream.observe(&tenant, &class, observation.upstream);
    }

    /// Counts a request by outcome and reason, without recording durations.
    pub fn count(&self, outcome: &'static str, reason: &str) {
        self.requests.get_or_create(&Answer { outcome, reason: reason.to_owned() }).inc();
    }

    /// Encodes all metrics as text, with `gauges` as the current values of the gauges.
    pub fn encode(&self, gauges: &Gauges) -> String {
        self.gauges.set(gauges);
        let mut body = String::new();
        text::encode(&mut body, &self.registry).expect("writing to a string does not fail");
        body
    }
}

impl Histograms {
    /// Registers the histograms. `duration` describes what they measure in the help
    /// texts.
    fn register(registry: &mut Registry, name: &str, duration: &str) -> Self {
        let histogram =
            || Histogram::new(exponential_buckets(SMALLEST_BUCKET_SECONDS, 2.0, BUCKETS));
        let tenant = Family::new_with_constructor(histogram as fn() -> Histogram);
        let class = Family::new_with_constructor(histogram as fn() -> Histogram);
        let help = format!("Seconds from {duration}, by tenant");
        registry.register(format!("tenant_{name}_seconds"), help, tenant.clone());
        let help = format!("Seconds from {duration}, by kind and service");
        registry.register(format!("class_{name}_seconds"), help, class.clone());
        Self { tenant, class }
    }

    fn observe(&self, tenant: &Tenant, class: &Class, duration: Option<Duration>) {
        let Some(seconds) = duration.map(|duration| duration.as_secs_f64()) else { return };
        self.tenant.get_or_create(tenant).observe(seconds);
        self.class.get_or_create(class).observe(seconds);
    }
}
