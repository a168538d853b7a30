//! The jobs of the model: how they are submitted and cancelled, and which of them fail.

use std::sync::Arc;

use rand::Rng;

use super::world::World;
use crate::history::job_transactions;
use crate::jobs::record::{JobRecord, TASKS_PER_SHARD, open_key};
use crate::jobs::tests::spec;
use crate::jobs::{JobId, Shape};

/// Whether a job fails on all machines until its user cancels it, as one submitted with a mistake does.
pub(super) fn always_fails(id: &str) -> bool {
    id.ends_with(['3', '8'])
}

impl World {
    /// Submits the next job.
    pub(super) fn submit_job(&mut self) {
        let n = self.records.len() as u64;
        let mut job = spec();
        job.id = format!("run-{n:06}").into();
        job.team = "blue".into();
        job.shape = if n.is_multiple_of(3) { Shape::Gang } else { Shape::Array };
        job.tasks = if job.is_gang() { 2 } else { [1, 3, TASKS_PER_SHARD + 2][n as usize % 3] };
        job.estimate_s = 5.0;
        // A submission time in the future gives the job no age, so each run of a seed is the same.
        let record = Arc::new(JobRecord { spec: job, accepted_ms: u64::MAX });
        self.records.insert(record.spec.id.clone(), record.clone());
        self.send_transaction(job_transactions::accept_job(&record, false));
    }

    /// Cancels a random open job: in worlds with users through any controller, else in the store.
    pub(super) fn cancel_random_job(&mut self) {
        if self.users.enabled {
            return self.cancel_through_any_controller();
        }
        let open: Vec<JobId> = self.records.keys().filter(|id| self.store.has(&open_key(id))).cloned().collect();
        if open.is_empty() {
            return;
        }
        let id = open[self.rng.random_range(0..open.len())].clone();
        let cancellation = job_transactions::cancel_job(&self.records[&id], None, 0, usize::MAX);
        self.send_transaction(cancellation);
    }
}
