//! Machines in the cluster state, from their provisioning to their return.

use std::time::{Duration, Instant};

use tracing::info;

use super::{ClusterState, Machine, MachineId, MachineState};
use crate::cloud_orders::{CloudAction, CloudOrder};
use crate::machine_kinds::MachineKind;
use crate::protocol::workers::TaskKey;

/// Maximum ids of returned machines that are kept, so that a late heartbeat does not add such a machine again. Beyond
/// that, the oldest id is dropped.
const MAX_RETURNED_MACHINES: usize = 20_000;

/// A task that is stopped on its machine so that it continues elsewhere.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskMove {
    /// The task.
    pub task: TaskKey,
    /// Grace period in seconds: the time in which the task saves a checkpoint.
    pub grace_s: u64,
}

impl ClusterState {
    /// Adds a machine that was provisioned or that the cloud lists, before it reports. `provisioned_for`: the time
    /// since it was provisioned.
    pub fn expect_machine(
        &mut self,
        id: &str,
        kind: &MachineKind,
        addr: Option<&str>,
        provisioned_for: Duration,
        now: Instant,
    ) {
        let id: MachineId = id.into();
        if self.returned_machine_ids.contains(&id) {
            return;
        }
        let kind_index = self.kind_index(&kind.type_name, &kind.zone, kind.spot);
        let machine = self.machines.entry(id.clone()).or_insert_with(|| Machine::new(id, now));
        self.replan_needed |= !std::mem::replace(&mut machine.confirmed, true) && machine.reported();
        // A new leader may learn of a machine before it learns when the machine was provisioned.
        machine.provisioned_at = machine.provisioned_at.min(now.checked_sub(provisioned_for).unwrap_or(now));
        if !machine.reported() {
            machine.type_name = kind.type_name.clone();
            machine.zone = kind.zone.clone();
            machine.spot = kind.spot;
            machine.kind_index = kind_index;
            if let Some(addr) = addr.filter(|a| a.parse::<std::net::SocketAddr>().is_ok()) {
                machine.addr = Some(addr.to_owned());
            }
        }
    }

    /// Records that the cloud lists a machine as up.
    pub fn record_listed_up(&mut self, id: &str, now: Instant) {
        // From now on it is expected to report; until now it was booting, as far as this leader knows.
        if let Some(machine) = self.machines.get_mut(id).filter(|m| !m.reported() && !m.listed_up) {
            (machine.listed_up, machine.last_seen) = (true, now);
        }
    }

    /// Schedules a machine to be returned with whatever runs on it; `reason` goes to the log.
    pub fn schedule_termination(&mut self, id: &str, reason: &str) {
        if let Some(machine) = self.machines.get_mut(id)
            && machine.state != MachineState::Terminating
        {
            info!(machine = %id, reason, bound_tasks = machine.bound.len(), "machine termination scheduled");
            machine.state = MachineState::Terminating;
        }
    }

    /// Records the orders that an earlier leader has stored and may still carry out. Machines that they return take no
    /// more work, whether or not they were known before.
    pub fn inherit_orders(&mut self, orders: Vec<CloudOrder>, now: Instant) {
        for order in &orders {
            let CloudAction::Terminate(names) = &order.action else { continue };
            for name in names {
                let id: MachineId = name.as_str().into();
                if !self.returned_machine_ids.contains(&id) {
                    self.machines.entry(id.clone()).or_insert_with(|| Machine::new(id, now));
                    self.schedule_termination(name, "ordered by an earlier leader");
                }
            }
        }
        self.inherited_orders = orders;
    }

    /// Cancels the drain of a scale-in candidate, because work that would otherwise wait is placed on it.
    pub fn cancel_drain(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        if machine.state == MachineState::Draining && machine.scale_in_candidate {
            (machine.state, machine.scale_in_candidate) = (MachineState::Up, false);
            info!(machine = %id, "machine drain cancelled");
        }
    }

    /// Drains a machine that is not needed; the tasks in `moves` save a checkpoint and continue elsewhere.
    pub fn drain_machine(&mut self, id: &MachineId, moves: &[TaskMove], now: Instant) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        (machine.state, machine.scale_in_candidate) = (MachineState::Draining, true);
        let (bound_tasks, moved_tasks) = (machine.bound.len(), moves.len());
        info!(machine = %id, bound_tasks, moved_tasks, "machine drain started");
        for task_move in moves {
            self.halt_task_or_gang(&task_move.task, task_move.grace_s, now);
        }
    }

    /// Removes a machine whose return the cloud has confirmed: everything on it is gone.
    pub fn remove_machine(&mut self, id: &MachineId, now: Instant) {
        let Some(machine) = self.machines.get(id) else { return };
        let keys: Vec<TaskKey> = machine.bound.iter().cloned().collect();
        for key in keys {
            self.record_task_loss(&key, now);
            self.unbind_task(&key, now);
        }
        self.machines.remove(id);
        self.retry_jobs_failed_on(id, now);
        if self.returned_machine_ids.insert(id.clone()) {
            self.returned_machines.push_back(id.clone());
        }
        if self.returned_machines.len() > MAX_RETURNED_MACHINES
            && let Some(oldest) = self.returned_machines.pop_front()
        {
            self.returned_machine_ids.remove(&oldest);
        }
    }
}
