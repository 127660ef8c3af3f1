use super::*;

/// A fault that the simulation injects.
#[derive(Debug, Clone, Copy)]
pub(super) enum Fault {
    Crash,
    CrashLeader,
    /// Pauses a member for up to 4 s; its events are handled afterwards.
    Freeze,
    /// Blocks all links of a member in both directions.
    Isolate,
    IsolateLeader,
    /// Splits the members into two groups that cannot reach each other.
    Partition,
    /// Blocks one link in one direction.
    BlockOneWay,
    LoseDisk,
    /// Makes the leader transfer leadership.
    Yield,
    /// Unblocks all links.
    Heal,
}

impl Fault {
    const ALL: [Self; 10] = [
        Self::Crash,
        Self::CrashLeader,
        Self::Freeze,
        Self::Isolate,
        Self::IsolateLeader,
        Self::Partition,
        Self::BlockOneWay,
        Self::LoseDisk,
        Self::Yield,
        Self::Heal,
    ];

    pub(super) fn random(rng: &mut ChaCha8Rng) -> Self {
        *Self::ALL.choose(rng).expect("there are faults")
    }
}

impl World {
    pub(super) fn inject(&mut self, fault: Fault) {
        let names: Vec<_> = self.hosts.keys().cloned().collect();
        let any = names.choose(&mut self.rng).expect("there are members").clone();
        let leader = names.iter().find(|name| self.hosts[*name].state.is_leader()).cloned();
        let leader = leader.unwrap_or_else(|| any.clone());
        match fault {
            Fault::Crash => self.crash(&any),
            Fault::CrashLeader => self.crash(&leader),
            Fault::Freeze => {
                let until = self.now + self.random_delay(4000);
                self.host(&any).frozen_until = until;
            }
            Fault::Isolate => self.isolate(&names, &any),
            Fault::IsolateLeader => self.isolate(&names, &leader),
            Fault::Partition => self.partition(&names),
            Fault::BlockOneWay => {
                let pair = (any, names.choose(&mut self.rng).expect("there are members").clone());
                self.blocked_links.insert(pair);
            }
            Fault::LoseDisk => self.lose_disk(&any),
            Fault::Yield => self.step(&leader, Event::Yield),
            Fault::Heal => self.blocked_links.clear(),
        }
    }

    fn crash(&mut self, name: &Name) {
        if !self.hosts[name].up {
            return;
        }
        let written = self.rng.random_range(0..4);
        self.host(name).crash(written);
        let delay = self.random_delay(4000);
        self.schedule(delay, world::SimEvent::Start(name.clone()));
    }

    /// Replaces the disk of a voter, provided that every other voter still has its recorded disk.
    fn lose_disk(&mut self, name: &Name) {
        let all_known = self.hosts.values().all(|host| host.up && self.knows_all_disks(host));
        if all_known && self.hosts[name].role == Role::Voter {
            self.crash(name);
            let disk = self.rng.random();
            self.host(name).lose_disk(disk);
        }
    }

    /// Whether `host` has every voter's current disk in its membership.
    fn knows_all_disks(&self, host: &Host) -> bool {
        let mut voters = self.hosts.iter().filter(|(_, voter)| voter.role == Role::Voter);
        voters.all(|(name, voter)| host.state.members().is_admitted_voter(name, Some(voter.disk)))
    }

    fn isolate(&mut self, names: &[Name], lone: &Name) {
        for name in names {
            self.blocked_links.insert((lone.clone(), name.clone()));
            self.blocked_links.insert((name.clone(), lone.clone()));
        }
    }

    fn partition(&mut self, names: &[Name]) {
        let side: BTreeSet<_> =
            names.iter().filter(|_| self.rng.random_bool(0.5)).cloned().collect();
        for from in names {
            for to in names.iter().filter(|to| side.contains(from) != side.contains(*to)) {
                self.blocked_links.insert((from.clone(), to.clone()));
            }
        }
    }
}
