//! Termination of machines at the cloud, under a stored order.

use std::time::Instant;

use tracing::debug;

use super::RETRY_PAUSE;
use super::cloud_operations::CloudOperator;
use super::order_storage::NotStored;
use crate::cloud_orders::{CloudAction, MAX_MACHINES_PER_TERMINATION, TerminationCall};
use crate::scheduling::cluster::MachineState;
use crate::sync::jitter;

impl CloudOperator {
    /// Machines to terminate now, in groups of as many as the cloud takes in one call. They count as being terminated
    /// from here on.
    pub(super) fn take_machines_to_terminate(&self) -> Vec<Vec<String>> {
        let held = self.fleet.leader.cluster();
        let Some(cluster) = held.as_ref() else { return Vec::new() };
        let mut operations = self.operations();
        let machines: Vec<String> = cluster
            .machines
            .values()
            .filter(|m| m.state == MachineState::Terminating && !operations.terminating.contains(&*m.id))
            .map(|m| m.id.to_string())
            .collect();
        operations.terminating.extend(machines.iter().cloned());
        // Overdue ones get calls of their own, so that the others still wait for their order to be stored.
        let overdue = cluster.overdue_machines(Instant::now());
        let (overdue, others): (Vec<String>, Vec<String>) =
            machines.into_iter().partition(|machine| overdue.contains(machine.as_str()));
        overdue
            .chunks(MAX_MACHINES_PER_TERMINATION)
            .chain(others.chunks(MAX_MACHINES_PER_TERMINATION))
            .map(<[String]>::to_vec)
            .collect()
    }

    /// Terminates machines once the order for it is stored. A controller that was deposed without knowing, as after a
    /// process pause, cannot store one; one that is paused between the two terminates what its successor has read to be
    /// terminated. Only machines whose termination is overdue because of a cancellation are terminated without an order
    /// where the store does not answer, since too late would be worse than too much.
    pub(super) async fn terminate(self, machines: Vec<String>) {
        let is_overdue = || {
            let overdue = {
                let held = self.fleet.leader.cluster();
                held.as_ref().map(|cluster| cluster.overdue_machines(Instant::now())).unwrap_or_default()
            };
            machines.iter().any(|machine| overdue.contains(machine.as_str()))
        };
        let keys = match self.store_order(CloudAction::Terminate(machines.clone()), is_overdue).await {
            Ok(key) => vec![key],
            Err(NotStored::GivenUp) => Vec::new(),
            Err(NotStored::Deposed) => return,
        };
        self.complete_termination(TerminationCall { keys, machines }).await;
    }

    /// Calls the cloud until it answers: only the answer proves that the machines and all tasks on them are gone.
    pub(super) async fn complete_termination(self, call: TerminationCall) {
        let fleet = &self.fleet;
        if fleet.leader.cluster().is_none() {
            return;
        }
        while let Err(error) = fleet.cloud.terminate(call.machines.clone()).await {
            debug!(%error, count = call.machines.len(), "scale-in request failed");
            tokio::time::sleep(jitter(RETRY_PAUSE)).await;
        }
        let now = Instant::now();
        if let Some(cluster) = fleet.leader.cluster().as_mut() {
            for machine in &call.machines {
                cluster.remove_machine(&machine.as_str().into(), now);
            }
        }
        let mut operations = self.operations();
        for machine in &call.machines {
            operations.terminating.remove(machine);
        }
        operations.completed.extend(call.keys);
        fleet.wakeups.plan.notify_one();
    }
}
