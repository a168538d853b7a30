//! Storing: which chunks the store is behind on, and what it is known to hold.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{ChunkWrite, ClusterState, Phase, Task};
use crate::jobs::JobId;
use crate::jobs::record::{CHUNK, JobRecord};
use crate::wire::workers::TaskKey;

/// A chunk in which tasks have only ended or been released is stored this much later: more of
/// them then go in one change. Nothing waits for it but the reaping of what has exited, and a
/// new leader hears the same from the workers.
const NEWS_KEPT: Duration = Duration::from_millis(1500);

/// Changes that an end takes: its final key, and the open one gone.
const END_CHANGES: usize = 2;

/// Chunks the store is behind on. Starts wait for theirs to be stored; news can bear to be late.
#[derive(Debug, Default)]
pub(super) struct Dirty {
    starts: VecDeque<(JobId, u64)>,
    news: VecDeque<((JobId, u64), Instant)>,
    /// Whether each listed chunk holds a start.
    listed: HashMap<(JobId, u64), bool>,
}

impl Dirty {
    pub(super) fn len(&self) -> usize {
        self.listed.len()
    }

    fn chunk(key: &TaskKey) -> (JobId, u64) {
        (key.job.clone(), u64::from(key.index) / CHUNK)
    }

    pub(super) fn start(&mut self, key: &TaskKey) {
        self.put_start(Self::chunk(key), false);
    }

    fn put_start(&mut self, chunk: (JobId, u64), first: bool) {
        if self.listed.insert(chunk.clone(), true) != Some(true) {
            if first {
                self.starts.push_front(chunk);
            } else {
                self.starts.push_back(chunk);
            }
        }
    }

    pub(super) fn news(&mut self, key: &TaskKey, now: Instant) {
        let chunk = Self::chunk(key);
        if !self.listed.contains_key(&chunk) {
            self.listed.insert(chunk.clone(), false);
            self.news.push_back((chunk, now));
        }
    }

    /// The next chunk that is due.
    fn next(&mut self, now: Instant) -> Option<(JobId, u64)> {
        while let Some(chunk) = self.starts.pop_front() {
            if self.listed.remove(&chunk).is_some() {
                return Some(chunk);
            }
        }
        while let Some((chunk, since)) = self.news.front() {
            // One that was listed as a start meanwhile has gone with it.
            if self.listed.get(chunk) != Some(&false) {
                self.news.pop_front();
                continue;
            }
            if now.saturating_duration_since(*since) < NEWS_KEPT {
                return None;
            }
            let chunk = chunk.clone();
            self.news.pop_front();
            self.listed.remove(&chunk);
            return Some(chunk);
        }
        None
    }
}

impl ClusterState {
    /// Whether something is to be stored now.
    pub fn anything_to_store(&self, now: Instant) -> bool {
        let late = |since: &Instant| now.saturating_duration_since(*since) >= NEWS_KEPT;
        !self.dirty.starts.is_empty()
            || !self.completed.is_empty()
            || self.dirty.news.front().is_some_and(|(_, since)| late(since))
    }

    /// The next changes to store: ends first, then starts, then what else has changed, at most
    /// `most` together, or one end.
    pub fn next_writes(&mut self, most: usize, now: Instant) -> (Vec<Arc<JobRecord>>, Vec<ChunkWrite>) {
        let mut ends = Vec::new();
        while (ends.len() + 1) * END_CHANGES <= most.max(END_CHANGES) {
            let Some(id) = self.completed.pop_front() else { break };
            if let Some(job) = self.jobs.get(&id).filter(|j| j.ended.is_none()) {
                ends.push(job.record.clone());
            }
        }
        let mut chunks = Vec::new();
        while ends.len() * END_CHANGES + chunks.len() < most {
            let Some((id, chunk)) = self.dirty.next(now) else { break };
            if let Some(write) = self.chunk_write(&id, chunk) {
                chunks.push(write);
            }
        }
        (ends, chunks)
    }

