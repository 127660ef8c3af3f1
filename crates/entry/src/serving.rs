//! Handles calls on the leader, and applies committed commands.

use super::*;

/// What a caller's request is about.
struct Target {
    queue: Name,
    /// The job, if the path names one.
    job: Option<job::JobId>,
    /// Organisation of the caller.
    organisation: Option<Name>,
}

impl State {
    /// Serves the call `ticket` if this daemon leads, or forwards it to the leader.
    pub(crate) fn serve_or_forward(
        &mut self,
        now: Time,
        unix: job::UnixMs,
        ticket: CallTicket,
        effects: &mut Vec<Effect>,
    ) {
        if self.can_serve(now) {
            if let Some(pending) = self.pending_calls.take(ticket) {
                self.serve(now, unix, ReplyTo::Client(ticket), pending.call, effects);
            }
            return;
        }
        let leads = self.quorum.as_ref().is_some_and(|quorum| quorum.is_leader());
        if !leads && self.pending_calls.get(ticket).is_some() {
            effects.extend(self.pending_calls.send(now, &self.id, ticket));
        }
    }

    /// Answers a call, or proposes the command that carries it out and answers after its commit.
    pub(crate) fn serve(
        &mut self,
        now: Time,
        unix: job::UnixMs,
        reply_to: ReplyTo,
        call: Call,
        effects: &mut Vec<Effect>,
    ) {
        let not_run = Answer::NotRun { retry: PendingCalls::RETRY_AFTER };
        let submits = matches!(call, Call::Submit { .. });
        let caller = match &call {
            Call::Submit { path, key, .. }
            | Call::Show { path, key, .. }
            | Call::Cancel { path, key, .. } => Some((path.clone(), *key)),
            _ => None,
        };
        let answer = match call {
            Call::Submit { host, path, spec, key } => {
                match self.submission(now, unix, &host, &path, spec, key) {
                    Ok(command) => {
                        return self.propose(now, unix, command, Some(reply_to), effects);
                    }
                    Err(answer) => answer,
                }
            }
            Call::Show { host, path, key } => match self.find_job(&host, &path, key) {
                Err(answer) => answer,
                Ok(Target { queue, job: None, .. }) => {
                    Answer::Pending(self.pending_counts.get(now, &self.table, &queue))
                }
                Ok(Target { queue, job: Some(id), organisation }) => {
                    let job = self.visible_job(&queue, id, organisation.as_ref());
                    job.map_or(Answer::NoJob, |record| Answer::Job(record.state))
                }
            },
            Call::Cancel { host, path, key } => match self.find_job(&host, &path, key) {
                Err(answer) => answer,
                Ok(Target { queue, job, organisation }) => {
                    let organisation = organisation.as_ref();
                    match job.filter(|id| self.visible_job(&queue, *id, organisation).is_some()) {
                        None => Answer::NoJob,
                        Some(id) => {
                            let command = Command::Cancel { id, at: unix };
                            return self.propose(now, unix, command, Some(reply_to), effects);
                        }
                    }
                }
            },
            Call::Announce(announcement) if is_from_future(unix, &announcement.incarnation) => {
                let why = "it starts after the clock of this daemon by far";
                let about = announcement.incarnation.to_string();
                effects.push(log::line("announcement-refused", about, why));
                Answer::Invalid(why.into())
            }
            Call::Announce(announcement) => {
                if self.scheduler.record_news(now, &announcement) {
                    self.broadcast_announcement(&announcement, effects);
                }
                self.step_scheduler(now, unix, job::Event::Announced(announcement), effects);
                Answer::Done
            }
            Call::Leave { name, born } => {
                if let Some(announcement) = self.scheduler.departure_announcement(&name, born) {
                    self.broadcast_announcement(&announcement, effects);
                    self.step_scheduler(now, unix, job::Event::Announced(announcement), effects);
                }
                Answer::Done
            }
            Call::Configure(config) if self.has_version(config.version) => Answer::Done,
            Call::Configure(config) => {
                return self.propose_config(now, unix, reply_to, *config, effects);
            }
            Call::Publish(document) if self.has_version(document.version) => Answer::Done,
            Call::Publish(document) => match (self.read_config)(&document.text) {
                Ok(config) => return self.propose_config(now, unix, reply_to, config, effects),
                Err(error) => Answer::Invalid(error),
            },
            Call::ConfigSince(version)
                if matches!(reply_to, ReplyTo::Peer(..)) && self.version() == Some(version) =>
            {
                Answer::Current
            }
            Call::Config | Call::ConfigSince(_) => match &self.table.config {
                Some(config) => Answer::Config(config.text.clone()),
                None => not_run,
            },
            Call::StartWave { id, machines, duration, budget } => {
                let due = |machine| (machine, job::Progress::Due);
                let machines = machines.into_iter().map(due).collect();
                let wave = job::Wave { machines, requested_at: unix, duration, budget };
                let command = Command::StartWave { id, wave };
                return self.propose(now, unix, command, Some(reply_to), effects);
            }
            Call::Wave(id) => match self.table.waves.get(&id) {
                Some(wave) => Answer::Wave { complete: wave.is_complete() },
                None => Answer::NoWave,
            },
        };
        let is_refused = (submits && answer != Answer::Done) || answer == Answer::Unauthorized;
        if let Some((path, key)) = caller.filter(|_| is_refused) {
            self.record_refusal(submits, &path, key, &answer, effects);
        }
        self.answer(reply_to, answer, effects);
    }

