//! Fleet management: reads the cloud's catalog and list of machines, decides which machines to provision, drain and
//! terminate, and carries this out at the cloud.

mod catalog;
pub mod cloud;
mod cloud_operations;
pub mod drain;
mod fleet_loop;
mod inventory;
pub mod manager;
mod order_storage;
mod provisioning;
pub mod scale_in;
pub mod scale_out;
mod terminations;

use std::sync::Arc;
use std::time::{Duration, Instant};

pub use catalog::poll_catalog;
use fleet_loop::FleetLoop;
pub use manager::Fleet;

/// Delay before a call to the cloud or the write of an order is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(700);
/// Maximum time that the loop waits for a wake-up.
const MAX_WAKEUP_WAIT: Duration = Duration::from_millis(500);
/// Minimum pause between two rounds.
const MIN_ROUND_PAUSE: Duration = Duration::from_millis(1000);
/// Ratio of the pause after a round to the duration of the round. It limits the loop's share of processing time, so
/// that heartbeats and user requests are not kept waiting.
const PAUSE_TO_ROUND_RATIO: u32 = 8;

/// Lists, drains, provisions and terminates machines for as long as this controller leads. Skips rounds while the
/// leadership is unproven or the cluster state is not loaded.
pub async fn run(fleet: Arc<Fleet>) {
    let mut fleet_loop = FleetLoop::new(fleet.clone(), Instant::now());
    loop {
        let _ = tokio::time::timeout(MAX_WAKEUP_WAIT, fleet.wakeups.fleet.notified()).await;
        if fleet.membership.unproven() || !is_cluster_loaded(&fleet) {
            continue;
        }
        fleet_loop.list_machines_if_due().await;
        let started_at = Instant::now();
        fleet_loop.run_round();
        tokio::time::sleep(MIN_ROUND_PAUSE.max(started_at.elapsed() * PAUSE_TO_ROUND_RATIO)).await;
    }
}

/// Whether this controller leads and has loaded the whole cluster state.
fn is_cluster_loaded(fleet: &Fleet) -> bool {
    fleet.leader.cluster().as_ref().is_some_and(|cluster| cluster.loaded)
}
