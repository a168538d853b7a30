//! Preemption: stops running tasks to free capacity for work of higher urgency, or for a team that is short of its
//! guarantee.
//!
//! Tasks are stopped only if that frees capacity for everything the job needs at once. Those that lose least are
//! chosen, and their machines are reserved for the job until the tasks have ended and the job is placed.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use tracing::info;

use super::capacity::{CapacityContext, FreeCapacity, JobZones, is_schedulable, suspect_timeout};
use super::cluster::{Binding, ClusterState, JobState, Machine, MachineId, Phase, Reservation, Task};
use super::plan::{AMOUNT_TOLERANCE, QueuedJob, Quotas, queue};
use crate::jobs::{JobSpec, Urgency};
use crate::machine_kinds::Catalog;
use crate::protocol::workers::TaskKey;

/// Minimum wait before preempting other than idle work, so that capacity may come free by itself.
const MIN_WAIT: Duration = Duration::from_secs(3);
/// Maximum queued jobs examined in one call.
const MAX_JOBS_EXAMINED: usize = 20;
/// Maximum machines on which tasks are stopped in one call.
const MAX_MACHINES: usize = 64;
/// How long a machine stays reserved for the preempting job after the longest time to save: covers a heartbeat and the
/// next plan.
const RESERVATION_AFTER_GRACE: Duration = Duration::from_secs(12);
/// A task with this many attempts is not preempted any more, so that every task is preempted a bounded number of times.
const MAX_ATTEMPTS: u64 = 6;
/// The same limit for a task without checkpoints, which loses everything it has run each time.
const MAX_ATTEMPTS_WITHOUT_CHECKPOINT: u64 = 2;

/// Tasks to stop on one machine, each with the time it has to save, in seconds.
type Victims = Vec<(TaskKey, u64)>;

/// A machine on which tasks could be stopped to free capacity for tasks of a job.
struct PreemptionCandidate<'a> {
    machine: &'a Machine,
    zone: &'a str,
    /// How many tasks of the job fit once the victims have ended.
    fitting_tasks: u64,
    victims: Victims,
    /// Whether the machine has accelerators that the job would leave unused.
    wastes_gpus: bool,
    /// What the victims lose, in core-seconds.
    loss: f64,
}

/// Preempts tasks for the first job of the queue that may preempt others and needs to.
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

/// Returns the first job for which tasks are to be stopped, and the tasks to stop by machine.
fn find_preemption(
    cluster: &ClusterState,
    catalog: &Catalog,
    now: Instant,
) -> Option<(crate::jobs::JobId, Vec<(MachineId, Victims)>)> {
    let quotas = Quotas::new(cluster);
    let suspect_timeout = suspect_timeout(cluster);
    let context = CapacityContext::new(cluster, catalog);
    // Jobs that may preempt nothing that runs are skipped.
    let lowest_running_urgency =
        cluster.jobs().filter(|(_, j)| !j.bound.is_empty()).map(|(_, j)| j.spec().urgency).min()?;
    let queued_jobs = queue(cluster, now);
    let may_preempt = queued_jobs
        .iter()
        .filter(|t| !t.quarantined && (lowest_running_urgency < t.job.spec().urgency || t.guaranteed));
    for queued in may_preempt.take(MAX_JOBS_EXAMINED) {
        let (job, spec) = (queued.job, queued.job.spec());
        let tasks_needed = if spec.is_gang() { job.waiting.len() as u64 } else { 1 };
        let waited = job.last_task_end.map_or(queued.age, |t| now.saturating_duration_since(t));
        let min_wait =
            if lowest_running_urgency == Urgency::Idle && !spec.is_idle() { Duration::ZERO } else { MIN_WAIT };
        if waited < min_wait || !quotas.allows(spec, tasks_needed as f64) {
            continue;
        }
        let zones = JobZones::new(cluster, job);
        let allowed_kinds = context.allowed_kinds(spec, &zones);
        let schedulable = cluster.machines.values().filter(|m| is_schedulable(m, suspect_timeout, now));
        let available = schedulable.filter(|m| cluster.reservation(&m.id, now).is_none_or(|r| r.job == *queued.id));
        let candidates: Vec<PreemptionCandidate> = available
            .filter_map(|m| preemption_candidate(cluster, &context, m, queued, &allowed_kinds, tasks_needed, now))
            .collect();
        // A job that is not a gang may use several machines at a time, as many as it has waiting tasks.
        let waiting = cluster.intents.placeable_tasks(queued.id, job) as u64;
        let tasks_wanted = if spec.is_gang() { tasks_needed } else { waiting.min(MAX_MACHINES as u64) };
        let Some(chosen) = choose_candidates(candidates, spec, &zones, tasks_needed, tasks_wanted) else { continue };
        let stops: Vec<(MachineId, Victims)> = chosen.into_iter().map(|p| (p.machine.id.clone(), p.victims)).collect();
        // There is nothing more to stop: all tasks in the way are being stopped already.
        if stops.iter().all(|(_, victims)| victims.is_empty()) {
            continue;
        }
        return Some((queued.id.clone(), stops));
    }
    None
}

