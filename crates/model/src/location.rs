use super::*;

/// Failure domains of an instance or worker, from the widest to the narrowest.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Location {
    /// Region of the data centre.
    pub region: Name,
    /// Data centre of the rack.
    pub data_center: Name,
    /// Rack of the instance or worker.
    pub rack: Name,
}
