//! Keeps the mirror up to date, and proves on request that it is.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tracing::{debug, warn};

use super::StoreError;
use crate::jobs::record::MIRRORED;
use crate::node::{Node, lock};

const WATCH: Duration = Duration::from_secs(20);
/// Between two proofs of freshness, so that polls share them.
const FRESH_GAP: Duration = Duration::from_millis(80);
/// A poll is waited for 2 s; past this, 503 tells its user to come again.
const FRESH_WITHIN: Duration = Duration::from_millis(1500);

pub fn jitter(base: Duration) -> Duration {
    base.mul_f64(rand::rng().random_range(0.5..1.5))
}

async fn reload(node: &Node) -> Result<(), StoreError> {
    let (items, revision) = node.store.list(MIRRORED).await?;
    let news = lock(&node.mirror).load(&items, revision);
    node.spread(news);
    Ok(())
}

/// The watch: one at a time, for ever.
pub async fn run(node: Arc<Node>) {
    loop {
        let (ready, revision) = {
            let mirror = lock(&node.mirror);
            (mirror.ready, mirror.revision)
        };
        let outcome = if ready {
            node.store.follow(MIRRORED, revision, WATCH).await.map(|followed| {
                let news = lock(&node.mirror).apply(&followed);
                node.spread(news);
            })
        } else {
            reload(&node).await
        };
        match outcome {
            Ok(()) => {}
            Err(StoreError::TooOld) => lock(&node.mirror).ready = false,
            Err(error) => {
                debug!(%error, "watching the store");
                tokio::time::sleep(jitter(Duration::from_millis(300))).await;
            }
        }
    }
}

/// Serves those who wait in `fresh`: one zero-wait watch answers all that asked before it began.
pub async fn run_fresh(node: Arc<Node>) {
    loop {
        node.fresh.wanted.notified().await;
        let ticket = node.fresh.ticket();
        let revision = {
            let mirror = lock(&node.mirror);
            if !mirror.ready {
                continue;
            }
            mirror.revision
        };
        match node.store.follow(MIRRORED, revision, Duration::ZERO).await {
            Ok(followed) => {
                let news = lock(&node.mirror).apply(&followed);
                node.spread(news);
                node.fresh.proven.send_replace(ticket);
            }
            Err(StoreError::TooOld) => lock(&node.mirror).ready = false,
            Err(error) => {
                node.fresh.failed.send_replace(ticket);
                debug!(%error, "no proof of freshness");
            }
        }
        tokio::time::sleep(FRESH_GAP).await;
        if node.fresh.ticket() > ticket {
            node.fresh.wanted.notify_one();
        }
    }
}

/// Tickets: each asker draws one, and is served by a proof begun after that.
pub struct Fresh {
    drawn: std::sync::atomic::AtomicU64,
    pub wanted: tokio::sync::Notify,
    pub proven: tokio::sync::watch::Sender<u64>,
    pub failed: tokio::sync::watch::Sender<u64>,
}

impl Default for Fresh {
    fn default() -> Self {
        Self {
            drawn: 0.into(),
            wanted: tokio::sync::Notify::new(),
            proven: tokio::sync::watch::channel(0).0,
            failed: tokio::sync::watch::channel(0).0,
        }
    }
}

impl Fresh {
    fn ticket(&self) -> u64 {
        self.drawn.load(std::sync::atomic::Ordering::Relaxed)
    }

    /// True once the mirror holds everything stored before the call. A failure is told at once.
    pub async fn wait(&self) -> bool {
        let ticket = self.drawn.fetch_add(1, std::sync::atomic::Ordering::Relaxed) + 1;
        self.wanted.notify_one();
        let (mut proven, mut failed) = (self.proven.subscribe(), self.failed.subscribe());
        let outcome = tokio::time::timeout(FRESH_WITHIN, async {
            tokio::select! {
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
