//! Who takes part. A membership is an entry of the log and holds from the moment at which a member
//! has that entry; one member changes at a time, after Ongaro, "Consensus: Bridging Theory and
//! Practice" (2014), section 4.1.
//!
//! The first entry of a log is the founding membership, with the identity of each voter's disk. A
//! voter whose disk is gone has another identity, so that neither its votes nor its answers count
//! until it is made an observer and then a voter again. The leader that founds the log needs the
//! votes of all voters, since a voter with an empty disk cannot know what it has forgotten.

use super::*;

impl State {
    /// Whether this member may be elected: it is a voter, or it was before a change that is not
    /// known to be committed, and that only it may be able to commit.
    pub(crate) fn stands(&self) -> bool {
        let founder = !self.members.is_bootstrapped() && self.members.is_voter(&self.id);
        let committed = self.log.members_at(self.commit.max(1));
        let was = committed.is_some_and(|(_, members)| members.counts(&self.id, self.disk));
        self.disk.is_some() && (founder || was || self.members.counts(&self.id, self.disk))
    }

    /// Whether a voter's disk is another than the one it was admitted with.
    pub fn lost_disk(&self) -> bool {
        let founded = self.members.is_bootstrapped() && self.members.is_voter(&self.id);
        founded && !self.members.counts(&self.id, self.disk)
    }

    /// Takes the members from the log after it has changed.
    pub(crate) fn refresh_members(&mut self, now: Time) {
        let (index, members) = self.log.members().unwrap_or((0, &self.founders));
        self.members_index = index;
        if *members == self.members {
            return;
        }
        let former = std::mem::replace(&mut self.members, members.clone());
        if former.iter().any(|(name, _)| self.members.get(name).is_none()) {
            self.hold_until = now + Timing::VIEW_LEASE + Timing::DRIFT;
        }
        self.refresh_progress(now);
    }

    fn refresh_progress(&mut self, now: Time) {
        let next = self.log.last_index() + 1;
        let others = self.others();
        let Standing::Leader { progress, .. } = &mut self.standing else { return };
        progress.retain(|name, _| others.contains(name));
        for name in others {
            let granted_until = now + Timing::VIEW_LEASE + Timing::DRIFT;
            progress.entry(name).or_insert_with(|| Progress::new(next, granted_until));
        }
    }

    pub(crate) fn on_change(&mut self, now: Time, change: Change, effects: &mut Vec<Effect>) {
        let result = self.changed(&change).map(|members| {
            if members != self.members {
                let entry = Entry { term: self.term, command: Vec::new(), members: Some(members) };
                self.append(now, entry, effects);
            }
            self.members_index
        });
        effects.push(Effect::Changed(result));
    }

    /// The members after `change`.
    fn changed(&self, change: &Change) -> Result<Members, Refusal> {
        let Standing::Leader { opened, progress } = &self.standing else {
            return Err(Refusal::NotLeader);
        };
        if self.commit < *opened || self.commit < self.members_index {
            return Err(Refusal::Busy);
        }
        let name = change.name();
        let member = match change {
            Change::Voter(_) => Some(self.promoted(name, progress.get(name))?),
            Change::Observer(_) => Some(Member { role: Role::Observer, disk: None }),
            Change::Remove(_) => None,
        };
        let members = self.members.with(name, member);
        if members.voters().next().is_none() {
            return Err(Refusal::LastVoter);
        }
        Ok(members)
    }

    fn promoted(&self, name: &Name, progress: Option<&Progress>) -> Result<Member, Refusal> {
        if let Some(member) = self.members.get(name).filter(|member| member.role == Role::Voter) {
            let disk = progress.map_or(self.disk, |progress| progress.disk);
            let same = disk.is_none() || disk == member.disk;
            return if same { Ok(member) } else { Err(Refusal::OtherDisk) };
        }
        let progress = progress.ok_or(Refusal::NotReady)?;
        let disk =
            progress.disk.filter(|_| progress.matched + self.limits.kept_entries >= self.commit);
        Ok(Member { role: Role::Voter, disk: Some(disk.ok_or(Refusal::NotReady)?) })
    }

    /// Ends the leadership of a member that is no voter any more, once that is committed.
    pub(crate) fn retire(&mut self, effects: &mut Vec<Effect>) {
        let counts = self.members.counts(&self.id, self.disk);
        let retired = self.commit >= self.members_index && !counts;
        if self.is_leader() && retired {
            self.step_down(None, effects);
        }
    }
}
