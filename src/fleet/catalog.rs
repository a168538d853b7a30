//! Periodic reads of the catalog of machine types that the cloud offers.

use std::sync::Arc;
use std::time::Duration;

use tracing::debug;

use super::RETRY_DELAY;
use super::manager::Fleet;
use crate::sync::jitter;

/// Interval between reads of the catalog.
const CATALOG_INTERVAL: Duration = Duration::from_secs(60);

/// Reads the catalog periodically. Every controller does, since submissions are checked against it. `after_each` is
/// called after each read, whether it succeeded or not.
pub async fn poll_catalog(fleet: Arc<Fleet>, after_each: impl Fn() + Send + 'static) {
    loop {
        let delay = match fleet.cloud.fetch_catalog().await {
            Ok(catalog) => {
                let count = catalog.types.len();
                if fleet.catalog.replace(catalog) {
                    debug!(count, "machine catalog updated");
                }
                fleet.wakeups.plan.notify_one();
                CATALOG_INTERVAL
            }
            Err(error) => {
                debug!(%error, "machine catalog request failed");
                RETRY_DELAY
            }
        };
        fleet.membership.drop_counts_of_ended_jobs();
        after_each();
        tokio::time::sleep(jitter(delay)).await;
    }
}
