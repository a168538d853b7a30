//! The order in which waiting jobs are considered.

use std::cmp::Ordering;
use std::time::{Duration, Instant};

use super::large_first::{credited_gang, first_task_job};
use crate::jobs::{JobId, JobSpec};
use crate::scheduling::capacity::AMOUNT_TOLERANCE;
use crate::scheduling::cluster::{ClusterState, JobState};
use crate::scheduling::failure_attribution::MAX_PROBE_TASKS;
use crate::scheduling::fairness::floor::Rank;
use crate::scheduling::intents::{self, Intents};

/// A waiting job with what decides its position in the queue.
#[derive(Clone, Copy)]
pub struct QueuedJob<'a> {
    /// The id of the job.
    pub id: &'a JobId,
    /// The state of the job.
    pub job: &'a JobState,
    /// Whether the job is within its team's unused guarantee.
    pub guaranteed: bool,
    /// The job's rank by the rules of fairness.
    pub rank: Rank,
    /// Whether it is too late for everything that was promised for the job.
    pub late: bool,
    /// Whether the job needs much capacity at once and has waited long: it goes first within its rank, and capacity is
    /// kept for it.
    pub credited: bool,
    /// Whether the job is quarantined because it has failed everywhere so far: it is placed after everything else, no
    /// machine is reserved and no task preempted for it, and machines are provisioned for its tries alone.
    pub quarantined: bool,
    /// Whether machines may be provisioned for the next try of the quarantined job: it goes before the other quarantined
    /// jobs, so that it is tried on them.
    pub retry_on_new_machine: bool,
    /// The return of a task that starts now.
    task_return: f64,
    /// The time since the job was submitted.
    pub age: Duration,
    /// Whether the job goes before others of its urgency because operators declared so.
    pub prioritized: bool,
    /// Maximum number of tasks to place in the job's turn.
    pub max_tasks: usize,
}

impl QueuedJob<'_> {
    /// Returns how many more tasks one try of the job takes while it is quarantined: all waiting tasks of a gang, a few
    /// of another job.
    pub fn tasks_per_retry(&self, intents: &Intents) -> u64 {
        let waiting = intents.placeable_tasks(self.id, self.job);
        let tasks = if self.job.spec().is_gang() {
            waiting
        } else {
            waiting.min(MAX_PROBE_TASKS.saturating_sub(self.job.bound.len()))
        };
        tasks as u64
    }
}

/// Returns the waiting jobs in the order in which they are placed: jobs within their team's guarantee first, then jobs
/// below the floor that can still meet their promises, then by return, and jobs without return by age. Quarantined jobs
/// come last. Declared intents may change the order.
pub fn queue(cluster: &ClusterState, now: Instant) -> Vec<QueuedJob<'_>> {
    let mut queued_jobs: Vec<QueuedJob> = cluster
        .jobs()
        .filter(|(id, job)| is_placeable(cluster, id, job, now))
        .map(|(id, job)| queued(cluster, id, job, now))
        .collect();
    mark_large(cluster, &mut queued_jobs);
    queued_jobs.sort_by(by_precedence);
    intents::reorder_queue(cluster, &mut queued_jobs);
    queued_jobs
}

/// Returns the quarantined jobs with waiting tasks, in their retry pauses or not, in no particular order.
pub fn quarantined_jobs(cluster: &ClusterState, now: Instant) -> Vec<QueuedJob<'_>> {
    let ids = cluster.attribution.quarantined_jobs();
    let jobs = ids.filter_map(|id| Some((id, cluster.job(id)?)));
    jobs.filter(|(id, job)| waits(cluster, id, job)).map(|(id, job)| queued(cluster, id, job, now)).collect()
}

/// Whether the job has waiting tasks that may be placed now.
fn is_placeable(cluster: &ClusterState, id: &JobId, job: &JobState, now: Instant) -> bool {
    now >= job.not_before && waits(cluster, id, job)
}

/// Whether the job has waiting tasks that may be placed now or once its retry pause is over.
fn waits(cluster: &ClusterState, id: &JobId, job: &JobState) -> bool {
    let has_waiting_tasks = !job.waiting.is_empty() && job.ended.is_none() && !job.is_complete();
    has_waiting_tasks
        && cluster.intents.placeable_tasks(id, job) > 0
        && (!job.spec().is_gang() || job.bound.is_empty())
        && !cluster.intents.deferred_jobs.contains(id)
}

/// Builds the queue entry of a job; large jobs are marked later.
fn queued<'a>(cluster: &ClusterState, id: &'a JobId, job: &'a JobState, now: Instant) -> QueuedJob<'a> {
    let age = now.saturating_duration_since(job.submitted_at);
    let late = job.is_too_late(age);
    let below_floor =
        cluster.underserved.prioritized.contains_job(job.spec()) || cluster.intents.prioritizes_replicas(id);
    let quarantined = cluster.attribution.is_job_quarantined(id);
    QueuedJob {
        id,
        job,
        guaranteed: is_within_guarantee(cluster, job.spec()),
        rank: Rank::of(below_floor, late, job.spec().is_idle()),
        late,
        credited: false,
        quarantined,
        retry_on_new_machine: quarantined && cluster.attribution.may_provision_for(id, now),
        task_return: job.agreement.task_return(age + job.agreement.run_time),
        age,
        prioritized: false,
        max_tasks: usize::MAX,
    }
}

/// Marks the large gang for which capacity is kept, and the large job that is to begin with its first task.
fn mark_large(cluster: &ClusterState, queued_jobs: &mut [QueuedJob]) {
    let credited_gang = credited_gang(&cluster.large_gangs, queued_jobs, cluster.properties.gang_start_limit);
    let first_task_job = first_task_job(&cluster.large_gangs, queued_jobs, cluster.properties.gang_start_limit);
    for queued in queued_jobs {
        queued.credited = credited_gang == Some(queued.id);
        if first_task_job == Some(queued.id) {
            queued.credited = true;
            queued.max_tasks = 1;
            queued.rank = queued.rank.min(Rank::ByReturn);
        }
    }
}

/// Compares two jobs by their position in the queue; the lesser one goes first.
fn by_precedence(a: &QueuedJob, b: &QueuedJob) -> Ordering {
    (a.quarantined.cmp(&b.quarantined))
        .then(b.retry_on_new_machine.cmp(&a.retry_on_new_machine))
        .then(b.guaranteed.cmp(&a.guaranteed))
        .then(a.rank.cmp(&b.rank))
        .then(b.credited.cmp(&a.credited))
        .then(b.task_return.partial_cmp(&a.task_return).unwrap_or(Ordering::Equal))
        .then(b.age.cmp(&a.age))
        .then(a.id.cmp(b.id))
}

/// Whether the job, all of it if it is a gang and else one task, fits in what its team has left of its guarantee.
fn is_within_guarantee(cluster: &ClusterState, spec: &JobSpec) -> bool {
    let Some(team) = cluster.settings.team(&spec.team) else { return false };
    if team.cpus <= 0.0 && team.gpus <= 0.0 {
        return false;
    }
    let tasks = if spec.is_gang() { spec.tasks as f64 } else { 1.0 };
    let used = cluster.team_usage.get(&spec.team).copied().unwrap_or_default();
    used.cpus + tasks * spec.cpus <= team.cpus + AMOUNT_TOLERANCE
        && used.gpus + tasks * spec.gpus <= team.gpus + AMOUNT_TOLERANCE
}
