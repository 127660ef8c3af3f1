use super::*;

/// Assigns a compact id to each daemon incarnation that may hold slots. An incarnation is one start
/// of a daemon, identified by its name and boot id.
#[derive(Debug)]
pub(crate) struct OwnerTable {
    /// Incarnations by id.
    incarnations: Vec<(Name, u64)>,
    ids: Map<(Name, u64), OwnerId>,
}

impl OwnerTable {
    /// Id of this daemon.
    pub(crate) const SELF: OwnerId = 0;

    pub(crate) fn new(daemon: Name, boot: u64) -> Self {
        let mut owners = Self { incarnations: Vec::new(), ids: Map::default() };
        owners.id(daemon, boot);
        owners
    }

    /// Id of an incarnation; assigns one at the first call.
    pub(crate) fn id(&mut self, daemon: Name, boot: u64) -> OwnerId {
        let incarnation = (daemon, boot);
        if let Some(id) = self.ids.get(&incarnation) {
            return *id;
        }
        let id = self.incarnations.len() as OwnerId;
        self.incarnations.push(incarnation.clone());
        self.ids.insert(incarnation, id);
        id
    }

    /// Name of the daemon.
    pub(crate) fn daemon(&self, owner: OwnerId) -> &Name {
        &self.incarnations[owner as usize].0
    }
}
