//! Distributes admission queries over daemons on different machines. The platform answers one query
//! at a time for each machine, so several daemons get more answers in the same time.

use super::*;

/// Daemons that can send queries, and the queries in flight.
#[derive(Debug, Default)]
pub(crate) struct QueryRouter {
    /// A daemon on each other machine, and when it was last heard from.
    peers: BTreeMap<std::net::IpAddr, (Name, Time)>,
    /// Queries in flight by id, with the machine that sends it (`None` for this one) and the time
    /// after which it is considered lost.
    in_flight: BTreeMap<job::CallId, (Option<std::net::IpAddr>, Time)>,
}

impl QueryRouter {
    /// How long a daemon counts as alive after its last message; more than two ping intervals of a
    /// large fleet.
    const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1200);
    /// Time that the answer to a query may take from the sending daemon to this one, beyond the
    /// timeout of the query.
    const ANSWER_DELAY: Duration = Duration::from_millis(500);

    /// Records that a peer was heard from.
    pub(crate) fn heard_from(&mut self, now: Time, own: &Name, peer: &Name) {
        let (Some(own), Some(ip)) = (machine_ip(own), machine_ip(peer)) else { return };
        if ip != own {
            self.peers.insert(ip, (peer.clone(), now));
        }
    }

    /// Number of queries that may be in flight, including one of this machine.
    pub(crate) fn max_queries(&mut self, now: Time) -> usize {
        self.peers.retain(|_, (_, heard)| now < *heard + Self::LIVENESS_TIMEOUT);
        self.in_flight.retain(|_, (_, until)| now < *until);
        1 + self.peers.len()
    }

    /// Chooses the daemon that sends the query `id`: `None` for this one.
    pub(crate) fn choose(&mut self, now: Time, id: job::CallId, timeout: Duration) -> Option<Name> {
        let until = now + timeout + Self::ANSWER_DELAY;
        let busy: Vec<_> = self.in_flight.values().map(|(ip, _)| *ip).collect();
        let own = !busy.contains(&None);
        let mut free = self.peers.iter().filter(|(ip, _)| !busy.contains(&Some(**ip)));
        let chosen =
            if own { None } else { free.next().map(|(ip, (name, _))| (*ip, name.clone())) };
        self.in_flight.insert(id, (chosen.as_ref().map(|(ip, _)| *ip), until));
        chosen.map(|(_, name)| name)
    }

    /// Records that the query `id` was answered or failed.
    pub(crate) fn finish(&mut self, id: job::CallId) {
        self.in_flight.remove(&id);
    }
}

fn machine_ip(daemon: &Name) -> Option<std::net::IpAddr> {
    daemon.parse::<SocketAddr>().ok().map(|address| address.ip())
}
