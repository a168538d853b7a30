//! Returning machines that are terminating, under a stored order.

use std::sync::Arc;
use std::time::Instant;

use tracing::debug;

use super::RETRY;
use super::cloud_operations::SharedOperations;
use super::manager::Fleet;
use super::order_log::store;
use crate::cloud_orders::{CloudAction, MOST_RETURNED, StoreStep};
use crate::scheduling::cluster::MachineState;
use crate::sync::{jitter, lock};

/// Machines to be returned now, in calls of as many as the cloud takes.
pub(super) fn to_return(fleet: &Fleet, operations: &SharedOperations) -> Vec<Vec<String>> {
    let held = fleet.leader.cluster();
    let Some(cluster) = held.as_ref() else { return Vec::new() };
    let mut operations = lock(operations);
    let names: Vec<String> = cluster
        .machines
        .values()
        .filter(|m| m.state == MachineState::Terminating && !operations.returning.contains(&*m.id))
        .map(|m| m.id.to_string())
        .collect();
    operations.returning.extend(names.iter().cloned());
    // What is urgent goes by itself, so that it takes nothing else along.
    let overdue = cluster.overdue(Instant::now());
    let (urgent, rest): (Vec<String>, Vec<String>) = names.into_iter().partition(|n| overdue.contains(n.as_str()));
    urgent.chunks(MOST_RETURNED).chain(rest.chunks(MOST_RETURNED)).map(<[String]>::to_vec).collect()
}

/// Returns machines once the order for it is stored. A controller that was deposed without knowing, as
/// after a process pause, stores none; one that is paused between the two returns what its
/// successor has read to be returned. Only what a cancellation makes urgent goes without where the store
/// does not answer, since too late would be worse than too much.
pub(super) async fn return_all(fleet: Arc<Fleet>, operations: SharedOperations, names: Vec<String>) {
    let urgent = || {
        let overdue = fleet.leader.cluster().as_ref().map(|b| b.overdue(Instant::now())).unwrap_or_default();
        names.iter().any(|n| overdue.contains(n.as_str()))
    };
    match store(&fleet, &operations, CloudAction::Terminate(names.clone()), urgent).await {
        Ok(key) => give_back(fleet.clone(), operations, names.clone(), vec![key]).await,
        Err(StoreStep::Retry) => give_back(fleet.clone(), operations, names.clone(), Vec::new()).await,
        Err(_) => {}
    }
}

/// Asked again until answered: only the answer proves that the machines and all on them are gone.
pub(super) async fn give_back(fleet: Arc<Fleet>, operations: SharedOperations, names: Vec<String>, keys: Vec<String>) {
    if fleet.leader.cluster().is_none() {
        return;
    }
    while let Err(error) = fleet.cloud.give_back(names.clone()).await {
        debug!(%error, "returning machines");
        tokio::time::sleep(jitter(RETRY)).await;
    }
    let now = Instant::now();
    if let Some(cluster) = fleet.leader.cluster().as_mut() {
        for name in &names {
            cluster.machine_gone(&name.as_str().into(), now);
        }
    }
    let mut operations = lock(&operations);
    for name in &names {
        operations.returning.remove(name);
    }
    operations.finished.extend(keys);
    fleet.wakeups.plan.notify_one();
}
