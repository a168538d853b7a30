//! Figures for display, for other controllers and for operators: running and done tasks, who is served.

use std::collections::HashMap;

use tracing::debug;

use super::Controller;
use crate::jobs::{Counts, JobId};
use crate::membership::mesh;
use crate::scheduling::fairness::ServiceLevel;
use crate::sync::lock;

impl Controller {
    /// How many tasks of a job run and are done, as far as is known here.
    pub fn counts(&self, id: &JobId) -> Counts {
        if let Some(cluster) = self.leader.cluster().as_ref() {
            return cluster.counts(id);
        }
        lock(&self.heard).counts.get(id).copied().unwrap_or_default()
    }

    /// What changed since the peer was last told, at most `most` of it.
    pub fn counts_to_tell(&self, told: &mut HashMap<JobId, Counts>, most: usize) -> Vec<(JobId, Counts)> {
        let held = self.leader.cluster();
        let Some(cluster) = held.as_ref() else { return Vec::new() };
        let mut changed = Vec::new();
        for (id, counts) in cluster.all_counts() {
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
    pub fn served_to_tell(&self) -> Vec<ServiceLevel> {
        if self.leader.cluster().is_none() {
            return Vec::new();
        }
        self.leader.accounting().rows().iter().take(mesh::MOST_ROWS).cloned().collect()
    }

    /// Drops the counts of jobs that are not open.
    pub fn tidy_counts(&self) {
        let watch_cache = self.store.watch_cache();
        lock(&self.heard).counts.retain(|id, _| watch_cache.open(id).is_some());
    }

    /// Entries of everything held that could grow, for operators and for tests: each follows open
    /// work, machines or a fixed bound (docs/history.md).
    pub fn held(&self) -> Vec<(&'static str, usize)> {
        let mut held = Vec::new();
        {
            let watch_cache = self.store.watch_cache();
            held.push(("open_jobs", watch_cache.open_jobs().count()));
            held.push(("open_tasks", watch_cache.held().tasks as usize));
            held.push(("descriptions", watch_cache.ended_kept()));
            held.push(("declared", watch_cache.registry().entries()));
        }
        let [ends, asked, waiting] = self.history.held();
        held.push(("audited", lock(&self.audit).remembered()));
        held.extend([("ends", ends), ("asked", asked), ("waiting", waiting), ("hidden", self.history.hidden()[0])]);
        held.push(("served", self.leader.accounting().entries()));
        held.push(("in_admission", lock(&self.admission).waiting()));
        held.push(("counts_heard", lock(&self.heard).counts.len()));
        held.push(("stranded", lock(&self.unreachable_leader).remembered()));
        held.push(("let_go", lock(&self.let_go).remembered()));
        if let Some(cluster) = self.leader.cluster().as_ref() {
            held.extend(cluster.held());
        }
        held
    }

    /// Tells at `debug` what `held` gives.
    pub fn tell_held(&self) {
        if tracing::enabled!(tracing::Level::DEBUG) {
            let held: Vec<String> = self.held().iter().map(|(what, n)| format!("{what}={n}")).collect();
            debug!(held = held.join(" "), "held");
        }
    }
}
