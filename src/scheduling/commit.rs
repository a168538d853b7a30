//! Group commit: stores the leader's changes, many per transaction, one transaction at a time.
//!
//! Every transaction is conditional on the leader record, on the versions of its shards and on the absence of an end of
//! each job that it concerns. A transaction without an answer is retried unchanged until the answer is definite: a
//! delayed copy then fails on the shard versions, or on the end. The end of a job deletes its open key in the same
//! transaction.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::{debug, info, warn};

use super::cluster::ShardWrite;
use super::leader_state::LeaderState;
use crate::audit::{AcknowledgedWrite, Auditor};
use crate::history::job_history::JobHistory;
use crate::history::job_transactions::{end_changes, find_end, not_ended_conditions};
use crate::jobs::record::{
    ENDED_RECORD_EXTRA_BYTES, JobRecord, LEADER_RECORD_KEY, decode_shard, encode_shard, max_shard_bytes, open_key,
    shard_key, time_of_day_ms,
};
use crate::jobs::{End, JobId};
use crate::membership::Membership;
use crate::settings::Settings;
use crate::store::budget::RequestPriority;
use crate::store::handle::StateStore;
use crate::store::{Change, CompareAndSwapOutcome, Condition, StoreError};
use crate::sync::jitter;
use crate::wakeups::Wakeups;

/// Time in which changes are collected into one batch; a tenth of what a user would notice.
const BATCH_DELAY: Duration = Duration::from_millis(40);
/// Maximum time until the next commit if nothing wakes the loop.
const MAX_IDLE_TIME: Duration = Duration::from_millis(1000);
/// Timeout for the deletion of shards, so that placements don't wait behind the cleanup.
const DROP_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause before a request to the store is retried, before jitter.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum size of the changes in a transaction, whose limit of 64 KiB also covers conditions and framing.
const MAX_CHANGE_BYTES: usize = 40 * 1024;
/// Size of the keys and conditions of one change.
const CHANGE_OVERHEAD_BYTES: usize = 200;
/// With this many shards of ended jobs their deletion becomes urgent, since a new leader has to read them all.
const URGENT_DROP_COUNT: usize = 48;

/// The group commit and the services that it uses.
pub struct GroupCommit {
    /// The platform's settings.
    pub settings: Arc<Settings>,
    /// The state service.
    pub store: Arc<StateStore>,
    /// Learns of each stored job end.
    pub history: Arc<JobHistory>,
    /// Learns that a transaction shows another leader.
    pub membership: Arc<Membership>,
    /// The cluster state, whose changes are stored.
    pub leader: Arc<LeaderState>,
    /// Learns of each job end that the state service has acknowledged.
    pub audit: Arc<Auditor>,
    /// Wakes this loop, and the loops that act on stored changes.
    pub wakeups: Arc<Wakeups>,
}

/// The job ends and task shards of one transaction.
pub(crate) struct CommitBatch {
    /// The jobs that are stored as done.
    pub ends: Vec<Arc<JobRecord>>,
    /// The task shards to write.
    pub shards: Vec<ShardWrite>,
    /// When the jobs ended, as Unix time in milliseconds.
    pub at_ms: u64,
}

impl CommitBatch {
    /// The changes of the transaction.
    pub fn changes(&self) -> Vec<Change> {
        let ends = self.ends.iter().flat_map(|job| end_changes(job, End::Done, self.at_ms));
        let shards = self.shards.iter().map(|s| Change::write(shard_key(&s.job, s.shard), encode_shard(&s.tasks)));
        ends.chain(shards).collect()
    }

    /// The conditions of the transaction: this leader still leads, the shards have their expected versions, and none of
    /// the jobs has ended.
    pub fn conditions(&self, fencing_token: u64) -> Vec<Condition> {
        let shards = self.shards.iter().map(|s| Condition::at(shard_key(&s.job, s.shard), s.version));
        let jobs: BTreeSet<&JobId> = self.jobs().collect();
        let ends = jobs.into_iter().flat_map(|id| not_ended_conditions(id));
        std::iter::once(Condition::at(LEADER_RECORD_KEY, fencing_token)).chain(shards).chain(ends).collect()
    }

    /// Every job with an end or a shard in this batch.
    pub fn jobs(&self) -> impl Iterator<Item = &JobId> {
        self.ends.iter().map(|job| &job.spec.id).chain(self.shards.iter().map(|s| &s.job))
    }

    /// The jobs whose end is in this batch.
    pub fn ended_ids(&self) -> Vec<JobId> {
        self.ends.iter().map(|job| job.spec.id.clone()).collect()
    }

    /// Whether there is nothing to store.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.shards.is_empty()
    }
}

