use super::*;

/// Why a step was not carried out.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq, Display, StdError, Serialize, Deserialize)]
pub enum Error {
    /// The instance never announced itself, or an operator removed it.
    #[display("instance `{instance}` does not exist")]
    Unknown { instance: Name },
    /// The step was made for an earlier epoch.
    #[display("instance `{instance}` is already in epoch {epoch}")]
    Stale { instance: Name, epoch: Epoch },
    /// The instance already has a grant.
    #[display("instance `{instance}` is under another grant")]
    Busy { instance: Name },
    /// The instance is already unavailable.
    #[display("instance `{instance}` is already down")]
    Down { instance: Name },
    /// The step does not apply to the instance's current pool or phase.
    #[display("step does not apply to the current state of instance `{instance}`")]
    Phase { instance: Name },
    /// The wave is not running, has no grant left, or is not waiting for the instance.
    #[display("wave `{wave}` cannot grant `{instance}` now")]
    Wave { wave: Name, instance: Name },
    /// The pool cannot borrow the instance.
    #[display("pool `{pool}` cannot borrow `{instance}`")]
    Pool { pool: Name, instance: Name },
    /// A budget does not allow the disruption.
    #[display("{_0}")]
    Shortage(#[error(not(source))] Shortage),
}
