//! Values stored for the election and for leadership: lease holder, leader record, watermark and takeover request.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::jobs::JobId;
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
    /// Present if this leader confirms no cancellation before the confirmation is stored. None for a leader of a build
    /// that also confirms cancellations by messages between controllers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stored_confirmations: Option<StoredConfirmations>,
}

/// States that no leader since a revision has confirmed a cancellation before [`ConfirmedCancellations`] was stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredConfirmations {
    /// The revision; none if it is the version of the leader record that contains this.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub since: Option<u64>,
}

impl LeaderRecord {
    /// Returns a revision, given the version of this record: of every cancellation that was stored after it, the
    /// confirmation is stored before any user is told. None if this leader does not store confirmations first.
    pub fn confirmations_stored_since(&self, version: u64) -> Option<u64> {
        self.stored_confirmations.map(|confirmations| confirmations.since.unwrap_or(version))
    }
}

impl StoredConfirmations {
    /// What a new leader record states, given the record and the version that it replaces. A leader whose predecessor
    /// stored confirmations first continues; any other can speak only for the time since its own record.
    pub fn after(replaced: Option<&(LeaderRecord, u64)>) -> Self {
        Self { since: replaced.and_then(|(record, version)| record.confirmations_stored_since(*version)) }
    }
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

/// The cancellations that users may be told of, as the leader stores them before anybody is told.
///
/// A cancellation is confirmed if it was stored up to `through` and its job is not in `held`. Each stored value confirms
/// all that the one before it confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmedCancellations {
    /// Every cancellation up to this watermark is confirmed. Builds that do not know the other fields use it alone.
    #[serde(flatten)]
    pub watermark: Watermark,
    /// Revision of the store up to which every cancellation is confirmed except those of `held`; 0 from a build that
    /// stores the watermark alone.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub through: u64,
    /// Jobs whose cancellations are not confirmed, since a machine may still start a task of theirs.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub held: BTreeSet<JobId>,
}

// The signature is given by serde.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(revision: &u64) -> bool {
    *revision == 0
}

impl ConfirmedCancellations {
    /// Returns the revision up to which cancellations are confirmed unless they are held.
    pub fn last_revision(&self) -> u64 {
        self.through.max(self.watermark.revision)
    }

    /// Returns the revision up to which a cancellation of this job is confirmed.
    pub fn limit_for(&self, id: &str) -> u64 {
        if self.held.contains(id) { self.watermark.revision } else { self.last_revision() }
    }

    /// Returns whether this value confirms a cancellation of this job.
    pub fn status(&self, id: &str, stored: RevisionBounds) -> ConfirmationStatus {
        let limit = self.limit_for(id);
        if stored.at_most <= limit {
            ConfirmationStatus::Confirmed
        } else if stored.after >= limit || self.held.contains(id) {
            ConfirmationStatus::Unconfirmed
        } else {
            ConfirmationStatus::Undetermined
        }
    }
}

/// Revisions between which a key was stored, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RevisionBounds {
    /// A revision at which the key was not stored yet.
    pub after: u64,
    /// A revision at which the key was stored.
    pub at_most: u64,
}

impl RevisionBounds {
    /// Bounds of a key that was stored at this revision.
    pub fn exact(revision: u64) -> Self {
        Self { after: revision.saturating_sub(1), at_most: revision }
    }

    /// Whether the bounds leave one revision alone.
    pub fn is_exact(self) -> bool {
        self.at_most <= self.after.saturating_add(1)
    }
}

/// Whether a cancellation is confirmed by what is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfirmationStatus {
    /// Users may be told of the cancellation, and may have been told.
    Confirmed,
    /// No user has been told of the cancellation.
    Unconfirmed,
    /// The revision at which the cancellation was stored is not known well enough to tell.
    Undetermined,
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

#[cfg(test)]
mod tests;
