//! Constraints on placement, scale-out, reservations and draining that follow from operators' declarations.
//! `declarations` computes the intents from what is stored; this module applies them and does not know the reasons.
//! Without intents every decision is the same as if this module did not exist.

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

/// Idle machines are kept for declared capacity that is needed at most this many seconds after a new machine would be
/// ready: a machine is paid for that long in any case.
const IDLE_LEAD_S: f64 = 60.0;

/// Puts the queue, which is ordered by return, into the order that operators declared.
pub fn reorder_queue(cluster: &ClusterState, queued_jobs: &mut [plan::QueuedJob]) {
    if let Some(boost) = &cluster.intents.priority_boost {
        mark_prioritized(cluster, boost, queued_jobs);
        move_prioritized_first(queued_jobs);
    }
    if !cluster.intents.window_turns.is_empty() {
        order_by_window_turn(&cluster.intents.window_turns, queued_jobs);
    }
}

/// Whether the job is ordered by return. Jobs within their team's guarantee, jobs below the floor and quarantined jobs
/// are not, and keep their position.
fn is_ordered_by_return(queued: &plan::QueuedJob) -> bool {
    !queued.quarantined && !queued.guaranteed && queued.rank != Rank::BelowFloor
}

/// Marks the jobs that a priority boost applies to, the longest waiting first, until they hold their share of the cores
/// in use. A job that would take them beyond the share stays ordered by return. If none of their tasks is placed, one
/// job is marked in any case.
fn mark_prioritized(cluster: &ClusterState, boost: &PriorityBoost, queued_jobs: &mut [plan::QueuedJob]) {
    let cores_in_use: f64 = cluster.team_usage.values().map(|usage| usage.cpus).sum();
    let boosted_jobs = cluster.jobs().map(|(_, job)| job).filter(|job| boost.names.contains_job(job.spec()));
    let mut boosted_cores: f64 = boosted_jobs.map(|job| job.bound.len() as f64 * job.spec().cpus).sum();
    let max_boosted_cores = cores_in_use * boost.max_core_share;
    let mut boosted: Vec<&mut plan::QueuedJob> =
        queued_jobs.iter_mut().filter(|t| !t.quarantined && boost.names.contains_job(t.job.spec())).collect();
    boosted.sort_by_key(|queued| Reverse(queued.age));
    for queued in boosted {
        let (spec, waiting) = (queued.job.spec(), queued.job.waiting.len());
        let cores_left = if boosted_cores > 0.0 {
            max_boosted_cores - boosted_cores
        } else {
            max_boosted_cores.max(queued.job.min_start_cores())
        };
        let tasks =
            if spec.cpus > 0.0 { ((cores_left + AMOUNT_TOLERANCE) / spec.cpus).max(0.0) as usize } else { waiting };
        if tasks == 0 || (spec.is_gang() && tasks < waiting) {
            continue;
        }
        queued.prioritized = true;
        boosted_cores += tasks.min(waiting) as f64 * spec.cpus;
        if is_ordered_by_return(queued) {
            queued.max_tasks = tasks;
        }
    }
}

/// Moves prioritized jobs ahead of the others of their urgency. Jobs that are not ordered by return keep their
/// position, and the positions that each urgency has stay the same.
pub fn move_prioritized_first(queued_jobs: &mut [plan::QueuedJob]) {
    let mut positions: BTreeMap<Urgency, Vec<usize>> = BTreeMap::new();
    for (position, queued) in queued_jobs.iter().enumerate().filter(|(_, t)| is_ordered_by_return(t)) {
        positions.entry(queued.job.spec().urgency).or_default().push(position);
    }
    for positions in positions.values() {
        let mut jobs: Vec<plan::QueuedJob> = positions.iter().map(|position| queued_jobs[*position]).collect();
        jobs.sort_by_key(|queued| !queued.prioritized);
        for (position, queued) in positions.iter().zip(jobs) {
            queued_jobs[*position] = queued;
        }
    }
}

/// Returns the jobs with reserved machines for which `selects` holds, given their urgency and whether they are boosted.
/// Jobs for which tasks were preempted are left out, and there are none without a priority boost.
pub fn jobs_with_reservations(cluster: &ClusterState, selects: impl Fn(Urgency, bool) -> bool) -> Vec<&JobId> {
    let Some(boost) = &cluster.intents.priority_boost else { return Vec::new() };
    let mut jobs: Vec<&JobId> = cluster.reservations.values().map(|reservation| &reservation.job).collect();
    jobs.sort_unstable();
    jobs.dedup();
    jobs.retain(|id| {
        cluster.job(id).is_some_and(|job| selects(job.spec().urgency, boost.names.contains_job(job.spec())))
    });
    jobs.retain(|id| !cluster.preemption_reservations.values().any(|reservation| reservation.job == **id));
    jobs
}

