use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn proposals() -> Proposals {
    let mut proposals = Proposals::new("d1".into(), 1);
    let lapse = fleet::Command::Lapse { instance: "i1".into(), incarnation: 1 };
    proposals.create(ms(0), Command::Fleet(lapse), None);
    proposals
}

/// Guards against daemons that multiply the log entries of a leader that is late.
#[test]
fn a_proposal_to_a_leader_that_is_late_is_repeated_a_few_times_only() {
    let mut proposals = proposals();
    let sent = (0..10_000).step_by(200).filter(|at| !proposals.take_due(ms(*at)).is_empty());
    assert_eq!(sent.collect::<Vec<_>>(), [400, 1200, 2800, 6000]);
}

#[test]
fn a_new_leader_gets_the_proposals_at_once() {
    let mut proposals = proposals();
    proposals.take_due(ms(400));
    assert_eq!(proposals.restart(ms(500)).len(), 1);
    assert_eq!(proposals.take_due(ms(800)).len(), 0);
    assert_eq!(proposals.take_due(ms(900)).len(), 1);
}
