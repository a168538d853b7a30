//! Share and return of a task, by which machines are compared.

use std::time::{Duration, Instant};

use super::{Binding, JobState};
use crate::sla;

/// Share and return of one task, in the paper's terms.
pub(in crate::scheduling::cluster) fn task_load(job: &JobState, binding: Option<&Binding>, now: Instant) -> (f64, f64) {
    let ran = binding.map_or(Duration::ZERO, |b| b.run_time(now));
    let rest = sla::remaining_run_time(job.agreement.run_time, ran);
    let age = now.saturating_duration_since(job.since);
    let share = sla::deadline_share(rest, job.agreement.deadline.saturating_sub(age), job.agreement.cores);
    (share, job.agreement.task_return(age + rest))
}
