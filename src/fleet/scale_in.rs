//! Which machines to terminate because they never came up or are idle: a pure function of the cluster state and the
//! time.

use std::time::{Duration, Instant};

use crate::machine_kinds::Catalog;
use crate::scheduling::cluster::{ClusterState, Machine, MachineId, MachineState};
use crate::scheduling::intents;

/// Grace period on top of a machine type's usual boot time.
const BOOT_GRACE: Duration = Duration::from_secs(10);
/// Boot time of a machine type that the catalog does not list, in seconds.
const UNKNOWN_BOOT_S: f64 = 60.0;

/// A machine that is to be terminated.
#[derive(Debug)]
pub struct SurplusMachine {
    /// The machine.
    pub id: MachineId,
    /// Why, for the log.
    pub reason: &'static str,
}

/// Machines that boot for too long or have been idle for too long.
pub fn find_surplus_machines(cluster: &ClusterState, catalog: &Catalog, now: Instant) -> Vec<SurplusMachine> {
    let kept = intents::idle_machines_to_keep(cluster, catalog, now);
    let mut surplus = Vec::new();
    for machine in cluster.machines.values() {
        let reason = match machine.state {
            // A machine that was up before has a patience of its own (`ClusterState::tick`).
            MachineState::Booting if machine.report_expected() => None,
            MachineState::Booting => never_came_up(cluster, catalog, machine, now).then_some("never came up"),
            MachineState::Up => {
                (is_idle_for_too_long(cluster, machine, now) && !kept.contains(&machine.id)).then_some("idle")
            }
            MachineState::Draining | MachineState::Terminating => None,
        };
        surplus.extend(reason.map(|reason| SurplusMachine { id: machine.id.clone(), reason }));
    }
    surplus
}

fn never_came_up(cluster: &ClusterState, catalog: &Catalog, machine: &Machine, now: Instant) -> bool {
    let age = now.saturating_duration_since(machine.rented_at);
    let usual_s = catalog.get(&machine.type_name).map_or(UNKNOWN_BOOT_S, |machine_type| machine_type.boot_s);
    let patience = Duration::from_secs_f64(usual_s * cluster.properties.boot_patience) + BOOT_GRACE;
    // A new leader has not heard yet of machines that were up long before it.
    let known_for = now.saturating_duration_since(machine.last_seen);
    age > patience && known_for > cluster.properties.silence
}

fn is_idle_for_too_long(cluster: &ClusterState, machine: &Machine, now: Instant) -> bool {
    let idle_for = machine.idle_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
    machine.bound.is_empty() && idle_for > cluster.properties.idle
}
