use super::*;

/// Notes on their way to other daemons, gathered for a moment so that a burst makes few messages.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    notes: BTreeMap<(Name, usize), Vec<Note>>,
    /// Before which no further batch leaves.
    closed_until: Time,
    subscribed: bool,
}

impl Outbox {
    /// Between two batches.
    const INTERVAL: Duration = Duration::from_micros(200);

    pub(crate) fn push(&mut self, to: Name, dispatcher: usize, note: Note) {
        self.notes.entry((to, dispatcher)).or_default().push(note);
    }

    pub(crate) fn wake(&mut self) {
        self.subscribed = false;
    }

    /// Sends everything, or subscribes to the time of the next batch.
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
        if now < self.closed_until {
            if !self.subscribed {
                self.subscribed = true;
                let after = self.closed_until - now;
                effects.push(Effect::Subscribe { timer: Timer::Flush, after });
            }
            return;
        }
        self.closed_until = now + Self::INTERVAL;
        for ((to, dispatcher), notes) in std::mem::take(&mut self.notes) {
            let Dispatcher { service, term, fence, .. } = &dispatchers[dispatcher];
            let term = *term.max(fence);
            let parcel = Parcel { service: service.clone(), term, boot, notes };
            effects.push(Effect::Send { to, message: Message::Slots(parcel) });
        }
    }
}
