//! Checks that the state service still holds what it has acknowledged.
//!
//! The service's protocol guarantees that. If the guarantee is violated, each controller writes again what it still
//! knows: acceptances and ends that were reported to users, and, if it leads, every open job and the bindings of its
//! tasks. Nothing is ever overwritten: a job is restored only while it has no key at all, an end only while the job has
//! none, and a shard only by the leader, on condition of the version found.
//!
//! Each controller compares at most one batch per second, at the lowest priority. A write is restored only if it was
//! missing in two comparisons and is still expected after a proof that the watch cache is up to date, because the watch
//! cache learns of keys that were dropped legitimately.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tracing::{debug, error};

use crate::store::budget::RequestPriority;
use crate::store::{CompareAndSwapOutcome, Condition, StoreError};

use crate::history::job_history::JobHistory;
use crate::history::job_transactions::{
    JobTransaction, accept_job, never_accepted_conditions, not_ended_conditions, restored_end_changes,
};
use crate::jobs::record::{JobRecord, ended_key, open_key, shard_key, time_of_day_ms};
use crate::jobs::{End, JobId};
use crate::scheduling::leader_state::LeaderState;
use crate::store::handle::StateStore;
use crate::sync::lock;
use crate::wakeups::Wakeups;

/// Maximum number of acceptances and ends that are remembered, the latest ones; about 1 KiB each.
const MAX_REMEMBERED_WRITES: usize = 512;
/// Minimum pause between two comparisons.
const MIN_AUDIT_PAUSE: Duration = Duration::from_secs(1);
/// The pause is also at least the time in which this controller's share admits this many requests.
const MIN_AUDIT_PAUSE_REQUESTS: f64 = 8.0;

/// A write that the store has acknowledged.
#[derive(Debug, Clone, PartialEq)]
pub enum AcknowledgedWrite {
    /// A job that this controller has accepted: open, or ended since.
    Accepted(Arc<JobRecord>),
    /// A job that is open according to the leader's cluster state.
    Open(JobId),
    /// A job that this controller's own transaction has ended, and how it ended.
    Ended(Arc<JobRecord>, End),
    /// A shard of a job's tasks: the job, the shard's first task and its version.
    Shard(JobId, u64, u64),
}

impl AcknowledgedWrite {
    /// Returns the conditions to compare. For a shard its condition must hold; for any other write at least one must
    /// fail, because each says that a key is absent.
    fn conditions(&self) -> Vec<Condition> {
        match self {
            Self::Accepted(record) => never_accepted_conditions(&record.spec.id, false).collect(),
            Self::Open(id) => never_accepted_conditions(id, false).collect(),
            Self::Ended(record, end) => vec![Condition::absent(ended_key(&record.spec.id, *end))],
            Self::Shard(id, shard, version) => vec![Condition::at(shard_key(id, *shard), *version)],
        }
    }

    /// Returns whether the write is still stored, given the keys whose conditions failed.
    fn is_stored(&self, failed: &HashSet<&str>) -> bool {
        let any_failed = self.conditions().iter().any(|c| failed.contains(c.path.as_str()));
        if matches!(self, Self::Shard(..)) { !any_failed } else { any_failed }
    }

    /// Returns the key that the write wrote.
    fn key(&self) -> String {
        match self {
            Self::Accepted(record) => open_key(&record.spec.id),
            Self::Open(id) => open_key(id),
            Self::Ended(record, end) => ended_key(&record.spec.id, *end),
            Self::Shard(id, shard, _) => shard_key(id, *shard),
        }
    }
}

/// The writes to compare with the store, in rounds. It makes no calls itself.
#[derive(Debug, Default)]
pub struct Audit {
    /// The latest writes that were acknowledged to this controller.
    remembered: VecDeque<AcknowledgedWrite>,
    /// Writes that are still to be compared in the current round.
    round: VecDeque<AcknowledgedWrite>,
    /// Writes that were missing once, by key.
    suspects: HashMap<String, AcknowledgedWrite>,
}

impl Audit {
    /// Remembers a write that was just acknowledged.
    pub fn remember(&mut self, write: AcknowledgedWrite) {
        if self.remembered.len() >= MAX_REMEMBERED_WRITES {
            self.remembered.pop_front();
        }
        self.remembered.push_back(write);
    }

