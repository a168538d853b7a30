//! Preemption: running tasks are stopped to make room for work of higher urgency, or for a team that is short of its
//! guarantee.
//!
//! It stops only what makes room for all that the job needs at once, chooses the tasks that lose least by it, and
//! reserves the machines for the job until their tasks have gone and the job is placed.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use tracing::info;

use super::capacity::{CapacityContext, JobZones, is_schedulable, suspect_timeout};
use super::cluster::{ClusterState, JobState, Machine, MachineId, Phase, Reservation};
use super::plan::{AMOUNT_TOLERANCE, QueuedJob, Quotas, queue};
use crate::jobs::{JobSpec, Urgency};
use crate::machine_kinds::Catalog;
use crate::protocol::workers::TaskKey;

/// Work that may preempt others than idle work waits at least this long for room to come free by itself.
const MIN_WAIT: Duration = Duration::from_secs(3);
/// Jobs looked at in one call, and machines on which anything is stopped in one.
const MAX_JOBS_EXAMINED: usize = 20;
const MAX_MACHINES: usize = 64;
/// What was stopped is held for whom it was stopped for until then: saving, a heartbeat, the next plan.
const RESERVATION_AFTER_GRACE: Duration = Duration::from_secs(12);
/// A task started so often is not stopped any more for a job of which it is not the only way: every
/// task is stopped a bounded number of times for others.
const MAX_ATTEMPTS: u64 = 6;
/// The same of a task that can't save: what it had run is lost each time.
const MAX_ATTEMPTS_WITHOUT_CHECKPOINT: u64 = 2;

/// Tasks to be stopped on one machine, with the time they have to save.
type Victims = Vec<(TaskKey, u64)>;

/// One machine as a place for some tasks of a job.
struct PreemptionCandidate<'a> {
    machine: &'a Machine,
    zone: &'a str,
    fitting_tasks: u64,
    victims: Victims,
    /// Has accelerators that the job has no use for.
    wastes_gpus: bool,
    /// What is lost by it, in seconds times cores.
    loss: f64,
}

/// Makes room for the first job of the queue that may stop others and finds none.
pub fn preempt(cluster: &mut ClusterState, catalog: &Catalog, now: Instant) {
    if !cluster.loaded {
        return;
    }
    let Some((job, stops)) = find_preemption(cluster, catalog, now) else { return };
    let stopped: usize = stops.iter().map(|(_, victims)| victims.len()).sum();
    info!(%job, machines = stops.len(), count = stopped, "tasks preempted");
    for (machine, victims) in stops {
        let longest = victims.iter().map(|(_, grace)| *grace).max().unwrap_or(0);
        let until = now + Duration::from_secs(longest) + RESERVATION_AFTER_GRACE;
        cluster.preemption_reservations.insert(machine, Reservation { job: job.clone(), until });
        for (key, grace) in victims {
            cluster.halt_task_or_gang(&key, grace, now);
        }
    }
}

fn find_preemption(
    cluster: &ClusterState,
    catalog: &Catalog,
    now: Instant,
) -> Option<(crate::jobs::JobId, Vec<(MachineId, Victims)>)> {
    let quotas = Quotas::new(cluster);
    let suspect = suspect_timeout(cluster);
    let ground = CapacityContext::new(cluster, catalog);
    // Whoever may stop nothing need not look.
    let lowest = cluster.jobs().filter(|(_, j)| !j.bound.is_empty()).map(|(_, j)| j.spec().urgency).min()?;
    let queued_jobs = queue(cluster, now);
    let may = queued_jobs.iter().filter(|t| !t.quarantined && (lowest < t.job.spec().urgency || t.guaranteed));
    for queued in may.take(MAX_JOBS_EXAMINED) {
        let (job, spec) = (queued.job, queued.job.spec());
        let need = if spec.is_gang() { job.waiting.len() as u64 } else { 1 };
        let waited = job.last_task_end.map_or(queued.age, |t| now.saturating_duration_since(t));
        let after = if lowest == Urgency::Idle && !spec.is_idle() { Duration::ZERO } else { MIN_WAIT };
        if waited < after || !quotas.allows(spec, need as f64) {
            continue;
        }
        let zones = JobZones::new(cluster, job);
        let open = ground.allowed_kinds(spec, &zones);
        let usable = cluster.machines.values().filter(|m| is_schedulable(m, suspect, now));
        let free = usable.filter(|m| cluster.reservation(&m.id, now).is_none_or(|h| h.job == *queued.id));
        let places: Vec<PreemptionCandidate> =
            free.filter_map(|m| preemption_candidate(cluster, &ground, m, queued, &open, need, now)).collect();
        // An array takes more than one place at a time, as far as it waits.
        let waiting = cluster.intents.placeable_tasks(queued.id, job) as u64;
        let wanted = if spec.is_gang() { need } else { waiting.min(MAX_MACHINES as u64) };
        let Some(chosen) = choose_candidates(places, spec, &zones, need, wanted) else { continue };
        let stops: Vec<(MachineId, Victims)> = chosen.into_iter().map(|p| (p.machine.id.clone(), p.victims)).collect();
        // Nothing is left to stop: room is being made already.
        if stops.iter().all(|(_, victims)| victims.is_empty()) {
            continue;
        }
        return Some((queued.id.clone(), stops));
    }
    None
}

