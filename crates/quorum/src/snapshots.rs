//! Snapshots: a member takes one of its own state and drops the entries that it stands for; the
//! leader sends its own, part by part, to a member that needs entries that are gone.

use super::*;

impl State {
    /// Takes the encoded state after the entry at `index`.
    pub(crate) fn on_snapshot(&mut self, index: Index, state: Vec<u8>, effects: &mut Vec<Effect>) {
        let newer = self.snapshot.as_ref().is_none_or(|snapshot| snapshot.index < index);
        let Some(term) = self.log.term(index).filter(|_| newer && index <= self.applied) else {
            return;
        };
        let Some((_, members)) = self.log.members_at(index) else { return };
        let members = members.clone();
        self.keep(Snapshot { index, term, members, state }, effects);
    }

    fn keep(&mut self, snapshot: Snapshot, effects: &mut Vec<Effect>) {
        let entries = self.log.from(snapshot.index + 1).cloned().collect();
        self.log.compact(snapshot.index.saturating_sub(self.limits.kept_entries));
        effects.push(Effect::Persist(Record::Snapshot { snapshot: snapshot.clone(), entries }));
        self.snapshot = Some(snapshot);
    }

    /// Sends the next part of the snapshot to a member that lags behind the log.
    pub(crate) fn send_chunk(&mut self, now: Time, to: &Name, effects: &mut Vec<Effect>) {
        let Some(snapshot) = &self.snapshot else { return };
        let Standing::Leader { progress, .. } = &mut self.standing else { return };
        let Some(peer) = progress.get_mut(to) else { return };
        let index = snapshot.index;
        let current = peer.transfer.filter(|transfer| transfer.index == index);
        let waits = current.is_some_and(|transfer| now < transfer.sent + Timing::RESEND);
        let offset = current.map_or(0, |transfer| transfer.offset);
        let rest = snapshot.state.get(offset..).unwrap_or_default();
        peer.sent = now;
        let length = if waits { 0 } else { rest.len().min(self.limits.message_bytes) };
        if !waits {
            peer.transfer = Some(Transfer { index, offset, sent: now });
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
        if index <= self.commit {
            return self.answer_append(now, from, true, index, sent, effects);
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
            return self.answer_append(now, from, true, index, sent, effects);
        }
        let offset = incoming.state.len();
        self.incoming = Some(incoming);
        let (term, stamp, disk) = (self.term, self.stamp(now), self.disk);
        let message = Message::Received { term, index, offset, sent, stamp, disk };
        effects.push(Effect::Send { to: from, message });
    }

    fn install(&mut self, now: Time, snapshot: Snapshot, effects: &mut Vec<Effect>) {
        let (index, term) = (snapshot.index, snapshot.term);
        if self.log.term(index) != Some(term) {
            self.log = Log::new(Some(&snapshot), Vec::new());
        }
        self.refresh_members(now);
        self.commit = index;
        self.applied = index;
        self.applied_bytes = 0;
        self.keep(snapshot.clone(), effects);
        self.synced = self.synced.min(self.log.last_index());
        effects.push(Effect::Install(snapshot));
    }

    pub(crate) fn on_received(
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
            return self.enter(term, None, effects);
        }
        let Standing::Leader { progress, .. } = &mut self.standing else { return };
        let Some(peer) = progress.get_mut(&from).filter(|_| term == self.term) else { return };
        peer.last_acked_send = peer.last_acked_send.max(Some(sent));
        let restarted = peer.stamp.is_some_and(|last| last.boot != stamp.boot);
        peer.stamp = Some(stamp);
        peer.disk = disk;
        peer.granted_until = now + Timing::VIEW_LEASE + Timing::DRIFT;
        let Some(transfer) = peer.transfer.filter(|transfer| transfer.index == index) else {
            return;
        };
        if offset > transfer.offset || restarted {
            peer.transfer = Some(Transfer { index, offset, sent: Time::ZERO });
            self.send_chunk(now, &from, effects);
        }
    }
}
