//! The recent arrival rate of the tasks of a class.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::jobs::record::JobRecord;

/// Recent arrivals of a class: an exponentially decaying count of tasks, and the latest job as their representative.
#[derive(Debug)]
pub struct Arrivals {
    /// The decayed count of tasks at `updated_at`.
    pub(in crate::scheduling::cluster) decayed_tasks: f64,
    /// When a job was last counted.
    pub(in crate::scheduling::cluster) updated_at: Instant,
    /// The latest job of the class.
    pub latest: Arc<JobRecord>,
}

/// Time constant of the decay: long enough to smooth single jobs, short enough to notice that arrivals have ended.
const ARRIVAL_DECAY_TIME: Duration = Duration::from_secs(60);

impl Arrivals {
    fn decayed_tasks_at(&self, now: Instant) -> f64 {
        let elapsed_s = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.decayed_tasks * (-elapsed_s / ARRIVAL_DECAY_TIME.as_secs_f64()).exp()
    }

    /// Counts the tasks of a job that arrived `age` ago.
    pub(in crate::scheduling::cluster) fn record_job(&mut self, record: Arc<JobRecord>, age: Duration, now: Instant) {
        let decay = (-age.as_secs_f64() / ARRIVAL_DECAY_TIME.as_secs_f64()).exp();
        self.decayed_tasks = self.decayed_tasks_at(now) + record.spec.tasks as f64 * decay;
        (self.updated_at, self.latest) = (now, record);
    }

    /// The present arrival rate, in tasks per second.
    pub fn tasks_per_second(&self, now: Instant) -> f64 {
        self.decayed_tasks_at(now) / ARRIVAL_DECAY_TIME.as_secs_f64()
    }
}
