//! Keeps the catalog up to date: the machine types that the cloud offers.

use std::sync::Arc;
use std::time::Duration;

use tracing::debug;

use super::RETRY;
use crate::controller::Controller;
use crate::sync::jitter;

/// The types are asked for anew this often.
const CATALOG_EVERY: Duration = Duration::from_secs(60);

/// Every controller needs the types to judge submissions.
pub async fn learn_catalog(node: Arc<Controller>) {
    loop {
        let pause = match node.cloud.catalog().await {
            Ok(catalog) => {
                let types = catalog.types.len();
                if node.catalog.replace(catalog) {
                    debug!(types, "catalog");
                }
                node.wakeups.plan.notify_one();
                CATALOG_EVERY
            }
            Err(error) => {
                debug!(%error, "asking for the catalog");
                RETRY
            }
        };
        node.tidy_counts();
        node.tell_held();
        tokio::time::sleep(jitter(pause)).await;
    }
}
