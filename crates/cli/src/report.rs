//! `sardinevalve report`.

use {super::*, std::io::BufReader};

/// Reads the log of one or several daemons; `-` is standard input.
fn read(log: &mut ::report::Log, path: &Path) -> eyre::Result<()> {
    if path.as_os_str() == "-" {
        log.read(std::io::stdin().lock())?;
    } else {
        log.read(BufReader::new(fs::File::open(path)?))?;
    }
    Ok(())
}

/// Reads the logs, prints the report and draws it.
pub(crate) fn run(logs: &[PathBuf], image: Option<&Path>, json: bool) -> eyre::Result<ExitCode> {
    let mut log = ::report::Log::default();
    for path in logs {
        read(&mut log, path).wrap_err_with(|| format!("cannot read `{}`", path.display()))?;
    }
    let report = ::report::Report::new(log);
    if let Some(image) = image {
        fs::write(image, ::report::svg(&report)?)
            .wrap_err_with(|| format!("cannot write `{}`", image.display()))?;
    }
    if json {
        println!("{}", report.json());
    } else {
        print!("{}", ::report::text(&report));
    }
    Ok(ExitCode::SUCCESS)
}
