//! How much open work a controller can hold: every one must be able to lead and hold all of it.

use std::ops::{AddAssign, SubAssign};

use super::JobSpec;

/// What a job takes in a leader's memory besides its tasks: description, sums, entries in maps.
const JOB_BYTES: u64 = 4096;
/// What a task takes: its state, its place among the waiting, and its part of what is being read
/// or stored; what runs takes more, but of that there is as much as the machines hold. Three jobs
/// of 100,000 tasks took about 37 MB on simulated machines.
const TASK_BYTES: u64 = 96;
/// The part of the memory that open work may take. The rest is the program, machines, connections
/// and answers being read.
const PART: f64 = 0.55;
/// The part up to which large jobs are taken, so that small ones still find room beside them, and
/// so that as many as there are controllers may be accepted before each hears of the others.
const PART_LARGE: f64 = 0.3;
/// A job is large from this part of the memory on.
const LARGE: f64 = 0.02;

/// What open jobs take of a leader's memory, by the sums above.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Held {
    /// Number of jobs.
    pub jobs: u64,
    /// Number of their tasks.
    pub tasks: u64,
}

impl Held {
    /// Estimated bytes that they take in a leader's memory.
    pub fn bytes(self) -> u64 {
        self.jobs * JOB_BYTES + self.tasks * TASK_BYTES
    }
}

impl AddAssign for Held {
    fn add_assign(&mut self, other: Self) {
        self.jobs += other.jobs;
        self.tasks += other.tasks;
    }
}

impl SubAssign for Held {
    fn sub_assign(&mut self, other: Self) {
        self.jobs = self.jobs.saturating_sub(other.jobs);
        self.tasks = self.tasks.saturating_sub(other.tasks);
    }
}

/// What one more job of this description would add.
pub fn cost(spec: &JobSpec) -> Held {
    Held { jobs: 1, tasks: spec.tasks }
}

/// Whether one more job can be held beside what is open, in a controller of so much memory (none:
/// not limited). What is refused can be submitted again once something has ended; a job by itself
/// is always taken, since nothing that ends would make more room for it.
pub fn can_hold(spec: &JobSpec, open: Held, memory_mb: Option<f64>) -> bool {
    let Some(memory_mb) = memory_mb else { return true };
    let (memory, alone) = (memory_mb * 1024.0 * 1024.0, cost(spec).bytes() as f64);
    let part = if alone >= memory * LARGE { PART_LARGE } else { PART };
    open.jobs == 0 || open.bytes() as f64 + alone <= memory * part
}

#[cfg(test)]
mod tests;
