use super::*;

/// A daemon of a [`Fleet`], running or not.
#[derive(Debug)]
pub struct Daemon {
    /// Name of the daemon.
    pub name: String,
    /// Address for callers.
    pub callers: String,
    /// Address for upstreams.
    pub upstreams: String,
    /// Address for operators.
    pub operators: String,
    pub(crate) peers: String,
    pub(crate) settings: PathBuf,
    pub(crate) log: PathBuf,
    /// Command-line arguments after the settings file.
    pub arguments: Vec<String>,
    pub(crate) program: Option<Program>,
}

impl Daemon {
    /// Starts the daemon unless it is running.
    pub fn start(&mut self) -> eyre::Result<()> {
        if self.program.is_none() {
            let settings = self.settings.display().to_string();
            let mut arguments = vec![settings.as_str()];
            arguments.extend(self.arguments.iter().map(String::as_str));
            self.program = Some(Program::start("sardinevalved", &arguments, &self.log)?);
        }
        Ok(())
    }

    /// Kills the daemon with SIGKILL.
    pub fn kill(&mut self) {
        self.program = None;
    }

    /// The process of the daemon, if it was started.
    pub fn program(&mut self) -> Option<&mut Program> {
        self.program.as_mut()
    }

    /// Takes the process out, so that it can be stopped while other threads call the daemon.
    pub fn take_program(&mut self) -> Option<Program> {
        self.program.take()
    }

    /// Whether the health check that the load balancer uses succeeds.
    pub fn healthy(&self) -> bool {
        let url = format!("http://{}/health", self.callers);
        attohttpc::get(url).send().is_ok_and(|response| response.is_success())
    }

    /// Status of the daemon as JSON.
    pub fn status(&self) -> eyre::Result<serde_json::Value> {
        self.status_within(Duration::from_secs(5))
    }

    /// Status of the daemon as JSON; an error if it takes longer than `timeout`.
    pub(crate) fn status_within(&self, timeout: Duration) -> eyre::Result<serde_json::Value> {
        let url = format!("http://{}/v1/status", self.operators);
        let text = attohttpc::get(url).timeout(timeout).send()?.text()?;
        Ok(serde_json::from_str(&text)?)
    }

    /// Revision of the configuration on which the daemon acts.
    pub fn revision(&self) -> Option<u64> {
        self.status().ok()?["revision"].as_u64()
    }

    /// Runs the command-line tool for operators against this daemon.
    pub fn operate(&self, arguments: &[&str]) -> eyre::Result<Output> {
        let arguments = [&["--daemon", self.operators.as_str()], arguments].concat();
        Program::output("sardinevalve", &arguments)
    }

    /// Sends a request of `kind` with `body` to `service`.
    pub fn call(&self, service: &str, kind: &str, body: &str) -> eyre::Result<attohttpc::Response> {
        let url = format!("http://{}/call/{service}/", self.callers);
        let request = attohttpc::post(url).header("Sardinevalve-Kind", kind).text(body);
        Ok(request.follow_redirects(false).send()?)
    }
}
