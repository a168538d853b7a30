//! Jobs named by a heat rule that wait while the rule applies: how many, for how long, and when that is reported.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::jobs::JobId;
use crate::scheduling::ClusterState;
use crate::scheduling::fairness::floor::ClassTeamSet;

/// Waiting times of the oldest job, in seconds, at which the backlog is reported once each.
pub const BACKLOG_STAGES_S: [u64; 3] = [60, 240, 900];
/// Otherwise it is reported again no sooner than this.
const REPORT_INTERVAL_MS: u64 = 60_000;

/// The waiting jobs at one time.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Backlog {
    /// Jobs of which nothing runs and nothing is done.
    pub jobs: u64,
    /// The one that waits longest, and for how long.
    pub oldest: Option<JobId>,
    /// For how long that one has waited, in seconds.
    pub oldest_s: u64,
    /// When this was counted, by time of day.
    pub as_of_ms: u64,
    /// How many of the stages were reached since the rule applies.
    pub stage: usize,
}

impl Backlog {
    /// Counts the jobs that wait now. A job that was lost with its machine waits from then on; a job that fails
    /// everywhere is reported by failure attribution instead.
    pub fn count(cluster: &ClusterState, names: &ClassTeamSet, now: Instant, now_ms: u64) -> Self {
        let mut backlog = Self { as_of_ms: now_ms, ..Self::default() };
        let mut longest: Option<(Duration, &JobId)> = None;
        let waiting = cluster.jobs().filter(|(_, job)| job.ended.is_none() && job.bound.is_empty() && job.done == 0);
        for (id, job) in
            waiting.filter(|(id, job)| names.contains_job(job.spec()) && !cluster.attribution.is_job_quarantined(id))
        {
            let since = job.last_task_end.map_or(job.submitted_at, |end| end.max(job.submitted_at));
            let waited = now.saturating_duration_since(since);
            backlog.jobs += 1;
            if longest.is_none_or(|(most, other)| (waited, other) > (most, id)) {
                longest = Some((waited, id));
            }
        }
        if let Some((waited, id)) = longest {
            (backlog.oldest_s, backlog.oldest) = (waited.as_secs(), Some(id.clone()));
        }
        backlog.stage = BACKLOG_STAGES_S.iter().filter(|s| backlog.oldest_s >= **s).count();
        backlog
    }

    /// The job that waits longest.
    pub fn oldest_name(&self) -> Option<&str> {
        self.oldest.as_deref()
    }

    /// Seconds for which that one has waited.
    pub fn oldest_waited_s(&self) -> Option<u64> {
        self.oldest.as_ref().map(|_| self.oldest_s)
    }

    /// What is to be stored next; none while there is nothing new to report.
    pub fn next(before: Option<&Self>, now: Self) -> Option<Self> {
        let Some(before) = before else { return (now.stage > 0).then_some(now) };
        // As soon as a stage is reached, and once nothing waits any more; otherwise at intervals.
        let interval_passed = now.as_of_ms.abs_diff(before.as_of_ms) >= REPORT_INTERVAL_MS;
        let is_due = now.stage > before.stage
            || (before.jobs > 0 && (now.jobs == 0 || interval_passed))
            || (interval_passed && now.stage > 0);
        is_due.then(|| Self { stage: now.stage.max(before.stage), ..now })
    }
}
