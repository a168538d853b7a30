//! Keeps the catalog up to date: the machine types that the cloud offers.

use std::sync::Arc;
use std::time::Duration;

use tracing::debug;

use super::RETRY;
use crate::node::Node;
use crate::sync::{jitter, lock};

/// The types are asked for anew this often.
const CATALOG_EVERY: Duration = Duration::from_secs(60);

/// Every controller needs the types to judge submissions.
pub async fn learn_catalog(node: Arc<Node>) {
    loop {
        let pause = match node.cloud.catalog().await {
            Ok(catalog) => {
                let mut held = lock(&node.catalog);
                if held.as_deref() != Some(&catalog) {
                    debug!(types = catalog.types.len(), "catalog");
                    *held = Some(Arc::new(catalog));
                }
                drop(held);
                node.wake.plan.notify_one();
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
