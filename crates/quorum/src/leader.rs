//! Leader: appends and replicates entries, advances the commit index, and grants view leases.

use super::*;

impl State {
    pub(crate) fn on_propose(&mut self, now: Time, command: Vec<u8>, effects: &mut Vec<Effect>) {
        if self.is_leader() {
            self.append(now, Entry { term: self.term, command, members: None }, effects);
        }
    }

    /// Appends `entry` to the leader's log, and replicates it.
    pub(crate) fn append(&mut self, now: Time, entry: Entry, effects: &mut Vec<Effect>) {
        self.log.push(entry.clone());
        if entry.members.is_some() {
            self.reload_members(now);
        }
        let first = self.log.last_index();
        effects.push(Effect::Persist(Record::Entries { first, entries: vec![entry] }));
        self.replicate(now, effects);
    }

    pub(crate) fn replicate(&mut self, now: Time, effects: &mut Vec<Effect>) {
        for to in self.other_members() {
            self.replicate_to(now, &to, effects);
        }
    }

    /// Sends `to` the entries that have not been sent yet, without waiting for answers to earlier
    /// ones; if there are none, the message is a heartbeat. Sends a snapshot chunk instead if the
    /// entries have been compacted.
    pub(crate) fn replicate_to(&mut self, now: Time, to: &Name, effects: &mut Vec<Effect>) {
        let grants = self.may_grant_view_leases(now);
        let ElectionState::Leader { progress, .. } = &mut self.election else { return };
        let Some(progress) = progress.get_mut(to) else { return };
        let prev_index = progress.next - 1;
        let Some(prev_term) = self.log.term(prev_index) else {
            return self.send_chunk(now, to, effects);
        };
        let entries = self.log.slice(progress.next, self.limits.max_message_bytes);
        if !entries.is_empty() {
            progress.unanswered_since.get_or_insert(now);
        }
        progress.next += entries.len() as Index;
        progress.last_sent = now;
        let echo = progress.stamp.filter(|_| grants);
        let message = Message::Append {
            term: self.term,
            prev_index,
            prev_term,
            entries,
            commit: self.commit_index,
            forced: self.forced,
            sent: now,
            echo,
        };
        effects.push(Effect::Send { to: to.clone(), message });
    }

    /// The latest time as of which a majority is known to have followed this leader: the send time
    /// of the last messages that a majority has answered.
    pub fn last_majority_contact(&self, now: Time) -> Option<Time> {
        self.majority_value(now, |progress| progress.last_acked_send)
    }

