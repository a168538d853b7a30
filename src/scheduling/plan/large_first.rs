//! Which of the largest jobs of a queue goes first within its rank (`scheduling::large`).

use std::time::Duration;

use super::queue::QueuedJob;
use crate::jobs::JobId;
use crate::scheduling::large::{LargeGangs, PRECEDENCE_AGE_FRACTION};

/// The one that has waited longest of the largest that begin with their first task, idle work too, that has
/// not begun and of which nothing is on its way: one task of it is little, and goes first.
pub(super) fn first_task_job<'a>(
    large: &LargeGangs,
    queued_jobs: &[QueuedJob<'a>],
    within: Duration,
) -> Option<&'a JobId> {
    let may = |t: &&QueuedJob<'a>| {
        let spec = t.job.spec();
        let waits = t.age >= within.mul_f64(PRECEDENCE_AGE_FRACTION) && !t.job.has_run() && t.job.bound.is_empty();
        waits && !t.quarantined && !spec.is_gang() && large.is_largest(spec)
    };
    queued_jobs.iter().filter(may).max_by(|a, b| a.age.cmp(&b.age).then(b.id.cmp(a.id))).map(|t| t.id)
}

/// Who of those that wait goes first now: the one that has waited longest, once enough is earned for it.
pub(super) fn credited_gang<'a>(
    large: &LargeGangs,
    queued_jobs: &[QueuedJob<'a>],
    within: Duration,
) -> Option<&'a JobId> {
    let may = |t: &&QueuedJob<'a>| !t.quarantined && large.may_take_precedence(t.job.spec(), t.age, within);
    let oldest = queued_jobs.iter().filter(may).max_by(|a, b| a.age.cmp(&b.age).then(b.id.cmp(a.id)))?;
    (oldest.job.min_start_cores() <= large.credit()).then_some(oldest.id)
}
