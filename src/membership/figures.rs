//! Figures for display, for other controllers and for operators: running and done tasks, who is served.

use std::collections::HashMap;

use super::mesh;
use super::state::Membership;
use crate::jobs::{Counts, JobId};
use crate::scheduling::fairness::ServiceLevel;
use crate::sync::lock;

impl Membership {
    /// How many tasks of a job run and are done, as far as is known here.
    pub fn counts(&self, id: &JobId) -> Counts {
        if let Some(cluster) = self.leader.cluster().as_ref() {
            return cluster.task_counts(id);
        }
        lock(&self.peer_states).counts.get(id).copied().unwrap_or_default()
    }

    /// What changed since the peer was last told, at most `most` of it.
    pub fn changed_counts(&self, told: &mut HashMap<JobId, Counts>, most: usize) -> Vec<(JobId, Counts)> {
        let held = self.leader.cluster();
        let Some(cluster) = held.as_ref() else { return Vec::new() };
        let mut changed = Vec::new();
        for (id, counts) in cluster.all_task_counts() {
            if changed.len() >= most {
                break;
            }
            if told.get(id) != Some(&counts) {
                changed.push((id.clone(), counts));
            }
        }
        told.retain(|id, _| cluster.has_job(id));
        told.extend(changed.iter().cloned());
        changed
    }

    /// The account as the leader sees it, for whoever may succeed it.
    pub fn accounting_to_send(&self) -> Vec<ServiceLevel> {
        if self.leader.cluster().is_none() {
            return Vec::new();
        }
        self.leader.accounting().service_levels().iter().take(mesh::MOST_ROWS).cloned().collect()
    }

    /// Drops the counts of jobs that are not open.
    pub fn drop_counts_of_ended_jobs(&self) {
        let watch_cache = self.store.watch_cache();
        lock(&self.peer_states).counts.retain(|id, _| watch_cache.open_job(id).is_some());
    }

    /// Entries that are remembered of peers and workers, for display.
    pub fn entry_counts(&self) -> [(&'static str, usize); 3] {
        [
            ("counts_heard", lock(&self.peer_states).counts.len()),
            ("stranded", lock(&self.unreachable_leader).remembered()),
            ("let_go", lock(&self.leader_searches).remembered()),
        ]
    }
}
