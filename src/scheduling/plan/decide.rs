//! Computes one plan over all waiting jobs, as a pure function of the cluster state and the time.

use std::collections::HashSet;
use std::time::Instant;

use super::queue::{QueuedJob, queue};
use super::quotas::Quotas;
use super::search::{PlacedTask, Plan};
use crate::jobs::{JobId, JobSpec};
use crate::machine_kinds::Catalog;
use crate::protocol::workers::TaskKey;
use crate::scheduling::capacity::{AMOUNT_TOLERANCE, JobZones};
use crate::scheduling::cluster::{ClusterState, Placement};
use crate::scheduling::fairness::floor::Rank;

/// Maximum placements of one plan: about what can be stored in a second.
const MAX_PLACEMENTS: usize = 1000;

/// The result of one plan.
#[derive(Default)]
pub(super) struct PlanOutcome {
    /// The tasks placed, in the order of the queue.
    pub(super) placements: Vec<Placement>,
    /// How often a machine was examined, which measures the work of the plan.
    pub(super) machines_examined: u64,
    /// Whether any capacity was kept for a gang.
    pub(super) kept_for_gang: bool,
    /// Jobs that keep waiting although a machine has capacity for them.
    pub(super) passed_over: HashSet<JobId>,
}

/// The late job that goes first because late work has earned credit for it.
struct CreditedJob<'a> {
    job: &'a JobId,
    /// How many of the job's tasks the credit covers.
    tasks: usize,
}

/// Places what can be placed now, job after job in the order of the queue. `may_keep`: whether capacity may be kept for
/// a gang that does not fit yet.
pub(super) fn decide(cluster: &ClusterState, catalog: &Catalog, may_keep: bool, now: Instant) -> PlanOutcome {
    let mut outcome = PlanOutcome::default();
    let mut queued_jobs = queue(cluster, now);
    if queued_jobs.is_empty() {
        return outcome;
    }
    let credited = advance_late_job(cluster, &mut queued_jobs);
    let mut plan = Plan::new(cluster, catalog, &queued_jobs, now);
    let mut quotas = Quotas::new(cluster);
    let mut reached_idle_work = false;
    for queued in queued_jobs {
        if queued.rank == Rank::Idle && !std::mem::replace(&mut reached_idle_work, true) {
            plan.keep_capacity_for_arrivals(cluster);
        }
        if outcome.placements.len() >= MAX_PLACEMENTS {
            break;
        }
        let credited = credited.as_ref().filter(|credited| credited.job == queued.id);
        let placements_left = MAX_PLACEMENTS - outcome.placements.len();
        let max_tasks = max_placeable_tasks(cluster, &queued, credited, &quotas, placements_left, now);
        if max_tasks == 0 {
            continue;
        }
        let keep_capacity = may_keep && (queued.credited || credited.is_some());
        let mut zones = JobZones::new(cluster, queued.job);
        let placed = plan.place_job(&queued, &mut zones, max_tasks, keep_capacity);
        quotas.add_usage(queued.job.spec(), placed.len() as f64);
        if plan.passes_over(&queued, &zones, placed.len(), &quotas) {
            outcome.passed_over.insert(queued.id.clone());
        }
        outcome.placements.extend(number_attempts(&queued, placed));
    }
    outcome.machines_examined = plan.machines_examined;
    outcome.kept_for_gang = !plan.gang_reserved_zones.is_empty();
    outcome
}

/// Moves the oldest late job to the front, behind guaranteed jobs only, if late work has earned credit for it.
fn advance_late_job<'a>(cluster: &ClusterState, queued_jobs: &mut Vec<QueuedJob<'a>>) -> Option<CreditedJob<'a>> {
    let credit = cluster.core_credit.cores();
    let late = queued_jobs
        .iter()
        .enumerate()
        .filter(|(_, t)| t.late && !t.guaranteed && !t.quarantined && t.rank != Rank::Idle);
    let (position, oldest) = late.max_by(|(_, a), (_, b)| a.age.cmp(&b.age).then(b.id.cmp(a.id)))?;
    let cores_needed = oldest.job.min_start_cores();
    if cores_needed > credit {
        return None;
    }
    let queued = queued_jobs.remove(position);
    let guaranteed_jobs = queued_jobs.iter().take_while(|t| t.guaranteed).count();
    queued_jobs.insert(guaranteed_jobs, queued);
    Some(CreditedJob { job: queued.id, tasks: (credit / cores_needed.max(AMOUNT_TOLERANCE)) as usize })
}

/// Returns how many tasks of a job may be placed in its turn, at most `placements_left`, which the plan may still make.
fn max_placeable_tasks(
    cluster: &ClusterState,
    queued: &QueuedJob,
    credited: Option<&CreditedJob>,
    quotas: &Quotas,
    placements_left: usize,
    now: Instant,
) -> usize {
    let (job, spec) = (queued.job, queued.job.spec());
    let max_tasks = queued.max_tasks.min(placements_left);
    if spec.is_gang() {
        return if quotas.allows(spec, spec.tasks as f64) { max_tasks } else { 0 };
    }
    let mut max_tasks =
        tasks_within_quota(quotas, spec, max_tasks.min(cluster.intents.placeable_tasks(queued.id, job)));
    let overdue = cluster.passed_over.is_overdue(queued.id, now);
    if let Some(credited) = credited.filter(|_| !overdue) {
        max_tasks = max_tasks.min(credited.tasks);
    }
    if overdue && queued.rank == Rank::Idle && job.bound.is_empty() {
        max_tasks = max_tasks.min(1);
    }
    if queued.quarantined && !overdue {
        max_tasks = max_tasks.min(queued.tasks_per_retry(&cluster.intents) as usize);
    }
    max_tasks
}

/// Returns how many single tasks, up to `max_tasks`, the team's limits allow.
fn tasks_within_quota(quotas: &Quotas, spec: &JobSpec, max_tasks: usize) -> usize {
    // Few teams have limits; counting up to the limit is cheap compared to placing.
    let mut tasks = 0;
    while tasks < max_tasks && quotas.allows(spec, (tasks + 1) as f64) {
        tasks += 1;
    }
    tasks
}

/// Turns the placed tasks of one job into placements with their attempt numbers.
fn number_attempts<'a>(queued: &QueuedJob<'a>, placed: Vec<PlacedTask>) -> impl Iterator<Item = Placement> + use<'a> {
    let (id, job) = (queued.id, queued.job);
    // The tasks of a gang identify one another by a common attempt number.
    let gang_attempt = job.spec().is_gang().then(|| job.tasks.iter().map(|t| t.attempt).max().unwrap_or(0) + 1);
    let attempt_of = |index: u32| job.tasks.get(index as usize).map_or(0, |t| t.attempt) + 1;
    placed.into_iter().map(move |PlacedTask { index, machine }| Placement {
        task: TaskKey { job: id.clone(), index },
        attempt: gang_attempt.unwrap_or_else(|| attempt_of(index)),
        machine,
    })
}
