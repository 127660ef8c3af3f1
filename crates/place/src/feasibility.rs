//! Whether any worker could run a job, and the status of jobs as reported to operators.

use super::*;

/// A numeric requirement, with functions to read its amount from a size and to format it.
type Measure = (Requirement, fn(&Resources) -> u64, fn(u64) -> String);

/// Numeric requirements that are compared one by one.
const MEASURES: [Measure; 3] = [
    (Requirement::Processors, |size| size.millicores, |n| format!("{n}m")),
    (Requirement::Memory, |size| size.memory_mb, |n| format!("{n} MB")),
    (Requirement::Accelerators, |size| size.accelerators, |n| n.to_string()),
];

impl State {
    /// A worker that could run `job` if it were empty, or the requirements that no worker meets.
    pub fn feasible(&self, job: &Job) -> Result<Name, Vec<Lack>> {
        let mut lacks = self.team_lacks(job);
        let present = || self.hosts.iter().filter(|(_, host)| !host.removed);
        let matching: Vec<_> = present().filter(|(_, host)| selects(job, host)).collect();
        if matching.is_empty() {
            lacks.extend(label_lacks(job, present().map(|(_, host)| host)));
            return Err(lacks);
        }
        lacks.extend(size_lacks(job, matching.iter().map(|(_, host)| *host)));
        let fitting = matching.iter().find(|(_, host)| job.size.fits(host.worker.size));
        if fitting.is_none() && lacks.iter().all(|lack| lack.requirement >= Requirement::Team) {
            lacks.push(combined_lack(job, matching.iter().map(|(_, host)| *host)));
        }
        match fitting {
            Some((name, _)) if lacks.is_empty() => Ok((*name).clone()),
            _ => Err(lacks),
        }
    }

    /// The worker recorded as feasible for `entry` if it still is, or else another feasible one.
    pub(crate) fn find_feasible_worker(&self, entry: &Entry) -> Option<Name> {
        let holds = |host: &Host| {
            !host.removed && selects(&entry.job, host) && entry.job.size.fits(host.worker.size)
        };
        let former =
            entry.feasible_worker.as_ref().filter(|name| self.hosts.get(*name).is_some_and(holds));
        match former {
            Some(name) if self.team_lacks(&entry.job).is_empty() => Some(name.clone()),
            _ => self.feasible(&entry.job).ok(),
        }
    }

    /// Status of the job `id`, with the reason why it waits or can never run.
    pub fn explain(&self, id: &Name) -> Standing {
        let Some(entry) = self.jobs.get(id) else {
            return match self.history.outcome(id) {
                Some(outcome) => Standing::Ended { outcome },
                None if self.tombstones.contains(id) => Standing::CancelledAhead,
                None => Standing::Unknown,
            };
        };
        match &entry.phase {
            Phase::Placed(placement) => Standing::Placed { placement: placement.clone() },
            Phase::Never => {
                Standing::Never { lacks: self.feasible(&entry.job).err().unwrap_or_default() }
            }
            Phase::Waiting => Standing::Waiting { reason: self.wait_reason(entry) },
        }
    }

    /// Why a waiting job waits, assuming the least that may be reserved for it.
    fn wait_reason(&self, entry: &Entry) -> Wait {
        let min_reserve = Self::min_reserve(&entry.job);
        if let Some(wait) = self.job_obstacle(entry, min_reserve) {
            return wait;
        }
        let mut reason = Wait::Room;
        for host in self.hosts.values() {
            match self.worker_obstacle(entry, host, min_reserve) {
                None => return Wait::Turn,
                Some(Wait::Labels | Wait::Room) => {}
                Some(wait) => reason = wait,
            }
        }
        reason
    }

    /// Unmet requirements that do not depend on workers: team, quota and spread.
    fn team_lacks(&self, job: &Job) -> Vec<Lack> {
        let mut lacks = Vec::new();
        let mut report = |requirement, need: String, best: String| {
            lacks.push(Lack { requirement, need: need.into(), best: best.into() });
        };
        match self.teams.get(&job.team) {
            None => report(Requirement::Team, job.team.to_string(), "no such team".into()),
            Some(team) if !job.size.fits(team.quota) => {
                report(Requirement::Quota, job.size.to_string(), team.quota.to_string());
            }
            Some(_) => {}
        }
        if job.spread.as_ref().is_some_and(|spread| spread.per_rack == 0) {
            report(Requirement::Spread, "1 in a rack".into(), "0 in a rack".into());
        }
        lacks
    }
}

fn selects(job: &Job, host: &Host) -> bool {
    job.selector.as_ref().is_none_or(|selector| selector.matches(&host.worker.labels))
}

/// The selector's conditions that no worker meets. If each is met by some worker, but all by
/// none, all of them as one lack.
fn label_lacks<'a>(job: &Job, hosts: impl Iterator<Item = &'a Host> + Clone) -> Vec<Lack> {
    let lack = |need: String, best: &str| Lack {
        requirement: Requirement::Labels,
        need: need.into(),
        best: best.into(),
    };
    let conditions = job.selector.as_ref().map_or(&[][..], Selector::requirements);
    let unmet = |condition: &&model::Requirement| {
        !hosts.clone().any(|host| condition.matches(&host.worker.labels))
    };
    let lacks: Vec<_> = conditions
        .iter()
        .filter(unmet)
        .map(|condition| lack(condition.to_string(), "no worker"))
        .collect();
    if conditions.is_empty() {
        return vec![lack("a worker".into(), "none")];
    }
    if lacks.is_empty() {
        let all: Vec<_> = conditions.iter().map(ToString::to_string).collect();
        return vec![lack(all.join(", "), "no worker meets all")];
    }
    lacks
}

/// The amounts that no worker has.
fn size_lacks<'a>(job: &Job, hosts: impl Iterator<Item = &'a Host> + Clone) -> Vec<Lack> {
    let lack = |(requirement, read, show): &Measure| {
        let need = read(&job.size);
        let best = hosts.clone().map(|host| read(&host.worker.size)).max().unwrap_or(0);
        (need > best).then(|| Lack {
            requirement: *requirement,
            need: show(need).into(),
            best: show(best).into(),
        })
    };
    MEASURES.iter().filter_map(lack).collect()
}

/// The lack of a job whose amounts are each met by some worker, but never all by the same one.
fn combined_lack<'a>(job: &Job, hosts: impl Iterator<Item = &'a Host>) -> Lack {
    let best = hosts.map(|host| host.worker.size).max().unwrap_or_default();
    Lack {
        requirement: Requirement::Together,
        need: job.size.to_string().into(),
        best: best.to_string().into(),
    }
}
