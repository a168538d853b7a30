//! What is stored of leadership and ownership.

use serde::{Deserialize, Serialize};

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

/// The loaded book of the owner with this token holds every end up to this revision of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watermark {
    pub token: u64,
    pub revision: u64,
}

/// Workers cannot reach the owner of this token, but reach this controller.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Plea {
    pub node: String,
    pub token: u64,
    pub machines: usize,
}
