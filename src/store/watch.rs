//! Keeps the watch cache up to date: a watch that is renewed without end, and a reload when the watch has fallen behind.

use std::sync::Arc;
use std::time::Duration;

use tracing::debug;

use super::StoreError;
use super::handle::StateStore;
use super::watch_cache::CacheChanges;
use crate::jobs::record::{CACHED_PREFIX, CACHED_START_AFTER};
use crate::sync::jitter;

/// How long the service may keep a watch waiting for the first change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between a watch response and the next watch, at the least: changes come many a second.
const WATCH_GAP: Duration = Duration::from_millis(10);
/// On a controller that does not lead, the pause is at least the time in which its share of requests grows by this many.
const WATCH_COST: f64 = 4.0;
/// Pause after a watch that failed, before jitter.
const WATCH_RETRY: Duration = Duration::from_millis(300);
/// Tries for one page before the whole reload fails and begins again: where the limits are used up, a reload that began
/// again at every refusal would never end.
const PAGE_TRIES: u32 = 12;
/// Pause after a page that could not be read, before jitter.
const PAGE_RETRY: Duration = Duration::from_millis(200);

/// What acts on the changes that the watch and the read barrier find. No lock of the store is held while it is called.
pub trait WatchObserver: Send + Sync + 'static {
    /// The watch cache has changed, or has been read up to a later revision.
    fn cache_changed(&self, changes: CacheChanges);
    /// The watch cache has just been proven to be up to date.
    fn cache_proven(&self);
    /// How often this process was paused: a proof during which this number changes does not count.
    fn process_pauses(&self) -> u64;
    /// Whether this controller leads: it then has to learn of changes at once.
    fn leads(&self) -> bool;
    /// Upgrades what an earlier build has left in the store.
    fn upgrade_stored_data(&self) -> impl Future<Output = Result<(), StoreError>> + Send;
}

/// Watches the cached keys for ever, one watch at a time.
pub async fn run(store: Arc<StateStore>, observer: Arc<impl WatchObserver>) {
    loop {
        let revision = store.watch_cache().watch_revision();
        let outcome = match revision {
            Some(revision) => watch_once(&store, &*observer, revision).await,
            None => reload(&store, &*observer).await,
        };
        match outcome {
            // The leader acts on what it learns; for the others some delay is enough.
            Ok(()) if observer.leads() => tokio::time::sleep(WATCH_GAP).await,
            Ok(()) => tokio::time::sleep(WATCH_GAP.max(store.client.refill_time(WATCH_COST))).await,
            Err(StoreError::RevisionTooOld) => store.watch_cache().require_reload(),
            Err(error) => {
                debug!(%error, "store watch failed");
                tokio::time::sleep(jitter(WATCH_RETRY)).await;
            }
        }
    }
}

async fn watch_once(store: &StateStore, observer: &impl WatchObserver, revision: u64) -> Result<(), StoreError> {
    let response = store.client.watch(CACHED_PREFIX, revision, WATCH_TIMEOUT).await?;
    let changes = store.watch_cache().apply_watch(&response);
    observer.cache_changed(changes.unwrap_or_default());
    Ok(())
}

/// Reads all cached keys anew, page by page. If the store is not marked as upgraded, it is upgraded instead, and the
/// caller has to reload again.
async fn reload(store: &StateStore, observer: &impl WatchObserver) -> Result<(), StoreError> {
    let mut reload = store.watch_cache().begin_reload();
    let mut pages = store.client.pages(CACHED_PREFIX, Some(CACHED_START_AFTER));
    let mut failures = 0;
    loop {
        let page = match pages.next().await {
            Ok(Some(page)) => page,
            Ok(None) => break,
            Err(error) if failures < PAGE_TRIES => {
                failures += 1;
                debug!(%error, attempt = failures, "store page read failed");
                tokio::time::sleep(jitter(PAGE_RETRY)).await;
                continue;
            }
            Err(error) => return Err(error),
        };
        failures = 0;
        let changes = store.watch_cache().apply_page(&mut reload, &page);
        observer.cache_changed(changes);
    }
    if !reload.store_is_upgraded() {
        return observer.upgrade_stored_data().await;
    }
    let changes = store.watch_cache().finish_reload(reload);
    observer.cache_changed(changes);
    store.read_barrier.request_proof();
    Ok(())
}
