use {super::*, std::hash::Hasher};

/// Daemons that route requests, and which of them is the broker of which services. Replicated.
///
/// Services are hashed to shards, and each shard to a daemon by rendezvous hashing, so that a
/// change of the daemons moves few services.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Term of the last assignment of shards; each change of the daemons starts a new one.
    term: u64,
    /// Current daemons, with their boot ids.
    daemons: BTreeMap<Name, u64>,
    /// Daemons that have left, with their last boot ids.
    departed: BTreeMap<Name, u64>,
    /// Daemons that were in the roster before with another boot id.
    restarted: BTreeSet<Name>,
    /// Brokers by number of the shard.
    shards: Vec<Shard>,
}

impl Roster {
    /// Number of shards that services are hashed to.
    const SHARDS: u64 = 64;

    /// Seed of the hashes. Every daemon must use the same one.
    const SEED: u64 = 0x6272_6f6b_6572;

    /// Current daemons, with their boot ids.
    pub fn daemons(&self) -> &BTreeMap<Name, u64> {
        &self.daemons
    }

    /// Daemons that have left.
    pub fn departed(&self) -> impl Iterator<Item = &Name> {
        self.departed.keys()
    }

    /// Whether an earlier start of `daemon` may have left attempts that still run.
    pub fn has_restarted(&self, daemon: &Name) -> bool {
        self.restarted.contains(daemon)
    }

    /// Whether this start of `daemon` is in the roster.
    pub fn contains(&self, daemon: &Name, boot: u64) -> bool {
        self.daemons.get(daemon) == Some(&boot)
    }

    /// The daemon that grants the slots of `service`.
    pub fn broker(&self, service: &str) -> Option<&Shard> {
        let shard = XxHash64::oneshot(Self::SEED, service.as_bytes()) % Self::SHARDS;
        self.shards.get(shard as usize)
    }

    /// Adds a daemon, or replaces its earlier start. Returns whether that changed anything.
    pub(crate) fn join(&mut self, daemon: Name, boot: u64) -> bool {
        let departed = self.departed.remove(&daemon);
        let former = self.daemons.insert(daemon.clone(), boot);
        if departed.or(former).is_some_and(|start| start != boot) {
            self.restarted.insert(daemon);
        }
        former != Some(boot) && self.assign()
    }

    /// Removes a daemon if `boot` is its current boot id. Returns whether that changed anything.
    pub(crate) fn part(&mut self, daemon: Name, boot: u64) -> bool {
        if self.daemons.get(&daemon) != Some(&boot) {
            return false;
        }
        self.daemons.remove(&daemon);
        self.departed.insert(daemon, boot);
        self.assign()
    }

    /// Assigns the shards to the current daemons in a new term. A shard whose broker stays the same
    /// keeps its term. Returns true, since the roster has changed.
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

/// Weight of a daemon for a shard; the daemon with the highest weight is its broker. After Thaler
/// and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous" (1996).
fn weight(daemon: &Name, shard: u64) -> u64 {
    let mut hash = XxHash64::with_seed(Roster::SEED);
    hash.write(daemon.as_bytes());
    hash.write_u64(shard);
    hash.finish()
}
