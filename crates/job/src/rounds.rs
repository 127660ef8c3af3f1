use super::*;

/// States of the rounds of a job. Only rounds that are begun and not done have a state of their own: a
/// schedule may have a round an hour for years.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rounds {
    count: u32,
    /// State of every round in which no task has been claimed yet.
    untouched: Box<Round>,
    /// Rounds that are not done and in which a task has been claimed; also the only round of a job.
    begun: BTreeMap<u32, Round>,
    /// Rounds that are done, as ranges that neither overlap nor touch: the end of each by its start.
    done: BTreeMap<u32, u32>,
    /// Estimated memory of a state, in bytes.
    state_bytes: usize,
}

impl Rounds {
    pub(crate) fn new(spec: &Spec) -> Self {
        let (count, round) = (spec.rounds(), Round::new(spec));
        let rounds = Self { count, state_bytes: Round::footprint(spec), ..Self::default() };
        match count {
            1 => Self { begun: BTreeMap::from([(0, round)]), ..rounds },
            _ => Self { untouched: Box::new(round), ..rounds },
        }
    }

    /// Number of rounds.
    pub(crate) fn len(&self) -> usize {
        self.count as usize
    }

    /// Estimated memory that it takes, in bytes.
    pub(crate) fn footprint(&self) -> usize {
        let states = self.begun.len() + usize::from(self.count > 1);
        states * self.state_bytes + self.done.len() * size_of::<[u32; 4]>()
    }

    /// The round `number`, unless it is done.
    pub(crate) fn get(&self, number: u32) -> Option<&Round> {
        if let Some(round) = self.begun.get(&number) {
            return Some(round);
        }
        (number < self.count && self.end_of_done(number).is_none()).then_some(&self.untouched)
    }

    /// The same, to be changed.
    pub(crate) fn get_mut(&mut self, number: u32) -> Option<&mut Round> {
        if !self.begun.contains_key(&number) {
            let round = self.get(number)?.clone();
            self.begun.insert(number, round);
        }
        self.begun.get_mut(&number)
    }

    /// Rounds with a state of their own, with their number.
    pub(crate) fn iter_begun(&self) -> impl Iterator<Item = (u32, &Round)> {
        self.begun.iter().map(|(number, round)| (*number, round))
    }

    /// Rounds that are not done, with their number.
    pub(crate) fn iter_open(&self) -> impl Iterator<Item = (u32, &Round)> {
        let mut next = 0;
        std::iter::from_fn(move || {
            let number = self.end_of_done(next).unwrap_or(next);
            next = number + 1;
            Some((number, self.get(number)?))
        })
    }

    /// Drops the state of a round that is done.
    pub(crate) fn close_if_done(&mut self, number: u32) {
        if self.begun.get(&number).is_none_or(|round| !round.is_done()) {
            return;
        }
        self.begun.remove(&number);
        let end = self.done.remove(&(number + 1)).unwrap_or(number + 1);
        match self.done.range_mut(..number).next_back() {
            Some((_, before)) if *before == number => *before = end,
            _ => drop(self.done.insert(number, end)),
        }
    }

    pub(crate) fn are_done(&self) -> bool {
        self.end_of_done(0).unwrap_or(0) == self.count
    }

    /// Whether every task waits and every attempt so far was lost.
    pub(crate) fn are_untouched(&self) -> bool {
        self.done.is_empty() && self.begun.values().all(Round::is_untouched)
    }

    /// Whether a task waits to be started, now or in a later round.
    pub(crate) fn have_waiting_tasks(&self) -> bool {
        self.iter_open().any(|(_, round)| round.has_waiting_tasks())
    }

    /// End of the range of done rounds that `number` is in.
    fn end_of_done(&self, number: u32) -> Option<u32> {
        let (_, end) = self.done.range(..=number).next_back()?;
        Some(*end).filter(|end| number < *end)
    }
}
