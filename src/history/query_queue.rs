//! The queue of queries about jobs that are not known to be open, with the cache of ends and the watermark.
//!
//! This module does no I/O: queries and the store's answers go in, batches and answers to the waiters come out. A query
//! joins an earlier one about the same job only while the earlier one has not been sent: an answer that the store gave
//! before a query arrived must not answer the query, since the job may have been accepted in between.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::end_cache::EndCache;
use super::job_transactions::{JobLocation, locate_job};
use super::visibility::{CancelledJobAnswer, EndVisibility, HiddenCancellations, PendingCancellations, end_visibility};
use crate::jobs::{End, JobId};
use crate::records::leadership::ConfirmedCancellations;
use crate::store::watch_cache::WatchCache;

/// Largest number of waiters for all jobs together. Each waiter also holds a connection.
const MAX_WAITERS: usize = 1024;
/// Largest number of queued jobs, in full batches: about as many as one controller's share of the request rate answers
/// within a second.
const MAX_QUEUED_BATCHES: usize = 8;
/// Longest time for which a query is queued. It is not sent after that: its user has given up or is about to.
const QUERY_EXPIRY: Duration = Duration::from_millis(1200);

/// The store's answer about a job, as of some moment after the query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobQueryAnswer {
    /// No key of the job exists: it was never accepted.
    NeverAccepted,
    /// The job is open.
    Open,
    /// The job has ended in this way.
    Ended(End),
    /// No answer for now: a limit was reached, or the store did not answer.
    Unavailable,
}

/// The error of a query that is refused because more queries wait than can be answered in time.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("job query refused: too many queries are queued")]
pub struct QueueFull;

/// A job with the waiters for an answer about it.
type JobQuery<W> = (JobId, Vec<W>);

/// Jobs that are queried together, each once, with their waiters.
pub struct QueryBatch<W> {
    queries: Vec<JobQuery<W>>,
}

impl<W> QueryBatch<W> {
    /// The jobs of the batch, each once.
    pub fn ids(&self) -> impl Iterator<Item = &JobId> {
        self.queries.iter().map(|(id, _)| id)
    }

    /// The number of jobs.
    pub fn len(&self) -> usize {
        self.queries.len()
    }

    /// Whether the batch has no job.
    pub fn is_empty(&self) -> bool {
        self.queries.is_empty()
    }

    /// Splits the batch into batches of at most `size` jobs (at least 1).
    pub fn split(self, size: usize) -> Vec<Self> {
        let mut batches = Vec::new();
        let mut queries = self.queries;
        while !queries.is_empty() {
            let rest = queries.split_off(queries.len().min(size.max(1)));
            batches.push(Self { queries: std::mem::replace(&mut queries, rest) });
        }
        batches
    }

    /// The jobs, each with its waiters.
    pub fn into_queries(self) -> Vec<JobQuery<W>> {
        self.queries
    }

    /// Gives every waiter of the batch the same answer.
    pub fn answer_all(self, answer: JobQueryAnswer) -> Vec<(W, JobQueryAnswer)> {
        self.queries.into_iter().flat_map(|(_, waiters)| waiters).map(|waiter| (waiter, answer)).collect()
    }
}

/// The jobs that [`QueryQueue::next_batch`] takes from the queue.
pub struct NextBatch<W> {
    /// Jobs to query now.
    pub due: QueryBatch<W>,
    /// Jobs whose queries have waited too long to be sent.
    pub expired: QueryBatch<W>,
}

/// The result of a batch after the store's answer.
pub struct ResolvedBatch<W> {
    /// The waiters of all jobs but `old_jobs`, with their answers.
    pub answers: Vec<(W, JobQueryAnswer)>,
    /// Jobs found only under an earlier build's key, which have to be read one by one.
    pub old_jobs: QueryBatch<W>,
}

/// Sizes of the queue and the cache, for display.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueryCounts {
    /// Ends in the cache.
    pub cached_ends: usize,
    /// Jobs in the queue.
    pub queued_jobs: usize,
    /// Waiters for all queued jobs.
    pub waiters: usize,
}

/// Queries that wait to be sent to the store, the ends in memory, and the cancellations above the watermark. `W` is the
/// handle through which the caller delivers an answer; the queue only stores it.
pub struct QueryQueue<W> {
    ends: EndCache,
    cancellations: PendingCancellations,
    /// Queued jobs with the time of their first query, oldest first.
    queue: VecDeque<(JobId, Instant)>,
    /// The waiters for each job in the queue.
    waiting: HashMap<JobId, Vec<W>>,
    /// Number of all waiters in `waiting`.
    waiters: usize,
    /// Largest number of jobs in a batch.
    batch_size: usize,
}

impl<W> QueryQueue<W> {
    /// An empty queue that puts at most `batch_size` jobs into a batch.
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

    /// Sets the largest number of jobs in a batch from now on.
    pub fn set_batch_size(&mut self, batch_size: usize) {
        self.batch_size = batch_size.max(1);
    }

