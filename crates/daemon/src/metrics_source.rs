use super::*;

/// Source of the metrics.
#[derive(Debug, Clone)]
pub(crate) struct MetricsSource {
    pub(crate) metrics: Arc<metric::Metrics>,
    /// Number of requests not yet answered.
    pub(crate) in_flight: Arc<AtomicU64>,
}

/// Media type of the metrics.
pub(crate) const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

impl MetricsSource {
    /// Encodes all metrics; `status` is the current status of the daemon.
    pub(crate) fn text(&self, status: &node::operator::Status) -> String {
        self.metrics.encode(&metric::Gauges {
            in_flight: self.in_flight.load(Ordering::Acquire),
            pending: status.pending as u64,
            view: status.view,
            leader: status.leader.as_ref() == Some(&status.daemon),
            revision: status.revision,
            log_applied: status.applied,
            log_forced: status.forced,
            threads: threads(),
        })
    }
}

/// Number of threads of this process; 0 if the kernel does not report it.
fn threads() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("Threads:"));
    line.and_then(|count| count.trim().parse().ok()).unwrap_or_default()
}
