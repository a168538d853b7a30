//! A task shard as it was read from the store.

use std::time::Instant;

use tracing::error;

use crate::jobs::JobId;
use crate::jobs::record::{StoredTask, decode_shard, parse_shard_key};
use crate::scheduling::cluster::ClusterState;
use crate::store::client::KeyValue;

/// One shard as it was read.
pub(super) struct Shard {
    pub(super) job: JobId,
    pub(super) number: u64,
    /// The version of its key.
    pub(super) version: u64,
    /// None if they cannot be read.
    pub(super) tasks: Option<Vec<StoredTask>>,
}

impl Shard {
    /// None if the key names no shard.
    pub(super) fn from_item(item: KeyValue) -> Option<Self> {
        let Some((job, number)) = parse_shard_key(&item.path) else {
            error!(key = item.path, "stored key not recognized; ignoring it");
            return None;
        };
        let tasks = decode_shard(&item.value);
        if tasks.is_none() {
            error!(key = item.path, "stored task shard not decoded; suspending its job if it is open");
        }
        Some(Self { job: job.into(), number, version: item.version, tasks })
    }

    /// Whether a machine is known to have held a task of it.
    pub(super) fn has_bound_task(&self) -> bool {
        self.tasks.iter().flatten().any(|t| matches!(t, StoredTask::Bound(..)))
    }

    /// Takes it into the cluster state, which holds its job.
    pub(super) fn load_into(self, cluster: &mut ClusterState, now: Instant) {
        match self.tasks {
            Some(tasks) => cluster.load_shard(&self.job, self.number, self.version, tasks, now),
            None => cluster.load_unreadable_shard(&self.job, self.number, self.version, now),
        }
    }
}
