//! What users are answered.

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    Pending,
    Running,
    Done,
    Withdrawn,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct JobAnswer {
    #[serde(rename = "uid")]
    pub id: String,
    pub status: Status,
    pub done: u64,
    pub running: u64,
}
