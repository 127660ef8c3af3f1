use super::*;

/// Why a step was not taken.
#[allow(missing_docs)]
#[derive(Debug, Clone, PartialEq, Eq, Display, StdError, Serialize, Deserialize)]
pub enum Error {
    /// Instance that never announced itself, or was forgotten.
    #[display("instance `{instance}` does not exist")]
    Unknown { instance: Name },
    /// Step made for an epoch that has passed.
    #[display("instance `{instance}` is in epoch {epoch} by now")]
    Stale { instance: Name, epoch: Epoch },
    /// Instance under another grant.
    #[display("instance `{instance}` is under another grant")]
    Busy { instance: Name },
    /// Instance that is down already.
    #[display("instance `{instance}` is down already")]
    Down { instance: Name },
    /// Step that does not fit the phase of the grant.
    #[display("instance `{instance}` is not at that step")]
    Phase { instance: Name },
    /// Wave that does not want the instance now.
    #[display("wave `{wave}` does not ask for `{instance}` now")]
    Wave { wave: Name, instance: Name },
    /// Pool that cannot take the instance.
    #[display("pool `{pool}` cannot take `{instance}`")]
    Pool { pool: Name, instance: Name },
    /// Budget that does not allow it.
    #[display("{_0}")]
    Shortage(#[error(not(source))] Shortage),
}
