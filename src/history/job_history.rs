//! What one controller knows about jobs that have ended, and the queries about jobs that are not known to be open.

use std::num::NonZeroUsize;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use lru::LruCache;
use serde::Deserialize;
use tokio::sync::{Notify, oneshot, watch};

use super::end_sweep::EndSweep;
use super::query_queue::{JobQueryAnswer, QueryCounts, QueryQueue};
use super::visibility::{CancelledJobAnswer, EndVisibility, HiddenCancellations};
use crate::jobs::record::{EndedRecord, ended_key, old_end_key};
use crate::jobs::{End, JobId};
use crate::records::leadership::ConfirmedCancellations;
use crate::settings::Settings;
use crate::store::budget::RequestPriority;
use crate::store::log_limit::LogLimit;
use crate::store::watch_cache::WatchCache;
use crate::store::{StateClient, StoreError};
use crate::sync::lock;

/// Delivers the answer to a query.
pub(super) type Waiter = oneshot::Sender<JobQueryAnswer>;

/// Number of ends whose time of arrival in the watch cache is kept: a new leader takes it as the time of the end. As
/// many as the watch cache keeps.
const MAX_SEEN_ENDS: NonZeroUsize = NonZeroUsize::new(2000).unwrap();
/// How long a query waits for its answer: less than the 2 s for which users wait.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1500);

/// The ends that one controller has in memory, and its queries to the store.
pub struct JobHistory {
    /// Queries that wait to be sent, the ends in memory and the watermark.
    pub(super) queries: Mutex<QueryQueue<Waiter>>,
    /// Wakes `reader` when a query is queued.
    pub(super) queued: Notify,
    sweep: Mutex<EndSweep>,
    /// Wakes `end_sweep_loop` when a sweep is requested.
    sweep_requested: Notify,
    /// When the watch cache learned of the latest ends.
    seen_ends: Mutex<LruCache<JobId, Instant>>,
    /// Wakes requests that wait for the confirmation of a cancellation.
    confirmed: watch::Sender<()>,
    /// Limits the rate of log lines about ends of earlier builds that cannot be decoded, since users repeat their
    /// queries.
    pub(super) undecodable: Mutex<LogLimit>,
}

impl JobHistory {
    /// An empty history. The size of a batch of queries follows from the state service's limit for one
    /// compare-and-swap.
    pub fn new(settings: &Settings) -> Self {
        // The state service allows four conditions per change, and a query about a job has at most four. So a batch
        // holds as many jobs as a compare-and-swap may have changes.
        let batch_size = settings.params.state.txn_ops as usize;
        Self {
            queries: Mutex::new(QueryQueue::new(batch_size)),
            queued: Notify::new(),
            sweep: Mutex::default(),
            sweep_requested: Notify::new(),
            seen_ends: Mutex::new(LruCache::new(MAX_SEEN_ENDS)),
            confirmed: watch::channel(()).0,
            undecodable: Mutex::default(),
        }
    }

    /// How a job ended, if this controller has the end in memory.
    pub fn known_end(&self, id: &str) -> Option<End> {
        lock(&self.queries).known_end(id)
    }

    /// Records an end that is in the store, so that queries about the job are answered from memory.
    pub fn note_end(&self, id: &JobId, end: End) {
        lock(&self.queries).note_end(id, end);
    }

