//! Checks that the state service still holds what it has acknowledged.
//!
//! The service's protocol promises that. Should it break the promise, whatever this controller still knows is written
//! again: acceptances and ends that were reported to users, and, if it leads, every open job and the bindings of its
//! tasks. Nothing is ever overwritten: a job is put back only while it has no key at all, an end only while there is
//! none, and a shard by its leader on condition of the version found.
//!
//! Each controller compares at most one batch a second, at the lowest priority. A key counts as lost only if it was
//! missing twice, with a proof of freshness in between, because the watch cache learns of keys that were dropped
//! legitimately.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tracing::{debug, error};

use crate::store::budget::RequestPriority;
use crate::store::{CompareAndSwapOutcome, Condition, StoreError};

use crate::history::job_history::JobHistory;
use crate::history::job_transactions::{
    JobTransaction, accept_job, end_changes, never_accepted_conditions, not_ended_conditions,
};
use crate::jobs::record::{JobRecord, ended_key, open_key, shard_key, time_of_day_ms};
use crate::jobs::{End, JobId};
use crate::scheduling::leader_state::LeaderState;
use crate::settings::Settings;
use crate::store::handle::StateStore;
use crate::sync::lock;
use crate::wakeups::Wakeups;

/// Acceptances and ends remembered, the latest: about a KiB each.
const MAX_REMEMBERED: usize = 512;
/// Between two comparisons: at least this, and at least the time in which the share of requests
/// grows by so many.
const GAP: Duration = Duration::from_secs(1);
const COST: f64 = 8.0;

/// A write that the store has acknowledged.
#[derive(Debug, Clone, PartialEq)]
pub enum AcknowledgedWrite {
    /// A job that this controller has accepted: open, or ended since.
    Accepted(Arc<JobRecord>),
    /// A job that is open, by the leader's watch.
    Open(JobId),
    /// A job that has ended, and how, by this controller's own transaction.
    Ended(Arc<JobRecord>, End),
    /// A shard of tasks at this version.
    Shard(JobId, u64, u64),
}

impl AcknowledgedWrite {
    /// The keys to compare: of all but a shard at least one must exist.
    fn conditions(&self) -> Vec<Condition> {
        match self {
            Self::Accepted(record) => never_accepted_conditions(&record.spec.id, false).collect(),
            Self::Open(id) => never_accepted_conditions(id, false).collect(),
            Self::Ended(record, end) => vec![Condition::absent(ended_key(&record.spec.id, *end))],
            Self::Shard(id, shard, version) => vec![Condition::at(shard_key(id, *shard), *version)],
        }
    }

    /// Whether the write is still stored, by the keys whose conditions failed.
    fn is_stored(&self, failed: &HashSet<&str>) -> bool {
        let any = self.conditions().iter().any(|c| failed.contains(c.path.as_str()));
        if matches!(self, Self::Shard(..)) { !any } else { any }
    }

    fn key(&self) -> String {
        match self {
            Self::Accepted(record) => open_key(&record.spec.id),
            Self::Open(id) => open_key(id),
            Self::Ended(record, end) => ended_key(&record.spec.id, *end),
            Self::Shard(id, shard, _) => shard_key(id, *shard),
        }
    }
}

/// The writes to compare with the store, in rounds. Pure.
#[derive(Debug, Default)]
pub struct Audit {
    remembered: VecDeque<AcknowledgedWrite>,
    round: VecDeque<AcknowledgedWrite>,
    /// Writes that were missing once, by key.
    suspects: HashMap<String, AcknowledgedWrite>,
}

impl Audit {
    /// Remembers a write that was acknowledged just now.
    pub fn remember(&mut self, held: AcknowledgedWrite) {
        if self.remembered.len() >= MAX_REMEMBERED {
            self.remembered.pop_front();
        }
        self.remembered.push_back(held);
    }

