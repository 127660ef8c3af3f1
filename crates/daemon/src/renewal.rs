//! Watches the key files, and takes new keys into use without a restart.

use {super::*, std::time::SystemTime};

/// Between two looks at the key files.
const PERIOD: Duration = Duration::from_secs(2);

pub(crate) fn load(keys: &settings::Keys) -> wire::Result<wire::Identity> {
    wire::Identity::load(&keys.authority, &keys.certificate, &keys.key)
}

pub(crate) fn start(keys: settings::Keys, transport: Arc<wire::Transport>) {
    thread::spawn(move || {
        let mut used = modified(&keys);
        loop {
            thread::sleep(PERIOD);
            let present = modified(&keys);
            if present == used {
                continue;
            }
            match load(&keys).and_then(|identity| transport.renew(&identity)) {
                Ok(()) => {
                    used = present;
                    log::info!("new keys are in use");
                }
                Err(error) => {
                    let error = eyre::Report::from(error);
                    log::error!("new keys cannot be used, the former stay: {error:#}");
                }
            }
        }
    });
}

/// When the key files were last written.
fn modified(keys: &settings::Keys) -> Vec<Option<SystemTime>> {
    let files = [&keys.authority, &keys.certificate, &keys.key];
    files.map(|path| fs::metadata(path).and_then(|file| file.modified()).ok()).into()
}
