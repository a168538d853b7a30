//! The machines and the cloud: what it offers, what to rent and what to return.

mod catalog;
pub mod cloud;
mod cloud_operations;
pub mod drain;
mod inventory;
pub mod manager;
mod order_log;
mod provisioning;
pub mod scale_in;
pub mod scale_out;
mod terminations;

use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::debug;

pub use catalog::learn_catalog;
use cloud_operations::SharedOperations;
use inventory::{take_list, tell_fleet};
use order_log::{inherited, tidy};
use provisioning::{carry_out, decide, rent as rent_all};
use terminations::{give_back, return_all, to_return};

use scale_in::surplus_machines;

pub use manager::Fleet;

/// Between two tries of a call to the cloud or of an order.
const RETRY: Duration = Duration::from_millis(700);
/// The cloud's list is read this often.
const LIST_EVERY: Duration = Duration::from_secs(5);
/// The longest wait for something to do.
const EVERY: Duration = Duration::from_millis(500);
/// Between two looks for what to rent.
const RENT_GAP: Duration = Duration::from_millis(1000);
/// Between two looks for what can be spared.
const DRAIN_GAP: Duration = Duration::from_millis(3000);
/// The fleet is told of in the log this often.
const TELL_EVERY: Duration = Duration::from_secs(15);
/// A look rests this many times as long as it took.
const REST: u32 = 8;

/// Lists, drains, rents and returns for as long as this controller leads.
pub async fn run(fleet: Arc<Fleet>) {
    let operations = SharedOperations::default();
    let (mut listed, mut told, mut drained) = (None::<Instant>, None::<Instant>, Instant::now());
    let (mut renting, mut returning) = (tokio::task::JoinSet::new(), tokio::task::JoinSet::new());
    let mut tidying = tokio::task::JoinSet::new();
    loop {
        let _ = tokio::time::timeout(EVERY, fleet.wakeups.fleet.notified()).await;
        if fleet.membership.unproven() || !fleet.leader.cluster().as_ref().is_some_and(|b| b.loaded) {
            continue;
        }
        if listed.is_none_or(|at| at.elapsed() >= LIST_EVERY) {
            listed = Some(Instant::now());
            match fleet.cloud.list().await {
                Ok(machines) => take_list(&fleet, machines),
                Err(error) => debug!(%error, "listing machines"),
            }
        }
        while renting.try_join_next().is_some() {}
        while returning.try_join_next().is_some() {}
        let begun = Instant::now();
        if drained.elapsed() >= DRAIN_GAP {
            drain_some(&fleet);
            drained = Instant::now();
            if told.is_none_or(|at| at.elapsed() >= TELL_EVERY) && tracing::enabled!(tracing::Level::DEBUG) {
                told = Some(Instant::now());
                tell_fleet(&fleet);
            }
        }
        let inherited = inherited(&fleet, &operations);
        for order in inherited.provisioning {
            renting.spawn(carry_out(fleet.clone(), operations.clone(), order.requests, order.key));
        }
        for call in inherited.terminations {
            returning.spawn(give_back(fleet.clone(), operations.clone(), call.machines, call.keys));
        }
        for rentals in decide(&fleet, &operations) {
            renting.spawn(rent_all(fleet.clone(), operations.clone(), rentals));
        }
        for names in to_return(&fleet, &operations) {
            returning.spawn(return_all(fleet.clone(), operations.clone(), names));
        }
        while tidying.try_join_next().is_some() {}
        if tidying.is_empty() {
            let (fleet, operations) = (fleet.clone(), operations.clone());
            tidying.spawn(async move { tidy(&fleet, &operations).await });
        }
        tokio::time::sleep(RENT_GAP.max(begun.elapsed() * REST)).await;
    }
}

/// Gives up machines that do not come up, and drains those that can be spared.
fn drain_some(fleet: &Fleet) {
    let now = Instant::now();
    let Some(catalog) = fleet.catalog.get() else { return };
    let mut held = fleet.leader.cluster();
    let Some(cluster) = held.as_mut() else { return };
    for machine in surplus_machines(cluster, &catalog, now) {
        cluster.terminate(&machine.id, machine.reason);
    }
    let chosen = drain::choose_drains(cluster, &catalog, now);
    if chosen.is_empty() {
        return;
    }
    for drain in chosen {
        cluster.drain(&drain.machine, &drain.moves, now);
    }
    cluster.tick(now);
    fleet.wakeups.dispatch.notify_one();
}
