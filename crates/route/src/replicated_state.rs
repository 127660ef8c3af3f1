use super::*;

/// Routing state that the replicated log determines, the same on every daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// Claims of non-idempotent requests.
    pub claims: Claims,
    /// Daemons that route requests, and the brokers among them.
    pub roster: Arc<Roster>,
}

impl ReplicatedState {
    /// Applies a committed command.
    pub fn apply(&mut self, command: Command) -> Option<Decision> {
        match command {
            Command::Claim(claim) => self.claims.claim(claim).map(Decision::Claim),
            Command::Release(claim) => {
                self.claims.release(&claim);
                None
            }
            Command::Tick { from, to } => {
                self.claims.tick(from, to);
                None
            }
            Command::Join { daemon, boot } => {
                let changed = Arc::make_mut(&mut self.roster).join(daemon, boot);
                changed.then(|| Decision::Roster(self.roster.clone()))
            }
            Command::Part { daemon, boot } => {
                let changed = Arc::make_mut(&mut self.roster).part(daemon, boot);
                changed.then(|| Decision::Roster(self.roster.clone()))
            }
        }
    }
}
