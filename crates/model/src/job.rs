use super::*;

/// Description of a job, as declared by its team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Team whose quota the job counts against.
    pub team: Name,
    /// Class of the job. Jobs of one class are expected to have similar usage and run times.
    pub class: Name,
    /// Urgency of the job, [`Urgency::Normal`] by default.
    #[serde(default)]
    pub urgency: Urgency,
    /// Declared size. Usage observed for the class replaces it as the basis of reservations.
    pub size: Resources,
    /// Declared run time. Run times observed for the class replace it.
    pub run_time: Duration,
    /// Time after submission by which the job should finish.
    #[serde(default)]
    pub deadline: Option<Duration>,
    /// Selects the workers that may run the job; `None` allows all.
    #[serde(default)]
    pub selector: Option<Selector>,
    /// Limit on jobs of the same group in one rack.
    #[serde(default)]
    pub spread: Option<Spread>,
}
