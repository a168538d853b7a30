//! Reads the pages of end sweeps from the store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::{debug, info};

use super::end_sweep::PAGE_SIZE;
use super::job_history::JobHistory;
use super::job_transactions::{JobLocation, locate_job};
use crate::store::StateClient;
use crate::store::budget::RequestPriority;
use crate::sync::jitter;

/// Prefix of the keys of ended jobs.
const ENDED_PREFIX: &str = "h/";
/// Back-off after a page that could not be read, before jitter.
const PAGE_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Number of requests that the controller's request budget gains between the starts of two pages, so that pages take at
/// most half of the budget.
pub const REQUESTS_PER_PAGE: f64 = 2.0;

/// Reads pages one at a time while a sweep is requested, at a higher priority than batches of queries, since a page
/// answers more jobs.
pub async fn run(history: Arc<JobHistory>, store: Arc<StateClient>) {
    loop {
        let start_after =
            match history.with_sweep(|sweep| sweep.next_page(Instant::now()).map(|key| key.map(str::to_owned))) {
                Some(last_key) => last_key,
                None => {
                    history.sweep_requested().await;
                    continue;
                }
            };
        let page = store.key_versions(ENDED_PREFIX, start_after.as_deref(), PAGE_SIZE, RequestPriority::Placement);
        let (page, ()) = tokio::join!(page, tokio::time::sleep(store.refill_time(REQUESTS_PER_PAGE)));
        match page {
            Ok(page) => {
                let ends = page.items.iter().filter_map(|item| match locate_job(&item.path)? {
                    (id, JobLocation::Ended(end)) => Some((id, end, item.version)),
                    _ => None,
                });
                history.note_ends(ends);
                let last_key = page.items.last().map(|item| item.path.clone());
                if history.with_sweep(|sweep| sweep.finish_page(last_key, page.more, Instant::now())) {
                    info!(count = history.counts().cached_ends, "job end history loaded");
                }
            }
            Err(error) => {
                debug!(%error, "job end history read failed");
                tokio::time::sleep(jitter(PAGE_RETRY_DELAY)).await;
            }
        }
    }
}
