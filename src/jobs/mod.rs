//! Jobs: the description that users send and its checks, their form in the store, admission control, and the limits on
//! open jobs.

pub mod admission;
pub mod limits;
pub mod record;

use serde::{Deserialize, Serialize};

pub use crate::protocol::jobs::{JobId, JobSpec, MAX_TASKS, Shape, Urgency, is_valid_job_id};

/// How a job ended. Both ends are final.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    /// All of the job's tasks finished.
    Done,
    /// The job's user cancelled it.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// Numbers of running and done tasks of a job, for display.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TaskCounts {
    /// Number of tasks that run now.
    pub running: u64,
    /// Number of tasks that are done.
    pub done: u64,
}

#[cfg(test)]
pub mod tests;
