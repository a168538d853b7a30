//! Values stored for the election and leadership: the lease holder, the leader record, the watermark and takeover
//! requests.

use serde::{Deserialize, Serialize};

use crate::jobs::record::{LEADER, TAKEOVER_REQUEST};
use crate::protocol::state::{Change, Condition};

/// Value of the lease holder's key, which lives as long as the election lease in the state service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// Name of the controller that holds the lease.
    pub node: String,
    /// The leading process (`Controller::incarnation`).
    pub incarnation: String,
}

/// One leader's record. With several leaders there is one record each, parting teams and machines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the controller that leads.
    pub node: String,
    /// The leading process. A restarted controller has another one and does not lead by its predecessor's record.
    pub incarnation: String,
    /// Names of the teams whose jobs it leads; at present all teams of the settings.
    pub teams: Vec<String>,
}

/// The loaded cluster state of the leader with this fencing token holds every end up to this revision of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watermark {
    /// Token of the leader: the version of its leader record's key.
    #[serde(rename = "token")]
    pub fencing_token: u64,
    /// Revision of the store up to which every end is included.
    pub revision: u64,
}

/// Workers cannot reach the leader of this fencing token, but reach this controller.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TakeoverRequest {
    /// Name of the controller that asks.
    pub node: String,
    /// Token of the leader that the workers cannot reach.
    #[serde(rename = "token")]
    pub fencing_token: u64,
    /// Number of workers that came back after they were redirected to it.
    pub machines: usize,
}

impl TakeoverRequest {
    /// Whichever takeover request comes last stands; one for a leader that was replaced is refused.
    pub fn transaction(&self) -> ([Condition; 1], [Change; 1]) {
        let value = serde_json::to_value(self).unwrap_or_default();
        ([Condition::at(LEADER, self.fencing_token)], [Change::write(TAKEOVER_REQUEST, value)])
    }
}
