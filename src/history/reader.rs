//! Sends the queries about jobs that are not known to be open to the store: one request compares the key versions of a
//! batch of jobs.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Deserialize;
use tokio::sync::Semaphore;
use tracing::{debug, warn};

use super::job_history::{JobHistory, Waiter};
use super::job_transactions::{adopt_job, never_accepted_conditions};
use super::query_queue::{JobQueryAnswer, QueryBatch};
use crate::jobs::JobId;
use crate::jobs::record::{JobRecord, OldEndRecord, old_end_key, old_job_key};
use crate::store::budget::RequestPriority;
use crate::store::client::KeyValue;
use crate::store::handle::StateStore;
use crate::store::log_limit::LogLimit;
use crate::store::{CompareAndSwapOutcome, StoreError};
use crate::sync::lock;

/// Pause before a batch is filled, so that queries that arrive together share a request. Users hardly notice it.
const GATHER_TIME: Duration = Duration::from_millis(15);
/// Largest number of requests in flight: with more than one, a slow answer does not delay the other queries.
const MAX_IN_FLIGHT: usize = 4;

/// What one controller's query loop works on.
pub struct HistoryReader {
    /// The queued queries and the ends in memory.
    pub history: Arc<JobHistory>,
    /// The state service.
    pub store: Arc<StateStore>,
}

/// Sends queued queries in batches. Returns only if the semaphore is closed, which never happens.
pub async fn run(reader: Arc<HistoryReader>) {
    let request_slots = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    loop {
        if !lock(&reader.history.queries).has_queued() {
            reader.history.queued.notified().await;
        }
        tokio::time::sleep(GATHER_TIME).await;
        let Ok(permit) = request_slots.clone().acquire_owned().await else { return };
        // The batch is filled only once the request budget allows its request; until then more queries can join it.
        if let Err(error) = reader.store.client.reserve(RequestPriority::Query).await {
            debug!(%error, "job query batch delayed");
        }
        let batch = {
            let mut queries = lock(&reader.history.queries);
            queries.set_batch_size(max_jobs_per_batch(&reader.store));
            queries.next_batch(Instant::now())
        };
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
        // Sending fails if the waiter has timed out, which is no error.
        let _ = waiter.send(answer);
    }
}

/// The largest number of jobs that one comparison may ask about. The state service allows four conditions per change,
/// and a query about a job has at most four, so it is the number of changes allowed.
fn max_jobs_per_batch(store: &StateStore) -> usize {
    store.client.limits().max_changes
}

/// Sends a batch, using a request that was reserved before. A batch that is too large for the state service is split, and
/// the smaller ones are sent after it.
async fn send_batch(reader: &HistoryReader, batch: QueryBatch<Waiter>) {
    let mut pending = VecDeque::from([batch]);
    while let Some(batch) = pending.pop_front() {
        match compare_batch(reader, &batch).await {
            Ok(failed) => {
                let resolved = lock(&reader.history.queries).resolve(batch, &failed);
                deliver(resolved.answers);
                if !resolved.old_jobs.is_empty() {
                    query_old_jobs(reader, resolved.old_jobs).await;
                }
            }
            Err(StoreError::TooLarge(_)) if batch.len() > max_jobs_per_batch(&reader.store) => {
                pending.extend(batch.split(max_jobs_per_batch(&reader.store)));
            }
            Err(error) => {
                debug!(%error, count = batch.len(), "job query batch failed");
                deliver(batch.answer_all(JobQueryAnswer::Unavailable));
            }
        }
        if !pending.is_empty()
            && let Err(error) = reader.store.client.reserve(RequestPriority::Query).await
        {
            debug!(%error, "job query batch delayed");
        }
    }
}

/// Compares all keys of the jobs of a batch, and returns those that exist.
async fn compare_batch(reader: &HistoryReader, batch: &QueryBatch<Waiter>) -> Result<Vec<String>, StoreError> {
    let may_hold_old_jobs = reader.store.watch_cache().may_hold_old_jobs();
    let conditions: Vec<_> = batch.ids().flat_map(|id| never_accepted_conditions(id, may_hold_old_jobs)).collect();
    reader.store.client.compare_reserved(&conditions).await
}

/// Queries one by one the jobs that were found under an earlier build's key.
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

/// Decodes how a job of an earlier build ended. An end that cannot be decoded is unknown, and users are told to retry.
fn decode_old_end(item: &KeyValue, log_limit: &mut LogLimit) -> JobQueryAnswer {
    match OldEndRecord::deserialize(&item.value) {
        Ok(old) => JobQueryAnswer::Ended(old.end),
        Err(error) => {
            if log_limit.due(Instant::now()) {
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
    // Without an end, the job was accepted in a transaction that was applied after the upgrade and whose result the
    // earlier build never received.
    let Some(item) = reader.store.client.get(&old_job_key(id), RequestPriority::Query).await? else {
        return Ok(JobQueryAnswer::Unavailable);
    };
    // A record that cannot be decoded still shows that the job was accepted: it is reported as open, though never run.
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
        // Another controller has adopted the job meanwhile, or the job has ended; the next query finds it.
        CompareAndSwapOutcome::Failed(_) | CompareAndSwapOutcome::LeaseExpired => Ok(JobQueryAnswer::Unavailable),
    }
}

#[cfg(test)]
mod tests;
