//! What a job is: its description as users send it, its checks, and its form in the store.

pub mod admission;
pub mod limits;
pub mod record;

use serde::{Deserialize, Serialize};

pub use crate::protocol::jobs::{JobId, JobSpec, MOST_TASKS, Shape, Urgency, well_formed_id};

/// How a job ended. There is no way back from either.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    /// All tasks finished.
    Done,
    /// Its user cancelled it.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// How many tasks of a job run and are done, for display.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TaskCounts {
    /// Tasks that run now.
    pub running: u64,
    /// Tasks that are done.
    pub done: u64,
}

#[cfg(test)]
pub mod tests;