    /// The next to compare, with `most` conditions at the most: suspects first. `stored` gives what
    /// the leader holds besides, once a turn.
    fn next_batch(&mut self, most: usize, stored: impl FnOnce() -> Vec<AcknowledgedWrite>) -> Vec<AcknowledgedWrite> {
        if self.round.is_empty() {
            self.round.extend(self.remembered.iter().cloned());
            self.round.extend(stored());
        }
        let mut left = most;
        let mut fits = |held: &AcknowledgedWrite| {
            let rest = left.checked_sub(held.conditions().len());
            left = rest.unwrap_or(0);
            rest.is_some()
        };
        let mut batch: Vec<AcknowledgedWrite> = self.suspects.values().take_while(|held| fits(held)).cloned().collect();
        while self.round.front().is_some_and(&mut fits) {
            batch.extend(self.round.pop_front());
        }
        batch
    }

    /// The writes of a batch that are missing now and were missing before.
    fn find_lost(&mut self, batch: Vec<AcknowledgedWrite>, failed: &[String]) -> Vec<AcknowledgedWrite> {
        let failed: HashSet<&str> = failed.iter().map(String::as_str).collect();
        let mut lost = Vec::new();
        for held in batch {
            let before = self.suspects.remove(&held.key());
            if held.is_stored(&failed) {
                continue;
            }
            if before.as_ref() == Some(&held) {
                lost.push(held);
            } else {
                self.suspects.insert(held.key(), held);
            }
        }
        lost
    }

    /// Forgets a write that is not lost after all: its job has moved on.
    fn forget(&mut self, held: &AcknowledgedWrite) {
        self.remembered.retain(|told| told != held);
    }

    /// Number of entries held, of all sorts together, for display.
    pub fn remembered(&self) -> usize {
        self.remembered.len() + self.round.len() + self.suspects.len()
    }
}

/// Compares what the state service has acknowledged with what it holds.
pub struct Auditor {
    settings: Arc<Settings>,
    store: Arc<StateStore>,
    history: Arc<JobHistory>,
    leader: Arc<LeaderState>,
    wakeups: Arc<Wakeups>,
    audit: Mutex<Audit>,
}

impl Auditor {
    /// An auditor that knows of nothing that was acknowledged.
    pub fn new(
        settings: Arc<Settings>,
        store: Arc<StateStore>,
        history: Arc<JobHistory>,
        leader: Arc<LeaderState>,
        wakeups: Arc<Wakeups>,
    ) -> Self {
        Self { settings, store, history, leader, wakeups, audit: Mutex::default() }
    }

    /// The state service has just acknowledged this.
    pub fn remember(&self, held: AcknowledgedWrite) {
        lock(&self.audit).remember(held);
    }

    /// Number of entries held, for display.
    pub fn remembered(&self) -> usize {
        lock(&self.audit).remembered()
    }
}

/// All writes that the leader knows to be stored.
fn writes_of_leader(auditor: &Auditor) -> Vec<AcknowledgedWrite> {
    let held = auditor.leader.cluster();
    let Some(cluster) = held.as_ref().filter(|b| b.loaded) else { return Vec::new() };
    let open = cluster.jobs().filter(|(_, job)| job.ended.is_none());
    open.flat_map(|(id, job)| {
        let shards = job.stored_shards().map(|(shard, version)| AcknowledgedWrite::Shard(id.clone(), shard, version));
        std::iter::once(AcknowledgedWrite::Open(id.clone())).chain(shards)
    })
    .collect()
}

/// Whether this is still to be expected: what a watch or an answer has told since counts.
fn still_expected(auditor: &Auditor, held: &AcknowledgedWrite) -> bool {
    match held {
        AcknowledgedWrite::Accepted(record) => auditor.history.known_end(&record.spec.id).is_none(),
        AcknowledgedWrite::Open(id) => {
            auditor.store.watch_cache().open_job(id).is_some() && auditor.history.known_end(id).is_none()
        }
        AcknowledgedWrite::Ended(..) => true,
        AcknowledgedWrite::Shard(id, shard, version) => {
            let held = auditor.leader.cluster();
            let job = held.as_ref().and_then(|b| b.job(id)).filter(|j| j.ended.is_none());
            job.is_some_and(|j| j.stored_shards().any(|settled| settled == (*shard, *version)))
        }
    }
}

