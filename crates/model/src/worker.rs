use super::*;

/// Description of a worker by the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Resources that it provides to jobs.
    pub size: Resources,
    /// Labels that the selectors of jobs match.
    #[serde(default)]
    pub labels: Labels,
    /// Failure domains of the worker.
    pub location: Location,
}
