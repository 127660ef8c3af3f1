//! Handling of appended entries on a follower.

use super::*;

impl State {
    pub(crate) fn on_append(
        &mut self,
        now: Time,
        from: Name,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        let Message::Append { term, prev_index, prev_term, entries, commit, forced, sent, echo } =
            message
        else {
            return;
        };
        self.follow(now, from.clone(), term, effects);
        if let Some(hint) = self.conflict_hint(prev_index, prev_term) {
            return self.reply_to_append(now, from, false, hint, sent, effects);
        }
        let index = prev_index + entries.len() as Index;
        self.append_entries(now, prev_index + 1, entries, effects);
        self.advance_commit(commit.min(index), effects);
        self.forced = self.forced.max(forced.min(self.applied_index));
        if let Some(echo) =
            echo.filter(|echo| echo.boot == self.boot && self.applied_index >= commit)
        {
            self.view_lease_end = self.view_lease_end.max(echo.at + Timing::VIEW_LEASE);
        }
        self.reply_to_append(now, from, true, index, sent, effects);
    }

    /// Follows `from` as the leader of `term`, which is not lower than the current term.
    pub(crate) fn follow(&mut self, now: Time, from: Name, term: Term, effects: &mut Vec<Effect>) {
        self.last_leader_contact = now;
        if term > self.term {
            return self.enter_term(term, Some(from), effects);
        }
        self.step_down(Some(from), effects);
    }

    /// The index from which the leader should continue, if the entry at `prev_index` is missing or
    /// has another term. Skips the whole conflicting term, but never goes below the commit index.
    fn conflict_hint(&self, prev_index: Index, prev_term: Term) -> Option<Index> {
        if prev_index < self.log.offset() || self.log.term(prev_index) == Some(prev_term) {
            return None;
        }
        let last = self.log.last_index();
        let hint = if prev_index > last { last } else { self.log.index_before_term(prev_index) };
        Some(hint.max(self.commit_index))
    }

    /// Appends the entries that the log lacks, and replaces conflicting ones.
    fn append_entries(
        &mut self,
        now: Time,
        first: Index,
        entries: Vec<Entry>,
        effects: &mut Vec<Effect>,
    ) {
        let is_known = |(i, entry): (usize, &Entry)| {
            let index = first + i as Index;
            index <= self.log.offset() || self.log.term(index) == Some(entry.term)
        };
        let skip = entries.iter().enumerate().take_while(|pair| is_known(*pair)).count();
        let first = first + skip as Index;
        let entries: Vec<_> = entries.into_iter().skip(skip).collect();
        if entries.is_empty() {
            return;
        }
        let mut changed = first <= self.members_entry_index;
        self.log.truncate(first);
        self.synced_index = self.synced_index.min(first - 1);
        for entry in &entries {
            self.log.push(entry.clone());
            changed |= entry.members.is_some();
        }
        if changed {
            self.reload_members(now);
        }
        effects.push(Effect::Persist(Record::Entries { first, entries }));
    }

    /// Advances the commit index, applies the newly committed entries, and requests a snapshot once
    /// enough bytes have been applied.
    pub(crate) fn advance_commit(&mut self, commit: Index, effects: &mut Vec<Effect>) {
        self.commit_index = self.commit_index.max(commit);
        while self.applied_index < self.commit_index {
            let Some(entry) = self.log.get(self.applied_index + 1).cloned() else { break };
            self.applied_index += 1;
            self.applied_bytes += entry.command.len() + Log::ENTRY_OVERHEAD_BYTES;
            effects.push(Effect::Apply { index: self.applied_index, entry });
        }
        if self.applied_bytes >= self.limits.snapshot_interval_bytes {
            self.applied_bytes = 0;
            effects.push(Effect::Snapshot { index: self.applied_index });
        }
    }

    pub(crate) fn reply_to_append(
        &self,
        now: Time,
        to: Name,
        matched: bool,
        index: Index,
        sent: Time,
        effects: &mut Vec<Effect>,
    ) {
        let message = Message::Appended {
            term: self.term,
            matched,
            index,
            applied: self.applied_index,
            sent,
            stamp: self.stamp(now),
            disk: self.disk,
        };
        effects.push(Effect::Send { to, message });
    }
}
