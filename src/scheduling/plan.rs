//! Placement: waiting work in order of return, each task on the fitting machine whose return is
//! highest with it (paper, algorithms 1 and 2, adapted to tasks that hold full requests).
//!
//! Like tasks of one job are placed together: each machine is looked at once per job, and the
//! best is taken from a heap until it is full or another is better.

mod available;
mod candidate;
mod decide;
mod demand;
mod kept;
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
pub use queue::{QueuedJob, queue};
pub use quotas::Quotas;

/// Room is kept for gangs for so long in a row, and not once anybody has waited so long beside room; then whoever waits
/// may have it, for this long.
const MAX_GANG_RESERVATION: Duration = Duration::from_secs(60);
/// For so long nothing is kept after that.
const GANG_RESERVATION_PAUSE: Duration = Duration::from_secs(5);

/// All placements that can be made now.
pub fn place(cluster: &mut ClusterState, catalog: &Catalog, now: Instant) -> Vec<Placement> {
    place_counting_examined(cluster, catalog, now).0
}

/// The same, with how many rooms were looked at.
pub fn place_counting_examined(cluster: &mut ClusterState, catalog: &Catalog, now: Instant) -> (Vec<Placement>, u64) {
    if !cluster.loaded {
        return (Vec::new(), 0);
    }
    cluster.refresh_loads(now);
    // Where the rest of its room does not come free, nobody waits for ever on what is kept for a gang.
    if cluster.gang_room_held_since.is_some() && cluster.passed_over.longest_wait(now) >= MAX_GANG_RESERVATION {
        cluster.gang_room_held_since = now.checked_sub(MAX_GANG_RESERVATION).or(cluster.gang_room_held_since);
    }
    let spell = cluster.gang_room_held_since.map(|since| now.saturating_duration_since(since));
    let may_keep = spell.is_none_or(|spell| spell < MAX_GANG_RESERVATION);
    let PlanOutcome { placements, machines_examined: rooms_examined, kept_for_gang: kept, passed_over } =
        decide(cluster, catalog, may_keep, now);
    for placement in &placements {
        if cluster.passed_over.is_overdue(&placement.task.job, now) {
            cluster.cancel_drain(&placement.machine);
        }
    }
    cluster.passed_over.update(passed_over, now);
    if kept {
        cluster.gang_room_held_since.get_or_insert(now);
    } else if may_keep || spell.is_some_and(|spell| spell >= MAX_GANG_RESERVATION + GANG_RESERVATION_PAUSE) {
        cluster.gang_room_held_since = None;
    }
    (placements, rooms_examined)
}
