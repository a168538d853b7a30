//! How fast tasks of each class have lately come.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::jobs::record::JobRecord;

/// How many tasks of a class have come lately: a count that fades, and one job to stand for all.
#[derive(Debug)]
pub struct Arrivals {
    pub(in crate::scheduling::cluster) decayed_tasks: f64,
    pub(in crate::scheduling::cluster) updated_at: Instant,
    /// The latest job of the class.
    pub latest: Arc<JobRecord>,
}

/// Arrivals fade over this time: long enough to smooth single jobs, short enough to see an end.
const ARRIVAL_DECAY_TIME: Duration = Duration::from_secs(60);

impl Arrivals {
    fn decayed_tasks_at(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.decayed_tasks * (-passed / ARRIVAL_DECAY_TIME.as_secs_f64()).exp()
    }

    /// A job that came so long ago.
    pub(in crate::scheduling::cluster) fn record_job(&mut self, record: Arc<JobRecord>, age: Duration, now: Instant) {
        let gone_by = (-age.as_secs_f64() / ARRIVAL_DECAY_TIME.as_secs_f64()).exp();
        self.decayed_tasks = self.decayed_tasks_at(now) + record.spec.tasks as f64 * gone_by;
        (self.updated_at, self.latest) = (now, record);
    }

    /// Tasks a second, as of now.
    pub fn tasks_per_second(&self, now: Instant) -> f64 {
        self.decayed_tasks_at(now) / ARRIVAL_DECAY_TIME.as_secs_f64()
    }
}
