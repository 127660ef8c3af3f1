use super::*;

/// Configuration set by operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Version; a configuration only replaces one of a lower version.
    pub version: u64,
    /// The text as the operator sent it.
    pub text: Arc<str>,
    /// Queues by name.
    pub queues: BTreeMap<Name, Queue>,
    /// Pools by name.
    pub pools: BTreeMap<Name, Pool>,
    /// Organisations by name; if there are none, callers need no keys and nothing is limited.
    pub organisations: BTreeMap<Name, Organisation>,
    /// Names of the organisations by the digests of their keys.
    pub keys: Map<KeyDigest, Name>,
    /// Limits on callers' requests.
    pub limits: Limits,
}

/// Configuration of a pool of instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Whether its instances reject tasks that exceed their free resources.
    pub checks_room: bool,
    /// Whether this is the spare pool, whose machines are switched off.
    pub spare: bool,
}

/// Limits on callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum idle time of a connection.
    pub idle: Duration,
}

impl Config {
    /// Estimated memory that it takes, in bytes: its text, and several times as much for what was read
    /// from that.
    pub(crate) fn footprint(&self) -> usize {
        self.text.len() * 4
    }

    /// Finds the queue with the longest matching prefix for `host` and `path`, and returns it with
    /// the rest of the path.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let matching = self.queues.values().filter(|queue| *queue.host == *host);
        let found = matching.filter_map(|queue| Some((queue, path.strip_prefix(&*queue.prefix)?)));
        found.max_by_key(|(queue, _)| queue.prefix.len())
    }

    /// The organisation with this name.
    pub fn organisation(&self, name: &str) -> Option<&Organisation> {
        self.organisations.get(name)
    }

    /// The lowest limit of all organisations on each resource; the maximum if none has one.
    pub(crate) fn smallest_limit(&self) -> Resources {
        let lowest = |limit: fn(&Resources) -> u64| {
            let limits = self.organisations.values().map(|each| limit(&each.limit));
            limits.filter(|limit| *limit > 0).min().unwrap_or(u64::MAX)
        };
        Resources {
            millicores: lowest(|limit| limit.millicores),
            memory_mb: lowest(|limit| limit.memory_mb),
            accelerators: lowest(|limit| limit.accelerators),
        }
    }

    /// The name of the organisation with this key.
    pub fn organisation_of(&self, key: &KeyDigest) -> Option<&Name> {
        self.keys.get(key)
    }

    /// The queue with this name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.get(name)
    }
}
