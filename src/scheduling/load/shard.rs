//! Task shards read from the store.

use std::time::Instant;

use tracing::error;

use crate::jobs::JobId;
use crate::jobs::record::{StoredTask, decode_shard, parse_shard_key};
use crate::scheduling::cluster::ClusterState;
use crate::store::client::KeyValue;

/// A task shard as it was read from the store.
pub(super) struct Shard {
    /// The job whose tasks these are.
    pub(super) job: JobId,
    /// The number of the shard's first task.
    pub(super) first_task: u64,
    /// The version of the shard's key.
    pub(super) version: u64,
    /// The stored tasks; None if they cannot be decoded.
    pub(super) tasks: Option<Vec<StoredTask>>,
}

impl Shard {
    /// Decodes a stored key and value. None if the key does not name a shard.
    pub(super) fn from_item(item: KeyValue) -> Option<Self> {
        let Some((job, first_task)) = parse_shard_key(&item.path) else {
            error!(key = item.path, "stored key not recognized; ignoring it");
            return None;
        };
        let tasks = decode_shard(&item.value);
        if tasks.is_none() {
            error!(key = item.path, "stored task shard not decoded; suspending its job if it is open");
        }
        Some(Self { job: job.into(), first_task, version: item.version, tasks })
    }

    /// Whether the shard shows a task bound to a machine; false if it cannot be decoded.
    pub(super) fn has_bound_task(&self) -> bool {
        self.tasks.iter().flatten().any(|t| matches!(t, StoredTask::Bound(..)))
    }

    /// Loads the shard into the cluster state, which holds its job.
    pub(super) fn load_into(self, cluster: &mut ClusterState, now: Instant) {
        match self.tasks {
            Some(tasks) => cluster.load_shard(&self.job, self.first_task, self.version, tasks, now),
            None => cluster.load_unreadable_shard(&self.job, self.first_task, self.version, now),
        }
    }
}
