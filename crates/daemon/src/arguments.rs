use super::*;

/// Fleet capacity and maintenance manager: the daemon of one entry instance.
#[derive(Debug, Parser)]
#[command(name = "sardinevalved", version)]
pub(crate) struct Arguments {
    /// Settings file of this daemon
    pub(crate) settings: PathBuf,
    /// Check the settings and exit
    #[arg(long)]
    pub(crate) check: bool,
}
