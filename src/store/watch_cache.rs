//! The watch cache: open jobs, leadership and declarations as of one revision of the store.
//!
//! Every controller keeps a watch cache. It changes only by listings and watch responses of the store. What this
//! controller has itself seen stored ahead of its watch is kept elsewhere (`history`), so that no delayed response can
//! restore an older state. The size of the cache grows with the number of open jobs. `control_keys` holds the keys of
//! the election lease and of leadership, `cached_jobs` the jobs, and `reload` reloads the whole cache.

mod cached_jobs;
mod control_keys;
mod reload;

use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde_json::Value;
use tracing::warn;

use self::cached_jobs::CachedJobs;
use self::control_keys::{ControlKeys, VersionedKey};
pub use self::reload::CacheReload;
use super::client::{WatchEvent, WatchResponse};
use crate::declarations::{DeclarationRegistry, records};
use crate::jobs::JobId;
use crate::jobs::limits::OpenWork;
use crate::jobs::record::{JobRecord, OPEN_JOB_PREFIX};
use crate::records::leadership::{
    ConfirmationStatus, ConfirmedCancellations, LeaderRecord, LeaseHolder, RevisionBounds, TakeoverRequest, Watermark,
};

/// Open jobs, the keys of the election lease and of leadership, and declarations, as of one revision of the store.
#[derive(Debug, Default)]
pub struct WatchCache {
    revision: u64,
    ready: bool,
    jobs: CachedJobs,
    control: ControlKeys,
    registry: DeclarationRegistry,
}

/// What an update of the watch cache has changed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct CacheChanges {
    /// Jobs that are now open and were not cached before.
    pub opened: Vec<JobId>,
    /// Jobs that were open and have ended.
    pub ended: Vec<JobId>,
    /// Whether a key of the election lease or of leadership changed, or the cache was reloaded.
    pub leadership: bool,
    /// Whether a specification or a status of a declaration changed.
    pub declared: bool,
}

impl CacheChanges {
    /// Returns whether nothing changed.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Decodes the value of a stored key; logs a warning and returns none if that fails.
fn decode<T: DeserializeOwned>(key: &str, value: &Value) -> Option<T> {
    T::deserialize(value).map_err(|error| warn!(key, %error, "stored value not decoded; ignoring it")).ok()
}

impl WatchCache {
    /// Returns the revision up to which all stored changes are included; 0 before the cache was first loaded.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether the cache is complete: false until it was first loaded, and during a reload.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Marks the cache as too far behind for a watch, so that it is reloaded.
    pub fn require_reload(&mut self) {
        self.ready = false;
    }

    /// Returns the revision after which the next watch begins; none while the cache has to be reloaded.
    pub fn watch_revision(&self) -> Option<u64> {
        self.ready.then_some(self.revision)
    }

    /// Returns the record of an open job.
    pub fn open_job(&self, id: &str) -> Option<&Arc<JobRecord>> {
        self.jobs.open.get(id)
    }

    /// Iterates over all open jobs, in no particular order.
    pub fn open_jobs(&self) -> impl Iterator<Item = (&JobId, &Arc<JobRecord>)> {
        self.jobs.open.iter()
    }

    /// Returns the total work of all open jobs: the number of jobs and of their tasks.
    pub fn open_work(&self) -> OpenWork {
        self.jobs.open_work
    }

    /// Returns the record of a job that ended recently.
    pub fn ended_record(&self, id: &str) -> Option<Arc<JobRecord>> {
        self.jobs.ended.peek(id).map(|ended| ended.record.clone())
    }

    /// Returns a revision at which a recently ended job had ended.
    pub fn revision_with_end(&self, id: &str) -> Option<u64> {
        self.end_revisions(id).map(|bounds| bounds.at_most)
    }

    /// Returns the revisions between which a recently ended job had ended.
    pub fn end_revisions(&self, id: &str) -> Option<RevisionBounds> {
        self.jobs
            .ended
            .peek(id)
            .map(|ended| RevisionBounds { after: ended.revision_before_end, at_most: ended.revision_with_end })
    }

    /// Returns the number of ended jobs whose records are kept.
    pub fn ended_count(&self) -> usize {
        self.jobs.ended.len()
    }

    /// Returns the lease holder and the version of its key; none if there is no holder or the value cannot be decoded.
    pub fn lease_holder(&self) -> Option<&(LeaseHolder, u64)> {
        self.control.lease_holder.value()
    }

    /// Returns the version of the lease holder's key, decodable or not; 0 if there is no holder.
    pub fn lease_holder_version(&self) -> u64 {
        self.control.lease_holder.version()
    }

    /// Returns the version of the lease holder's key if its value cannot be decoded.
    pub fn undecodable_lease_holder_version(&self) -> Option<u64> {
        self.control.lease_holder.undecodable_version()
    }

    /// Returns the leader record and its version, which is the leader's fencing token; none if the record does not
    /// exist or cannot be decoded.
    pub fn leader_record(&self) -> Option<&(LeaderRecord, u64)> {
        self.control.leader_record.value()
    }

    /// Returns the version of the leader record, decodable or not; 0 if there is none.
    pub fn leader_record_version(&self) -> u64 {
        self.control.leader_record.version()
    }

