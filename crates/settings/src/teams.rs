use super::*;

/// Millicores per processor.
const MILLICORES: f64 = 1000.0;

/// Megabytes per gigabyte.
const GIGABYTE_MB: f64 = 1024.0;

/// Default of `run-time-ms` of a job.
const DEFAULT_RUN_TIME: Duration = Duration::from_secs(60);

/// Default of `per-rack` of a job with a `spread-group`.
const DEFAULT_PER_RACK: u32 = 1;

/// Parses a `[team NAME]` section.
pub(crate) fn team(reader: &mut Reader) -> Option<Team> {
    resources(reader).map(|quota| Team { quota })
}

/// Parses a `[job NAME]` section. Without a class, the job's class is its team.
pub(crate) fn job(reader: &mut Reader) -> Option<Job> {
    let team = reader.required::<String>("team");
    let size = resources(reader);
    let class = reader.optional::<String>("class");
    let urgency = reader.optional("urgency").unwrap_or_default();
    let run_time = reader.milliseconds("run-time-ms").unwrap_or(DEFAULT_RUN_TIME);
    let deadline = reader.milliseconds("deadline-ms");
    let selector = reader.optional("selector");
    let per_rack = reader.optional("per-rack").unwrap_or(DEFAULT_PER_RACK);
    let group = reader.optional::<String>("spread-group");
    let spread = group.map(|group| Spread { group: group.into(), per_rack });
    let team: Name = team?.into();
    let class = class.map_or_else(|| team.clone(), Into::into);
    Some(Job { team, class, urgency, size: size?, run_time, deadline, selector, spread })
}

/// Parses `processors`, `memory-gb` and `accelerators`.
fn resources(reader: &mut Reader) -> Option<Resources> {
    let processors = reader.required::<Amount>("processors");
    let memory = reader.required::<Amount>("memory-gb");
    let accelerators = reader.optional("accelerators").unwrap_or(0);
    Some(Resources {
        millicores: processors?.times(MILLICORES),
        memory_mb: memory?.times(GIGABYTE_MB),
        accelerators,
    })
}

/// Formats resources as [`resources`] parses them.
pub(crate) fn body(resources: Resources) -> String {
    let processors = resources.millicores as f64 / MILLICORES;
    let memory = resources.memory_mb as f64 / GIGABYTE_MB;
    let accelerators = resources.accelerators;
    format!("processors = {processors}\nmemory-gb = {memory}\naccelerators = {accelerators}\n")
}

/// Number from 0 to [`Self::MAX`].
#[derive(Debug, Clone, Copy)]
struct Amount(f64);

impl Amount {
    /// Maximum amount.
    const MAX: f64 = 1e9;

    fn times(self, unit: f64) -> u64 {
        (self.0 * unit).round() as u64
    }
}

impl FromStr for Amount {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let valid = |amount: &f64| (0.0..=Self::MAX).contains(amount);
        let amount = text.parse().ok().filter(valid);
        amount
            .map(Self)
            .ok_or_else(|| format!("invalid amount `{text}`: use a number such as `1.5`"))
    }
}
