//! One plan over all waiting jobs, as a pure function of the cluster state and the time.

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
use crate::scheduling::failure_attribution::MAX_PROBE_TASKS;
use crate::scheduling::fairness::floor::Rank;

/// Placements of one plan: what can be stored in about a second.
const MAX_PLACEMENTS: usize = 1000;

/// What one plan comes to.
#[derive(Default)]
pub(super) struct PlanOutcome {
    pub(super) placements: Vec<Placement>,
    /// How many rooms were looked at.
    pub(super) machines_examined: u64,
    /// Whether any was kept for a gang.
    pub(super) kept_for_gang: bool,
    /// Jobs that wait although a room fits.
    pub(super) passed_over: HashSet<JobId>,
}

/// Late work that is due a share of the machines by the credit that it has earned.
struct CreditedJob<'a> {
    job: &'a JobId,
    /// How many of its tasks the credit covers.
    tasks: usize,
}

/// What can be placed now, job after job in the order of the queue.
pub(super) fn decide(cluster: &ClusterState, catalog: &Catalog, may_keep: bool, now: Instant) -> PlanOutcome {
    let mut decided = PlanOutcome::default();
    let mut queued_jobs = queue(cluster, now);
    if queued_jobs.is_empty() {
        return decided;
    }
    let earned = advance_late_job(cluster, &mut queued_jobs);
    let mut plan = Plan::new(cluster, catalog, &queued_jobs, now);
    let mut quotas = Quotas::new(cluster);
    let mut idle_begun = false;
    for queued in queued_jobs {
        if queued.rank == Rank::Idle && !std::mem::replace(&mut idle_begun, true) {
            plan.keep_capacity_for_arrivals(cluster);
        }
        if decided.placements.len() >= MAX_PLACEMENTS {
            break;
        }
        let earned = earned.as_ref().filter(|earned| earned.job == queued.id);
        let left = MAX_PLACEMENTS - decided.placements.len();
        let most = max_placeable_tasks(cluster, &queued, earned, &quotas, left, now);
        if most == 0 {
            continue;
        }
        let keep = may_keep && (queued.credited || earned.is_some());
        let mut zones = JobZones::new(cluster, queued.job);
        let placed = plan.place_job(&queued, &mut zones, most, keep);
        quotas.add_usage(queued.job.spec(), placed.len() as f64);
        if plan.passes_over(&queued, &zones, placed.len(), &quotas) {
            decided.passed_over.insert(queued.id.clone());
        }
        decided.placements.extend(number_attempts(&queued, placed));
    }
    decided.machines_examined = plan.machines_examined;
    decided.kept_for_gang = !plan.gang_reserved_zones.is_empty();
    decided
}

/// Late work goes first as far as it has earned, the oldest of it.
fn advance_late_job<'a>(cluster: &ClusterState, queued_jobs: &mut Vec<QueuedJob<'a>>) -> Option<CreditedJob<'a>> {
    let credit = cluster.core_credit.cores();
    let late = queued_jobs
        .iter()
        .enumerate()
        .filter(|(_, t)| t.late && !t.guaranteed && !t.quarantined && t.rank != Rank::Idle);
    let (at, oldest) = late.max_by(|(_, a), (_, b)| a.age.cmp(&b.age).then(b.id.cmp(a.id)))?;
    let needs = oldest.job.min_start_cores();
    if needs > credit {
        return None;
    }
    let queued = queued_jobs.remove(at);
    let behind_guaranteed = queued_jobs.iter().take_while(|t| t.guaranteed).count();
    queued_jobs.insert(behind_guaranteed, queued);
    Some(CreditedJob { job: queued.id, tasks: (credit / needs.max(AMOUNT_TOLERANCE)) as usize })
}

/// How many tasks of a job may be placed in its turn, of `left` that the plan may still place.
fn max_placeable_tasks(
    cluster: &ClusterState,
    queued: &QueuedJob,
    earned: Option<&CreditedJob>,
    quotas: &Quotas,
    left: usize,
    now: Instant,
) -> usize {
    let (job, spec) = (queued.job, queued.job.spec());
    let most = queued.max_tasks.min(left);
    if spec.is_gang() {
        return if quotas.allows(spec, spec.tasks as f64) { most } else { 0 };
    }
    let mut most = tasks_within_quota(quotas, spec, most.min(cluster.intents.placeable_tasks(queued.id, job)));
    let overdue = cluster.passed_over.is_overdue(queued.id, now);
    if let Some(earned) = earned.filter(|_| !overdue) {
        most = most.min(earned.tasks);
    }
    if overdue && queued.rank == Rank::Idle && job.bound.is_empty() {
        most = most.min(1);
    }
    if queued.quarantined && !overdue {
        most = most.min(MAX_PROBE_TASKS.saturating_sub(job.bound.len()));
    }
    most
}

/// How many single tasks, up to `most`, the team's limits allow.
fn tasks_within_quota(quotas: &Quotas, spec: &JobSpec, most: usize) -> usize {
    // Few teams have limits; counting up to the limit is cheap next to placing.
    let mut tasks = 0;
    while tasks < most && quotas.allows(spec, (tasks + 1) as f64) {
        tasks += 1;
    }
    tasks
}

/// The placements of one job, with the numbers of their attempts.
fn number_attempts<'a>(queued: &QueuedJob<'a>, placed: Vec<PlacedTask>) -> impl Iterator<Item = Placement> + use<'a> {
    let (id, job) = (queued.id, queued.job);
    // The tasks of a gang find one another by a common attempt number.
    let gang_attempt = job.spec().is_gang().then(|| job.tasks.iter().map(|t| t.attempt).max().unwrap_or(0) + 1);
    let attempt_of = |index: u32| job.tasks.get(index as usize).map_or(0, |t| t.attempt) + 1;
    placed.into_iter().map(move |PlacedTask { index, machine }| Placement {
        task: TaskKey { job: id.clone(), index },
        attempt: gang_attempt.unwrap_or_else(|| attempt_of(index)),
        machine,
    })
}
