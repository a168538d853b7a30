//! Choice of the machines to terminate because they never came up or are idle: a pure function of the cluster state and
//! the time.

use std::time::{Duration, Instant};

use crate::machine_kinds::Catalog;
use crate::scheduling::cluster::{ClusterState, Machine, MachineId, MachineState};
use crate::scheduling::intents;

/// Grace period on top of the boot patience, which is a multiple of the machine type's usual boot time.
const BOOT_GRACE: Duration = Duration::from_secs(10);
/// Assumed boot time in seconds of a machine type that the catalog does not list.
const DEFAULT_BOOT_S: f64 = 60.0;

/// Machine to terminate.
#[derive(Debug)]
pub struct SurplusMachine {
    /// Id of the machine.
    pub id: MachineId,
    /// Reason of the termination, for the log.
    pub reason: &'static str,
}

/// Returns the machines that have booted or been idle for too long.
pub fn find_surplus_machines(cluster: &ClusterState, catalog: &Catalog, now: Instant) -> Vec<SurplusMachine> {
    let idle_to_keep = intents::idle_machines_to_keep(cluster, catalog, now);
    let mut surplus = Vec::new();
    for machine in cluster.machines.values() {
        let reason = match machine.state {
            // A machine that was up before has a timeout of its own (`ClusterState::tick`).
            MachineState::Booting if machine.report_expected() => None,
            MachineState::Booting => never_came_up(cluster, catalog, machine, now).then_some("never came up"),
            MachineState::Up => {
                (is_idle_for_too_long(cluster, machine, now) && !idle_to_keep.contains(&machine.id)).then_some("idle")
            }
            MachineState::Draining | MachineState::Terminating => None,
        };
        surplus.extend(reason.map(|reason| SurplusMachine { id: machine.id.clone(), reason }));
    }
    surplus
}

/// Whether a machine has not reported within the time that its type may take to boot.
fn never_came_up(cluster: &ClusterState, catalog: &Catalog, machine: &Machine, now: Instant) -> bool {
    let age = now.saturating_duration_since(machine.provisioned_at);
    let usual_s = catalog.get(&machine.type_name).map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s);
    let boot_timeout = Duration::from_secs_f64(usual_s * cluster.properties.max_boot_ratio) + BOOT_GRACE;
    // A new leader may not have received a heartbeat yet from a machine that was up before its term.
    let known_for = now.saturating_duration_since(machine.last_seen);
    age > boot_timeout && known_for > cluster.properties.silence_timeout
}

/// Whether a machine has had no bound task for longer than idle machines are kept.
fn is_idle_for_too_long(cluster: &ClusterState, machine: &Machine, now: Instant) -> bool {
    let idle_for = machine.idle_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
    machine.bound.is_empty() && idle_for > cluster.properties.idle_timeout
}
