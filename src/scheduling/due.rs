//! Accepted jobs with a due time: how many are open, late or past their time, for operators. It follows from what is
//! stored of each job and the cluster state; nothing more is stored.

use std::time::{Duration, Instant};

use super::cluster::ClusterState;
use crate::jobs::JobId;

/// The open ones of them, bounded however many there are.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct DueJobCounts {
    /// Open jobs with a due time.
    pub open: usize,
    /// Not begun at the latest possible start, and not past their time yet.
    pub late: usize,
    /// Past their time.
    pub missed: usize,
    /// The one that is furthest past its latest possible start, or its time, and by how much.
    pub worst: Option<(JobId, Duration)>,
}

impl DueJobCounts {
    /// A job of this age that has a due time, its run time, and whether it has begun.
    pub fn record(&mut self, id: &JobId, due: Duration, run: Duration, age: Duration, begun: bool) {
        self.open += 1;
        let latest = if begun { due } else { due.saturating_sub(run) };
        let by = age.saturating_sub(latest);
        match (age >= due, by > Duration::ZERO) {
            (true, _) => self.missed += 1,
            (false, true) => self.late += 1,
            (false, false) => return,
        }
        if self.worst.as_ref().is_none_or(|(_, worst)| by > *worst) {
            self.worst = Some((id.clone(), by));
        }
    }
}

/// Counts the open jobs that are late, or likely to be.
pub fn count_due_jobs(cluster: &ClusterState, now: Instant) -> DueJobCounts {
    let mut due = DueJobCounts::default();
    for (id, job) in cluster.jobs().filter(|(_, job)| job.ended.is_none() && !job.is_complete()) {
        if let Some(within) = job.spec().due() {
            let age = now.saturating_duration_since(job.submitted_at);
            due.record(id, within, job.agreement.run_time, age, job.never_placed_fraction() < 1.0);
        }
    }
    due
}
