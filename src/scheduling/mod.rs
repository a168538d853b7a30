//! Which task runs where: the owner's book, the decisions taken on it, and their loop.

pub mod book;
pub mod holds;
#[cfg(test)]
mod interleavings;
pub mod load;
pub mod plan;
pub mod room;
#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::debug;

pub use book::Book;

use crate::node::{Node, lock};

/// Placement follows events; this bounds how often, so that a burst is planned as one.
const GAP: Duration = Duration::from_millis(60);
const EVERY: Duration = Duration::from_millis(1000);
/// What time alone brings about is looked at this often.
const TICK: Duration = Duration::from_millis(250);
/// What is held for gangs is chosen anew this often.
const HOLD_EVERY: Duration = Duration::from_millis(2000);
/// A plan rests this many times as long as it took, so that reports and users are not kept
/// waiting however much there is to plan.
const REST: u32 = 4;

/// Reads what is stored, then plans on every event until this controller no longer owns.
pub async fn run(node: Arc<Node>) {
    load(&node).await;
    let (mut ticked, mut planned, mut hold_next) = (Instant::now(), None::<Instant>, Instant::now());
    loop {
        let _ = tokio::time::timeout(TICK, node.wake.plan.notified()).await;
        let now = Instant::now();
        let mut placed = None;
        if let (Some(book), Some(catalog)) = (lock(&node.book).as_mut(), node.catalog()) {
            if now.saturating_duration_since(ticked) >= TICK {
                ticked = now;
                book.tick(now);
            }
            if now >= hold_next {
                book.holds = holds::choose(book, &catalog, now);
                hold_next = now + HOLD_EVERY.max(now.elapsed() * REST * 2);
            }
            // Nothing that placement depends on changed: it would decide the same.
            if book.take_stirred() || planned.is_none_or(|at| now.saturating_duration_since(at) >= EVERY) {
                planned = Some(now);
                let decisions = plan::place(book, &catalog, now);
                placed = Some(decisions.len());
                if decisions.is_empty() {
                    plan::preempt(book, &catalog, now);
                } else {
                    book.bind_all(decisions, now);
                }
            }
        }
        if let Some(placed) = placed {
            if placed > 0 {
                debug!(placed, took_ms = now.elapsed().as_millis(), "placed");
                node.wake.commit.notify_one();
            }
            node.wake.fleet.notify_one();
        }
        tokio::time::sleep(GAP.max(now.elapsed() * REST)).await;
    }
}

/// Everything stored before this controller's assignment is read; nothing older can come after,
/// since every placement is conditional on the assignment it was made under.
async fn load(node: &Arc<Node>) {
    loop {
        if node.fresh.wait().await {
            match load::fill(node).await {
                Ok(()) => return,
                Err(error) => debug!(%error, "reading tasks"),
            }
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}
