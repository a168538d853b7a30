//! Reservations: machines kept for gangs that do not fit now but soon would, if smaller work did not take each piece
//! of room as it comes free. They last for a short time, cover a part of the machines only, and leave the room to
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

/// A gang waits this long before anything is held for it.
const MIN_WAIT: Duration = Duration::from_secs(5);
/// Nothing is held that is not expected to be enough within this time.
const MAX_START_S: f64 = 60.0;
/// At most one in so many machines is held.
const RESERVED_FRACTION_DIVISOR: usize = 6;
/// Gangs held for at once, the longest waiting first.
const MAX_RESERVING_GANGS: usize = 40;

/// What to hold now, by machine.
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
    let ground = CapacityContext::new(cluster, catalog);
    let suspect = suspect_timeout(cluster);
    let usable = cluster.machines.values().filter(|m| is_schedulable(m, suspect, now));
    let mut timelines: Vec<Timeline> =
        usable.filter_map(|m| Timeline::from_machine(cluster, &ground, m, false, now)).collect();
    let most = timelines.len() / RESERVED_FRACTION_DIVISOR;
    let quotas = Quotas::new(cluster);
    for queued in queued_jobs {
        if reservations.len() >= most {
            break;
        }
        if !quotas.allows(queued.job.spec(), queued.job.spec().tasks as f64) {
            continue;
        }
        let Some(GangStart { start_s: within_s, timelines: taken }) =
            choose_machines(cluster, &ground, &mut timelines, &queued)
        else {
            continue;
        };
        let until = now + Duration::from_secs_f64(within_s);
        for which in taken {
            if let Some(machine) = timelines[which].capacity.machine {
                reservations.entry(machine.id.clone()).or_insert_with(|| Reservation { job: queued.id.clone(), until });
            }
        }
    }
    reservations
}

/// Where and when a gang will fit together.
struct GangStart {
    /// Seconds from now until the last of its tasks could start.
    start_s: f64,
    /// The places of its machines among the timelines, one for each task.
    timelines: Vec<usize>,
}

/// The machines on which a gang would soonest fit together, and when. Machines with accelerators
/// are left to work that needs them, unless there are too few others. None if it does not fit soon; then the
/// timelines are as before.
fn choose_machines<'a>(
    cluster: &'a ClusterState,
    ground: &CapacityContext<'a>,
    timelines: &mut [Timeline<'a>],
    queued: &QueuedJob<'a>,
) -> Option<GangStart> {
    let kinds = soonest_kinds(cluster, ground, timelines, queued)?;
    occupy_slots(ground, timelines, queued, &kinds)
}

/// The kinds of machine, by their place in the list of kinds, on which a gang would soonest fit together: in one zone
/// if it must.
fn soonest_kinds<'a>(
    cluster: &'a ClusterState,
    ground: &CapacityContext<'a>,
    timelines: &[Timeline<'a>],
    queued: &QueuedJob<'a>,
) -> Option<Vec<bool>> {
    let (job, spec) = (queued.job, queued.job.spec());
    let open = ground.allowed_kinds(spec, &JobZones::new(cluster, job));
    let apt = |kind: usize| ground.offers[kind].is_some_and(|o| o.wastes_no_gpus(spec));
    let mut best: Option<(f64, Vec<bool>)> = None;
    for zone in zones_to_try(ground, spec) {
        for with_all in [false, true] {
            let kinds: Vec<bool> = (0..open.len())
                .map(|k| open[k] && (with_all || apt(k)) && (zone.is_empty() || ground.zone(k) == zone))
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

/// Every zone, for a gang that must run in one; else one entry, the empty name, which stands for all.
fn zones_to_try<'a>(ground: &CapacityContext<'a>, spec: &JobSpec) -> Vec<&'a str> {
    if !spec.same_zone {
        return vec![""];
    }
    let mut zones: Vec<&str> = ground.offers.iter().flatten().map(|o| o.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    zones
}

/// Seconds from now until `need` tasks could start on machines of these kinds; none if those are too few even when
/// empty.
fn common_start_s(timelines: &[Timeline], spec: &JobSpec, need: usize, kinds: &[bool]) -> Option<f64> {
    let of_kinds = || timelines.iter().filter(|t| kinds.get(t.capacity.kind) == Some(&true));
    let units: u64 =
        of_kinds().map(|t| FreeCapacity::empty(t.capacity.machine_type, t.capacity.kind).fitting_tasks(spec, 64)).sum();
    if units < need as u64 {
        return None;
    }
    let mut starts: Vec<f64> = of_kinds().filter_map(|t| t.earliest_start_s(spec)).collect();
    starts.sort_by(f64::total_cmp);
    Some(starts.get(need - 1).or(starts.last()).copied().unwrap_or(f64::INFINITY))
}

/// Takes the earliest place for each waiting task of the gang, or none at all.
fn occupy_slots<'a>(
    ground: &CapacityContext<'a>,
    timelines: &mut [Timeline<'a>],
    queued: &QueuedJob<'a>,
    kinds: &[bool],
) -> Option<GangStart> {
    let job = queued.job;
    let mut slots = Slots::new(timelines, job, kinds);
    let none = JobZones::without_tasks(job.spec());
    let mut undo = Vec::new();
    let mut gathering = GangStart { start_s: 0.0, timelines: Vec::new() };
    for _ in 0..job.waiting.len() {
        match slots.peek_earliest(timelines, ground, &none) {
            Some(slot) if slot.start_s <= MAX_START_S => {
                undo.push((slot.timeline, timelines[slot.timeline].clone()));
                gathering.start_s = slot.start_s.max(gathering.start_s);
                gathering.timelines.push(slot.timeline);
                slots.occupy(timelines, slot);
            }
            _ => {
                for (which, before) in undo.into_iter().rev() {
                    timelines[which] = before;
                }
                return None;
            }
        }
    }
    Some(gathering)
}
