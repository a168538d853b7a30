//! Placement: considers waiting jobs in order of return and places each task on the fitting machine whose return is
//! highest with that task (paper, algorithms 1 and 2, adapted to tasks that hold their full requests).
//!
//! Identical tasks of one job are placed together: every machine is examined once per job, and the best candidate is
//! taken from a heap until it is full or another one is better.

mod available;
mod candidate;
mod decide;
mod demand;
mod kept_capacity;
mod large_first;
mod passed_over;
mod queue;
mod quotas;
mod search;
mod unfit;

use std::time::{Duration, Instant};

use super::cluster::{ClusterState, Placement};
use crate::machine_kinds::Catalog;
use decide::{PlanOutcome, decide};

pub use super::capacity::AMOUNT_TOLERANCE;
pub use queue::{QueuedJob, quarantined_jobs, queue};
pub use quotas::Quotas;

/// Plans keep capacity free for gangs for at most this long in a row, and no longer once any job has been passed over
/// for this long. After that, every waiting job may use the capacity for [`GANG_RESERVATION_PAUSE`].
const MAX_GANG_RESERVATION: Duration = Duration::from_secs(60);
/// After [`MAX_GANG_RESERVATION`], no capacity is kept for gangs for this long.
const GANG_RESERVATION_PAUSE: Duration = Duration::from_secs(5);

/// Returns all placements that can be made now.
pub fn place(cluster: &mut ClusterState, catalog: &Catalog, now: Instant) -> Vec<Placement> {
    place_counting_examined(cluster, catalog, now).0
}

/// Returns all placements that can be made now, with the number of machines examined to find them.
pub fn place_counting_examined(cluster: &mut ClusterState, catalog: &Catalog, now: Instant) -> (Vec<Placement>, u64) {
    if !cluster.loaded {
        return (Vec::new(), 0);
    }
    cluster.refresh_loads(now);
    // The capacity that a gang still lacks may never come free; capacity kept for it must not block other jobs forever.
    if cluster.gang_room_held_since.is_some() && cluster.passed_over.longest_wait(now) >= MAX_GANG_RESERVATION {
        cluster.gang_room_held_since = now.checked_sub(MAX_GANG_RESERVATION).or(cluster.gang_room_held_since);
    }
    let reserved_for = cluster.gang_room_held_since.map(|since| now.saturating_duration_since(since));
    let may_keep = reserved_for.is_none_or(|reserved_for| reserved_for < MAX_GANG_RESERVATION);
    let PlanOutcome { placements, machines_examined, kept_for_gang, passed_over } =
        decide(cluster, catalog, may_keep, now);
    for placement in &placements {
        if cluster.passed_over.is_overdue(&placement.task.job, now) {
            cluster.cancel_drain(&placement.machine);
        }
    }
    cluster.passed_over.update(passed_over, now);
    if kept_for_gang {
        cluster.gang_room_held_since.get_or_insert(now);
    } else if may_keep
        || reserved_for.is_some_and(|reserved_for| reserved_for >= MAX_GANG_RESERVATION + GANG_RESERVATION_PAUSE)
    {
        cluster.gang_room_held_since = None;
    }
    (placements, machines_examined)
}
