use super::*;

/// Notes queued for other daemons. They are sent in batches, so that a burst of requests causes few
/// messages.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    /// Notes by receiver and index of the dispatcher.
    notes: BTreeMap<(Name, usize), Vec<Note>>,
    /// Earliest time of the next batch.
    next_flush: Time,
    /// Whether [`Timer::Flush`] is set.
    timer_set: bool,
}

impl Outbox {
    /// Minimum interval between two batches.
    const INTERVAL: Duration = Duration::from_micros(200);

    pub(crate) fn push(&mut self, to: Name, dispatcher: usize, note: Note) {
        self.notes.entry((to, dispatcher)).or_default().push(note);
    }

    /// Records that [`Timer::Flush`] has fired.
    pub(crate) fn on_timer(&mut self) {
        self.timer_set = false;
    }

    /// Sends all notes, or sets a timer if the last batch is too recent.
    pub(crate) fn flush(
        &mut self,
        now: Time,
        boot: u64,
        dispatchers: &[Dispatcher],
        effects: &mut Vec<Effect>,
    ) {
        if self.notes.is_empty() {
            return;
        }
        if now < self.next_flush {
            if !self.timer_set {
                self.timer_set = true;
                let after = self.next_flush - now;
                effects.push(Effect::Subscribe { timer: Timer::Flush, after });
            }
            return;
        }
        self.next_flush = now + Self::INTERVAL;
        for ((to, dispatcher), notes) in std::mem::take(&mut self.notes) {
            let Dispatcher { service, term, fence, .. } = &dispatchers[dispatcher];
            let term = *term.max(fence);
            let parcel = Parcel { service: service.clone(), term, boot, notes };
            effects.push(Effect::Send { to, message: Message::Slots(parcel) });
        }
    }
}
