//! Reservations: machines kept for gangs that do not fit now but soon would, if smaller work did not take all capacity
//! as it comes free. Reservations last for a short time, cover only a part of the machines, and leave the capacity to
//! other work that is expected to end in time.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::capacity::{CapacityContext, FreeCapacity, JobZones, is_schedulable, suspect_timeout};
use super::cluster::{ClusterState, MachineId, Reservation};
use super::intents;
use super::plan::{QueuedJob, Quotas, queue};
use crate::jobs::JobSpec;
use crate::machine_kinds::Catalog;
use crate::scheduling::forecast::{Slots, Timeline};

/// Minimum wait of a gang before machines are reserved for it, unless it is prioritized.
const MIN_WAIT: Duration = Duration::from_secs(5);
/// Machines are reserved only for gangs that are expected to fit within this many seconds.
const MAX_START_S: f64 = 60.0;
/// At most one in this many machines is reserved.
const RESERVED_ONE_IN_MACHINES: usize = 6;
/// Maximum gangs considered for reservations at once, the longest waiting first.
const MAX_RESERVING_GANGS: usize = 40;

/// Returns the machines to reserve now, each with its reservation.
pub fn choose_reservations(cluster: &ClusterState, catalog: &Catalog, now: Instant) -> HashMap<MachineId, Reservation> {
    let mut reservations = HashMap::new();
    let mut queued_jobs: Vec<QueuedJob> = queue(cluster, now)
        .into_iter()
        .filter(|t| t.job.spec().is_gang() && !t.quarantined && (t.age >= MIN_WAIT || t.prioritized))
        .collect();
    if queued_jobs.is_empty() {
        return reservations;
    }
    queued_jobs.sort_by_key(|t| (Reverse(t.credited), t.rank, Reverse(t.age)));
    intents::move_prioritized_first(&mut queued_jobs);
    queued_jobs.truncate(MAX_RESERVING_GANGS);
    let context = CapacityContext::new(cluster, catalog);
    let suspect_timeout = suspect_timeout(cluster);
    let schedulable = cluster.machines.values().filter(|m| is_schedulable(m, suspect_timeout, now));
    let mut timelines: Vec<Timeline> =
        schedulable.filter_map(|m| Timeline::from_machine(cluster, &context, m, false, now)).collect();
    let max_reserved = timelines.len() / RESERVED_ONE_IN_MACHINES;
    let quotas = Quotas::new(cluster);
    for queued in queued_jobs {
        if reservations.len() >= max_reserved {
            break;
        }
        if !quotas.allows(queued.job.spec(), queued.job.spec().tasks as f64) {
            continue;
        }
        let Some(GangStart { start_s, timelines: chosen }) =
            choose_machines(cluster, &context, &mut timelines, &queued)
        else {
            continue;
        };
        let until = now + Duration::from_secs_f64(start_s);
        for index in chosen {
            if let Some(machine) = timelines[index].capacity.machine {
                reservations.entry(machine.id.clone()).or_insert_with(|| Reservation { job: queued.id.clone(), until });
            }
        }
    }
    reservations
}

/// Where and when a gang is expected to fit.
struct GangStart {
    /// Seconds from now until the last of its tasks could start.
    start_s: f64,
    /// The indices of its machines among the timelines, one for each task.
    timelines: Vec<usize>,
}

/// Returns the machines on which a gang would fit soonest, and when. Machines with accelerators are left to work that
/// needs them, unless there are too few others. `None` if the gang does not fit soon; the timelines are then unchanged.
fn choose_machines<'a>(
    cluster: &'a ClusterState,
    context: &CapacityContext<'a>,
    timelines: &mut [Timeline<'a>],
    queued: &QueuedJob<'a>,
) -> Option<GangStart> {
    let kinds = soonest_kinds(cluster, context, timelines, queued)?;
    occupy_slots(context, timelines, queued, &kinds)
}

