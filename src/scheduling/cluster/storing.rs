//! Storing: which shards the store is behind on, and what it is known to hold.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{ClusterState, Phase, Task};
use crate::jobs::JobId;
use crate::jobs::record::{JobRecord, StoredTask, TASKS_PER_SHARD};
use crate::protocol::workers::TaskKey;

/// A shard in which tasks have only ended or been released is stored this much later: more of
/// them then go in one change. Nothing waits for it but the reaping of what has exited, and a
/// new leader hears the same from the workers.
const CHANGE_WRITE_DELAY: Duration = Duration::from_millis(1500);

/// Changes that an end takes: its final key, and the open one gone.
const CHANGES_PER_END: usize = 2;

/// One shard as it is about to be stored.
#[derive(Debug, Clone)]
pub struct ShardWrite {
    /// The job whose tasks these are.
    pub job: JobId,
    /// Which shard of the job's tasks.
    pub shard: u64,
    /// The version of the shard that the write replaces; 0 for a first one.
    pub version: u64,
    /// The tasks' states as they are to be stored.
    pub tasks: Vec<StoredTask>,
}

/// Shards the store is behind on. Starts wait for theirs to be stored; news can bear to be late.
#[derive(Debug, Default)]
pub(super) struct UnstoredShards {
    start_queue: VecDeque<(JobId, u64)>,
    change_queue: VecDeque<((JobId, u64), Instant)>,
    /// Whether each listed shard holds a start.
    queued: HashMap<(JobId, u64), bool>,
}

impl UnstoredShards {
    pub(super) fn len(&self) -> usize {
        self.queued.len()
    }

    fn shard_of(key: &TaskKey) -> (JobId, u64) {
        (key.job.clone(), u64::from(key.index) / TASKS_PER_SHARD)
    }

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

    pub(super) fn queue_change(&mut self, key: &TaskKey, now: Instant) {
        let shard = Self::shard_of(key);
        if !self.queued.contains_key(&shard) {
            self.queued.insert(shard.clone(), false);
            self.change_queue.push_back((shard, now));
        }
    }

    /// The next shard that is due.
    fn pop_due(&mut self, now: Instant) -> Option<(JobId, u64)> {
        while let Some(shard) = self.start_queue.pop_front() {
            if self.queued.remove(&shard).is_some() {
                return Some(shard);
            }
        }
        while let Some((shard, since)) = self.change_queue.front() {
            // One that was listed as a start meanwhile has gone with it.
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
    /// Whether something is to be stored now.
    pub fn has_due_writes(&self, now: Instant) -> bool {
        let late = |since: &Instant| now.saturating_duration_since(*since) >= CHANGE_WRITE_DELAY;
        !self.unstored_shards.start_queue.is_empty()
            || !self.completed_jobs.is_empty()
            || self.unstored_shards.change_queue.front().is_some_and(|(_, since)| late(since))
    }

    /// The next changes to store: ends first, then starts, then what else has changed, at most
    /// `most` together, or one end.
    pub fn next_writes(&mut self, most: usize, now: Instant) -> (Vec<Arc<JobRecord>>, Vec<ShardWrite>) {
        let mut ends = Vec::new();
        while (ends.len() + 1) * CHANGES_PER_END <= most.max(CHANGES_PER_END) {
            let Some(id) = self.completed_jobs.pop_front() else { break };
            if let Some(job) = self.jobs.get(&id).filter(|j| j.ended.is_none()) {
                ends.push(job.record.clone());
            }
        }
        let mut shards = Vec::new();
        while ends.len() * CHANGES_PER_END + shards.len() < most {
            let Some((id, shard)) = self.unstored_shards.pop_due(now) else { break };
            if let Some(write) = self.shard_write(&id, shard) {
                shards.push(write);
            }
        }
        (ends, shards)
    }

    /// None when there is nothing to say: the job is over, or about to be stored as done.
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

    /// These stand in the store under this version. What has changed since stays to be stored.
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
            // A gang in several shards is told to start by the last of them.
            if job.spec().is_gang() && job.shard_versions.len() > 1 && job.is_launchable() {
                for index in &job.bound {
                    if let Some(machine) = job.binding(*index).and_then(|b| self.machines.get_mut(&b.machine)) {
                        machine.command_due = true;
                    }
                }
            }
            // What changed since has been listed by whatever changed it; this is for safety's sake.
            let entry = (write.job.clone(), write.shard);
            if changed && !self.unstored_shards.queued.contains_key(&entry) {
                self.unstored_shards.queue_start_shard(entry, false);
            }
        }
    }

    /// What was refused or is unknown is taken up again.
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

    /// Notes the version that a shard has in the store.
    pub fn set_shard_version(&mut self, id: &JobId, shard: u64, version: u64) {
        if let Some(slot) = self.jobs.get_mut(id).and_then(|j| j.shard_versions.get_mut(shard as usize)) {
            *slot = version;
        }
    }

    /// The store has lost this version of a shard, and has the one that was found: all that is known
    /// of it is to be stored again, unless it has moved on since.
    pub fn rewrite_lost_shard(&mut self, id: &JobId, shard: u64, lost: u64, found: u64) {
        let Some(job) = self.jobs.get_mut(id).filter(|j| j.ended.is_none()) else { return };
        if !job.stored_shards().any(|settled| settled == (shard, lost)) {
            return;
        }
        let from = (shard * TASKS_PER_SHARD) as usize;
        for task in job.tasks.iter_mut().skip(from).take(TASKS_PER_SHARD as usize) {
            task.stored = false;
        }
        self.set_shard_version(id, shard, found);
        self.unstored_shards.queue_start_shard((id.clone(), shard), false);
    }

    /// A shard that could not be read is replaced, at the version that it was read under.
    pub(super) fn rewrite_unreadable_shard(&mut self, id: &JobId, shard: u64) {
        self.unstored_shards.queue_start_shard((id.clone(), shard), false);
    }

    /// Takes up to `most` shards of ended jobs that are to be dropped from the store.
    pub fn take_shard_drops(&mut self, most: usize) -> Vec<(JobId, u64)> {
        let n = self.shards_to_drop.len().min(most);
        self.shards_to_drop.drain(..n).collect()
    }

    /// How many shards wait to be dropped.
    pub fn pending_shard_drops(&self) -> usize {
        self.shards_to_drop.len()
    }

    /// Puts back shards whose drop failed.
    pub fn requeue_shard_drops(&mut self, shards_to_drop: Vec<(JobId, u64)>) {
        self.shards_to_drop.extend(shards_to_drop);
    }
}