/// Chooses the candidates with the least loss that hold at least `tasks_needed` tasks together, in one zone if the job
/// requires that, and stops at `tasks_wanted`. Returns `None` if there are too few.
fn choose_candidates<'a>(
    mut candidates: Vec<PreemptionCandidate<'a>>,
    spec: &JobSpec,
    zones: &JobZones,
    tasks_needed: u64,
    tasks_wanted: u64,
) -> Option<Vec<PreemptionCandidate<'a>>> {
    candidates.retain(|p| zones.allows(p.zone));
    let loss_per_task = |p: &PreemptionCandidate| p.loss / p.fitting_tasks.max(1) as f64;
    candidates.sort_by(|a, b| {
        (a.wastes_gpus.cmp(&b.wastes_gpus))
            .then(loss_per_task(a).total_cmp(&loss_per_task(b)))
            .then(b.fitting_tasks.cmp(&a.fitting_tasks))
            .then(a.machine.id.cmp(&b.machine.id))
    });
    let mut by_zone: HashMap<&str, (u64, f64)> = HashMap::new();
    let mut zone = None;
    if spec.same_zone {
        for candidate in &candidates {
            let (fitting_tasks, loss) = by_zone.entry(candidate.zone).or_default();
            if *fitting_tasks < tasks_needed {
                (*fitting_tasks, *loss) = (*fitting_tasks + candidate.fitting_tasks, *loss + candidate.loss);
            }
        }
        let sufficient = by_zone.into_iter().filter(|(_, (fitting_tasks, _))| *fitting_tasks >= tasks_needed);
        zone = Some(sufficient.min_by(|a, b| a.1.1.total_cmp(&b.1.1).then(a.0.cmp(b.0)))?.0);
    }
    let (mut chosen, mut fitting_tasks) = (Vec::new(), 0);
    for candidate in candidates.into_iter().filter(|p| zone.is_none_or(|z| z == p.zone)) {
        // `tasks_wanted` may be above `tasks_needed`: the job then gets capacity for more of its waiting tasks.
        if fitting_tasks >= tasks_wanted || chosen.len() >= MAX_MACHINES {
            break;
        }
        fitting_tasks += candidate.fitting_tasks;
        chosen.push(candidate);
    }
    (fitting_tasks >= tasks_needed).then_some(chosen)
}

/// A task that may be stopped for another job.
struct PreemptibleTask<'a> {
    /// What is lost by stopping it.
    loss: f64,
    key: TaskKey,
    spec: &'a JobSpec,
}

/// The tasks chosen to be stopped on a machine.
struct ChosenVictims {
    tasks: Victims,
    /// What is lost by stopping all of them.
    loss: f64,
}

/// Returns what would have to be stopped on a machine to free capacity for tasks of the job, the least loss first;
/// `None` if no task of the job would fit even then.
fn preemption_candidate<'a>(
    cluster: &'a ClusterState,
    context: &CapacityContext<'a>,
    machine: &'a Machine,
    queued: &QueuedJob,
    allowed_kinds: &[bool],
    tasks_needed: u64,
    now: Instant,
) -> Option<PreemptionCandidate<'a>> {
    let spec = queued.job.spec();
    let mut capacity = context.capacity(machine).filter(|r| allowed_kinds[r.kind])?;
    // The capacity of tasks that are being stopped already counts as free.
    let stopping = bound_tasks(cluster, machine).filter(|(.., binding)| binding.halt_grace_s.is_some());
    stopping.for_each(|(_, other, ..)| capacity.release(other.spec()));
    let max_tasks =
        if spec.is_gang() { tasks_needed } else { cluster.intents.placeable_tasks(queued.id, queued.job) as u64 };
    let preemptible = preemptible_tasks(cluster, machine, queued, now);
    let victims = choose_victims(spec, preemptible, max_tasks, &mut capacity);
    let fitting_tasks = capacity.fitting_tasks(spec, max_tasks);
    (fitting_tasks > 0).then(|| PreemptionCandidate {
        machine,
        zone: context.zone(capacity.kind),
        fitting_tasks,
        victims: victims.tasks,
        wastes_gpus: !capacity.wastes_no_gpus(spec),
        loss: victims.loss,
    })
}

