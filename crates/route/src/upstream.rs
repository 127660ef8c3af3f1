use super::*;

/// An instance that runs requests, with the load and health that its pool tracks.
#[derive(Debug, Clone)]
pub(crate) struct Upstream {
    pub(crate) announcement: Announcement,
    /// Whether it accepts new requests.
    pub(crate) serving: bool,
    /// Granted slots.
    pub(crate) in_flight: u32,
    /// Slots that may be granted at once, including reserved ones.
    pub(crate) slots: u32,
    /// Slots withheld because earlier brokers may have granted them.
    pub(crate) reserved: u32,
    /// Failures since the last success.
    pub(crate) failures: u32,
    /// Refusals since the last success.
    pub(crate) refusals: u32,
    /// Ejections since the last success.
    pub(crate) ejections: u32,
    /// Whether it is paused because of failures rather than because it refused a request.
    pub(crate) ejected: bool,
    /// End of its pause, during which no slots are granted.
    pub(crate) paused_until: Option<Time>,
    /// In-flight count under which it is listed among the pool's free upstreams, if it is.
    pub(crate) free_key: Option<u32>,
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
            paused_until: None,
            free_key: None,
        }
    }

    /// Slots that may be granted at once. After an ejection this is 1 until a request succeeds.
    pub(crate) fn limit(&self) -> u32 {
        match (self.serving && self.paused_until.is_none(), self.ejections) {
            (false, _) => 0,
            (true, 0) => self.slots.saturating_sub(self.reserved),
            (true, _) => self.slots.saturating_sub(self.reserved).min(1),
        }
    }

    pub(crate) fn is_free(&self) -> bool {
        self.in_flight < self.limit()
    }
}
