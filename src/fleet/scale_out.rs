//! Which machines to provision so that waiting work starts in time: pure functions of the cluster state and the time.

mod capacity_refusals;
mod cheapest_offer;
mod planner;

use std::collections::HashMap;
use std::time::{Duration, Instant};

pub use capacity_refusals::CapacityRefusals;
use planner::{ScaleOutPlanner, place_expected_arrivals};

use crate::machine_kinds::{Catalog, MachineKind};
use crate::scheduling::capacity::CapacityContext;
use crate::scheduling::cluster::ClusterState;
use crate::scheduling::plan::{QueuedJob, queue};

/// Work that has waited no longer than this is placed before expected arrivals.
const FRESH: Duration = Duration::from_secs(20);

/// How many machines of one kind to provision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineDemand {
    /// Kind of the machines.
    pub kind: MachineKind,
    /// How many of them.
    pub count: u64,
}

/// How many machines of each kind there are, in whatever state.
pub fn machines_by_kind(cluster: &ClusterState) -> HashMap<MachineKind, u64> {
    let mut counts = vec![0u64; cluster.kinds().len()];
    for kind in cluster.machines.values().filter_map(|machine| machine.kind_index) {
        if let Some(count) = counts.get_mut(kind) {
            *count += 1;
        }
    }
    cluster.kinds().iter().cloned().zip(counts).filter(|(_, count)| *count > 0).collect()
}

/// Which machines to provision: cheap kinds soon, dear ones only when the slack of the work asks for it. `requested`
/// counts machines that the cloud was asked for and has not named yet. Kinds are in ascending order.
pub fn plan_scale_out(
    cluster: &ClusterState,
    catalog: &Catalog,
    refusals: &CapacityRefusals,
    requested: &HashMap<MachineKind, u64>,
    now: Instant,
) -> Vec<MachineDemand> {
    // Nothing is provisioned for jobs that fail everywhere.
    let turns = queue(cluster, now).into_iter().filter(|turn| !turn.quarantined);
    let (idle, urgent): (Vec<QueuedJob>, Vec<QueuedJob>) = turns.partition(|turn| turn.job.spec().is_idle());
    let capacity_declared = !cluster.intents.capacity.is_empty();
    if idle.is_empty() && urgent.is_empty() && !capacity_declared {
        return Vec::new();
    }
    let ground = CapacityContext::with_all_offers(cluster, catalog);
    let mut planner = ScaleOutPlanner::new(cluster, &ground, refusals, requested, now);
    // Idle tasks give way, so that their capacity counts for others. What they wait for themselves is planned after
    // that, on the machines as they are.
    if !urgent.is_empty() || capacity_declared {
        let mut timelines = planner.timelines(true);
        // Work that has waited for long competes with expected arrivals as well: fresh work has the higher return.
        let (fresh, waited): (Vec<QueuedJob>, Vec<QueuedJob>) = urgent.into_iter().partition(|turn| turn.age < FRESH);
        planner.plan_jobs(fresh, &mut timelines);
        planner.plan_declared_capacity(&mut timelines);
        if !waited.is_empty() {
            place_expected_arrivals(cluster, &ground, &mut timelines, now);
        }
        planner.plan_jobs(waited, &mut timelines);
    }
    if !idle.is_empty() {
        let mut timelines = planner.timelines(false);
        planner.plan_jobs(idle, &mut timelines);
    }
    planner.into_demand()
}
