use super::*;

/// Gauges as they are registered.
#[derive(Debug, Default)]
pub(crate) struct Present {
    in_flight: Gauge,
    pending: Gauge,
    view: Gauge,
    leader: Gauge,
    revision: Gauge,
    applied: Gauge,
    forced: Gauge,
    threads: Gauge,
}

impl Present {
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let present = Self::default();
        let mut register = |name: &str, help: &str, gauge: &Gauge| {
            registry.register(name, help, gauge.clone());
        };
        register("in_flight", "Requests whose answers have not gone out", &present.in_flight);
        register("pending", "Requests without a final answer", &present.pending);
        register("view", "Whether the configuration may be acted on", &present.view);
        register("leader", "Whether this daemon leads", &present.leader);
        register("revision", "Number of the configuration", &present.revision);
        register("log_applied", "Highest log position applied", &present.applied);
        register("log_forced", "Highest log position in force everywhere", &present.forced);
        register("threads", "Threads of the process", &present.threads);
        present
    }

    pub(crate) fn set(&self, gauges: &Gauges) {
        self.in_flight.set(gauges.in_flight as i64);
        self.pending.set(gauges.pending as i64);
        self.view.set(gauges.view.into());
        self.leader.set(gauges.leader.into());
        self.revision.set(gauges.revision as i64);
        self.applied.set(gauges.log_applied as i64);
        self.forced.set(gauges.log_forced as i64);
        self.threads.set(gauges.threads as i64);
    }
}