    /// None when there is nothing to say: the job is over, or about to be stored as done.
    fn chunk_write(&self, id: &JobId, chunk: u64) -> Option<ChunkWrite> {
        let job = self.jobs.get(id)?;
        if job.ended.is_some() || job.complete() {
            return None;
        }
        let tasks = job.chunk(chunk);
        if tasks.iter().all(|t| t.stored) {
            return None;
        }
        Some(ChunkWrite {
            job: id.clone(),
            chunk,
            version: job.versions.get(chunk as usize).copied()?,
            tasks: tasks.iter().map(Task::as_stored).collect(),
        })
    }

    /// These stand in the store under this version. What has changed since stays to be stored.
    pub fn chunks_stored(&mut self, writes: &[ChunkWrite], version: u64) {
        for write in writes {
            let Some(job) = self.jobs.get_mut(&write.job) else { continue };
            if let Some(slot) = job.versions.get_mut(write.chunk as usize) {
                *slot = version;
            }
            let from = (write.chunk * CHUNK) as usize;
            let mut changed = false;
            for (task, stored) in job.tasks.iter_mut().skip(from).zip(&write.tasks) {
                task.stored = task.as_stored() == *stored;
                changed |= !task.stored;
                if let (true, Phase::Bound(binding)) = (task.stored, &task.phase)
                    && binding.told.is_none()
                    && let Some(machine) = self.machines.get_mut(&binding.machine)
                {
                    machine.tell = true;
                }
            }
            // A gang in several chunks is told to start by the last of them.
            if job.spec().is_gang() && job.versions.len() > 1 && job.launchable() {
                for index in &job.bound {
                    if let Some(machine) = job.binding(*index).and_then(|b| self.machines.get_mut(&b.machine)) {
                        machine.tell = true;
                    }
                }
            }
            // What changed since has been listed by whatever changed it; this is for safety's sake.
            let entry = (write.job.clone(), write.chunk);
            if changed && !self.dirty.listed.contains_key(&entry) {
                self.dirty.put_start(entry, false);
            }
        }
    }

    /// What was refused or is unknown is taken up again.
    pub fn to_store_again(&mut self, ends: &[JobId], writes: &[ChunkWrite]) {
        for id in ends.iter().rev() {
            if !self.completed.contains(id) {
                self.completed.push_front(id.clone());
            }
        }
        for write in writes.iter().rev() {
            self.dirty.put_start((write.job.clone(), write.chunk), true);
        }
    }

    /// Notes the version that a chunk has in the store.
    pub fn set_version(&mut self, id: &JobId, chunk: u64, version: u64) {
        if let Some(slot) = self.jobs.get_mut(id).and_then(|j| j.versions.get_mut(chunk as usize)) {
            *slot = version;
        }
    }

    /// The store has lost this version of a chunk, and has the one that was found: all that is known
    /// of it is to be stored again, unless it has moved on since.
    pub fn store_chunk_again(&mut self, id: &JobId, chunk: u64, lost: u64, found: u64) {
        let Some(job) = self.jobs.get_mut(id).filter(|j| j.ended.is_none()) else { return };
        if !job.settled_chunks().any(|settled| settled == (chunk, lost)) {
            return;
        }
        let from = (chunk * CHUNK) as usize;
        for task in job.tasks.iter_mut().skip(from).take(CHUNK as usize) {
            task.stored = false;
        }
        self.set_version(id, chunk, found);
        self.dirty.put_start((id.clone(), chunk), false);
    }

    /// A chunk that could not be read is replaced, at the version that it was read under.
    pub(super) fn store_unreadable_chunk_anew(&mut self, id: &JobId, chunk: u64) {
        self.dirty.put_start((id.clone(), chunk), false);
    }

    /// Takes up to `most` chunks of ended jobs that are to be dropped from the store.
    pub fn next_drops(&mut self, most: usize) -> Vec<(JobId, u64)> {
        let n = self.drops.len().min(most);
        self.drops.drain(..n).collect()
    }

    /// How many chunks wait to be dropped.
    pub fn drops_waiting(&self) -> usize {
        self.drops.len()
    }

    /// Puts back chunks whose drop failed.
    pub fn drop_again(&mut self, drops: Vec<(JobId, u64)>) {
        self.drops.extend(drops);
    }
}
