use super::*;

/// An upstream with what this daemon has in flight there.
#[derive(Debug, Clone)]
pub(crate) struct Upstream {
    pub(crate) announcement: Announcement,
    pub(crate) serving: bool,
    pub(crate) in_flight: u32,
}

impl Upstream {
    pub(crate) fn has_slot(&self) -> bool {
        self.serving && self.in_flight < self.announcement.slots
    }
}
