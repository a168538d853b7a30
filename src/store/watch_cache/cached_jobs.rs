//! The cached jobs: all open jobs, and the most recently ended ones.

use std::collections::HashMap;
use std::num::NonZeroUsize;
use std::sync::Arc;

use lru::LruCache;
use serde_json::Value;
use tracing::warn;

use super::{CacheChanges, decode};
use crate::jobs::JobId;
use crate::jobs::limits::OpenWork;
use crate::jobs::record::JobRecord;

/// Maximum number of ended jobs whose records are kept, about half a KiB each.
const MAX_ENDED_JOBS: NonZeroUsize = NonZeroUsize::new(2000).unwrap();

/// The record of an ended job, and revisions between which it ended.
#[derive(Debug)]
pub(super) struct EndedJob {
    pub(super) record: Arc<JobRecord>,
    /// A revision at which the job had not ended yet.
    pub(super) revision_before_end: u64,
    /// A revision at which the job had ended.
    pub(super) revision_with_end: u64,
}

/// All open jobs and the most recently ended ones.
#[derive(Debug)]
pub(super) struct CachedJobs {
    pub(super) open: HashMap<JobId, Arc<JobRecord>>,
    /// Total work of all open jobs.
    pub(super) open_work: OpenWork,
    /// Records of the jobs that ended last. A new leader needs them for tasks that may still run; reading them one by
    /// one from the store takes seconds.
    pub(super) ended: LruCache<JobId, EndedJob>,
}

impl Default for CachedJobs {
    fn default() -> Self {
        Self { open: HashMap::new(), open_work: OpenWork::default(), ended: LruCache::new(MAX_ENDED_JOBS) }
    }
}

impl CachedJobs {
    /// Adds an open job, unless it is already cached or its record is invalid.
    pub(super) fn add_open(&mut self, id: &str, key: &str, value: &Value, changes: &mut CacheChanges) {
        if self.open.contains_key(id) {
            return;
        }
        let Some(record) = decode_job(id, key, value) else { return };
        let id: JobId = id.into();
        self.open_work += OpenWork::of(&record.spec);
        changes.opened.push(id.clone());
        self.open.insert(id, Arc::new(record));
    }

    /// Moves an open job to the ended ones, where its record is kept for a while. A job's open key is dropped only when
    /// the job ends.
    pub(super) fn move_to_ended(
        &mut self,
        id: &str,
        revision_before_end: u64,
        revision_with_end: u64,
        changes: &mut CacheChanges,
    ) {
        if let Some((id, record)) = self.open.remove_entry(id) {
            self.open_work -= OpenWork::of(&record.spec);
            self.ended.put(id.clone(), EndedJob { record, revision_before_end, revision_with_end });
            changes.ended.push(id);
        }
    }
}

/// Decodes the record of an open job and validates it. Values that no controller would have accepted could overflow
/// times and memory in later calculations.
fn decode_job(id: &str, key: &str, value: &Value) -> Option<JobRecord> {
    let record = decode::<JobRecord>(key, value)?;
    if &*record.spec.id != id {
        warn!(key, "stored open job found under another job's key; ignoring the job");
        return None;
    }
    if let Err(error) = record.spec.check() {
        warn!(key, %error, "stored open job invalid; ignoring the job");
        return None;
    }
    Some(record)
}
