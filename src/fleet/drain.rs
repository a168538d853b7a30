//! Which machines to drain, because what they run, and the work expected meanwhile, fits on the others. Tasks that can
//! save a checkpoint are moved; the others run to their end.

mod capacity_pool;

use std::time::{Duration, Instant};

use capacity_pool::{Candidate, CapacityPool};

use crate::jobs::JobSpec;
use crate::machine_kinds::Catalog;
use crate::protocol::workers::{AttemptStatus, TaskKey};
use crate::scheduling::capacity::JobZones;
use crate::scheduling::cluster::{Binding, ClusterState, JobState, MachineId, TaskMove};
use crate::scheduling::intents;
use crate::scheduling::plan::queue;
use crate::sla;

/// A task stopped sooner after its start does not count as started, and has hardly worked.
const RUN_BEFORE_MOVE: Duration = Duration::from_secs(32);
/// Moving costs a checkpoint, fetching and a new start; a task with less than this left is not worth it.
const WORTH_MOVING: Duration = Duration::from_secs(30);
/// A task that was started this often stays where it is: each move costs its user time.
const MOST_ATTEMPTS: u64 = 3;
/// One in so many machines is drained at once at the most: a peak passes within a minute, and a wrong guess costs
/// little.
const DRAINED_PART: usize = 10;
/// Most machines for whose tasks another place is searched at a time.
const MOST_SEARCHED: usize = 60;

/// A machine to drain, and the tasks of it to move.
#[derive(Debug)]
pub struct DrainDecision {
    /// The machine that is no longer needed.
    pub machine: MachineId,
    /// Tasks to stop there so that they continue elsewhere.
    pub moves: Vec<TaskMove>,
}

/// The dearest machines that are not needed, emptier ones first among equals.
pub fn choose_drains(cluster: &ClusterState, catalog: &Catalog, now: Instant) -> Vec<DrainDecision> {
    let mut pool = CapacityPool::new(cluster, catalog, now);
    keep_needed_capacity(cluster, &mut pool, now);
    let most = (pool.len() / DRAINED_PART).max(1);
    let mut chosen = Vec::new();
    let mut searched = 0;
    for index in pool.scale_in_order() {
        if chosen.len() >= most || searched >= MOST_SEARCHED {
            break;
        }
        let Some(candidate) = pool.candidate(index, now) else { continue };
        searched += usize::from(!candidate.machine.bound.is_empty());
        if let Some(moves) = plan_moves(cluster, &mut pool, candidate, now) {
            pool.close_machine(index);
            chosen.push(DrainDecision { machine: candidate.machine.id.clone(), moves });
        }
    }
    chosen
}

/// Packs all work that keeps machines: waiting work, declared capacity and expected arrivals first, then idle work,
/// running or not, into what is left.
fn keep_needed_capacity(cluster: &ClusterState, pool: &mut CapacityPool, now: Instant) {
    for turn in queue(cluster, now).into_iter().filter(|turn| !turn.quarantined && !turn.job.spec().is_idle()) {
        let (job, waiting) = (turn.job, cluster.intents.placeable_tasks(turn.id, turn.job) as u64);
        let overdue = turn.prioritized || turn.age > job.agreement.run_time;
        pool.keep_capacity(job.spec(), &JobZones::new(cluster, job), waiting, overdue);
    }
    for (intent, _) in intents::due_capacity_intents(cluster, &pool.ground) {
        pool.keep_capacity(&intent.task_spec, &JobZones::without_tasks(&intent.task_spec), intent.tasks, false);
    }
    pool.keep_for_arrivals(cluster, now);
    for (id, job) in cluster.jobs().filter(|(_, job)| job.spec().is_idle() && job.ended.is_none()) {
        let tasks = (cluster.intents.placeable_tasks(id, job) + job.bound.len()) as u64;
        if tasks > 0 && !cluster.attribution.is_job_quarantined(id) {
            pool.keep_capacity(job.spec(), &JobZones::without_tasks(job.spec()), tasks, false);
        }
    }
}

/// What draining its machine means for a task.
enum TaskDrain {
    /// It runs to its end there.
    RunsOut,
    /// It is stopped, and needs no place elsewhere at once.
    Stops,
    /// It continues elsewhere.
    Moves,
    /// It keeps the machine.
    Stays,
}

/// The moves by which a machine is drained, if all tasks that have to move fit elsewhere.
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
        match judge_task(cluster, job, key, binding, candidate.accelerated, now) {
            TaskDrain::RunsOut => {}
            TaskDrain::Stops => stops.push(task_move(key, job.spec())),
            TaskDrain::Moves => {
                moves.push(task_move(key, job.spec()));
                moved_specs.push(job.spec());
            }
            TaskDrain::Stays => return None,
        }
    }
    if !pool.repack_tasks(&moved_specs, candidate.index) {
        return None;
    }
    moves.extend(stops);
    Some(moves)
}

fn task_move(key: &TaskKey, spec: &JobSpec) -> TaskMove {
    TaskMove { task: key.clone(), grace_s: spec.save_s.ceil() as u64 + 1 }
}

fn judge_task(
    cluster: &ClusterState,
    job: &JobState,
    key: &TaskKey,
    binding: &Binding,
    accelerated: bool,
    now: Instant,
) -> TaskDrain {
    let spec = job.spec();
    if cluster.intents.keeps_in_place(&key.job)
        || cluster.intents.priority_boost.as_ref().is_some_and(|ahead| ahead.names.contains_job(spec))
    {
        return TaskDrain::Stays;
    }
    let running_since = binding.running_since.filter(|_| binding.status == Some(AttemptStatus::Running));
    let ran = running_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
    let remaining = sla::remaining_run_time(job.agreement.run_time, ran);
    let attempts = job.tasks.get(key.index as usize).map_or(0, |task| task.attempt);
    let can_move = spec.checkpoint_s > 0.0 && !(spec.is_gang() && spec.tasks > 1) && attempts < MOST_ATTEMPTS;
    let wastes_accelerators = accelerated && spec.gpus <= 0.0;
    if can_move && remaining > WORTH_MOVING {
        // A task on its way, or just started, is not stopped again.
        if ran < RUN_BEFORE_MOVE {
            TaskDrain::Stays
        } else if spec.is_idle() && wastes_accelerators {
            TaskDrain::Stops
        } else {
            TaskDrain::Moves
        }
    } else if remaining > WORTH_MOVING * 2 && !wastes_accelerators {
        // It would hold the machine for long anyway.
        TaskDrain::Stays
    } else {
        TaskDrain::RunsOut
    }
}
