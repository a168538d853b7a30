//! Limits on the open jobs that a controller can hold in memory. Each controller must be able to lead, and a leader holds
//! all open jobs.

use std::ops::{AddAssign, SubAssign};

use super::JobSpec;

/// Estimated bytes that a job takes in a leader's memory besides its tasks: description, sums, map entries.
const BYTES_PER_JOB: u64 = 4096;
/// Estimated bytes that a task takes in a leader's memory: its state, its queue entry, and its share of the buffers for
/// loading and storing. A running task takes more, but the number of machines bounds the number of running tasks. Three
/// jobs of 100,000 tasks took about 37 MB on simulated machines.
const BYTES_PER_TASK: u64 = 96;
/// Fraction of the controller's memory that open jobs may take. The rest is left to the program, the state of machines,
/// connections and responses.
const OPEN_JOBS_MEMORY_FRACTION: f64 = 0.55;
/// Fraction of the controller's memory up to which open jobs may grow with a further large job. The difference from
/// [`OPEN_JOBS_MEMORY_FRACTION`] is left to small jobs, and to the one large job that each controller may accept before
/// it learns of those that other controllers accepted.
const LARGE_JOB_MEMORY_FRACTION: f64 = 0.3;
/// A job is large if it takes this fraction of the controller's memory or more.
const LARGE_JOB_MIN_FRACTION: f64 = 0.02;

/// Number of open jobs and of their tasks, from which the memory that they take is estimated.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OpenWork {
    /// Number of open jobs.
    pub jobs: u64,
    /// Number of tasks of the open jobs.
    pub tasks: u64,
}

impl OpenWork {
    /// Counts one job with the tasks of this description.
    pub fn of(spec: &JobSpec) -> Self {
        Self { jobs: 1, tasks: spec.tasks }
    }

    /// Estimated bytes that the jobs and their tasks take in a leader's memory.
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

/// Whether one more job fits beside the open jobs into a controller with `memory_mb` of memory; none means unlimited. A
/// refused job can be submitted again once other jobs have ended. A job always fits while no other is open, since no end
/// of another job would ever make room for it.
#[must_use]
pub fn fits_in_memory(spec: &JobSpec, open: OpenWork, memory_mb: Option<f64>) -> bool {
    let Some(memory_mb) = memory_mb else { return true };
    let memory_bytes = memory_mb * 1024.0 * 1024.0;
    let added_bytes = OpenWork::of(spec).memory_bytes() as f64;
    let is_large = added_bytes >= memory_bytes * LARGE_JOB_MIN_FRACTION;
    let fraction = if is_large { LARGE_JOB_MEMORY_FRACTION } else { OPEN_JOBS_MEMORY_FRACTION };
    open.jobs == 0 || open.memory_bytes() as f64 + added_bytes <= memory_bytes * fraction
}

#[cfg(test)]
mod tests;
