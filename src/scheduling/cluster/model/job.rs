//! Jobs and tasks as the leader schedules them, and the bindings of tasks to machines.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::MachineId;
use crate::jobs::JobSpec;
use crate::jobs::record::{JobRecord, StoredTask, TASKS_PER_SHARD};
use crate::protocol::workers::AttemptStatus;
use crate::scheduling::promises::{Promise, next_start_s};
use crate::sla::Agreement;

/// Where a task is placed, and what is known of it there.
#[derive(Debug, Clone)]
pub struct Binding {
    /// The machine that the task is bound to.
    pub machine: MachineId,
    /// The agent epoch in which this leader first told the worker, if it did.
    pub(in crate::scheduling::cluster) announced_epoch: Option<u64>,
    /// Stored by an earlier leader, which may have told the worker under an older fencing token.
    pub(in crate::scheduling::cluster) inherited: bool,
    /// What the worker last reported of the task; none before the first heartbeat that shows it.
    pub status: Option<AttemptStatus>,
    /// When it was first seen running.
    pub running_since: Option<Instant>,
    /// Being stopped, with this much time to save.
    pub halt_grace_s: Option<u64>,
    /// When the binding was made or read from the store.
    pub since: Instant,
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
            since: now,
        }
    }

    /// The worker reports the attempt in this state.
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

    /// Whether a report that does not show the attempt proves that it is not there. `settled`: no launch can arrive
    /// any more. A task that this leader wants to start and that was never seen may still come.
    pub(in crate::scheduling::cluster) fn is_absent(&self, agent_epoch: u64, settled: bool, job_ended: bool) -> bool {
        let epoch_over = self.announced_epoch.is_some_and(|announced_in| announced_in < agent_epoch);
        let unneeded = job_ended || self.halt_grace_s.is_some() || self.inherited || self.status.is_some();
        epoch_over || (settled && unneeded)
    }

    /// For how long it has been running, as far as was reported.
    pub fn run_time(&self, now: Instant) -> Duration {
        self.running_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}

/// Where a task stands.
#[derive(Debug, Clone)]
pub enum Phase {
    /// Not placed.
    Waiting,
    /// Boxed, so that the many that wait take little.
    Bound(Box<Binding>),
    /// Completed; it never runs again.
    Done,
}

/// One task of an open job.
#[derive(Debug, Clone)]
pub struct Task {
    /// The number of its last start; 0 if it never had one.
    pub attempt: u64,
    /// Where it stands.
    pub phase: Phase,
    /// Whether the store says the same.
    pub stored: bool,
}

impl Task {
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
    /// The job as it is stored.
    pub record: Arc<JobRecord>,
    /// Run time, deadline, budget and penalty rate by which its tasks are admitted and ordered.
    pub agreement: Agreement,
    /// When its user first asked, by this process's steady clock.
    pub since: Instant,
    /// All tasks, by number.
    pub tasks: Vec<Task>,
    /// Numbers of the tasks that wait for a place.
    pub waiting: BTreeSet<u32>,
    /// Numbers of the tasks that are bound to a machine.
    pub bound: BTreeSet<u32>,
    /// How many tasks are done.
    pub done: u64,
    pub(in crate::scheduling::cluster) shard_versions: Vec<u64>,
    /// When this process heard that the job ended, done or cancelled.
    pub ended: Option<Instant>,
    /// Its end was not stored yet at this revision.
    pub(in crate::scheduling::cluster) ended_after: u64,
    /// It ended as done: whatever is left of it needs no proof in time.
    pub(in crate::scheduling::cluster) ended_done: bool,
    /// Not to be placed before, after failures.
    pub not_before: Instant,
    /// The image's name, digested: what machines hold is compared by this.
    pub image_digest: u64,
    /// When a task of it last ended.
    pub last_task_end: Option<Instant>,
    /// All that its user was promised.
    pub promises: Box<[Promise]>,
    /// Tasks that had a place at least once.
    pub(in crate::scheduling::cluster) placed_tasks: usize,
    /// Starts of the task that had most of them.
    pub(in crate::scheduling::cluster) max_attempt: u64,
    /// This leader knows that it runs, or has.
    pub(in crate::scheduling::cluster) has_run: bool,
}

impl JobState {
    /// What was submitted.
    pub fn spec(&self) -> &JobSpec {
        &self.record.spec
    }

    /// Shards with their versions in the store, of those that the store is not behind on: nothing of
    /// them is on its way there.
    pub fn stored_shards(&self) -> impl Iterator<Item = (u64, u64)> {
        let settled = |shard: u64| self.shard(shard).iter().all(|t| t.stored);
        (0u64..)
            .zip(self.shard_versions.iter().copied())
            .filter(move |(shard, version)| *version > 0 && settled(*shard))
    }

    pub(in crate::scheduling::cluster) fn shard(&self, shard: u64) -> &[Task] {
        let from = (shard * TASKS_PER_SHARD) as usize;
        let to = (from + TASKS_PER_SHARD as usize).min(self.tasks.len());
        self.tasks.get(from..to).unwrap_or_default()
    }

    /// Nothing that was promised of it can be kept by starting it now or later.
    pub fn is_too_late(&self, age: Duration) -> bool {
        next_start_s(&self.promises, self.agreement.run_time, age).is_none()
    }

    /// The part of its tasks that never had a place.
    pub fn never_placed_fraction(&self) -> f64 {
        1.0 - self.placed_tasks as f64 / self.tasks.len().max(1) as f64
    }

    /// This leader knows that it runs, or has.
    pub fn has_run(&self) -> bool {
        self.has_run
    }

    /// A gang runs once all its tasks do; of anything else one is enough. A task that is done has run.
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

    /// What must be free together for anything of it to start, in cores.
    pub fn min_start_cores(&self) -> f64 {
        let spec = self.spec();
        if spec.is_gang() { spec.cpus * spec.tasks as f64 } else { spec.cpus }
    }

    /// A waiting task of it has lost so many starts. Looked for only where any task was started so
    /// often: jobs may have a hundred thousand.
    pub fn has_waiting_task_with_attempts(&self, least: u64) -> bool {
        self.max_attempt >= least
            && self.waiting.iter().any(|i| self.tasks.get(*i as usize).is_some_and(|t| t.attempt >= least))
    }

    /// Whether nothing of it is left to run: all tasks are done, or one of a gang.
    pub fn is_complete(&self) -> bool {
        self.done == self.tasks.len() as u64 || (self.spec().is_gang() && self.done > 0)
    }

    /// Where a task is bound, if it is.
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

    /// All tasks of a gang's attempt are stored: only then is any of them told to start.
    pub(in crate::scheduling::cluster) fn is_launchable(&self) -> bool {
        !self.spec().is_gang()
            || (self.waiting.is_empty()
                && self
                    .tasks
                    .iter()
                    .all(|t| t.stored && matches!(&t.phase, Phase::Bound(b) if b.halt_grace_s.is_none())))
    }
}
