//! What the leader does about calls, and what follows from commits.

use super::*;

impl State {
    /// Answers the call `ticket` here, or passes it on to whoever leads.
    pub(crate) fn pursue(
        &mut self,
        now: Time,
        unix: job::UnixMs,
        ticket: Ticket,
        effects: &mut Vec<Effect>,
    ) {
        if self.governs(now) {
            if let Some(ask) = self.asks.take(ticket) {
                self.serve(now, unix, Origin::Own(ticket), ask.call, effects);
            }
            return;
        }
        let leads = self.quorum.as_ref().is_some_and(|quorum| quorum.is_leader());
        if !leads && self.asks.get(ticket).is_some() {
            effects.extend(self.asks.send(now, &self.id, ticket));
        }
    }

    pub(crate) fn serve(
        &mut self,
        now: Time,
        unix: job::UnixMs,
        origin: Origin,
        call: Call,
        effects: &mut Vec<Effect>,
    ) {
        let not_run = Answer::NotRun { retry: Asks::RETRY };
        let about = match &call {
            Call::Submit { path, .. } => Some(path.clone()),
            _ => None,
        };
        let answer = match call {
            Call::Submit { host, path, spec } => match (self.place(&host, &path), spec) {
                (Err(answer), _) => answer,
                (_, Err(finding)) => Answer::Invalid(finding),
                (Ok((_, None)), _) => Answer::Invalid("path names no job".into()),
                (Ok((queue, Some(id))), Ok(spec)) => {
                    if self.table.job(&queue, id).is_some() {
                        Answer::Done
                    } else {
                        let command = Command::Submit { id, queue, spec, at: unix };
                        return self.propose(now, unix, command, Some(origin), effects);
                    }
                }
            },
            Call::Show { host, path } => match self.place(&host, &path) {
                Err(answer) => answer,
                Ok((queue, None)) => Answer::Pending(self.table.pending(&queue) as u64),
                Ok((queue, Some(id))) => {
                    let job = self.table.job(&queue, id);
                    job.map_or(Answer::NoJob, |entry| Answer::Job(entry.state))
                }
            },
            Call::Cancel { host, path } => match self.place(&host, &path) {
                Err(answer) => answer,
                Ok((queue, id)) => match id.filter(|id| self.table.job(&queue, *id).is_some()) {
                    None => Answer::NoJob,
                    Some(id) => {
                        let command = Command::Cancel { id, at: unix };
                        return self.propose(now, unix, command, Some(origin), effects);
                    }
                },
            },
            Call::Announce(announcement) => {
                self.spread(&announcement, effects);
                self.own(now, unix, job::Event::Announced(announcement), effects);
                Answer::Done
            }
            Call::Leave { name, born } => {
                if let Some(announcement) = self.scheduler.departure(&name, born) {
                    self.spread(&announcement, effects);
                    self.own(now, unix, job::Event::Announced(announcement), effects);
                }
                Answer::Done
            }
            Call::Configure(config) => {
                let held = self.table.config.as_ref().map(|held| held.version);
                if held.is_some_and(|held| held >= config.version) {
                    Answer::Done
                } else {
                    let command = Command::Configure(*config);
                    return self.propose(now, unix, command, Some(origin), effects);
                }
            }
            Call::Config => match &self.table.config {
                Some(config) => Answer::Config(config.text.clone()),
                None => not_run,
            },
            Call::StartWave { id, machines, duration, budget } => {
                let due = |machine| (machine, job::Progress::Due);
                let machines = machines.into_iter().map(due).collect();
                let wave = job::Wave { machines, requested_at: unix, duration, budget };
                let command = Command::StartWave { id, wave };
                return self.propose(now, unix, command, Some(origin), effects);
            }
            Call::Wave(id) => match self.table.waves.get(&id) {
                Some(wave) => Answer::Wave { complete: wave.is_complete() },
                None => Answer::NoWave,
            },
        };
        if let Some(path) = about.filter(|_| answer != Answer::Done) {
            let why = format!("{answer:?}, configuration {:?}", self.version());
            effects.push(journal::line("job-refused", path.to_string(), &why));
        }
        self.answer(origin, answer, effects);
    }

    /// Version of the configuration in force.
    fn version(&self) -> Option<u64> {
        self.table.config.as_ref().map(|config| config.version)
    }

    /// The queue and the job that an address leads to.
    fn place(&self, host: &str, path: &str) -> Result<(Name, Option<job::JobId>), Answer> {
        let config = self.table.config.as_ref();
        let config = config.ok_or(Answer::NotRun { retry: Asks::RETRY })?;
        let (queue, rest) = config.route(host, path).ok_or(Answer::NoQueue)?;
        if rest.is_empty() {
            return Ok((queue.name.clone(), None));
        }
        let id = Some(rest).filter(|rest| rest.len() == ID_DIGITS);
        let id = id.and_then(|rest| job::JobId::from_str_radix(rest, 16).ok());
        id.map(|id| (queue.name.clone(), Some(id))).ok_or(Answer::NoJob)
    }

