use super::*;

/// State of one upstream instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its latest announcement.
    pub announcement: Announcement,
    /// Whether it is present.
    pub presence: Presence,
    /// Its pool membership.
    pub tenure: Option<Tenure>,
    /// Current permission to disrupt it.
    pub grant: Option<Grant>,
    /// Fencing number of its current assignment.
    pub epoch: Epoch,
    /// Whether it did not come back from a reboot in time. Cleared by a new incarnation.
    pub failed: bool,
    /// Fleet time of its last maintenance, or of its first announcement.
    pub maintained: Time,
    /// Pools whose selectors match it; it joins none of them while there are several.
    pub pools: Vec<Name>,
    /// Budgets whose selectors match it.
    pub budgets: Vec<Name>,
}

impl Upstream {
    /// An instance that announces itself for the first time.
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

    /// The pool that selects the instance; if several do, the home pool of its tenure.
    pub fn selected_pool(&self) -> Option<&Name> {
        let home = self.tenure.as_ref().map(|tenure| &tenure.home);
        match self.pools.as_slice() {
            [pool] => Some(pool),
            pools => pools.iter().find(|pool| Some(*pool) == home),
        }
    }

    /// Whether its home pool no longer selects it.
    pub fn is_misplaced(&self) -> bool {
        self.tenure.as_ref().is_some_and(|tenure| Some(&tenure.home) != self.selected_pool())
    }

    /// Whether it is being drained under a grant.
    pub fn is_draining(&self) -> bool {
        self.grant.as_ref().is_some_and(|grant| grant.phase.is_draining())
    }
}
