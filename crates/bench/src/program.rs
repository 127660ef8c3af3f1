use super::*;

/// A running program of this workspace, which is killed on drop.
#[derive(Debug)]
pub struct Program {
    child: Child,
}

impl Program {
    /// Path of the program `name`, in the folder of the running executable or the folder above.
    pub fn path(name: &str) -> eyre::Result<PathBuf> {
        let own = env::current_exe()?;
        let folders = own.ancestors().skip(1).take(2);
        let mut paths = folders.map(|folder| folder.join(name));
        paths.find(|path| path.exists()).ok_or_else(|| eyre::eyre!("`{name}` is not built"))
    }

    /// Starts the program `name`, with standard output and error appended to the file `log`.
    pub fn start(name: &str, arguments: &[&str], log: &Path) -> eyre::Result<Self> {
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let mut command = Command::new(Self::path(name)?);
        command.args(arguments).stdin(Stdio::null());
        command.stdout(log.try_clone()?).stderr(log);
        let child = command.spawn().wrap_err_with(|| format!("cannot start `{name}`"))?;
        Ok(Self { child })
    }

    /// Runs the program `name` until it exits, and returns its output.
    pub fn output(name: &str, arguments: &[&str]) -> eyre::Result<Output> {
        Ok(Command::new(Self::path(name)?).args(arguments).stdin(Stdio::null()).output()?)
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the program with SIGKILL, and waits until it has exited.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Sends the signal `name`, such as `TERM`.
    pub fn signal(&self, name: &str) -> eyre::Result<()> {
        let status =
            Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status()?;
        ensure!(status.success(), "cannot send SIG{name}");
        Ok(())
    }

    /// Waits until the program exits, and returns its exit code; `None` if a signal ended it.
    pub fn wait(&mut self) -> eyre::Result<Option<i32>> {
        let mut code = None;
        wait_until("the program exits", || {
            code = self.child.try_wait().ok().flatten();
            code.is_some()
        })?;
        Ok(code.and_then(|status| status.code()))
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}
