use {
    super::*,
    http::{Audience, Edge},
    journal::Journal,
    outbound::Outbound,
    tokio::task::spawn_local,
};

/// Exit code for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;

/// Time before the grace of a stop ends by which the process is gone.
const STOP_RESERVE: Duration = Duration::from_millis(1500);

/// How long new callers are still served after a stop was asked for, so that the balancer has time
/// to send them elsewhere.
const STOP_GRACE: Duration = Duration::from_millis(2600);

/// How long a call to the platform may take.
const MACHINE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Variable that names the settings file where no argument does.
const SETTINGS: &str = "SARDINEVALVE_CONFIG";

/// Fleet capacity and maintenance manager: the daemon of one entry instance.
#[derive(Debug, Parser)]
#[command(name = "sardinevalve-entry", version)]
struct Arguments {
    /// Settings file of this daemon
    #[arg(env = SETTINGS)]
    settings: PathBuf,
    /// Check the settings and exit
    #[arg(long)]
    check: bool,
    /// Take calls only, beside a voter of the same instance: no data folder, next port for peers
    #[arg(long)]
    gateway: bool,
}

/// Runs the daemon until it is told to stop.
pub fn run() -> ExitCode {
    let arguments = Arguments::parse();
    let settings = match read(&arguments) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error:#}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if arguments.check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = runtime.map_err(eyre::Report::from).and_then(|runtime| {
        let tasks = tokio::task::LocalSet::new();
        tasks.block_on(&runtime, serve(settings, arguments.gateway))
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

async fn serve(settings: settings::EntryDaemon, gateway: bool) -> eyre::Result<()> {
    let boot: u64 = rand::random();
    let clock = Clock::start();
    let peers = shifted(settings.peers, gateway);
    let id: Name = peers.to_string().into();
    let seeds = settings.seeds.iter().map(|seed| peer_of(*seed, &settings)).collect();
    let bounds = match settings.bounds.max_lease {
        Duration::ZERO => job::Bounds::default(),
        max_lease => job::Bounds { max_lease },
    };
    let grace = match settings.bounds.stop_grace {
        Duration::ZERO => STOP_GRACE,
        limit => STOP_GRACE.min(limit.saturating_sub(STOP_RESERVE)),
    };
    let state = State::new(id, seeds, settings.founding, Scheduler::new(bounds), grace);
    let (frames, inbox) = mpsc::unbounded_channel();
    let mesh = wire::Mesh::start(peers, frames)?;
    let (calls, asked) = mpsc::unbounded_channel();
    let metrics = Rc::new(Metrics::new());
    let edge = Rc::new(Edge {
        calls,
        metrics: metrics.clone(),
        ready: Cell::new(false),
        stopping: Cell::new(false),
        in_flight: Cell::new(0),
    });
    let addresses = [
        (settings.callers, Audience::Callers),
        (settings.control, Audience::Control),
        (settings.ready, Audience::Balancer),
        (settings.metrics.map(|address| shifted(address, gateway)), Audience::Scraper),
    ];
    for (address, audience) in addresses {
        if let Some(address) = address {
            http::serve(address, audience, edge.clone()).await?;
        }
    }
    let (synced, durable) = mpsc::unbounded_channel();
    let (events, pending) = mpsc::unbounded_channel();
    let mut engine = Engine {
        state,
        clock,
        mesh,
        data: settings.data.clone().filter(|_| !gateway),
        disk: None,
        disks: 0,
        synced,
        edge,
        journal: Journal::new(&settings.id),
        metrics: metrics.clone(),
        timers: ::timer::Queue::default(),
        outbound: Rc::default(),
        admission: settings.admission.map(|address| address.to_string().into()),
        machines: settings.machines.map(|address| address.to_string().into()),
        holder: settings.id.clone(),
        events,
        tickets: BTreeMap::new(),
        last_ticket: 0,
        stopped: false,
    };
    engine.note("started", &settings.id, &format!("boot {boot:x}"));
    engine.run(inbox, asked, durable, pending).await?;
    engine.note("stopped", &settings.id, "asked to");
    engine.journal.close();
    Ok(())
}

/// The address that a daemon uses where a voter and a gateway of one instance share its ports.
fn shifted(mut address: SocketAddr, gateway: bool) -> SocketAddr {
    address.set_port(address.port() + u16::from(gateway));
    address
}

/// Where the daemon that serves control at `seed` takes peers' traffic: ports are the same on all
/// instances.
fn peer_of(seed: SocketAddr, settings: &settings::EntryDaemon) -> Name {
    SocketAddr::new(seed.ip(), settings.peers.port()).to_string().into()
}

/// The loop that reduces events and carries out effects.
struct Engine {
    state: State,
    clock: Clock,
    mesh: Rc<wire::Mesh>,
    data: Option<PathBuf>,
    disk: Option<disk::Disk>,
    /// Disks that were opened so far.
    disks: u64,
    synced: mpsc::UnboundedSender<disk::Synced>,
    edge: Rc<Edge>,
    journal: Journal,
    metrics: Rc<Metrics>,
    timers: ::timer::Queue<Timer>,
    outbound: Rc<Outbound>,
    admission: Option<Name>,
    machines: Option<Name>,
    holder: Name,
    events: mpsc::UnboundedSender<Event>,
    tickets: BTreeMap<Ticket, oneshot::Sender<Answer>>,
    last_ticket: Ticket,
    stopped: bool,
}

type Asked = (Call, Duration, oneshot::Sender<Answer>);

impl Engine {
    /// Longest wait for an event.
    const MAX_WAIT: Duration = Duration::from_millis(500);
    /// Longest wait for the last answers to go out.
    const MAX_FINISH: Duration = Duration::from_millis(1200);

    async fn run(
        &mut self,
        mut frames: mpsc::UnboundedReceiver<(SocketAddr, Vec<u8>)>,
        mut asked: mpsc::UnboundedReceiver<Asked>,
        mut durable: mpsc::UnboundedReceiver<disk::Synced>,
        mut pending: mpsc::UnboundedReceiver<Event>,
    ) -> eyre::Result<()> {
        use tokio::signal::unix::{SignalKind, signal};
        let mut terminate = signal(SignalKind::terminate())?;
        let mut reload = signal(SignalKind::hangup())?;
        let mut stopped: Option<Time> = None;
        if self.data.is_some() {
            self.open_disk();
        }
        self.step(Event::Start);
        loop {
            let now = self.clock.now();
            if let Some(since) = stopped
                && (self.edge.in_flight.get() == 0 || now > since + Self::MAX_FINISH)
            {
                return Ok(());
            }
            if self.stopped && stopped.is_none() {
                stopped = Some(now);
                continue;
            }
            let due = self.timers.next_due().map(|at| at.saturating_sub(now));
            let wait = due.unwrap_or(Self::MAX_WAIT).min(Self::MAX_WAIT);
            tokio::select! {
                biased;
                _ = terminate.recv() => {
                    self.edge.stopping.set(true);
                    self.note("stopping", "", "told to stop");
                    self.step(Event::Stop);
                }
                _ = reload.recv() => self.note("reload", "", "settings are read at the next start"),
                Some(result) = durable.recv() => self.on_synced(result),
                Some((from, body)) = frames.recv() => self.on_frame(from, &body),
                Some(event) = pending.recv() => self.step(event),
                Some(call) = asked.recv() => self.on_call(call),
                () = tokio::time::sleep(wait) => {}
            }
            while let Some(timer) = self.timers.pop(self.clock.now()) {
                self.step(Event::Timer(timer));
            }
            if let Some(disk) = &mut self.disk {
                disk.flush();
            }
            self.journal.flush();
        }
    }

    fn on_call(&mut self, (call, patience, sender): Asked) {
        self.last_ticket += 1;
        self.tickets.insert(self.last_ticket, sender);
        self.step(Event::Call { ticket: self.last_ticket, call, patience });
    }

    fn on_frame(&mut self, from: SocketAddr, body: &[u8]) {
        let from: Name = from.to_string().into();
        match wire::Codec::decode(body) {
            Ok(message) => self.step(Event::Peer { from, message }),
            Err(error) => self.note("message-dropped", &from, &error.to_string()),
        }
    }

    /// Opens the data folder, or tries again later.
    fn open_disk(&mut self) {
        let Some(folder) = self.data.clone() else { return };
        let boot = rand::random();
        match store::Store::open(&folder, &self.state.id, boot) {
            Ok((store, restored)) => {
                self.disks += 1;
                self.disk = Some(disk::Disk::start(store, self.disks, self.synced.clone()));
                self.step(Event::DiskFound { restored: Box::new(restored), boot });
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
            self.send(&to, &message);
        }
        if let Some((term, index)) = last {
            self.step(Event::Synced { term, index });
        }
    }

    fn step(&mut self, event: Event) {
        let now = self.clock.now();
        for effect in self.state.reduce(now, Clock::unix(), event) {
            self.carry_out(now, effect);
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
                    self.send(&to, &message);
                }
            }
            Effect::Send { to, message } => self.send(&to, &message),
            Effect::Subscribe { timer, after } => self.timers.schedule(timer, now + after),
            Effect::Answer { ticket, answer } => {
                if let Some(sender) = self.tickets.remove(&ticket) {
                    sender.send(answer).ok();
                }
            }
            Effect::CallInstance { id, incarnation, address, order, epoch, timeout } => {
                let (outbound, events) = (self.outbound.clone(), self.events.clone());
                let metrics = self.metrics.clone();
                spawn_local(async move {
                    let outgoing = platform::order_request(&order, epoch, &incarnation);
                    let patient = matches!(order, job::Order::Renew { .. });
                    let answer = outbound.call(&address, outgoing, patient, timeout).await;
                    let result = answer
                        .and_then(|(status, body)| platform::order_reply(&order, status, &body));
                    metrics.ordered(&order, result.is_ok());
                    events.send(Event::InstanceAnswered { id, result }).ok();
                });
            }
            Effect::CallPlatform { id, order, epoch } => self.call_platform(id, order, epoch),
            Effect::QueryAdmission { id, query, leader } => self.ask(id, &query, leader),
            Effect::Unsent { id } => {
                let result = Err(job::CallError::Timeout);
                self.events.send(Event::InstanceAnswered { id, result }).ok();
            }
            Effect::UnsentMachine { id } => {
                let result = Err(job::CallError::Timeout);
                self.events.send(Event::PlatformAnswered { id, result }).ok();
            }
            Effect::Ready(ready) => {
                self.edge.ready.set(ready);
                self.metrics.set_ready(ready);
                self.note(if ready { "ready" } else { "not-ready" }, "", "");
            }
            Effect::Note(note) => self.write(&note),
            Effect::Ended(how) => self.metrics.ended(how),
            Effect::Finished { queue, end, took } => self.metrics.finished(&queue, end, took),
            Effect::OpenDisk => self.open_disk(),
            Effect::Stopped => self.stopped = true,
        }
    }

    fn call_platform(&self, id: job::CallId, order: job::MachineOrder, epoch: job::Epoch) {
        let Some(address) = self.machines.clone() else { return };
        let (outbound, events) = (self.outbound.clone(), self.events.clone());
        let outgoing = platform::machine_request(&order, epoch, &self.holder);
        spawn_local(async move {
            let answer = outbound.call(&address, outgoing, false, MACHINE_TIMEOUT).await;
            let result =
                answer.and_then(|(status, body)| platform::machine_reply(&order, status, &body));
            events.send(Event::PlatformAnswered { id, result }).ok();
        });
    }

    fn ask(&self, id: job::CallId, query: &job::AdmissionQuery, leader: Option<Name>) {
        let events = self.events.clone();
        let Some(address) = self.admission.clone() else {
            let result = Err(job::CallError::Broken);
            events.send(Event::AdmissionAnswered { id, result, leader }).ok();
            return;
        };
        let (outbound, timeout) = (self.outbound.clone(), query.timeout);
        let outgoing = platform::admission_request(query);
        spawn_local(async move {
            let answer = outbound.call(&address, outgoing, false, timeout).await;
            let result = answer.and_then(|(status, body)| platform::admission_reply(status, &body));
            events.send(Event::AdmissionAnswered { id, result, leader }).ok();
        });
    }

    fn send(&mut self, to: &Name, message: &Message) {
        let Ok(address) = to.parse::<SocketAddr>() else { return };
        match wire::Codec::encode(message) {
            Ok(body) => {
                if !self.mesh.send(address, body) {
                    self.metrics.dropped_frame();
                }
            }
            Err(error) => self.note("message-not-sent", to, &error.to_string()),
        }
    }

    fn note(&mut self, what: &'static str, about: &str, why: &str) {
        self.write(&Note { what, about: about.into(), why: why.into() });
    }

    fn write(&mut self, note: &Note) {
        self.metrics.decided(note.what);
        self.metrics.set_leads(self.state.leads());
        self.journal.write(Clock::unix(), note);
    }
}
