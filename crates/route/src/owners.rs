use super::*;

/// Starts of daemons that hold slots, by number; this daemon's own is [`Owners::SELF`].
#[derive(Debug)]
pub(crate) struct Owners {
    starts: Vec<(Name, u64)>,
    numbers: Map<(Name, u64), Owner>,
}

impl Owners {
    pub(crate) const SELF: Owner = 0;

    pub(crate) fn new(daemon: Name, boot: u64) -> Self {
        let mut owners = Self { starts: Vec::new(), numbers: Map::default() };
        owners.number(daemon, boot);
        owners
    }

    pub(crate) fn number(&mut self, daemon: Name, boot: u64) -> Owner {
        let start = (daemon, boot);
        if let Some(number) = self.numbers.get(&start) {
            return *number;
        }
        let number = self.starts.len() as Owner;
        self.starts.push(start.clone());
        self.numbers.insert(start, number);
        number
    }

    pub(crate) fn name(&self, owner: Owner) -> &Name {
        &self.starts[owner as usize].0
    }
}