    /// Whether the current configuration is of this version or of a later one.
    fn has_version(&self, version: u64) -> bool {
        self.version().is_some_and(|current| current >= version)
    }

    /// Proposes a configuration, whose text alone enters the log. One that is on its way there already
    /// is answered with it.
    fn propose_config(
        &mut self,
        now: Time,
        unix: job::UnixMs,
        reply_to: ReplyTo,
        config: job::Config,
        effects: &mut Vec<Effect>,
    ) {
        let document = job::Document::from(&config);
        let proposed = self.proposed_config.as_ref();
        let proposed = proposed.filter(|(_, proposed)| job::Document::from(proposed) == document);
        if let Some((index, _)) = proposed {
            return self.commits.entry(*index).or_default().push(reply_to);
        }
        let Some(quorum) = &self.quorum else { return };
        self.proposed_config = Some((quorum.last_index() + 1, config));
        self.propose(now, unix, Command::Publish(document), Some(reply_to), effects);
    }

    /// Reads the configuration that a committed command holds as text.
    fn read(&mut self, command: Command) -> Command {
        let Command::Publish(document) = command else { return command };
        if self.has_version(document.version) {
            return Command::Publish(document);
        }
        let is_read =
            |(_, config): &mut (Index, job::Config)| job::Document::from(&*config) == document;
        let proposed = self.proposed_config.take_if(is_read).map(|(_, config)| config);
        let config = proposed.map_or_else(|| (self.read_config)(&document.text), Ok);
        Command::Configure(config.expect("the leader has read what it proposed"))
    }

    /// Version of the current configuration.
    pub(crate) fn version(&self) -> Option<u64> {
        self.table.config.as_ref().map(|config| config.version)
    }

    /// The command that accepts a job, or the answer if there is nothing to accept.
    fn submission(
        &mut self,
        now: Time,
        unix: job::UnixMs,
        host: &str,
        path: &str,
        spec: Result<job::Spec, String>,
        key: Option<job::KeyDigest>,
    ) -> Result<Command, Answer> {
        let invalid_id =
            || Answer::Invalid("path does not end with 16 hexadecimal digits in lower case".into());
        let target = self.find_job(host, path, key);
        let Target { queue, job, organisation } =
            target.map_err(|answer| if answer == Answer::NoJob { invalid_id() } else { answer })?;
        let spec = spec.map_err(Answer::Invalid)?;
        let id = job.ok_or_else(invalid_id)?;
        if let Some(record) = self.table.jobs.get(&id) {
            let is_resent = record.is_resent_by(&queue, &spec, organisation.as_ref());
            return Err(if is_resent { Answer::Done } else { Answer::Conflict });
        }
        match self.refusal(now, unix, &queue, organisation.as_ref(), &spec) {
            Some(refusal) => Err(refusal),
            None => Ok(Command::Submit { id, queue, spec, organisation, at: unix }),
        }
    }

    /// Finds the queue, and the job if the path names one, for a request address.
    fn find_job(
        &self,
        host: &str,
        path: &str,
        key: Option<job::KeyDigest>,
    ) -> Result<Target, Answer> {
        let config = self.table.config.as_ref();
        let config = config.ok_or(Answer::NotRun { retry: PendingCalls::RETRY_AFTER })?;
        let (queue, rest) = config.route(host, path).ok_or(Answer::NoQueue)?;
        let organisation = self.authorize(queue, key)?;
        let queue = queue.name.clone();
        if rest.is_empty() {
            return Ok(Target { queue, job: None, organisation });
        }
        let job = Some(parse_id(rest).ok_or(Answer::NoJob)?);
        Ok(Target { queue, job, organisation })
    }

