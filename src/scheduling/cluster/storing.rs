//! Writes of task shards and job ends: which are due, and which versions the store holds.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{ClusterState, Phase, Task};
use crate::jobs::JobId;
use crate::jobs::record::{JobRecord, StoredTask, TASKS_PER_SHARD};
use crate::protocol::workers::TaskKey;

/// How long the write of a shard without new starts is delayed, so that one write covers more changes. Only the reaping
/// of exited attempts waits for it, and a new leader learns the same from the workers' reports.
const CHANGE_WRITE_DELAY: Duration = Duration::from_millis(1500);

/// Changes in the store for the end of a job: the ended key is written, the open key deleted.
const CHANGES_PER_END: usize = 2;

/// A task shard that is about to be stored.
#[derive(Debug, Clone)]
pub struct ShardWrite {
    /// The job whose tasks these are.
    pub job: JobId,
    /// The shard's number within its job.
    pub shard: u64,
    /// The version of the shard that the write replaces; 0 if it was never stored.
    pub version: u64,
    /// The tasks' states as they are to be stored.
    pub tasks: Vec<StoredTask>,
}

/// Task shards whose stored value is out of date. Launches wait for the write of their shard; other changes may be
/// written later.
#[derive(Debug, Default)]
pub(super) struct UnstoredShards {
    start_queue: VecDeque<(JobId, u64)>,
    change_queue: VecDeque<((JobId, u64), Instant)>,
    /// The queued shards; true if a start waits for the write.
    queued: HashMap<(JobId, u64), bool>,
}

impl UnstoredShards {
    pub(super) fn len(&self) -> usize {
        self.queued.len()
    }

    fn shard_of(key: &TaskKey) -> (JobId, u64) {
        (key.job.clone(), u64::from(key.index) / TASKS_PER_SHARD)
    }

    /// Queues the shard of a task that waits for its start to be stored.
    pub(super) fn queue_start(&mut self, key: &TaskKey) {
        self.queue_start_shard(Self::shard_of(key), false);
    }

    fn queue_start_shard(&mut self, shard: (JobId, u64), first: bool) {
        if self.queued.insert(shard.clone(), true) != Some(true) {
            if first {
                self.start_queue.push_front(shard);
            } else {
                self.start_queue.push_back(shard);
            }
        }
    }