    /// Returns the next writes to compare, with at most `max_conditions` conditions: suspects first. `leader_writes` is
    /// called once per round and returns the writes that the leader knows of.
    fn next_batch(
        &mut self,
        max_conditions: usize,
        leader_writes: impl FnOnce() -> Vec<AcknowledgedWrite>,
    ) -> Vec<AcknowledgedWrite> {
        if self.round.is_empty() {
            self.round.extend(self.remembered.iter().cloned());
            self.round.extend(leader_writes());
        }
        let mut free_conditions = max_conditions;
        let mut fits = |write: &AcknowledgedWrite| {
            let remaining = free_conditions.checked_sub(write.conditions().len());
            free_conditions = remaining.unwrap_or(0);
            remaining.is_some()
        };
        let mut batch: Vec<AcknowledgedWrite> =
            self.suspects.values().take_while(|write| fits(write)).cloned().collect();
        while self.round.front().is_some_and(&mut fits) {
            batch.extend(self.round.pop_front());
        }
        batch
    }

    /// Takes back a batch that could not be compared: it is compared next. Suspects were not taken out.
    fn return_batch(&mut self, batch: Vec<AcknowledgedWrite>) {
        for write in batch.into_iter().rev() {
            if !self.suspects.contains_key(&write.key()) {
                self.round.push_front(write);
            }
        }
    }

    /// Returns the writes of a batch that are missing now and were missing in the comparison before. Writes that are
    /// missing for the first time become suspects.
    fn find_lost(&mut self, batch: Vec<AcknowledgedWrite>, failed: &[String]) -> Vec<AcknowledgedWrite> {
        let failed: HashSet<&str> = failed.iter().map(String::as_str).collect();
        let mut lost = Vec::new();
        for write in batch {
            let suspect = self.suspects.remove(&write.key());
            if write.is_stored(&failed) {
                continue;
            }
            if suspect.as_ref() == Some(&write) {
                lost.push(write);
            } else {
                self.suspects.insert(write.key(), write);
            }
        }
        lost
    }

    /// Forgets a write that is no longer expected: the state of its job has changed since.
    fn forget(&mut self, write: &AcknowledgedWrite) {
        self.remembered.retain(|remembered| remembered != write);
    }

    /// Returns the number of entries in all collections together, for display.
    pub fn remembered(&self) -> usize {
        self.remembered.len() + self.round.len() + self.suspects.len()
    }
}

/// Compares the writes that the state service has acknowledged with what it has stored.
pub struct Auditor {
    store: Arc<StateStore>,
    history: Arc<JobHistory>,
    leader: Arc<LeaderState>,
    wakeups: Arc<Wakeups>,
    audit: Mutex<Audit>,
}

impl Auditor {
    /// Creates an auditor that knows of no acknowledged writes.
    pub fn new(
        store: Arc<StateStore>,
        history: Arc<JobHistory>,
        leader: Arc<LeaderState>,
        wakeups: Arc<Wakeups>,
    ) -> Self {
        Self { store, history, leader, wakeups, audit: Mutex::default() }
    }

    /// Remembers a write that the state service has just acknowledged.
    pub fn remember(&self, write: AcknowledgedWrite) {
        lock(&self.audit).remember(write);
    }

    /// Returns the number of entries in all collections of the audit together, for display.
    pub fn remembered(&self) -> usize {
        lock(&self.audit).remembered()
    }
}

/// Returns all writes that the leader knows to be stored; none if this controller does not lead or has not loaded the
/// cluster state.
fn writes_of_leader(auditor: &Auditor) -> Vec<AcknowledgedWrite> {
    let cluster = auditor.leader.cluster();
    let Some(cluster) = cluster.as_ref().filter(|cluster| cluster.loaded) else { return Vec::new() };
    let open = cluster.jobs().filter(|(_, job)| job.ended.is_none());
    open.flat_map(|(id, job)| {
        let shards = job.stored_shards().map(|(shard, version)| AcknowledgedWrite::Shard(id.clone(), shard, version));
        std::iter::once(AcknowledgedWrite::Open(id.clone())).chain(shards)
    })
    .collect()
}

/// Returns whether a write is still expected in the store, given the watch events and responses received since.
fn is_still_expected(auditor: &Auditor, write: &AcknowledgedWrite) -> bool {
    match write {
        AcknowledgedWrite::Accepted(record) => auditor.history.known_end(&record.spec.id).is_none(),
        AcknowledgedWrite::Open(id) => {
            auditor.store.watch_cache().open_job(id).is_some() && auditor.history.known_end(id).is_none()
        }
        AcknowledgedWrite::Ended(..) => true,
        AcknowledgedWrite::Shard(id, shard, version) => {
            let cluster = auditor.leader.cluster();
            let job = cluster.as_ref().and_then(|cluster| cluster.job(id)).filter(|job| job.ended.is_none());
            job.is_some_and(|job| job.stored_shards().any(|stored| stored == (*shard, *version)))
        }
    }
}

