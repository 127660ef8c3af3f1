use super::*;

/// Every metric of a daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<Answer, Counter>,
    total: Times,
    queued: Times,
    upstream: Times,
    present: Present,
    tenants: Bounded,
    kinds: Bounded,
    services: Bounded,
}

/// Histograms of one time, by tenant and by class.
#[derive(Debug)]
struct Times {
    tenant: Family<Tenant, Histogram>,
    class: Family<Class, Histogram>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Answer {
    outcome: &'static str,
    reason: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Tenant {
    tenant: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Class {
    kind: String,
    service: String,
}

/// Upper end of the smallest bucket, in seconds.
const SMALLEST_BUCKET: f64 = 0.000_25;

/// Buckets of a histogram, each twice as large as the one before.
const BUCKETS: u16 = 18;

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Metrics that have seen nothing.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("sardinevalve");
        let requests = Family::default();
        registry.register("requests", "Requests answered", requests.clone());
        Self {
            present: Present::register(&mut registry),
            total: Times::register(&mut registry, "request", "arrival to answer"),
            queued: Times::register(&mut registry, "queue", "arrival to first attempt"),
            upstream: Times::register(&mut registry, "upstream", "the attempt answered"),
            requests,
            registry,
            tenants: Bounded::default(),
            kinds: Bounded::default(),
            services: Bounded::default(),
        }
    }

    /// Counts a request that was answered.
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

    /// Counts a request by its outcome alone.
    pub fn count(&self, outcome: &'static str, reason: &str) {
        self.requests.get_or_create(&Answer { outcome, reason: reason.to_owned() }).inc();
    }

    /// The text of all metrics, with `gauges` as the present state.
    pub fn encode(&self, gauges: &Gauges) -> String {
        self.present.set(gauges);
        let mut body = String::new();
        text::encode(&mut body, &self.registry).expect("a string takes every line");
        body
    }
}

impl Times {
    fn register(registry: &mut Registry, name: &str, what: &str) -> Self {
        let histogram = || Histogram::new(exponential_buckets(SMALLEST_BUCKET, 2.0, BUCKETS));
        let tenant = Family::new_with_constructor(histogram as fn() -> Histogram);
        let class = Family::new_with_constructor(histogram as fn() -> Histogram);
        let help = format!("Seconds from {what}, by tenant");
        registry.register(format!("tenant_{name}_seconds"), help, tenant.clone());
        let help = format!("Seconds from {what}, by kind and service");
        registry.register(format!("class_{name}_seconds"), help, class.clone());
        Self { tenant, class }
    }

    fn observe(&self, tenant: &Tenant, class: &Class, time: Option<Duration>) {
        let Some(seconds) = time.map(|time| time.as_secs_f64()) else { return };
        self.tenant.get_or_create(tenant).observe(seconds);
        self.class.get_or_create(class).observe(seconds);
    }
}
