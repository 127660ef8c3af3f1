use super::*;

/// Timing of one request.
#[derive(Debug)]
pub(crate) struct RequestTiming {
    arrived: Instant,
    /// Start of the first attempt.
    attempted: Option<Instant>,
    /// Duration of the attempt that was answered.
    upstream: Option<Duration>,
}

impl RequestTiming {
    pub(crate) fn start() -> Self {
        Self { arrived: Instant::now(), attempted: None, upstream: None }
    }

    /// Records the start of an attempt; only the first counts.
    pub(crate) fn start_attempt(&mut self) {
        self.attempted.get_or_insert_with(Instant::now);
    }

    /// Records the duration of an answered attempt.
    pub(crate) fn record_answer(&mut self, upstream: Duration) {
        self.upstream = Some(upstream);
    }

    /// The observation for the metrics of a request that is answered now.
    pub(crate) fn observation<'a>(
        &self,
        call: &'a Call,
        outcome: &'static str,
        reason: &'a str,
    ) -> metric::Observation<'a> {
        metric::Observation {
            tenant: &call.tenant,
            kind: &call.kind,
            service: &call.service,
            outcome,
            reason,
            total: self.arrived.elapsed(),
            queued: self.attempted.map(|attempted| attempted - self.arrived),
            upstream: self.upstream,
        }
    }
}
