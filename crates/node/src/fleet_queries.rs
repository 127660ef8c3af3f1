//! Replies to operators from the replicated state of the fleet alone.

use super::*;

pub(crate) fn reply(fleet: &fleet::State, call: operator::Call) -> operator::Reply {
    match call {
        operator::Call::Waves => operator::Reply::Waves { waves: overview::summaries(fleet, true) },
        operator::Call::Explain(subject) => explain(fleet, subject),
        operator::Call::History => operator::Reply::History {
            now: fleet.now(),
            past: fleet.history().all().iter().cloned().collect(),
        },
        operator::Call::Past(revision) => match fleet.history().get(revision) {
            Some(past) => config(revision, &past.config),
            None => operator::Reply::NoRevision { revision },
        },
        _ => config(fleet.revision(), fleet.config()),
    }
}

fn config(revision: Revision, config: &model::Config) -> operator::Reply {
    operator::Reply::Config { revision, config: config.clone() }
}

/// The current state of `subject` in words, and the logged decisions about it.
fn explain(fleet: &fleet::State, subject: fleet::Subject) -> operator::Reply {
    let present = match &subject {
        fleet::Subject::Instance(name) => fleet.upstreams().get(name).map(overview::describe),
        fleet::Subject::Wave(name) => {
            overview::summaries(fleet, true).get(name).map(Summary::to_string)
        }
        fleet::Subject::Pool(name) => {
            let pool = Overview::new(fleet).pools.get(name).copied();
            pool.map(|(available, all)| format!("{available} of {all} instances serve"))
        }
        fleet::Subject::Config => Some(format!("revision {}", fleet.revision())),
    };
    let entries = fleet.journal().entries_for(&subject);
    operator::Reply::Explanation { subject, present: present.map(Into::into), entries }
}
