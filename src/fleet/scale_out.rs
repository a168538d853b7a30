//! Choice of the machines to provision so that waiting work starts in time: pure functions of the cluster state and the
//! time.

mod capacity_refusals;
mod cheapest_offer;
mod planner;
mod retries;

use std::collections::HashMap;
use std::time::{Duration, Instant};

pub use capacity_refusals::CapacityRefusals;
use planner::{ScaleOutPlanner, place_expected_arrivals};

use crate::machine_kinds::{Catalog, MachineKind};
use crate::scheduling::capacity::CapacityContext;
use crate::scheduling::cluster::ClusterState;
use crate::scheduling::plan::{QueuedJob, queue};

/// Jobs that have waited for less than this are placed before expected arrivals.
const FRESH_JOB_AGE: Duration = Duration::from_secs(20);

/// Number of machines of one kind to provision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineDemand {
    /// Kind of the machines to provision.
    pub kind: MachineKind,
    /// Number of machines.
    pub count: u64,
}

/// Counts the machines of each kind, in any state.
pub fn count_machines_by_kind(cluster: &ClusterState) -> HashMap<MachineKind, u64> {
    let mut counts = vec![0u64; cluster.kinds().len()];
    for kind in cluster.machines.values().filter_map(|machine| machine.kind_index) {
        if let Some(count) = counts.get_mut(kind) {
            *count += 1;
        }
    }
    cluster.kinds().iter().cloned().zip(counts).filter(|(_, count)| *count > 0).collect()
}

/// Decides which machines to provision: cheap kinds early, more expensive kinds only when the slack of the waiting work
/// runs short. `requested` counts machines that were requested and that the cloud has not named yet. The result is in
/// ascending order of the kinds.
pub fn plan_scale_out(
    cluster: &ClusterState,
    catalog: &Catalog,
    refusals: &CapacityRefusals,
    requested: &HashMap<MachineKind, u64>,
    now: Instant,
) -> Vec<MachineDemand> {
    let (quarantined, trusted): (Vec<QueuedJob>, Vec<QueuedJob>) =
        queue(cluster, now).into_iter().partition(|queued| queued.quarantined);
    let (idle, urgent): (Vec<QueuedJob>, Vec<QueuedJob>) =
        trusted.into_iter().partition(|queued| queued.job.spec().is_idle());
    let capacity_declared = !cluster.intents.capacity.is_empty();
    if idle.is_empty() && urgent.is_empty() && quarantined.is_empty() && !capacity_declared {
        return Vec::new();
    }
    let context = CapacityContext::with_all_offers(cluster, catalog);
    let mut planner = ScaleOutPlanner::new(cluster, &context, refusals, requested, now);
    // Idle tasks are preempted for other work, so their capacity counts as free for it. Waiting idle work is planned
    // afterwards, on the capacity that is really free.
    if !urgent.is_empty() || capacity_declared {
        let mut timelines = planner.create_timelines(true);
        // Work that has waited for longer competes with expected arrivals as well: starting fresh work pays more.
        let (fresh, older): (Vec<QueuedJob>, Vec<QueuedJob>) =
            urgent.into_iter().partition(|queued| queued.age < FRESH_JOB_AGE);
        planner.plan_jobs(fresh, &mut timelines);
        planner.plan_declared_capacity(&mut timelines);
        if !older.is_empty() {
            place_expected_arrivals(cluster, &context, &mut timelines, now);
        }
        planner.plan_jobs(older, &mut timelines);
    }
    if !idle.is_empty() {
        let mut timelines = planner.create_timelines(false);
        planner.plan_jobs(idle, &mut timelines);
    }
    planner.plan_retries(&quarantined);
    planner.into_demand()
}