/// Returns, for each machine kind by its index, whether it belongs to the kinds on which a gang would fit soonest; all
/// in one zone if the gang requires that.
fn soonest_kinds<'a>(
    cluster: &'a ClusterState,
    context: &CapacityContext<'a>,
    timelines: &[Timeline<'a>],
    queued: &QueuedJob<'a>,
) -> Option<Vec<bool>> {
    let (job, spec) = (queued.job, queued.job.spec());
    let allowed_kinds = context.allowed_kinds(spec, &JobZones::new(cluster, job));
    let wastes_no_gpus = |kind: usize| context.offers[kind].is_some_and(|o| o.wastes_no_gpus(spec));
    let mut best: Option<(f64, Vec<bool>)> = None;
    for zone in zones_to_try(context, spec) {
        for allow_gpu_waste in [false, true] {
            let kinds: Vec<bool> = (0..allowed_kinds.len())
                .map(|k| {
                    allowed_kinds[k]
                        && (allow_gpu_waste || wastes_no_gpus(k))
                        && (zone.is_empty() || context.zone(k) == zone)
                })
                .collect();
            let Some(start_s) = common_start_s(timelines, spec, job.waiting.len(), &kinds) else { continue };
            if best.as_ref().is_none_or(|(best_s, _)| start_s < *best_s) {
                best = Some((start_s, kinds));
            }
            break;
        }
    }
    best.map(|(_, kinds)| kinds)
}

/// Returns every zone for a gang that must run in one zone, else one empty name, which stands for all zones.
fn zones_to_try<'a>(context: &CapacityContext<'a>, spec: &JobSpec) -> Vec<&'a str> {
    if !spec.same_zone {
        return vec![""];
    }
    let mut zones: Vec<&str> = context.offers.iter().flatten().map(|o| o.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    zones
}

/// Returns the seconds from now until `tasks_needed` tasks could start on machines of these kinds; `None` if even empty
/// machines of these kinds would be too few.
fn common_start_s(timelines: &[Timeline], spec: &JobSpec, tasks_needed: usize, kinds: &[bool]) -> Option<f64> {
    let of_kinds = || timelines.iter().filter(|t| kinds.get(t.capacity.kind) == Some(&true));
    let fitting_tasks: u64 =
        of_kinds().map(|t| FreeCapacity::empty(t.capacity.machine_type, t.capacity.kind).fitting_tasks(spec, 64)).sum();
    if fitting_tasks < tasks_needed as u64 {
        return None;
    }
    let mut starts: Vec<f64> = of_kinds().filter_map(|t| t.earliest_start_s(spec)).collect();
    starts.sort_by(f64::total_cmp);
    Some(starts.get(tasks_needed - 1).or(starts.last()).copied().unwrap_or(f64::INFINITY))
}

/// Occupies the earliest slot for each waiting task of the gang; changes nothing and returns `None` if any of them
/// would start too late.
fn occupy_slots<'a>(
    context: &CapacityContext<'a>,
    timelines: &mut [Timeline<'a>],
    queued: &QueuedJob<'a>,
    kinds: &[bool],
) -> Option<GangStart> {
    let job = queued.job;
    let mut slots = Slots::new(timelines, job, kinds);
    let zones = JobZones::without_tasks(job.spec());
    let mut undo = Vec::new();
    let mut gang_start = GangStart { start_s: 0.0, timelines: Vec::new() };
    for _ in 0..job.waiting.len() {
        match slots.peek_earliest(timelines, context, &zones) {
            Some(slot) if slot.start_s <= MAX_START_S => {
                undo.push((slot.timeline, timelines[slot.timeline].clone()));
                gang_start.start_s = slot.start_s.max(gang_start.start_s);
                gang_start.timelines.push(slot.timeline);
                slots.occupy(timelines, slot);
            }
            _ => {
                for (index, before) in undo.into_iter().rev() {
                    timelines[index] = before;
                }
                return None;
            }
        }
    }
    Some(gang_start)
}
