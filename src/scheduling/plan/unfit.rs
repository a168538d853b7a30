//! Requests that found no room in a plan, so that later ones that ask for as much need not search.

use std::time::Duration;

use crate::jobs::JobSpec;
use crate::scheduling::cluster::JobState;

/// What found no room in this plan. Room only shrinks within a plan, so work that asks for at
/// least as much, on no other machines, need not look.
pub(super) struct UnfitRequest<'a> {
    pub(super) spec: &'a JobSpec,
    pub(super) run_time: Duration,
    pub(super) tasks: usize,
    pub(super) allowed_kinds: Vec<bool>,
}

impl UnfitRequest<'_> {
    pub(super) fn covers(&self, job: &JobState, tasks: usize, open: &[bool]) -> bool {
        let spec = job.spec();
        // Shorter work may yet end before what is held is wanted.
        job.agreement.run_time >= self.run_time
            && spec.cpus >= self.spec.cpus
            && spec.gpus >= self.spec.gpus
            && spec.memory_gb >= self.spec.memory_gb
            && tasks >= self.tasks
            && (self.tasks <= 1 || spec.same_zone || !self.spec.same_zone)
            && open.iter().zip(&self.allowed_kinds).all(|(a, b)| *b || !a)
    }
}
