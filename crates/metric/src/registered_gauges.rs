use super::*;

/// The gauges in the registry, one for each field of [`Gauges`].
#[derive(Debug, Default)]
pub(crate) struct RegisteredGauges {
    in_flight: Gauge,
    pending: Gauge,
    view: Gauge,
    leader: Gauge,
    revision: Gauge,
    log_applied: Gauge,
    log_forced: Gauge,
    threads: Gauge,
}

impl RegisteredGauges {
    /// Adds the gauges to `registry`.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let gauges = Self::default();
        let mut register = |name: &str, help: &str, gauge: &Gauge| {
            registry.register(name, help, gauge.clone());
        };
        register("in_flight", "Requests whose answers have not gone out", &gauges.in_flight);
        register("pending", "Requests without a final answer", &gauges.pending);
        register("view", "Whether the configuration may be acted on", &gauges.view);
        register("leader", "Whether this daemon leads", &gauges.leader);
        register("revision", "Number of the configuration", &gauges.revision);
        register("log_applied", "Highest log position applied", &gauges.log_applied);
        register("log_forced", "Highest log position in force everywhere", &gauges.log_forced);
        register("threads", "Threads of the process", &gauges.threads);
        gauges
    }

    /// Sets all gauges to the current values.
    pub(crate) fn set(&self, gauges: &Gauges) {
        self.in_flight.set(gauges.in_flight as i64);
        self.pending.set(gauges.pending as i64);
        self.view.set(gauges.view.into());
        self.leader.set(gauges.leader.into());
        self.revision.set(gauges.revision as i64);
        self.log_applied.set(gauges.log_applied as i64);
        self.log_forced.set(gauges.log_forced as i64);
        self.threads.set(gauges.threads as i64);
    }
}
