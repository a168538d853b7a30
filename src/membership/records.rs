//! What is stored of leadership and ownership.

use serde::{Deserialize, Serialize};

use crate::jobs::record::{ASSIGNMENT, TAKEOVER_REQUEST};
use crate::store::{Change, Condition};

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Leader {
    pub node: String,
    pub incarnation: String,
}

/// One owner's record. With several owners there is one record each, parting teams and machines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Assignment {
    pub node: String,
    pub incarnation: String,
    pub teams: Vec<String>,
}

/// The loaded cluster state of the owner with this token holds every end up to this revision of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watermark {
    pub token: u64,
    pub revision: u64,
}

/// Workers cannot reach the owner of this token, but reach this controller.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TakeoverRequest {
    pub node: String,
    pub token: u64,
    pub machines: usize,
}

impl TakeoverRequest {
    /// Whichever takeover request comes last stands; one for an owner that was replaced is refused.
    pub fn transaction(&self) -> ([Condition; 1], [Change; 1]) {
        let value = serde_json::to_value(self).unwrap_or_default();
        ([Condition::at(ASSIGNMENT, self.token)], [Change::write(TAKEOVER_REQUEST, value)])
    }
}
