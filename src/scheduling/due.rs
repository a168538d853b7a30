//! Counts accepted jobs with a due time that are open, late or past their time, for operators. The counts follow from
//! the stored jobs and the cluster state; nothing more is stored.

use std::time::{Duration, Instant};

use super::cluster::ClusterState;
use crate::jobs::JobId;

/// Counts of open jobs with a due time; of bounded size, however many jobs there are.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct DueJobCounts {
    /// Open jobs with a due time.
    pub open: usize,
    /// Jobs that are not past their due time yet, but can no longer meet it: none of their tasks was placed by the
    /// latest possible start.
    pub late: usize,
    /// Jobs past their due time.
    pub missed: usize,
    /// The job that is furthest past its latest possible start, or once placed its due time, and by how much.
    pub worst: Option<(JobId, Duration)>,
}

impl DueJobCounts {
    /// Counts an open job of this age with its due time, its run time, and whether any of its tasks has been placed.
    pub fn record(&mut self, id: &JobId, due: Duration, run_time: Duration, age: Duration, placed: bool) {
        self.open += 1;
        let limit = if placed { due } else { due.saturating_sub(run_time) };
        let overrun = age.saturating_sub(limit);
        match (age >= due, overrun > Duration::ZERO) {
            (true, _) => self.missed += 1,
            (false, true) => self.late += 1,
            (false, false) => return,
        }
        if self.worst.as_ref().is_none_or(|(_, worst)| overrun > *worst) {
            self.worst = Some((id.clone(), overrun));
        }
    }
}

/// Counts the open jobs with a due time, and those of them that are late or past it.
pub fn count_due_jobs(cluster: &ClusterState, now: Instant) -> DueJobCounts {
    let mut counts = DueJobCounts::default();
    for (id, job) in cluster.jobs().filter(|(_, job)| job.ended.is_none() && !job.is_complete()) {
        if let Some(due) = job.spec().due() {
            let age = now.saturating_duration_since(job.submitted_at);
            counts.record(id, due, job.agreement.run_time, age, job.never_placed_fraction() < 1.0);
        }
    }
    counts
}
