//! One worker, and the attempts of tasks on it.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use hollylanding_protocol::jobs::JobSpec;
use hollylanding_protocol::workers::{ExitCause, TaskKey};

use super::heartbeats::CopyWindow;
use super::images::CachedImage;
use super::{Machine, Upload};

/// Tolerance when amounts of cores, accelerators and memory are compared.
const SLACK: f64 = 1e-6;

#[derive(Debug, Clone, PartialEq)]
pub(super) enum TaskState {
    Fetching,
    /// Of a gang, waiting for the others since then.
    WaitingForGang(Duration),
    Running,
    /// Told to stop, and saved by then.
    Saving(Duration),
    Ended(ExitCause, bool),
}

#[derive(Debug)]
pub(super) struct Task {
    pub(super) key: TaskKey,
    pub(super) attempt: u64,
    pub(super) job: Arc<Upload>,
    pub(super) state: TaskState,
    /// Run time done so far, what was saved before included.
    pub(super) progress: Duration,
}

impl Task {
    /// Whether it has not ended.
    pub(super) fn live(&self) -> bool {
        !matches!(self.state, TaskState::Ended(..))
    }

    /// Whether it is this attempt of this task.
    pub(super) fn holds(&self, key: &TaskKey, attempt: u64) -> bool {
        self.key == *key && self.attempt == attempt
    }

    /// Whether it is a member of a gang.
    pub(super) fn in_gang(&self) -> bool {
        self.job.spec.is_gang()
    }

    /// The key of its checkpoints: all members of a gang share one.
    pub(super) fn save_key(&self) -> TaskKey {
        let index = if self.in_gang() { 0 } else { self.key.index };
        TaskKey { job: self.key.job.clone(), index }
    }

    /// The progress that its last periodic checkpoint holds.
    pub(super) fn checkpoint(&self) -> Duration {
        let interval_s = self.job.spec.checkpoint_s;
        if interval_s <= 0.0 {
            return Duration::ZERO;
        }
        let checkpoints = (self.progress.as_secs_f64() / interval_s).floor();
        Duration::from_secs_f64(checkpoints * interval_s)
    }
}

#[derive(Debug)]
pub(super) struct Worker {
    pub(super) machine: Machine,
    pub(super) agent_epoch: u64,
    pub(super) seq: u64,
    pub(super) fencing_token: u64,
    /// When the last answered report was sent, or the agent epoch began.
    pub(super) renewed: Duration,
    pub(super) recall: Option<Duration>,
    pub(super) tasks: Vec<Task>,
    /// Starts refused since there is no such job or task, until they are reaped.
    pub(super) unknown: BTreeSet<(TaskKey, u64)>,
    /// Images that are cached or being fetched, the most recently used last.
    pub(super) images: VecDeque<CachedImage>,
    pub(super) hangs_until: Duration,
    /// Hears neither answers nor commands until then, though its own reports arrive.
    pub(super) unreachable_until: Duration,
    /// Which of its heartbeats are copied.
    pub(super) copied: CopyWindow,
    /// Fails every task that it starts.
    pub(super) sick: bool,
    /// How fast its steady clock runs: 1 for a right one.
    pub(super) clock: f64,
}

impl Worker {
    /// The worker of a machine that has just come up, in its first agent epoch.
    pub(super) fn new(machine: Machine, now: Duration) -> Self {
        Self {
            machine,
            agent_epoch: 1,
            seq: 0,
            fencing_token: 0,
            renewed: now,
            recall: None,
            tasks: Vec::new(),
            unknown: BTreeSet::new(),
            images: VecDeque::new(),
            hangs_until: Duration::ZERO,
            unreachable_until: Duration::ZERO,
            copied: CopyWindow::default(),
            sick: false,
            clock: 1.0,
        }
    }

    /// Whether it does anything at all.
    pub(super) fn awake(&self, now: Duration) -> bool {
        self.hangs_until <= now
    }

    /// Whether messages to it arrive and are acted on.
    pub(super) fn receives(&self, now: Duration) -> bool {
        self.awake(now) && self.unreachable_until <= now
    }

    /// The attempt, if it is on the worker, ended or not.
    pub(super) fn has(&self, key: &TaskKey, attempt: u64) -> bool {
        self.tasks.iter().any(|task| task.holds(key, attempt))
    }

    /// The index of the attempt among the tasks, unless it has ended.
    pub(super) fn live_index(&self, key: &TaskKey, attempt: u64) -> Option<usize> {
        self.tasks.iter().position(|task| task.holds(key, attempt) && task.live())
    }

    /// Whether one more task of this job fits beside those that have not ended.
    pub(super) fn has_room(&self, spec: &JobSpec) -> bool {
        let needed = |amount: fn(&JobSpec) -> f64| -> f64 {
            let live = self.tasks.iter().filter(|task| task.live());
            live.map(|task| amount(&task.job.spec)).sum::<f64>() + amount(spec)
        };
        let of = &self.machine.of;
        let full = needed(|s| s.cpus) > of.cpus + SLACK
            || needed(|s| s.gpus) > of.gpus + SLACK
            || needed(|s| s.memory_gb) > of.memory_gb + SLACK;
        !full
    }
}
