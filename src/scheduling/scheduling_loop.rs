//! The scheduling loop: loads the cluster state when this controller becomes the leader, then plans on every event.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::debug;

use super::load;
use super::schedule::{PAUSE_TO_PLAN_TIME_RATIO, Schedule, TICK_INTERVAL};
use super::scheduler::Scheduler;

/// Minimum pause between two plans, so that a burst of events leads to a single plan.
const MIN_PLAN_PAUSE: Duration = Duration::from_millis(60);
/// Pause before a failed load is retried.
const LOAD_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Loads the cluster state, then plans on every event until this controller no longer leads.
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
        tokio::time::sleep(MIN_PLAN_PAUSE.max(now.elapsed() * PAUSE_TO_PLAN_TIME_RATIO)).await;
    }
}

/// Loads everything that was stored before this controller's leader record. Earlier leaders cannot store placements
/// after it, since every placement is conditional on the leader record under which it was made.
async fn load_until_done(scheduler: &Arc<Scheduler>) {
    loop {
        if scheduler.store.read_barrier.wait_for_proof().await {
            match load::load_cluster_state(scheduler).await {
                Ok(()) => return,
                Err(error) => debug!(%error, "cluster state load failed"),
            }
        }
        tokio::time::sleep(LOAD_RETRY_PAUSE).await;
    }
}
