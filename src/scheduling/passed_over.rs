//! Jobs that wait although a machine has capacity for them. Reservations, capacity kept for gangs or arrivals, soft
//! admission and the rules for idle work each deny capacity to a job for a good reason, but any of them may do so
//! forever, alone or in turns. One timer per job bounds them together.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::jobs::JobId;

/// A job that was passed over for this long, for all reasons together, may use any capacity that fits, with two
/// exceptions: machines on which tasks were preempted stay reserved for the preempting job until it is placed or its
/// reservation ends, and capacity kept for a gang is kept until some job has been passed over for
/// `plan::MAX_GANG_RESERVATION`.
pub const MAX_PASSED_OVER: Duration = Duration::from_secs(45);

/// Since when each job has been passed over without a break.
#[derive(Debug, Default)]
pub struct PassedOverJobs {
    since: HashMap<JobId, Instant>,
}

impl PassedOverJobs {
    /// Takes the jobs that a plan has passed over; the timers of all others are reset.
    pub fn update(&mut self, passed_over: HashSet<JobId>, now: Instant) {
        self.since.retain(|id, _| passed_over.contains(id));
        for id in passed_over {
            self.since.entry(id).or_insert(now);
        }
    }

    /// Returns how long the job that has been passed over longest has been.
    pub fn longest_wait(&self, now: Instant) -> Duration {
        let oldest = self.since.values().min();
        oldest.map_or(Duration::ZERO, |since| now.saturating_duration_since(*since))
    }

    /// Whether the job has been passed over for at least [`MAX_PASSED_OVER`].
    pub fn is_overdue(&self, id: &JobId, now: Instant) -> bool {
        self.since.get(id).is_some_and(|since| now.saturating_duration_since(*since) >= MAX_PASSED_OVER)
    }
}
