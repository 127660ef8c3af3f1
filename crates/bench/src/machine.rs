use super::*;

/// The machine, commit and profile with which a figure was measured.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Machine {
    commit: String,
    processors: usize,
    kernel: String,
    /// Load average over a minute at the start of the experiment.
    load: String,
    /// Whether debug assertions are enabled.
    debug: bool,
}

impl Machine {
    pub(crate) fn detect() -> Self {
        let read = |path| fs::read_to_string(path).unwrap_or_default().trim().to_owned();
        Self {
            commit: commit(),
            processors: thread::available_parallelism().map_or(0, usize::from),
            kernel: read("/proc/sys/kernel/osrelease"),
            load: read("/proc/loadavg").split(' ').next().unwrap_or_default().to_owned(),
            debug: cfg!(debug_assertions),
        }
    }
}

/// The commit that is checked out, or an empty string outside a repository.
fn commit() -> String {
    let output = Command::new("git").args(["rev-parse", "--short", "HEAD"]).output();
    let commit = output.map(|output| String::from_utf8_lossy(&output.stdout).trim().to_owned());
    commit.unwrap_or_default()
}
