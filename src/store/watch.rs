//! Keeps the watch cache up to date, and proves on request that it is.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::sync::jitter;
use tracing::debug;

use super::StoreError;
use super::budget::RequestPriority;
use super::client::WatchResponse;
use super::handle::StateStore;
use super::watch_cache::CacheChanges;
use crate::jobs::record::{CACHED, CACHED_AFTER};

const WATCH: Duration = Duration::from_secs(20);
/// Between two proofs of freshness, so that polls share them: at least this, and at least the time
/// in which the share of requests grows by so many, since other questions need theirs.
const PROOF_GAP: Duration = Duration::from_millis(80);
const PROOF_COST: f64 = 4.0;
/// The same between an answer to the watch and its next question: changes come many a second.
const WATCH_GAP: Duration = Duration::from_millis(10);
const WATCH_COST: f64 = 4.0;

/// Without a question this long, freshness is proven all the same: it is what health, redirects and the
/// right to answer workers go by, and a watch that hangs is noticed by it.
const PROOF_EVERY: Duration = Duration::from_secs(2);
/// The same once that is overdue: whoever is answered last after an outage should not be taken for cut off.
const PROOF_OVERDUE: Duration = Duration::from_millis(500);
/// A proof that has not come by now is asked for once more beside it: a connection that a cut has left
/// hanging costs this, and not all that a user waits.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(500);
/// A page is asked for so often before all of them are read anew: where the limits are used up, a reading
/// that begins again at every refusal never ends.
const PAGE_TRIES: u32 = 12;

/// Told of what the watch and the read barrier learn. Neither lock of the store is held meanwhile.
pub trait WatchObserver: Send + Sync + 'static {
    /// The watch cache has changed, or has been read to a later revision.
    fn cache_changed(&self, changes: CacheChanges);
    /// The watch cache has just been proven to be up to date.
    fn cache_proven(&self);
    /// How often this process was paused: a proof that spans a change of this counts for nothing.
    fn process_pauses(&self) -> u64;
    /// Whether this controller leads: it then has to hear of changes at once.
    fn leads(&self) -> bool;
    /// Takes over what an earlier build has left in the store.
    fn upgrade_stored_data(&self) -> impl Future<Output = Result<(), StoreError>> + Send;
}

/// Reads page by page into what is kept; what an earlier build has left is taken over first.
async fn reload(store: &StateStore, observer: &impl WatchObserver) -> Result<(), StoreError> {
    let mut loading = store.watch_cache().load();
    let mut pages = store.client.pages(CACHED, Some(CACHED_AFTER));
    let mut tries = 0;
    loop {
        let page = match pages.next().await {
            Ok(Some(page)) => page,
            Ok(None) => break,
            Err(error) if tries < PAGE_TRIES => {
                tries += 1;
                debug!(%error, tries, "reading a page");
                tokio::time::sleep(jitter(Duration::from_millis(200))).await;
                continue;
            }
            Err(error) => return Err(error),
        };
        tries = 0;
        let news = store.watch_cache().take_page(&mut loading, &page);
        observer.cache_changed(news);
    }
    if !loading.upgraded() {
        return observer.upgrade_stored_data().await;
    }
    let news = store.watch_cache().loaded(loading);
    observer.cache_changed(news);
    store.read_barrier.wanted.notify_one();
    Ok(())
}

/// The watch: one at a time, for ever.
pub async fn run(store: Arc<StateStore>, observer: Arc<impl WatchObserver>) {
    loop {
        let asking = store.watch_cache().asking();
        let outcome = match asking {
            Some(revision) => store.client.watch(CACHED, revision, WATCH).await.map(|response| {
                let (_, news) = store.watch_cache().apply(&response);
                observer.cache_changed(news);
            }),
            None => reload(&store, &*observer).await,
        };
        match outcome {
            // The leader acts on what it hears; the others only have to know it soon.
            Ok(()) if observer.leads() => tokio::time::sleep(WATCH_GAP).await,
            Ok(()) => tokio::time::sleep(WATCH_GAP.max(store.client.time_for(WATCH_COST))).await,
            Err(StoreError::TooOld) => store.watch_cache().ready = false,
            Err(error) => {
                debug!(%error, "watching the store");
                tokio::time::sleep(jitter(Duration::from_millis(300))).await;
            }
        }
    }
}

/// All changes since a revision, at once.
async fn changes_now(store: &StateStore, revision: u64) -> Result<WatchResponse, StoreError> {
    // Waiting for one's own share is no sign of a connection that hangs.
    store.client.reserve(RequestPriority::Critical).await?;
    let first = store.client.watch_reserved(CACHED, revision, Duration::ZERO);
    tokio::pin!(first);
    if let Ok(outcome) = tokio::time::timeout(ASK_AGAIN_AFTER, &mut first).await {
        return outcome;
    }
    tokio::select! {
        outcome = &mut first => outcome,
        outcome = store.client.watch(CACHED, revision, Duration::ZERO) => outcome,
    }
}

/// Serves those who wait in `fresh`: one zero-wait watch answers all that asked before it began.
pub async fn run_read_barrier(store: Arc<StateStore>, observer: Arc<impl WatchObserver>) {
    loop {
        let fresh = store.read_barrier.age(Instant::now()).is_some_and(|age| age < PROOF_EVERY * 2);
        let pause = if fresh { PROOF_EVERY } else { PROOF_OVERDUE };
        let _ = tokio::time::timeout(pause, store.read_barrier.wanted.notified()).await;
        let ticket = store.read_barrier.ticket();
        let pauses = observer.process_pauses();
        let begun = Instant::now();
        let asking = store.watch_cache().asking();
        let Some(revision) = asking else {
            store.read_barrier.failed.send_replace(ticket);
            // After a process pause each beat asks for a proof anew, the one above too.
            tokio::time::sleep(PROOF_GAP).await;
            continue;
        };
        match changes_now(&store, revision).await {
            Ok(response) => {
                let (taken, news) = store.watch_cache().apply(&response);
                observer.cache_changed(news);
                // What was asked before a process pause proves nothing after it.
                let taken = taken && observer.process_pauses() == pauses;
                if taken {
                    store.read_barrier.proved(begun);
                    observer.cache_proven();
                }
                if taken { &store.read_barrier.proven } else { &store.read_barrier.failed }.send_replace(ticket);
            }
            Err(StoreError::TooOld) => {
                store.watch_cache().ready = false;
                store.read_barrier.failed.send_replace(ticket);
            }
            // A moment's shortage: those who ask wait a little longer, and are not sent away together.
            Err(StoreError::Unavailable(429)) => store.read_barrier.wanted.notify_one(),
            Err(error) => {
                store.read_barrier.failed.send_replace(ticket);
                debug!(%error, "no proof of freshness");
            }
        }
        tokio::time::sleep(PROOF_GAP.max(store.client.time_for(PROOF_COST))).await;
        if store.read_barrier.ticket() > ticket {
            store.read_barrier.wanted.notify_one();
        }
    }
}