/// Counts how many changes of these sizes fit into a transaction of `bytes` so far, to which their sizes are added; at
/// least one if it is empty.
fn count_fitting(bytes: &mut usize, sizes: impl Iterator<Item = usize>) -> usize {
    let mut n = 0;
    for size in sizes {
        if *bytes > 0 && *bytes + size > MAX_CHANGE_BYTES {
            break;
        }
        *bytes += size;
        n += 1;
    }
    n
}

/// Stores the leader's changes while this controller leads: in batches, one transaction at a time.
pub async fn run(group_commit: Arc<GroupCommit>) {
    loop {
        let _ = tokio::time::timeout(MAX_IDLE_TIME, group_commit.wakeups.commit.notified()).await;
        tokio::time::sleep(BATCH_DELAY).await;
        while let Some(batch) = next_batch(&group_commit) {
            if !store_batch(&group_commit, batch).await {
                return;
            }
            if group_commit
                .leader
                .cluster()
                .as_ref()
                .is_some_and(|cluster| cluster.pending_shard_drops() >= URGENT_DROP_COUNT)
            {
                drop_ended_shards(&group_commit, RequestPriority::Placement).await;
            }
        }
        drop_ended_shards(&group_commit, RequestPriority::Background).await;
    }
}

/// The next batch of due writes. None if nothing is due or this controller doesn't lead.
fn next_batch(group_commit: &GroupCommit) -> Option<CommitBatch> {
    // Limited to the writes that the budget has ready: a full batch would wait until the budget allows a whole burst.
    let max_changes = (group_commit.settings.params.state.txn_ops as usize)
        .min(group_commit.store.client.available_writes(RequestPriority::Placement).max(1));
    let mut guard = group_commit.leader.cluster();
    let cluster = guard.as_mut().filter(|cluster| cluster.loaded)?;
    let now = Instant::now();
    if !cluster.has_due_writes(now) {
        return None;
    }
    let (mut ends, mut shards) = cluster.next_writes(max_changes, now);
    let mut bytes = 0;
    let size = |job: &Arc<JobRecord>| {
        serde_json::to_vec(&**job).map_or(0, |v| v.len()) + ENDED_RECORD_EXTRA_BYTES + CHANGE_OVERHEAD_BYTES
    };
    let excess_ends = ends.split_off(count_fitting(&mut bytes, ends.iter().map(size)));
    let excess_shards = shards
        .split_off(count_fitting(&mut bytes, shards.iter().map(|s| max_shard_bytes(&s.tasks) + CHANGE_OVERHEAD_BYTES)));
    let excess_ends: Vec<JobId> = excess_ends.iter().map(|job| job.spec.id.clone()).collect();
    cluster.requeue_writes(&excess_ends, &excess_shards);
    let batch = CommitBatch { ends, shards, at_ms: time_of_day_ms() };
    (!batch.is_empty()).then_some(batch)
}

/// Stores a batch, retrying until the outcome is definite. Returns false once this controller no longer leads.
async fn store_batch(group_commit: &Arc<GroupCommit>, batch: CommitBatch) -> bool {
    let changes = batch.changes();
    let priority = if batch.ends.is_empty() { RequestPriority::Placement } else { RequestPriority::Critical };
    let mut unanswered = false;
    loop {
        let Some(fencing_token) = group_commit.leader.cluster().as_ref().map(|cluster| cluster.fencing_token) else {
            return false;
        };
        match group_commit.store.client.compare_and_swap(&batch.conditions(fencing_token), &changes, priority).await {
            Ok(CompareAndSwapOutcome::Applied(version)) => {
                record_stored_batch(group_commit, &batch, version);
                return true;
            }
            Ok(CompareAndSwapOutcome::Failed(keys)) => {
                debug!(?keys, unanswered, "transaction rejected");
                let now_token = group_commit.leader.cluster().as_ref().map(|cluster| cluster.fencing_token);
                if keys.iter().any(|k| k == LEADER_RECORD_KEY) {
                    if now_token.is_some_and(|t| t > fencing_token) {
                        continue;
                    }
                    // Wait until the watch cache shows the leader. It may be this controller itself, under a fencing
                    // token whose acquisition has not been answered yet.
                    group_commit.store.read_barrier.wait_for_proof().await;
                    group_commit.membership.check_deposed();
                    group_commit.wakeups.membership.notify_one();
                    tokio::time::sleep(jitter(RETRY_DELAY)).await;
                    continue;
                }
                return resolve_conflicts(group_commit, batch, keys).await;
            }
            Ok(CompareAndSwapOutcome::LeaseExpired) => {}
            Err(StoreError::Unanswered) => unanswered = true,
            Err(error) => debug!(%error, "transaction failed"),
        }
        tokio::time::sleep(jitter(RETRY_DELAY)).await;
    }
}

fn record_stored_batch(group_commit: &GroupCommit, batch: &CommitBatch, version: u64) {
    if let Some(cluster) = group_commit.leader.cluster().as_mut() {
        cluster.record_fenced_write(version);
        cluster.record_stored_shards(&batch.shards, version);
    }
    for job in &batch.ends {
        record_end(group_commit, &job.spec.id, End::Done);
        group_commit.audit.remember(AcknowledgedWrite::Ended(job.clone(), End::Done));
    }
    group_commit.wakeups.dispatch.notify_one();
}

