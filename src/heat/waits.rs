//! Work named by a rule that waits while the rule is on: how much, for how long, and when that is logged.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::jobs::JobId;
use crate::scheduling::ClusterState;
use crate::scheduling::fairness::floor::Names;

/// Seconds that the oldest has waited, at which it is told once each.
pub const STAGES_S: [u64; 3] = [60, 240, 900];
/// Else it is told again no sooner than this.
const EVERY_MS: u64 = 60_000;

/// As it was last looked at.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Waits {
    /// Jobs of which nothing runs and nothing is done.
    pub jobs: u64,
    /// The one that waits longest, and for how long.
    pub oldest: Option<JobId>,
    /// For how long that one has waited, in seconds.
    pub oldest_s: u64,
    /// When this was counted, by time of day.
    pub as_of_ms: u64,
    /// How many of the stages were reached since the rule went on.
    pub stage: usize,
}

impl Waits {
    /// What waits now. A job that was lost with its machine waits from then on; one that fails everywhere is
    /// told elsewhere.
    pub fn count(cluster: &ClusterState, names: &Names, now: Instant, now_ms: u64) -> Self {
        let mut waits = Self { as_of_ms: now_ms, ..Self::default() };
        let mut longest: Option<(Duration, &JobId)> = None;
        let waiting = cluster.jobs().filter(|(_, job)| job.ended.is_none() && job.bound.is_empty() && job.done == 0);
        for (id, job) in waiting.filter(|(id, job)| names.has(job.spec()) && !cluster.attribution.suspects(id)) {
            let since = job.last_end.map_or(job.since, |end| end.max(job.since));
            let waited = now.saturating_duration_since(since);
            waits.jobs += 1;
            if longest.is_none_or(|(most, other)| (waited, other) > (most, id)) {
                longest = Some((waited, id));
            }
        }
        if let Some((waited, id)) = longest {
            (waits.oldest_s, waits.oldest) = (waited.as_secs(), Some(id.clone()));
        }
        waits.stage = STAGES_S.iter().filter(|s| waits.oldest_s >= **s).count();
        waits
    }

    /// What is to be stored after this was; none while there is nothing new to tell.
    pub fn next(before: Option<&Self>, now: Self) -> Option<Self> {
        let Some(before) = before else { return (now.stage > 0).then_some(now) };
        // As soon as a stage is reached, and once nothing waits any more; else from time to time.
        let passed = now.as_of_ms.abs_diff(before.as_of_ms) >= EVERY_MS;
        let told =
            now.stage > before.stage || (before.jobs > 0 && (now.jobs == 0 || passed)) || (passed && now.stage > 0);
        told.then(|| Self { stage: now.stage.max(before.stage), ..now })
    }
}
