//! How many open jobs a controller can hold in memory: each one must be able to lead, and a leader holds all of them.

use std::ops::{AddAssign, SubAssign};

use super::JobSpec;

/// Bytes that a job takes in a leader's memory besides its tasks: description, sums, entries in maps.
const BYTES_PER_JOB: u64 = 4096;
/// Bytes that a task takes: its state, its place in the queue, and its share of the buffers for loading and storing. A
/// running task takes more, but the number of those is bounded by the machines. Three jobs of 100,000 tasks took about
/// 37 MB on simulated machines.
const BYTES_PER_TASK: u64 = 96;
/// The part of the memory that open jobs may take. The rest is for the program, machines, connections and answers.
const MEMORY_PART: f64 = 0.55;
/// The part of the memory up to which large jobs are accepted. The difference leaves room for small jobs beside them, and
/// for one large job that each controller accepts before it hears of the others'.
const MEMORY_PART_FOR_LARGE_JOBS: f64 = 0.3;
/// A job is large if it takes this part of the memory or more.
const LARGE_JOB_PART: f64 = 0.02;

/// Number of open jobs and of their tasks, from which their memory is estimated.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OpenWork {
    /// Number of jobs.
    pub jobs: u64,
    /// Number of their tasks.
    pub tasks: u64,
}

impl OpenWork {
    /// One job of this description.
    pub fn of(spec: &JobSpec) -> Self {
        Self { jobs: 1, tasks: spec.tasks }
    }

    /// Estimated bytes that they take in a leader's memory.
    pub fn memory_bytes(self) -> u64 {
        self.jobs * BYTES_PER_JOB + self.tasks * BYTES_PER_TASK
    }
}

impl AddAssign for OpenWork {
    fn add_assign(&mut self, other: Self) {
        self.jobs += other.jobs;
        self.tasks += other.tasks;
    }
}

impl SubAssign for OpenWork {
    fn sub_assign(&mut self, other: Self) {
        self.jobs = self.jobs.saturating_sub(other.jobs);
        self.tasks = self.tasks.saturating_sub(other.tasks);
    }
}

/// Whether one more job fits beside the open ones into a controller with this much memory (none: unlimited). A refused
/// job can be submitted again once others have ended. A job is always accepted while no other is open, since no end of
/// another would ever make room for it.
#[must_use]
pub fn fits_in_memory(spec: &JobSpec, open: OpenWork, memory_mb: Option<f64>) -> bool {
    let Some(memory_mb) = memory_mb else { return true };
    let memory = memory_mb * 1024.0 * 1024.0;
    let added = OpenWork::of(spec).memory_bytes() as f64;
    let part = if added >= memory * LARGE_JOB_PART { MEMORY_PART_FOR_LARGE_JOBS } else { MEMORY_PART };
    open.jobs == 0 || open.memory_bytes() as f64 + added <= memory * part
}

#[cfg(test)]
mod tests;
