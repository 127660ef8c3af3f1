use super::*;

/// Requests that wait for a slot of one service. Tenants take turns by weighted virtual time, after
/// Demers, Keshav and Shenker, "Analysis and Simulation of a Fair Queueing Algorithm" (1989).
#[derive(Debug, Default)]
pub(crate) struct Queue {
    sequence: u64,
    waiting: BTreeMap<u64, Waiting>,
    tickets: Map<(Owner, Ticket), u64>,
    lines: Vec<Line>,
    tenants: Map<Name, usize>,
    /// Tenants with something that waits, by what was done for them.
    turns: BTreeSet<(u64, usize)>,
    turn_weight: u64,
    clock: u64,
    chances: BTreeSet<(Time, u64)>,
}

/// Scale of virtual time, so that weights divide with little loss.
const SCALE: u64 = 1024;

impl Queue {
    pub(crate) fn contains(&self, owner: Owner, ticket: Ticket) -> bool {
        self.tickets.contains_key(&(owner, ticket))
    }

    /// Adds a request; `weight` is that of its tenant.
    pub(crate) fn push(&mut self, waiting: Waiting, weight: u64) {
        self.sequence += 1;
        let line = self.line(&waiting.tenant, weight);
        self.lines[line].insert(self.sequence, &waiting);
        if self.lines[line].order.len() == 1 {
            self.lines[line].served = self.lines[line].served.max(self.clock);
            self.turns.insert((self.lines[line].served, line));
            self.turn_weight += self.lines[line].weight;
        }
        self.chances.insert((waiting.last_chance, self.sequence));
        self.tickets.insert((waiting.owner, waiting.ticket), self.sequence);
        self.waiting.insert(self.sequence, waiting);
    }

    /// Takes the request whose turn it is.
    pub(crate) fn pop(&mut self) -> Option<Waiting> {
        let (served, line) = *self.turns.first()?;
        let (_, _, sequence) = *self.lines[line].order.first()?;
        let waiting = self.take(sequence)?;
        self.clock = self.clock.max(served);
        let cost = waiting.work.max(1) * SCALE / self.lines[line].weight;
        self.charge(line, cost);
        Some(waiting)
    }

    /// The request whose turn it is.
    pub(crate) fn peek(&self) -> Option<&Waiting> {
        let (_, line) = self.turns.first()?;
        let (_, _, sequence) = self.lines[*line].order.first()?;
        self.waiting.get(sequence)
    }

    /// Takes a request whose last chance has passed.
    pub(crate) fn pop_hopeless(&mut self, now: Time) -> Option<Waiting> {
        let (chance, sequence) = *self.chances.first()?;
        (chance < now).then(|| self.take(sequence)).flatten()
    }

    /// When the next last chance passes.
    pub(crate) fn next_chance(&self) -> Option<Time> {
        self.chances.first().map(|(chance, _)| *chance)
    }

    pub(crate) fn withdraw(&mut self, owner: Owner, ticket: Ticket) {
        if let Some(sequence) = self.tickets.get(&(owner, ticket)) {
            self.take(*sequence);
        }
    }

    /// Expected wait of a further request, where `slots` serve the queue.
    pub(crate) fn wait(&self, tenant: &Name, weight: u64, rank: u64, slots: u32) -> Duration {
        let line = self.tenants.get(tenant).map(|line| &self.lines[*line]);
        let ahead = line.map_or(0, |line| line.ahead(rank));
        let waits = line.is_some_and(|line| !line.order.is_empty());
        let total = self.turn_weight + if waits { 0 } else { weight };
        drain(ahead, weight, total, slots)
    }

    /// Takes requests of lower rank that a request of `rank` has made hopeless.
    pub(crate) fn displaced(
        &mut self,
        now: Time,
        tenant: &Name,
        rank: u64,
        slots: u32,
    ) -> Vec<Waiting> {
        let mut displaced = Vec::new();
        let Some(line) = self.tenants.get(tenant).copied() else { return displaced };
        let (weight, total) = (self.lines[line].weight, self.turn_weight);
        for (sequence, ahead) in self.lines[line].tails(rank) {
            let hopeless = self.waiting.get(&sequence).is_some_and(|waiting| {
                let before = ahead.saturating_sub(waiting.work);
                now + drain(before, weight, total, slots) > waiting.last_chance
            });
            if hopeless {
                displaced.extend(self.take(sequence));
            }
        }
        displaced
    }

    /// Takes everything.
    pub(crate) fn drain(&mut self) -> Vec<Waiting> {
        let sequences: Vec<_> = self.waiting.keys().copied().collect();
        sequences.into_iter().filter_map(|sequence| self.take(sequence)).collect()
    }

    fn line(&mut self, tenant: &Name, weight: u64) -> usize {
        if let Some(line) = self.tenants.get(tenant) {
            let line = *line;
            if self.lines[line].order.is_empty() {
                self.lines[line].weight = weight.max(1);
            }
            return line;
        }
        self.lines.push(Line::new(weight.max(1)));
        self.tenants.insert(tenant.clone(), self.lines.len() - 1);
        self.lines.len() - 1
    }

    fn take(&mut self, sequence: u64) -> Option<Waiting> {
        let waiting = self.waiting.remove(&sequence)?;
        let line = *self.tenants.get(&waiting.tenant)?;
        self.lines[line].remove(sequence, &waiting);
        if self.lines[line].order.is_empty() {
            self.turns.remove(&(self.lines[line].served, line));
            self.turn_weight -= self.lines[line].weight;
        }
        self.chances.remove(&(waiting.last_chance, sequence));
        self.tickets.remove(&(waiting.owner, waiting.ticket));
        Some(waiting)
    }

    fn charge(&mut self, line: usize, cost: u64) {
        let served = self.lines[line].served;
        let waits = self.turns.remove(&(served, line));
        self.lines[line].served = served + cost;
        if waits {
            self.turns.insert((served + cost, line));
        }
    }
}

/// Time in which `work` microseconds of a tenant are done by its share of the slots.
fn drain(work: u64, weight: u64, total_weight: u64, slots: u32) -> Duration {
    let share = u64::from(slots.max(1)) * weight.max(1);
    Duration::from_micros(work * total_weight.max(1) / share)
}
