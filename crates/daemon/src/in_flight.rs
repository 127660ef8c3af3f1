use super::*;

/// Guard that counts a request as in flight, from its arrival until its answer has been sent.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<AtomicU64>);

impl InFlightGuard {
    pub(crate) fn enter(count: &Arc<AtomicU64>) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(count.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
