use super::*;

/// Settings of a `sardinevalve-entry` daemon, which discovers its peers from seeds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryDaemon {
    /// Name of the daemon.
    pub id: Name,
    /// Data centre of the daemon.
    pub data_center: Name,
    /// Folder for state that must survive a restart. Without one, the daemon does not vote.
    pub data: Option<PathBuf>,
    /// Address for callers, over HTTP.
    pub callers: Option<SocketAddr>,
    /// Address for the load balancer's readiness check, over HTTP.
    pub ready: Option<SocketAddr>,
    /// Address for instances and operators, over HTTP.
    pub control: Option<SocketAddr>,
    /// Address for metrics scrapes, over HTTP.
    pub metrics: Option<SocketAddr>,
    /// Address on which the daemon listens for other daemons.
    pub peers: SocketAddr,
    /// Control addresses of the peers to contact first. Only their IP addresses count: all daemons
    /// use the same ports.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of a new fleet.
    pub founding: bool,
    /// Address of the service that moves and maintains machines.
    pub machines: Option<SocketAddr>,
    /// Address of the service that answers the admission checks of queues.
    pub admission: Option<SocketAddr>,
    /// Limits of the platform, and times that the operator sets.
    pub bounds: Bounds,
    /// Mechanisms of the scheduler that are in use.
    pub mechanisms: Mechanisms,
}

/// Limits that the platform guarantees, and times that the operator sets; zero if they are not set.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Bounds {
    /// Duration of the longest lease that an instance accepts.
    pub max_lease: Duration,
    /// How long after the last order about a machine another daemon must not send one.
    pub order_turn: Duration,
    /// How long an idle machine stays in its pool before it goes to the spare pool.
    pub parking_idle_time: Duration,
    /// Machine orders that the platform accepts in a second, from all daemons together.
    pub machine_orders_per_second: u32,
    /// Time from the signal that stops the daemon until the platform ends its process.
    pub stop_grace: Duration,
}

impl EntryDaemon {
    /// Parses settings in `text`; `file` is its name in findings.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let document = Document::parse(file, text);
        let mut findings = document.findings.clone();
        let mut draft = Draft::default();
        for section in &document.sections {
            draft.read(section, Reader::new(&document, section, &mut findings));
        }
        findings.extend(document.missing(&Draft::REQUIRED, &draft.seen));
        Findings::into_result(findings, draft.finish())
    }
}

/// Settings parsed so far.
#[derive(Default)]
struct Draft {
    id: Option<Name>,
    data_center: Option<Name>,
    data: Option<PathBuf>,
    callers: Option<SocketAddr>,
    ready: Option<SocketAddr>,
    control: Option<SocketAddr>,
    metrics: Option<SocketAddr>,
    address: Option<std::net::IpAddr>,
    port: Option<u16>,
    seeds: Vec<SocketAddr>,
    founding: bool,
    machines: Option<SocketAddr>,
    admission: Option<SocketAddr>,
    bounds: Bounds,
    mechanisms: Mechanisms,
    /// Required sections that were found.
    seen: Vec<&'static str>,
}

impl Draft {
    const REQUIRED: [&'static str; 3] = ["daemon", "listen", "peers"];

    fn read(&mut self, section: &Section, mut reader: Reader) {
        match section.kind.as_str() {
            "daemon" => self.read_daemon(&mut reader),
            "listen" => self.read_listen(&mut reader),
            "peers" => self.read_peers(&mut reader),
            "machines" => self.read_machines(&mut reader),
            "admission" => self.admission = reader.non_empty("address"),
            "bounds" => self.read_bounds(&mut reader),
            "policies" => self.read_policies(&mut reader),
            _ => return reader.unknown_section(),
        }
        reader.finish();
    }

    fn read_daemon(&mut self, reader: &mut Reader) {
        self.seen.push("daemon");
        self.id = reader.required::<String>("id").map(Into::into);
        self.data_center = reader.required::<String>("data-center").map(Into::into);
        self.data = reader.non_empty("data");
    }

    fn read_listen(&mut self, reader: &mut Reader) {
        self.seen.push("listen");
        self.callers = reader.non_empty("callers");
        self.ready = reader.non_empty("ready");
        self.control = reader.non_empty("control");
        self.metrics = reader.non_empty("metrics");
    }

    fn read_peers(&mut self, reader: &mut Reader) {
        self.seen.push("peers");
        self.address = reader.required("address");
        self.port = reader.required("port");
        self.founding = reader.non_empty("founding").unwrap_or_default();
        let Some(seeds) = reader.non_empty::<String>("seeds") else { return };
        let seed = |seed: &str| reader.parse::<SocketAddr>("seeds", seed.trim());
        self.seeds = seeds.split(',').filter_map(seed).collect();
    }

    fn read_machines(&mut self, reader: &mut Reader) {
        self.machines = reader.non_empty("address");
        self.bounds.parking_idle_time = reader.seconds("parking-idle-s").unwrap_or_default();
        let rate = reader.non_empty::<f64>("orders-per-s").unwrap_or_default();
        self.bounds.machine_orders_per_second = rate as u32;
    }

    fn read_bounds(&mut self, reader: &mut Reader) {
        let bounds = &mut self.bounds;
        bounds.max_lease = reader.milliseconds("max-lease-ms").unwrap_or_default();
        bounds.order_turn = reader.milliseconds("order-turn-ms").unwrap_or_default();
        bounds.stop_grace = reader.seconds("stop-grace-s").unwrap_or_default();
    }

    fn read_policies(&mut self, reader: &mut Reader) {
        for mechanism in Mechanism::ALL {
            let on = reader.switch(mechanism.name()).unwrap_or(true);
            self.mechanisms.set(mechanism, on);
        }
    }

    fn finish(self) -> Option<EntryDaemon> {
        let port = self.port?;
        let peers = SocketAddr::new(self.address?, port);
        Some(EntryDaemon {
            id: self.id?,
            data_center: self.data_center?,
            data: self.data,
            callers: self.callers,
            ready: self.ready,
            control: self.control,
            metrics: self.metrics,
            peers,
            seeds: self.seeds,
            founding: self.founding,
            machines: self.machines,
            admission: self.admission,
            bounds: self.bounds,
            mechanisms: self.mechanisms,
        })
    }
}
