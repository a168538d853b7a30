//! The machines that the cloud lists, recorded in the cluster state, and a summary of the fleet for operators.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tracing::debug;

use super::cloud::CloudMachine;
use super::manager::Fleet;
use crate::machine_kinds::MachineKind;
use crate::scheduling::capacity::{CapacityContext, FreeCapacity};
use crate::scheduling::cluster::{Machine, MachineState};

/// Records the machines that the cloud lists, with their ages and states.
pub(super) fn record_listed_machines(fleet: &Fleet, machines: Vec<CloudMachine>) {
    let now = Instant::now();
    let mut held = fleet.leader.cluster();
    let Some(cluster) = held.as_mut() else { return };
    for machine in machines {
        let age = Duration::try_from_secs_f64(machine.held_s).unwrap_or_default();
        let kind = MachineKind { type_name: machine.type_name, zone: machine.zone, spot: machine.spot };
        cluster.expect_machine(&machine.id, &kind, machine.addr.as_deref(), age, now);
        match machine.state.as_str() {
            "failed" => cluster.schedule_termination(&machine.id, "failed by the cloud's word"),
            "running" => cluster.record_listed_up(&machine.id, now),
            _ => {}
        }
    }
    fleet.wakeups.dispatch.notify_one();
}

/// Machines of one kind by state, and their utilization.
#[derive(Default)]
struct KindSummary {
    booting: u32,
    up: u32,
    /// Draining or being terminated.
    terminating: u32,
    /// Not booting, with no task bound.
    idle: u32,
    /// Sum of the used parts of each machine's cores, from 0 to 1 each.
    cpus_used: f64,
    /// The same of accelerators.
    gpus_used: f64,
}

impl KindSummary {
    fn add(&mut self, machine: &Machine, capacity: &FreeCapacity) {
        match machine.state {
            MachineState::Booting => self.booting += 1,
            MachineState::Up => self.up += 1,
            MachineState::Draining | MachineState::Terminating => self.terminating += 1,
        }
        if machine.state != MachineState::Booting {
            let taken = machine.allocated();
            self.idle += u32::from(machine.bound.is_empty());
            self.cpus_used += taken.cpus / capacity.machine_type.cpus;
            self.gpus_used +=
                if capacity.machine_type.gpus > 0.0 { taken.gpus / capacity.machine_type.gpus } else { 0.0 };
        }
    }

    /// The average of a sum of used parts over the machines that do not boot, in percent.
    fn percent(&self, used: f64) -> f64 {
        (100.0 * used / f64::from((self.up + self.terminating).max(1))).round()
    }
}

/// Logs how many machines of each kind there are and how full they are, for operators who look at costs.
pub(super) fn log_fleet_summary(fleet: &Fleet) {
    let (Some(catalog), held) = (fleet.catalog.get(), fleet.leader.cluster()) else { return };
    let Some(cluster) = held.as_ref() else { return };
    let ground = CapacityContext::new(cluster, &catalog);
    let mut summaries = BTreeMap::<usize, KindSummary>::new();
    for machine in cluster.machines.values() {
        let Some(capacity) = ground.capacity(machine) else { continue };
        summaries.entry(capacity.kind).or_default().add(machine, &capacity);
    }
    for (kind, summary) in summaries {
        debug!(
            machine_kind = %cluster.kinds()[kind],
            booting = summary.booting,
            up = summary.up,
            terminating = summary.terminating,
            idle = summary.idle,
            cpus_used_percent = summary.percent(summary.cpus_used),
            gpus_used_percent = summary.percent(summary.gpus_used),
            "fleet summarized"
        );
    }
}
