//! Which task runs where: the owner's book, the decisions taken on it, and their loop.

pub mod book;
#[cfg(test)]
mod interleavings;
pub mod load;
pub mod plan;
#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::debug;

pub use book::Book;

use crate::jobs::record::TASKS;
use crate::node::{Node, lock};

/// Placement follows events; this bounds how often, so that a burst is planned as one.
const GAP: Duration = Duration::from_millis(60);
const EVERY: Duration = Duration::from_millis(1000);

/// Reads what is stored, then plans on every event until this controller no longer owns.
pub async fn run(node: Arc<Node>) {
    load(&node).await;
    loop {
        let _ = tokio::time::timeout(EVERY, node.wake.plan.notified()).await;
        let now = Instant::now();
        let placed = {
            let catalog = node.catalog();
            let mut held = lock(&node.book);
            match (held.as_mut(), catalog) {
                (Some(book), Some(catalog)) => {
                    book.tick(now);
                    let decisions = plan::place(book, &catalog, now);
                    let n = decisions.len();
                    book.bind_all(decisions, now);
                    if n == 0 {
                        plan::preempt(book, &catalog, now);
                    }
                    n
                }
                _ => 0,
            }
        };
        if placed > 0 {
            debug!(placed, "placed");
        }
        node.wake.commit.notify_one();
        node.wake.fleet.notify_one();
        tokio::time::sleep(GAP).await;
    }
}

/// Everything stored before this controller's assignment is read; nothing older can come after,
/// since every placement is conditional on the assignment it was made under.
async fn load(node: &Arc<Node>) {
    loop {
        if node.fresh.wait().await {
            match node.store.list(TASKS).await {
                Ok((items, _)) => {
                    if load::fill(node, items).await {
                        return;
                    }
                }
                Err(error) => debug!(%error, "reading tasks"),
            }
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}
