//! The queue of queries about jobs that are not known to be open, and the cache of ends learned lately.
//!
//! Pure: queries and answers of the store go in, batches and answers to the waiters come out. A query joins an earlier
//! one about the same job only while that one has not been sent: what the store answered before a query arrived must not
//! answer it, since the job may have been accepted in between.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::end_cache::EndCache;
use super::job_transactions::{JobLocation, locate_job};
use super::visibility::{EndVisibility, HiddenCancellations, PendingCancellations, end_visibility};
use crate::jobs::{End, JobId};

/// Largest number of waiters for all jobs together; each also holds a connection.
const MAX_WAITERS: usize = 1024;
/// Largest number of queued jobs, in batches: about what one controller's share of the request rate answers within a
/// second.
const MAX_BATCHES: usize = 8;
/// A query that has waited longer is not sent any more: its user has given up or is about to.
const QUERY_EXPIRY: Duration = Duration::from_millis(1200);

/// What the store said about a job, as of some moment after the query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobQueryAnswer {
    /// No key of the job exists: it was never accepted.
    NeverAccepted,
    /// The job is open.
    Open,
    /// The job has ended, and how.
    Ended(End),
    /// Not known now: the limits are used up, or the store did not answer.
    Unavailable,
}

/// More queries wait than can be answered in time.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many job queries wait")]
pub struct QueueFull;

/// A job with everybody who waits for an answer about it.
type JobQuery<W> = (JobId, Vec<W>);

/// Jobs that are queried together, each once.
pub struct QueryBatch<W> {
    queries: Vec<JobQuery<W>>,
}

impl<W> QueryBatch<W> {
    /// The jobs of the batch, each once.
    pub fn ids(&self) -> impl Iterator<Item = &JobId> {
        self.queries.iter().map(|(id, _)| id)
    }

    /// Whether the batch has no job.
    pub fn is_empty(&self) -> bool {
        self.queries.is_empty()
    }

    /// The jobs with everybody who waits for each.
    pub fn into_queries(self) -> Vec<JobQuery<W>> {
        self.queries
    }

    /// Every waiter with the same answer.
    pub fn answer_all(self, answer: JobQueryAnswer) -> Vec<(W, JobQueryAnswer)> {
        self.queries.into_iter().flat_map(|(_, waiters)| waiters).map(|waiter| (waiter, answer)).collect()
    }
}

/// The jobs taken from the queue.
pub struct NextBatch<W> {
    /// Jobs to query now.
    pub due: QueryBatch<W>,
    /// Jobs whose waiters have waited for too long to be worth a query.
    pub expired: QueryBatch<W>,
}

/// A batch after the store's answer.
pub struct ResolvedBatch<W> {
    /// The waiters of all other jobs with their answers.
    pub answers: Vec<(W, JobQueryAnswer)>,
    /// Jobs found under an earlier build's key, which have to be read one by one.
    pub old_jobs: QueryBatch<W>,
}

/// Sizes for display.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueryCounts {
    /// Ends in the cache.
    pub cached_ends: usize,
    /// Jobs in the queue.
    pub queued_jobs: usize,
    /// Waiters for all of these jobs.
    pub waiters: usize,
}

/// Queries that wait to be sent to the store, and ends learned lately. `W` is whatever an answer is delivered through;
/// this type never uses it.
pub struct QueryQueue<W> {
    ends: EndCache,
    cancellations: PendingCancellations,
    /// Jobs with the time of their first query, in this order.
    queue: VecDeque<(JobId, Instant)>,
    /// Who waits for each job in the queue.
    waiting: HashMap<JobId, Vec<W>>,
    waiters: usize,
    batch_size: usize,
}

impl<W> QueryQueue<W> {
    /// An empty queue. At most `batch_size` jobs are queried at once.
    pub fn new(batch_size: usize) -> Self {
        Self {
            ends: EndCache::default(),
            cancellations: PendingCancellations::default(),
            queue: VecDeque::new(),
            waiting: HashMap::new(),
            waiters: 0,
            batch_size: batch_size.max(1),
        }
    }

    /// How a job ended, if that was learned lately.
    pub fn known_end(&self, id: &str) -> Option<End> {
        self.ends.get(id)
    }

    /// Records an end that stands in the store.
    pub fn note_end(&mut self, id: &str, end: End) {
        self.ends.insert(id, end);
    }

    /// Records that a cancellation was stored at this revision or before.
    pub fn note_cancellation(&mut self, id: &JobId, version: u64) {
        self.ends.insert(id, End::Cancelled);
        if !self.ends.is_visible(id) {
            self.cancellations.note_version(id, version);
        }
    }