/// Returns the tasks that are bound to a machine, each with its job and its binding.
fn bound_tasks<'a>(
    cluster: &'a ClusterState,
    machine: &'a Machine,
) -> impl Iterator<Item = (&'a TaskKey, &'a JobState, &'a Task, &'a Binding)> {
    machine.bound.iter().filter_map(|key| {
        let job = cluster.job(&key.job)?;
        let task = job.tasks.get(key.index as usize)?;
        let Phase::Bound(binding) = &task.phase else { return None };
        Some((key, job, task, &**binding))
    })
}

/// Returns the tasks on a machine that may be stopped for the job, the least loss first.
fn preemptible_tasks<'a>(
    cluster: &'a ClusterState,
    machine: &'a Machine,
    queued: &QueuedJob,
    now: Instant,
) -> Vec<PreemptibleTask<'a>> {
    let spec = queued.job.spec();
    let may_stop = |other: &JobSpec| {
        other.urgency < spec.urgency
            || (queued.guaranteed && other.team != spec.team && exceeds_guarantee(cluster, other))
    };
    let running = bound_tasks(cluster, machine).filter(|(.., binding)| binding.halt_grace_s.is_none());
    let preemptible = running.filter(|(_, other, task, _)| {
        may_stop(other.spec()) && task.attempt < max_attempts(other.spec()) && !is_running_only_first_task(other)
    });
    let mut tasks: Vec<PreemptibleTask> = preemptible
        .map(|(key, other, _, binding)| PreemptibleTask {
            loss: preemption_loss(other, binding.run_time(now)),
            key: key.clone(),
            spec: other.spec(),
        })
        .collect();
    tasks.sort_by(|a, b| a.loss.total_cmp(&b.loss).then(a.key.cmp(&b.key)));
    tasks
}

/// Chooses the tasks to stop and releases their capacity. Idle work is stopped on all that the job can use: idle work
/// left behind would keep a whole machine from others.
fn choose_victims(
    spec: &JobSpec,
    preemptible: Vec<PreemptibleTask>,
    max_tasks: u64,
    capacity: &mut FreeCapacity,
) -> ChosenVictims {
    let mut without_idle = *capacity;
    preemptible.iter().filter(|task| task.spec.is_idle()).for_each(|task| without_idle.release(task.spec));
    let max_without_idle = without_idle.fitting_tasks(spec, max_tasks).max(1);
    let mut victims = ChosenVictims { tasks: Vec::new(), loss: 0.0 };
    for task in preemptible {
        let sufficient_tasks = if task.spec.is_idle() { max_without_idle } else { 1 };
        if capacity.fitting_tasks(spec, max_tasks) >= sufficient_tasks {
            break;
        }
        capacity.release(task.spec);
        victims.loss += task.loss;
        victims.tasks.push((task.key, task.spec.save_s.ceil() as u64 + 1));
    }
    victims
}

/// Whether only the first task of an idle job is placed and has not run yet. Large idle jobs begin with one task that
/// goes first; if it were stopped, the job would not begin in time (`scheduling::large`).
fn is_running_only_first_task(job: &JobState) -> bool {
    let spec = job.spec();
    spec.is_idle() && spec.tasks > 1 && job.bound.len() == 1 && !job.has_run()
}

/// Returns the number of attempts from which on a task is not preempted any more.
fn max_attempts(spec: &JobSpec) -> u64 {
    if spec.checkpoint_s > 0.0 { MAX_ATTEMPTS } else { MAX_ATTEMPTS_WITHOUT_CHECKPOINT }
}

/// Returns what stopping a task costs, in core-seconds: the time to save for a task with checkpoints, else what it has
/// run so far; for a gang, that of all its tasks.
fn preemption_loss(job: &JobState, run_time: Duration) -> f64 {
    let spec = job.spec();
    let seconds = if spec.checkpoint_s > 0.0 { spec.save_s + 1.0 } else { run_time.as_secs_f64() + 1.0 };
    let tasks = if spec.is_gang() { spec.tasks as f64 } else { 1.0 };
    seconds * spec.cpus.max(0.01) * tasks
}

/// Whether the team's usage without one task of the job still reaches its guarantee.
fn exceeds_guarantee(cluster: &ClusterState, spec: &JobSpec) -> bool {
    let Some(team) = cluster.settings.team(&spec.team) else { return true };
    let used = cluster.team_usage.get(&spec.team).copied().unwrap_or_default();
    used.cpus - spec.cpus >= team.cpus - AMOUNT_TOLERANCE && used.gpus - spec.gpus >= team.gpus - AMOUNT_TOLERANCE
}
