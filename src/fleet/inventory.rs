//! What the cloud lists, taken into the cluster state, and the fleet as operators see it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tracing::debug;

use super::cloud;
use super::manager::Fleet;
use crate::machine_kinds::MachineKind;
use crate::scheduling::cluster::MachineState;
use crate::scheduling::room::Ground;

/// Machines that the cloud lists, with their ages and states.
pub(super) fn take_list(fleet: &Fleet, machines: Vec<cloud::CloudMachine>) {
    let now = Instant::now();
    let mut held = fleet.leader.cluster();
    let Some(cluster) = held.as_mut() else { return };
    for machine in machines {
        let age = Duration::try_from_secs_f64(machine.held_s).unwrap_or_default();
        let kind = MachineKind { type_name: machine.type_name, zone: machine.zone, spot: machine.spot };
        cluster.expect(&machine.id, &kind, machine.addr.as_deref(), age, now);
        match machine.state.as_str() {
            "failed" => cluster.terminate(&machine.id, "failed by the cloud's word"),
            "running" => cluster.listed_up(&machine.id, now),
            _ => {}
        }
    }
    fleet.wakeups.dispatch.notify_one();
}

/// What is held of each kind and how full it is, for whoever looks at costs.
pub(super) fn tell_fleet(fleet: &Fleet) {
    let (Some(catalog), held) = (fleet.catalog.get(), fleet.leader.cluster()) else { return };
    let Some(cluster) = held.as_ref() else { return };
    let ground = Ground::new(cluster, &catalog);
    let mut held_of = BTreeMap::<usize, (u32, u32, u32, u32, f64, f64)>::new();
    for machine in cluster.machines.values() {
        let Some(room) = ground.room(machine) else { continue };
        let of = held_of.entry(room.kind).or_default();
        match machine.state {
            MachineState::Booting => of.0 += 1,
            MachineState::Up => of.1 += 1,
            MachineState::Draining | MachineState::Terminating => of.2 += 1,
        }
        if machine.state != MachineState::Booting {
            of.3 += u32::from(machine.bound.is_empty());
            of.4 += machine.taken().cpus / room.of.cpus;
            of.5 += if room.of.gpus > 0.0 { machine.taken().gpus / room.of.gpus } else { 0.0 };
        }
    }
    for (kind, (booting, up, leaving, empty, cpus, gpus)) in held_of {
        let n = f64::from((up + leaving).max(1));
        let (cpus_used, gpus_used) = ((100.0 * cpus / n).round(), (100.0 * gpus / n).round());
        let kind = &cluster.kinds()[kind];
        debug!(%kind, booting, up, leaving, empty, cpus_used, gpus_used, "fleet");
    }
}
