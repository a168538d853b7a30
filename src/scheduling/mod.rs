//! Which task runs where: the leader's cluster state, the decisions taken on it, and their loop.

pub mod backfill;
pub mod cluster;
pub mod commit;
pub mod due;
pub mod failure_attribution;
pub mod fairness;
pub mod forecast;
pub mod ids;
pub mod intents;
#[cfg(test)]
mod interleavings;
pub mod large;
pub mod leader_state;
pub mod load;
pub mod messages;
pub mod one_way_partition;
pub mod passed_over;
pub mod plan;
pub mod preempt;
pub mod promises;
pub mod reservations;
pub mod room;
mod schedule;
pub mod scheduler;
mod service_report;
#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::debug;

pub use cluster::ClusterState;

use schedule::{Schedule, TICK_INTERVAL};
pub use scheduler::Scheduler;

/// Placement follows events; this bounds how often, so that a burst is planned as one.
const LEAST_PAUSE: Duration = Duration::from_millis(60);
/// A plan is followed by a pause of this many times as long as it took, so that heartbeats and users are not kept
/// waiting however much there is to plan.
const PAUSE_FACTOR: u32 = 4;
/// Pause before what is stored is read again, after a failure.
const LOAD_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Reads what is stored, then plans on every event until this controller no longer leads.
pub async fn run(scheduler: Arc<Scheduler>) {
    load_until_done(&scheduler).await;
    let mut schedule = Schedule::new(Instant::now());
    loop {
        let _ = tokio::time::timeout(TICK_INTERVAL, scheduler.wakeups.plan.notified()).await;
        if scheduler.membership.unproven() {
            continue;
        }
        let now = Instant::now();
        scheduler.refresh_intents(now);
        let placed = match (scheduler.leader.cluster().as_mut(), scheduler.catalog.get()) {
            (Some(cluster), Some(catalog)) => schedule.run_due_steps(cluster, &scheduler.leader, &catalog, now),
            _ => None,
        };
        if let Some(placed) = placed {
            if placed > 0 {
                debug!(count = placed, took_ms = now.elapsed().as_millis(), "tasks placed");
                scheduler.wakeups.commit.notify_one();
            }
            scheduler.wakeups.fleet.notify_one();
        }
        tokio::time::sleep(LEAST_PAUSE.max(now.elapsed() * PAUSE_FACTOR)).await;
    }
}

/// Everything stored before this controller's leader record is read; nothing older can come after,
/// since every placement is conditional on the leader record it was made under.
async fn load_until_done(scheduler: &Arc<Scheduler>) {
    loop {
        if scheduler.store.read_barrier.wait().await {
            match load::load_cluster_state(scheduler).await {
                Ok(()) => return,
                Err(error) => debug!(%error, "cluster state load failed"),
            }
        }
        tokio::time::sleep(LOAD_RETRY_PAUSE).await;
    }
}
