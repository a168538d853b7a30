//! The watch cache: open jobs, leadership and declarations as of one revision of the store.
//!
//! Every controller keeps one. It changes only by listings and watch responses of the store. What this controller has
//! itself seen stored ahead of its watch is kept elsewhere (`history`), so that no late response can restore an older
//! state. Its size follows the open jobs. `control_keys` holds the keys of the election lease and of leadership,
//! `cached_jobs` the jobs, and `reload` reads all of it anew.

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
use crate::jobs::record::{JobRecord, OPEN};
use crate::records::leadership::{LeaderRecord, LeaseHolder, TakeoverRequest, Watermark};

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
    /// Jobs that are open now and were not known before.
    pub opened: Vec<JobId>,
    /// Jobs that were open and have ended.
    pub ended: Vec<JobId>,
    /// Whether a key of the election lease or of leadership changed, or the cache was read anew.
    pub leadership: bool,
    /// Whether a specification or a status of a declaration changed.
    pub declared: bool,
}

impl CacheChanges {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

fn decode<T: DeserializeOwned>(key: &str, value: &Value) -> Option<T> {
    T::deserialize(value).map_err(|error| warn!(key, %error, "stored value not decoded; ignoring it")).ok()
}

impl WatchCache {
    /// The revision up to which everything stored is included; 0 before the cache was read for the first time.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether the cache is complete: false until it was read once, and while it is read anew.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Marks the cache as too far behind for a watch: it has to be read anew.
    pub fn require_reload(&mut self) {
        self.ready = false;
    }

    /// The revision after which the next watch begins; none while the cache has to be read anew.
    pub fn watch_revision(&self) -> Option<u64> {
        self.ready.then_some(self.revision)
    }

    /// The description of an open job.
    pub fn open_job(&self, id: &str) -> Option<&Arc<JobRecord>> {
        self.jobs.open.get(id)
    }

    /// All open jobs, in no particular order.
    pub fn open_jobs(&self) -> impl Iterator<Item = (&JobId, &Arc<JobRecord>)> {
        self.jobs.open.iter()
    }

    /// Number of open jobs and of their tasks, all together.
    pub fn open_work(&self) -> OpenWork {
        self.jobs.open_work
    }

    /// The description of a job that ended lately.
    pub fn ended_record(&self, id: &str) -> Option<Arc<JobRecord>> {
        self.jobs.ended.peek(id).map(|ended| ended.record.clone())
    }

    /// A revision at which a job that ended lately had ended.
    pub fn revision_with_end(&self, id: &str) -> Option<u64> {
        self.jobs.ended.peek(id).map(|ended| ended.revision_with_end)
    }

    /// A revision at which a job that ended lately had not ended yet.
    pub fn revision_before_end(&self, id: &str) -> Option<u64> {
        self.jobs.ended.peek(id).map(|ended| ended.revision_before_end)
    }

    /// Number of ended jobs whose descriptions are kept.
    pub fn ended_count(&self) -> usize {
        self.jobs.ended.len()
    }

    /// The lease holder and the version of its key; none if nobody holds the lease or the value cannot be decoded.
    pub fn lease_holder(&self) -> Option<&(LeaseHolder, u64)> {
        self.control.lease_holder.value()
    }

    /// The version of the lease holder's key, decodable or not; 0 if nobody holds the lease.
    pub fn lease_holder_version(&self) -> u64 {
        self.control.lease_holder.version()
    }

    /// The version of a lease holder's key whose value cannot be decoded.
    pub fn unreadable_lease_holder(&self) -> Option<u64> {
        self.control.lease_holder.undecodable_version()
    }

    /// The leader record and its version, which is the leader's fencing token; none if there is none or it cannot be
    /// decoded.
    pub fn leader_record(&self) -> Option<&(LeaderRecord, u64)> {
        self.control.leader_record.value()
    }

    /// The version of the leader record, decodable or not; 0 if there is none.
    pub fn leader_record_version(&self) -> u64 {
        self.control.leader_record.version()
    }

    /// The last takeover request, and its version.
    pub fn takeover_request(&self) -> Option<&(TakeoverRequest, u64)> {
        self.control.takeover_request.value()
    }

    /// The watermark that a leader has stored for controllers that do not hear it.
    pub fn watermark(&self) -> Option<&Watermark> {
        self.control.watermark.as_ref()
    }

    /// All declarations.
    pub fn registry(&self) -> &DeclarationRegistry {
        &self.registry
    }

    /// All declarations, mutable because values are decoded when they are first asked for.
    pub fn registry_mut(&mut self) -> &mut DeclarationRegistry {
        &mut self.registry
    }

    /// Whether jobs may exist under the keys of an earlier build; true as long as that is not known.
    pub fn may_hold_old_jobs(&self) -> bool {
        self.control.upgraded.is_none_or(|upgraded| upgraded.old_jobs_kept)
    }

    /// Records that this controller's own transaction has made `lease_holder` the holder at `version`, ahead of the
    /// watch. It has no effect once the watch has passed that version: the cache then already has this or a newer
    /// state.
    pub fn note_lease_holder(&mut self, lease_holder: LeaseHolder, version: u64) {
        if version > self.revision {
            self.control.lease_holder = VersionedKey::Decoded((lease_holder, version));
        }
    }

    /// Does the same for this controller's leader record. True if that record is still the newest one known.
    pub fn note_leader_record(&mut self, leader_record: LeaderRecord, version: u64) -> bool {
        if version > self.revision && version > self.leader_record_version() {
            self.control.leader_record = VersionedKey::Decoded((leader_record, version));
        }
        self.leader_record_version() == version
    }

    /// Applies a watch response; events that are already included are skipped. None while the cache is read anew. A
    /// response requested before the reload may be applied after it: it begins no later than the reload.
    pub fn apply_watch(&mut self, response: &WatchResponse) -> Option<CacheChanges> {
        if !self.ready {
            return None;
        }
        let mut changes = CacheChanges::default();
        let included = self.revision;
        for event in response.log.iter().filter(|event| event.version > included) {
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
        } else if let Some(id) = key.strip_prefix(OPEN) {
            self.jobs.add(id, key, &event.value, changes);
        }
    }

    fn apply_drop(&mut self, key: &str, version: u64, changes: &mut CacheChanges) {
        if self.control.remove(key) {
            changes.leadership = true;
        } else if records::is_declaration_key(key) {
            changes.declared |= self.registry.remove_key(key, version);
        } else if let Some(id) = key.strip_prefix(OPEN) {
            self.jobs.end(id, version.saturating_sub(1), version, changes);
        }
    }
}

#[cfg(test)]
mod tests;
