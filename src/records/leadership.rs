//! Values stored for the election and for leadership: lease holder, leader record, watermark and takeover request.

use serde::{Deserialize, Serialize};

use crate::jobs::record::{LEADER_RECORD_KEY, TAKEOVER_REQUEST_KEY};
use crate::protocol::state::{Change, Condition};

/// Value of the lease holder's key, which is attached to the election lease and exists as long as that.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// Name of the controller that holds the lease.
    pub node: String,
    /// Incarnation of the process that holds the lease (`Membership::incarnation`).
    pub incarnation: String,
}

/// Leader record. With several leaders there would be one record for each, which divide teams and machines among them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the controller that leads.
    pub node: String,
    /// Incarnation of the leading process. A restarted controller has a new incarnation and doesn't lead by the record
    /// of its predecessor.
    pub incarnation: String,
    /// Names of the teams whose jobs the leader schedules; at present all teams of the settings.
    pub teams: Vec<String>,
}

/// Watermark of a leader: the loaded cluster state of the leader with this fencing token holds every end up to this
/// revision of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watermark {
    /// Fencing token of the leader: the version of the leader record's key.
    #[serde(rename = "token")]
    pub fencing_token: u64,
    /// Revision of the store up to which the cluster state holds every end.
    pub revision: u64,
}

/// Request to take over from the leader with this fencing token, which workers can't reach although they reach the
/// requesting controller.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TakeoverRequest {
    /// Name of the requesting controller.
    pub node: String,
    /// Fencing token of the leader that the workers can't reach.
    #[serde(rename = "token")]
    pub fencing_token: u64,
    /// Number of workers that came back after they were redirected to the leader.
    pub machines: usize,
}

impl TakeoverRequest {
    /// Conditions and changes that store the request. A later takeover request replaces an earlier one; a request for a
    /// leader that was replaced is refused.
    pub fn transaction(&self) -> ([Condition; 1], [Change; 1]) {
        let value = serde_json::to_value(self).unwrap_or_default();
        ([Condition::at(LEADER_RECORD_KEY, self.fencing_token)], [Change::write(TAKEOVER_REQUEST_KEY, value)])
    }
}
