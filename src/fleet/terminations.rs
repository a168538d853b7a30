//! Termination of machines at the cloud, each under a stored order.

use std::collections::VecDeque;
use std::time::Instant;

use tracing::debug;

use super::RETRY_DELAY;
use super::cloud_operations::CloudOperator;
use super::order_storage::NotStored;
use crate::cloud_orders::{CloudAction, MAX_MACHINES_PER_TERMINATION, TerminationCall};
use crate::scheduling::cluster::MachineState;
use crate::sync::jitter;

impl CloudOperator {
    /// Takes the machines whose termination is scheduled and not yet in progress, in groups for one call each. They
    /// count as being terminated from here on.
    pub(super) fn take_machines_to_terminate(&self) -> Vec<Vec<String>> {
        let guard = self.fleet.leader.cluster();
        let Some(cluster) = guard.as_ref() else { return Vec::new() };
        let mut operations = self.operations();
        let machines: Vec<String> = cluster
            .machines
            .values()
            .filter(|m| m.state == MachineState::Terminating && !operations.terminating.contains(&*m.id))
            .map(|m| m.id.to_string())
            .collect();
        operations.terminating.extend(machines.iter().cloned());
        // Overdue machines get calls of their own, since these may go out without a stored order. The others still wait
        // for their order to be stored.
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
    /// process pause, cannot store an order. If it is paused between storing the order and the call, it terminates only
    /// machines whose termination its successor has read from the store. Machines whose termination is overdue because
    /// of a cancellation are terminated without an order if the store does not answer, since a late cancellation is
    /// worse than a termination that was not needed. An order that is too large for the store is split into smaller ones.
    pub(super) async fn terminate(self, machines: Vec<String>) {
        let mut pending = VecDeque::from([machines]);
        while let Some(mut machines) = pending.pop_front() {
            let keys = match self.store_termination(&machines).await {
                Ok(key) => vec![key],
                Err(NotStored::GivenUp) => Vec::new(),
                Err(NotStored::TooLarge) => {
                    let second_half = machines.split_off(machines.len().div_ceil(2));
                    pending.extend([machines, second_half]);
                    continue;
                }
                Err(NotStored::Deposed) => return,
            };
            self.clone().complete_termination(TerminationCall { keys, machines }).await;
        }
    }

    /// Stores the order for the termination of these machines. Gives up if one of them is overdue.
    async fn store_termination(&self, machines: &[String]) -> Result<String, NotStored> {
        let is_overdue = || {
            let overdue = {
                let guard = self.fleet.leader.cluster();
                guard.as_ref().map(|cluster| cluster.overdue_machines(Instant::now())).unwrap_or_default()
            };
            machines.iter().any(|machine| overdue.contains(machine.as_str()))
        };
        self.store_order(CloudAction::Terminate(machines.to_vec()), is_overdue).await
    }

    /// Repeats the termination call until it succeeds: only the cloud's answer proves that the machines and all tasks
    /// on them are gone. Then removes the machines from the cluster state.
    pub(super) async fn complete_termination(self, call: TerminationCall) {
        let fleet = &self.fleet;
        if fleet.leader.cluster().is_none() {
            return;
        }
        while let Err(error) = fleet.cloud.terminate(call.machines.clone()).await {
            debug!(%error, count = call.machines.len(), "scale-in request failed");
            tokio::time::sleep(jitter(RETRY_DELAY)).await;
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
