use super::*;

/// Times of one request.
#[derive(Debug)]
pub(crate) struct Trace {
    arrived: Instant,
    attempted: Option<Instant>,
    /// How long the attempt took that was answered.
    upstream: Option<Duration>,
}

impl Trace {
    pub(crate) fn start() -> Self {
        Self { arrived: Instant::now(), attempted: None, upstream: None }
    }

    /// Notes that an attempt starts.
    pub(crate) fn attempt(&mut self) {
        self.attempted.get_or_insert_with(Instant::now);
    }

    /// Notes how long an attempt took that was answered.
    pub(crate) fn answer(&mut self, upstream: Duration) {
        self.upstream = Some(upstream);
    }

    /// What the metrics learn of a request that is answered now.
    pub(crate) fn observe<'a>(
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