/// Compares what is remembered with the store and writes again what is missing, for ever.
pub async fn run(auditor: Arc<Auditor>) {
    let most = auditor.settings.params.state.conditions();
    loop {
        tokio::time::sleep(GAP.max(auditor.store.client.refill_time(COST))).await;
        let batch = lock(&auditor.audit).next_batch(most, || writes_of_leader(&auditor));
        if batch.is_empty() || !auditor.store.watch_cache().is_ready() {
            continue;
        }
        let conditions: Vec<Condition> = batch.iter().flat_map(AcknowledgedWrite::conditions).collect();
        let failed = match auditor.store.client.compare_and_swap(&conditions, &[], RequestPriority::Background).await {
            Ok(CompareAndSwapOutcome::Failed(keys)) => keys,
            Ok(_) => Vec::new(),
            Err(error) => {
                debug!(%error, "audit read failed");
                continue;
            }
        };
        let lost = lock(&auditor.audit).find_lost(batch, &failed);
        if lost.is_empty() || !auditor.store.read_barrier.wait_for_proof().await {
            continue;
        }
        for held in lost {
            if still_expected(&auditor, &held) {
                error!(key = held.key(), "acknowledged write lost; writing it again");
                if let Err(error) = restore(&auditor, &held).await {
                    debug!(%error, key = held.key(), "lost write not restored");
                }
            } else {
                lock(&auditor.audit).forget(&held);
            }
        }
    }
}

/// Writes an end again, on condition that the job has no end at all.
pub(crate) fn restore_end(record: &JobRecord, end: End, now_ms: u64) -> JobTransaction {
    JobTransaction {
        conditions: not_ended_conditions(&record.spec.id).collect(),
        changes: end_changes(record, end, now_ms).into(),
    }
}

/// Writes again what was lost, unless the job has other keys by now.
async fn restore(auditor: &Auditor, held: &AcknowledgedWrite) -> Result<(), StoreError> {
    match held {
        AcknowledgedWrite::Accepted(record) => restore_acceptance(auditor, record).await,
        AcknowledgedWrite::Open(id) => {
            let record = auditor.store.watch_cache().open_job(id).cloned();
            match record {
                Some(record) => restore_acceptance(auditor, &record).await,
                None => Ok(()),
            }
        }
        AcknowledgedWrite::Ended(record, end) => {
            let again = restore_end(record, *end, time_of_day_ms());
            if let CompareAndSwapOutcome::Failed(keys) = auditor
                .store
                .client
                .compare_and_swap(&again.conditions, &again.changes, RequestPriority::Critical)
                .await?
            {
                // Another end stands: what was told before cannot be made true any more.
                error!(?keys, job = %record.spec.id, "lost job end superseded; keeping the other end");
                lock(&auditor.audit).forget(held);
            }
            Ok(())
        }
        AcknowledgedWrite::Shard(id, shard, version) => {
            let item = auditor.store.client.get(&shard_key(id, *shard), RequestPriority::Critical).await?;
            let found = item.map_or(0, |i| i.version);
            if let Some(cluster) = auditor.leader.cluster().as_mut() {
                cluster.rewrite_lost_shard(id, *shard, *version, found);
            }
            auditor.wakeups.commit.notify_one();
            Ok(())
        }
    }
}

async fn restore_acceptance(auditor: &Auditor, record: &JobRecord) -> Result<(), StoreError> {
    let again = accept_job(record, auditor.store.watch_cache().may_hold_old_jobs());
    auditor
        .store
        .client
        .compare_and_swap(&again.conditions, &again.changes, RequestPriority::Critical)
        .await
        .map(|_| ())
}

#[cfg(test)]
mod tests;