    /// Sends an announcement of an instance to the other members, since each may lead later.
    fn broadcast_announcement(&self, announcement: &job::Announcement, effects: &mut Vec<Effect>) {
        self.broadcast(&Message::Announced(announcement.clone()), effects);
    }

    /// Sends an answer to the client, or to the daemon that forwarded the call.
    pub(crate) fn answer(&self, reply_to: ReplyTo, answer: Answer, effects: &mut Vec<Effect>) {
        effects.push(match reply_to {
            ReplyTo::Client(ticket) => Effect::Answer { ticket, answer },
            ReplyTo::Peer(to, ticket) => {
                Effect::Send { to, message: Message::Answer { ticket, answer } }
            }
        });
    }

    /// Proposes a command. `reply_to` gets the answer once it is committed.
    pub(crate) fn propose(
        &mut self,
        now: Time,
        unix: job::UnixMs,
        command: Command,
        reply_to: Option<ReplyTo>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(quorum) = &self.quorum else { return };
        let index = quorum.last_index() + 1;
        if let Some(reply_to) = reply_to {
            self.commits.entry(index).or_default().push(reply_to);
        }
        if let Command::Submit { spec, .. } = &command {
            self.budget.propose(index, spec);
        }
        match postcard::to_stdvec(&command) {
            Ok(command) => self.step_quorum(now, unix, quorum::Event::Propose(command), effects),
            Err(error) => {
                effects.push(log::line("command-lost", String::new(), &error.to_string()));
            }
        }
    }

    /// Applies a committed log entry.
    pub(crate) fn apply(
        &mut self,
        now: Time,
        unix: job::UnixMs,
        index: Index,
        entry: quorum::Entry,
        effects: &mut Vec<Effect>,
    ) {
        if entry.command.is_empty() {
            return;
        }
        let command = postcard::from_bytes::<Command>(&entry.command);
        let command = command.expect("committed entries decode: the leader encoded them");
        match &command {
            Command::CommitBatch { batch, .. } => self.scheduler.record_batch(now, batch),
            Command::TakeOver(leader) => {
                self.scheduler.record_takeover(now, &self.table.leaders, leader);
            }
            _ => {}
        }
        self.budget.apply(index);
        let command = self.read(command);
        let outcomes = self.table.apply(command);
        // An index names what this leader proposed in its own term alone.
        if self.leader_term != Some(entry.term) {
            return;
        }
        for reply_to in self.commits.remove(&index).unwrap_or_default() {
            self.answer(reply_to, answer_to(&outcomes), effects);
        }
        self.log_outcomes(unix, &outcomes, effects);
        let event = if self.batch == Some(index) {
            self.batch = None;
            job::Event::BatchCommitted(outcomes)
        } else {
            job::Event::CommandCommitted(outcomes)
        };
        self.step_scheduler(now, unix, event, effects);
    }

    /// Logs what happened to jobs and to the configuration.
    fn log_outcomes(
        &mut self,
        unix: job::UnixMs,
        outcomes: &[job::Outcome],
        effects: &mut Vec<Effect>,
    ) {
        for outcome in outcomes {
            let id = match outcome {
                job::Outcome::AttemptEnded(end) => {
                    effects.push(Effect::CountAttemptEnd(end.reason));
                    continue;
                }
                job::Outcome::Configured => {
                    let why = format!("version {:?}", self.version());
                    effects.push(log::line("configured", String::new(), &why));
                    continue;
                }
                job::Outcome::Conflict(id) => {
                    let why = format!("{:?}, configuration {:?}", Answer::Conflict, self.version());
                    effects.push(log::line("job-refused", format!("{id:016x}"), &why));
                    continue;
                }
                job::Outcome::Accepted(id) | job::Outcome::JobEnded(id) => id,
                _ => continue,
            };
            let Some(record) = self.table.jobs.get(id) else { continue };
            let took = Duration::from_millis(unix.saturating_sub(record.accepted_at));
            let what = if record.ended_at.is_some() { "job-over" } else { "job-accepted" };
            let config = self.table.config.as_ref();
            let objective = config.and_then(|config| config.queue(&record.queue));
            let objective = objective.map_or(Duration::ZERO, |q| q.objective(record.critical_path));
            let mut why = format!(
                "{} in {}, {} ms after submission, objective {} ms",
                record.state,
                record.queue,
                took.as_millis(),
                objective.as_millis()
            );
            if let Some(name) = &record.organisation {
                why.push_str(&format!(", organisation `{name}`"));
            }
            if record.surplus {
                why.push_str(", surplus");
            }
            effects.push(log::line(what, format!("{id:016x}"), &why));
            if record.ended_at.is_some() {
                let (queue, end) = (record.queue.clone(), record.state);
                effects.push(Effect::CountJobEnd { queue, end, took });
            }
            let event = match record.state {
                job::JobState::Completed if took <= objective => {
                    OrganisationEvent::Ended("in-time")
                }
                job::JobState::Completed => OrganisationEvent::Ended("late"),
                job::JobState::Failed => OrganisationEvent::Ended("failed"),
                job::JobState::Cancelled => OrganisationEvent::Ended("cancelled"),
                _ if record.surplus => OrganisationEvent::AcceptedSurplus,
                _ => OrganisationEvent::Accepted,
            };
            let organisation = record.organisation.clone();
            self.count_organisation(organisation.as_ref(), event, effects);
        }
    }

