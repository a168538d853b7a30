//! What a plan finds when it begins: rooms with their reservations, room that idle work would give up, kinds in demand.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::queue::QueuedJob;
use crate::scheduling::capacity::{CapacityContext, FreeCapacity, JobZones, is_schedulable};
use crate::scheduling::cluster::ClusterState;
use crate::scheduling::fairness::floor::Rank;

/// The room with what it is held for.
pub(super) fn with_reservation<'a>(
    cluster: &'a ClusterState,
    capacity: FreeCapacity<'a>,
    now: Instant,
) -> FreeCapacity<'a> {
    let reservation = capacity.machine.and_then(|m| cluster.reservation(&m.id, now));
    let reserved =
        capacity.machine.is_some_and(|m| cluster.preemption_reservations.get(&m.id).is_some_and(|h| h.until > now));
    FreeCapacity { reservation, preempted: reserved, ..capacity }
}

/// Ordinary kinds open to work that waits and may use no cheap ones.
pub(super) fn contended_on_demand_kinds(ground: &CapacityContext, queued_jobs: &[QueuedJob]) -> Rc<[bool]> {
    let mut sought = vec![false; ground.offers.len()];
    for queued in queued_jobs.iter().filter(|t| !t.job.spec().spot && !t.quarantined && t.rank != Rank::Idle) {
        for (sought, open) in
            sought.iter_mut().zip(ground.allowed_kinds(queued.job.spec(), &JobZones::without_tasks(queued.job.spec())))
        {
            *sought |= open;
        }
    }
    sought.into()
}

/// Machines without accelerators, and free of reservations, on which idle work would give way.
pub(super) fn reclaimable_capacities<'a>(
    cluster: &'a ClusterState,
    ground: &CapacityContext<'a>,
    suspect: Duration,
    now: Instant,
) -> Vec<FreeCapacity<'a>> {
    let held =
        cluster.machines.values().filter(|m| m.idle_work_allocated().cpus > 0.0 && is_schedulable(m, suspect, now));
    let free = held.filter(|m| cluster.reservation(&m.id, now).is_none());
    free.filter_map(|m| ground.capacity(m)).filter(|r| r.machine_type.gpus <= 0.0).map(|r| r.without_idle()).collect()
}