    /// Passes what an instance said of itself on to the other members, which may lead later.
    fn spread(&self, announcement: &job::Announcement, effects: &mut Vec<Effect>) {
        let Some(quorum) = &self.quorum else { return };
        let others = quorum.members().iter().filter(|(name, _)| **name != self.id);
        effects.extend(others.map(|(to, _)| {
            let message = Message::Heard(announcement.clone());
            Effect::Send { to: to.clone(), message }
        }));
    }

    pub(crate) fn answer(&self, origin: Origin, answer: Answer, effects: &mut Vec<Effect>) {
        effects.push(match origin {
            Origin::Own(ticket) => Effect::Answer { ticket, answer },
            Origin::Peer(to, ticket) => {
                Effect::Send { to, message: Message::Answer { ticket, answer } }
            }
        });
    }

    fn propose(
        &mut self,
        now: Time,
        unix: job::UnixMs,
        command: Command,
        origin: Option<Origin>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(quorum) = &self.quorum else { return };
        let index = quorum.last_index() + 1;
        if let Some(origin) = origin {
            self.commits.insert(index, origin);
        }
        match postcard::to_stdvec(&command) {
            Ok(command) => self.agree(now, unix, quorum::Event::Propose(command), effects),
            Err(error) => {
                effects.push(journal::line("command-lost", String::new(), &error.to_string()));
            }
        }
    }

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
        let outcomes = self.table.apply(command);
        if let Some(origin) = self.commits.remove(&index) {
            let answer = answer_to(&outcomes);
            self.answer(origin, answer, effects);
        }
        if self.owns.is_none() {
            return;
        }
        self.explain(unix, &outcomes, effects);
        let event = if self.batch == Some(index) {
            self.batch = None;
            job::Event::BatchCommitted(outcomes)
        } else {
            job::Event::CommandCommitted(outcomes)
        };
        self.own(now, unix, event, effects);
    }

    /// Says what became of jobs and of the configuration.
    fn explain(&self, unix: job::UnixMs, outcomes: &[job::Outcome], effects: &mut Vec<Effect>) {
        for outcome in outcomes {
            let id = match outcome {
                job::Outcome::AttemptEnded(end) => {
                    effects.push(Effect::Ended(end.reason));
                    continue;
                }
                job::Outcome::Configured => {
                    let why = format!("version {:?}", self.version());
                    effects.push(journal::line("configured", String::new(), &why));
                    continue;
                }
                job::Outcome::Accepted(id) | job::Outcome::JobEnded(id) => id,
                _ => continue,
            };
            let Some(entry) = self.table.jobs.get(id) else { continue };
            let took = Duration::from_millis(unix.saturating_sub(entry.accepted_at));
            let what = if entry.ended_at.is_some() { "job-over" } else { "job-accepted" };
            let config = self.table.config.as_ref();
            let objective = config.and_then(|config| config.queue(&entry.queue));
            let objective = objective.map_or(0, |q| q.objective(entry.critical_path).as_millis());
            let why = format!(
                "{} in {}, {} ms after hand-in, wanted within {objective} ms",
                entry.state,
                entry.queue,
                took.as_millis()
            );
            effects.push(journal::line(what, format!("{id:016x}"), &why));
            if entry.ended_at.is_some() {
                let (queue, end) = (entry.queue.clone(), entry.state);
                effects.push(Effect::Finished { queue, end, took });
            }
        }
    }

    /// Hands an event to the owner of the instances, and its wishes on.
    pub(crate) fn own(
        &mut self,
        now: Time,
        unix: job::UnixMs,
        event: job::Event,
        effects: &mut Vec<Effect>,
    ) {
        let epoch = self.owns.unwrap_or_default();
        let governs = self.governs(now);
        for effect in self.scheduler.reduce(now, unix, &self.table, event) {
            match effect {
                job::Effect::Propose(batch) => {
                    let command = Command::CommitBatch { at: unix, batch };
                    self.batch = self.quorum.as_ref().map(|quorum| quorum.last_index() + 1);
                    self.propose(now, unix, command, None, effects);
                }
                job::Effect::CallInstance { id, incarnation, address, order, timeout }
                    if governs =>
                {
                    effects.push(Effect::CallInstance {
                        id,
                        incarnation,
                        address,
                        order,
                        epoch,
                        timeout,
                    });
                }
                job::Effect::CallPlatform { id, order } if governs => {
                    effects.push(Effect::CallPlatform { id, order, epoch });
                }
                job::Effect::QueryAdmission { id, query } => {
                    effects.push(match self.helpers.choose(now, id, query.timeout) {
                        Some(to) => {
                            Effect::Send { to, message: Message::AdmissionQuery { id, query } }
                        }
                        None => Effect::QueryAdmission { id, query, leader: None },
                    });
                }
                job::Effect::CallInstance { id, .. } => effects.push(Effect::Unsent { id }),
                job::Effect::CallPlatform { id, .. } => effects.push(Effect::UnsentMachine { id }),
                job::Effect::Note(note) => effects.push(Effect::Note(note)),
            }
        }
    }
}

/// Digits in the id of a job.
const ID_DIGITS: usize = 16;

/// What whoever sent a command learns of its outcome.
fn answer_to(outcomes: &[job::Outcome]) -> Answer {
    match outcomes.first() {
        Some(job::Outcome::UnknownJob(_)) => Answer::NoJob,
        _ => Answer::Done,
    }
}
