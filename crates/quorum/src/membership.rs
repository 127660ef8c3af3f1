//! Membership changes. A membership is a log entry, and a member uses it as soon as the entry is in
//! its log, committed or not. Only one member changes at a time; see Ongaro, "Consensus: Bridging
//! Theory and Practice" (2014), section 4.1.
//!
//! The first entry of a log is the initial membership, with the identity of each voter's disk. A
//! voter that has lost its disk reports another identity, so its votes and acknowledgements do not
//! count until it has been demoted to observer and promoted again. The first election needs the
//! votes of all voters, since a voter with an empty disk cannot know whether it has voted or
//! acknowledged entries before.

use super::*;

impl State {
    /// Whether this member may stand for election: it is a voter with the recorded disk, or was one
    /// as of the commit index. In the latter case its log has a later membership that is not known
    /// to be committed, and this member may be the only one that can commit it. Until the cluster
    /// is bootstrapped, each voter that has a disk may stand.
    pub(crate) fn is_electable(&self) -> bool {
        let initial_voter = !self.members.is_bootstrapped() && self.members.is_voter(&self.id);
        // The initial membership, at index 1, counts even if it is not known to be committed.
        let committed = self.log.members_at(self.commit_index.max(1));
        let was_voter =
            committed.is_some_and(|(_, members)| members.is_admitted_voter(&self.id, self.disk));
        self.disk.is_some()
            && (initial_voter || was_voter || self.members.is_admitted_voter(&self.id, self.disk))
    }

    /// Whether this member is a voter whose disk differs from the one recorded in the membership.
    pub fn lost_disk(&self) -> bool {
        let is_voter = self.members.is_bootstrapped() && self.members.is_voter(&self.id);
        is_voter && !self.members.is_admitted_voter(&self.id, self.disk)
    }

    /// Reloads the membership after the log has changed. If a member was removed, records until
    /// when it may still hold a view lease.
    pub(crate) fn reload_members(&mut self, now: Time) {
        let (index, members) = self.log.members().unwrap_or((0, &self.initial_members));
        self.members_entry_index = index;
        if *members == self.members {
            return;
        }
        let previous = std::mem::replace(&mut self.members, members.clone());
        if previous.iter().any(|(name, _)| self.members.get(name).is_none()) {
            self.removed_leases_end = now + Timing::VIEW_LEASE + Timing::CLOCK_DRIFT;
        }
        self.refresh_progress(now);
    }

    /// Makes the leader track the replication progress of exactly the current members.
    fn refresh_progress(&mut self, now: Time) {
        let next = self.log.last_index() + 1;
        let others = self.other_members();
        let ElectionState::Leader { progress, .. } = &mut self.election else { return };
        progress.retain(|name, _| others.contains(name));
        for name in others {
            progress.entry(name).or_insert_with(|| Progress::new(now, next));
        }
    }

    /// Appends the membership that results from `change`, unless it is the current one, and reports
    /// the index of the entry that sets it.
    pub(crate) fn on_change(&mut self, now: Time, change: Change, effects: &mut Vec<Effect>) {
        let result = self.members_after(&change).map(|members| {
            if members != self.members {
                let entry = Entry { term: self.term, command: Vec::new(), members: Some(members) };
                self.append(now, entry, effects);
            }
            self.members_entry_index
        });
        effects.push(Effect::Changed(result));
    }

    /// The membership that results from `change`. Refused unless this member leads and has
    /// committed an entry of its term and the previous change, and at least one voter is left.
    fn members_after(&self, change: &Change) -> Result<Members, Refusal> {
        let ElectionState::Leader { term_start, progress } = &self.election else {
            return Err(Refusal::NotLeader);
        };
        if self.commit_index < *term_start || self.commit_index < self.members_entry_index {
            return Err(Refusal::Busy);
        }
        let name = change.name();
        let member = match change {
            Change::Voter(_) => Some(self.promoted_member(name, progress.get(name))?),
            Change::Observer(_) => Some(Member { role: Role::Observer, disk: None }),
            Change::Remove(_) => None,
        };
        let members = self.members.with_member(name, member);
        if members.voters().next().is_none() {
            return Err(Refusal::LastVoter);
        }
        Ok(members)
    }

    /// The voter that results from promoting `name`. Refused unless the member has a disk and is at
    /// most [`Limits::retained_entries`] behind the commit index. An existing voter stays as it
    /// is, and is refused if it has another disk than the recorded one.
    fn promoted_member(&self, name: &Name, progress: Option<&Progress>) -> Result<Member, Refusal> {
        if let Some(member) = self.members.get(name).filter(|member| member.role == Role::Voter) {
            let disk = progress.map_or(self.disk, |progress| progress.disk);
            let same_disk = disk.is_none() || disk == member.disk;
            return if same_disk { Ok(member) } else { Err(Refusal::OtherDisk) };
        }
        let progress = progress.ok_or(Refusal::NotReady)?;
        let disk = progress
            .disk
            .filter(|_| progress.matched + self.limits.retained_entries >= self.commit_index);
        Ok(Member { role: Role::Voter, disk: Some(disk.ok_or(Refusal::NotReady)?) })
    }

    /// Steps down if a committed membership change has made this leader a non-voter.
    pub(crate) fn step_down_if_removed(&mut self, effects: &mut Vec<Effect>) {
        let is_voter = self.members.is_admitted_voter(&self.id, self.disk);
        let was_removed = self.commit_index >= self.members_entry_index && !is_voter;
        if self.is_leader() && was_removed {
            self.step_down(None, effects);
        }
    }
}
