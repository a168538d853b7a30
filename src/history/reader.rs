//! Asks the store about jobs that are not known to be open, many in one comparison.

use std::num::NonZeroUsize;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lru::LruCache;
use serde::Deserialize;
use tokio::sync::{Notify, Semaphore, oneshot};
use tracing::{debug, warn};

use super::moves::{self, not_there};
use super::query_queue::{Batch, QueryQueue, Verdict};
use super::sweep::Sweep;
use super::visibility::Visible;

use crate::jobs::record::{JobRecord, OldEnd, ended_key, old_end_key, old_job_key};
use crate::jobs::{End, JobId};
use crate::settings::Settings;
use crate::store::budget::RequestPriority;
use crate::store::client::KeyValue;
use crate::store::handle::StateStore;
use crate::store::log_limit::LogLimit;
use crate::store::{CompareAndSwapOutcome, StateClient, StoreError};
use crate::sync::lock;

type Waiter = oneshot::Sender<Verdict>;

/// Lets a moment's questions go together; hardly noticed by whoever asks.
const GATHER: Duration = Duration::from_millis(15);
/// Comparisons under way: a slow answer does not keep the others waiting.
const UNDER_WAY: usize = 4;
/// Ends of which it is kept when they were heard of: a new leader counts from there. As many as the watch cache keeps.
const HEARD: NonZeroUsize = NonZeroUsize::new(2000).unwrap();
/// Whoever asks hears by then, whatever became of it: users wait for 2 s.
const ANSWER_WITHIN: Duration = Duration::from_millis(1500);

/// The questions of one controller.
pub struct History {
    queries: Mutex<QueryQueue<Waiter>>,
    wanted: Notify,
    sweep: Mutex<Sweep>,
    sweep_wanted: Notify,
    /// When the watch cache told of ends, of the last ones.
    heard: Mutex<LruCache<JobId, Instant>>,
    /// Ends of earlier builds that cannot be read: their users ask again and again.
    unreadable: Mutex<LogLimit>,
}

impl History {
    /// Sized by the state service's limit of conditions in one transaction.
    pub fn new(settings: &Settings) -> Self {
        // A transaction may hold four conditions for each change, and a job takes four at the most.
        let batch = settings.params.state.txn_ops as usize;
        Self {
            queries: Mutex::new(QueryQueue::new(batch)),
            wanted: Notify::new(),
            sweep: Mutex::default(),
            sweep_wanted: Notify::new(),
            heard: Mutex::new(LruCache::new(HEARD)),
            unreadable: Mutex::default(),
        }
    }

    /// How a job ended, if this controller has lately seen it stored.
    pub fn ended(&self, id: &str) -> Option<End> {
        lock(&self.queries).ended(id)
    }

    /// Notes an end that stands in the store, so that it is answered without asking.
    pub fn note_end(&self, id: &JobId, end: End) {
        lock(&self.queries).note_end(id, end);
    }

    /// Ends with the revisions at which they were stored.
    pub fn note_ends<'a>(&self, ends: impl Iterator<Item = (&'a str, End, u64)>) {
        let mut queries = lock(&self.queries);
        for (id, end, version) in ends {
            match end {
                End::Done => queries.note_end(id, end),
                End::Cancelled => queries.note_cancellation(&id.into(), version),
            }
        }
    }

    /// The watch cache tells of an end.
    pub fn heard(&self, id: &JobId, now: Instant) {
        lock(&self.heard).put(id.clone(), now);
    }

    /// When the watch cache told of this end, if it was lately.
    pub fn heard_at(&self, id: &str) -> Option<Instant> {
        lock(&self.heard).peek(id).copied()
    }

    /// A cancellation that was stored at this revision, or before.
    pub fn note_cancellation(&self, id: &JobId, version: u64) {
        lock(&self.queries).note_cancellation(id, version);
    }

    /// A cancellation that stands in this leader's loaded cluster state.
    pub fn show(&self, id: &JobId) {
        lock(&self.queries).show(id);
    }

    /// A leader's loaded cluster state holds all ends up to this revision.
    pub fn advance(&self, watermark: u64) {
        lock(&self.queries).advance(watermark);
    }

    /// The highest watermark of any leader that was heard of here.
    pub fn watermark(&self) -> u64 {
        lock(&self.queries).watermark()
    }

    /// Whether users may hear of this end (`visibility`).
    pub fn visible(&self, id: &JobId, end: End) -> Visible {
        lock(&self.queries).visible(id, end)
    }

    /// Asks the state service when a cancellation was stored, for whoever was told of it without.
    pub async fn learn_version(&self, store: &StateClient, id: &JobId) -> Result<(), StoreError> {
        for key in [ended_key(id, End::Cancelled), old_end_key(id)] {
            if let Some(item) = store.get(&key, RequestPriority::Query).await? {
                self.note_cancellation(id, item.version);
                return Ok(());
            }
        }
        Ok(())
    }

    /// Cancellations whose versions are kept, and those of them above the watermark.
    pub fn hidden(&self) -> [usize; 2] {
        lock(&self.queries).hidden()
    }

    /// The reading of many ends at once.
    pub fn sweep<R>(&self, with: impl FnOnce(&mut Sweep) -> R) -> R {
        with(&mut lock(&self.sweep))
    }

    /// Until more is asked than can be compared.
    pub async fn sweep_wanted(&self) {
        self.sweep_wanted.notified().await;
    }

    /// What the store says of a job, as of some moment after this call.
    pub async fn ask(&self, id: &JobId) -> Verdict {
        let (waiter, answer) = oneshot::channel();
        let now = Instant::now();
        let (taken, pressed) = {
            let mut queries = lock(&self.queries);
            (queries.ask(id, waiter, now).is_ok(), queries.pressed())
        };
        if pressed {
            self.sweep(|sweep| sweep.want(now));
            self.sweep_wanted.notify_one();
        }
        if !taken {
            return Verdict::Later;
        }
        self.wanted.notify_one();
        match tokio::time::timeout(ANSWER_WITHIN, answer).await {
            Ok(Ok(verdict)) => verdict,
            _ => Verdict::Later,
        }
    }

    /// Asks for nobody: once answered, `ended` knows it for a while.
    pub fn look_up(&self, id: &JobId) {
        let (waiter, _) = oneshot::channel();
        if lock(&self.queries).ask(id, waiter, Instant::now()).is_ok() {
            self.wanted.notify_one();
        }
    }

    /// Ends at hand, jobs that wait to be asked about, and questions that wait, for display.
    pub fn held(&self) -> [usize; 3] {
        lock(&self.queries).held()
    }
}

