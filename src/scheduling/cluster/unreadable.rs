//! Task shards that a new leader cannot read: their jobs are suspended until no task hidden by such a shard can run.
//!
//! An unreadable shard may hide bindings. Its job is placed again only when all of this holds:
//!
//! - Every known machine has reported under this leader's fencing token, or is gone. Such a heartbeat shows all tasks
//!   that run there, and commands of earlier leaders, which have lower fencing tokens, are refused from then on.
//! - None of these heartbeats shows a hidden task alive. Tasks that they show are stopped, like all without a binding.
//! - `suspension_time()` has passed since the load: a replaced leader no longer answers heartbeats, and the last lease
//!   that it renewed has ended, so no task runs on a machine that this leader does not know.
//!
//! Until then the shard is not stored again, so a successor finds it unreadable as well and waits as long. A task that
//! a worker reports as done is done, whichever attempt it was. A hidden task that was done and is not reported any more
//! is started again, and exits as done at once, since its result is kept.
//!
//! Attempt numbers: an attempt is stored before it starts, and each change of the store has a higher revision, so a
//! shard last changed at revision r has seen at most r attempts of a task, or `HIDDEN_ATTEMPT_BASE` + r if it was
//! unreadable before. The attempts of tasks in an unreadable shard continue after `HIDDEN_ATTEMPT_BASE` + r.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::{Duration, Instant};

use tracing::{error, info};

use super::{ClusterState, Machine, MachineId, Phase, TeamUsage};
use crate::jobs::record::{ATTEMPT_NUMBER_LIMIT, shard_key};
use crate::jobs::{JobId, Shape};
use crate::protocol::workers::{AttemptReport, AttemptStatus, ExitCause, TaskKey};

/// Attempts of tasks hidden by an unreadable shard are numbered after the sum of this and the shard's revision.
pub(super) const HIDDEN_ATTEMPT_BASE: u64 = 1 << 32;
/// Maximum time between two proofs of leadership, however short the leader's lease.
const LEADERSHIP_PROOF_INTERVAL: Duration = Duration::from_secs(2);
/// A leader whose leadership is unproven answers heartbeats for its lease and this long (`membership::serving_state`).
const RESPONSE_TIME_AFTER_LEASE: Duration = Duration::from_secs(3);
/// Margin for the drift of a machine's clock and the delay of a heartbeat.
const CLOCK_MARGIN: Duration = Duration::from_secs(5);
/// How long a suspended job is kept from placement unless it is resumed; far beyond any suspension.
const SUSPENDED_JOB_HOLD: Duration = Duration::from_secs(365 * 24 * 3600);

/// A job with shards that could not be read.
#[derive(Debug)]
pub(super) struct SuspendedJob {
    /// The tasks of each unreadable shard, by its first task.
    unreadable_shards: BTreeMap<u64, Range<u64>>,
    team: String,
    /// Cores and accelerators that the hidden tasks may take; the team's usage includes them.
    hidden_usage: TeamUsage,
}

impl SuspendedJob {
    fn hides_attempt(&self, id: &JobId, attempt_report: &AttemptReport) -> bool {
        attempt_report.task.job == *id && self.hides_task(u64::from(attempt_report.task.index))
    }

    fn hides_task(&self, task: u64) -> bool {
        self.unreadable_shards.values().any(|tasks| tasks.contains(&task))
    }
}

/// Suspended jobs, by id.
pub(super) type SuspendedJobs = BTreeMap<JobId, SuspendedJob>;

/// The highest attempt number that is possible for a task whose shard was last changed at this revision.
fn last_hidden_attempt(version: u64) -> u64 {
    HIDDEN_ATTEMPT_BASE.saturating_add(version).min(ATTEMPT_NUMBER_LIMIT)
}

/// Whether a machine may run tasks of an earlier leader that it has not reported to this leader yet.
fn may_run_unknown_tasks(machine: &Machine, first_fencing_token: u64, loaded_at: Instant) -> bool {
    machine.fencing_token < first_fencing_token
        && (machine.reported() || machine.report_expected() || machine.provisioned_at <= loaded_at)
}

