//! Group commit: stores the leader's changes, many per transaction, one transaction at a time.
//!
//! Every transaction is conditional on the leader record, on the versions of its shards and on the absence of an end of
//! each job that it concerns. A transaction without an answer is retried unchanged until the answer is definite: a
//! delayed copy then fails on the shard versions, or on the end. The end of a job deletes its open key in the same
//! transaction.
//!
//! A transaction that the service does not take for its size is put back and parted: the next batches keep to what its
//! refusal has taught (`store::transaction_limits`). An earlier copy of it without an answer may still be applied; then
//! a part fails like any delayed copy, and the keys are read.

mod conflicts;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::{debug, info};

use super::cluster::{QueuePosition, ShardValue, ShardWrite};
use super::leader_state::LeaderState;
use crate::audit::{AcknowledgedWrite, Auditor};
use crate::history::job_history::JobHistory;
use crate::history::job_transactions::{end_changes, not_ended_conditions};
use crate::jobs::record::{
    ENDED_RECORD_EXTRA_BYTES, JobRecord, LEADER_RECORD_KEY, encode_shard, max_shard_bytes, open_key, shard_key,
    time_of_day_ms,
};
use crate::jobs::{End, JobId};
use crate::membership::Membership;
use crate::store::budget::RequestPriority;
use crate::store::handle::StateStore;
use crate::store::transaction_limits::TransactionSize;
use crate::store::{Change, CompareAndSwapOutcome, Condition, StoreError, TransactionLimits};
use crate::sync::jitter;
use crate::wakeups::Wakeups;
use conflicts::resolve_conflicts;

/// Time in which changes are collected into one batch; a tenth of what a user would notice.
const BATCH_DELAY: Duration = Duration::from_millis(40);
/// Maximum time until the next commit if nothing wakes the loop.
const MAX_IDLE_TIME: Duration = Duration::from_millis(1000);
/// Timeout for the deletion of shards, so that placements don't wait behind the cleanup.
const DROP_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause before a request to the store is retried, before jitter.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Pause after a transaction was refused for its size and nothing can be made smaller, before jitter.
const TOO_LARGE_RETRY_DELAY: Duration = Duration::from_millis(1000);
/// Time for which one transaction is refused as beyond the rate limit until it is taken to exceed the limit's burst,
/// which holds the changes of one second.
const BURST_REFUSAL_TIME: Duration = Duration::from_secs(3);
/// HTTP status with which the store refuses a request because of its rate limit.
const TOO_MANY_REQUESTS: u16 = 429;
/// Maximum size of the changes in a transaction, whose limit of 64 KiB also covers conditions and framing.
const MAX_CHANGE_BYTES: usize = 40 * 1024;
/// Size of the keys and conditions of one change.
const CHANGE_OVERHEAD_BYTES: usize = 200;
/// With this many shards of ended jobs their deletion becomes urgent, since a new leader has to read them all.
const URGENT_DROP_COUNT: usize = 48;

/// The group commit and the services that it uses.
pub struct GroupCommit {
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
    /// Maximum size of a stored value, in bytes.
    pub max_value_bytes: usize,
}

impl CommitBatch {
    /// The changes of the transaction.
    pub fn changes(&self) -> Vec<Change> {
        let ends = self.ends.iter().flat_map(|job| end_changes(job, End::Done, self.at_ms, self.max_value_bytes));
        let shards = self.shard_values().map(|(job, value)| {
            Change::write(shard_key(job, value.first_task), encode_shard(&value.tasks, value.is_part))
        });
        ends.chain(shards).collect()
    }

    /// The conditions of the transaction: this leader still leads, the shards have their expected versions, and none of
    /// the jobs has ended.
    pub fn conditions(&self, fencing_token: u64) -> Vec<Condition> {
        let shards =
            self.shard_values().map(|(job, value)| Condition::at(shard_key(job, value.first_task), value.version));
        let jobs: BTreeSet<&JobId> = self.jobs().collect();
        let ends = jobs.into_iter().flat_map(|id| not_ended_conditions(id));
        std::iter::once(Condition::at(LEADER_RECORD_KEY, fencing_token)).chain(shards).chain(ends).collect()
    }

    /// The shard values of this batch, with their jobs.
    fn shard_values(&self) -> impl Iterator<Item = (&JobId, &ShardValue)> {
        self.shards.iter().flat_map(|write| write.values().map(|value| (&write.job, value)))
    }

    /// Every job with an end or a shard in this batch.
    pub fn jobs(&self) -> impl Iterator<Item = &JobId> {
        self.ends.iter().map(|job| &job.spec.id).chain(self.shards.iter().map(|s| &s.job))
    }

    /// The jobs whose end is in this batch.
    pub fn ended_ids(&self) -> Vec<JobId> {
        self.ends.iter().map(|job| job.spec.id.clone()).collect()
    }

