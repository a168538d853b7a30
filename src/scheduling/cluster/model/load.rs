//! Deadline share and return of a task, by which machines are compared.

use std::time::{Duration, Instant};

use super::{Binding, JobState};
use crate::sla;

/// Deadline share and return of one task, as (share, return), in the terms of the paper.
pub(in crate::scheduling::cluster) fn task_load(job: &JobState, binding: Option<&Binding>, now: Instant) -> (f64, f64) {
    let run_time = binding.map_or(Duration::ZERO, |b| b.run_time(now));
    let remaining = sla::remaining_run_time(job.agreement.run_time, run_time);
    let age = now.saturating_duration_since(job.submitted_at);
    let share = sla::deadline_share(remaining, job.agreement.deadline.saturating_sub(age), job.agreement.cores);
    (share, job.agreement.task_return(age + remaining))
}
