//! Keeps the catalog up to date: the machine types that the cloud offers.

use std::sync::Arc;
use std::time::Duration;

use tracing::debug;

use super::RETRY;
use super::manager::Fleet;
use crate::sync::jitter;

/// The types are asked for anew this often.
const CATALOG_EVERY: Duration = Duration::from_secs(60);

/// Every controller needs the types to judge submissions. `after_each` is called after each answer of the cloud.
pub async fn learn_catalog(fleet: Arc<Fleet>, after_each: impl Fn() + Send + 'static) {
    loop {
        let pause = match fleet.cloud.catalog().await {
            Ok(catalog) => {
                let types = catalog.types.len();
                if fleet.catalog.replace(catalog) {
                    debug!(types, "catalog");
                }
                fleet.wakeups.plan.notify_one();
                CATALOG_EVERY
            }
            Err(error) => {
                debug!(%error, "asking for the catalog");
                RETRY
            }
        };
        fleet.membership.drop_counts_of_ended_jobs();
        after_each();
        tokio::time::sleep(jitter(pause)).await;
    }
}