    /// The highest value that a majority of voters has reached, where `own` is this member's value.
    fn majority_value<T: Ord + Copy>(
        &self,
        own: T,
        value: impl Fn(&Progress) -> Option<T>,
    ) -> Option<T> {
        let ElectionState::Leader { progress, .. } = &self.election else { return None };
        let voters =
            progress.iter().filter(|(name, peer)| self.members.is_admitted_voter(name, peer.disk));
        let mut values: Vec<_> = voters.filter_map(|(_, progress)| value(progress)).collect();
        values.extend(Some(own).filter(|_| self.members.is_admitted_voter(&self.id, self.disk)));
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.members.majority() - 1).copied()
    }

    /// Whether this leader may grant view leases.
    pub(crate) fn may_grant_view_leases(&self, now: Time) -> bool {
        now < self.leader_lease_end(now)
    }

    /// Time until which this member surely leads, and may grant view leases: a majority follows it,
    /// and its membership is committed, so that any later leader knows the members that may hold a
    /// lease. A leader that is a majority by itself has no limit. In the past if it does not lead.
    pub(crate) fn leader_lease_end(&self, now: Time) -> Time {
        let ElectionState::Leader { term_start, .. } = self.election else { return Time::ZERO };
        if self.commit_index < term_start.max(self.members_entry_index) {
            return Time::ZERO;
        }
        if self.members.majority() == 1 && self.members.is_admitted_voter(&self.id, self.disk) {
            return Time::MAX;
        }
        self.last_majority_contact(now).map_or(Time::ZERO, |at| at + Timing::LEADER_LEASE)
    }

    /// Steps down if no majority has answered within the leader lease, else sends the heartbeats
    /// that are due.
    pub(crate) fn on_heartbeat_timer(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if !self.is_leader() {
            return;
        }
        let last_majority_contact = self
            .last_majority_contact(now)
            .unwrap_or(self.last_leader_contact)
            .max(self.last_leader_contact);
        if now >= last_majority_contact + Timing::LEADER_LEASE {
            return self.step_down(None, effects);
        }
        self.update_lease_and_forced(now);
        for to in self.heartbeats_due(now) {
            self.send_unordered_heartbeat(now, &to, effects);
            self.replicate_to(now, &to, effects);
        }
        effects
            .push(Effect::Subscribe { timer: Timer::Heartbeat, after: Timing::HEARTBEAT_INTERVAL });
    }

    /// Members that are due a heartbeat: all voters, and observers to which nothing was sent
    /// within their heartbeat interval.
    fn heartbeats_due(&self, now: Time) -> Vec<Name> {
        let ElectionState::Leader { progress, .. } = &self.election else { return Vec::new() };
        let due = progress.iter().filter(|(name, progress)| {
            self.members.is_voter(name)
                || progress.last_sent + Timing::OBSERVER_HEARTBEAT_INTERVAL <= now
        });
        due.map(|(name, _)| name.clone()).collect()
    }

    /// Sends a heartbeat that may arrive before the entries on their way to `to`, if those have not
    /// been answered for a heartbeat interval. It continues from index 0, which every log matches, so
    /// that the answer says nothing about entries.
    fn send_unordered_heartbeat(&self, now: Time, to: &Name, effects: &mut Vec<Effect>) {
        let ElectionState::Leader { progress, .. } = &self.election else { return };
        let Some(progress) = progress.get(to) else { return };
        let since = progress.unanswered_since;
        if since.is_none_or(|since| now < since + Timing::HEARTBEAT_INTERVAL) {
            return;
        }
        let message = Message::Append {
            term: self.term,
            prev_index: 0,
            prev_term: 0,
            entries: Vec::new(),
            commit: self.commit_index,
            forced: self.forced,
            sent: now,
            echo: progress.stamp.filter(|_| self.may_grant_view_leases(now)),
        };
        effects.push(Effect::Send { to: to.clone(), message });
    }

    /// Handles the answer to `Append`.
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
            return self.enter_term(term, None, effects);
        }
        let last = self.log.last_index();
        let ElectionState::Leader { progress, .. } = &mut self.election else { return };
        let Some(peer) = progress.get_mut(&from).filter(|_| term == self.term) else { return };
        peer.last_acked_send = peer.last_acked_send.max(Some(sent));
        peer.stamp = Some(stamp);
        peer.disk = disk;
        peer.view_lease_bound = now + Timing::VIEW_LEASE + Timing::CLOCK_DRIFT;
        peer.applied = applied;
        // A match at or beyond the index of the snapshot ends its transfer.
        peer.transfer = peer.transfer.filter(|transfer| !matched || transfer.index > index);
        // After a gap, the follower also rejects the messages that were already in flight. Only the
        // first of these rejections rewinds, since reacting to each would send the rest of the log
        // once per rejection.
        if matched {
            peer.record_match(now, index.min(last));
        } else if sent >= peer.rewound_at {
            peer.rewind(now, index, last);
        }
        let behind = peer.next <= last;
        self.commit_majority(now, effects);
        self.update_lease_and_forced(now);
        if behind {
            self.replicate_to(now, &from, effects);
        }
    }

    /// Records that the entry at `index` is durable on this member, unless it has been replaced
    /// since by an entry of another term.
    pub(crate) fn on_synced(
        &mut self,
        now: Time,
        term: Term,
        index: Index,
        effects: &mut Vec<Effect>,
    ) {
        if self.log.term(index) == Some(term) {
            self.synced_index = self.synced_index.max(index);
            self.commit_majority(now, effects);
        }
    }

    /// Commits the entries that are durable on a majority, provided that the last of them is of the
    /// current term.
    pub(crate) fn commit_majority(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let commit = self.majority_value(self.synced_index, |progress| Some(progress.matched));
        let Some(commit) = commit else { return };
        if commit > self.commit_index && self.log.term(commit) == Some(self.term) {
            self.advance_commit(commit, effects);
            self.replicate(now, effects);
            self.step_down_if_removed(effects);
        }
    }

    /// Renews the leader's own view lease, and advances `forced` to the lowest index applied by
    /// every member that may hold a view lease. While removed members may hold one, `forced` stays.
    pub(crate) fn update_lease_and_forced(&mut self, now: Time) {
        if let Some(last_majority_contact) =
            self.last_majority_contact(now).filter(|_| self.may_grant_view_leases(now))
        {
            self.view_lease_end =
                self.view_lease_end.max(last_majority_contact + Timing::VIEW_LEASE);
        }
        let ElectionState::Leader { progress, .. } = &self.election else { return };
        if now < self.removed_leases_end {
            return;
        }
        let holders = progress.values().filter(|progress| now < progress.view_lease_bound);
        let slowest = holders.map(|progress| progress.applied).min().unwrap_or(self.applied_index);
        self.forced = self.forced.max(slowest.min(self.applied_index));
    }
}
