use {
    super::*,
    http::{Endpoint, ServerState},
    http_client::HttpClient,
    log::Log,
    tokio::task::spawn_local,
    wire::{Class, Expired},
};

/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// How long the load balancer takes to redirect callers, with two checks a second apart.
const BALANCER_DELAY: Duration = Duration::from_millis(2600);

/// Minimum time for which a stopping daemon drains.
const MIN_DRAINING: Duration = Duration::from_millis(100);

/// Grace period of the platform, unless the settings name another.
const DEFAULT_STOP_GRACE: Duration = Duration::from_secs(6);

/// Timeout of a request to the platform about machines.
const MACHINE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum size of an urgent frame, in bytes.
const MAX_URGENT_FRAME_BYTES: usize = 64 * 1024;

/// Environment variable with the path of the settings file, used if no argument is given.
const SETTINGS_VARIABLE: &str = "SARDINEVALVE_CONFIG";

/// Environment variable with the memory of the process, used if no argument is given.
const MEMORY_VARIABLE: &str = "SARDINEVALVE_MEMORY_MB";

/// Fleet capacity and maintenance manager: the daemon of one entry instance.
#[derive(Debug, Parser)]
#[command(name = "sardinevalve-entry", version)]
struct Arguments {
    /// Settings file of this daemon
    #[arg(env = SETTINGS_VARIABLE)]
    settings: PathBuf,
    /// Check the settings and exit
    #[arg(long)]
    check: bool,
    /// Take calls only, beside a voter of the same instance: no data folder, next port for peers
    #[arg(long)]
    gateway: bool,
    /// Memory above which the platform ends this process, in megabytes
    #[arg(long, env = MEMORY_VARIABLE, default_value_t = Budget::DEFAULT_MEMORY_MB)]
    memory_mb: u32,
}

