//! Choice of the machines to drain, because their tasks, and the work expected meanwhile, fit on the other machines.
//! Tasks that can save a checkpoint are moved; the others run to their end.

mod capacity_pool;

use std::time::{Duration, Instant};

use capacity_pool::{Candidate, CapacityPool};

use crate::jobs::JobSpec;
use crate::machine_kinds::Catalog;
use crate::protocol::workers::{AttemptStatus, TaskKey};
use crate::scheduling::capacity::JobZones;
use crate::scheduling::cluster::{Binding, ClusterState, JobState, MachineId, TaskMove};
use crate::scheduling::intents;
use crate::scheduling::plan::{quarantined_jobs, queue};
use crate::sla;

/// Minimum time that a task has run before it is moved: stopped sooner it does not count as started, and has done
/// hardly any work.
const MIN_RUN_BEFORE_MOVE: Duration = Duration::from_secs(32);
/// Minimum remaining run time of a task that is moved: a move costs a checkpoint, the fetch of the image and a new
/// start, which is too much for the end of a task.
const MIN_REMAINING_TO_MOVE: Duration = Duration::from_secs(30);
/// Number of attempts at which a task is no longer moved, since each move costs its user time.
const MAX_ATTEMPTS_TO_MOVE: u64 = 3;
/// At most one in this many machines is drained per decision. This keeps the cost of a wrong decision low: a peak of
/// load passes within a minute.
const MACHINES_PER_DRAIN: usize = 10;
/// Maximum number of machines with tasks that are examined per decision.
const MAX_EXAMINED_MACHINES: usize = 60;

/// Machine to drain, with the tasks to move away from it.
#[derive(Debug)]
pub struct DrainDecision {
    /// Id of the machine, which is no longer needed.
    pub machine: MachineId,
    /// Tasks to stop on the machine, so that they continue elsewhere.
    pub moves: Vec<TaskMove>,
}

/// Chooses machines to drain: the most expensive ones that are not needed, and of equally expensive ones those with the
/// fewest tasks.
pub fn choose_drains(cluster: &ClusterState, catalog: &Catalog, now: Instant) -> Vec<DrainDecision> {
    let mut pool = CapacityPool::new(cluster, catalog, now);
    keep_needed_capacity(cluster, &mut pool, now);
    let max_drains = (pool.len() / MACHINES_PER_DRAIN).max(1);
    let mut chosen = Vec::new();
    let mut examined = 0;
    for index in pool.scale_in_order() {
        if chosen.len() >= max_drains || examined >= MAX_EXAMINED_MACHINES {
            break;
        }
        let Some(candidate) = pool.candidate(index, now) else { continue };
        examined += usize::from(!candidate.machine.bound.is_empty());
        if let Some(moves) = plan_moves(cluster, &mut pool, candidate, now) {
            pool.close_machine(index);
            chosen.push(DrainDecision { machine: candidate.machine.id.clone(), moves });
        }
    }
    chosen
}

/// Packs all work for which machines are kept: first waiting work, declared capacity and expected arrivals, then idle
/// work, running or not, into the remaining capacity, and at last the tries of quarantined jobs.
fn keep_needed_capacity(cluster: &ClusterState, pool: &mut CapacityPool, now: Instant) {
    for queued in queue(cluster, now).into_iter().filter(|queued| !queued.quarantined && !queued.job.spec().is_idle()) {
        let (job, waiting) = (queued.job, cluster.intents.placeable_tasks(queued.id, queued.job) as u64);
        let overdue = queued.prioritized || queued.age > job.agreement.run_time;
        pool.keep_capacity(job.spec(), &JobZones::new(cluster, job), waiting, overdue);
    }
    for (intent, _) in intents::due_capacity_intents(cluster, &pool.context) {
        pool.keep_capacity(&intent.task_spec, &JobZones::without_tasks(&intent.task_spec), intent.tasks, false);
    }
    pool.keep_for_arrivals(cluster, now);
    for (id, job) in cluster.jobs().filter(|(_, job)| job.spec().is_idle() && job.ended.is_none()) {
        let tasks = (cluster.intents.placeable_tasks(id, job) + job.bound.len()) as u64;
        if tasks > 0 && !cluster.attribution.is_job_quarantined(id) {
            pool.keep_capacity(job.spec(), &JobZones::without_tasks(job.spec()), tasks, false);
        }
    }
    keep_for_retries(cluster, pool, now);
}

