//! Application of new intents to bound tasks.

use super::{ClusterState, Intents};
use crate::protocol::workers::TaskKey;

impl ClusterState {
    /// Replaces the intents. Replicas are stopped at once, while the observations on which the intents are based still
    /// hold.
    pub fn set_intents(&mut self, intents: Intents) {
        self.replan_needed |= self.intents != intents;
        for (id, replicas) in &intents.replicas {
            let Some(job) = self.job(id).filter(|job| job.ended.is_none() && !job.spec().is_gang()) else { continue };
            let grace_s = job.spec().save_s.ceil() as u64 + 1;
            let stop: Vec<u32> = job.bound.intersection(&replicas.stop).copied().collect();
            for index in stop {
                self.halt_single_task(&TaskKey { job: id.clone(), index }, grace_s);
            }
        }
        self.intents = intents;
    }
}
