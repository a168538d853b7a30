//! Group commit: the leader's changes, many per transaction, one transaction at a time.
//!
//! Every transaction is conditional on the leader record, on the versions of its shards and on the
//! absence of an end for each job it speaks of. One that was not answered is sent again as it
//! was until an answer is definite: a late copy then fails on the shard versions, or on the end.
//! An end takes its job from the open ones in the same transaction.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::{debug, info, warn};

use super::cluster::ShardWrite;
use super::leader_state::LeaderState;
use crate::audit::{AcknowledgedWrite, Auditor};
use crate::history::job_history::JobHistory;
use crate::history::job_transactions::{end_changes, find_end, not_ended};
use crate::jobs::record::{
    ENDED_EXTRA, JobRecord, LEADER, decode_shard, encode_shard, open_key, shard_key, shard_size, time_of_day_ms,
};
use crate::jobs::{End, JobId};
use crate::membership::Membership;
use crate::settings::Settings;
use crate::store::budget::RequestPriority;
use crate::store::handle::StateStore;
use crate::store::{Change, CompareAndSwapOutcome, Condition, StoreError};
use crate::sync::jitter;
use crate::wakeups::Wakeups;

/// Lets a moment's changes go together; a tenth of what a person would notice.
const BATCH_DELAY: Duration = Duration::from_millis(40);
const MAX_IDLE_TIME: Duration = Duration::from_millis(1000);
/// Clean-up gives way: placements must not wait behind it.
const DROP_TIMEOUT: Duration = Duration::from_millis(400);
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Room left in a transaction's 64 KiB for conditions and framing.
const MAX_CHANGE_BYTES: usize = 40 * 1024;
/// Keys and conditions of one change, in bytes.
const CHANGE_OVERHEAD_BYTES: usize = 200;
/// This many shards of ended jobs are too many for clean-up to wait: a new leader reads them all.
const URGENT_DROP_COUNT: usize = 48;

/// What the group commit works with.
pub struct GroupCommit {
    /// The platform's settings.
    pub settings: Arc<Settings>,
    /// The state service.
    pub store: Arc<StateStore>,
    /// Told of each end that was stored.
    pub history: Arc<JobHistory>,
    /// Told where a transaction shows that another leads.
    pub membership: Arc<Membership>,
    /// The cluster state, whose changes are stored.
    pub leader: Arc<LeaderState>,
    /// Told of each end that the state service has acknowledged.
    pub audit: Arc<Auditor>,
    /// Wakes this loop, and those that act on what was stored.
    pub wakeups: Arc<Wakeups>,
}

pub(crate) struct CommitBatch {
    pub ends: Vec<Arc<JobRecord>>,
    pub shards: Vec<ShardWrite>,
    pub at_ms: u64,
}

impl CommitBatch {
    pub fn changes(&self) -> Vec<Change> {
        let ends = self.ends.iter().flat_map(|job| end_changes(job, End::Done, self.at_ms));
        let shards = self.shards.iter().map(|c| Change::write(shard_key(&c.job, c.shard), encode_shard(&c.tasks)));
        ends.chain(shards).collect()
    }

    pub fn conditions(&self, fencing_token: u64) -> Vec<Condition> {
        let shards = self.shards.iter().map(|c| Condition::at(shard_key(&c.job, c.shard), c.version));
        let jobs: BTreeSet<&JobId> = self.jobs().collect();
        let ends = jobs.into_iter().flat_map(|id| not_ended(id));
        std::iter::once(Condition::at(LEADER, fencing_token)).chain(shards).chain(ends).collect()
    }

    /// Every job it speaks of.
    pub fn jobs(&self) -> impl Iterator<Item = &JobId> {
        self.ends.iter().map(|job| &job.spec.id).chain(self.shards.iter().map(|c| &c.job))
    }

    pub fn ended_ids(&self) -> Vec<JobId> {
        self.ends.iter().map(|job| job.spec.id.clone()).collect()
    }

    pub fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.shards.is_empty()
    }
}

/// How many of these fit into a transaction that has taken `bytes` so far; at least one if it is
/// empty.
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

/// Stores the leader's changes for as long as this controller leads: in batches, one transaction at a time.
pub async fn run(group_commit: Arc<GroupCommit>) {
    loop {
        let _ = tokio::time::timeout(MAX_IDLE_TIME, group_commit.wakeups.commit.notified()).await;
        tokio::time::sleep(BATCH_DELAY).await;
        while let Some(batch) = next_batch(&group_commit) {
            if !store_batch(&group_commit, batch).await {
                return;
            }
            if group_commit.leader.cluster().as_ref().is_some_and(|b| b.pending_shard_drops() >= URGENT_DROP_COUNT) {
                drop_ended_shards(&group_commit, RequestPriority::Placement).await;
            }
        }
        drop_ended_shards(&group_commit, RequestPriority::Background).await;
    }
}

