//! Sends the queries about jobs that are not known to be open to the store, many in one comparison.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Deserialize;
use tokio::sync::Semaphore;
use tracing::{debug, warn};

use super::job_history::{JobHistory, Waiter};
use super::job_transactions::{adopt_job, never_accepted_conditions};
use super::query_queue::{JobQueryAnswer, QueryBatch};
use crate::jobs::JobId;
use crate::jobs::record::{JobRecord, OldEnd, old_end_key, old_job_key};
use crate::store::budget::RequestPriority;
use crate::store::client::KeyValue;
use crate::store::handle::StateStore;
use crate::store::log_limit::LogLimit;
use crate::store::{CompareAndSwapOutcome, StoreError};
use crate::sync::lock;

/// Pause before a batch is filled, so that simultaneous queries share it; hardly noticed by users.
const GATHER_TIME: Duration = Duration::from_millis(15);
/// Comparisons sent at the same time: a slow answer does not delay the other queries.
const MAX_IN_FLIGHT: usize = 4;

/// Sends the queries of one controller.
pub struct HistoryReader {
    /// The queries, and the ends in memory.
    pub history: Arc<JobHistory>,
    /// The state service.
    pub store: Arc<StateStore>,
}

/// Sends queries for ever, as they come.
pub async fn run(reader: Arc<HistoryReader>) {
    let free = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    loop {
        if !lock(&reader.history.queries).has_queued() {
            reader.history.queued.notified().await;
        }
        tokio::time::sleep(GATHER_TIME).await;
        let Ok(permit) = free.clone().acquire_owned().await else { return };
        // The batch is filled only once its request may be sent: until then more queries can join it.
        if let Err(error) = reader.store.client.reserve(RequestPriority::Query).await {
            debug!(%error, "job query batch delayed");
        }
        let batch = lock(&reader.history.queries).next_batch(Instant::now());
        deliver(batch.expired.answer_all(JobQueryAnswer::Unavailable));
        if !batch.due.is_empty() {
            let reader = reader.clone();
            tokio::spawn(async move {
                send_batch(&reader, batch.due).await;
                drop(permit);
            });
        }
    }
}

fn deliver(answers: Vec<(Waiter, JobQueryAnswer)>) {
    for (waiter, answer) in answers {
        // A waiter that has given up is no error.
        let _ = waiter.send(answer);
    }
}

async fn send_batch(reader: &HistoryReader, batch: QueryBatch<Waiter>) {
    let may_hold_old_jobs = reader.store.watch_cache().may_hold_old_jobs();
    let conditions: Vec<_> = batch.ids().flat_map(|id| never_accepted_conditions(id, may_hold_old_jobs)).collect();
    match reader.store.client.compare_reserved(&conditions).await {
        Ok(failed) => {
            let resolved = lock(&reader.history.queries).resolve(batch, &failed);
            deliver(resolved.answers);
            if !resolved.old_jobs.is_empty() {
                query_old_jobs(reader, resolved.old_jobs).await;
            }
        }
        Err(error) => {
            debug!(%error, count = batch.ids().count(), "job query batch failed");
            deliver(batch.answer_all(JobQueryAnswer::Unavailable));
        }
    }
}

/// Queries the jobs that were found under an earlier build's key, one by one.
async fn query_old_jobs(reader: &HistoryReader, batch: QueryBatch<Waiter>) {
    for (id, waiters) in batch.into_queries() {
        let answer = match query_old_job(reader, &id).await {
            Ok(answer) => answer,
            Err(error) => {
                debug!(job = %id, %error, "job query failed for a job of an earlier build");
                JobQueryAnswer::Unavailable
            }
        };
        if let JobQueryAnswer::Ended(end) = answer {
            reader.history.note_end(&id, end);
        }
        deliver(waiters.into_iter().map(|waiter| (waiter, answer)).collect());
    }
}

/// Decodes how a job of an earlier build ended. If that cannot be decoded, nobody knows the end, and users are told to
/// come again.
fn decode_old_end(item: &KeyValue, limit: &mut LogLimit) -> JobQueryAnswer {
    match OldEnd::deserialize(&item.value) {
        Ok(old) => JobQueryAnswer::Ended(old.end),
        Err(error) => {
            if limit.due(Instant::now()) {
                warn!(
                    key = item.path,
                    %error,
                    "stored job end of an earlier build not decoded; answering its users with 503"
                );
            }
            JobQueryAnswer::Unavailable
        }
    }
}

async fn query_old_job(reader: &HistoryReader, id: &JobId) -> Result<JobQueryAnswer, StoreError> {
    if let Some(item) = reader.store.client.get(&old_end_key(id), RequestPriority::Query).await? {
        return Ok(decode_old_end(&item, &mut lock(&reader.history.undecodable)));
    }
    // An acceptance whose answer the earlier build never received, applied after the upgrade.
    let Some(item) = reader.store.client.get(&old_job_key(id), RequestPriority::Query).await? else {
        return Ok(JobQueryAnswer::Unavailable);
    };
    // A record that cannot be decoded still shows that the job was accepted: it is never forgotten, though never run.
    let Ok(record) = JobRecord::deserialize(&item.value) else { return Ok(JobQueryAnswer::Open) };
    let adoption = adopt_job(&record, item.version);
    let outcome = reader
        .store
        .client
        .compare_and_swap(&adoption.conditions, &adoption.changes, RequestPriority::Critical)
        .await?;
    match outcome {
        CompareAndSwapOutcome::Applied(_) => {
            warn!(job = %id, "late acceptance of an earlier build adopted; scheduling the job");
            Ok(JobQueryAnswer::Open)
        }
        // Another controller was faster; the next query finds the job.
        CompareAndSwapOutcome::Failed(_) | CompareAndSwapOutcome::LeaseExpired => Ok(JobQueryAnswer::Unavailable),
    }
}

#[cfg(test)]
mod tests;
