//! Transactions of the group commit that were rejected for the versions of their keys.

use std::sync::Arc;

use tracing::debug;

use super::{CommitBatch, GroupCommit, RETRY_DELAY, record_end, requeue};
use crate::history::job_transactions::find_end;
use crate::jobs::record::{decode_shard, shard_key};
use crate::scheduling::cluster::{FoundShard, QueuePosition, ShardWrite};
use crate::store::budget::RequestPriority;
use crate::sync::jitter;

/// Resolves a rejected transaction: reads each key with an unexpected version, and decides by its value. Returns false
/// once this controller no longer leads.
pub(super) async fn resolve_conflicts(group_commit: &Arc<GroupCommit>, batch: CommitBatch, keys: Vec<String>) -> bool {
    for id in batch.jobs() {
        if let Some(end) = find_end(&keys, id) {
            record_end(group_commit, id, end);
        }
    }
    for write in &batch.shards {
        let rejected = write.values().any(|value| keys.contains(&shard_key(&write.job, value.first_task)));
        if rejected && !resolve_shard_conflict(group_commit, write).await {
            return false;
        }
    }
    requeue(group_commit, &batch, QueuePosition::First);
    group_commit.wakeups.dispatch.notify_one();
    true
}

/// Reads the keys of a shard write of which some have unexpected versions, and decides by what is stored. Returns false
/// once this controller no longer leads.
async fn resolve_shard_conflict(group_commit: &GroupCommit, write: &ShardWrite) -> bool {
    let mut stored = Vec::new();
    for value in write.values() {
        let Some(item) = read_shard(group_commit, &shard_key(&write.job, value.first_task)).await else { return false };
        stored.push(item);
    }
    let mut guard = group_commit.leader.cluster();
    let Some(cluster) = guard.as_mut() else { return false };
    cluster.resolve_rejected_shard(write, &stored);
    true
}

/// Reads a stored shard. None once this controller no longer leads.
async fn read_shard(group_commit: &GroupCommit, key: &str) -> Option<FoundShard> {
    loop {
        if group_commit.leader.cluster().is_none() {
            return None;
        }
        match group_commit.store.client.get(key, RequestPriority::Critical).await {
            Ok(item) => {
                let version = item.as_ref().map_or(0, |item| item.version);
                return Some(FoundShard { version, tasks: item.and_then(|item| decode_shard(&item.value)) });
            }
            Err(error) => {
                debug!(%error, key, "task shard read failed while resolving a rejected transaction");
                tokio::time::sleep(jitter(RETRY_DELAY)).await;
            }
        }
    }
}