/// Keeps the machines that quarantined jobs are to be tried on next.
fn keep_for_retries(cluster: &ClusterState, pool: &mut CapacityPool, now: Instant) {
    for queued in quarantined_jobs(cluster, now) {
        let tasks = queued.tasks_per_retry(&cluster.intents);
        let failed_machines = cluster.attribution.failed_machines(queued.id);
        pool.keep_for_retry(&queued, &JobZones::new(cluster, queued.job), tasks, failed_machines, now);
    }
}

/// Effect on a task of draining its machine.
enum TaskDrain {
    /// The task runs to its end on the machine.
    RunsToEnd,
    /// The task is stopped, without capacity for it elsewhere at once.
    Stops,
    /// The task is moved to other capacity.
    Moves,
    /// The task keeps the machine from being drained.
    PreventsDrain,
}

/// Returns the tasks to stop so that the machine drains, or `None` if one of its tasks prevents that or the tasks to
/// move do not all fit elsewhere.
fn plan_moves(
    cluster: &ClusterState,
    pool: &mut CapacityPool,
    candidate: Candidate,
    now: Instant,
) -> Option<Vec<TaskMove>> {
    let (mut moves, mut stops, mut moved_specs) = (Vec::new(), Vec::new(), Vec::new());
    for key in &candidate.machine.bound {
        let Some(job) = cluster.job(&key.job) else { continue };
        let Some(binding) = job.binding(key.index) else { continue };
        if job.ended.is_some() || binding.halt_grace_s.is_some() {
            continue;
        }
        let wastes_accelerators =
            candidate.accelerated && job.spec().gpus <= 0.0 && !pool.context.needs_accelerated_machine(job.spec());
        match decide_task_drain(cluster, job, key, binding, wastes_accelerators, now) {
            TaskDrain::RunsToEnd => {}
            TaskDrain::Stops => stops.push(task_move(key, job.spec())),
            TaskDrain::Moves => {
                moves.push(task_move(key, job.spec()));
                moved_specs.push(job.spec());
            }
            TaskDrain::PreventsDrain => return None,
        }
    }
    if !pool.repack_tasks(&moved_specs, candidate.index) {
        return None;
    }
    moves.extend(stops);
    Some(moves)
}

/// Creates the move of a task, with enough grace to save its checkpoint.
fn task_move(key: &TaskKey, spec: &JobSpec) -> TaskMove {
    TaskMove { task: key.clone(), grace_s: spec.save_s.ceil() as u64 + 1 }
}

/// Decides what draining its machine means for one task. `wastes_accelerators`: the task uses none of the machine's
/// accelerators and fits other machines.
fn decide_task_drain(
    cluster: &ClusterState,
    job: &JobState,
    key: &TaskKey,
    binding: &Binding,
    wastes_accelerators: bool,
    now: Instant,
) -> TaskDrain {
    let spec = job.spec();
    if cluster.intents.keeps_in_place(&key.job)
        || cluster.intents.priority_boost.as_ref().is_some_and(|boost| boost.names.contains_job(spec))
    {
        return TaskDrain::PreventsDrain;
    }
    let running_since = binding.running_since.filter(|_| binding.status == Some(AttemptStatus::Running));
    let run_time = running_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
    let remaining = sla::remaining_run_time(job.agreement.run_time, run_time);
    let attempts = job.tasks.get(key.index as usize).map_or(0, |task| task.attempt);
    let can_move = spec.checkpoint_s > 0.0 && !(spec.is_gang() && spec.tasks > 1) && attempts < MAX_ATTEMPTS_TO_MOVE;
    if can_move && remaining > MIN_REMAINING_TO_MOVE {
        // A task that is being started, or has just started, is not stopped again.
        if run_time < MIN_RUN_BEFORE_MOVE {
            TaskDrain::PreventsDrain
        } else if spec.is_idle() && wastes_accelerators {
            TaskDrain::Stops
        } else {
            TaskDrain::Moves
        }
    } else if remaining > MIN_REMAINING_TO_MOVE * 2 && !wastes_accelerators {
        // The task would keep the draining machine for long, and it wastes no accelerators.
        TaskDrain::PreventsDrain
    } else {
        TaskDrain::RunsToEnd
    }
}
