//! Jobs that wait although a machine has room for them. Reservations, room kept for gangs or arrivals, soft admission
//! and the rules of idle work each keep work out for a good reason, and any of them may go on for ever, alone or in
//! turns. One clock for each job bounds them together.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::jobs::JobId;

/// After this long beside room, over all reasons together, a job takes any room that fits, but for two: what others
/// were stopped for stays theirs until they have come or their hold ends, and what is kept for a gang is kept until
/// somebody has waited for `KEPT_FOR`.
pub const MAX_PASSED_OVER: Duration = Duration::from_secs(45);

/// Since when jobs have waited beside room without a break.
#[derive(Debug, Default)]
pub struct PassedOverJobs {
    since: HashMap<JobId, Instant>,
}

impl PassedOverJobs {
    /// The jobs that a plan has left waiting beside room; all others begin anew.
    pub fn update(&mut self, passed_over: HashSet<JobId>, now: Instant) {
        self.since.retain(|id, _| passed_over.contains(id));
        for id in passed_over {
            self.since.entry(id).or_insert(now);
        }
    }

    /// How long the one that has waited longest has.
    pub fn longest_wait(&self, now: Instant) -> Duration {
        let oldest = self.since.values().min();
        oldest.map_or(Duration::ZERO, |since| now.saturating_duration_since(*since))
    }

    /// It has waited beside room for `MAX_PASSED_OVER`.
    pub fn is_overdue(&self, id: &JobId, now: Instant) -> bool {
        self.since.get(id).is_some_and(|since| now.saturating_duration_since(*since) >= MAX_PASSED_OVER)
    }
}
