//! Jobs that have ended and of which tasks are still stored: which are done, and when the cancelled ones ended.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Deserialize;
use tokio::task::JoinSet;
use tracing::error;

use crate::jobs::record::{DONE, EndedRecord, JobRecord, ended_key, ended_keys, old_job_key, time_of_day_ms};
use crate::jobs::{End, JobId};
use crate::scheduling::scheduler::Scheduler;
use crate::store::budget::RequestPriority;
use crate::store::client::KeyValue;
use crate::store::{CompareAndSwapOutcome, Condition, StoreError};

/// Descriptions of ended jobs asked for at once.
const MAX_CONCURRENT_READS: usize = 8;

/// When a job ended, as far as its stored record says.
#[derive(Debug, Clone, Copy)]
pub(super) struct StoredEnd {
    /// By the time of day of whoever wrote it: it says how soon a machine is returned, and no more.
    pub(super) at: Instant,
    /// A revision of the store at which the end was not stored yet.
    pub(super) earlier_revision: u64,
}

/// The ended jobs that a load has found tasks of.
#[derive(Debug, Default)]
pub(super) struct EndedJobs {
    /// Their ids.
    pub(super) ids: HashSet<JobId>,
    /// When those ended whose records were read from the store.
    pub(super) stored_ends: HashMap<JobId, StoredEnd>,
}

/// A stored job that has ended.
#[derive(Debug)]
pub(super) struct EndedJob {
    record: JobRecord,
    /// How long ago it ended.
    age: Duration,
    /// A revision of the store at which its end was not stored yet.
    earlier_revision: u64,
}

impl EndedJobs {
    /// Reads the records of these jobs from the store; those that it does not have are left out.
    pub(super) async fn read_records(
        &mut self,
        scheduler: &Arc<Scheduler>,
        ids: Vec<JobId>,
    ) -> Result<HashMap<JobId, Arc<JobRecord>>, StoreError> {
        let mut records = HashMap::new();
        for ids in ids.chunks(MAX_CONCURRENT_READS) {
            let mut asked = JoinSet::new();
            for id in ids {
                let (scheduler, id) = (scheduler.clone(), id.clone());
                asked.spawn(async move { (id.clone(), read_ended_job(&scheduler, &id).await) });
            }
            while let Some(answer) = asked.join_next().await {
                let Ok((id, read)) = answer else { continue };
                if let Some(EndedJob { record, age, earlier_revision }) = read? {
                    let now = Instant::now();
                    let at = now.checked_sub(age).unwrap_or(now);
                    self.stored_ends.insert(id.clone(), StoredEnd { at, earlier_revision });
                    records.insert(id, Arc::new(record));
                }
            }
        }
        Ok(records)
    }
}

/// Which of these jobs, none of them open, are done.
pub(super) async fn find_done_jobs(scheduler: &Scheduler, ids: BTreeSet<JobId>) -> Result<HashSet<JobId>, StoreError> {
    let ids: Vec<JobId> = ids.into_iter().collect();
    let at_once = scheduler.settings.params.state.conditions().max(1);
    let mut done = HashSet::new();
    for ids in ids.chunks(at_once) {
        let absent: Vec<Condition> = ids.iter().map(|id| Condition::absent(ended_key(id, End::Done))).collect();
        if let CompareAndSwapOutcome::Failed(keys) =
            scheduler.store.client.compare_and_swap(&absent, &[], RequestPriority::Critical).await?
        {
            done.extend(keys.iter().filter_map(|key| key.strip_prefix(DONE)).map(JobId::from));
        }
    }
    Ok(done)
}

/// Reads a job that has ended, wherever it is kept.
async fn read_ended_job(scheduler: &Scheduler, id: &str) -> Result<Option<EndedJob>, StoreError> {
    for key in ended_keys(id).into_iter().chain([old_job_key(id)]) {
        if let Some(item) = scheduler.store.client.get(&key, RequestPriority::Critical).await? {
            return Ok(decode_ended_job(id, &key, &item));
        }
    }
    Ok(None)
}

/// Decodes one value; none if no acceptance would have let it through.
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
    let ended_ms = EndedRecord::deserialize(&item.value).map_or(u64::MAX, |ended| ended.ended_ms);
    let age = Duration::from_millis(time_of_day_ms().saturating_sub(ended_ms));
    Some(EndedJob { record, age, earlier_revision: item.version.saturating_sub(1) })
}
