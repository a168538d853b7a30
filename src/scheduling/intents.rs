//! Constraints on placing, renting, reserving and draining that come from what operators have declared. `declarations`
//! works them out from what is stored; this module applies them and does not know the reasons. Without intents every
//! decision is the same as if this module did not exist.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Instant;

use super::capacity::{AMOUNT_TOLERANCE, CapacityContext, FreeCapacity, JobZones, is_schedulable, suspect_timeout};
pub use super::cluster::{CapacityIntent, Intents, PriorityBoost, ReplicaIntent, WindowPosition};
use super::cluster::{ClusterState, MachineId, MachineState};
use super::fairness::floor::Rank;
use super::plan;
use crate::jobs::{JobId, JobSpec, Urgency};
use crate::machine_kinds::Catalog;

/// Machines that stand idle are kept for room that is asked for at most so much later than a new one
/// would be there: a machine costs that long in any case.
const IDLE_LEAD_S: f64 = 60.0;

/// Puts the queue, which is in the order of return, into the order that is asked for.
pub fn reorder_queue(cluster: &ClusterState, queued_jobs: &mut [plan::QueuedJob]) {
    if let Some(ahead) = &cluster.intents.priority_boost {
        mark_prioritized(cluster, ahead, queued_jobs);
        move_prioritized_first(queued_jobs);
    }
    if !cluster.intents.window_turns.is_empty() {
        order_by_window_turn(&cluster.intents.window_turns, queued_jobs);
    }
}

/// Beyond teams short of their guarantee and who is below the floor, who keep their place.
fn is_ordered_by_return(queued: &plan::QueuedJob) -> bool {
    !queued.quarantined && !queued.guaranteed && queued.rank != Rank::BelowFloor
}

/// Who goes ahead, the longest waiting first, until they hold their part of what is given out: the next one
/// would take them beyond it, and goes by return. If nothing of theirs runs, one job may in any case.
fn mark_prioritized(cluster: &ClusterState, ahead: &PriorityBoost, queued_jobs: &mut [plan::QueuedJob]) {
    let given: f64 = cluster.team_usage.values().map(|usage| usage.cpus).sum();
    let theirs = cluster.jobs().map(|(_, job)| job).filter(|job| ahead.names.contains_job(job.spec()));
    let mut taken: f64 = theirs.map(|job| job.bound.len() as f64 * job.spec().cpus).sum();
    let most = given * ahead.max_core_share;
    let mut asked: Vec<&mut plan::QueuedJob> =
        queued_jobs.iter_mut().filter(|t| !t.quarantined && ahead.names.contains_job(t.job.spec())).collect();
    asked.sort_by_key(|queued| Reverse(queued.age));
    for queued in asked {
        let (spec, waiting) = (queued.job.spec(), queued.job.waiting.len());
        let left = if taken > 0.0 { most - taken } else { most.max(queued.job.min_start_cores()) };
        let tasks = if spec.cpus > 0.0 { ((left + AMOUNT_TOLERANCE) / spec.cpus).max(0.0) as usize } else { waiting };
        if tasks == 0 || (spec.is_gang() && tasks < waiting) {
            continue;
        }
        queued.prioritized = true;
        taken += tasks.min(waiting) as f64 * spec.cpus;
        if is_ordered_by_return(queued) {
            queued.max_tasks = tasks;
        }
    }
}

/// Among those of one urgency who go ahead take the first places that any of them has; nobody else's
/// place changes.
pub fn move_prioritized_first(queued_jobs: &mut [plan::QueuedJob]) {
    let mut places: BTreeMap<Urgency, Vec<usize>> = BTreeMap::new();
    for (at, queued) in queued_jobs.iter().enumerate().filter(|(_, t)| is_ordered_by_return(t)) {
        places.entry(queued.job.spec().urgency).or_default().push(at);
    }
    for places in places.values() {
        let mut of: Vec<plan::QueuedJob> = places.iter().map(|at| queued_jobs[*at]).collect();
        of.sort_by_key(|queued| !queued.prioritized);
        for (at, queued) in places.iter().zip(of) {
            queued_jobs[*at] = queued;
        }
    }
}

/// Jobs for which machines are held, of these urgencies and going ahead or not. None for which others were
/// stopped, and none while nobody is asked to go ahead.
pub fn jobs_with_reservations(cluster: &ClusterState, of: impl Fn(Urgency, bool) -> bool) -> Vec<&JobId> {
    let Some(ahead) = &cluster.intents.priority_boost else { return Vec::new() };
    let mut jobs: Vec<&JobId> = cluster.reservations.values().map(|reservation| &reservation.job).collect();
    jobs.sort_unstable();
    jobs.dedup();
    jobs.retain(|id| cluster.job(id).is_some_and(|job| of(job.spec().urgency, ahead.names.contains_job(job.spec()))));
    jobs.retain(|id| !cluster.preemption_reservations.values().any(|reservation| reservation.job == **id));
    jobs
}

