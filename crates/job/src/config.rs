use super::*;

/// The configuration that operators put in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// The highest one is in force.
    pub version: u64,
    /// What the operator sent, word for word.
    pub text: Arc<str>,
    /// Queues by name.
    pub queues: BTreeMap<Name, Queue>,
    /// Pools by name.
    pub pools: BTreeMap<Name, Pool>,
    /// Bounds on callers' requests.
    pub limits: Limits,
}

/// A pool of instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Whether its instances refuse what does not fit.
    pub checks_room: bool,
    /// Whether its machines are off.
    pub spare: bool,
}

/// Bounds on callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest body, in bytes.
    pub body_bytes: u64,
    /// How long a connection may be idle.
    pub idle: Duration,
}

impl Config {
    /// The queue that `host` and `path` lead to, with what follows its prefix.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let matching = self.queues.values().filter(|queue| *queue.host == *host);
        let found = matching.filter_map(|queue| Some((queue, path.strip_prefix(&*queue.prefix)?)));
        found.max_by_key(|(queue, _)| queue.prefix.len())
    }

    /// The queue called `name`.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.get(name)
    }
}
