//! The load of each machine: the summed deadline shares and returns of its tasks.

use std::time::{Duration, Instant};

use super::ClusterState;
#[cfg(test)]
use super::Machine;
#[cfg(test)]
use super::model::AllocatedResources;
use super::model::task_load;
use crate::sla::Load;

/// Deadline shares and returns change with time, so a machine's load is recomputed after this long (the retest of the
/// design).
const LOAD_REFRESH_INTERVAL: Duration = Duration::from_secs(5);

impl ClusterState {
    /// Recomputes the loads of machines that a task has left or whose load is older than `LOAD_REFRESH_INTERVAL`.
    pub fn refresh_loads(&mut self, now: Instant) {
        for machine in self.machines.values_mut() {
            if machine.load_computed_at.is_some_and(|at| now.saturating_duration_since(at) < LOAD_REFRESH_INTERVAL) {
                continue;
            }
            let mut load = Load::default();
            for key in &machine.bound {
                let Some(job) = self.jobs.get(&key.job) else { continue };
                let (share, task_return) = task_load(job, job.binding(key.index), now);
                load.share += share;
                load.total_return += task_return;
            }
            (machine.load, machine.load_computed_at) = (load, Some(now));
        }
    }

    /// What the tasks bound to a machine take, recomputed from the bindings.
    #[cfg(test)]
    pub fn recomputed_allocation(&self, machine: &Machine) -> AllocatedResources {
        let mut allocated = AllocatedResources::default();
        for key in &machine.bound {
            if let Some(job) = self.jobs.get(&key.job) {
                allocated.add(job.spec(), 1.0);
            }
        }
        allocated
    }
}
