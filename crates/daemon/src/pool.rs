use super::*;

/// Work for a thread.
type Job = Box<dyn FnOnce() + Send>;

/// Threads that block on connections; idle ones are used before new ones start.
#[derive(Debug, Clone)]
pub(crate) struct Pool {
    jobs: Sender<Job>,
    idle: Receiver<Job>,
}

impl Pool {
    /// How long an idle thread waits for work.
    const IDLE: Duration = Duration::from_secs(10);

    pub(crate) fn new() -> Self {
        let (jobs, idle) = bounded(0);
        Self { jobs, idle }
    }

    pub(crate) fn run(&self, job: impl FnOnce() + Send + 'static) {
        let Err(error) = self.jobs.try_send(Box::new(job)) else { return };
        let (first, idle) = (error.into_inner(), self.idle.clone());
        thread::spawn(move || {
            first();
            while let Ok(job) = idle.recv_timeout(Self::IDLE) {
                job();
            }
        });
    }
}