/// Records the stored end of a job; the cluster state acts on it at once, ahead of the watch.
fn record_end(group_commit: &GroupCommit, id: &JobId, end: End) {
    info!(job = %id, ?end, "job finished");
    group_commit.history.note_end(id, end);
    if let Some(cluster) = group_commit.leader.cluster().as_mut() {
        cluster.end_job(id, Some(end), Instant::now());
    }
    group_commit.wakeups.plan.notify_one();
}

/// Resolves a rejected transaction: reads each key with an unexpected version, and decides by its value. Returns false
/// once this controller no longer leads.
async fn resolve_conflicts(group_commit: &Arc<GroupCommit>, batch: CommitBatch, keys: Vec<String>) -> bool {
    for id in batch.jobs() {
        if let Some(end) = find_end(&keys, id) {
            record_end(group_commit, id, end);
        }
    }
    for write in &batch.shards {
        let key = &shard_key(&write.job, write.shard);
        if !keys.contains(key) {
            continue;
        }
        let item = loop {
            if group_commit.leader.cluster().is_none() {
                return false;
            }
            match group_commit.store.client.get(key, RequestPriority::Critical).await {
                Ok(item) => break item,
                Err(error) => {
                    debug!(%error, key, "task shard read failed while resolving a rejected transaction");
                    tokio::time::sleep(jitter(RETRY_DELAY)).await;
                }
            }
        };
        let mut guard = group_commit.leader.cluster();
        let Some(cluster) = guard.as_mut() else { return false };
        let version = item.as_ref().map_or(0, |i| i.version);
        let same = item.and_then(|i| decode_shard(&i.value)).is_some_and(|t| t == write.tasks);
        if same {
            // An earlier copy of this transaction was applied.
            cluster.record_stored_shards(std::slice::from_ref(write), version);
        } else {
            warn!(key, "stored task shard conflicts with the cluster state; overwriting it");
            cluster.set_shard_version(&write.job, write.shard, version);
        }
    }
    if let Some(cluster) = group_commit.leader.cluster().as_mut() {
        cluster.requeue_writes(&batch.ended_ids(), &batch.shards);
    }
    group_commit.wakeups.dispatch.notify_one();
    true
}

/// The conditions and changes that delete shards of ended jobs. They require that the jobs are not open: a job whose
/// end was lost and that was restored (`audit`) is open again, and a delayed copy of the deletion must not remove its
/// new bindings.
pub(crate) fn shard_drops(drops: &[(JobId, u64)], fencing_token: u64) -> (Vec<Condition>, Vec<Change>) {
    let jobs: BTreeSet<&JobId> = drops.iter().map(|(id, _)| id).collect();
    let closed = jobs.into_iter().map(|id| Condition::absent(open_key(id)));
    let changes = drops.iter().map(|(id, shard)| Change::Drop { drop: shard_key(id, *shard) }).collect();
    (std::iter::once(Condition::at(LEADER_RECORD_KEY, fencing_token)).chain(closed).collect(), changes)
}

/// The shards that are still to be deleted after a rejected deletion: those whose job is not open.
pub(crate) fn remaining_drops(mut drops: Vec<(JobId, u64)>, failed: &[String]) -> Vec<(JobId, u64)> {
    drops.retain(|(id, _)| !failed.contains(&open_key(id)));
    drops
}

/// Deletes shards of ended jobs, as many as the write budget allows.
async fn drop_ended_shards(group_commit: &Arc<GroupCommit>, priority: RequestPriority) {
    let max_drops =
        group_commit.store.client.available_writes(priority).min(group_commit.settings.params.state.txn_ops as usize);
    let (drops, fencing_token) = match group_commit.leader.cluster().as_mut() {
        Some(cluster) => (cluster.take_shard_drops(max_drops), cluster.fencing_token),
        None => return,
    };
    if drops.is_empty() {
        return;
    }
    let (conditions, changes) = shard_drops(&drops, fencing_token);
    let outcome =
        tokio::time::timeout(DROP_TIMEOUT, group_commit.store.client.compare_and_swap(&conditions, &changes, priority))
            .await;
    let failed = match outcome {
        Ok(Ok(CompareAndSwapOutcome::Applied(revision))) => {
            if let Some(cluster) = group_commit.leader.cluster().as_mut() {
                cluster.record_fenced_write(revision);
            }
            return;
        }
        Ok(Ok(CompareAndSwapOutcome::Failed(keys))) => keys,
        _ => Vec::new(),
    };
    if let Some(cluster) = group_commit.leader.cluster().as_mut() {
        cluster.requeue_shard_drops(remaining_drops(drops, &failed));
    }
}
