//! Daemons that ask the platform for the leader. The platform takes one question at a time from each
//! machine, so that several daemons together learn more.

use super::*;

/// Who may ask, and who does.
#[derive(Debug, Default)]
pub(crate) struct Helpers {
    /// A daemon on each machine other than this one, and when it was last heard.
    heard: BTreeMap<std::net::IpAddr, (Name, Time)>,
    /// Questions under way, with the machine that asks and when the question is taken as lost.
    asking: BTreeMap<job::CallId, (Option<std::net::IpAddr>, Time)>,
}

impl Helpers {
    /// How long after its last word a daemon is taken to be there; three of its pings.
    const FRESH: Duration = Duration::from_millis(1000);
    /// After the timeout of a question, its answer would have come by now.
    const TRAVEL: Duration = Duration::from_millis(500);

    /// Takes word of a peer.
    pub(crate) fn hear(&mut self, now: Time, own: &Name, peer: &Name) {
        let (Some(own), Some(ip)) = (machine(own), machine(peer)) else { return };
        if ip != own {
            self.heard.insert(ip, (peer.clone(), now));
        }
    }

    /// How many questions may be under way at once, with this machine's.
    pub(crate) fn count(&mut self, now: Time) -> usize {
        self.heard.retain(|_, (_, heard)| now < *heard + Self::FRESH);
        self.asking.retain(|_, (_, until)| now < *until);
        1 + self.heard.len()
    }

    /// Who is to ask the question `id`: `None` for this daemon.
    pub(crate) fn choose(&mut self, now: Time, id: job::CallId, timeout: Duration) -> Option<Name> {
        let until = now + timeout + Self::TRAVEL;
        let busy: Vec<_> = self.asking.values().map(|(ip, _)| *ip).collect();
        let own = !busy.contains(&None);
        let mut free = self.heard.iter().filter(|(ip, _)| !busy.contains(&Some(**ip)));
        let chosen =
            if own { None } else { free.next().map(|(ip, (name, _))| (*ip, name.clone())) };
        self.asking.insert(id, (chosen.as_ref().map(|(ip, _)| *ip), until));
        chosen.map(|(_, name)| name)
    }

    /// The question `id` has ended.
    pub(crate) fn end(&mut self, id: job::CallId) {
        self.asking.remove(&id);
    }
}

fn machine(daemon: &Name) -> Option<std::net::IpAddr> {
    daemon.parse::<SocketAddr>().ok().map(|address| address.ip())
}