    /// Passes an event to the scheduler and translates its effects. Calls to instances and to the
    /// platform are sent only while this daemon can serve; otherwise they are reported as not sent.
    pub(crate) fn step_scheduler(
        &mut self,
        now: Time,
        unix: job::UnixMs,
        event: job::Event,
        effects: &mut Vec<Effect>,
    ) {
        let epoch = self.leader_term.unwrap_or_default();
        let can_serve = self.can_serve(now);
        for effect in self.scheduler.reduce(now, unix, &self.table, event) {
            match effect {
                job::Effect::Propose(batch) => {
                    let command = Command::CommitBatch { at: unix, batch };
                    self.batch = self.quorum.as_ref().map(|quorum| quorum.last_index() + 1);
                    self.propose(now, unix, command, None, effects);
                }
                job::Effect::CallInstance { id, incarnation, token, address, order, timeout }
                    if can_serve =>
                {
                    let call = InstanceCall { id, incarnation, address, order, token, timeout };
                    effects.push(self.route_order(now, call));
                }
                job::Effect::CallPlatform { id, order } if can_serve => {
                    effects.push(Effect::CallPlatform { id, order, epoch });
                }
                job::Effect::QueryAdmission { id, query } => {
                    effects.push(match self.query_router.choose(now, id, query.timeout) {
                        Some(to) => {
                            let id = id.wrapping_add(self.boot);
                            Effect::Send { to, message: Message::AdmissionQuery { id, query } }
                        }
                        None => Effect::QueryAdmission { id, query, leader: None },
                    });
                }
                job::Effect::CallInstance { id, .. } => {
                    effects.push(Effect::InstanceCallNotSent { id })
                }
                job::Effect::CallPlatform { id, .. } => {
                    effects.push(Effect::PlatformCallNotSent { id })
                }
                job::Effect::Note(note) => effects.push(Effect::Note(note)),
            }
        }
    }
}

/// Difference between the clocks of an instance and of a daemon above which an announcement is not
/// believed.
const MAX_CLOCK_ERROR: Duration = Duration::from_secs(24 * 3600);

/// Whether an incarnation claims to start so far in the future that no wrong clock explains it.
fn is_from_future(unix: job::UnixMs, incarnation: &job::Incarnation) -> bool {
    Duration::from_millis(incarnation.born.saturating_sub(unix)) > MAX_CLOCK_ERROR
}

/// Number of hexadecimal digits of a job id in a path.
const ID_DIGITS: usize = 16;

/// Parses the id of a job. Only lower case is accepted, since tasks are named by the id as it is
/// printed, and two spellings must not mean one job.
fn parse_id(text: &str) -> Option<job::JobId> {
    let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    let digits = Some(text).filter(|text| text.len() == ID_DIGITS && text.bytes().all(is_digit));
    job::JobId::from_str_radix(digits?, 16).ok()
}

/// Answer for the client that sent a command with these outcomes.
fn answer_to(outcomes: &[job::Outcome]) -> Answer {
    match outcomes.first() {
        Some(job::Outcome::UnknownJob(_)) => Answer::NoJob,
        Some(job::Outcome::Conflict(_)) => Answer::Conflict,
        _ => Answer::Done,
    }
}
