use super::*;

/// Where a former attempt failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Avoid {
    /// Instance that was tried.
    pub instance: Name,
    /// Rack of the instance.
    pub rack: Name,
}

impl Avoid {
    /// How much another try at `upstream` shares with the failed one: 0 for another rack, 1 for
    /// another instance of the rack, 2 for the same instance.
    pub(crate) fn shared(&self, upstream: &Announcement) -> u8 {
        let same_rack = upstream.location.rack == self.rack;
        let same_instance = upstream.instance == self.instance;
        u8::from(same_rack) + u8::from(same_instance)
    }
}
