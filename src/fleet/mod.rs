//! The machines: what the cloud offers, which machines to provision and which to terminate.

mod catalog;
pub mod cloud;
mod cloud_operations;
pub mod drain;
mod inventory;
pub mod manager;
mod order_storage;
mod provisioning;
pub mod scale_in;
pub mod scale_out;
mod schedule;
mod terminations;

use std::sync::Arc;
use std::time::{Duration, Instant};

pub use catalog::poll_catalog;
pub use manager::Fleet;
use schedule::FleetLoop;

/// Pause before a call to the cloud or the write of an order is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(700);
/// The longest wait for a notification.
const LONGEST_WAIT: Duration = Duration::from_millis(500);
/// Least pause between two rounds.
const LEAST_PAUSE: Duration = Duration::from_millis(1000);
/// A round is followed by a pause of this many times as long as it took, so that heartbeats and users are not kept
/// waiting.
const PAUSE_FACTOR: u32 = 8;

/// Lists, drains, provisions and terminates machines for as long as this controller leads.
pub async fn run(fleet: Arc<Fleet>) {
    let mut fleet_loop = FleetLoop::new(fleet.clone(), Instant::now());
    loop {
        let _ = tokio::time::timeout(LONGEST_WAIT, fleet.wakeups.fleet.notified()).await;
        if fleet.membership.unproven() || !is_loaded(&fleet) {
            continue;
        }
        fleet_loop.list_machines_if_due().await;
        let began = Instant::now();
        fleet_loop.run_round();
        tokio::time::sleep(LEAST_PAUSE.max(began.elapsed() * PAUSE_FACTOR)).await;
    }
}

fn is_loaded(fleet: &Fleet) -> bool {
    fleet.leader.cluster().as_ref().is_some_and(|cluster| cluster.loaded)
}
