//! New intents take effect on what is bound.

use super::{ClusterState, Intents};
use crate::protocol::workers::TaskKey;

impl ClusterState {
    /// What is asked for from now on. Replicas are stopped at once: what was looked at for them still
    /// holds at this moment.
    pub fn set_intents(&mut self, intents: Intents) {
        self.replan_needed |= self.intents != intents;
        for (id, of) in &intents.replicas {
            let Some(job) = self.job(id).filter(|job| job.ended.is_none() && !job.spec().is_gang()) else { continue };
            let grace_s = job.spec().save_s.ceil() as u64 + 1;
            let stop: Vec<u32> = job.bound.intersection(&of.stop).copied().collect();
            for index in stop {
                self.halt_single_task(&TaskKey { job: id.clone(), index }, grace_s);
            }
        }
        self.intents = intents;
    }
}
