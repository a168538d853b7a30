//! Inventory of the fleet: records the machines that the cloud lists in the cluster state, and logs a summary for
//! operators.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tracing::debug;

use super::cloud::CloudMachine;
use super::manager::Fleet;
use crate::machine_kinds::MachineKind;
use crate::scheduling::capacity::{CapacityContext, FreeCapacity};
use crate::scheduling::cluster::{Machine, MachineState};

/// Records the listed machines in the cluster state, with their ages and states.
pub(super) fn record_listed_machines(fleet: &Fleet, machines: Vec<CloudMachine>) {
    let now = Instant::now();
    let mut guard = fleet.leader.cluster();
    let Some(cluster) = guard.as_mut() else { return };
    for machine in machines {
        let age = Duration::try_from_secs_f64(machine.held_s).unwrap_or_default();
        let kind = MachineKind { type_name: machine.type_name, zone: machine.zone, spot: machine.spot };
        cluster.expect_machine(&machine.id, &kind, machine.addr.as_deref(), age, now);
        match machine.state.as_str() {
            "failed" => cluster.schedule_termination(&machine.id, "reported as failed by the cloud"),
            "running" => cluster.record_listed_up(&machine.id, now),
            _ => {}
        }
    }
    fleet.wakeups.dispatch.notify_one();
}

/// Number of machines of one kind by state, and their utilization.
#[derive(Default)]
struct KindSummary {
    booting: u32,
    up: u32,
    /// Machines that drain or are being terminated.
    terminating: u32,
    /// Machines that do not boot and have no task bound.
    idle: u32,
    /// Sum over the machines of the used fraction of the cores, from 0 to 1 each.
    cpus_used_fractions: f64,
    /// Sum over the machines of the used fraction of the accelerators, from 0 to 1 each.
    gpus_used_fractions: f64,
}

impl KindSummary {
    /// Adds one machine to the summary.
    fn add(&mut self, machine: &Machine, capacity: &FreeCapacity) {
        match machine.state {
            MachineState::Booting => self.booting += 1,
            MachineState::Up => self.up += 1,
            MachineState::Draining | MachineState::Terminating => self.terminating += 1,
        }
        if machine.state != MachineState::Booting {
            let allocated = machine.allocated();
            self.idle += u32::from(machine.bound.is_empty());
            self.cpus_used_fractions += allocated.cpus / capacity.machine_type.cpus;
            self.gpus_used_fractions +=
                if capacity.machine_type.gpus > 0.0 { allocated.gpus / capacity.machine_type.gpus } else { 0.0 };
        }
    }

    /// Converts a sum of used fractions to the average over the machines that do not boot, in percent.
    fn average_percent(&self, used_fractions: f64) -> f64 {
        (100.0 * used_fractions / f64::from((self.up + self.terminating).max(1))).round()
    }
}

/// Logs the number of machines of each kind by state and their utilization, for operators who watch costs.
pub(super) fn log_fleet_summary(fleet: &Fleet) {
    let (Some(catalog), guard) = (fleet.catalog.get(), fleet.leader.cluster()) else { return };
    let Some(cluster) = guard.as_ref() else { return };
    let context = CapacityContext::new(cluster, &catalog);
    let mut summaries = BTreeMap::<usize, KindSummary>::new();
    for machine in cluster.machines.values() {
        let Some(capacity) = context.capacity(machine) else { continue };
        summaries.entry(capacity.kind).or_default().add(machine, &capacity);
    }
    for (kind, summary) in summaries {
        debug!(
            machine_kind = %cluster.kinds()[kind],
            booting = summary.booting,
            up = summary.up,
            terminating = summary.terminating,
            idle = summary.idle,
            cpus_used_percent = summary.average_percent(summary.cpus_used_fractions),
            gpus_used_percent = summary.average_percent(summary.gpus_used_fractions),
            "fleet summarized"
        );
    }
}