fn next_batch(group_commit: &GroupCommit) -> Option<CommitBatch> {
    // What the budget holds goes at once: a full batch would wait for a whole burst.
    let most = (group_commit.settings.params.state.txn_ops as usize)
        .min(group_commit.store.client.writes_ready(RequestPriority::Placement).max(1));
    let mut held = group_commit.leader.cluster();
    let cluster = held.as_mut().filter(|b| b.loaded)?;
    let now = Instant::now();
    if !cluster.has_due_writes(now) {
        return None;
    }
    let (mut ends, mut shards) = cluster.next_writes(most, now);
    let mut bytes = 0;
    let size =
        |job: &Arc<JobRecord>| serde_json::to_vec(&**job).map_or(0, |v| v.len()) + ENDED_EXTRA + CHANGE_OVERHEAD_BYTES;
    let late_ends = ends.split_off(count_fitting(&mut bytes, ends.iter().map(size)));
    let rest = shards
        .split_off(count_fitting(&mut bytes, shards.iter().map(|c| shard_size(&c.tasks) + CHANGE_OVERHEAD_BYTES)));
    let late_ends: Vec<JobId> = late_ends.iter().map(|job| job.spec.id.clone()).collect();
    cluster.requeue_writes(&late_ends, &rest);
    let batch = CommitBatch { ends, shards, at_ms: time_of_day_ms() };
    (!batch.is_empty()).then_some(batch)
}

/// False once this controller no longer leads.
async fn store_batch(group_commit: &Arc<GroupCommit>, batch: CommitBatch) -> bool {
    let changes = batch.changes();
    let priority = if batch.ends.is_empty() { RequestPriority::Placement } else { RequestPriority::Critical };
    let mut unanswered = false;
    loop {
        let Some(fencing_token) = group_commit.leader.cluster().as_ref().map(|b| b.fencing_token) else { return false };
        match group_commit.store.client.compare_and_swap(&batch.conditions(fencing_token), &changes, priority).await {
            Ok(CompareAndSwapOutcome::Applied(version)) => {
                record_stored_batch(group_commit, &batch, version);
                return true;
            }
            Ok(CompareAndSwapOutcome::Failed(keys)) => {
                debug!(?keys, unanswered, "transaction rejected");
                let now_token = group_commit.leader.cluster().as_ref().map(|b| b.fencing_token);
                if keys.iter().any(|k| k == LEADER) {
                    if now_token.is_some_and(|t| t > fencing_token) {
                        continue;
                    }
                    // Wait for the watch cache to say who leads; it may be this controller itself,
                    // under a fencing token it has not heard the answer about.
                    group_commit.store.read_barrier.wait().await;
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
        cluster.record_stored_shards(&batch.shards, version);
    }
    for job in &batch.ends {
        record_end(group_commit, &job.spec.id, End::Done);
        group_commit.audit.remember(AcknowledgedWrite::Ended(job.clone(), End::Done));
    }
    group_commit.wakeups.dispatch.notify_one();
}

/// An end stands in the store: the cluster state acts on it at once, ahead of the watch.
fn record_end(group_commit: &GroupCommit, id: &JobId, end: End) {
    info!(job = %id, ?end, "job finished");
    group_commit.history.note_end(id, end);
    if let Some(cluster) = group_commit.leader.cluster().as_mut() {
        cluster.end_job(id, Some(end), Instant::now());
    }
    group_commit.wakeups.plan.notify_one();
}

/// Some keys had other versions: each is read, and what it holds decides.
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
        let mut held = group_commit.leader.cluster();
        let Some(cluster) = held.as_mut() else { return false };
        let version = item.as_ref().map_or(0, |i| i.version);
        let same = item.and_then(|i| decode_shard(&i.value)).is_some_and(|t| t == write.tasks);
        if same {
            // An earlier copy of this transaction did apply.
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

/// Drops of shards whose jobs are over. A job that was lost and put back (`audit`) is open once more, and
/// a copy that comes late must not take what is bound of it since.
pub(crate) fn shard_drops(drops: &[(JobId, u64)], fencing_token: u64) -> (Vec<Condition>, Vec<Change>) {
    let jobs: BTreeSet<&JobId> = drops.iter().map(|(id, _)| id).collect();
    let closed = jobs.into_iter().map(|id| Condition::absent(open_key(id)));
    let changes = drops.iter().map(|(id, c)| Change::Drop { drop: shard_key(id, *c) }).collect();
    (std::iter::once(Condition::at(LEADER, fencing_token)).chain(closed).collect(), changes)
}

/// What is still to be dropped after these were refused: nothing of jobs that are open.
pub(crate) fn remaining_drops(mut drops: Vec<(JobId, u64)>, failed: &[String]) -> Vec<(JobId, u64)> {
    drops.retain(|(id, _)| !failed.contains(&open_key(id)));
    drops
}

/// Shards of jobs that are over, whenever the budget has room.
async fn drop_ended_shards(group_commit: &Arc<GroupCommit>, priority: RequestPriority) {
    let most =
        group_commit.store.client.writes_ready(priority).min(group_commit.settings.params.state.txn_ops as usize);
    let (drops, fencing_token) = match group_commit.leader.cluster().as_mut() {
        Some(cluster) => (cluster.take_shard_drops(most), cluster.fencing_token),
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
        Ok(Ok(CompareAndSwapOutcome::Applied(_))) => return,
        Ok(Ok(CompareAndSwapOutcome::Failed(keys))) => keys,
        _ => Vec::new(),
    };
    if let Some(cluster) = group_commit.leader.cluster().as_mut() {
        cluster.requeue_shard_drops(remaining_drops(drops, &failed));
    }
}
