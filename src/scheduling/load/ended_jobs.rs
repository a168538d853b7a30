//! Ended jobs whose task shards are still stored: which of them are done, and when the cancelled ones ended.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Deserialize;
use tokio::task::JoinSet;
use tracing::error;

use crate::jobs::record::{
    DONE_JOB_PREFIX, EndedRecord, JobRecord, ended_key, ended_keys, old_job_key, time_of_day_ms,
};
use crate::jobs::{End, JobId};
use crate::records::leadership::RevisionBounds;
use crate::scheduling::scheduler::Scheduler;
use crate::store::budget::RequestPriority;
use crate::store::client::KeyValue;
use crate::store::{CompareAndSwapOutcome, Condition, StoreError};

/// Maximum number of concurrent reads of ended jobs.
const MAX_CONCURRENT_READS: usize = 8;

/// When a job ended, by its stored record.
#[derive(Debug, Clone, Copy)]
pub(super) struct StoredEnd {
    /// The time of the end, by the wall clock of its writer; only used to decide how soon a machine is returned.
    pub(super) at: Instant,
    /// The revisions between which the end was stored.
    pub(super) revisions: RevisionBounds,
}

/// The ended jobs for which a load has found task shards.
#[derive(Debug, Default)]
pub(super) struct EndedJobs {
    /// The ids of the jobs.
    pub(super) ids: HashSet<JobId>,
    /// The ends of those jobs whose records were read from the store.
    pub(super) stored_ends: HashMap<JobId, StoredEnd>,
}

/// A stored job that has ended.
#[derive(Debug)]
pub(super) struct EndedJob {
    record: JobRecord,
    /// How long ago the job ended.
    age: Duration,
    /// The revisions between which the job's end was stored.
    pub(super) revisions: RevisionBounds,
}

impl EndedJobs {
    /// Reads the records of these jobs from the store; missing ones are left out.
    pub(super) async fn read_records(
        &mut self,
        scheduler: &Arc<Scheduler>,
        ids: Vec<JobId>,
    ) -> Result<HashMap<JobId, Arc<JobRecord>>, StoreError> {
        let mut records = HashMap::new();
        for ids in ids.chunks(MAX_CONCURRENT_READS) {
            let mut reads = JoinSet::new();
            for id in ids {
                let (scheduler, id) = (scheduler.clone(), id.clone());
                reads.spawn(async move { (id.clone(), read_ended_job(&scheduler, &id).await) });
            }
            while let Some(joined) = reads.join_next().await {
                let Ok((id, ended_job)) = joined else { continue };
                if let Some(EndedJob { record, age, revisions }) = ended_job? {
                    let now = Instant::now();
                    let at = now.checked_sub(age).unwrap_or(now);
                    self.stored_ends.insert(id.clone(), StoredEnd { at, revisions });
                    records.insert(id, Arc::new(record));
                }
            }
        }
        Ok(records)
    }
}

/// Finds which of these jobs, none of them open, are done: the condition that their done key is absent fails.
pub(super) async fn find_done_jobs(scheduler: &Scheduler, ids: BTreeSet<JobId>) -> Result<HashSet<JobId>, StoreError> {
    let client = &scheduler.store.client;
    let mut remaining: VecDeque<JobId> = ids.into_iter().collect();
    let mut done = HashSet::new();
    while !remaining.is_empty() {
        let count = remaining.len().min(client.limits().max_conditions().max(1));
        let absent: Vec<Condition> =
            remaining.iter().take(count).map(|id| Condition::absent(ended_key(id, End::Done))).collect();
        match client.compare_and_swap(&absent, &[], RequestPriority::Critical).await {
            Ok(CompareAndSwapOutcome::Failed(keys)) => {
                done.extend(keys.iter().filter_map(|key| key.strip_prefix(DONE_JOB_PREFIX)).map(JobId::from));
            }
            Ok(_) => {}
            // Compared again, fewer at a time: the refusal has lowered the limits.
            Err(StoreError::TooLarge(size)) if !client.limits().admits(&size) => continue,
            Err(error) => return Err(error),
        }
        remaining.drain(..count);
    }
    Ok(done)
}

/// Reads an ended job, under any of its possible keys.
async fn read_ended_job(scheduler: &Scheduler, id: &str) -> Result<Option<EndedJob>, StoreError> {
    for key in ended_keys(id).into_iter().chain([old_job_key(id)]) {
        if let Some(item) = scheduler.store.client.get(&key, RequestPriority::Critical).await? {
            return Ok(decode_ended_job(id, &key, &item));
        }
    }
    Ok(None)
}

/// Decodes a stored ended job. None if the value is invalid: no submission would have been accepted with it.
pub(super) fn decode_ended_job(id: &str, key: &str, item: &KeyValue) -> Option<EndedJob> {
    let record = match JobRecord::deserialize(&item.value) {
        Ok(record) => record,
        Err(error) => {
            error!(%error, key, "stored ended job not decoded; ignoring the job");
            return None;
        }
    };
    if let Err(error) = record.spec.check() {
        error!(%error, key, "stored ended job invalid; ignoring the job");
        return None;
    }
    if *record.spec.id != *id {
        error!(key, job = %record.spec.id, "stored ended job found under another job's key; ignoring the job");
        return None;
    }
    let ended = EndedRecord::deserialize(&item.value).ok();
    let ended_ms = ended.as_ref().map_or(u64::MAX, |ended| ended.ended_ms);
    let age = Duration::from_millis(time_of_day_ms().saturating_sub(ended_ms));
    // An end that was lost and written again was first stored at an earlier revision, and so was one of an earlier
    // build, which stored it under another key.
    let is_first_write = ended.is_some_and(|ended| !ended.restored);
    let revisions = if is_first_write {
        RevisionBounds::exact(item.version)
    } else {
        RevisionBounds { after: 0, at_most: item.version }
    };
    Some(EndedJob { record, age, revisions })
}
