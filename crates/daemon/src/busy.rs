use super::*;

/// A request between its arrival and the end of its answer, counted as long as this exists.
#[derive(Debug)]
pub(crate) struct Busy(Arc<AtomicU64>);

impl Busy {
    pub(crate) fn enter(count: &Arc<AtomicU64>) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(count.clone())
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
