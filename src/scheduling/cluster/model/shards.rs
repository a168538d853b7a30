//! The shards in which the tasks of one job are stored.

use std::ops::Range;

use crate::jobs::record::TASKS_PER_SHARD;

/// One stored shard: consecutive tasks under a key of their own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Shard {
    /// Number of the first task. The shard ends where the next one begins.
    first_task: u64,
    /// The stored version; 0 if it was never stored.
    version: u64,
}

/// All shards of a job, by their first tasks. At first each holds a whole block of [`TASKS_PER_SHARD`] tasks; a block
/// whose value is too large for the state service is split into several.
#[derive(Debug, Clone)]
pub(in crate::scheduling::cluster) struct JobShards {
    shards: Vec<Shard>,
    /// Stored keys that do not count, since an earlier shard holds their tasks: a build that does not split shards has
    /// stored the whole block again.
    superseded: Vec<Shard>,
    task_count: u64,
}

/// The number of the block that holds a task.
pub(in crate::scheduling::cluster) fn block_of(task: u64) -> u64 {
    task / TASKS_PER_SHARD
}

impl JobShards {
    /// The shards of a job none of whose tasks was ever stored.
    pub fn new(task_count: u64) -> Self {
        let blocks = task_count.div_ceil(TASKS_PER_SHARD);
        let shards = (0..blocks).map(|block| Shard { first_task: block * TASKS_PER_SHARD, version: 0 }).collect();
        Self { shards, superseded: Vec::new(), task_count }
    }

    /// How many shards there are.
    pub fn len(&self) -> usize {
        self.shards.len()
    }

    fn position(&self, first_task: u64) -> Option<usize> {
        self.shards.binary_search_by_key(&first_task, |shard| shard.first_task).ok()
    }

    fn end(&self, position: usize) -> u64 {
        self.shards.get(position + 1).map_or(self.task_count, |next| next.first_task)
    }

    /// The version of the shard that begins with this task; none if no shard does.
    pub fn version(&self, first_task: u64) -> Option<u64> {
        self.position(first_task).map(|position| self.shards[position].version)
    }

    /// The tasks of the shard that begins with this task; none if no shard does.
    pub fn tasks(&self, first_task: u64) -> Option<Range<u64>> {
        self.position(first_task).map(|position| first_task..self.end(position))
    }

    /// The first task of the shard that holds this task; none if the job has no such task.
    pub fn shard_of(&self, task: u64) -> Option<u64> {
        let after = self.shards.partition_point(|shard| shard.first_task <= task);
        let shard = self.shards.get(after.checked_sub(1)?)?;
        (task < self.task_count).then_some(shard.first_task)
    }

    /// The first tasks of the shards into which a block is divided.
    pub fn in_block(&self, block: u64) -> impl Iterator<Item = u64> {
        let from = self.shards.partition_point(|shard| block_of(shard.first_task) < block);
        let shards = self.shards[from..].iter().map(|shard| shard.first_task);
        shards.take_while(move |first_task| block_of(*first_task) == block)
    }

    /// The first tasks of all keys that are stored, whether or not they count.
    pub fn stored_keys(&self) -> impl Iterator<Item = u64> {
        let superseded = self.superseded.iter().map(|shard| shard.first_task);
        self.stored().map(|(first_task, _)| first_task).chain(superseded)
    }

    /// The shards that are stored, as (first task, version).
    pub fn stored(&self) -> impl Iterator<Item = (u64, u64)> {
        let stored = self.shards.iter().filter(|shard| shard.version > 0);
        stored.map(|shard| (shard.first_task, shard.version))
    }

    /// Whether a shard of these tasks holds only a part of its block.
    pub fn is_part(&self, tasks: &Range<u64>) -> bool {
        let block_start = block_of(tasks.start) * TASKS_PER_SHARD;
        let block_end = (block_start + TASKS_PER_SHARD).min(self.task_count);
        *tasks != (block_start..block_end)
    }

    /// Sets the stored version of the key of the shard that begins with this task, whether or not the shard exists yet.
    pub fn set_version(&mut self, first_task: u64, version: u64) {
        if let Some(position) = self.position(first_task) {
            self.shards[position].version = version;
            return;
        }
        self.superseded.retain(|shard| shard.first_task != first_task);
        self.superseded.push(Shard { first_task, version });
    }

    /// The stored version of the key of a shard that is to begin with this task.
    pub fn key_version(&self, first_task: u64) -> u64 {
        let superseded = self.superseded.iter().find(|shard| shard.first_task == first_task);
        self.version(first_task).or(superseded.map(|shard| shard.version)).unwrap_or(0)
    }

    /// Lets a shard of its own begin with this task, if none does yet and the job has the task.
    pub fn split_at(&mut self, task: u64) {
        if task < self.task_count
            && let Err(position) = self.shards.binary_search_by_key(&task, |shard| shard.first_task)
        {
            let version = self.key_version(task);
            self.superseded.retain(|shard| shard.first_task != task);
            self.shards.insert(position, Shard { first_task: task, version });
        }
    }

    /// Records a shard that was read from the store, with so many tasks. Shards are read in the order of their tasks.
    /// Returns its tasks, or none if they do not count: the job lacks them, or a shard before this one holds them.
    pub fn load(&mut self, first_task: u64, version: u64, count: usize) -> Option<Range<u64>> {
        let holder = self.shard_of(first_task)?;
        if holder != first_task {
            if self.version(holder) != Some(0) {
                self.set_version(first_task, version);
                return None;
            }
            self.split_at(first_task);
        }
        self.set_version(first_task, version);
        let end = self.tasks(first_task)?.end;
        self.split_at(first_task.saturating_add(count as u64).min(end));
        self.tasks(first_task)
    }
}

#[cfg(test)]
mod tests;
