//! The read barrier: proof that the watch cache holds everything stored before a given moment (a linearizable read).
//!
//! A proof is a watch without waiting time: its response contains every change up to the moment at which the service
//! answers. Each caller draws a ticket, and one proof serves all tickets that were drawn before it began.

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

/// Pause between two proofs, at the least, so that callers share them.
const PROOF_GAP: Duration = Duration::from_millis(80);
/// The pause is also at least the time in which the share of requests grows by this many: other requests need theirs.
const PROOF_COST: f64 = 4.0;
/// How long a caller waits for a proof. Users wait for 2 s; after this they are told with 503 to come again.
const PROOF_TIMEOUT: Duration = Duration::from_millis(1500);
/// A proof is made this often without a caller: health, redirects and the right to answer workers depend on its age, and
/// it reveals a watch that hangs.
const PROOF_INTERVAL: Duration = Duration::from_secs(2);
/// The interval once a proof is overdue, so that the controller that is answered last after an outage does not count as
/// cut off.
const OVERDUE_PROOF_INTERVAL: Duration = Duration::from_millis(500);
/// A proof that has no answer by then is requested a second time in parallel: a connection that hangs since a network
/// cut then costs this much, and not all the time that a user waits.
const SECOND_REQUEST_AFTER: Duration = Duration::from_millis(500);

/// Proofs that the watch cache is up to date, and the callers that wait for them.
pub struct ReadBarrier {
    /// The last ticket drawn.
    drawn: AtomicU64,
    /// Wakes `run`: somebody waits for a proof.
    requested: Notify,
    /// The highest ticket for which a proof has succeeded.
    proven: watch::Sender<u64>,
    /// The highest ticket for which a proof has failed; callers with it or a lower one give up at once.
    failed: watch::Sender<u64>,
    /// When the request of the last successful proof was sent.
    proven_at: Mutex<Option<Instant>>,
}

impl Default for ReadBarrier {
    fn default() -> Self {
        Self {
            drawn: AtomicU64::new(0),
            requested: Notify::new(),
            proven: watch::channel(0).0,
            failed: watch::channel(0).0,
            proven_at: Mutex::default(),
        }
    }
}

impl ReadBarrier {
    /// Asks for a proof without waiting for it.
    pub fn request_proof(&self) {
        self.requested.notify_one();
    }

    /// Waits for a proof that began after this call. True once the watch cache holds everything stored before the call;
    /// false if the proof failed or took longer than the timeout.
    pub async fn wait_for_proof(&self) -> bool {
        let ticket = self.drawn.fetch_add(1, Ordering::Relaxed) + 1;
        self.request_proof();
        let (mut proven, mut failed) = (self.proven.subscribe(), self.failed.subscribe());
        let outcome = tokio::time::timeout(PROOF_TIMEOUT, async {
            tokio::select! {
                biased;
                result = proven.wait_for(|served| *served >= ticket) => result.is_ok(),
                _ = failed.wait_for(|refused| *refused >= ticket) => false,
            }
        })
        .await;
        if outcome.is_err() {
            warn!("linearizable read timed out; answering as unproven");
        }
        outcome.unwrap_or(false)
    }

    /// How old the state in the watch cache may be; none if nothing is proven.
    pub fn proof_age(&self, now: Instant) -> Option<Duration> {
        lock(&self.proven_at).map(|at| now.saturating_duration_since(at))
    }

    /// Discards the last proof because this process was paused: until the next proof nothing is known to be current.
    pub fn discard_proof(&self) {
        *lock(&self.proven_at) = None;
    }

    /// The highest ticket for which a proof has failed, as it changes.
    pub fn subscribe_failed(&self) -> watch::Receiver<u64> {
        self.failed.subscribe()
    }

    fn last_ticket(&self) -> u64 {
        self.drawn.load(Ordering::Relaxed)
    }

    fn record_proof(&self, requested_at: Instant) {
        *lock(&self.proven_at) = Some(requested_at);
    }

    fn interval(&self) -> Duration {
        let recent = self.proof_age(Instant::now()).is_some_and(|age| age < PROOF_INTERVAL * 2);
        if recent { PROOF_INTERVAL } else { OVERDUE_PROOF_INTERVAL }
    }
}

/// Makes a proof whenever one is requested, and regularly without a request, for ever.
pub async fn run(store: Arc<StateStore>, observer: Arc<impl WatchObserver>) {
    let barrier = &store.read_barrier;
    loop {
        let _ = tokio::time::timeout(barrier.interval(), barrier.requested.notified()).await;
        let ticket = barrier.last_ticket();
        let pauses = observer.process_pauses();
        let requested_at = Instant::now();
        let revision = store.watch_cache().watch_revision();
        let Some(revision) = revision else {
            barrier.failed.send_replace(ticket);
            // The loop of process pauses requests proofs as well while there is none.
            tokio::time::sleep(PROOF_GAP).await;
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
            // The rate limit is used up for a moment: the callers wait a little longer, instead of all failing together.
            Err(StoreError::Unavailable(429)) => barrier.request_proof(),
            Err(error) => {
                barrier.failed.send_replace(ticket);
                debug!(%error, "linearizable read failed");
            }
        }
        tokio::time::sleep(PROOF_GAP.max(store.client.refill_time(PROOF_COST))).await;
        if barrier.last_ticket() > ticket {
            barrier.request_proof();
        }
    }
}

/// All changes since a revision, by a watch without waiting time.
async fn changes_since(store: &StateStore, revision: u64) -> Result<WatchResponse, StoreError> {
    // The request is reserved first: waiting for the own share of the rate limit is no sign of a connection that hangs.
    store.client.reserve(RequestPriority::Critical).await?;
    let first = store.client.watch_reserved(CACHED_PREFIX, revision, Duration::ZERO);
    tokio::pin!(first);
    if let Ok(outcome) = tokio::time::timeout(SECOND_REQUEST_AFTER, &mut first).await {
        return outcome;
    }
    tokio::select! {
        outcome = &mut first => outcome,
        outcome = store.client.watch(CACHED_PREFIX, revision, Duration::ZERO) => outcome,
    }
}
