//! The order in which waiting jobs are considered.

use std::cmp::Ordering;
use std::time::{Duration, Instant};

use super::large_first::{credited_gang, first_task_job};
use crate::jobs::{JobId, JobSpec};
use crate::scheduling::capacity::AMOUNT_TOLERANCE;
use crate::scheduling::cluster::{ClusterState, JobState};
use crate::scheduling::fairness::floor::Rank;
use crate::scheduling::intents;

/// A job's place in the queue.
#[derive(Clone, Copy)]
pub struct QueuedJob<'a> {
    /// The id of the job.
    pub id: &'a JobId,
    /// Its state.
    pub job: &'a JobState,
    /// Its team is short of its guarantee, and the job is within it.
    pub guaranteed: bool,
    /// Its rank by the rules of fairness.
    pub rank: Rank,
    /// Too late for all that was promised of it.
    pub late: bool,
    /// Needs much at once and has waited for long: it goes first within its rank, and room is kept for it.
    pub credited: bool,
    /// Has failed everywhere so far: behind all else, and nothing is paid, held or stopped for it.
    pub quarantined: bool,
    task_return: f64,
    /// For how long it has waited.
    pub age: Duration,
    /// Goes before others of its urgency, by what operators have declared.
    pub prioritized: bool,
    /// Tasks that may be placed in its turn.
    pub max_tasks: usize,
}

/// What fails everywhere last of all; else teams short of their guarantee first, then who is below the floor and can
/// still be in time, then by return; work of no return by age.
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

/// Whether tasks of the job wait that may be placed now.
fn is_placeable(cluster: &ClusterState, id: &JobId, job: &JobState, now: Instant) -> bool {
    let waits = !job.waiting.is_empty() && job.ended.is_none() && !job.is_complete() && now >= job.not_before;
    waits
        && cluster.intents.placeable_tasks(id, job) > 0
        && (!job.spec().is_gang() || job.bound.is_empty())
        && !cluster.intents.deferred_jobs.contains(id)
}

fn queued<'a>(cluster: &ClusterState, id: &'a JobId, job: &'a JobState, now: Instant) -> QueuedJob<'a> {
    let age = now.saturating_duration_since(job.submitted_at);
    let late = job.is_too_late(age);
    let first = cluster.underserved.prioritized.contains_job(job.spec()) || cluster.intents.prioritizes_replicas(id);
    QueuedJob {
        id,
        job,
        guaranteed: is_within_guarantee(cluster, job.spec()),
        rank: Rank::of(first, late, job.spec().is_idle()),
        late,
        credited: false,
        quarantined: cluster.attribution.is_job_quarantined(id),
        task_return: job.agreement.task_return(age + job.agreement.run_time),
        age,
        prioritized: false,
        max_tasks: usize::MAX,
    }
}

/// Marks the large job for which room is kept, and the one of which a first task is to begin.
fn mark_large(cluster: &ClusterState, queued_jobs: &mut [QueuedJob]) {
    let credited = credited_gang(&cluster.large_gangs, queued_jobs, cluster.properties.large_begin);
    let to_begin = first_task_job(&cluster.large_gangs, queued_jobs, cluster.properties.large_begin);
    for queued in queued_jobs {
        queued.credited = credited == Some(queued.id);
        if to_begin == Some(queued.id) {
            queued.credited = true;
            queued.max_tasks = 1;
            queued.rank = queued.rank.min(Rank::ByReturn);
        }
    }
}

fn by_precedence(a: &QueuedJob, b: &QueuedJob) -> Ordering {
    (a.quarantined.cmp(&b.quarantined))
        .then(b.guaranteed.cmp(&a.guaranteed))
        .then(a.rank.cmp(&b.rank))
        .then(b.credited.cmp(&a.credited))
        .then(b.task_return.partial_cmp(&a.task_return).unwrap_or(Ordering::Equal))
        .then(b.age.cmp(&a.age))
        .then(a.id.cmp(b.id))
}

fn is_within_guarantee(cluster: &ClusterState, spec: &JobSpec) -> bool {
    let Some(team) = cluster.settings.team(&spec.team) else { return false };
    if team.cpus <= 0.0 && team.gpus <= 0.0 {
        return false;
    }
    let n = if spec.is_gang() { spec.tasks as f64 } else { 1.0 };
    let used = cluster.team_usage.get(&spec.team).copied().unwrap_or_default();
    used.cpus + n * spec.cpus <= team.cpus + AMOUNT_TOLERANCE
        && used.gpus + n * spec.gpus <= team.gpus + AMOUNT_TOLERANCE
}
