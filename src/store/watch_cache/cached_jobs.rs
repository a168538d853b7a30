//! The cached jobs: all that are open, and the last of those that have ended.

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

/// Number of ended jobs whose descriptions are kept: about half a KiB each.
const MAX_ENDED: NonZeroUsize = NonZeroUsize::new(2000).unwrap();

/// A job that has ended.
#[derive(Debug)]
pub(super) struct EndedJob {
    pub(super) record: Arc<JobRecord>,
    /// A revision at which the job had not ended yet.
    pub(super) revision_before_end: u64,
    /// A revision at which the job had ended.
    pub(super) revision_with_end: u64,
}

/// Open jobs and those that ended last.
#[derive(Debug)]
pub(super) struct CachedJobs {
    pub(super) open: HashMap<JobId, Arc<JobRecord>>,
    /// The sum over all open jobs.
    pub(super) open_work: OpenWork,
    /// Descriptions of the jobs that ended last. A new leader needs them for tasks that may still run; reading them one
    /// by one from the store took it seconds.
    pub(super) ended: LruCache<JobId, EndedJob>,
}

impl Default for CachedJobs {
    fn default() -> Self {
        Self { open: HashMap::new(), open_work: OpenWork::default(), ended: LruCache::new(MAX_ENDED) }
    }
}

impl CachedJobs {
    /// Adds an open job, unless it is known or cannot be scheduled.
    pub(super) fn add(&mut self, id: &str, key: &str, value: &Value, changes: &mut CacheChanges) {
        if self.open.contains_key(id) {
            return;
        }
        let Some(record) = decode_job(id, key, value) else { return };
        let id: JobId = id.into();
        self.open_work += OpenWork::of(&record.spec);
        changes.opened.push(id.clone());
        self.open.insert(id, Arc::new(record));
    }

    /// Removes an open job: a job leaves its open key only by ending. Its description is kept for a while.
    pub(super) fn end(
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

/// Decodes an open job and checks it. Values that no controller would have accepted overflow times and memory of
/// whoever calculates with them.
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
