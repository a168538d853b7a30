//! Figures for users, operators and the other controllers: counts of running and done tasks, service levels, and entry
//! counts.

use std::collections::HashMap;

use super::mesh;
use super::state::Membership;
use crate::jobs::{JobId, TaskCounts};
use crate::scheduling::fairness::ServiceLevel;
use crate::sync::lock;

impl Membership {
    /// Returns the counts of a job's running and done tasks, as far as known here.
    pub fn counts(&self, id: &JobId) -> TaskCounts {
        if let Some(cluster) = self.leader.cluster().as_ref() {
            return cluster.task_counts(id);
        }
        lock(&self.peer_states).counts.get(id).copied().unwrap_or_default()
    }

    /// Returns at most `max` counts that differ from those last sent to a peer, and records them in `sent`.
    pub fn changed_counts(&self, sent: &mut HashMap<JobId, TaskCounts>, max: usize) -> Vec<(JobId, TaskCounts)> {
        let held = self.leader.cluster();
        let Some(cluster) = held.as_ref() else { return Vec::new() };
        let mut changed = Vec::new();
        for (id, counts) in cluster.all_task_counts() {
            if changed.len() >= max {
                break;
            }
            if sent.get(id) != Some(&counts) {
                changed.push((id.clone(), counts));
            }
        }
        sent.retain(|id, _| cluster.has_job(id));
        sent.extend(changed.iter().cloned());
        changed
    }

    /// Returns the service levels that this leader sends to its possible successors; empty if this controller doesn't
    /// lead.
    pub fn accounting_to_send(&self) -> Vec<ServiceLevel> {
        if self.leader.cluster().is_none() {
            return Vec::new();
        }
        self.leader.accounting().service_levels().iter().take(mesh::MAX_SERVICE_LEVELS).cloned().collect()
    }

    /// Drops the counts of jobs that are no longer open.
    pub fn drop_counts_of_ended_jobs(&self) {
        let watch_cache = self.store.watch_cache();
        lock(&self.peer_states).counts.retain(|id, _| watch_cache.open_job(id).is_some());
    }

    /// Returns the number of entries kept of peers and workers, by name, for the log.
    pub fn entry_counts(&self) -> [(&'static str, usize); 3] {
        [
            ("counts_heard", lock(&self.peer_states).counts.len()),
            ("stranded", lock(&self.unreachable_leader).machine_count()),
            ("let_go", lock(&self.leader_searches).machine_count()),
        ]
    }
}