impl ClusterState {
    /// Loads an unreadable shard of a job that was just added: the job is suspended, and the shard's tasks count as
    /// bound for the quota of its team.
    pub fn load_unreadable_shard(&mut self, id: &JobId, first_task: u64, version: u64, now: Instant) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(tasks) = job.shards.load(first_task, version, usize::MAX) else {
            self.hide_attempts(id, first_task, usize::MAX, version);
            return;
        };
        let hidden_tasks = (tasks.end - tasks.start) as usize;
        for task in job.tasks.iter_mut().skip(tasks.start as usize).take(hidden_tasks) {
            task.attempt = last_hidden_attempt(version);
            task.stored = false;
        }
        job.placed_tasks += hidden_tasks;
        job.not_before = now + SUSPENDED_JOB_HOLD;
        let spec = job.record.spec.clone();
        let suspended = self.suspended_jobs.entry(id.clone()).or_insert_with(|| SuspendedJob {
            unreadable_shards: BTreeMap::new(),
            team: spec.team.clone(),
            hidden_usage: TeamUsage::default(),
        });
        suspended.unreadable_shards.insert(first_task, tasks);
        let (cpus, gpus) = (spec.cpus * hidden_tasks as f64, spec.gpus * hidden_tasks as f64);
        suspended.hidden_usage.add(cpus, gpus);
        let used = self.team_usage.entry(spec.team).or_default();
        used.add(cpus, gpus);
        let shard = shard_key(id, first_task);
        error!(job = %id, shard, "task shard not decoded; suspending the job until no hidden task can run");
    }

    /// Numbers the attempts of hidden tasks after those of a stored shard whose own tasks do not count, since an
    /// unreadable shard before it holds them.
    pub(super) fn hide_attempts(&mut self, id: &JobId, first_task: u64, count: usize, version: u64) {
        let (Some(job), Some(suspended)) = (self.jobs.get_mut(id), self.suspended_jobs.get(id)) else { return };
        for (number, task) in (first_task..).zip(job.tasks.iter_mut().skip(first_task as usize).take(count)) {
            if suspended.hides_task(number) {
                task.attempt = task.attempt.max(last_hidden_attempt(version));
            }
        }
    }

    /// Stops the readable tasks of suspended gangs: their attempts have lost the hidden tasks.
    pub(super) fn halt_suspended_gangs(&mut self, now: Instant) {
        let gang = |id: &&JobId| self.jobs.get(*id).is_some_and(|job| job.spec().is_gang() && !job.is_complete());
        let gangs: Vec<JobId> = self.suspended_jobs.keys().filter(gang).cloned().collect();
        for id in gangs {
            self.halt_job(&id, 0, now);
        }
    }

    /// How long after the load tasks of an earlier leader may run on a machine that this leader does not know.
    pub(super) fn suspension_time(&self) -> Duration {
        let answers = self.properties.election_lease.max(LEADERSHIP_PROOF_INTERVAL) + RESPONSE_TIME_AFTER_LEASE;
        answers + self.settings.params.workers.lease() + CLOCK_MARGIN
    }

    /// Resumes suspended jobs none of whose hidden tasks can run any more.
    pub(super) fn resume_suspended_jobs(&mut self, now: Instant) {
        if self.suspended_jobs.is_empty() || now.saturating_duration_since(self.loaded_at) < self.suspension_time() {
            return;
        }
        if self.machines.values().any(|m| may_run_unknown_tasks(m, self.first_fencing_token, self.loaded_at)) {
            return;
        }
        let may_run = |id: &JobId, suspended: &SuspendedJob| {
            let live = |attempt_report: &AttemptReport| {
                attempt_report.status != AttemptStatus::Exited && suspended.hides_attempt(id, attempt_report)
            };
            self.machines.values().any(|m| m.attempts.iter().any(live))
        };
        let resumable: Vec<JobId> = self
            .suspended_jobs
            .iter()
            .filter(|(id, suspended)| !may_run(id, suspended))
            .map(|(id, _)| id.clone())
            .collect();
        for id in resumable {
            self.resume_job(&id, now);
        }
    }

    fn resume_job(&mut self, id: &JobId, now: Instant) {
        let Some(suspended) = self.suspended_jobs.remove(id) else { return };
        let done = self.hidden_tasks_reported_done(id, &suspended);
        if let Some(used) = self.team_usage.get_mut(&suspended.team) {
            used.release(suspended.hidden_usage.cpus, suspended.hidden_usage.gpus);
        }
        self.replan_needed = true;
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.ended.is_none()) else { return };
        job.not_before = now;
        info!(job = %id, "job resumed");
        for first_task in suspended.unreadable_shards.into_keys() {
            self.rewrite_unreadable_shard(id, first_task);
        }
        for (key, machine) in done {
            self.complete_task(&key, &machine, now);
        }
    }

    /// Hidden tasks that workers report as done, with their machines. A service is never done.
    fn hidden_tasks_reported_done(&self, id: &JobId, suspended: &SuspendedJob) -> BTreeMap<TaskKey, MachineId> {
        let Some(job) = self.jobs.get(id).filter(|job| job.spec().shape != Shape::Service) else {
            return BTreeMap::new();
        };
        let is_waiting = |attempt_report: &AttemptReport| {
            job.tasks.get(attempt_report.task.index as usize).is_some_and(|t| matches!(t.phase, Phase::Waiting))
        };
        let mut done = BTreeMap::new();
        for machine in self.machines.values() {
            let attempts = machine
                .attempts
                .iter()
                .filter(|attempt_report| suspended.hides_attempt(id, attempt_report) && is_waiting(attempt_report));
            let attempts = attempts.filter(|attempt_report| {
                attempt_report.status == AttemptStatus::Exited && attempt_report.cause == Some(ExitCause::Done)
            });
            done.extend(attempts.map(|attempt_report| (attempt_report.task.clone(), machine.id.clone())));
        }
        done
    }

    /// Whether a job is suspended because some of its shards could not be read.
    pub fn is_suspended(&self, id: &JobId) -> bool {
        self.suspended_jobs.contains_key(id)
    }
}
