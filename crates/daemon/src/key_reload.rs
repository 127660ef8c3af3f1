//! Watches the key files, and switches to new keys without a restart.

use {super::*, std::time::SystemTime};

/// Interval between checks of the key files.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

pub(crate) fn load(keys: &settings::Keys) -> wire::Result<wire::Identity> {
    wire::Identity::load(&keys.authority, &keys.certificate, &keys.key)
}

/// Starts the thread that checks the key files.
pub(crate) fn start(keys: settings::Keys, transport: Arc<wire::Transport>) {
    thread::spawn(move || {
        let mut current = modification_times(&keys);
        loop {
            thread::sleep(POLL_INTERVAL);
            let found = modification_times(&keys);
            if found == current {
                continue;
            }
            match load(&keys).and_then(|identity| transport.renew(&identity)) {
                Ok(()) => {
                    current = found;
                    log::info!("new keys are in use");
                }
                Err(error) => {
                    let error = eyre::Report::from(error);
                    log::error!("cannot use the new keys; keeping the previous ones: {error:#}");
                }
            }
        }
    });
}

/// Modification times of the key files; `None` for files that cannot be accessed.
fn modification_times(keys: &settings::Keys) -> Vec<Option<SystemTime>> {
    let files = [&keys.authority, &keys.certificate, &keys.key];
    files.map(|path| fs::metadata(path).and_then(|file| file.modified()).ok()).into()
}
