use {super::*, std::hash::Hasher};

/// Daemons that dispatch, and which of them grants the slots of which services; replicated.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    term: u64,
    /// Daemons with their starts.
    daemons: BTreeMap<Name, u64>,
    /// Daemons that were there before, with their last starts.
    departed: BTreeMap<Name, u64>,
    /// Daemons of which an earlier start was there before.
    restarted: BTreeSet<Name>,
    shards: Vec<Shard>,
}

impl Roster {
    /// Shards over which services are spread.
    const SHARDS: u64 = 64;

    const SEED: u64 = 0x6272_6f6b_6572;

    /// Daemons that dispatch, with their starts.
    pub fn daemons(&self) -> &BTreeMap<Name, u64> {
        &self.daemons
    }

    /// Daemons that were there before.
    pub fn departed(&self) -> impl Iterator<Item = &Name> {
        self.departed.keys()
    }

    /// Whether an earlier start of `daemon` may have left something running.
    pub fn has_restarted(&self, daemon: &Name) -> bool {
        self.restarted.contains(daemon)
    }

    /// Whether this start of `daemon` dispatches.
    pub fn contains(&self, daemon: &Name, boot: u64) -> bool {
        self.daemons.get(daemon) == Some(&boot)
    }

    /// Who grants the slots of `service`.
    pub fn broker(&self, service: &str) -> Option<&Shard> {
        let shard = XxHash64::oneshot(Self::SEED, service.as_bytes()) % Self::SHARDS;
        self.shards.get(shard as usize)
    }

    pub(crate) fn join(&mut self, daemon: Name, boot: u64) -> bool {
        let departed = self.departed.remove(&daemon);
        let former = self.daemons.insert(daemon.clone(), boot);
        if departed.or(former).is_some_and(|start| start != boot) {
            self.restarted.insert(daemon);
        }
        former != Some(boot) && self.assign()
    }

    pub(crate) fn part(&mut self, daemon: Name, boot: u64) -> bool {
        if self.daemons.get(&daemon) != Some(&boot) {
            return false;
        }
        self.daemons.remove(&daemon);
        self.departed.insert(daemon, boot);
        self.assign()
    }

    fn assign(&mut self) -> bool {
        self.term += 1;
        let former = std::mem::take(&mut self.shards);
        for shard in 0..Self::SHARDS {
            let highest = self.daemons.iter().max_by_key(|(daemon, _)| weight(daemon, shard));
            let Some((broker, boot)) = highest else { return true };
            let new = Shard { broker: broker.clone(), boot: *boot, term: self.term };
            let same = former.get(shard as usize);
            let same = same.filter(|it| it.broker == new.broker && it.boot == new.boot);
            self.shards.push(same.cloned().unwrap_or(new));
        }
        true
    }
}

/// Weight of a daemon for a shard, after Thaler and Ravishankar, "A Name-Based Mapping Scheme for
/// Rendezvous" (1996).
fn weight(daemon: &Name, shard: u64) -> u64 {
    let mut hash = XxHash64::with_seed(Roster::SEED);
    hash.write(daemon.as_bytes());
    hash.write_u64(shard);
    hash.finish()
}