/// Compares acknowledged writes with the store and restores those that are lost, forever.
pub async fn run(auditor: Arc<Auditor>) {
    loop {
        tokio::time::sleep(MIN_AUDIT_PAUSE.max(auditor.store.client.refill_time(MIN_AUDIT_PAUSE_REQUESTS))).await;
        let max_conditions = auditor.store.client.limits().max_conditions();
        let batch = lock(&auditor.audit).next_batch(max_conditions, || writes_of_leader(&auditor));
        if batch.is_empty() || !auditor.store.watch_cache().is_ready() {
            continue;
        }
        let conditions: Vec<Condition> = batch.iter().flat_map(AcknowledgedWrite::conditions).collect();
        let failed = match auditor.store.client.compare_and_swap(&conditions, &[], RequestPriority::Background).await {
            Ok(CompareAndSwapOutcome::Failed(keys)) => keys,
            Ok(_) => Vec::new(),
            Err(error) => {
                debug!(%error, "audit read failed");
                lock(&auditor.audit).return_batch(batch);
                continue;
            }
        };
        let lost = lock(&auditor.audit).find_lost(batch, &failed);
        if lost.is_empty() || !auditor.store.read_barrier.wait_for_proof().await {
            continue;
        }
        for write in lost {
            if is_still_expected(&auditor, &write) {
                error!(key = write.key(), "acknowledged write lost; writing it again");
                if let Err(error) = restore(&auditor, &write).await {
                    debug!(%error, key = write.key(), "lost write not restored");
                }
            } else {
                lock(&auditor.audit).forget(&write);
            }
        }
    }
}

/// Builds the transaction that writes an end again, on condition that the job has no end at all. The record is cut to
/// `max_bytes`.
pub(crate) fn restore_end(record: &JobRecord, end: End, now_ms: u64, max_bytes: usize) -> JobTransaction {
    JobTransaction {
        conditions: not_ended_conditions(&record.spec.id).collect(),
        changes: restored_end_changes(record, end, now_ms, max_bytes).into(),
    }
}

/// Writes a lost write again, unless the job has other keys by now.
async fn restore(auditor: &Auditor, write: &AcknowledgedWrite) -> Result<(), StoreError> {
    match write {
        AcknowledgedWrite::Accepted(record) => restore_acceptance(auditor, record).await,
        AcknowledgedWrite::Open(id) => {
            let record = auditor.store.watch_cache().open_job(id).cloned();
            match record {
                Some(record) => restore_acceptance(auditor, &record).await,
                None => Ok(()),
            }
        }
        AcknowledgedWrite::Ended(record, end) => {
            let max_bytes = auditor.store.client.limits().max_value_bytes;
            let transaction = restore_end(record, *end, time_of_day_ms(), max_bytes);
            if let CompareAndSwapOutcome::Failed(keys) = auditor
                .store
                .client
                .compare_and_swap(&transaction.conditions, &transaction.changes, RequestPriority::Critical)
                .await?
            {
                // Another end is stored: the end that was reported before cannot be restored any more.
                error!(?keys, job = %record.spec.id, "lost job end superseded; keeping the other end");
                lock(&auditor.audit).forget(write);
            }
            Ok(())
        }
        AcknowledgedWrite::Shard(id, shard, version) => {
            let item = auditor.store.client.get(&shard_key(id, *shard), RequestPriority::Critical).await?;
            let found_version = item.map_or(0, |item| item.version);
            if let Some(cluster) = auditor.leader.cluster().as_mut() {
                cluster.rewrite_lost_shard(id, *shard, *version, found_version);
            }
            auditor.wakeups.commit.notify_one();
            Ok(())
        }
    }
}

/// Writes the open key of an accepted job again, unless the job has any key by now.
async fn restore_acceptance(auditor: &Auditor, record: &JobRecord) -> Result<(), StoreError> {
    let transaction = accept_job(record, auditor.store.watch_cache().may_hold_old_jobs());
    auditor
        .store
        .client
        .compare_and_swap(&transaction.conditions, &transaction.changes, RequestPriority::Critical)
        .await
        .map(|_| ())
}

#[cfg(test)]
mod tests;
