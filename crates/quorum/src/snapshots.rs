//! Snapshots. A member snapshots its own state and compacts its log; a leader sends its snapshot in
//! chunks to a member that needs compacted entries.

use super::*;

impl State {
    /// Maximum size of a part of a snapshot. Heartbeats wait behind it on the way to a member that may
    /// have little of its processor, and it is sent again if it is not answered in time.
    const MAX_CHUNK_BYTES: usize = 64 * 1024;

    /// Stores the encoded state as of `index` as the latest snapshot.
    pub(crate) fn on_snapshot(&mut self, index: Index, state: Vec<u8>, effects: &mut Vec<Effect>) {
        let newer = self.snapshot.as_ref().is_none_or(|snapshot| snapshot.index < index);
        let Some(term) = self.log.term(index).filter(|_| newer && index <= self.applied_index)
        else {
            return;
        };
        let Some((_, members)) = self.log.members_at(index) else { return };
        let members = members.clone();
        self.store_snapshot(Snapshot { index, term, members, state }, effects);
    }

    fn store_snapshot(&mut self, snapshot: Snapshot, effects: &mut Vec<Effect>) {
        let entries = self.log.entries_from(snapshot.index + 1).cloned().collect();
        let Limits { retained_entries, retained_bytes, .. } = self.limits;
        self.log.compact(self.log.start_of_tail(snapshot.index, retained_entries, retained_bytes));
        effects.push(Effect::Persist(Record::Snapshot { snapshot: snapshot.clone(), entries }));
        self.snapshot = Some(snapshot);
    }

    /// Sends the next chunk of the snapshot to a member that needs compacted entries, or an empty
    /// chunk as heartbeat, if one is due, while the previous one is unanswered.
    pub(crate) fn send_chunk(&mut self, now: Time, to: &Name, effects: &mut Vec<Effect>) {
        let Some(snapshot) = &self.snapshot else { return };
        let ElectionState::Leader { progress, .. } = &mut self.election else { return };
        let Some(peer) = progress.get_mut(to) else { return };
        let index = snapshot.index;
        let current = peer.transfer.filter(|transfer| transfer.index == index);
        let awaiting_answer =
            current.is_some_and(|transfer| now < transfer.sent + Timing::CHUNK_RETRY_INTERVAL);
        if awaiting_answer && now < peer.last_sent + Timing::HEARTBEAT_INTERVAL {
            return;
        }
        let offset = current.map_or(0, |transfer| transfer.offset);
        let rest = snapshot.state.get(offset..).unwrap_or_default();
        peer.last_sent = now;
        let max_length = self.limits.max_message_bytes.min(Self::MAX_CHUNK_BYTES);
        let length = if awaiting_answer { 0 } else { rest.len().min(max_length) };
        if !awaiting_answer {
            peer.transfer = Some(SnapshotTransfer { index, offset, sent: now });
        }
        let message = Message::Chunk {
            term: self.term,
            index,
            last_term: snapshot.term,
            members: snapshot.members.clone(),
            size: snapshot.state.len(),
            offset,
            data: rest[..length].to_vec(),
            sent: now,
        };
        effects.push(Effect::Send { to: to.clone(), message });
    }

    /// Handles a chunk from the leader, and installs the snapshot once it is complete.
    pub(crate) fn on_chunk(
        &mut self,
        now: Time,
        from: Name,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        let Message::Chunk { term, index, last_term, members, size, offset, data, sent } = message
        else {
            return;
        };
        self.follow(now, from.clone(), term, effects);
        if index <= self.commit_index {
            return self.reply_to_append(now, from, true, index, sent, effects);
        }
        let known =
            self.incoming.take().filter(|known| (known.index, known.term) == (index, last_term));
        let mut incoming =
            known.unwrap_or(Snapshot { index, term: last_term, members, state: Vec::new() });
        if offset == incoming.state.len() {
            incoming.state.extend(data);
        }
        if incoming.state.len() == size {
            self.install(now, incoming, effects);
            return self.reply_to_append(now, from, true, index, sent, effects);
        }
        let offset = incoming.state.len();
        self.incoming = Some(incoming);
        let (term, stamp, disk) = (self.term, self.stamp(now), self.disk);
        let message = Message::Received { term, index, offset, sent, stamp, disk };
        effects.push(Effect::Send { to: from, message });
    }

    /// Replaces the replicated state by that of `snapshot`. The log is kept if it contains the last
    /// entry of the snapshot, and is emptied otherwise.
    fn install(&mut self, now: Time, snapshot: Snapshot, effects: &mut Vec<Effect>) {
        let (index, term) = (snapshot.index, snapshot.term);
        if self.log.term(index) != Some(term) {
            self.log = Log::new(Some(&snapshot), Vec::new());
        }
        self.reload_members(now);
        self.commit_index = index;
        self.applied_index = index;
        self.applied_bytes = 0;
        self.store_snapshot(snapshot.clone(), effects);
        self.synced_index = self.synced_index.min(self.log.last_index());
        effects.push(Effect::Install(snapshot));
    }

    /// Handles the answer to `Chunk`: continues from the offset that the member reports, which is
    /// lower than before if it has restarted.
    pub(crate) fn on_chunk_received(
        &mut self,
        now: Time,
        from: Name,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        let Message::Received { term, index, offset, sent, stamp, disk } = message else {
            return;
        };
        if term > self.term {
            return self.enter_term(term, None, effects);
        }
        let ElectionState::Leader { progress, .. } = &mut self.election else { return };
        let Some(peer) = progress.get_mut(&from).filter(|_| term == self.term) else { return };
        peer.last_acked_send = peer.last_acked_send.max(Some(sent));
        let restarted = peer.stamp.is_some_and(|last| last.boot != stamp.boot);
        peer.stamp = Some(stamp);
        peer.disk = disk;
        peer.view_lease_bound = now + Timing::VIEW_LEASE + Timing::CLOCK_DRIFT;
        let Some(transfer) = peer.transfer.filter(|transfer| transfer.index == index) else {
            return;
        };
        if offset > transfer.offset || restarted {
            peer.transfer = Some(SnapshotTransfer { index, offset, sent: Time::ZERO });
            self.send_chunk(now, &from, effects);
        }
    }
}
