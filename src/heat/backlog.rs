//! Backlog of a heat rule: the number and age of its waiting jobs while it applies, and when to report them.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::jobs::JobId;
use crate::scheduling::ClusterState;
use crate::scheduling::fairness::floor::ClassTeamSet;

/// Waiting times of the oldest job, in seconds. The backlog is reported once when each of them is reached.
pub const BACKLOG_STAGES_S: [u64; 3] = [60, 240, 900];
/// Minimum time between two reports of a backlog that has reached no further stage.
const REPORT_INTERVAL_MS: u64 = 60_000;

/// Snapshot of a rule's waiting jobs.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Backlog {
    /// Number of jobs with no running and no finished task.
    pub jobs: u64,
    /// The job that has waited longest.
    pub oldest: Option<JobId>,
    /// Waiting time of the oldest job, in seconds.
    pub oldest_s: u64,
    /// Time of the count, in Unix milliseconds.
    pub as_of_ms: u64,
    /// Number of `BACKLOG_STAGES_S` reached since the rule was switched on.
    pub stage: usize,
}

impl Backlog {
    /// Counts the named jobs that are waiting. A job whose tasks were lost with their machine counts as waiting from
    /// that time on. Quarantined jobs, which fail on every machine, are left out: failure attribution reports them.
    pub fn count(cluster: &ClusterState, named_work: &ClassTeamSet, now: Instant, now_ms: u64) -> Self {
        let mut backlog = Self { as_of_ms: now_ms, ..Self::default() };
        let mut longest: Option<(Duration, &JobId)> = None;
        let waiting = cluster.jobs().filter(|(_, job)| job.ended.is_none() && job.bound.is_empty() && job.done == 0);
        for (id, job) in waiting
            .filter(|(id, job)| named_work.contains_job(job.spec()) && !cluster.attribution.is_job_quarantined(id))
        {
            let waiting_since = job.last_task_end.map_or(job.submitted_at, |end| end.max(job.submitted_at));
            let waited = now.saturating_duration_since(waiting_since);
            backlog.jobs += 1;
            if longest.is_none_or(|(longest_wait, other)| (waited, other) > (longest_wait, id)) {
                longest = Some((waited, id));
            }
        }
        if let Some((waited, id)) = longest {
            (backlog.oldest_s, backlog.oldest) = (waited.as_secs(), Some(id.clone()));
        }
        backlog.stage = BACKLOG_STAGES_S.iter().filter(|s| backlog.oldest_s >= **s).count();
        backlog
    }

    /// Returns the ID of the job that has waited longest.
    pub fn oldest_job(&self) -> Option<&str> {
        self.oldest.as_deref()
    }

    /// Returns the waiting time of the oldest job in seconds, or `None` if no job waits.
    pub fn oldest_wait_s(&self) -> Option<u64> {
        self.oldest.as_ref().map(|_| self.oldest_s)
    }

    /// Returns the backlog to store as the next report, or `None` while no report is due.
    pub fn next_report(before: Option<&Self>, now: Self) -> Option<Self> {
        let Some(before) = before else { return (now.stage > 0).then_some(now) };
        // Report immediately when a further stage is reached and when the backlog is empty again; otherwise at
        // intervals.
        let interval_passed = now.as_of_ms.abs_diff(before.as_of_ms) >= REPORT_INTERVAL_MS;
        let is_due = now.stage > before.stage
            || (before.jobs > 0 && (now.jobs == 0 || interval_passed))
            || (interval_passed && now.stage > 0);
        is_due.then(|| Self { stage: now.stage.max(before.stage), ..now })
    }
}
