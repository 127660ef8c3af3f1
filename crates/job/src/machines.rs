use super::*;

/// What the owner knows of machines, and what it has under way with them.
#[derive(Debug, Default)]
pub(crate) struct Machines {
    /// Machines by name, as last listed.
    pub(crate) listed: BTreeMap<Name, Machine>,
    /// Whether a whole list was read since this owner leads.
    pub(crate) known: bool,
    /// When the last list was asked for.
    pub(crate) asked: Option<Time>,
    /// List under way, and when it was asked for.
    pub(crate) listing: Option<(CallId, Time)>,
    /// Calls under way.
    pub(crate) calls: Map<CallId, MachineCall>,
    /// Machines that are away, since when.
    pub(crate) away: BTreeMap<Name, Time>,
    /// Maintenance that has begun and is to be committed.
    pub(crate) begun: Vec<(WaveId, Name)>,
    /// Machines for which an order had no answer, so that it may still be carried out.
    pub(crate) unsure: BTreeSet<Name>,
    /// When a refused machine may be tried again.
    pub(crate) retry_at: BTreeMap<Name, Time>,
}

/// A call about a machine.
#[derive(Debug, Clone)]
pub(crate) struct MachineCall {
    pub(crate) machine: Name,
    pub(crate) wave: WaveId,
}

impl Machines {
    /// Maintenance that has begun, and that the table does not know yet.
    pub(crate) fn take_begun(&mut self, table: &Table) -> Vec<(WaveId, Name)> {
        let mut begun = std::mem::take(&mut self.begun);
        begun.retain(|(wave, machine)| {
            let progress = table.waves.get(wave).and_then(|wave| wave.machines.get(machine));
            progress == Some(&Progress::Due)
        });
        begun
    }
}
