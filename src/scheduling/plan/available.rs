//! The initial state of a plan: free capacity with its reservations, capacity that can be reclaimed from idle work, and
//! the machine kinds that work limited to on-demand machines waits for.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::queue::QueuedJob;
use crate::scheduling::capacity::{CapacityContext, FreeCapacity, JobZones, is_schedulable};
use crate::scheduling::cluster::ClusterState;
use crate::scheduling::fairness::floor::Rank;

/// Returns the free capacity of a machine with its reservation, if there is one.
pub(super) fn with_reservation<'a>(
    cluster: &'a ClusterState,
    capacity: FreeCapacity<'a>,
    now: Instant,
) -> FreeCapacity<'a> {
    let reservation = capacity.machine.and_then(|m| cluster.reservation(&m.id, now));
    let preempted =
        capacity.machine.is_some_and(|m| cluster.preemption_reservations.get(&m.id).is_some_and(|h| h.until > now));
    FreeCapacity { reservation, preempted, ..capacity }
}

/// Returns, for each machine kind, whether work that may not run on spot machines waits for it. Idle and quarantined
/// work is not counted.
pub(super) fn contended_on_demand_kinds(context: &CapacityContext, queued_jobs: &[QueuedJob]) -> Rc<[bool]> {
    let mut contended_kinds = vec![false; context.offers.len()];
    for queued in queued_jobs.iter().filter(|t| !t.job.spec().spot && !t.quarantined && t.rank != Rank::Idle) {
        for (contended, allowed) in contended_kinds
            .iter_mut()
            .zip(context.allowed_kinds(queued.job.spec(), &JobZones::without_tasks(queued.job.spec())))
        {
            *contended |= allowed;
        }
    }
    contended_kinds.into()
}

/// Returns the capacity, counted without idle work, of machines that run idle work and have neither accelerators nor a
/// reservation.
pub(super) fn reclaimable_capacities<'a>(
    cluster: &'a ClusterState,
    context: &CapacityContext<'a>,
    suspect_timeout: Duration,
    now: Instant,
) -> Vec<FreeCapacity<'a>> {
    let with_idle_work = cluster
        .machines
        .values()
        .filter(|m| m.idle_work_allocated().cpus > 0.0 && is_schedulable(m, suspect_timeout, now));
    let unreserved = with_idle_work.filter(|m| cluster.reservation(&m.id, now).is_none());
    unreserved
        .filter_map(|m| context.capacity(m))
        .filter(|r| r.machine_type.gpus <= 0.0)
        .map(|r| r.without_idle())
        .collect()
}