    /// Whether the batch holds a single end or shard, so that it cannot be parted.
    fn is_single(&self) -> bool {
        self.ends.len() + self.shards.len() <= 1
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
    let client = &group_commit.store.client;
    let max_changes = client.changes_at_once().min(client.available_writes(RequestPriority::Placement).max(1));
    let limits = TransactionLimits { max_changes, ..client.limits() };
    let mut guard = group_commit.leader.cluster();
    let cluster = guard.as_mut().filter(|cluster| cluster.loaded)?;
    let now = Instant::now();
    if !cluster.has_due_writes(now) {
        return None;
    }
    let (mut ends, mut shards) = cluster.next_writes(&limits, now);
    let mut bytes = 0;
    let end_size = |job: &Arc<JobRecord>| job.json_bytes() + ENDED_RECORD_EXTRA_BYTES + CHANGE_OVERHEAD_BYTES;
    let value_size = |value: &ShardValue| max_shard_bytes(&value.tasks) + CHANGE_OVERHEAD_BYTES;
    let shard_size = |write: &ShardWrite| write.values().map(value_size).sum();
    let excess_ends = ends.split_off(count_fitting(&mut bytes, ends.iter().map(end_size)));
    let excess_shards = shards.split_off(count_fitting(&mut bytes, shards.iter().map(shard_size)));
    let excess_ends: Vec<JobId> = excess_ends.iter().map(|job| job.spec.id.clone()).collect();
    cluster.requeue_writes(&excess_ends, &excess_shards, QueuePosition::First);
    let batch = CommitBatch { ends, shards, at_ms: time_of_day_ms(), max_value_bytes: limits.max_value_bytes };
    (!batch.is_empty()).then_some(batch)
}

/// Stores a batch, retrying until the outcome is definite or the batch has to be parted. Returns false once this
/// controller no longer leads.
async fn store_batch(group_commit: &Arc<GroupCommit>, batch: CommitBatch) -> bool {
    let changes = batch.changes();
    let priority = if batch.ends.is_empty() { RequestPriority::Placement } else { RequestPriority::Critical };
    let mut unanswered = false;
    let mut rate_refused_since = None;
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
                    if now_token.is_none_or(|token| token <= fencing_token) {
                        await_leader(group_commit).await;
                    }
                    continue;
                }
                return resolve_conflicts(group_commit, batch, keys).await;
            }
            Ok(CompareAndSwapOutcome::LeaseExpired) => {}
            Err(StoreError::TooLarge(size)) => {
                put_back(group_commit, batch, &size).await;
                return true;
            }
            Err(StoreError::Unavailable(TOO_MANY_REQUESTS)) => {
                let refused_since = *rate_refused_since.get_or_insert_with(Instant::now);
                if refused_since.elapsed() >= BURST_REFUSAL_TIME && !batch.is_single() {
                    group_commit.store.client.halve_changes_at_once(changes.len());
                    requeue(group_commit, &batch, QueuePosition::First);
                    return true;
                }
            }
            Err(error) => {
                unanswered |= error == StoreError::Unanswered;
                rate_refused_since = None;
                debug!(%error, "transaction failed");
            }
        }
        tokio::time::sleep(jitter(RETRY_DELAY)).await;
    }
}

/// Waits until the watch cache shows the leader. It may be this controller itself, under a fencing token whose
/// acquisition has not been answered yet.
async fn await_leader(group_commit: &GroupCommit) {
    group_commit.store.read_barrier.wait_for_proof().await;
    group_commit.membership.check_deposed();
    group_commit.wakeups.membership.notify_one();
    tokio::time::sleep(jitter(RETRY_DELAY)).await;
}

fn requeue(group_commit: &GroupCommit, batch: &CommitBatch, position: QueuePosition) {
    if let Some(cluster) = group_commit.leader.cluster().as_mut() {
        cluster.requeue_writes(&batch.ended_ids(), &batch.shards, position);
    }
}

/// Puts back a batch that was not stored for its size. Its parts are stored next, half as many at once if the limits do not
/// explain the refusal; what cannot be made smaller waits behind all other writes.
async fn put_back(group_commit: &GroupCommit, batch: CommitBatch, size: &TransactionSize) {
    let client = &group_commit.store.client;
    let is_explained = !client.limits().admits(size);
    // Otherwise one of its values was as large although the limit was known.
    let can_be_cut = size.largest_value_bytes <= batch.max_value_bytes;
    if batch.is_single() || !can_be_cut {
        requeue(group_commit, &batch, QueuePosition::Last);
        tokio::time::sleep(jitter(if is_explained { RETRY_DELAY } else { TOO_LARGE_RETRY_DELAY })).await;
        return;
    }
    requeue(group_commit, &batch, QueuePosition::First);
    if !is_explained {
        client.halve_changes_at_once(size.changes);
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

/// The conditions and changes that delete shards of ended jobs. They require that the jobs are not open: a job whose
/// end was lost and that was restored (`audit`) is open again, and a delayed copy of the deletion must not remove its
/// new bindings.
pub(crate) fn shard_drops(drops: &[(JobId, u64)], fencing_token: u64) -> (Vec<Condition>, Vec<Change>) {
    let jobs: BTreeSet<&JobId> = drops.iter().map(|(id, _)| id).collect();
    let closed = jobs.into_iter().map(|id| Condition::absent(open_key(id)));
    let changes = drops.iter().map(|(id, first_task)| Change::Drop { drop: shard_key(id, *first_task) }).collect();
    (std::iter::once(Condition::at(LEADER_RECORD_KEY, fencing_token)).chain(closed).collect(), changes)
}

/// The shards that are still to be deleted after a rejected deletion: those whose job is not open.
pub(crate) fn remaining_drops(mut drops: Vec<(JobId, u64)>, failed: &[String]) -> Vec<(JobId, u64)> {
    drops.retain(|(id, _)| !failed.contains(&open_key(id)));
    drops
}

/// Deletes shards of ended jobs, as many as the write budget allows.
async fn drop_ended_shards(group_commit: &Arc<GroupCommit>, priority: RequestPriority) {
    let client = &group_commit.store.client;
    let max_drops = client.available_writes(priority).min(client.changes_at_once());
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
