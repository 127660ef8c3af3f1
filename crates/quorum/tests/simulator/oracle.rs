use super::*;

/// Checks the invariants of the cluster.
#[derive(Default)]
pub struct Oracle {
    /// Leader of each term.
    leaders: BTreeMap<u64, Name>,
    /// Committed entries, with the time at which the first member applied each.
    committed: Vec<(Entry, Time)>,
    /// Digest of the replicated state after each committed entry.
    digests: Vec<u64>,
}

impl Oracle {
    /// Time for which a member may still act on a configuration after the next one was committed.
    const IN_FORCE_BOUND: Duration = Duration::from_secs(5);

    pub fn committed(&self) -> Index {
        self.committed.len() as Index
    }

    pub fn apply(&mut self, now: Time, host: &mut Host, index: Index, entry: Entry) {
        let id = host.state.id();
        assert_eq!(index, host.applied + 1, "`{id}` skips or repeats an entry");
        host.applied = index;
        host.digest = digest(host.digest, &entry);
        if index > self.committed() {
            self.committed.push((entry, now));
            self.digests.push(host.digest);
        } else {
            assert_eq!(entry, self.committed[index as usize - 1].0, "`{id}` differs at {index}");
        }
    }

    pub fn install(&self, host: &mut Host, snapshot: Snapshot) {
        let id = host.state.id();
        assert!(snapshot.index >= host.applied, "`{id}` installs a snapshot older than its state");
        host.applied = snapshot.index;
        host.digest = self.digests[snapshot.index as usize - 1];
        assert_eq!(
            snapshot.state,
            host.encode(),
            "snapshot at {} has another state",
            snapshot.index
        );
    }

    pub fn check(&mut self, now: Time, hosts: &BTreeMap<Name, Host>) {
        for (name, host) in hosts.iter().filter(|(_, host)| host.up && host.state.is_leader()) {
            let leader = self.leaders.entry(host.state.term()).or_insert_with(|| name.clone());
            assert_eq!(leader, name, "two leaders in term {}", host.state.term());
        }
        let has_lease = |host: &&Host| {
            let clock = host.clock(now);
            host.up && host.frozen_until <= now && host.state.has_leader_lease(clock)
        };
        let lease_holders: Vec<_> =
            hosts.values().filter(has_lease).map(|h| h.state.id()).collect();
        assert!(
            lease_holders.len() <= 1,
            "{lease_holders:?} hold the leader lease at the same time"
        );
        let up = || hosts.iter().filter(|(_, host)| host.up);
        let forced = up().map(|(_, host)| host.state.forced()).max().unwrap_or(0);
        assert!(forced <= self.committed(), "an entry is in force before it is committed");
        for (name, host) in up().filter(|(_, host)| host.has_view_lease(now)) {
            assert!(host.applied >= forced, "`{name}` acts on {}, {forced} in force", host.applied);
            if let Some((_, at)) = self.committed.get(host.applied as usize) {
                assert!(
                    *at + Self::IN_FORCE_BOUND >= now,
                    "`{name}` acts on a configuration replaced over 5 s ago"
                );
            }
        }
    }
}

fn digest(previous: u64, entry: &Entry) -> u64 {
    let bytes = entry.command.iter().map(|byte| u64::from(*byte));
    bytes.fold(previous ^ entry.term, |sum, byte| sum.wrapping_mul(0x0100_0000_01b3) ^ byte)
}
