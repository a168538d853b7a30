//! Keeps the catalog up to date: the machine types that the cloud offers.

use std::sync::Arc;
use std::time::Duration;

use tracing::debug;

use super::RETRY_PAUSE;
use super::manager::Fleet;
use crate::sync::jitter;

/// Interval at which the catalog is read.
const CATALOG_INTERVAL: Duration = Duration::from_secs(60);

/// Reads the catalog at intervals, at every controller: submissions are checked against it. `after_each` is called after each answer of the cloud.
pub async fn poll_catalog(fleet: Arc<Fleet>, after_each: impl Fn() + Send + 'static) {
    loop {
        let pause = match fleet.cloud.fetch_catalog().await {
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
                RETRY_PAUSE
            }
        };
        fleet.membership.drop_counts_of_ended_jobs();
        after_each();
        tokio::time::sleep(jitter(pause)).await;
    }
}
