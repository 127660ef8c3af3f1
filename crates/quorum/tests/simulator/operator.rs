use super::*;

impl World {
    /// Simulates an operator: restores the initial roles of members, and while faults are enabled,
    /// removes members or makes them observers at random.
    pub(super) fn run_operator(&mut self) {
        let leader = self.leader().map(|host| host.state.id().clone());
        let change =
            leader.as_ref().and_then(|leader| self.repair_change(leader).or(self.random_change()));
        if let (Some(leader), Some(change)) = (leader, change) {
            self.step(&leader, Event::Change(change));
        }
        let delay = self.random_delay(1500);
        self.schedule(delay, world::SimEvent::Operate);
    }

    /// A change that brings a member closer to its initial role: it adds a removed member as an
    /// observer, demotes a voter that has lost its disk, or promotes an observer whose initial role
    /// is voter.
    fn repair_change(&self, leader: &Name) -> Option<Change> {
        let members = self.hosts[leader].state.members();
        self.hosts.iter().find_map(|(name, host)| {
            let role = members.get(name).map(|member| member.role);
            let lost_disk =
                members.is_voter(name) && !members.is_admitted_voter(name, Some(host.disk));
            match (role, host.role) {
                (Some(Role::Observer), Role::Voter) => Some(Change::Voter(name.clone())),
                (role, _) if role.is_none() || lost_disk => Some(Change::Observer(name.clone())),
                _ => None,
            }
        })
    }

    fn random_change(&mut self) -> Option<Change> {
        let names: Vec<_> = self.hosts.keys().cloned().collect();
        let name = names.choose(&mut self.rng)?.clone();
        match self.rng.random_range(0..10) {
            0 if self.faults_enabled => Some(Change::Remove(name)),
            1 if self.faults_enabled => Some(Change::Observer(name)),
            _ => None,
        }
    }
}
