//! Jobs and tasks as the leader schedules them, and the bindings of tasks to machines.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{JobShards, MachineId};
use crate::jobs::JobSpec;
use crate::jobs::record::{JobRecord, StoredTask};
use crate::protocol::workers::AttemptStatus;
use crate::scheduling::cluster::watermark::StartRisk;
use crate::scheduling::promises::{Promise, min_start_slack_s};
use crate::sla::Agreement;

/// The binding of a task to a machine, and what the machine's worker has reported of the task.
#[derive(Debug, Clone)]
pub struct Binding {
    /// The machine that the task is bound to.
    pub machine: MachineId,
    /// The agent epoch in which this leader first sent the worker a launch, or the worker first reported the task.
    pub(in crate::scheduling::cluster) announced_epoch: Option<u64>,
    /// Whether an earlier leader stored the binding; it may have sent the launch under an older fencing token.
    pub(in crate::scheduling::cluster) inherited: bool,
    /// The last reported status of the task; None before the first heartbeat that shows it.
    pub status: Option<AttemptStatus>,
    /// When the task was first seen running.
    pub running_since: Option<Instant>,
    /// The grace period in seconds for saving a checkpoint, if the task is being stopped.
    pub halt_grace_s: Option<u64>,
    /// When the binding was made or read from the store.
    pub bound_at: Instant,
}

impl Binding {
    pub(in crate::scheduling::cluster) fn new(machine: MachineId, inherited: bool, now: Instant) -> Self {
        Self {
            machine,
            announced_epoch: None,
            inherited,
            status: None,
            running_since: None,
            halt_grace_s: None,
            bound_at: now,
        }
    }

    /// Records the status of the attempt that the worker reports.
    pub(in crate::scheduling::cluster) fn record_status(
        &mut self,
        status: AttemptStatus,
        agent_epoch: u64,
        now: Instant,
    ) {
        self.status = Some(status);
        self.announced_epoch.get_or_insert(agent_epoch);
        if status == AttemptStatus::Running {
            self.running_since.get_or_insert(now);
        }
    }

    /// Whether a report that does not show the attempt proves that it is not on the machine. `settled`: no launch can
    /// arrive any more. A task that this leader wants to start and that was never reported may still start.
    pub(in crate::scheduling::cluster) fn is_absent(&self, agent_epoch: u64, settled: bool, job_ended: bool) -> bool {
        let epoch_over = self.announced_epoch.is_some_and(|announced_epoch| announced_epoch < agent_epoch);
        let unneeded = job_ended || self.halt_grace_s.is_some() || self.inherited || self.status.is_some();
        epoch_over || (settled && unneeded)
    }

    /// Whether the worker has reported the attempt in this agent epoch.
    pub(in crate::scheduling::cluster) fn was_reported_in(&self, agent_epoch: u64) -> bool {
        self.status.is_some() && self.announced_epoch == Some(agent_epoch)
    }

    /// How long the task has been running, as far as was reported.
    pub fn run_time(&self, now: Instant) -> Duration {
        self.running_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}

/// The phase of a task.
#[derive(Debug, Clone)]
pub enum Phase {
    /// The task has no machine.
    Waiting,
    /// The task is bound to a machine. Boxed, so that the many waiting tasks take little memory.
    Bound(Box<Binding>),
    /// The task has completed and never runs again.
    Done,
}

/// One task of an open job.
#[derive(Debug, Clone)]
pub struct Task {
    /// The number of the last attempt; 0 if there was none.
    pub attempt: u64,
    /// The task's phase.
    pub phase: Phase,
    /// Whether the store holds this state of the task.
    pub stored: bool,
}

impl Task {
    /// The form in which the task is stored.
    pub(in crate::scheduling::cluster) fn as_stored(&self) -> StoredTask {
        match &self.phase {
            Phase::Done => StoredTask::Done,
            Phase::Waiting if self.attempt == 0 => StoredTask::Untouched,
            Phase::Waiting => StoredTask::Waiting(self.attempt),
            Phase::Bound(b) => StoredTask::Bound(self.attempt, b.machine.to_string()),
        }
    }
}

/// A job as the leader schedules it: its record, its tasks and what is derived from them.
pub struct JobState {
    /// The stored record of the job.
    pub record: Arc<JobRecord>,
    /// Run time, deadline, budget and penalty rate, by which the job's tasks are admitted and ordered.
    pub agreement: Agreement,
    /// When its user first submitted the job, by this process's monotonic clock.
    pub submitted_at: Instant,
    /// All tasks, by number.
    pub tasks: Vec<Task>,
    /// Numbers of the tasks that wait for placement.
    pub waiting: BTreeSet<u32>,
    /// Numbers of the tasks that are bound to a machine.
    pub bound: BTreeSet<u32>,
    /// How many tasks are done.
    pub done: u64,
    /// The shards in which the tasks are stored.
    pub(in crate::scheduling::cluster) shards: JobShards,
    /// When this process learned that the job ended, done or cancelled.
    pub ended: Option<Instant>,
    /// A revision of the store at which the job's end was not stored yet.
    pub(in crate::scheduling::cluster) ended_after: u64,
    /// Whether a machine may still start a task although the job was cancelled.
    pub(in crate::scheduling::cluster) start_risk: StartRisk,
    /// Whether the job ended as done: its remaining tasks need not be proven gone in time.
    pub(in crate::scheduling::cluster) ended_done: bool,
    /// The earliest time of the next placement, after failures.
    pub not_before: Instant,
    /// The digest of the image's name, by which images are compared.
    pub image_digest: u64,
    /// When a task of the job last ended.
    pub last_task_end: Option<Instant>,
    /// All promises to the job's user, from the objectives and its own deadline.
    pub promises: Box<[Promise]>,
    /// How many tasks were placed at least once.
    pub(in crate::scheduling::cluster) placed_tasks: usize,
    /// The highest attempt number of any task.
    pub(in crate::scheduling::cluster) max_attempt: u64,
    /// Whether this leader has seen the job run.
    pub(in crate::scheduling::cluster) has_run: bool,
}

impl JobState {
    /// The specification that was submitted.
    pub fn spec(&self) -> &JobSpec {
        &self.record.spec
    }

