//! What a leader does: it appends, replicates, commits, and grants view leases.

use super::*;

impl State {
    pub(crate) fn on_propose(&mut self, now: Time, command: Vec<u8>, effects: &mut Vec<Effect>) {
        if self.is_leader() {
            self.append(now, Entry { term: self.term, command, members: None }, effects);
        }
    }

    pub(crate) fn append(&mut self, now: Time, entry: Entry, effects: &mut Vec<Effect>) {
        self.log.push(entry.clone());
        if entry.members.is_some() {
            self.refresh_members(now);
        }
        let first = self.log.last_index();
        effects.push(Effect::Persist(Record::Entries { first, entries: vec![entry] }));
        self.replicate(now, effects);
    }

    pub(crate) fn replicate(&mut self, now: Time, effects: &mut Vec<Effect>) {
        for to in self.others() {
            self.replicate_to(now, &to, effects);
        }
    }

    pub(crate) fn replicate_to(&mut self, now: Time, to: &Name, effects: &mut Vec<Effect>) {
        let grants = self.may_grant(now);
        let Standing::Leader { progress, .. } = &mut self.standing else { return };
        let Some(progress) = progress.get_mut(to) else { return };
        let prev_index = progress.next - 1;
        let Some(prev_term) = self.log.term(prev_index) else {
            return self.send_chunk(now, to, effects);
        };
        let entries = self.log.slice(progress.next, self.limits.message_bytes);
        progress.next += entries.len() as Index;
        progress.sent = now;
        let echo = progress.stamp.filter(|_| grants);
        let message = Message::Append {
            term: self.term,
            prev_index,
            prev_term,
            entries,
            commit: self.commit,
            forced: self.forced,
            sent: now,
            echo,
        };
        effects.push(Effect::Send { to: to.clone(), message });
    }

    /// Latest time at which a majority is known to have followed this leader.
    pub(crate) fn led_at(&self, now: Time) -> Option<Time> {
        self.majority_at(now, |progress| progress.last_acked_send)
    }

    /// Highest value that a majority has reached, given this member's own.
    fn majority_at<T: Ord + Copy>(
        &self,
        own: T,
        value: impl Fn(&Progress) -> Option<T>,
    ) -> Option<T> {
        let Standing::Leader { progress, .. } = &self.standing else { return None };
        let voters = progress.iter().filter(|(name, peer)| self.members.counts(name, peer.disk));
        let mut values: Vec<_> = voters.filter_map(|(_, progress)| value(progress)).collect();
        values.extend(Some(own).filter(|_| self.members.counts(&self.id, self.disk)));
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.members.majority() - 1).copied()
    }

    /// Whether this leader may grant view leases: a majority follows it, and whoever is elected next
    /// knows the same members, since their entry is committed.
    pub(crate) fn may_grant(&self, now: Time) -> bool {
        let Standing::Leader { opened, .. } = self.standing else { return false };
        let Some(led_at) = self.led_at(now) else { return false };
        let known = self.commit >= opened.max(self.members_index);
        known && now < led_at + Timing::LEADER_LEASE
    }

    pub(crate) fn on_heartbeat(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if !self.is_leader() {
            return;
        }
        let led_at = self.led_at(now).unwrap_or(self.heard).max(self.heard);
        if now >= led_at + Timing::LEADER_LEASE {
            return self.step_down(None, effects);
        }
        self.advance_forced(now);
        for to in self.beat_due(now) {
            self.replicate_to(now, &to, effects);
        }
        effects.push(Effect::Subscribe { timer: Timer::Heartbeat, after: Timing::HEARTBEAT });
    }

    /// Members that should hear from the leader again.
    fn beat_due(&self, now: Time) -> Vec<Name> {
        let Standing::Leader { progress, .. } = &self.standing else { return Vec::new() };
        let due = progress.iter().filter(|(name, progress)| {
            self.members.is_voter(name) || progress.sent + Timing::OBSERVER_HEARTBEAT <= now
        });
        due.map(|(name, _)| name.clone()).collect()
    }

    pub(crate) fn on_appended(
        &mut self,
        now: Time,
        from: Name,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        let Message::Appended { term, matched, index, applied, sent, stamp, disk } = message else {
            return;
        };
        if term > self.term {
            return self.enter(term, None, effects);
        }
        let last = self.log.last_index();
        let Standing::Leader { progress, .. } = &mut self.standing else { return };
        let Some(peer) = progress.get_mut(&from).filter(|_| term == self.term) else { return };
        peer.last_acked_send = peer.last_acked_send.max(Some(sent));
        peer.stamp = Some(stamp);
        peer.disk = disk;
        peer.granted_until = now + Timing::VIEW_LEASE + Timing::DRIFT;
        peer.applied = applied;
        peer.transfer = peer.transfer.filter(|transfer| !matched || transfer.index > index);
        if matched {
            peer.matched = peer.matched.max(index.min(last));
            peer.next = peer.next.max(peer.matched + 1);
        } else if sent >= peer.went_back {
            peer.matched = peer.matched.min(index);
            peer.next = index.min(last) + 1;
            peer.went_back = now;
        }
        // Whatever else was on its way when the member missed something is refused as well. What it
        // lacks is sent again only once, or each refusal would bring the whole rest of the log.
        let behind = peer.next <= last;
        self.commit_majority(now, effects);
        self.advance_forced(now);
        if behind {
            self.replicate_to(now, &from, effects);
        }
    }

    pub(crate) fn on_synced(
        &mut self,
        now: Time,
        term: Term,
        index: Index,
        effects: &mut Vec<Effect>,
    ) {
        if self.log.term(index) == Some(term) {
            self.synced = self.synced.max(index);
            self.commit_majority(now, effects);
        }
    }

    pub(crate) fn commit_majority(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let commit = self.majority_at(self.synced, |progress| Some(progress.matched));
        let Some(commit) = commit else { return };
        if commit > self.commit && self.log.term(commit) == Some(self.term) {
            self.advance_commit(commit, effects);
            self.replicate(now, effects);
            self.retire(effects);
        }
    }

    pub(crate) fn advance_forced(&mut self, now: Time) {
        if let Some(led_at) = self.led_at(now).filter(|_| self.may_grant(now)) {
            self.view_lease_end = self.view_lease_end.max(led_at + Timing::VIEW_LEASE);
        }
        let Standing::Leader { progress, .. } = &self.standing else { return };
        if now < self.hold_until {
            return;
        }
        let holders = progress.values().filter(|progress| now < progress.granted_until);
        let slowest = holders.map(|progress| progress.applied).min().unwrap_or(self.applied);
        self.forced = self.forced.max(slowest.min(self.applied));
    }
}
