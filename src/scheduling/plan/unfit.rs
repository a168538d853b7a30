//! Requests that did not fit in a plan, so that later requests for at least as much need no search.

use std::time::Duration;

use crate::jobs::JobSpec;
use crate::scheduling::cluster::JobState;

/// A request that did not fit in this plan. Free capacity only shrinks within a plan, so a job that asks for at least
/// as much, on no other machine kinds, does not fit either.
pub(super) struct UnfitRequest<'a> {
    /// The job's description, with the request of one task.
    pub(super) spec: &'a JobSpec,
    /// The job's expected run time.
    pub(super) run_time: Duration,
    /// How many tasks had to fit together.
    pub(super) tasks: usize,
    /// For each machine kind, whether the job could use it.
    pub(super) allowed_kinds: Vec<bool>,
    /// Whether the job could leave accelerators unused, since it fits only machines with accelerators.
    pub(super) needs_accelerated: bool,
}

impl UnfitRequest<'_> {
    /// Whether it follows that `tasks` tasks of the job do not fit on machines of the allowed kinds either.
    pub(super) fn covers(&self, job: &JobState, tasks: usize, allowed_kinds: &[bool]) -> bool {
        let spec = job.spec();
        // A shorter job may fit still, because it may end before a reservation does.
        job.agreement.run_time >= self.run_time
            && spec.cpus >= self.spec.cpus
            && spec.gpus >= self.spec.gpus
            && spec.memory_gb >= self.spec.memory_gb
            && tasks >= self.tasks
            && (self.tasks <= 1 || spec.same_zone || !self.spec.same_zone)
            && allowed_kinds.iter().zip(&self.allowed_kinds).all(|(a, b)| *b || !a)
    }
}