    /// Shards whose stored value is up to date, so that no write of them is pending, as (first task, version).
    pub fn stored_shards(&self) -> impl Iterator<Item = (u64, u64)> {
        self.shards.stored().filter(|(first_task, _)| self.shard(*first_task).iter().all(|t| t.stored))
    }

    /// The tasks of the shard that begins with this task.
    pub(in crate::scheduling::cluster) fn shard(&self, first_task: u64) -> &[Task] {
        let tasks = self.shards.tasks(first_task).unwrap_or_default();
        self.tasks.get(tasks.start as usize..tasks.end as usize).unwrap_or_default()
    }

    /// Whether no promise to the job's user can be kept any more by starting the job now or later.
    pub fn is_too_late(&self, age: Duration) -> bool {
        min_start_slack_s(&self.promises, self.agreement.run_time, age).is_none()
    }

    /// The fraction of the tasks that were never placed.
    pub fn never_placed_fraction(&self) -> f64 {
        1.0 - self.placed_tasks as f64 / self.tasks.len().max(1) as f64
    }

    /// Whether this leader has seen the job run.
    pub fn has_run(&self) -> bool {
        self.has_run
    }

    /// Whether the job runs: a gang once all its tasks do, any other job once one task does. A job with a task that is
    /// done counts as running.
    pub(in crate::scheduling::cluster) fn is_running(&self) -> bool {
        let runs = |index: &u32| {
            self.binding(*index)
                .is_some_and(|b| matches!(b.status, Some(AttemptStatus::Running | AttemptStatus::Saving)))
        };
        if self.done > 0 {
            return true;
        }
        if self.spec().is_gang() {
            return self.bound.len() == self.tasks.len() && self.bound.iter().all(runs);
        }
        self.bound.iter().any(runs)
    }

    /// The cores that must be free at once for the job to start: those of all tasks of a gang, otherwise of one task.
    pub fn min_start_cores(&self) -> f64 {
        let spec = self.spec();
        if spec.is_gang() { spec.cpus * spec.tasks as f64 } else { spec.cpus }
    }

    /// Whether a waiting task has had at least `min_attempts` attempts. The tasks, up to a hundred thousand in a job,
    /// are searched only if any of them was started that often.
    pub fn has_waiting_task_with_attempts(&self, min_attempts: u64) -> bool {
        self.max_attempt >= min_attempts
            && self.waiting.iter().any(|i| self.tasks.get(*i as usize).is_some_and(|t| t.attempt >= min_attempts))
    }

    /// Whether no task is left to run: all are done, or one of a gang is.
    pub fn is_complete(&self) -> bool {
        self.done == self.tasks.len() as u64 || (self.spec().is_gang() && self.done > 0)
    }

    /// The binding of a task, if it is bound.
    pub fn binding(&self, index: u32) -> Option<&Binding> {
        match &self.tasks.get(index as usize)?.phase {
            Phase::Bound(binding) => Some(binding),
            _ => None,
        }
    }

    pub(in crate::scheduling::cluster) fn binding_mut(&mut self, index: u32) -> Option<&mut Binding> {
        match &mut self.tasks.get_mut(index as usize)?.phase {
            Phase::Bound(binding) => Some(binding),
            _ => None,
        }
    }

    /// Whether tasks of the job may be launched: those of a gang only once all its tasks are bound and stored, and none
    /// is being stopped.
    pub(in crate::scheduling::cluster) fn is_launchable(&self) -> bool {
        !self.spec().is_gang()
            || (self.waiting.is_empty()
                && self
                    .tasks
                    .iter()
                    .all(|t| t.stored && matches!(&t.phase, Phase::Bound(b) if b.halt_grace_s.is_none())))
    }
}