/// Orders the jobs of each window by their turns, within the positions that they have. If they are apart for other
/// reasons, for example because one is below the floor, the later turn waits behind the earlier one.
fn order_by_window_turn(turns: &HashMap<JobId, WindowPosition>, queued_jobs: &mut [plan::QueuedJob]) {
    let mut windows: BTreeMap<&str, Vec<(usize, u32)>> = BTreeMap::new();
    for (index, queued) in queued_jobs.iter().enumerate().filter(|(_, t)| !t.quarantined) {
        if let Some(turn) = turns.get(queued.id) {
            windows.entry(&turn.window).or_default().push((index, turn.position));
        }
    }
    // The sort key of each job: its own position, or that of another job of the window and its turn, which puts it
    // directly behind the job there.
    let mut sort_keys: Vec<(usize, u32)> = (0..queued_jobs.len()).map(|index| (index, 0)).collect();
    for mut jobs in windows.into_values() {
        let precedence = |index: usize| (queued_jobs[index].guaranteed, queued_jobs[index].rank);
        let positions: Vec<usize> = jobs.iter().map(|(index, _)| *index).collect();
        jobs.sort_by_key(|(index, turn)| (*turn, *index));
        let mut free_positions = positions.clone();
        let mut last_position = 0;
        for (index, turn) in jobs {
            let own_position = free_positions
                .iter()
                .position(|p| precedence(*p) == precedence(index))
                .map_or(index, |n| free_positions.remove(n));
            last_position = own_position.max(last_position);
            sort_keys[index] = (last_position, turn);
        }
    }
    let before: Vec<plan::QueuedJob> = queued_jobs.to_vec();
    let mut order: Vec<usize> = (0..queued_jobs.len()).collect();
    order.sort_by_key(|index| (sort_keys[*index], *index));
    for (queued, index) in queued_jobs.iter_mut().zip(order) {
        *queued = before[index];
    }
}

/// Returns the longest time, in seconds, until a machine of any allowed kind that was requested now would have booted
/// and fetched the image of such a task.
pub fn longest_ready_s(spec: &JobSpec, context: &CapacityContext, allowed_kinds: &[bool]) -> f64 {
    let offers = context
        .offers
        .iter()
        .zip(allowed_kinds)
        .filter(|(_, allowed)| **allowed)
        .filter_map(|(offer, _)| offer.as_ref());
    let ready = offers.map(|o| o.machine_type.boot_s + spec.image_gb / o.machine_type.fetch_gb_per_s.max(0.001));
    ready.fold(0.0, f64::max)
}

/// Returns the declared capacity that is needed so soon that existing machines are kept for it, with the machine kinds
/// that may provide it.
pub fn due_capacity_intents<'b>(
    cluster: &'b ClusterState,
    context: &CapacityContext,
) -> Vec<(&'b CapacityIntent, Vec<bool>)> {
    let with_allowed_kinds = |intent: &'b CapacityIntent| {
        (intent, context.allowed_kinds(&intent.task_spec, &JobZones::without_tasks(&intent.task_spec)))
    };
    let is_due = |(intent, allowed_kinds): &(&CapacityIntent, Vec<bool>)| {
        intent.needed_in_s <= longest_ready_s(&intent.task_spec, context, allowed_kinds) + IDLE_LEAD_S
    };
    cluster.intents.capacity.iter().map(with_allowed_kinds).filter(is_due).collect()
}

/// Returns the idle machines that are needed for declared capacity, in addition to machines that run something.
pub fn idle_machines_to_keep(cluster: &ClusterState, catalog: &Catalog, now: Instant) -> HashSet<MachineId> {
    let mut machines_to_keep = HashSet::new();
    if cluster.intents.capacity.is_empty() {
        return machines_to_keep;
    }
    let context = CapacityContext::new(cluster, catalog);
    let suspect_timeout = suspect_timeout(cluster);
    let schedulable =
        cluster.machines.values().filter(|m| m.state == MachineState::Up && is_schedulable(m, suspect_timeout, now));
    let mut capacities: Vec<FreeCapacity> = schedulable.filter_map(|m| context.capacity(m)).collect();
    capacities.sort_by_key(|capacity| capacity.machine.is_some_and(|m| m.bound.is_empty()));
    for (intent, allowed_kinds) in due_capacity_intents(cluster, &context) {
        let mut tasks_left = intent.tasks;
        for capacity in capacities.iter_mut().filter(|r| allowed_kinds.get(r.kind) == Some(&true)) {
            let fitting_tasks = capacity.fitting_tasks(&intent.task_spec, tasks_left);
            let n = fitting_tasks as f64;
            capacity.add(-n * intent.task_spec.cpus, -n * intent.task_spec.gpus, -n * intent.task_spec.memory_gb);
            tasks_left -= fitting_tasks;
            if let Some(machine) = capacity.machine.filter(|m| fitting_tasks > 0 && m.bound.is_empty()) {
                machines_to_keep.insert(machine.id.clone());
            }
        }
    }
    machines_to_keep
}