/// Runs the daemon until it is asked to stop.
pub fn run() -> ExitCode {
    let arguments = Arguments::parse();
    let settings = match read(&arguments) {
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
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = runtime.map_err(eyre::Report::from).and_then(|runtime| {
        let tasks = tokio::task::LocalSet::new();
        tasks.block_on(&runtime, serve(settings, arguments))
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn read(arguments: &Arguments) -> eyre::Result<settings::EntryDaemon> {
    let path = &arguments.settings;
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read settings `{}`", path.display()))?;
    Ok(settings::EntryDaemon::parse(&path.display().to_string(), &text)?)
}

async fn serve(settings: settings::EntryDaemon, arguments: Arguments) -> eyre::Result<()> {
    let gateway = arguments.gateway;
    let boot: u64 = rand::random();
    let clock = Clock::start();
    let peers = with_gateway_port(settings.peers, gateway);
    let id: Name = peers.to_string().into();
    let seeds = peer_addresses(&settings);
    let defaults = job::Bounds::default();
    let set = |bound: Duration, default| if bound.is_zero() { default } else { bound };
    let bounds = job::Bounds {
        max_lease: set(settings.bounds.max_lease, defaults.max_lease),
        order_turn: set(settings.bounds.order_turn, defaults.order_turn),
        parking_idle_time: set(settings.bounds.parking_idle_time, defaults.parking_idle_time),
        machine_orders_per_second: match settings.bounds.machine_orders_per_second {
            0 => defaults.machine_orders_per_second,
            rate => rate,
        },
    };
    let stop_limits = stop::Limits {
        serving: BALANCER_DELAY,
        draining: MIN_DRAINING,
        grace: Some(set(settings.bounds.stop_grace, DEFAULT_STOP_GRACE)),
    };
    let identity = Identity { id, boot, data_center: settings.data_center.clone() };
    let scheduler = Scheduler::new(bounds).with_mechanisms(settings.mechanisms.clone());
    let mut state = State::new(identity, seeds, settings.founding, scheduler, stop_limits);
    state.budget = Budget::new(arguments.memory_mb);
    let (frames, inbox) = mpsc::unbounded_channel();
    let mesh = wire::Mesh::start(peers, frames)?;
    let (calls, calls_in) = mpsc::unbounded_channel();
    let (refused, refusals) = mpsc::unbounded_channel();
    let metrics = Rc::new(Metrics::new());
    let server = Rc::new(ServerState {
        calls,
        refused,
        metrics: metrics.clone(),
        ready: Cell::new(false),
        stopping: Cell::new(false),
        drain: watch::Sender::new(false),
        unanswered: Cell::new(0),
    });
    let addresses = [
        (settings.callers, Endpoint::Callers),
        (settings.control, Endpoint::Control),
        (settings.ready, Endpoint::Balancer),
        (settings.metrics.map(|address| with_gateway_port(address, gateway)), Endpoint::Scraper),
    ];
    for (address, endpoint) in addresses {
        if let Some(address) = address {
            http::serve(address, endpoint, server.clone()).await?;
        }
    }
    let (synced, durable) = mpsc::unbounded_channel();
    let (events, pending) = mpsc::unbounded_channel();
    let mut event_loop = EventLoop {
        state,
        clock,
        mesh,
        data: settings.data.clone().filter(|_| !gateway),
        disk: None,
        disks_opened: 0,
        synced,
        server,
        log: Log::new(&settings.id),
        metrics: metrics.clone(),
        timers: ::timer::Queue::default(),
        http_client: Rc::default(),
        admission: settings.admission.map(|address| address.to_string().into()),
        machines: settings.machines.map(|address| address.to_string().into()),
        holder: settings.id.clone(),
        settings_file: SettingsFile::new(arguments, settings.clone()),
        account: Account::default(),
        inbox: Inbox::default(),
        outbox: Outbox::default(),
        events,
        tickets: Tickets::new(boot),
        entries_left_out: 0,
    };
    event_loop.note("started", &settings.id, &format!("boot {boot:x}"));
    event_loop.run(inbox, calls_in, refusals, durable, pending).await?;
    event_loop.note_stopped();
    event_loop.log.close();
    Ok(())
}

/// Address of a daemon where a voter and a gateway on the same instance share the configured port:
/// the gateway uses the next port.
fn with_gateway_port(mut address: SocketAddr, gateway: bool) -> SocketAddr {
    address.set_port(address.port() + u16::from(gateway));
    address
}

/// Peer addresses of the seeds. The settings name their control addresses; all instances use the
/// same ports.
fn peer_addresses(settings: &settings::EntryDaemon) -> Vec<Name> {
    let peer =
        |seed: &SocketAddr| SocketAddr::new(seed.ip(), settings.peers.port()).to_string().into();
    settings.seeds.iter().map(peer).collect()
}

/// The settings in use, and the file that they were read from.
struct SettingsFile {
    arguments: Arguments,
    current: settings::EntryDaemon,
    /// When the file is read again, in case it has changed without a signal.
    next_check: Time,
}

impl SettingsFile {
    const CHECK_INTERVAL: Duration = Duration::from_secs(2);

    fn new(arguments: Arguments, current: settings::EntryDaemon) -> Self {
        Self { arguments, current, next_check: Self::CHECK_INTERVAL }
    }

    /// Reads the file again; `None` if its settings are those in use.
    fn reload(&mut self, now: Time) -> eyre::Result<Option<&settings::EntryDaemon>> {
        self.next_check = now + Self::CHECK_INTERVAL;
        let settings = read(&self.arguments)?;
        if settings == self.current {
            return Ok(None);
        }
        self.current = settings;
        Ok(Some(&self.current))
    }
}

/// The main loop, which passes events to [`State`] and carries out its effects.
struct EventLoop {
    state: State,
    clock: Clock,
    mesh: Rc<wire::Mesh>,
    /// Data folder; `None` for a daemon without a disk.
    data: Option<PathBuf>,
    disk: Option<disk::Disk>,
    /// Number of disks opened so far.
    disks_opened: u64,
    synced: mpsc::UnboundedSender<disk::Synced>,
    server: Rc<ServerState>,
    log: Log,
    metrics: Rc<Metrics>,
    timers: ::timer::Queue<Timer>,
    http_client: Rc<HttpClient>,
    /// Address of the platform's admission service.
    admission: Option<Name>,
    /// Address of the platform's machine service.
    machines: Option<Name>,
    /// Name under which the platform knows this daemon as the sender of machine orders.
    holder: Name,
    settings_file: SettingsFile,
    account: Account,
    inbox: Inbox,
    outbox: Outbox,
    events: mpsc::UnboundedSender<Event>,
    /// Where to send the answers to open calls.
    tickets: Tickets,
    /// Entries of lists that were left out up to the last report.
    entries_left_out: u64,
}

/// A call, its timeout, and where to send the answer.
type IncomingCall = (Call, Duration, oneshot::Sender<Answer>);

impl EventLoop {
    /// Maximum time to wait for an event.
    const MAX_WAIT: Duration = Duration::from_millis(500);
    /// Events handled before timers, the disk and arriving messages get their turn.
    const EVENTS_PER_ROUND: usize = 32;

    async fn run(
        &mut self,
        mut frames: mpsc::UnboundedReceiver<(SocketAddr, Vec<u8>)>,
        mut calls_in: mpsc::UnboundedReceiver<IncomingCall>,
        mut refusals: mpsc::UnboundedReceiver<(String, Answer)>,
        mut durable: mpsc::UnboundedReceiver<disk::Synced>,
        mut pending: mpsc::UnboundedReceiver<Event>,
    ) -> eyre::Result<()> {
        use tokio::signal::unix::{SignalKind, signal};
        let mut terminate = signal(SignalKind::terminate())?;
        let mut reload = signal(SignalKind::hangup())?;
        if self.data.is_some() {
            self.open_disk();
        }
        self.step(Event::Start);
        loop {
            let now = self.clock.now();
            let unanswered = self.server.unanswered.get();
            if self.state.stop.is_some_and(|stop| stop.may_end(now, unanswered)) {
                return Ok(());
            }
            if self.inbox.is_empty() {
                let due = self.timers.next_due().into_iter().chain(self.outbox.next_due()).min();
                let due = due.map(|at| at.saturating_sub(now));
                let wait = due.unwrap_or(Self::MAX_WAIT).min(Self::MAX_WAIT);
                tokio::select! {
                    biased;
                    _ = terminate.recv() => self.stop(),
                    _ = reload.recv() => self.reload_settings(),
                    Some(result) = durable.recv() => self.on_synced(result),
                    Some((from, body)) = frames.recv() => self.on_frame(from, &body),
                    Some(event) = pending.recv() => self.push(event),
                    Some(call) = calls_in.recv() => self.on_call(call),
                    Some((call, answer)) = refusals.recv() => {
                        self.note("request-refused", &call, &format!("{answer:?}"));
                    }
                    () = tokio::time::sleep(wait) => {}
                }
            } else {
                tokio::select! {
                    biased;
                    _ = terminate.recv() => self.stop(),
                    _ = reload.recv() => self.reload_settings(),
                    () = tokio::task::yield_now() => {}
                }
            }
            self.account.begin(self.clock.now());
            while let Ok(result) = durable.try_recv() {
                self.on_synced(result);
            }
            while let Ok((from, body)) = frames.try_recv() {
                self.on_frame(from, &body);
            }
            while let Ok(event) = pending.try_recv() {
                self.push(event);
            }
            while let Ok(call) = calls_in.try_recv() {
                self.on_call(call);
            }
            self.outbox.set_order_hold(self.state.order_hold());
            for _ in 0..Self::EVENTS_PER_ROUND {
                let now = self.clock.now();
                let lag = self.inbox.lag(now);
                let Some((waited, event)) = self.inbox.pop(now) else { break };
                self.state.overload.record(waited, lag);
                self.account.record_wait(Activity::from(&event), waited);
                self.step(event);
            }
            while let Some(timer) = self.timers.pop(self.clock.now()) {
                self.step(Event::Timer(timer));
            }
            if self.clock.now() >= self.settings_file.next_check {
                self.reload_settings();
            }
            if let Some(disk) = &mut self.disk {
                disk.flush();
            }
            self.send_due();
            if self.account.report_is_due(self.clock.now()) {
                self.report_time(if self.state.leads() {
                    "processor-time"
                } else {
                    "standby-time"
                });
            }
            self.log.flush();
        }
    }

    /// Starts the stop of the process.
    fn stop(&mut self) {
        self.server.stopping.set(true);
        self.step(Event::Stop);
    }

    /// Logs the end of the process.
    fn note_stopped(&mut self) {
        let asked_at = self.state.stop.map_or(Time::ZERO, |stop| stop.asked_at);
        let age = self.clock.now().saturating_sub(asked_at).as_millis();
        let unanswered = self.server.unanswered.get();
        let why = format!("asked to stop {age} ms ago, {unanswered} requests unanswered");
        self.note("stopped", "", &why);
    }

    /// Reports where the time of this thread went since the last report.
    fn report_time(&mut self, what: &'static str) {
        let runtime = tokio::runtime::Handle::current().metrics();
        let report = self.account.report(self.clock.now(), runtime.worker_total_busy_duration(0));
        for (activity, spent) in report.parts() {
            self.metrics.count_time(activity, spent);
        }
        let left_out = platform::entries_left_out();
        if left_out > self.entries_left_out {
            let why = format!("{} since the last report", left_out - self.entries_left_out);
            self.entries_left_out = left_out;
            self.note("entries-left-out", "", &why);
        }
        if self.state.is_member() {
            self.note(what, "", &report.to_string());
        }
    }

    /// Reads the settings again and puts the seeds in force; other changes wait for the next start.
    fn reload_settings(&mut self) {
        let now = self.clock.now();
        let outcome = match self.settings_file.reload(now) {
            Ok(settings) => settings.map(peer_addresses),
            Err(error) => return self.note("settings-rejected", "", &format!("{error:#}")),
        };
        if let Some(seeds) = outcome {
            self.note("reload", "", &format!("seeds {}", seeds.join(", ")));
            self.step(Event::SeedsChanged(seeds));
        }
    }

    fn on_call(&mut self, (call, timeout, sender): IncomingCall) {
        let ticket = self.tickets.insert(sender);
        self.push(Event::Call { ticket, call, timeout });
    }

    fn on_frame(&mut self, from: SocketAddr, body: &[u8]) {
        self.account.begin(self.clock.now());
        let from: Name = from.to_string().into();
        match wire::Codec::decode::<Vec<Message>>(body) {
            Ok(messages) => {
                for message in messages {
                    self.push(Event::Peer { from: from.clone(), message });
                }
            }
            Err(error) => self.note("message-dropped", &from, &error.to_string()),
        }
        self.account.charge(self.clock.now(), Activity::Decoding);
    }

    fn push(&mut self, event: Event) {
        self.inbox.push(self.clock.now(), event);
    }

    /// Opens the data folder; if that fails, it is tried again later.
    fn open_disk(&mut self) {
        let Some(folder) = self.data.clone() else { return };
        match store::Store::open(&folder, &self.state.id, rand::random()) {
            Ok((store, restored)) => {
                self.disks_opened += 1;
                let boot = runs::number(self.state.boot, self.disks_opened);
                self.disk = Some(disk::Disk::start(store, self.disks_opened, self.synced.clone()));
                let quorum::PersistentState { disk, term, entries, .. } = &restored;
                let why = format!(
                    "disk {disk:?}, term {term}, {} entries after the snapshot",
                    entries.len()
                );
                self.note("disk-opened", &folder.display().to_string(), &why);
                self.step(Event::DiskOpened { restored: Box::new(restored), boot });
            }
            Err(error) => {
                self.note("disk-not-opened", &folder.display().to_string(), &error.to_string());
                self.step(Event::DiskLost);
            }
        }
    }

    fn on_synced(&mut self, (number, result): disk::Synced) {
        let Some(disk) = self.disk.as_mut().filter(|disk| disk.number == number) else { return };
        if let Err(error) = result {
            self.disk = None;
            self.note("disk-failed", "", &error);
            return self.step(Event::DiskLost);
        }
        let disk::Durable { messages, last } = disk.synced();
        for (to, message) in messages {
            self.outbox.push(self.clock.now(), &to, message);
        }
        if let Some((term, index)) = last {
            self.step(Event::Synced { term, index });
        }
    }

    fn step(&mut self, event: Event) {
        let now = self.clock.now();
        let mut activity = Activity::from(&event);
        let before = (self.state.leads(), self.state.scheduler.planning_passes());
        let effects = self.state.reduce(now, Clock::unix(), event);
        if before.0 != self.state.leads() {
            activity = Activity::Takeover;
        } else if before.1 != self.state.scheduler.planning_passes() {
            activity = Activity::Planning;
        }
        for effect in effects {
            if let Effect::Persist(quorum::Record::Snapshot { .. }) = effect {
                activity = Activity::Snapshots;
            }
            self.carry_out(now, effect);
        }
        self.account.charge(self.clock.now(), activity);
        if before.0 && !self.state.leads() {
            self.report_time("processor-time");
        }
    }

    fn carry_out(&mut self, now: Time, effect: Effect) {
        match effect {
            Effect::Persist(record) => {
                if let Some(disk) = &mut self.disk {
                    disk.persist(record);
                }
            }
            Effect::SendDurable { to, message } => {
                let held = match &mut self.disk {
                    Some(disk) => disk.hold(to, message),
                    None => Some((to, message)),
                };
                if let Some((to, message)) = held {
                    self.outbox.push(now, &to, message);
                }
            }
            Effect::Send { to, message } => self.outbox.push(now, &to, message),
            Effect::Subscribe { timer, after } => self.timers.schedule(timer, now + after),
            Effect::Answer { ticket, answer } => {
                if let Some(sender) = self.tickets.take(ticket) {
                    sender.send(answer).ok();
                }
            }
            Effect::CallInstance { call, origin } => {
                let InstanceCall { id, incarnation, address, order, token, timeout } = call;
                let (http_client, events) = (self.http_client.clone(), self.events.clone());
                let metrics = self.metrics.clone();
                spawn_local(async move {
                    let outgoing = platform::order_request(&order, token, &incarnation);
                    let long_poll = matches!(order, job::Order::Renew { .. });
                    let answer = http_client.call(&address, outgoing, long_poll, timeout).await;
                    let result = answer
                        .and_then(|(status, body)| platform::order_reply(&order, status, &body));
                    metrics.count_request(&order, result.is_ok());
                    events.send(Event::InstanceAnswered { id, result, origin }).ok();
                });
            }
            Effect::CallPlatform { id, order, epoch } => self.call_platform(id, order, epoch),
            Effect::QueryAdmission { id, query, leader } => {
                self.query_admission(id, &query, leader)
            }
            Effect::InstanceCallNotSent { id } => {
                let result = Err(job::CallError::Timeout);
                let event = Event::InstanceAnswered { id, result, origin: None };
                self.events.send(event).ok();
            }
            Effect::PlatformCallNotSent { id } => {
                let result = Err(job::CallError::Timeout);
                self.events.send(Event::PlatformAnswered { id, result }).ok();
            }
            Effect::Ready(ready) => {
                self.server.ready.set(ready);
                self.metrics.set_ready(ready);
                self.note(if ready { "ready" } else { "not-ready" }, "", "");
            }
            Effect::Note(note) => self.write(&note),
            Effect::CountAttemptEnd(reason) => self.metrics.count_attempt_end(reason),
            Effect::CountJobEnd { queue, end, took } => self.metrics.observe_job(&queue, end, took),
            Effect::CountOrganisation { label, event } => {
                self.metrics.count_organisation(&label, event);
            }
            Effect::ReportOrganisations(reports) => self.metrics.report_organisations(&reports),
            Effect::OpenDisk => self.open_disk(),
            Effect::Drain => {
                let why = format!("{} calls wait for an answer", self.tickets.len());
                self.note("draining", "", &why);
                self.server.drain.send_replace(true);
            }
        }
    }

    fn call_platform(&self, id: job::CallId, order: job::MachineOrder, epoch: job::Epoch) {
        let Some(address) = self.machines.clone() else { return };
        let (http_client, events) = (self.http_client.clone(), self.events.clone());
        let outgoing = platform::machine_request(&order, epoch, &self.holder);
        spawn_local(async move {
            let answer = http_client.call(&address, outgoing, false, MACHINE_TIMEOUT).await;
            let result =
                answer.and_then(|(status, body)| platform::machine_reply(&order, status, &body));
            events.send(Event::PlatformAnswered { id, result }).ok();
        });
    }

    fn query_admission(&self, id: job::CallId, query: &job::AdmissionQuery, leader: Option<Name>) {
        let events = self.events.clone();
        let Some(address) = self.admission.clone() else {
            let result = Err(job::CallError::Broken);
            events.send(Event::AdmissionAnswered { id, result, leader }).ok();
            return;
        };
        let (http_client, timeout) = (self.http_client.clone(), query.timeout);
        let outgoing = platform::admission_request(query);
        spawn_local(async move {
            let answer = http_client.call(&address, outgoing, false, timeout).await;
            let result = answer.and_then(|(status, body)| platform::admission_reply(status, &body));
            events.send(Event::AdmissionAnswered { id, result, leader }).ok();
        });
    }

    /// Sends the messages that are due; those to one daemon share a frame.
    fn send_due(&mut self) {
        for (to, messages) in self.outbox.take_due(self.clock.now()) {
            let Ok(address) = to.parse::<SocketAddr>() else { continue };
            let bulk_is_idle = self.mesh.is_idle(address, Class::Bulk);
            let matched = self.state.quorum.as_ref().map_or(0, |quorum| quorum.matched(&to));
            for (class, messages) in Outbox::split(messages, matched, bulk_is_idle) {
                if !messages.is_empty() {
                    self.send_frame(address, class, &messages);
                }
            }
            self.account.charge(self.clock.now(), Activity::Encoding);
        }
        for ((address, class), Expired { frames, bytes }) in self.mesh.take_expired() {
            self.metrics.count_dropped_frames(frames);
            let name = class.name();
            let why = format!("{frames} of {bytes} bytes waited for too long as {name}");
            self.note("frame-dropped", &address.to_string(), &why);
        }
    }

    fn send_frame(&mut self, to: SocketAddr, class: Class, messages: &[Message]) {
        match wire::Codec::encode(&messages) {
            // Messages whose size was not known before.
            Ok(body) if class == Class::Urgent && body.len() > MAX_URGENT_FRAME_BYTES => {
                match messages {
                    [_] => self.send_body(to, Class::Bulk, body),
                    _ => self.send_halves(to, class, messages),
                }
            }
            Ok(body) => self.send_body(to, class, body),
            // The frame would be too large.
            Err(_) if messages.len() > 1 => self.send_halves(to, class, messages),
            Err(error) => {
                self.metrics.count_dropped_frames(1);
                self.note("message-not-sent", &to.to_string(), &error.to_string());
            }
        }
    }

    fn send_halves(&mut self, to: SocketAddr, class: Class, messages: &[Message]) {
        let (first, second) = messages.split_at(messages.len() / 2);
        self.send_frame(to, class, first);
        self.send_frame(to, class, second);
    }

    fn send_body(&mut self, to: SocketAddr, class: Class, body: Vec<u8>) {
        let bytes = body.len();
        if !self.mesh.send(to, class, body) {
            self.metrics.count_dropped_frames(1);
            let why = format!("no room for {bytes} bytes in the queue for {}", class.name());
            self.note("frame-dropped", &to.to_string(), &why);
        }
    }

    fn note(&mut self, what: &'static str, about: &str, why: &str) {
        self.write(&Note { what, about: about.into(), why: why.into() });
    }

    fn write(&mut self, note: &Note) {
        self.metrics.count_log_entry(note.what);
        self.metrics.set_leads(self.state.leads());
        let (used, limit) = (self.state.table.footprint(), self.state.budget.limit());
        self.metrics.set_jobs_bytes(used, limit);
        self.log.write(Clock::unix(), note);
    }
}
