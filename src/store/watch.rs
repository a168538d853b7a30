//! Keeps the watch cache up to date: a watch that is renewed without end, and a reload when the watch has fallen behind.

use std::sync::Arc;
use std::time::Duration;

use tracing::debug;

use super::StoreError;
use crate::controller::Controller;
use crate::history::upgrade;
use crate::jobs::record::{CACHED, CACHED_AFTER};
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

/// Watches the cached keys for ever, one watch at a time.
pub async fn run(node: Arc<Controller>) {
    loop {
        let revision = node.store.watch_cache().watch_revision();
        let outcome = match revision {
            Some(revision) => watch_once(&node, revision).await,
            None => reload(&node).await,
        };
        match outcome {
            // The leader acts on what it learns; for the others some delay is enough.
            Ok(()) if node.leader.cluster().is_some() => tokio::time::sleep(WATCH_GAP).await,
            Ok(()) => tokio::time::sleep(WATCH_GAP.max(node.store.client.time_for(WATCH_COST))).await,
            Err(StoreError::TooOld) => node.store.watch_cache().require_reload(),
            Err(error) => {
                debug!(%error, "store watch failed");
                tokio::time::sleep(jitter(WATCH_RETRY)).await;
            }
        }
    }
}

async fn watch_once(node: &Controller, revision: u64) -> Result<(), StoreError> {
    let response = node.store.client.watch(CACHED, revision, WATCH_TIMEOUT).await?;
    let changes = node.store.watch_cache().apply_watch(&response);
    node.spread(changes.unwrap_or_default());
    Ok(())
}

/// Reads all cached keys anew, page by page. If the store is not marked as upgraded, it is upgraded instead, and the
/// caller has to reload again.
async fn reload(node: &Controller) -> Result<(), StoreError> {
    let mut reload = node.store.watch_cache().begin_reload();
    let mut pages = node.store.client.pages(CACHED, Some(CACHED_AFTER));
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
        let changes = node.store.watch_cache().apply_page(&mut reload, &page);
        node.spread(changes);
    }
    if !reload.store_is_upgraded() {
        return upgrade::run(&node.store.client).await;
    }
    let changes = node.store.watch_cache().finish_reload(reload);
    node.spread(changes);
    node.store.read_barrier.request_proof();
    Ok(())
}
