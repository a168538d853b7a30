//! Selects the large jobs that take precedence within their rank (`scheduling::large`).

use std::time::Duration;

use super::queue::QueuedJob;
use crate::jobs::JobId;
use crate::scheduling::large::{LargeGangs, PRECEDENCE_AGE_FRACTION};

/// Returns the longest-waiting large job, other than a gang, that has neither run nor been placed. Such a job, which
/// may be idle work, begins with its first task, so placing that one task first takes little capacity.
pub(super) fn first_task_job<'a>(
    large: &LargeGangs,
    queued_jobs: &[QueuedJob<'a>],
    begin_within: Duration,
) -> Option<&'a JobId> {
    let may_take_precedence = |t: &&QueuedJob<'a>| {
        let spec = t.job.spec();
        let has_waited =
            t.age >= begin_within.mul_f64(PRECEDENCE_AGE_FRACTION) && !t.job.has_run() && t.job.bound.is_empty();
        has_waited && !t.quarantined && !spec.is_gang() && large.is_largest(spec)
    };
    queued_jobs.iter().filter(may_take_precedence).max_by(|a, b| a.age.cmp(&b.age).then(b.id.cmp(a.id))).map(|t| t.id)
}

/// Returns the longest-waiting large gang that may take precedence, once the earned credit covers its cores.
pub(super) fn credited_gang<'a>(
    large: &LargeGangs,
    queued_jobs: &[QueuedJob<'a>],
    begin_within: Duration,
) -> Option<&'a JobId> {
    let may_take_precedence =
        |t: &&QueuedJob<'a>| !t.quarantined && large.may_take_precedence(t.job.spec(), t.age, begin_within);
    let oldest =
        queued_jobs.iter().filter(may_take_precedence).max_by(|a, b| a.age.cmp(&b.age).then(b.id.cmp(a.id)))?;
    (oldest.job.min_start_cores() <= large.credit()).then_some(oldest.id)
}
