//! The read barrier: proves that the watch cache holds everything stored before a given moment (a linearizable read).
//!
//! A proof is a watch without waiting time: its response contains every change up to the moment at which the service
//! answers. Each caller is issued a ticket, and one proof serves all tickets that were issued before it began.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::{Notify, watch};
use tracing::{debug, warn};

use super::StoreError;
use super::budget::RequestPriority;
use super::client::WatchResponse;
use super::handle::StateStore;
use super::watch::WatchObserver;
use crate::jobs::record::CACHED_PREFIX;
use crate::sync::lock;

/// Minimum pause between two proofs, so that callers share them.
const MIN_PROOF_PAUSE: Duration = Duration::from_millis(80);
/// The pause is also at least the time in which this controller's share admits this many requests, so that proofs leave
/// most of the share to other requests.
const MIN_PROOF_PAUSE_REQUESTS: f64 = 4.0;
/// How long a caller waits for a proof. Users wait for 2 s; after this timeout they are answered with 503, to retry.
const PROOF_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time between proofs without a caller: health, redirects and the right to answer workers depend on the age of the
/// last proof, and a proof reveals a watch that hangs.
const PROOF_INTERVAL: Duration = Duration::from_secs(2);
/// Time between proofs without a caller once a proof is overdue, so that the controller that is answered last after an
/// outage does not count as partitioned.
const OVERDUE_PROOF_INTERVAL: Duration = Duration::from_millis(500);
/// A proof that is unanswered after this delay is requested a second time in parallel: a connection that hangs since a
/// network partition then costs this delay, and not all the time that a user waits.
const SECOND_REQUEST_DELAY: Duration = Duration::from_millis(500);

/// Proofs that the watch cache is up to date, and the callers that wait for them.
pub struct ReadBarrier {
    /// The last ticket issued.
    last_issued: AtomicU64,
    /// Wakes `run` when a caller waits for a proof.
    requested: Notify,
    /// The highest ticket for which a proof has succeeded.
    proven: watch::Sender<u64>,
    /// The highest ticket for which a proof has failed; callers with this or a lower ticket give up at once.
    failed: watch::Sender<u64>,
    /// When the request of the last successful proof was sent.
    proven_at: Mutex<Option<Instant>>,
}

impl Default for ReadBarrier {
    fn default() -> Self {
        Self {
            last_issued: AtomicU64::new(0),
            requested: Notify::new(),
            proven: watch::channel(0).0,
            failed: watch::channel(0).0,
            proven_at: Mutex::default(),
        }
    }
}

impl ReadBarrier {
    /// Requests a proof without waiting for it.
    pub fn request_proof(&self) {
        self.requested.notify_one();
    }

    /// Waits for a proof that begins after this call. Returns true once the watch cache holds everything stored before
    /// the call, and false if the proof failed or took longer than the timeout.
    pub async fn wait_for_proof(&self) -> bool {
        let ticket = self.last_issued.fetch_add(1, Ordering::Relaxed) + 1;
        self.request_proof();
        let (mut proven, mut failed) = (self.proven.subscribe(), self.failed.subscribe());
        let outcome = tokio::time::timeout(PROOF_TIMEOUT, async {
            tokio::select! {
                biased;
                result = proven.wait_for(|proven_ticket| *proven_ticket >= ticket) => result.is_ok(),
                _ = failed.wait_for(|failed_ticket| *failed_ticket >= ticket) => false,
            }
        })
        .await;
        if outcome.is_err() {
            warn!("linearizable read timed out; answering as unproven");
        }
        outcome.unwrap_or(false)
    }

    /// Returns how old the state in the watch cache can be; none without a proof.
    pub fn proof_age(&self, now: Instant) -> Option<Duration> {
        lock(&self.proven_at).map(|at| now.saturating_duration_since(at))
    }

    /// Discards the last proof after a pause of this process: until the next proof the watch cache may be out of date.
    pub fn discard_proof(&self) {
        *lock(&self.proven_at) = None;
    }

    /// Subscribes to the highest ticket for which a proof has failed.
    pub fn subscribe_failed(&self) -> watch::Receiver<u64> {
        self.failed.subscribe()
    }

    fn last_ticket(&self) -> u64 {
        self.last_issued.load(Ordering::Relaxed)
    }

    fn record_proof(&self, requested_at: Instant) {
        *lock(&self.proven_at) = Some(requested_at);
    }

    /// Returns the time until a proof is made without a request.
    fn proof_interval(&self) -> Duration {
        let recent = self.proof_age(Instant::now()).is_some_and(|age| age < PROOF_INTERVAL * 2);
        if recent { PROOF_INTERVAL } else { OVERDUE_PROOF_INTERVAL }
    }
}

/// Makes proofs forever: whenever one is requested, and at intervals without a request.
pub async fn run(store: Arc<StateStore>, observer: Arc<impl WatchObserver>) {
    let barrier = &store.read_barrier;
    loop {
        let _ = tokio::time::timeout(barrier.proof_interval(), barrier.requested.notified()).await;
        let ticket = barrier.last_ticket();
        let pauses = observer.process_pauses();
        let requested_at = Instant::now();
        let revision = store.watch_cache().watch_revision();
        let Some(revision) = revision else {
            barrier.failed.send_replace(ticket);
            // The detection of process pauses also requests proofs while there is none; this pause keeps the loop from
            // spinning.
            tokio::time::sleep(MIN_PROOF_PAUSE).await;
            continue;
        };
        match changes_since(&store, revision).await {
            Ok(response) => {
                let changes = store.watch_cache().apply_watch(&response);
                let applied = changes.is_some();
                observer.cache_changed(changes.unwrap_or_default());
                // A proof requested before a process pause proves nothing after it.
                if applied && observer.process_pauses() == pauses {
                    barrier.record_proof(requested_at);
                    observer.cache_proven();
                    barrier.proven.send_replace(ticket);
                } else {
                    barrier.failed.send_replace(ticket);
                }
            }
            Err(StoreError::RevisionTooOld) => {
                store.watch_cache().require_reload();
                barrier.failed.send_replace(ticket);
            }
            // The rate limit is exhausted for a moment: the callers wait a little longer instead of all failing
            // together.
            Err(StoreError::Unavailable(429)) => barrier.request_proof(),
            Err(error) => {
                barrier.failed.send_replace(ticket);
                debug!(%error, "linearizable read failed");
            }
        }
        tokio::time::sleep(MIN_PROOF_PAUSE.max(store.client.refill_time(MIN_PROOF_PAUSE_REQUESTS))).await;
        if barrier.last_ticket() > ticket {
            barrier.request_proof();
        }
    }
}

/// Reads all changes since a revision, by a watch without waiting time.
async fn changes_since(store: &StateStore, revision: u64) -> Result<WatchResponse, StoreError> {
    // The request is reserved first: waiting for this controller's share of the rate limit is no sign of a connection
    // that hangs.
    store.client.reserve(RequestPriority::Critical).await?;
    let first = store.client.watch_reserved(CACHED_PREFIX, revision, Duration::ZERO);
    tokio::pin!(first);
    if let Ok(outcome) = tokio::time::timeout(SECOND_REQUEST_DELAY, &mut first).await {
        return outcome;
    }
    tokio::select! {
        outcome = &mut first => outcome,
        outcome = store.client.watch(CACHED_PREFIX, revision, Duration::ZERO) => outcome,
    }
}
