//! What operators see of organisations in metrics and log lines. At the design size there are 150 of
//! them: the largest by weight have labels of their own, so that the number of time series is
//! bounded.

use super::*;

/// What happened to a job of an organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrganisationEvent {
    /// It was accepted within the agreed rate.
    Accepted,
    /// It was accepted beyond the agreed rate.
    AcceptedSurplus,
    /// It was refused, with the reason.
    Refused(&'static str),
    /// It ended, with the state or whether it met its objective.
    Ended(&'static str),
}

/// State of an organisation, or of all that share a label.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct OrganisationReport {
    pub(crate) label: Name,
    /// Resources of its attempts.
    pub(crate) usage: model::Resources,
    /// Its limit; `None` for organisations that share a label.
    pub(crate) limit: Option<model::Resources>,
    /// Largest share of the usable capacity among the resources.
    pub(crate) dominant_share: f64,
    /// Number of jobs without a started task.
    pub(crate) waiting: u64,
}

/// Which organisations have labels of their own, and when they were last reported.
#[derive(Debug, Default)]
pub(crate) struct OrganisationLabels {
    /// Version of the configuration that the labels were taken from.
    version: Option<u64>,
    names: BTreeSet<Name>,
    next_report: Time,
}

impl OrganisationLabels {
    /// Number of organisations with labels of their own.
    const MAX: usize = 20;
    /// Label of all others.
    const OTHER: &'static str = "other";
    const REPORT_INTERVAL: Duration = Duration::from_secs(1);

    /// Takes the labels from a configuration, unless they are those of its version.
    fn update(&mut self, config: Option<&job::Config>) {
        let version = config.map(|config| config.version);
        if self.version == version {
            return;
        }
        self.version = version;
        let organisations = config.into_iter().flat_map(|config| &config.organisations);
        let mut by_weight: Vec<_> = organisations.collect();
        by_weight.sort_by_key(|(name, organisation)| (Reverse(organisation.weight), *name));
        self.names = by_weight.into_iter().take(Self::MAX).map(|(name, _)| name.clone()).collect();
    }

    fn label(&self, name: &Name) -> Name {
        if self.names.contains(name) { name.clone() } else { Self::OTHER.into() }
    }
}

impl State {
    /// Counts what happened to a job of `organisation`.
    pub(crate) fn count_organisation(
        &mut self,
        organisation: Option<&Name>,
        event: OrganisationEvent,
        effects: &mut Vec<Effect>,
    ) {
        let Some(name) = organisation else { return };
        self.organisation_labels.update(self.table.config.as_ref());
        let label = self.organisation_labels.label(name);
        effects.push(Effect::CountOrganisation { label, event });
    }

    /// Reports the state of all organisations if a report is due. A daemon that does not lead reports
    /// none.
    pub(crate) fn report_organisations(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if now < self.organisation_labels.next_report {
            return;
        }
        self.organisation_labels.next_report = now + OrganisationLabels::REPORT_INTERVAL;
        let config = self.table.config.as_ref().filter(|_| self.leader_term.is_some());
        let Some(config) = config.filter(|config| !config.organisations.is_empty()) else {
            return effects.push(Effect::ReportOrganisations(Vec::new()));
        };
        self.organisation_labels.update(Some(config));
        let usage = self.scheduler.usage_by_organisation();
        let capacity = self.scheduler.usable_capacity(now);
        let waiting = self.table.pending_by_organisation();
        let mut reports = BTreeMap::<Name, OrganisationReport>::new();
        for (name, organisation) in &config.organisations {
            let label = self.organisation_labels.label(name);
            let is_named = label == *name;
            let report = reports.entry(label).or_default();
            report.usage += usage.get(name).copied().unwrap_or_default();
            report.waiting += waiting.get(name).copied().unwrap_or_default();
            report.limit = is_named.then_some(organisation.limit);
        }
        let reports = reports.into_iter().map(|(label, report)| {
            let dominant_share = dominant_share(report.usage, capacity);
            OrganisationReport { label, dominant_share, ..report }
        });
        effects.push(Effect::ReportOrganisations(reports.collect()));
    }

    /// Logs and counts a call that is refused because of its key, of another organisation's job or
    /// of a rate or limit, and any refusal of a job.
    pub(crate) fn record_refusal(
        &mut self,
        submits: bool,
        path: &Name,
        key: Option<job::KeyDigest>,
        answer: &Answer,
        effects: &mut Vec<Effect>,
    ) {
        let config = self.table.config.as_ref();
        let organisation = config.zip(key).and_then(|(config, key)| config.organisation_of(&key));
        let organisation = organisation.cloned();
        let kind = if submits { "job-refused" } else { "call-refused" };
        let mut why = format!("{answer:?}, configuration {:?}", self.version());
        if submits && matches!(answer, Answer::NotRun { .. }) {
            let (used, limit) = (self.table.footprint(), self.budget.limit());
            why.push_str(&format!(", jobs take {used} of {limit} bytes"));
        }
        if let Some(name) = &organisation {
            why.push_str(&format!(", organisation `{name}`"));
        }
        effects.push(log::line(kind, path.to_string(), &why));
        let reason = match answer {
            Answer::Throttled { .. } => "rate",
            Answer::Conflict => "conflict",
            Answer::Invalid(_) => "invalid",
            Answer::NotRun { .. } => "overload",
            _ => return,
        };
        let event = OrganisationEvent::Refused(reason);
        self.count_organisation(organisation.as_ref(), event, effects);
    }
}

/// The largest share that `usage` has of the capacity of a resource.
fn dominant_share(usage: model::Resources, capacity: model::Resources) -> f64 {
    let share = |used: u64, of: u64| if of == 0 { 0.0 } else { used as f64 / of as f64 };
    share(usage.millicores, capacity.millicores)
        .max(share(usage.memory_mb, capacity.memory_mb))
        .max(share(usage.accelerators, capacity.accelerators))
}
