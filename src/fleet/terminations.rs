//! Returning machines that are terminating, under a stored order.

use std::sync::Arc;
use std::time::Instant;

use tracing::debug;

use super::RETRY;
use super::cloud_operations::SharedOperations;
use super::order_log::store;
use crate::cloud_orders::{CloudAction, MOST_RETURNED, StoreStep};
use crate::controller::Controller;
use crate::scheduling::cluster::MachineState;
use crate::sync::{jitter, lock};

/// Machines to be returned now, in calls of as many as the cloud takes.
pub(super) fn to_return(node: &Controller, operations: &SharedOperations) -> Vec<Vec<String>> {
    let held = node.leader.cluster();
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
pub(super) async fn return_all(node: Arc<Controller>, operations: SharedOperations, names: Vec<String>) {
    let urgent = || {
        let overdue = node.leader.cluster().as_ref().map(|b| b.overdue(Instant::now())).unwrap_or_default();
        names.iter().any(|n| overdue.contains(n.as_str()))
    };
    match store(&node, &operations, CloudAction::Terminate(names.clone()), urgent).await {
        Ok(key) => give_back(node.clone(), operations, names.clone(), vec![key]).await,
        Err(StoreStep::Retry) => give_back(node.clone(), operations, names.clone(), Vec::new()).await,
        Err(_) => {}
    }
}

/// Asked again until answered: only the answer proves that the machines and all on them are gone.
pub(super) async fn give_back(
    node: Arc<Controller>,
    operations: SharedOperations,
    names: Vec<String>,
    keys: Vec<String>,
) {
    if node.leader.cluster().is_none() {
        return;
    }
    while let Err(error) = node.cloud.give_back(names.clone()).await {
        debug!(%error, "returning machines");
        tokio::time::sleep(jitter(RETRY)).await;
    }
    let now = Instant::now();
    if let Some(cluster) = node.leader.cluster().as_mut() {
        for name in &names {
            cluster.machine_gone(&name.as_str().into(), now);
        }
    }
    let mut operations = lock(&operations);
    for name in &names {
        operations.returning.remove(name);
    }
    operations.finished.extend(keys);
    node.wakeups.plan.notify_one();
}
