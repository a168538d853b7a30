//! One worker and the attempts of tasks on it.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use hollylanding_protocol::jobs::JobSpec;
use hollylanding_protocol::workers::{ExitCause, TaskKey};

use super::heartbeats::CopyWindow;
use super::images::CachedImage;
use super::{Machine, Upload};

/// Tolerance when amounts of cores, accelerators and memory are compared.
const RESOURCE_TOLERANCE: f64 = 1e-6;

/// The state of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum TaskState {
    /// Waiting for its image.
    Fetching,
    /// A member of a gang that has waited for the others since this time.
    WaitingForGang(Duration),
    /// Running.
    Running,
    /// Stopping, with the progress saved at this time.
    Saving(Duration),
    /// Ended for this cause; the flag says whether the progress was saved.
    Ended(ExitCause, bool),
}

/// An attempt of a task on a worker.
#[derive(Debug)]
pub(super) struct Task {
    pub(super) key: TaskKey,
    pub(super) attempt: u64,
    pub(super) job: Arc<Upload>,
    pub(super) state: TaskState,
    /// Run time completed so far, including the progress saved by earlier attempts.
    pub(super) progress: Duration,
}

impl Task {
    /// Whether the attempt has not ended.
    pub(super) fn is_live(&self) -> bool {
        !matches!(self.state, TaskState::Ended(..))
    }

    /// Whether this is the attempt of this task and number.
    pub(super) fn is_attempt(&self, key: &TaskKey, attempt: u64) -> bool {
        self.key == *key && self.attempt == attempt
    }

    /// Whether the task is a member of a gang.
    pub(super) fn in_gang(&self) -> bool {
        self.job.spec.is_gang()
    }

    /// The key of the task's checkpoints. All members of a gang share one.
    pub(super) fn checkpoint_key(&self) -> TaskKey {
        let index = if self.in_gang() { 0 } else { self.key.index };
        TaskKey { job: self.key.job.clone(), index }
    }

    /// The progress in the task's last periodic checkpoint.
    pub(super) fn periodic_checkpoint(&self) -> Duration {
        let interval_s = self.job.spec.checkpoint_s;
        if interval_s <= 0.0 {
            return Duration::ZERO;
        }
        let checkpoints = (self.progress.as_secs_f64() / interval_s).floor();
        Duration::from_secs_f64(checkpoints * interval_s)
    }
}

/// The worker of a machine.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) machine: Machine,
    pub(super) agent_epoch: u64,
    pub(super) seq: u64,
    pub(super) fencing_token: u64,
    /// When the last answered heartbeat was sent, or the agent epoch began.
    pub(super) lease_renewed_at: Duration,
    /// When the spot machine will be interrupted, according to the interruption notice.
    pub(super) interruption_at: Option<Duration>,
    pub(super) tasks: Vec<Task>,
    /// Attempts whose launch was refused because there is no such job or task, until they are reaped.
    pub(super) unknown: BTreeSet<(TaskKey, u64)>,
    /// Images that are cached or being fetched, in order of last use, the most recent last.
    pub(super) images: VecDeque<CachedImage>,
    /// Until this time the worker does nothing.
    pub(super) hangs_until: Duration,
    /// Until this time neither responses nor commands reach the worker, though its own heartbeats arrive.
    pub(super) unreachable_until: Duration,
    /// Which of the worker's heartbeats are copied.
    pub(super) copy_window: CopyWindow,
    /// Whether every task that the worker runs fails.
    pub(super) sick: bool,
    /// Rate of the worker's monotonic clock; 1 is exact.
    pub(super) clock_rate: f64,
}

impl Worker {
    /// Creates the worker of a machine that has just booted, in its first agent epoch.
    pub(super) fn new(machine: Machine, now: Duration) -> Self {
        Self {
            machine,
            agent_epoch: 1,
            seq: 0,
            fencing_token: 0,
            lease_renewed_at: now,
            interruption_at: None,
            tasks: Vec::new(),
            unknown: BTreeSet::new(),
            images: VecDeque::new(),
            hangs_until: Duration::ZERO,
            unreachable_until: Duration::ZERO,
            copy_window: CopyWindow::default(),
            sick: false,
            clock_rate: 1.0,
        }
    }

    /// Whether the worker does not hang.
    pub(super) fn awake(&self, now: Duration) -> bool {
        self.hangs_until <= now
    }

    /// Whether messages to the worker arrive and are handled.
    pub(super) fn receives(&self, now: Duration) -> bool {
        self.awake(now) && self.unreachable_until <= now
    }

    /// Whether the attempt is on the worker, ended or not.
    pub(super) fn has_attempt(&self, key: &TaskKey, attempt: u64) -> bool {
        self.tasks.iter().any(|task| task.is_attempt(key, attempt))
    }

    /// The index of the attempt among the tasks; none if it has ended or is not on the worker.
    pub(super) fn live_index(&self, key: &TaskKey, attempt: u64) -> Option<usize> {
        self.tasks.iter().position(|task| task.is_attempt(key, attempt) && task.is_live())
    }

    /// Whether one more task of this job fits beside the attempts that have not ended.
    pub(super) fn has_room(&self, spec: &JobSpec) -> bool {
        let total_with = |amount: fn(&JobSpec) -> f64| -> f64 {
            let live = self.tasks.iter().filter(|task| task.is_live());
            live.map(|task| amount(&task.job.spec)).sum::<f64>() + amount(spec)
        };
        let machine_type = &self.machine.machine_type;
        let full = total_with(|s| s.cpus) > machine_type.cpus + RESOURCE_TOLERANCE
            || total_with(|s| s.gpus) > machine_type.gpus + RESOURCE_TOLERANCE
            || total_with(|s| s.memory_gb) > machine_type.memory_gb + RESOURCE_TOLERANCE;
        !full
    }
}
