use super::*;

/// Place where an earlier attempt failed, for a retry to avoid.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Avoid {
    /// Instance that was tried.
    pub instance: Name,
    /// Rack of the instance.
    pub rack: Name,
}

impl Avoid {
    /// Number of failure domains that `upstream` shares with the failed attempt: 0 for another
    /// rack, 1 for another instance in the same rack, 2 for the same instance.
    pub(crate) fn shared(&self, upstream: &Announcement) -> u8 {
        let same_rack = upstream.location.rack == self.rack;
        let same_instance = upstream.instance == self.instance;
        u8::from(same_rack) + u8::from(same_instance)
    }
}