/// Asks the state service the questions of one controller.
pub struct HistoryReader {
    /// The questions, and what is known of ends.
    pub history: Arc<History>,
    /// The state service.
    pub store: Arc<StateStore>,
}

/// Asks for ever, as the questions come.
pub async fn run(reader: Arc<HistoryReader>) {
    let free = Arc::new(Semaphore::new(UNDER_WAY));
    loop {
        if !lock(&reader.history.queries).anything_to_ask() {
            reader.history.wanted.notified().await;
        }
        tokio::time::sleep(GATHER).await;
        let Ok(turn) = free.clone().acquire_owned().await else { return };
        // The batch is filled only once it may go: until then more questions can join it.
        if let Err(error) = reader.store.client.reserve(RequestPriority::Query).await {
            debug!(%error, "questions wait");
        }
        let (batch, stale) = lock(&reader.history.queries).next_batch(Instant::now());
        tell(stale.all(Verdict::Later));
        if !batch.is_empty() {
            let reader = reader.clone();
            tokio::spawn(async move {
                look_up(&reader, batch).await;
                drop(turn);
            });
        }
    }
}

fn tell(answers: Vec<(Waiter, Verdict)>) {
    for (waiter, verdict) in answers {
        // One that has given up is no concern.
        let _ = waiter.send(verdict);
    }
}

async fn look_up(reader: &HistoryReader, batch: Batch<Waiter>) {
    let old_kept = reader.store.watch_cache().may_hold_old_jobs();
    let conditions: Vec<_> = batch.ids().flat_map(|id| not_there(id, old_kept)).collect();
    match reader.store.client.compare_reserved(&conditions).await {
        Ok(failed) => {
            let (answers, old) = lock(&reader.history.queries).answered(batch, &failed);
            tell(answers);
            if !old.is_empty() {
                look_up_old(reader, old).await;
            }
        }
        Err(error) => {
            debug!(%error, jobs = batch.ids().count(), "asking about jobs");
            tell(batch.all(Verdict::Later));
        }
    }
}

/// Jobs found under an earlier build's key, one by one.
async fn look_up_old(reader: &HistoryReader, batch: Batch<Waiter>) {
    for (id, waiters) in batch.into_asked() {
        let verdict = match old_verdict(reader, &id).await {
            Ok(verdict) => verdict,
            Err(error) => {
                debug!(%error, job = %id, "asking about a job of an earlier build");
                Verdict::Later
            }
        };
        if let Verdict::Ended(end) = verdict {
            reader.history.note_end(&id, end);
        }
        tell(waiters.into_iter().map(|w| (w, verdict)).collect());
    }
}

/// How a job of an earlier build ended. One that cannot be read is known to nobody: its users are told to come again.
fn read_old_end(item: &KeyValue, limit: &mut LogLimit) -> Verdict {
    match OldEnd::deserialize(&item.value) {
        Ok(old) => Verdict::Ended(old.end),
        Err(error) => {
            if limit.due(Instant::now()) {
                warn!(%error, path = item.path, "an unreadable end of an earlier build in the store");
            }
            Verdict::Later
        }
    }
}

async fn old_verdict(reader: &HistoryReader, id: &JobId) -> Result<Verdict, StoreError> {
    if let Some(item) = reader.store.client.get(&old_end_key(id), RequestPriority::Query).await? {
        return Ok(read_old_end(&item, &mut lock(&reader.history.unreadable)));
    }
    // An acceptance that the earlier build never heard the answer of, applied after the upgrade.
    let Some(item) = reader.store.client.get(&old_job_key(id), RequestPriority::Query).await? else {
        return Ok(Verdict::Later);
    };
    // Accepted, for all that can be read of it: known for ever, if never run.
    let Ok(record) = JobRecord::deserialize(&item.value) else { return Ok(Verdict::Open) };
    let adopt = moves::adopt(&record, item.version);
    match reader.store.client.compare_and_swap(&adopt.conditions, &adopt.changes, RequestPriority::Critical).await? {
        CompareAndSwapOutcome::Applied(_) => {
            warn!(job = %id, "an acceptance of an earlier build came late: taken over");
            Ok(Verdict::Open)
        }
        // Somebody else was faster; the next question finds where it is.
        _ => Ok(Verdict::Later),
    }
}

#[cfg(test)]
mod tests;
