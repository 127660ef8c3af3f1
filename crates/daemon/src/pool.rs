use super::*;

/// A job for a thread.
type Job = Box<dyn FnOnce() + Send>;

/// Unbounded thread pool for jobs that block on connections; idle threads are reused before new
/// ones start.
#[derive(Debug, Clone)]
pub(crate) struct Pool {
    /// Channel without capacity, so that a job is only handed to a thread that is idle.
    jobs: Sender<Job>,
    queue: Receiver<Job>,
}

impl Pool {
    /// Time without a job after which an idle thread exits.
    const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

    pub(crate) fn new() -> Self {
        let (jobs, queue) = bounded(0);
        Self { jobs, queue }
    }

    /// Runs `job` on an idle thread, or else on a new one.
    pub(crate) fn run(&self, job: impl FnOnce() + Send + 'static) {
        let Err(error) = self.jobs.try_send(Box::new(job)) else { return };
        let (first, queue) = (error.into_inner(), self.queue.clone());
        thread::spawn(move || {
            first();
            while let Ok(job) = queue.recv_timeout(Self::IDLE_TIMEOUT) {
                job();
            }
        });
    }
}