    /// Returns the last takeover request and its version.
    pub fn takeover_request(&self) -> Option<&(TakeoverRequest, u64)> {
        self.control.takeover_request.value()
    }

    /// Returns the watermark up to which every cancellation is confirmed, as it is stored.
    pub fn watermark(&self) -> Option<&Watermark> {
        self.confirmed_cancellations().map(|confirmed| &confirmed.watermark)
    }

    /// Returns the confirmed cancellations, as they are stored.
    pub fn confirmed_cancellations(&self) -> Option<&ConfirmedCancellations> {
        self.control.confirmed.value().map(|(confirmed, _)| confirmed)
    }

    /// Returns the version of the key of the confirmed cancellations, decodable or not; 0 if it does not exist.
    pub fn confirmed_cancellations_version(&self) -> u64 {
        self.control.confirmed.version()
    }

    /// Returns whether what is stored confirms a cancellation of this job that was stored within these bounds. Builds
    /// before stored confirmations may have confirmed more.
    pub fn stored_confirmation(&self, id: &str, stored: RevisionBounds) -> ConfirmationStatus {
        match &self.control.confirmed {
            VersionedKey::Absent => ConfirmationStatus::Unconfirmed,
            VersionedKey::Decoded((confirmed, _)) => confirmed.status(id, stored),
            VersionedKey::Undecodable(_) => ConfirmationStatus::Undetermined,
        }
    }

    /// Returns whether no user had been told of a cancellation of this job, which was stored within these bounds, at the
    /// revision of this cache. That can be known only of cancellations since all leaders store confirmations before they
    /// tell users.
    pub fn is_proven_unconfirmed(&self, id: &str, stored: RevisionBounds) -> bool {
        let stored_first_since =
            self.leader_record().and_then(|(record, version)| record.confirmations_stored_since(*version));
        stored_first_since.is_some_and(|since| stored.after >= since)
            && self.stored_confirmation(id, stored) == ConfirmationStatus::Unconfirmed
    }

    /// Returns all declarations.
    pub fn registry(&self) -> &DeclarationRegistry {
        &self.registry
    }

    /// Returns all declarations, mutable because values are decoded on first access.
    pub fn registry_mut(&mut self) -> &mut DeclarationRegistry {
        &mut self.registry
    }

    /// Returns whether jobs may exist under the keys of an earlier build; true as long as that is unknown.
    pub fn may_hold_old_jobs(&self) -> bool {
        self.control.upgraded.is_none_or(|upgraded| upgraded.old_jobs_kept)
    }

    /// Records, ahead of the watch, that this controller's own transaction has made `lease_holder` the holder at
    /// `version`. This has no effect once the watch has passed that version: the cache then already has this or a newer
    /// state.
    pub fn note_lease_holder(&mut self, lease_holder: LeaseHolder, version: u64) {
        if version > self.revision {
            self.control.lease_holder = VersionedKey::Decoded((lease_holder, version));
        }
    }

    /// Records, ahead of the watch, that this controller's own transaction has written `leader_record` at `version`.
    /// Like [`note_lease_holder`](Self::note_lease_holder), it has no effect once the watch has passed that version.
    /// Returns true if this record is still the newest one known.
    pub fn note_leader_record(&mut self, leader_record: LeaderRecord, version: u64) -> bool {
        if version > self.revision && version > self.leader_record_version() {
            self.control.leader_record = VersionedKey::Decoded((leader_record, version));
        }
        self.leader_record_version() == version
    }

    /// Applies a watch response and skips events that are already included. Returns none during a reload. A response
    /// requested before the reload may be applied after it: it begins no later than the reload.
    pub fn apply_watch(&mut self, response: &WatchResponse) -> Option<CacheChanges> {
        if !self.ready {
            return None;
        }
        let mut changes = CacheChanges::default();
        let included_revision = self.revision;
        for event in response.log.iter().filter(|event| event.version > included_revision) {
            self.apply_event(event, &mut changes);
        }
        self.revision = self.revision.max(response.revision);
        Some(changes)
    }

    fn apply_event(&mut self, event: &WatchEvent, changes: &mut CacheChanges) {
        if let Some(key) = &event.write {
            self.apply_write(key, event, changes);
        } else if let Some(key) = &event.drop {
            self.apply_drop(key, event.version, changes);
        }
    }

    fn apply_write(&mut self, key: &str, event: &WatchEvent, changes: &mut CacheChanges) {
        if self.control.set(key, &event.value, event.version) {
            changes.leadership = true;
        } else if records::is_declaration_key(key) {
            changes.declared |= self.registry.put_key(key, &event.value, event.version);
        } else if let Some(id) = key.strip_prefix(OPEN_JOB_PREFIX) {
            self.jobs.add_open(id, key, &event.value, changes);
        }
    }

    fn apply_drop(&mut self, key: &str, version: u64, changes: &mut CacheChanges) {
        if self.control.remove(key) {
            changes.leadership = true;
        } else if records::is_declaration_key(key) {
            changes.declared |= self.registry.remove_key(key, version);
        } else if let Some(id) = key.strip_prefix(OPEN_JOB_PREFIX) {
            self.jobs.move_to_ended(id, version.saturating_sub(1), version, changes);
        }
    }
}

#[cfg(test)]
mod tests;
