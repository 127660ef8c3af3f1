use super::*;

/// Daemons and fake upstreams on loopback, in a temporary folder. Dropping it stops all processes
/// and deletes the folder.
#[derive(Debug)]
pub struct Fleet {
    folder: tempfile::TempDir,
    /// Daemons, voters first.
    pub daemons: Vec<Daemon>,
    /// Links between the daemons.
    pub network: Network,
    /// Processes of fake upstreams.
    pub fakes: Vec<Program>,
    /// Address of the fake platform, whether it is running or not.
    pub platform: String,
}

/// Number of data centres over which the daemons are distributed.
const DATA_CENTERS: usize = 3;

impl Fleet {
    /// Prepares `count` daemons, the first `voters` of which vote; none is started.
    pub fn new(count: usize, voters: usize) -> eyre::Result<Self> {
        Self::with_settings(count, voters, "")
    }

    /// Prepares daemons like [`Fleet::new`], with `settings` appended to the settings of each,
    /// where `FOLDER` is replaced by the folder of the fleet.
    pub fn with_settings(count: usize, voters: usize, settings: &str) -> eyre::Result<Self> {
        let folder = tempfile::Builder::new().prefix("sardinevalve-").tempdir()?;
        let network = Network::default();
        let platform = Port::free()?;
        let daemons = Vec::new();
        let mut fleet = Self { folder, daemons, network, platform, fakes: Vec::new() };
        fleet.prepare(count)?;
        let peers: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.peers.clone()).collect();
        fleet.network = Network::start(&peers)?;
        fleet.make_keys()?;
        for i in 0..count {
            let added = settings.replace("FOLDER", &fleet.folder().display().to_string());
            fs::write(&fleet.daemons[i].settings, fleet.settings(i, voters) + &added)?;
        }
        Ok(fleet)
    }

    /// Starts every daemon, and waits until all are healthy.
    pub fn start(&mut self) -> eyre::Result<()> {
        for daemon in &mut self.daemons {
            daemon.start()?;
        }
        self.wait_healthy()
    }

    /// Waits until the health check of every running daemon succeeds.
    pub fn wait_healthy(&self) -> eyre::Result<()> {
        let running = || self.daemons.iter().filter(|daemon| daemon.program.is_some());
        wait_until("every daemon is healthy", || running().all(Daemon::healthy))
    }

    /// Index of the leader, if all daemons with a valid view lease name the same one.
    pub fn leader(&self) -> Option<usize> {
        let statuses = self.daemons.iter().filter_map(|daemon| daemon.status().ok());
        let mut leaders = statuses.filter(|s| s["view"] == true).map(|s| s["leader"].clone());
        let leader = leaders.next()?;
        if leaders.any(|other| other != leader) {
            return None;
        }
        self.daemons.iter().position(|daemon| leader == daemon.name)
    }

    /// Folder of the fleet.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Starts fake upstreams of `service`, and waits until every daemon lists them as serving.
    pub fn add_upstreams(
        &mut self,
        service: &str,
        count: usize,
        arguments: &[&str],
    ) -> eyre::Result<()> {
        self.add_fake("upstreams", service, count, arguments)
    }

    /// Starts the fake platform with upstreams that it can reboot, and waits until every daemon
    /// lists them as serving.
    pub fn add_platform(
        &mut self,
        service: &str,
        count: usize,
        arguments: &[&str],
    ) -> eyre::Result<()> {
        let address = self.platform.clone();
        let arguments = [&["--listen", address.as_str()], arguments].concat();
        self.add_fake("platform", service, count, &arguments)
    }

    /// Numbers of reboots and of cut-off requests of each instance, from the fake platform.
    pub fn machines(&self) -> eyre::Result<serde_json::Value> {
        let url = format!("http://{}/v1/instances", self.platform);
        Ok(serde_json::from_str(&attohttpc::get(url).send()?.text()?)?)
    }

    fn add_fake(
        &mut self,
        kind: &str,
        service: &str,
        count: usize,
        arguments: &[&str],
    ) -> eyre::Result<()> {
        let before = serving(&self.daemons[0], service);
        let program = self.start_fake(kind, service, count, arguments)?;
        self.fakes.push(program);
        wait_until("every daemon lists the upstreams as serving", || {
            self.daemons.iter().all(|daemon| serving(daemon, service) == before + count)
        })
    }

    /// Starts fake upstreams of `service` without waiting for the daemons.
    pub fn start_upstreams(
        &self,
        service: &str,
        count: usize,
        arguments: &[&str],
    ) -> eyre::Result<Program> {
        self.start_fake("upstreams", service, count, arguments)
    }

    fn start_fake(
        &self,
        kind: &str,
        service: &str,
        count: usize,
        arguments: &[&str],
    ) -> eyre::Result<Program> {
        let number = count.to_string();
        let mut all = vec![kind, "--service", service, "--count", &number];
        for daemon in &self.daemons {
            all.extend(["--daemon", daemon.upstreams.as_str()]);
        }
        all.extend(arguments);
        let log = self.folder.path().join(format!("fake-{service}.log"));
        Program::start("sardinevalve-fake", &all, &log)
    }

    /// Applies the configuration `text` through the first daemon, and waits until it is in force.
    pub fn apply(&self, text: &str) -> eyre::Result<Output> {
        let path = self.folder.path().join("fleet.ini");
        fs::write(&path, text)?;
        self.daemons[0].operate(&["apply", "--wait", &path.display().to_string()])
    }

    /// Chooses addresses and files for `count` daemons.
    fn prepare(&mut self, count: usize) -> eyre::Result<()> {
        for number in 1..=count {
            let name = format!("daemon-{number}");
            let (callers, upstreams, operators) = (Port::free()?, Port::free()?, Port::free()?);
            let peers = Port::free()?;
            let settings = self.folder.path().join(format!("{name}.ini"));
            let log = self.folder.path().join(format!("{name}.log"));
            let program = None;
            self.daemons.push(Daemon {
                name,
                callers,
                upstreams,
                operators,
                peers,
                settings,
                log,
                arguments: Vec::new(),
                program,
            });
        }
        Ok(())
    }

    /// Creates a certificate authority, and keys for each daemon.
    fn make_keys(&self) -> eyre::Result<()> {
        let folder = self.folder.path().join("keys").display().to_string();
        check(Program::output("sardinevalve", &["keys", "init", &folder])?)?;
        for daemon in &self.daemons {
            check(Program::output("sardinevalve", &["keys", "issue", &folder, &daemon.name])?)?;
        }
        Ok(())
    }

    /// Settings of the daemon `number`.
    fn settings(&self, number: usize, voters: usize) -> String {
        let daemon = &self.daemons[number];
        let (name, folder) = (&daemon.name, self.folder.path().display());
        let data_center = number % DATA_CENTERS;
        let mut text = format!(
            "[daemon]\nid = {name}\nregion = local\ndata-center = local-{data_center}\n\
             data = {folder}/{name}\n\
             [listen]\ncallers = {}\nupstreams = {}\noperators = {}\n\
             [platform]\naddress = {}\n\
             [keys]\nauthority = {folder}/keys/authority.pem\n\
             certificate = {folder}/keys/{name}.pem\nkey = {folder}/keys/{name}.key\n",
            daemon.callers, daemon.upstreams, daemon.operators, self.platform,
        );
        for (i, peer) in self.daemons.iter().enumerate() {
            let role = if i < voters { "voter" } else { "observer" };
            let link = self.network.address(number, i).map(|address| address.to_string());
            let address = link.as_ref().unwrap_or(&peer.peers);
            text += &format!("[peer {}]\naddress = {address}\nrole = {role}\n", peer.name);
        }
        text
    }
}

/// Number of upstreams of `service` that the daemon lists as serving.
fn serving(daemon: &Daemon, service: &str) -> usize {
    let Ok(status) = daemon.status() else { return 0 };
    let Some(upstreams) = status["upstreams"].as_object() else { return 0 };
    let serving = upstreams.values().filter(|upstream| {
        upstream["presence"] == "serving" && upstream["announcement"]["service"] == service
    });
    serving.count()
}

/// Turns a failed run of the command-line tool into an error with its output.
fn check(output: Output) -> eyre::Result<()> {
    if !output.status.success() {
        bail!("{}", String::from_utf8_lossy(&output.stderr));
    }
    Ok(())
}
