use super::*;

/// Links between all pairs of daemons of a fleet, by the indices of the dialling daemon and its
/// target.
#[derive(Debug, Default)]
pub struct Network {
    links: BTreeMap<(usize, usize), Link>,
}

impl Network {
    pub(crate) fn start(peers: &[String]) -> eyre::Result<Self> {
        let mut network = Self::default();
        for dialler in 0..peers.len() {
            for (target, address) in peers.iter().enumerate().filter(|(i, _)| *i != dialler) {
                network.links.insert((dialler, target), Link::start(address)?);
            }
        }
        Ok(network)
    }

    /// Address at which `dialler` reaches `target`.
    pub(crate) fn address(&self, dialler: usize, target: usize) -> Option<SocketAddr> {
        self.links.get(&(dialler, target)).map(Link::address)
    }

    /// Drops all traffic between the daemons in `side` and the others.
    pub fn partition(&self, side: &[usize]) {
        for ((dialler, target), link) in &self.links {
            link.set_cut(side.contains(dialler) != side.contains(target));
        }
    }

    /// Ends every partition.
    pub fn heal(&self) {
        self.links.values().for_each(|link| link.set_cut(false));
    }

    /// Payload bytes that `daemon` has sent and received.
    pub fn bytes(&self, daemon: usize) -> u64 {
        let own = |(dialler, target): &(usize, usize)| *dialler == daemon || *target == daemon;
        self.links.iter().filter(|(pair, _)| own(pair)).map(|(_, link)| link.bytes()).sum()
    }
}