/// Jobs of one window take the places that they have in the order of their turns. Where they stand
/// apart for other reasons, as one that is below the floor, the later turn waits behind the earlier.
fn order_by_window_turn(intended: &HashMap<JobId, WindowPosition>, queued_jobs: &mut [plan::QueuedJob]) {
    let mut windows: BTreeMap<&str, Vec<(usize, u32)>> = BTreeMap::new();
    for (at, queued) in queued_jobs.iter().enumerate().filter(|(_, t)| !t.quarantined) {
        if let Some(intent) = intended.get(queued.id) {
            windows.entry(&intent.window).or_default().push((at, intent.position));
        }
    }
    // Where each is to stand: at its place, or right behind another's.
    let mut place: Vec<(usize, u32)> = (0..queued_jobs.len()).map(|at| (at, 0)).collect();
    for mut of in windows.into_values() {
        let alike = |at: usize| (queued_jobs[at].guaranteed, queued_jobs[at].rank);
        let places: Vec<usize> = of.iter().map(|(at, _)| *at).collect();
        of.sort_by_key(|(at, number)| (*number, *at));
        let mut free = places.clone();
        let mut last = 0;
        for (at, number) in of {
            let own = free.iter().position(|place| alike(*place) == alike(at)).map_or(at, |n| free.remove(n));
            last = own.max(last);
            place[at] = (last, number);
        }
    }
    let before: Vec<plan::QueuedJob> = queued_jobs.to_vec();
    let mut order: Vec<usize> = (0..queued_jobs.len()).collect();
    order.sort_by_key(|at| (place[*at], *at));
    for (queued, at) in queued_jobs.iter_mut().zip(order) {
        *queued = before[at];
    }
}

/// When a machine of some kind that was asked for now would have run such a task's fetch.
pub fn longest_ready_s(spec: &JobSpec, ground: &CapacityContext, open: &[bool]) -> f64 {
    let offers = ground.offers.iter().zip(open).filter(|(_, open)| **open).filter_map(|(offer, _)| offer.as_ref());
    let ready = offers.map(|o| o.machine_type.boot_s + spec.image_gb / o.machine_type.fetch_gb_per_s.max(0.001));
    ready.fold(0.0, f64::max)
}

/// Room for which what there is is kept by now, with the kinds that may give it.
pub fn due_capacity_intents<'b>(
    cluster: &'b ClusterState,
    ground: &CapacityContext,
) -> Vec<(&'b CapacityIntent, Vec<bool>)> {
    let open = |intent: &'b CapacityIntent| {
        (intent, ground.allowed_kinds(&intent.task_spec, &JobZones::without_tasks(&intent.task_spec)))
    };
    let near = |(intent, open): &(&CapacityIntent, Vec<bool>)| {
        intent.needed_in_s <= longest_ready_s(&intent.task_spec, ground, open) + IDLE_LEAD_S
    };
    cluster.intents.capacity.iter().map(open).filter(near).collect()
}

/// Idle machines that are needed for room that is asked for, beside those that run something.
pub fn idle_machines_to_keep(cluster: &ClusterState, catalog: &Catalog, now: Instant) -> HashSet<MachineId> {
    let mut kept = HashSet::new();
    if cluster.intents.capacity.is_empty() {
        return kept;
    }
    let ground = CapacityContext::new(cluster, catalog);
    let suspect = suspect_timeout(cluster);
    let there = cluster.machines.values().filter(|m| m.state == MachineState::Up && is_schedulable(m, suspect, now));
    let mut capacities: Vec<FreeCapacity> = there.filter_map(|m| ground.capacity(m)).collect();
    capacities.sort_by_key(|capacity| capacity.machine.is_some_and(|m| m.bound.is_empty()));
    for (intent, open) in due_capacity_intents(cluster, &ground) {
        let mut left = intent.tasks;
        for capacity in capacities.iter_mut().filter(|r| open.get(r.kind) == Some(&true)) {
            let units = capacity.fitting_tasks(&intent.task_spec, left);
            let n = units as f64;
            capacity.add(-n * intent.task_spec.cpus, -n * intent.task_spec.gpus, -n * intent.task_spec.memory_gb);
            left -= units;
            if let Some(machine) = capacity.machine.filter(|m| units > 0 && m.bound.is_empty()) {
                kept.insert(machine.id.clone());
            }
        }
    }
    kept
}
