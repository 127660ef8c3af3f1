use {super::*, std::process::ExitCode};

/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Runs the daemon until it is stopped.
pub fn run() -> ExitCode {
    let arguments = Arguments::parse();
    if let Some(arguments::Action::Replay { file }) = &arguments.action {
        return finish(replay::run(file).map(|events| println!("{events} events, same effects")));
    }
    let path = arguments.settings.as_deref().expect("the settings file is required");
    let settings = match read_settings(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error:#}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if arguments.check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    finish(serve(settings, arguments.record.as_deref()))
}

fn finish(result: eyre::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(path: &Path) -> eyre::Result<settings::Daemon> {
    let text = fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read settings `{}`", path.display()))?;
    Ok(settings::Daemon::parse(&path.display().to_string(), &text)?)
}

fn serve(settings: settings::Daemon, record: Option<&Path>) -> eyre::Result<()> {
    logging::start()?;
    file_limit::raise();
    let (store, restored) = open_store(&settings)?;
    let identity = key_reload::load(&settings.keys)?;
    let clock = Clock::start();
    let boot = boot_number();
    let (events, inbox) = unbounded();
    let transport = Arc::new(start_transport(&settings, boot, &identity, events.clone())?);
    let disk = DiskWriter::start(store, transport.clone(), events.clone());
    let initial_state = InitialState {
        id: settings.id.clone(),
        boot,
        members: members(&settings),
        restored,
        stop_grace: settings.stop_grace,
        stop_limit: settings.stop_limit,
    };
    let recording = record.map(|path| Recording::create(path, &initial_state)).transpose()?;
    let state = initial_state.into_state();
    let callers = Callers::start(&settings, boot, clock, events.clone())?;
    let operators = operators::start(
        settings.listen.operators,
        tokens(&settings)?,
        events.clone(),
        callers.metrics_source(),
    )?;
    let upstreams = upstreams::start(settings.listen.upstreams, events.clone())?;
    key_reload::start(settings.keys.clone(), transport.clone());
    let platform = platform::start(settings.platform, events.clone());
    signals::start(events.clone(), callers.in_flight_ids())?;
    log::info!(daemon = &*settings.id; "started");
    Engine {
        state,
        recording,
        clock,
        inbox,
        transport,
        disk,
        callers,
        operators,
        platform,
        upstreams,
    }
    .run();
    log::info!(daemon = &*settings.id; "stopped");
    Ok(())
}

fn open_store(
    settings: &settings::Daemon,
) -> eyre::Result<(Option<store::Store>, quorum::PersistentState)> {
    match (&settings.data, settings.role()) {
        (Some(folder), settings::Role::Voter) => {
            let (store, restored) = store::Store::open(folder, &settings.id, boot_number())?;
            Ok((Some(store), restored))
        }
        _ => Ok((None, quorum::PersistentState::default())),
    }
}

fn start_transport(
    settings: &settings::Daemon,
    boot: u64,
    identity: &wire::Identity,
    events: Sender<Event>,
) -> eyre::Result<wire::Transport> {
    let (frames, inbox) = unbounded();
    let own = &settings.peers[&settings.id];
    let peers = settings.peers.iter().filter(|(name, _)| **name != settings.id);
    let peers = peers.map(|(name, peer)| (name.clone(), peer.address)).collect();
    let transport =
        wire::Transport::start(settings.id.clone(), boot, own.address, identity, peers, frames)?;
    thread::spawn(move || forward_frames(inbox, events));
    Ok(transport)
}

/// Decodes the frames of peers, and passes them on as events.
fn forward_frames(frames: Receiver<wire::Frame>, events: Sender<Event>) {
    for frame in frames {
        match wire::Codec::decode(&frame.body) {
            Ok(message) => {
                if events.send(Event::Peer { from: frame.from, message }).is_err() {
                    return;
                }
            }
            Err(error) => log::warn!(peer = &*frame.from; "message dropped: {error}"),
        }
    }
}

fn tokens(settings: &settings::Daemon) -> eyre::Result<Tokens> {
    let file = settings.operators.as_ref().map(|operators| Tokens::load(&operators.tokens));
    Ok(file.transpose()?.unwrap_or_default())
}

fn members(settings: &settings::Daemon) -> BTreeMap<Name, quorum::Role> {
    let role = |peer: &settings::Peer| match peer.role {
        settings::Role::Voter => quorum::Role::Voter,
        settings::Role::Observer => quorum::Role::Observer,
    };
    settings.peers.iter().map(|(name, peer)| (name.clone(), role(peer))).collect()
}

/// A random number that identifies this start of the process.
fn boot_number() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}
