use super::*;

impl World {
    /// An operator changes members now and then, and puts right what differs from the start.
    pub(super) fn operate(&mut self) {
        let leader = self.leader().map(|host| host.state.id().clone());
        let change = leader.as_ref().and_then(|leader| self.repair(leader).or(self.whim()));
        if let (Some(leader), Some(change)) = (leader, change) {
            self.step(&leader, Event::Change(change));
        }
        let after = self.up_to(1500);
        self.schedule(after, world::Happening::Operate);
    }

    fn repair(&self, leader: &Name) -> Option<Change> {
        let members = self.hosts[leader].state.members();
        self.hosts.iter().find_map(|(name, host)| {
            let role = members.get(name).map(|member| member.role);
            let lost = members.is_voter(name) && !members.counts(name, Some(host.disk));
            match (role, host.role) {
                (Some(Role::Observer), Role::Voter) => Some(Change::Voter(name.clone())),
                (role, _) if role.is_none() || lost => Some(Change::Observer(name.clone())),
                _ => None,
            }
        })
    }

    fn whim(&mut self) -> Option<Change> {
        let names: Vec<_> = self.hosts.keys().cloned().collect();
        let name = names.choose(&mut self.rng)?.clone();
        match self.rng.random_range(0..10) {
            0 if self.faulty => Some(Change::Remove(name)),
            1 if self.faulty => Some(Change::Observer(name)),
            _ => None,
        }
    }
}
