//! The read barrier: whoever asks waits until the watch cache is proven to hold all that was stored before.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use tracing::warn;

use crate::sync::lock;

/// A poll is waited for 2 s; past this, 503 tells its user to come again.
const PROOF_TIMEOUT: Duration = Duration::from_millis(1500);

/// Tickets: each asker draws one, and is served by a proof begun after that.
pub struct ReadBarrier {
    drawn: std::sync::atomic::AtomicU64,
    /// Wakes `run_read_barrier`: somebody waits for a proof.
    pub wanted: tokio::sync::Notify,
    /// The highest ticket for which a proof has succeeded.
    pub proven: tokio::sync::watch::Sender<u64>,
    /// The highest ticket for which a proof has failed; those who hold it or a lower one give up at once.
    pub failed: tokio::sync::watch::Sender<u64>,
    /// When the last proof was asked for that came.
    last: Mutex<Option<Instant>>,
}

impl Default for ReadBarrier {
    fn default() -> Self {
        Self {
            drawn: 0.into(),
            wanted: tokio::sync::Notify::new(),
            proven: tokio::sync::watch::channel(0).0,
            failed: tokio::sync::watch::channel(0).0,
            last: Mutex::default(),
        }
    }
}

impl ReadBarrier {
    pub(super) fn ticket(&self) -> u64 {
        self.drawn.load(std::sync::atomic::Ordering::Relaxed)
    }

    /// All that was stored before this is known here.
    pub(super) fn proved(&self, begun: Instant) {
        *lock(&self.last) = Some(begun);
    }

    /// This process was paused: until the next proof nothing is known to be so.
    pub fn after_pause(&self) {
        *lock(&self.last) = None;
    }

    /// How old what is known here may be; none if nothing is proven.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        lock(&self.last).map(|at| now.saturating_duration_since(at))
    }

    /// True once the watch cache holds everything stored before the call. A failure is told at once.
    pub async fn wait(&self) -> bool {
        let ticket = self.drawn.fetch_add(1, std::sync::atomic::Ordering::Relaxed) + 1;
        self.wanted.notify_one();
        let (mut proven, mut failed) = (self.proven.subscribe(), self.failed.subscribe());
        let outcome = tokio::time::timeout(PROOF_TIMEOUT, async {
            tokio::select! {
                biased;
                r = proven.wait_for(|p| *p >= ticket) => r.is_ok(),
                _ = failed.wait_for(|f| *f >= ticket) => false,
            }
        })
        .await;
        if outcome.is_err() {
            warn!("no proof of freshness in time");
        }
        outcome.unwrap_or(false)
    }
}
