//! Writes of task shards and job ends: which are due, and which versions the store holds.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::warn;

use super::model::block_of;
use super::{ClusterState, JobState, Phase, Task};
use crate::jobs::JobId;
use crate::jobs::record::{JobRecord, StoredTask, max_shard_bytes, shard_bytes, shard_key};
use crate::protocol::workers::TaskKey;
use crate::store::TransactionLimits;

/// How long the write of a shard without new starts is delayed, so that one write covers more changes. Only the reaping
/// of exited attempts waits for it, and a new leader learns the same from the workers' reports.
const CHANGE_WRITE_DELAY: Duration = Duration::from_millis(1500);

/// Changes in the store for the end of a job: the ended key is written, the open key deleted.
const CHANGES_PER_END: usize = 2;

/// Tasks that are about to be stored under one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardValue {
    /// Number of the first task.
    pub first_task: u64,
    /// The version of the key that the write replaces; 0 if it was never stored.
    pub version: u64,
    /// Whether the key holds only a part of the tasks of its block.
    pub is_part: bool,
    /// The tasks' states as they are to be stored.
    pub tasks: Vec<StoredTask>,
}

impl ShardValue {
    /// Splits the tasks into halves, again and again, until each value takes at most `max_bytes` or holds one task.
    fn split(self, max_bytes: usize) -> Vec<Self> {
        if self.tasks.len() <= 1 || max_shard_bytes(&self.tasks) <= max_bytes || shard_bytes(&self.tasks) <= max_bytes {
            return vec![self];
        }
        let Self { first_task, version, is_part: _, tasks: mut first_half } = self;
        let second_half = first_half.split_off(first_half.len().div_ceil(2));
        let second_task = first_task + first_half.len() as u64;
        let first = Self { first_task, version, is_part: true, tasks: first_half };
        let second = Self { first_task: second_task, version: 0, is_part: true, tasks: second_half };
        first.split(max_bytes).into_iter().chain(second.split(max_bytes)).collect()
    }
}

/// What the store holds under the key of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FoundShard {
    /// The version of the key; 0 if it does not exist.
    pub version: u64,
    /// The tasks; none if the key does not exist or its value cannot be decoded.
    pub tasks: Option<Vec<StoredTask>>,
}

/// A task shard that is about to be stored. If its value is too large for one key, it is split into several; all are
/// written in one transaction, so that no task is ever stored under none of them.
#[derive(Debug, Clone)]
pub struct ShardWrite {
    /// The job whose tasks these are.
    pub job: JobId,
    /// The shard itself.
    pub shard: ShardValue,
    /// The shards that are split off it, in the order of their tasks.
    pub split_off: Vec<ShardValue>,
}

impl ShardWrite {
    /// All values of the write, in the order of their tasks.
    pub fn values(&self) -> impl Iterator<Item = &ShardValue> {
        std::iter::once(&self.shard).chain(&self.split_off)
    }

    /// The number of changes in the store.
    pub fn change_count(&self) -> usize {
        1 + self.split_off.len()
    }

    /// Leaves out the last values of a write of more than `max_changes` changes, if the store has none of the tasks yet:
    /// the first values alone are then consistent. What is left out is stored next.
    fn truncate(&mut self, max_changes: usize) {
        if self.shard.version == 0 {
            self.split_off.truncate(max_changes.saturating_sub(1));
        }
    }
}

/// Where in the queue writes wait that are queued again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueuePosition {
    /// Ahead of all others.
    First,
    /// Behind all others.
    Last,
}

/// Blocks of tasks with shards whose stored value is out of date. Launches wait for the write of their shard; other changes may be
/// written later.
#[derive(Debug, Default)]
pub(super) struct UnstoredShards {
    start_queue: VecDeque<(JobId, u64)>,
    change_queue: VecDeque<((JobId, u64), Instant)>,
    /// The queued blocks of tasks; true if a start waits for the write.
    queued: HashMap<(JobId, u64), bool>,
}

impl UnstoredShards {
    pub(super) fn len(&self) -> usize {
        self.queued.len()
    }

    fn block_of_task(key: &TaskKey) -> (JobId, u64) {
        (key.job.clone(), block_of(u64::from(key.index)))
    }

    /// Queues the shard of a task that waits for its start to be stored.
    pub(super) fn queue_start(&mut self, key: &TaskKey) {
        self.queue_start_block(Self::block_of_task(key), QueuePosition::Last);
    }

    fn queue_start_block(&mut self, block: (JobId, u64), position: QueuePosition) {
        if self.queued.insert(block.clone(), true) != Some(true) {
            match position {
                QueuePosition::First => self.start_queue.push_front(block),
                QueuePosition::Last => self.start_queue.push_back(block),
            }
        }
    }

    /// Queues the shard of a task that has ended or was released, for a delayed write.
    pub(super) fn queue_change(&mut self, key: &TaskKey, now: Instant) {
        let shard = Self::block_of_task(key);
        if !self.queued.contains_key(&shard) {
            self.queued.insert(shard.clone(), false);
            self.change_queue.push_back((shard, now));
        }
    }

