use super::*;

/// An upstream as the fleet knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// What it announced last.
    pub announcement: Announcement,
    /// Whether it takes new work by its own word.
    pub presence: Presence,
    /// Pool that it serves.
    pub tenure: Option<Tenure>,
    /// Permission to disrupt it.
    pub grant: Option<Grant>,
    /// Number of its present assignment.
    pub epoch: Epoch,
    /// Whether it did not come back from a reboot.
    pub failed: bool,
    /// Fleet time of its last maintenance, or of its first announcement.
    pub maintained: Time,
    /// Pools whose selectors match it; no tenure starts while there are several.
    pub pools: Vec<Name>,
    /// Budgets that count it.
    pub budgets: Vec<Name>,
}

impl Upstream {
    /// An instance that has just announced itself.
    pub fn new(announcement: Announcement, now: Time) -> Self {
        Self {
            announcement,
            presence: Presence::Serving,
            tenure: None,
            grant: None,
            epoch: 0,
            failed: false,
            maintained: now,
            pools: Vec::new(),
            budgets: Vec::new(),
        }
    }

    /// The pool that selects it; of several, the one that it is in.
    pub fn wanted(&self) -> Option<&Name> {
        let home = self.tenure.as_ref().map(|tenure| &tenure.home);
        match self.pools.as_slice() {
            [pool] => Some(pool),
            pools => pools.iter().find(|pool| Some(*pool) == home),
        }
    }

    /// Whether it is in another pool than the one that selects it.
    pub fn misplaced(&self) -> bool {
        self.tenure.as_ref().is_some_and(|tenure| Some(&tenure.home) != self.wanted())
    }

    /// Whether its grant drains it.
    pub fn is_draining(&self) -> bool {
        self.grant.as_ref().is_some_and(|grant| grant.phase.is_draining())
    }
}
