//! The jobs of the model: how they are submitted and cancelled, and which of them fail.

use std::sync::Arc;

use rand::Rng;

use super::world::World;
use crate::history::job_transactions;
use crate::jobs::record::{JobRecord, TASKS_PER_SHARD, open_key};
use crate::jobs::tests::spec;
use crate::jobs::{JobId, Shape};

/// Submitted with a mistake: fails wherever it runs, until its user cancels it.
pub(super) fn bad(id: &str) -> bool {
    id.ends_with(['3', '8'])
}

impl World {
    pub(super) fn submit(&mut self) {
        let n = self.records.len() as u64;
        let mut job = spec();
        job.id = format!("run-{n:06}").into();
        job.team = "blue".into();
        job.shape = if n.is_multiple_of(3) { Shape::Gang } else { Shape::Array };
        job.tasks = if job.is_gang() { 2 } else { [1, 3, TASKS_PER_SHARD + 2][n as usize % 3] };
        job.estimate_s = 5.0;
        // Never any age by the time of day: a run takes as long as it takes, and runs the same again.
        let record = Arc::new(JobRecord { spec: job, at_ms: u64::MAX });
        self.records.insert(record.spec.id.clone(), record.clone());
        self.send_move(job_transactions::accept_job(&record, false));
    }

    pub(super) fn cancel(&mut self) {
        if self.users.on {
            return self.cancel_somewhere();
        }
        let open: Vec<JobId> = self.records.keys().filter(|id| self.store.has(&open_key(id))).cloned().collect();
        if open.is_empty() {
            return;
        }
        let id = open[self.rng.random_range(0..open.len())].clone();
        let cancellation = job_transactions::cancel_job(&self.records[&id], None, 0);
        self.send_move(cancellation);
    }
}