    /// Removes and returns the next shard that is due to be stored.
    fn pop_due(&mut self, now: Instant) -> Option<(JobId, u64)> {
        while let Some(shard) = self.start_queue.pop_front() {
            if self.queued.remove(&shard).is_some() {
                return Some(shard);
            }
        }
        while let Some((shard, since)) = self.change_queue.front() {
            // A shard that was queued for a start meanwhile was stored with it.
            if self.queued.get(shard) != Some(&false) {
                self.change_queue.pop_front();
                continue;
            }
            if now.saturating_duration_since(*since) < CHANGE_WRITE_DELAY {
                return None;
            }
            let shard = shard.clone();
            self.change_queue.pop_front();
            self.queued.remove(&shard);
            return Some(shard);
        }
        None
    }
}

/// The write of the shard that begins with this task, split if it would be too large for one key.
fn shard_write(id: &JobId, job: &JobState, first_task: u64, limits: &TransactionLimits) -> Option<ShardWrite> {
    let range = job.shards.tasks(first_task)?;
    let tasks = job.shard(first_task).iter().map(Task::as_stored).collect();
    let version = job.shards.key_version(first_task);
    let whole = ShardValue { first_task, version, is_part: job.shards.is_part(&range), tasks };
    let mut values = whole.split(limits.max_value_bytes).into_iter();
    let shard = values.next()?;
    let split_off = values.map(|value| ShardValue { version: job.shards.key_version(value.first_task), ..value });
    let mut write = ShardWrite { job: id.clone(), shard, split_off: split_off.collect() };
    write.truncate(limits.max_changes);
    Some(write)
}

impl ClusterState {
    /// Whether any write is due.
    pub fn has_due_writes(&self, now: Instant) -> bool {
        let due = |since: &Instant| now.saturating_duration_since(*since) >= CHANGE_WRITE_DELAY;
        !self.unstored_shards.start_queue.is_empty()
            || !self.completed_jobs.is_empty()
            || self.unstored_shards.change_queue.front().is_some_and(|(_, since)| due(since))
    }

    /// The next job ends and task shards to store: ends first, then shards with starts, then other shards. They stay
    /// within the limits of one transaction, but always allow for one end or one shard.
    pub fn next_writes(&mut self, limits: &TransactionLimits, now: Instant) -> (Vec<Arc<JobRecord>>, Vec<ShardWrite>) {
        let mut ends = Vec::new();
        while (ends.len() + 1) * CHANGES_PER_END <= limits.max_changes.max(CHANGES_PER_END) {
            let Some(id) = self.completed_jobs.pop_front() else { break };
            if let Some(job) = self.jobs.get(&id).filter(|j| j.ended.is_none()) {
                ends.push(job.record.clone());
            }
        }
        let mut shards = Vec::new();
        let mut changes = ends.len() * CHANGES_PER_END;
        while changes < limits.max_changes {
            let Some(block) = self.unstored_shards.pop_due(now) else { break };
            let mut writes = self.block_writes(&block, limits).into_iter().peekable();
            let fits =
                |write: &ShardWrite, changes| changes == 0 || changes + write.change_count() <= limits.max_changes;
            while let Some(write) = writes.next_if(|write| fits(write, changes)) {
                changes += write.change_count();
                shards.push(write);
            }
            if writes.peek().is_some() {
                self.unstored_shards.queue_start_block(block, QueuePosition::First);
                break;
            }
        }
        (ends, shards)
    }

    /// The writes of the shards of a block of tasks. Empty if there is nothing to store: the job has ended, is about to
    /// be stored as done, or the store already has the tasks.
    fn block_writes(&self, (id, block): &(JobId, u64), limits: &TransactionLimits) -> Vec<ShardWrite> {
        let Some(job) = self.jobs.get(id).filter(|job| job.ended.is_none() && !job.is_complete()) else {
            return Vec::new();
        };
        let shards = job.shards.in_block(*block);
        let unstored = shards.filter(|first_task| job.shard(*first_task).iter().any(|task| !task.stored));
        unstored.filter_map(|first_task| shard_write(id, job, first_task, limits)).collect()
    }

    /// Records that these writes are stored under `version`. Tasks that have changed since remain to be stored.
    pub fn record_stored_shards(&mut self, writes: &[ShardWrite], version: u64) {
        for write in writes {
            for value in write.values() {
                self.record_stored_tasks(&write.job, value, version);
            }
            self.command_launchable_gang(&write.job);
            self.queue_unstored_rest((write.job.clone(), block_of(write.shard.first_task)));
        }
    }

