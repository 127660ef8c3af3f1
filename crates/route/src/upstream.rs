use super::*;

/// An upstream as its pool sees it.
#[derive(Debug, Clone)]
pub(crate) struct Upstream {
    pub(crate) announcement: Announcement,
    pub(crate) serving: bool,
    /// Slots that are granted.
    pub(crate) in_flight: u32,
    /// Slots that may be granted at once, before any are set aside.
    pub(crate) slots: u32,
    /// Slots set aside for what former brokers may have granted.
    pub(crate) reserved: u32,
    /// Failures since the last success.
    pub(crate) failures: u32,
    /// Refusals since the last success.
    pub(crate) refusals: u32,
    /// Ejections since the last success.
    pub(crate) ejections: u32,
    /// Whether it rests because it was ejected.
    pub(crate) ejected: bool,
    /// Gets no work until then.
    pub(crate) rest: Option<Time>,
    /// Its key among the free ones.
    pub(crate) indexed: Option<u32>,
}

impl Upstream {
    pub(crate) fn new(announcement: Announcement, slots: u32) -> Self {
        Self {
            announcement,
            serving: true,
            in_flight: 0,
            slots,
            reserved: 0,
            failures: 0,
            refusals: 0,
            ejections: 0,
            ejected: false,
            rest: None,
            indexed: None,
        }
    }

    /// Slots that may be granted at once; one after an ejection, until a request succeeds.
    pub(crate) fn limit(&self) -> u32 {
        match (self.serving && self.rest.is_none(), self.ejections) {
            (false, _) => 0,
            (true, 0) => self.slots.saturating_sub(self.reserved),
            (true, _) => self.slots.saturating_sub(self.reserved).min(1),
        }
    }

    pub(crate) fn is_free(&self) -> bool {
        self.in_flight < self.limit()
    }
}