    /// Queues the shard of a task that has ended or was released, for a delayed write.
    pub(super) fn queue_change(&mut self, key: &TaskKey, now: Instant) {
        let shard = Self::shard_of(key);
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

impl ClusterState {
    /// Whether any write is due.
    pub fn has_due_writes(&self, now: Instant) -> bool {
        let due = |since: &Instant| now.saturating_duration_since(*since) >= CHANGE_WRITE_DELAY;
        !self.unstored_shards.start_queue.is_empty()
            || !self.completed_jobs.is_empty()
            || self.unstored_shards.change_queue.front().is_some_and(|(_, since)| due(since))
    }

    /// The next job ends and task shards to store: ends first, then shards with starts, then other shards. They make at
    /// most `max_changes` changes, but always allow for one end.
    pub fn next_writes(&mut self, max_changes: usize, now: Instant) -> (Vec<Arc<JobRecord>>, Vec<ShardWrite>) {
        let mut ends = Vec::new();
        while (ends.len() + 1) * CHANGES_PER_END <= max_changes.max(CHANGES_PER_END) {
            let Some(id) = self.completed_jobs.pop_front() else { break };
            if let Some(job) = self.jobs.get(&id).filter(|j| j.ended.is_none()) {
                ends.push(job.record.clone());
            }
        }
        let mut shards = Vec::new();
        while ends.len() * CHANGES_PER_END + shards.len() < max_changes {
            let Some((id, shard)) = self.unstored_shards.pop_due(now) else { break };
            if let Some(write) = self.shard_write(&id, shard) {
                shards.push(write);
            }
        }
        (ends, shards)
    }

    /// The write of a shard. None if there is nothing to store: the job has ended, is about to be stored as done, or
    /// the store already has the shard's tasks.
    fn shard_write(&self, id: &JobId, shard: u64) -> Option<ShardWrite> {
        let job = self.jobs.get(id)?;
        if job.ended.is_some() || job.is_complete() {
            return None;
        }
        let tasks = job.shard(shard);
        if tasks.iter().all(|t| t.stored) {
            return None;
        }
        Some(ShardWrite {
            job: id.clone(),
            shard,
            version: job.shard_versions.get(shard as usize).copied()?,
            tasks: tasks.iter().map(Task::as_stored).collect(),
        })
    }

    /// Records that these writes are stored under `version`. Tasks that have changed since remain to be stored.
    pub fn record_stored_shards(&mut self, writes: &[ShardWrite], version: u64) {
        for write in writes {
            let Some(job) = self.jobs.get_mut(&write.job) else { continue };
            if let Some(slot) = job.shard_versions.get_mut(write.shard as usize) {
                *slot = version;
            }
            let from = (write.shard * TASKS_PER_SHARD) as usize;
            let mut changed = false;
            for (task, stored) in job.tasks.iter_mut().skip(from).zip(&write.tasks) {
                task.stored = task.as_stored() == *stored;
                changed |= !task.stored;
                if let (true, Phase::Bound(binding)) = (task.stored, &task.phase)
                    && binding.announced_epoch.is_none()
                    && let Some(machine) = self.machines.get_mut(&binding.machine)
                {
                    machine.command_due = true;
                }
            }
            // A gang in several shards is launched once the last of them is stored.
            if job.spec().is_gang() && job.shard_versions.len() > 1 && job.is_launchable() {
                for index in &job.bound {
                    if let Some(machine) = job.binding(*index).and_then(|b| self.machines.get_mut(&b.machine)) {
                        machine.command_due = true;
                    }
                }
            }
            // Whatever changed a task since has queued its shard; this is a safeguard.
            let shard = (write.job.clone(), write.shard);
            if changed && !self.unstored_shards.queued.contains_key(&shard) {
                self.unstored_shards.queue_start_shard(shard, false);
            }
        }
    }

    /// Queues ends and shards again, ahead of others, after their transaction was rejected or its outcome is unknown.
    pub fn requeue_writes(&mut self, ends: &[JobId], writes: &[ShardWrite]) {
        for id in ends.iter().rev() {
            if !self.completed_jobs.contains(id) {
                self.completed_jobs.push_front(id.clone());
            }
        }
        for write in writes.iter().rev() {
            self.unstored_shards.queue_start_shard((write.job.clone(), write.shard), true);
        }
    }

    /// Records the version that a shard has in the store.
    pub fn set_shard_version(&mut self, id: &JobId, shard: u64, version: u64) {
        if let Some(slot) = self.jobs.get_mut(id).and_then(|j| j.shard_versions.get_mut(shard as usize)) {
            *slot = version;
        }
    }

    /// Queues a shard whose version `lost` the store has lost, and which it now has at version `found`, to be stored
    /// again in full; does nothing if the shard has changed since.
    pub fn rewrite_lost_shard(&mut self, id: &JobId, shard: u64, lost: u64, found: u64) {
        let Some(job) = self.jobs.get_mut(id).filter(|j| j.ended.is_none()) else { return };
        if !job.stored_shards().any(|stored| stored == (shard, lost)) {
            return;
        }
        let from = (shard * TASKS_PER_SHARD) as usize;
        for task in job.tasks.iter_mut().skip(from).take(TASKS_PER_SHARD as usize) {
            task.stored = false;
        }
        self.set_shard_version(id, shard, found);
        self.unstored_shards.queue_start_shard((id.clone(), shard), false);
    }

    /// Queues the replacement of a shard that could not be read, at the version under which it was read.
    pub(super) fn rewrite_unreadable_shard(&mut self, id: &JobId, shard: u64) {
        self.unstored_shards.queue_start_shard((id.clone(), shard), false);
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