    /// Queues a block that still has tasks to store: those that a write left out. Whatever changed a task since has
    /// queued its block; for these this is a safeguard.
    fn queue_unstored_rest(&mut self, block: (JobId, u64)) {
        let Some(job) = self.jobs.get(&block.0) else { return };
        let is_unstored = |first_task: u64| job.shard(first_task).iter().any(|task| !task.stored);
        if !self.unstored_shards.queued.contains_key(&block) && job.shards.in_block(block.1).any(is_unstored) {
            self.unstored_shards.queue_start_block(block, QueuePosition::Last);
        }
    }

    /// Records that the tasks of one key are stored under `version`.
    fn record_stored_tasks(&mut self, id: &JobId, value: &ShardValue, version: u64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let end = value.first_task + value.tasks.len() as u64;
        job.shards.split_at(value.first_task);
        job.shards.split_at(end);
        job.shards.set_version(value.first_task, version);
        for (task, stored) in job.tasks.iter_mut().skip(value.first_task as usize).zip(&value.tasks) {
            task.stored = task.as_stored() == *stored;
            if let (true, Phase::Bound(binding)) = (task.stored, &task.phase)
                && binding.announced_epoch.is_none()
                && let Some(machine) = self.machines.get_mut(&binding.machine)
            {
                machine.command_due = true;
            }
        }
    }

    /// A gang in several shards is launched once the last of them is stored.
    fn command_launchable_gang(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if !job.spec().is_gang() || job.shards.len() <= 1 || !job.is_launchable() {
            return;
        }
        for index in &job.bound {
            if let Some(machine) = job.binding(*index).and_then(|b| self.machines.get_mut(&b.machine)) {
                machine.command_due = true;
            }
        }
    }

    /// Queues ends and shards again after their transaction was rejected or its outcome is unknown.
    pub fn requeue_writes(&mut self, ends: &[JobId], writes: &[ShardWrite], position: QueuePosition) {
        for id in ends.iter().rev() {
            if !self.completed_jobs.contains(id) {
                match position {
                    QueuePosition::First => self.completed_jobs.push_front(id.clone()),
                    QueuePosition::Last => self.completed_jobs.push_back(id.clone()),
                }
            }
        }
        for write in writes.iter().rev() {
            let block = (write.job.clone(), block_of(write.shard.first_task));
            self.unstored_shards.queue_start_block(block, position);
        }
    }

    /// Takes over what the store holds under the keys of a write that was rejected (`found`, in the order of its values).
    /// If it holds just what was to be written, an earlier copy of the transaction was applied; otherwise the tasks are
    /// to be written again.
    pub fn resolve_rejected_shard(&mut self, write: &ShardWrite, found: &[FoundShard]) {
        let version = found.first().map_or(0, |shard| shard.version);
        let is_stored = write.values().zip(found).all(|(value, shard)| {
            shard.version == version && shard.tasks.as_ref().is_some_and(|tasks| *tasks == value.tasks)
        });
        if is_stored {
            self.record_stored_shards(std::slice::from_ref(write), version);
            return;
        }
        let Some(job) = self.jobs.get_mut(&write.job) else { return };
        for (value, shard) in write.values().zip(found) {
            if shard.version != value.version {
                let key = shard_key(&write.job, value.first_task);
                warn!(key, "stored task shard conflicts with the cluster state; overwriting it");
            }
            job.shards.set_version(value.first_task, shard.version);
        }
    }

    /// Queues a shard whose version `lost` the store has lost, and which it now has at version `found`, to be stored
    /// again in full; does nothing if the shard has changed since.
    pub fn rewrite_lost_shard(&mut self, id: &JobId, first_task: u64, lost: u64, found: u64) {
        let Some(job) = self.jobs.get_mut(id).filter(|j| j.ended.is_none()) else { return };
        if !job.stored_shards().any(|stored| stored == (first_task, lost)) {
            return;
        }
        let count = job.shard(first_task).len();
        for task in job.tasks.iter_mut().skip(first_task as usize).take(count) {
            task.stored = false;
        }
        job.shards.set_version(first_task, found);
        self.unstored_shards.queue_start_block((id.clone(), block_of(first_task)), QueuePosition::Last);
    }

    /// Queues the replacement of a shard that could not be read, at the version under which it was read.
    pub(super) fn rewrite_unreadable_shard(&mut self, id: &JobId, first_task: u64) {
        self.unstored_shards.queue_start_block((id.clone(), block_of(first_task)), QueuePosition::Last);
    }

    /// Takes up to `limit` shards of ended jobs that are to be deleted from the store.
    pub fn take_shard_drops(&mut self, limit: usize) -> Vec<(JobId, u64)> {
        let n = self.shards_to_drop.len().min(limit);
        self.shards_to_drop.drain(..n).collect()
    }

    /// How many shards of ended jobs wait to be deleted from the store.
    pub fn pending_shard_drops(&self) -> usize {
        self.shards_to_drop.len()
    }

    /// Queues shards of ended jobs to be deleted, or again after their deletion failed.
    pub fn requeue_shard_drops(&mut self, shards_to_drop: Vec<(JobId, u64)>) {
        self.shards_to_drop.extend(shards_to_drop);
    }
}
