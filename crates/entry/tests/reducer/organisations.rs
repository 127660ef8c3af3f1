//! What operators see of organisations: log lines of refusals, and metrics of a bounded number.

use super::{
    access::{config_of, key, submission},
    *,
};

fn small() -> job::Spec {
    let group = job::Group { count: 1, ..Default::default() };
    job::Spec { payload: "p".into(), groups: vec![group], recurrence: None }
}

fn ask(state: &mut State, call: Call) -> Vec<Effect> {
    run(state, ms(3100), Event::Call { ticket: 7, call, timeout: ms(1800) })
}

fn post(state: &mut State, id: u64, caller: Option<u8>) -> Vec<Effect> {
    ask(state, submission(&format!("/q/{id:016x}"), caller, small()))
}

/// Log lines of a kind: what they are about, and why.
fn lines(effects: &[Effect], kind: &str) -> Vec<(String, String)> {
    let lines = effects.iter().filter_map(|effect| match effect {
        Effect::Note(note) if note.what == kind => Some((note.about.clone(), note.why.clone())),
        _ => None,
    });
    lines.collect()
}

fn counted(effects: &[Effect]) -> Vec<(String, OrganisationEvent)> {
    let counted = effects.iter().filter_map(|effect| match effect {
        Effect::CountOrganisation { label, event } => Some((label.to_string(), *event)),
        _ => None,
    });
    counted.collect()
}

fn two() -> State {
    let mut state = leader();
    configure(&mut state, config_of(2, &[("a", 1, &[1]), ("b", 100, &[2])]));
    state
}

/// Guards against refusals that leave no trace, or a trace that does not name the configuration that
/// decided.
#[test]
fn refusals_are_logged_with_path_configuration_and_organisation() {
    let mut state = two();
    let path = "/q/00000000000000aa".to_owned();
    let line = |why: &str| vec![(path.clone(), why.to_owned())];
    let refused = post(&mut state, 0xaa, Some(9));
    assert_eq!(lines(&refused, "job-refused"), line("Unauthorized, configuration Some(2)"));
    let show = Call::Show { host: "host".into(), path: path.as_str().into(), key: Some(key(9)) };
    let refused = ask(&mut state, show);
    assert_eq!(lines(&refused, "call-refused"), line("Unauthorized, configuration Some(2)"));
    let cancel = Call::Cancel { host: "host".into(), path: path.as_str().into(), key: None };
    let refused = ask(&mut state, cancel);
    assert_eq!(lines(&refused, "call-refused"), line("Unauthorized, configuration Some(2)"));
    post(&mut state, 0xaa, Some(1));
    let refused = post(&mut state, 0xaa, Some(2));
    let why = "Conflict, configuration Some(2), organisation `b`";
    assert_eq!(lines(&refused, "job-refused"), line(why));
    for id in 1..3 {
        post(&mut state, id, Some(1));
    }
    let refused = post(&mut state, 3, Some(1));
    let why = "Throttled { retry: 2s }, configuration Some(2), organisation `a`";
    let about = "/q/0000000000000003".to_owned();
    assert_eq!(lines(&refused, "job-refused"), [(about, why.to_owned())]);
    assert_eq!(counted(&refused), [("a".into(), OrganisationEvent::Refused("rate"))]);
}

#[test]
fn lines_about_a_job_name_its_organisation() {
    let mut state = two();
    let accepted = post(&mut state, 1, Some(1));
    let why = "queued in q, 0 ms after submission, objective 600 ms, organisation `a`";
    let about = format!("{:016x}", 1);
    assert_eq!(lines(&accepted, "job-accepted"), [(about.clone(), why.to_owned())]);
    assert_eq!(counted(&accepted), [("a".into(), OrganisationEvent::Accepted)]);
    let surplus = post(&mut state, 2, Some(1));
    assert!(lines(&surplus, "job-accepted")[0].1.ends_with("organisation `a`, surplus"));
    assert_eq!(counted(&surplus), [("a".into(), OrganisationEvent::AcceptedSurplus)]);
    let path = "/q/0000000000000001".into();
    let over = ask(&mut state, Call::Cancel { host: "host".into(), path, key: Some(key(1)) });
    let why = "cancelled in q, 0 ms after submission, objective 600 ms, organisation `a`";
    assert_eq!(lines(&over, "job-over"), [(about, why.to_owned())]);
    assert_eq!(counted(&over), [("a".into(), OrganisationEvent::Ended("cancelled"))]);
}

/// Guards against keys in lines and metrics, in any form that could be used.
#[test]
fn no_digest_of_a_key_is_logged() {
    let mut state = two();
    let mut effects = Vec::new();
    for caller in [None, Some(1), Some(2), Some(9)] {
        effects.extend(post(&mut state, 5, caller));
    }
    for effect in effects {
        if let Effect::Note(note) = effect {
            for number in [1, 2, 9] {
                let digest = format!("{:?}", key(number));
                assert!(!note.why.contains(&digest) && !note.about.contains(&digest), "{note:?}");
            }
        }
    }
}

