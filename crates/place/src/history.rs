use super::*;

/// The most recent jobs that have ended. The oldest are dropped first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    jobs: BTreeMap<Name, Past>,
    order: VecDeque<Name>,
}

/// A job that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Past {
    pub(crate) job: Arc<Job>,
    pub(crate) verdict: Verdict,
    pub(crate) outcome: Outcome,
}

impl History {
    /// Maximum number of jobs kept.
    pub const MAX: usize = 10_000;

    /// How the job `id` ended, if it has ended and is still kept.
    pub fn outcome(&self, id: &Name) -> Option<Outcome> {
        self.jobs.get(id).map(|past| past.outcome)
    }

    pub(crate) fn get(&self, id: &Name) -> Option<&Past> {
        self.jobs.get(id)
    }

    pub(crate) fn insert(&mut self, id: Name, past: Past) {
        self.order.push_back(id.clone());
        self.jobs.insert(id, past);
        if self.order.len() > Self::MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.jobs.remove(&oldest);
        }
    }
}