    /// Records ends with the revisions at which they were stored.
    pub fn note_ends<'a>(&self, ends: impl Iterator<Item = (&'a str, End, u64)>) {
        let mut queries = lock(&self.queries);
        for (id, end, version) in ends {
            match end {
                End::Done => queries.note_end(id, end),
                End::Cancelled => queries.note_cancellation(&id.into(), version),
            }
        }
    }

    /// Records that the watch cache has learned of an end.
    pub fn note_end_seen(&self, id: &JobId, now: Instant) {
        lock(&self.seen_ends).put(id.clone(), now);
    }

    /// When the watch cache learned of this job's end; none if it has not, or has learned of too many ends since.
    pub fn end_seen_at(&self, id: &str) -> Option<Instant> {
        lock(&self.seen_ends).peek(id).copied()
    }

    /// Records that a job's cancellation was stored at revision `version` or before.
    pub fn note_cancellation(&self, id: &JobId, version: u64) {
        lock(&self.queries).note_cancellation(id, version);
    }

    /// Records that a leader's loaded cluster state holds all ends up to this revision.
    pub fn advance_watermark(&self, watermark: u64) {
        lock(&self.queries).advance_watermark(watermark);
    }

    /// Adopts the confirmed cancellations as the watch has last reported them, and wakes the requests that wait for them.
    pub fn set_confirmed(&self, stored: &ConfirmedCancellations) {
        let is_new = lock(&self.queries).set_confirmed(stored);
        if is_new {
            self.confirmed.send_replace(());
        }
    }

    /// Notifies of each change of the confirmed cancellations.
    pub fn subscribe_confirmed(&self) -> watch::Receiver<()> {
        self.confirmed.subscribe()
    }

    /// The highest watermark of any leader that this controller has learned of.
    pub fn watermark(&self) -> u64 {
        lock(&self.queries).watermark()
    }

    /// Whether users may be told of this end (`visibility`).
    pub fn end_visibility(&self, id: &JobId, end: End) -> EndVisibility {
        lock(&self.queries).end_visibility(id, end)
    }

    /// Reads from the store at which revision a job's cancellation was stored, and records it.
    ///
    /// # Errors
    ///
    /// The state service refused or did not answer.
    pub async fn fetch_cancellation_version(&self, store: &StateClient, id: &JobId) -> Result<(), StoreError> {
        for key in [ended_key(id, End::Cancelled), old_end_key(id)] {
            if let Some(item) = store.get(&key, RequestPriority::Query).await? {
                // An end that was lost and written again was first stored at an earlier revision.
                match EndedRecord::deserialize(&item.value) {
                    Ok(ended) if !ended.restored => lock(&self.queries).note_exact_cancellation(id, item.version),
                    _ => self.note_cancellation(id, item.version),
                }
                return Ok(());
            }
        }
        Ok(())
    }

    /// What users are told of a job whose cancellation is stored ([`QueryQueue::answer_for_cancelled`]).
    pub fn answer_for_cancelled(&self, id: &JobId, watch_cache: &WatchCache) -> Option<CancelledJobAnswer> {
        lock(&self.queries).answer_for_cancelled(id, watch_cache)
    }

    /// How many cancellations users may not be told of yet.
    pub fn hidden_cancellations(&self) -> HiddenCancellations {
        lock(&self.queries).hidden_cancellations()
    }

    /// Calls a function with the end sweep's progress, under its lock.
    pub(super) fn with_sweep<R>(&self, call: impl FnOnce(&mut EndSweep) -> R) -> R {
        call(&mut lock(&self.sweep))
    }

    /// Waits until a sweep is requested.
    pub(super) async fn sweep_requested(&self) {
        self.sweep_requested.notified().await;
    }

    /// Queries the store about a job. The answer is the state as of some moment after this call.
    pub async fn query_job(&self, id: &JobId) -> JobQueryAnswer {
        let (waiter, answer) = oneshot::channel();
        let now = Instant::now();
        let (queued, half_full) = {
            let mut queries = lock(&self.queries);
            (queries.enqueue(id, waiter, now).is_ok(), queries.is_half_full())
        };
        if half_full {
            self.with_sweep(|sweep| sweep.request(now));
            self.sweep_requested.notify_one();
        }
        if !queued {
            return JobQueryAnswer::Unavailable;
        }
        self.queued.notify_one();
        match tokio::time::timeout(QUERY_TIMEOUT, answer).await {
            Ok(Ok(answer)) => answer,
            _ => JobQueryAnswer::Unavailable,
        }
    }

    /// Queries the store about a job without waiting for the answer. If the job has ended,
    /// [`known_end`](Self::known_end) returns the end once the answer has come, until it is evicted.
    pub fn prefetch_end(&self, id: &JobId) {
        let (waiter, _) = oneshot::channel();
        if lock(&self.queries).enqueue(id, waiter, Instant::now()).is_ok() {
            self.queued.notify_one();
        }
    }

    /// Sizes of the queue and the cache, for display.
    pub fn counts(&self) -> QueryCounts {
        lock(&self.queries).counts()
    }
}
