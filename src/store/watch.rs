//! Keeps the watch cache up to date: watches the store continuously, and reloads the cache when the watch has fallen
//! behind.

use std::sync::Arc;
use std::time::Duration;

use tracing::debug;

use super::StoreError;
use super::handle::StateStore;
use super::watch_cache::CacheChanges;
use crate::jobs::record::{CACHED_PREFIX, CACHED_START_AFTER};
use crate::sync::jitter;

/// How long the service may hold a watch open until the first change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Minimum pause between a watch response and the next watch, so that a response covers several of the many changes per
/// second.
const MIN_WATCH_PAUSE: Duration = Duration::from_millis(10);
/// On a controller that does not lead, the pause is also at least the time in which its share admits this many
/// requests.
const MIN_WATCH_PAUSE_REQUESTS: f64 = 4.0;
/// Delay before a failed watch is retried, without jitter.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Maximum retries of one page before the whole reload fails and begins again: while the rate limits are exhausted, a
/// reload that began again at every rejection would never end.
const MAX_PAGE_RETRIES: u32 = 12;
/// Delay before a failed page read is retried, without jitter.
const PAGE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Receives the changes that the watch and the read barrier find. No lock of the store is held during its calls.
pub trait WatchObserver: Send + Sync + 'static {
    /// Called after the watch cache has changed, or has been read up to a later revision.
    fn cache_changed(&self, changes: CacheChanges);
    /// Called when the watch cache has just been proven to be up to date.
    fn cache_proven(&self);
    /// Returns how often this process was paused. A proof during which this number changes does not count.
    fn process_pauses(&self) -> u64;
    /// Returns whether this controller leads, and so has to learn of changes at once.
    fn leads(&self) -> bool;
    /// Upgrades data that an earlier build has left in the store.
    fn upgrade_stored_data(&self) -> impl Future<Output = Result<(), StoreError>> + Send;
}

/// Watches the cached keys forever, one watch at a time.
pub async fn run(store: Arc<StateStore>, observer: Arc<impl WatchObserver>) {
    loop {
        let revision = store.watch_cache().watch_revision();
        let outcome = match revision {
            Some(revision) => watch_once(&store, &*observer, revision).await,
            None => reload(&store, &*observer).await,
        };
        match outcome {
            // The leader acts on changes; the other controllers can learn of them with some delay.
            Ok(()) if observer.leads() => tokio::time::sleep(MIN_WATCH_PAUSE).await,
            Ok(()) => tokio::time::sleep(MIN_WATCH_PAUSE.max(store.client.refill_time(MIN_WATCH_PAUSE_REQUESTS))).await,
            Err(StoreError::RevisionTooOld) => store.watch_cache().require_reload(),
            Err(error) => {
                debug!(%error, "store watch failed");
                tokio::time::sleep(jitter(WATCH_RETRY_DELAY)).await;
            }
        }
    }
}

/// Makes one watch and applies its response to the watch cache.
async fn watch_once(store: &StateStore, observer: &impl WatchObserver, revision: u64) -> Result<(), StoreError> {
    let response = store.client.watch(CACHED_PREFIX, revision, WATCH_TIMEOUT).await?;
    let changes = store.watch_cache().apply_watch(&response);
    observer.cache_changed(changes.unwrap_or_default());
    Ok(())
}

/// Reloads all cached keys, page by page. If the store is not marked as upgraded, it is upgraded instead, and the
/// caller has to reload again.
async fn reload(store: &StateStore, observer: &impl WatchObserver) -> Result<(), StoreError> {
    let mut reload = store.watch_cache().begin_reload();
    let mut pages = store.client.pages(CACHED_PREFIX, Some(CACHED_START_AFTER));
    let mut failures = 0;
    loop {
        let page = match pages.next().await {
            Ok(Some(page)) => page,
            Ok(None) => break,
            Err(error) if failures < MAX_PAGE_RETRIES => {
                failures += 1;
                debug!(%error, attempt = failures, "store page read failed");
                tokio::time::sleep(jitter(PAGE_RETRY_DELAY)).await;
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