/// The places of the least loss that hold `need` tasks together, in one zone if they must; up to `wanted`.
fn choose_candidates<'a>(
    mut places: Vec<PreemptionCandidate<'a>>,
    spec: &JobSpec,
    zones: &JobZones,
    need: u64,
    wanted: u64,
) -> Option<Vec<PreemptionCandidate<'a>>> {
    places.retain(|p| zones.allows(p.zone));
    let each = |p: &PreemptionCandidate| p.loss / p.fitting_tasks.max(1) as f64;
    places.sort_by(|a, b| {
        (a.wastes_gpus.cmp(&b.wastes_gpus))
            .then(each(a).total_cmp(&each(b)))
            .then(b.fitting_tasks.cmp(&a.fitting_tasks))
            .then(a.machine.id.cmp(&b.machine.id))
    });
    let mut by_zone: HashMap<&str, (u64, f64)> = HashMap::new();
    let mut zone = None;
    if spec.same_zone {
        for place in &places {
            let (units, loss) = by_zone.entry(place.zone).or_default();
            if *units < need {
                (*units, *loss) = (*units + place.fitting_tasks, *loss + place.loss);
            }
        }
        let enough = by_zone.into_iter().filter(|(_, (units, _))| *units >= need);
        zone = Some(enough.min_by(|a, b| a.1.1.total_cmp(&b.1.1).then(a.0.cmp(b.0)))?.0);
    }
    let (mut chosen, mut units) = (Vec::new(), 0);
    for place in places.into_iter().filter(|p| zone.is_none_or(|z| z == p.zone)) {
        // Past what is needed only where it costs nothing but idle work's time.
        if units >= wanted || chosen.len() >= MAX_MACHINES {
            break;
        }
        units += place.fitting_tasks;
        chosen.push(place);
    }
    (units >= need).then_some(chosen)
}

/// What would have to be stopped on a machine for as many tasks as it could then hold, the cheapest
/// loss first; none if it holds no task of the job even so.
fn preemption_candidate<'a>(
    cluster: &'a ClusterState,
    ground: &CapacityContext<'a>,
    machine: &'a Machine,
    queued: &QueuedJob,
    open: &[bool],
    need: u64,
    now: Instant,
) -> Option<PreemptionCandidate<'a>> {
    let spec = queued.job.spec();
    let mut capacity = ground.capacity(machine).filter(|r| open[r.kind])?;
    let may_stop = |other: &JobSpec| {
        other.urgency < spec.urgency
            || (queued.guaranteed && other.team != spec.team && exceeds_guarantee(cluster, other))
    };
    let mut stoppable: Vec<(f64, TaskKey, &JobSpec)> = Vec::new();
    for key in &machine.bound {
        let Some(other) = cluster.job(&key.job) else { continue };
        let Some(task) = other.tasks.get(key.index as usize) else { continue };
        let Phase::Bound(binding) = &task.phase else { continue };
        if binding.halt_grace_s.is_some() {
            // Room is being made here already.
            capacity.release(other.spec());
        } else if may_stop(other.spec())
            && task.attempt < max_attempts(other.spec())
            && !is_running_only_first_task(other)
        {
            stoppable.push((preemption_loss(other, binding.run_time(now)), key.clone(), other.spec()));
        }
    }
    stoppable.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let (mut victims, mut lost) = (Vec::new(), 0.0);
    // All that the job can use of it: what it leaves of idle work would keep a whole machine from others.
    let most = if spec.is_gang() { need } else { cluster.intents.placeable_tasks(queued.id, queued.job) as u64 };
    let mut emptied = capacity;
    stoppable.iter().filter(|(.., other)| other.is_idle()).for_each(|(.., other)| emptied.release(other));
    let most_here = emptied.fitting_tasks(spec, most).max(1);
    for (loss, key, other) in stoppable {
        if capacity.fitting_tasks(spec, most) >= if other.is_idle() { most_here } else { 1 } {
            break;
        }
        capacity.release(other);
        lost += loss;
        victims.push((key, other.save_s.ceil() as u64 + 1));
    }
    let units = capacity.fitting_tasks(spec, most);
    let zone = ground.zone(capacity.kind);
    let dear = !capacity.wastes_no_gpus(spec);
    (units > 0).then_some(PreemptionCandidate {
        machine,
        zone,
        fitting_tasks: units,
        victims,
        wastes_gpus: dear,
        loss: lost,
    })
}

/// The first task of an idle job is on its way: it would not have begun in time otherwise (`scheduling::large`).
fn is_running_only_first_task(job: &JobState) -> bool {
    let spec = job.spec();
    spec.is_idle() && spec.tasks > 1 && job.bound.len() == 1 && !job.has_run()
}

fn max_attempts(spec: &JobSpec) -> u64 {
    if spec.checkpoint_s > 0.0 { MAX_ATTEMPTS } else { MAX_ATTEMPTS_WITHOUT_CHECKPOINT }
}

/// What stopping a task costs, in seconds times cores: what it has done since it saved last, or the saving
/// itself, and of a gang what all of it has.
fn preemption_loss(job: &JobState, ran: Duration) -> f64 {
    let spec = job.spec();
    let seconds = if spec.checkpoint_s > 0.0 { spec.save_s + 1.0 } else { ran.as_secs_f64() + 1.0 };
    let tasks = if spec.is_gang() { spec.tasks as f64 } else { 1.0 };
    seconds * spec.cpus.max(0.01) * tasks
}

fn exceeds_guarantee(cluster: &ClusterState, spec: &JobSpec) -> bool {
    let Some(team) = cluster.settings.team(&spec.team) else { return true };
    let used = cluster.team_usage.get(&spec.team).copied().unwrap_or_default();
    used.cpus - spec.cpus >= team.cpus - AMOUNT_TOLERANCE && used.gpus - spec.gpus >= team.gpus - AMOUNT_TOLERANCE
}