    /// How a job ended, if the end is in memory.
    pub fn known_end(&self, id: &str) -> Option<End> {
        self.ends.get(id)
    }

    /// Records an end that is in the store.
    pub fn note_end(&mut self, id: &str, end: End) {
        self.ends.insert(id, end);
    }

    /// Records that a job's cancellation was stored at revision `version` or before.
    pub fn note_cancellation(&mut self, id: &JobId, version: u64) {
        self.ends.insert(id, End::Cancelled);
        if !self.ends.is_visible(id) {
            self.cancellations.note_version(id, version);
        }
    }

    /// Records the revision at which a job's cancellation was stored, as the store itself tells it.
    pub fn note_exact_cancellation(&mut self, id: &JobId, version: u64) {
        self.ends.insert(id, End::Cancelled);
        if !self.ends.is_visible(id) {
            self.cancellations.note_exact_version(id, version);
        }
    }

    /// What users are told of a job whose cancellation is stored, by a watch cache that was proven to be up to date since
    /// they asked. None if it is not known well enough when the cancellation was stored, or if an earlier build may have
    /// confirmed it.
    pub fn answer_for_cancelled(&mut self, id: &JobId, watch_cache: &WatchCache) -> Option<CancelledJobAnswer> {
        if self.end_visibility(id, End::Cancelled) == EndVisibility::Visible {
            return Some(CancelledJobAnswer::Cancelled);
        }
        let bounds = [watch_cache.end_revisions(id), self.cancellations.exact_version(id)];
        let is_unconfirmed = bounds.into_iter().flatten().any(|bounds| watch_cache.is_proven_unconfirmed(id, bounds));
        is_unconfirmed.then_some(CancelledJobAnswer::Open)
    }

    /// Marks a confirmed cancellation as visible to users.
    pub fn mark_visible(&mut self, id: &JobId) {
        self.ends.insert(id, End::Cancelled);
        self.ends.mark_visible(id);
        // A cancellation whose id does not fit into the cache keeps its version, which decides its visibility.
        if self.ends.is_visible(id) {
            self.cancellations.forget(id);
        }
    }

    /// Records that a leader's loaded cluster state holds all ends up to this revision.
    pub fn advance_watermark(&mut self, watermark: u64) {
        self.cancellations.advance_watermark(watermark);
    }

    /// Adopts the confirmed cancellations as the watch has last reported them. Returns whether they have changed.
    pub fn set_confirmed(&mut self, stored: &ConfirmedCancellations) -> bool {
        self.cancellations.set_stored(stored)
    }

    /// The highest watermark known: all ends up to this revision are in a leader's loaded cluster state.
    pub fn watermark(&self) -> u64 {
        self.cancellations.watermark()
    }

    /// Whether users may be told of this end. A cancellation that was found visible stays visible.
    pub fn end_visibility(&mut self, id: &JobId, end: End) -> EndVisibility {
        let (version, watermark) = (self.cancellations.version(id), self.cancellations.limit_for(id));
        let visibility = end_visibility(end, self.ends.is_visible(id), version, watermark);
        if visibility == EndVisibility::Visible && end == End::Cancelled {
            self.mark_visible(id);
        }
        visibility
    }

    /// How many cancellations users may not be told of yet.
    pub fn hidden_cancellations(&self) -> HiddenCancellations {
        self.cancellations.hidden_cancellations()
    }

    /// Whether the queue of jobs is at least half full, so that queries may be refused soon.
    pub fn is_half_full(&self) -> bool {
        self.queue.len() >= self.batch_size * MAX_QUEUED_BATCHES / 2
    }

    /// Queues a query. It joins an earlier one about the same job that has not been sent.
    ///
    /// # Errors
    ///
    /// [`QueueFull`] if too many waiters or too many jobs are queued.
    pub fn enqueue(&mut self, id: &JobId, waiter: W, now: Instant) -> Result<(), QueueFull> {
        let full = self.waiters >= MAX_WAITERS;
        if let Some(others) = self.waiting.get_mut(id).filter(|_| !full) {
            others.push(waiter);
        } else if full || self.queue.len() >= self.batch_size * MAX_QUEUED_BATCHES {
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
            let Some((id, queued_at)) = self.queue.pop_front() else { break };
            let waiters = self.waiting.remove(&id).unwrap_or_default();
            self.waiters -= waiters.len();
            let worth_sending = now.saturating_duration_since(queued_at) <= QUERY_EXPIRY;
            if worth_sending { &mut due } else { &mut expired }.push((id, waiters));
        }
        NextBatch { due: QueryBatch { queries: due }, expired: QueryBatch { queries: expired } }
    }

    /// Answers the jobs of a batch, given the keys whose conditions of absence have failed (`failed`).
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

    /// Sizes of the queue and the cache, for display.
    pub fn counts(&self) -> QueryCounts {
        QueryCounts { cached_ends: self.ends.len(), queued_jobs: self.queue.len(), waiters: self.waiters }
    }
}

/// The location of each job that has one of these existing keys. An earlier build's key counts only if the job has no
/// other key.
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