fn reports(effects: &[Effect]) -> Vec<OrganisationReport> {
    let reports = effects.iter().find_map(|effect| match effect {
        Effect::ReportOrganisations(reports) => Some(reports.clone()),
        _ => None,
    });
    reports.expect("a report")
}

/// Guards against as many time series as there are organisations, 150 at the design size.
#[test]
fn the_largest_organisations_are_reported_by_name_and_the_others_together() {
    let mut state = leader();
    let names: Vec<_> = (0..150_u32).map(|i| format!("org-{i:03}")).collect();
    let organisations: Vec<(&str, u32, &[u8])> = names
        .iter()
        .enumerate()
        .map(|(i, name)| {
            let keys: &[u8] = match i {
                7 => &[7],
                149 => &[149],
                148 => &[148],
                _ => &[],
            };
            (name.as_str(), 1 + i as u32, keys)
        })
        .collect();
    configure(&mut state, config_of(2, &organisations));
    post(&mut state, 1, Some(149));
    post(&mut state, 2, Some(148));
    post(&mut state, 3, Some(148));
    let small_one = post(&mut state, 4, Some(7));
    assert_eq!(counted(&small_one), [("other".into(), OrganisationEvent::Accepted)]);
    let effects = run(&mut state, ms(4500), Event::Timer(Timer::Beat));
    let reports = reports(&effects);
    assert_eq!(reports.len(), 21);
    let waiting = |label: &str| {
        let report = reports.iter().find(|report| *report.label == *label).expect("a report");
        (report.waiting, report.limit.is_some())
    };
    assert_eq!(waiting("org-149"), (1, true));
    assert_eq!(waiting("org-148"), (2, true));
    assert_eq!(waiting("org-130"), (0, true));
    assert_eq!(waiting("other"), (1, false));
    // The metrics stay bounded when other organisations become the largest again and again.
    let metrics = Metrics::new();
    metrics.report_organisations(&reports);
    for i in 0..1000 {
        metrics.count_organisation(&format!("org-{i}").into(), OrganisationEvent::Accepted);
    }
    let text = metrics.text();
    let series = |name: &str| text.lines().filter(|line| line.starts_with(name)).count();
    assert_eq!(series("sardinevalve_organisation_waiting{"), 21);
    assert_eq!(series("sardinevalve_organisation_limit{"), 20 * 3);
    assert!(series("sardinevalve_organisation_accepted_total{") <= 42);
}

/// Guards against gauges of a daemon that no longer leads, which would be counted twice.
#[test]
fn a_daemon_that_does_not_lead_reports_no_organisations() {
    let mut state = gateway(&"10.0.0.1:1".into());
    let effects = state.reduce(ms(3000), 0, Event::Timer(Timer::Beat));
    assert_eq!(reports(&effects), []);
    let metrics = Metrics::new();
    let report = OrganisationReport { label: "a".into(), waiting: 3, ..Default::default() };
    metrics.report_organisations(&[report]);
    assert!(metrics.text().contains("sardinevalve_organisation_waiting{organisation=\"a\"} 3"));
    metrics.report_organisations(&[]);
    assert!(!metrics.text().contains("organisation=\"a\""));
}

#[test]
fn events_of_an_organisation_are_counted() {
    let metrics = Metrics::new();
    let events = [
        OrganisationEvent::Accepted,
        OrganisationEvent::AcceptedSurplus,
        OrganisationEvent::Refused("rate"),
        OrganisationEvent::Ended("in-time"),
        OrganisationEvent::Ended("late"),
    ];
    for event in events {
        metrics.count_organisation(&"a".into(), event);
    }
    let usage = model::Resources { millicores: 1500, memory_mb: 7, accelerators: 0 };
    let limit = Some(model::Resources { millicores: 2000, memory_mb: 0, accelerators: 0 });
    let report =
        OrganisationReport { label: "a".into(), usage, limit, dominant_share: 0.25, waiting: 2 };
    metrics.report_organisations(&[report]);
    let text = metrics.text();
    let expected = [
        "accepted_total{organisation=\"a\"} 2",
        "surplus_total{organisation=\"a\"} 1",
        "refused_total{organisation=\"a\",reason=\"rate\"} 1",
        "ended_total{organisation=\"a\",end=\"in-time\"} 1",
        "ended_total{organisation=\"a\",end=\"late\"} 1",
        "usage{organisation=\"a\",resource=\"cpu\"} 1500",
        "limit{organisation=\"a\",resource=\"cpu\"} 2000",
        "dominant_share{organisation=\"a\"} 0.25",
        "waiting{organisation=\"a\"} 2",
    ];
    for line in expected {
        assert!(text.contains(&format!("sardinevalve_organisation_{line}\n")), "{line}\n{text}");
    }
}
