//! Answers to users.

use serde::{Deserialize, Serialize};

/// The state of a job as users see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// Accepted; no task runs.
    Pending,
    /// At least one task runs.
    Running,
    /// Every task has its result. Final.
    Done,
    /// Cancelled by its user. Final.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// The answer to a submission, a query or a cancellation.
#[derive(Debug, Serialize, Deserialize)]
pub struct JobAnswer {
    /// The job's id.
    #[serde(rename = "uid")]
    pub id: String,
    /// Its state.
    pub status: Status,
    /// Number of its tasks that have a result.
    pub done: u64,
    /// Number of its tasks that run.
    pub running: u64,
}
