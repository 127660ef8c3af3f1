use super::*;

/// Default of `stop-grace-ms`.
const DEFAULT_STOP_GRACE: Duration = Duration::from_secs(3);

/// Settings of a `sardinevalved` daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Daemon {
    /// Name of the daemon. It must be one of the peers.
    pub id: Name,
    /// Failure domains of the daemon.
    pub location: Location,
    /// Folder for state that must survive a restart; required for voters.
    pub data: Option<PathBuf>,
    /// Time after the stop signal during which new requests are still accepted. The health check
    /// fails from the signal on.
    pub stop_grace: Duration,
    /// Time after the stop signal at which the platform kills the process; `None` if it does not.
    pub stop_limit: Option<Duration>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the platform. Without it, no instance is rebooted.
    pub platform: Option<SocketAddr>,
    /// Files with keys and certificates.
    pub keys: Keys,
    /// Access to the operators' interface. `None` allows everyone, but requires a loopback address.
    pub operators: Option<Operators>,
    /// Every daemon of the fleet, by name.
    pub peers: BTreeMap<Name, Peer>,
}

impl Daemon {
    /// Parses settings in `text`; `file` is its name in findings.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let document = Document::parse(file, text);
        let mut findings = document.findings.clone();
        let mut draft = Draft::default();
        for section in &document.sections {
            draft.read(section, Reader::new(&document, section, &mut findings));
        }
        draft.check(&document, &mut findings);
        Findings::into_result(findings, draft.finish())
    }

    /// Role of this daemon in consensus.
    pub fn role(&self) -> Role {
        self.peers.get(&self.id).map_or(Role::Observer, |peer| peer.role)
    }
}

/// Settings parsed so far.
#[derive(Default)]
struct Draft {
    /// Required sections that were found.
    seen: Vec<&'static str>,
    id: Option<Name>,
    location: Option<Location>,
    data: Option<PathBuf>,
    stop_grace: Option<Duration>,
    stop_limit: Option<Duration>,
    listen: Option<Listen>,
    platform: Option<SocketAddr>,
    keys: Option<Keys>,
    operators: Option<Operators>,
    peers: BTreeMap<Name, Peer>,
}

impl Draft {
    const REQUIRED: [&'static str; 3] = ["daemon", "listen", "keys"];

    fn read(&mut self, section: &Section, mut reader: Reader) {
        match section.kind.as_str() {
            "daemon" => self.read_daemon(&mut reader),
            "listen" => self.read_listen(&mut reader),
            "keys" => self.read_keys(&mut reader),
            "operators" => self.read_operators(&mut reader),
            "platform" => self.platform = reader.required("address"),
            "peer" => self.read_peer(&mut reader),
            _ => return reader.unknown_section(),
        }
        reader.finish();
    }

    fn read_daemon(&mut self, reader: &mut Reader) {
        self.seen.push("daemon");
        self.id = reader.required::<String>("id").map(Into::into);
        self.data = reader.optional("data");
        self.stop_grace = reader.milliseconds("stop-grace-ms");
        self.stop_limit = reader.milliseconds("stop-limit-ms");
        let region = reader.required::<String>("region");
        let data_center = reader.required::<String>("data-center");
        let rack = reader.optional::<String>("rack").unwrap_or_else(|| "none".into());
        self.location = region.zip(data_center).map(|(region, data_center)| Location {
            region: region.into(),
            data_center: data_center.into(),
            rack: rack.into(),
        });
    }

    fn read_listen(&mut self, reader: &mut Reader) {
        self.seen.push("listen");
        let callers = reader.required("callers");
        let upstreams = reader.required("upstreams");
        let operators = reader.required("operators");
        if let (Some(callers), Some(upstreams), Some(operators)) = (callers, upstreams, operators) {
            self.listen = Some(Listen { callers, upstreams, operators });
        }
    }

    fn read_keys(&mut self, reader: &mut Reader) {
        self.seen.push("keys");
        let authority = reader.required("authority");
        let certificate = reader.required("certificate");
        let key = reader.required("key");
        if let (Some(authority), Some(certificate), Some(key)) = (authority, certificate, key) {
            self.keys = Some(Keys { authority, certificate, key });
        }
    }

    fn read_operators(&mut self, reader: &mut Reader) {
        self.operators = reader.required("tokens").map(|tokens| Operators { tokens });
    }

    fn read_peer(&mut self, reader: &mut Reader) {
        let name = reader.name();
        let address = reader.required("address");
        let role = reader.optional("role").unwrap_or(Role::Observer);
        if let (Some(name), Some(address)) = (name, address) {
            self.peers.insert(name, Peer { address, role });
        }
    }

    /// Checks settings that depend on each other, and that the required sections were found.
    fn check(&self, document: &Document, findings: &mut Vec<Finding>) {
        findings.extend(document.missing(&Self::REQUIRED, &self.seen));
        let mut report = |section: &str, key: Option<&str>, problem| {
            findings.push(Finding {
                file: document.file.clone(),
                line: 0,
                section: Some(section.into()),
                key: key.map(Into::into),
                problem,
            });
        };
        let open = self.operators.is_none()
            && self.listen.as_ref().is_some_and(|listen| !listen.operators.ip().is_loopback());
        if open {
            let reason = "an address other than loopback requires tokens: add `[operators] tokens`";
            report("listen", Some("operators"), Problem::Value(reason.into()));
        }
        let Some(id) = &self.id else { return };
        let Some(peer) = self.peers.get(id) else {
            return report(&format!("peer {id}"), None, Problem::MissingSection);
        };
        if peer.role == Role::Voter && self.data.is_none() {
            report("daemon", Some("data"), Problem::MissingKey);
        }
    }

    fn finish(self) -> Option<Daemon> {
        Some(Daemon {
            id: self.id?,
            location: self.location?,
            data: self.data,
            stop_grace: self.stop_grace.unwrap_or(DEFAULT_STOP_GRACE),
            stop_limit: self.stop_limit,
            listen: self.listen?,
            platform: self.platform,
            keys: self.keys?,
            operators: self.operators,
            peers: self.peers,
        })
    }
}
