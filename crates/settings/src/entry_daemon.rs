use super::*;

/// Settings of a daemon that finds its peers by itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryDaemon {
    /// Name of the daemon.
    pub id: Name,
    /// Data centre that it stands in.
    pub data_center: Name,
    /// Folder for state that must survive; without one the daemon has no vote.
    pub data: Option<PathBuf>,
    /// Callers, over HTTP.
    pub callers: Option<SocketAddr>,
    /// The balancer's question whether callers should come, over HTTP.
    pub ready: Option<SocketAddr>,
    /// Instances and operators, over HTTP.
    pub control: Option<SocketAddr>,
    /// Counters for whoever scrapes them, over HTTP.
    pub metrics: Option<SocketAddr>,
    /// Other daemons.
    pub peers: SocketAddr,
    /// Peers that are asked first.
    pub seeds: Vec<SocketAddr>,
    /// Whether the fleet starts for the first time.
    pub founding: bool,
    /// Where machines are moved and maintained.
    pub machines: Option<SocketAddr>,
    /// Where the policies of queues are asked.
    pub admission: Option<SocketAddr>,
    /// What the platform promises.
    pub bounds: Bounds,
}

/// What the platform promises.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Bounds {
    /// Longest lease that an instance grants.
    pub max_lease: Duration,
    /// How long a daemon may take to stop.
    pub stop_grace: Duration,
}

impl EntryDaemon {
    /// Reads settings from `text`; `file` names it in findings.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let document = Document::parse(file, text);
        let mut findings = document.findings.clone();
        let mut draft = Draft::default();
        for section in &document.sections {
            draft.read(section, Reader::new(&document, section, &mut findings));
        }
        findings.extend(document.missing(&Draft::REQUIRED, &draft.seen));
        Findings::none_or(findings, draft.finish())
    }
}

/// Settings read so far.
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
    seen: Vec<&'static str>,
}

impl Draft {
    const REQUIRED: [&'static str; 3] = ["daemon", "listen", "peers"];

    fn read(&mut self, section: &Section, mut reader: Reader) {
        match section.kind.as_str() {
            "daemon" => self.read_daemon(&mut reader),
            "listen" => self.read_listen(&mut reader),
            "peers" => self.read_peers(&mut reader),
            "machines" => self.machines = reader.present("address"),
            "admission" => self.admission = reader.present("address"),
            "bounds" => self.read_bounds(&mut reader),
            _ => return reader.unknown(),
        }
        reader.finish();
    }

    fn read_daemon(&mut self, reader: &mut Reader) {
        self.seen.push("daemon");
        self.id = reader.required::<String>("id").map(Into::into);
        self.data_center = reader.required::<String>("data-center").map(Into::into);
        self.data = reader.present("data");
    }

    fn read_listen(&mut self, reader: &mut Reader) {
        self.seen.push("listen");
        self.callers = reader.present("callers");
        self.ready = reader.present("ready");
        self.control = reader.present("control");
        self.metrics = reader.present("metrics");
    }

    fn read_peers(&mut self, reader: &mut Reader) {
        self.seen.push("peers");
        self.address = reader.required("address");
        self.port = reader.required("port");
        self.founding = reader.present("founding").unwrap_or_default();
        let Some(seeds) = reader.present::<String>("seeds") else { return };
        let seed = |seed: &str| reader.parse::<SocketAddr>("seeds", seed.trim());
        self.seeds = seeds.split(',').filter_map(seed).collect();
    }

    fn read_bounds(&mut self, reader: &mut Reader) {
        let bounds = &mut self.bounds;
        bounds.max_lease = reader.milliseconds("max-lease-ms").unwrap_or_default();
        bounds.stop_grace = reader.seconds("stop-grace-s").unwrap_or_default();
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
        })
    }
}
