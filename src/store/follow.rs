//! Keeps the mirror up to date, and proves on request that it is.

use std::sync::Arc;
use std::time::Duration;

use crate::sync::jitter;
use tracing::{debug, warn};

use super::StoreError;
use crate::history::upgrade;
use crate::jobs::record::{MIRRORED, MIRRORED_AFTER};
use crate::node::Node;
use crate::sync::lock;

const WATCH: Duration = Duration::from_secs(20);
/// Between two proofs of freshness, so that polls share them: at least this, and at least the time
/// in which the share of requests grows by so many, since other questions need theirs.
const FRESH_GAP: Duration = Duration::from_millis(80);
const FRESH_COST: f64 = 4.0;
/// The same between an answer to the watch and its next question: changes come many a second.
const WATCH_GAP: Duration = Duration::from_millis(10);
const WATCH_COST: f64 = 4.0;
/// A poll is waited for 2 s; past this, 503 tells its user to come again.
const FRESH_WITHIN: Duration = Duration::from_millis(1500);

/// Reads page by page into what is kept; what an earlier build has left is taken over first.
async fn reload(node: &Node) -> Result<(), StoreError> {
    let mut loading = lock(&node.mirror).load();
    let mut pages = node.store.pages(MIRRORED, Some(MIRRORED_AFTER));
    while let Some(page) = pages.next().await? {
        let news = lock(&node.mirror).take_page(&mut loading, &page);
        node.spread(news);
    }
    if !loading.upgraded() {
        return upgrade::run(&node.store).await;
    }
    let news = lock(&node.mirror).loaded(loading);
    node.spread(news);
    Ok(())
}

/// The watch: one at a time, for ever.
pub async fn run(node: Arc<Node>) {
    loop {
        let asking = lock(&node.mirror).asking();
        let outcome = match asking {
            Some(revision) => node.store.follow(MIRRORED, revision, WATCH).await.map(|followed| {
                let (_, news) = lock(&node.mirror).apply(&followed);
                node.spread(news);
            }),
            None => reload(&node).await,
        };
        match outcome {
            // The owner acts on what it hears; the others only have to know it soon.
            Ok(()) if lock(&node.book).is_some() => tokio::time::sleep(WATCH_GAP).await,
            Ok(()) => tokio::time::sleep(WATCH_GAP.max(node.store.time_for(WATCH_COST))).await,
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
        let gaps = node.gaps();
        let asking = lock(&node.mirror).asking();
        let Some(revision) = asking else {
            node.fresh.failed.send_replace(ticket);
            continue;
        };
        match node.store.follow(MIRRORED, revision, Duration::ZERO).await {
            Ok(followed) => {
                let (taken, news) = lock(&node.mirror).apply(&followed);
                node.spread(news);
                // What was asked before a standstill proves nothing after it.
                let taken = taken && node.gaps() == gaps;
                if taken {
                    node.proven();
                }
                if taken { &node.fresh.proven } else { &node.fresh.failed }.send_replace(ticket);
            }
            Err(StoreError::TooOld) => {
                lock(&node.mirror).ready = false;
                node.fresh.failed.send_replace(ticket);
            }
            Err(error) => {
                node.fresh.failed.send_replace(ticket);
                debug!(%error, "no proof of freshness");
            }
        }
        tokio::time::sleep(FRESH_GAP.max(node.store.time_for(FRESH_COST))).await;
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