    /// Marks a cancellation that stands in the leader's loaded cluster state as visible.
    pub fn mark_visible(&mut self, id: &JobId) {
        self.ends.insert(id, End::Cancelled);
        self.ends.mark_visible(id);
        // An id that does not fit into the cache goes on being judged by its version.
        if self.ends.is_visible(id) {
            self.cancellations.forget(id);
        }
    }

    /// A leader's loaded cluster state holds all ends up to this revision.
    pub fn advance_watermark(&mut self, watermark: u64) {
        self.cancellations.advance_watermark(watermark);
    }

    /// The highest watermark known: all ends up to this revision are in a leader's loaded cluster state.
    pub fn watermark(&self) -> u64 {
        self.cancellations.watermark()
    }

    /// Whether users may be told of this end. A cancellation found visible stays so.
    pub fn end_visibility(&mut self, id: &JobId, end: End) -> EndVisibility {
        let (version, watermark) = (self.cancellations.version(id), self.cancellations.watermark());
        let found = end_visibility(end, self.ends.is_visible(id), version, watermark);
        if found == EndVisibility::Visible && end == End::Cancelled {
            self.mark_visible(id);
        }
        found
    }

    /// How many cancellations users may not be told of yet.
    pub fn hidden_cancellations(&self) -> HiddenCancellations {
        self.cancellations.hidden_cancellations()
    }

    /// Whether so many jobs are queued that some may be refused soon.
    pub fn is_half_full(&self) -> bool {
        self.queue.len() >= self.batch_size * MAX_BATCHES / 2
    }

    /// Queues a query. It joins earlier ones about the same job that have not been sent.
    ///
    /// # Errors
    ///
    /// [`QueueFull`] if too many queries wait.
    pub fn enqueue(&mut self, id: &JobId, waiter: W, now: Instant) -> Result<(), QueueFull> {
        let full = self.waiters >= MAX_WAITERS;
        if let Some(others) = self.waiting.get_mut(id).filter(|_| !full) {
            others.push(waiter);
        } else if full || self.queue.len() >= self.batch_size * MAX_BATCHES {
            return Err(QueueFull);
        } else {
            self.queue.push_back((id.clone(), now));
            self.waiting.insert(id.clone(), vec![waiter]);
        }
        self.waiters += 1;
        Ok(())
    }

    /// Whether any job waits to be put into a batch.
    pub fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Takes the next jobs from the queue.
    pub fn next_batch(&mut self, now: Instant) -> NextBatch<W> {
        let (mut due, mut expired) = (Vec::new(), Vec::new());
        while due.len() < self.batch_size {
            let Some((id, since)) = self.queue.pop_front() else { break };
            let waiters = self.waiting.remove(&id).unwrap_or_default();
            self.waiters -= waiters.len();
            let worth_sending = now.saturating_duration_since(since) <= QUERY_EXPIRY;
            if worth_sending { &mut due } else { &mut expired }.push((id, waiters));
        }
        NextBatch { due: QueryBatch { queries: due }, expired: QueryBatch { queries: expired } }
    }

    /// Answers the jobs of a batch by the keys whose conditions of absence have failed.
    pub fn resolve(&mut self, batch: QueryBatch<W>, failed: &[String]) -> ResolvedBatch<W> {
        let locations = locate_jobs(failed);
        let (mut answers, mut old_jobs) = (Vec::new(), Vec::new());
        for (id, waiters) in batch.queries {
            let answer = match locations.get(&*id) {
                Some(JobLocation::EarlierBuild) => {
                    old_jobs.push((id, waiters));
                    continue;
                }
                Some(JobLocation::Ended(end)) => {
                    self.note_end(&id, *end);
                    JobQueryAnswer::Ended(*end)
                }
                Some(JobLocation::Open) => JobQueryAnswer::Open,
                None => JobQueryAnswer::NeverAccepted,
            };
            answers.extend(waiters.into_iter().map(|waiter| (waiter, answer)));
        }
        ResolvedBatch { answers, old_jobs: QueryBatch { queries: old_jobs } }
    }

    /// Sizes for display.
    pub fn counts(&self) -> QueryCounts {
        QueryCounts { cached_ends: self.ends.len(), queued_jobs: self.queue.len(), waiters: self.waiters }
    }
}

/// The location of each job by its existing keys. A key of an earlier build counts only if there is no other.
fn locate_jobs(keys: &[String]) -> HashMap<&str, JobLocation> {
    let mut locations: HashMap<&str, JobLocation> = HashMap::new();
    for (id, location) in keys.iter().filter_map(|key| locate_job(key)) {
        if location != JobLocation::EarlierBuild || !locations.contains_key(id) {
            locations.insert(id, location);
        }
    }
    locations
}

#[cfg(test)]
mod tests;
