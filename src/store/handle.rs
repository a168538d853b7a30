//! What one controller shares of the state service: its client, the watch cache and the read barrier.

use std::sync::{Arc, Mutex, MutexGuard};

use super::StateClient;
use super::read_barrier::ReadBarrier;
use super::watch_cache::WatchCache;
use crate::sync::lock;

/// The state service as one controller sees it.
pub struct StateStore {
    /// The client, which keeps to this controller's share of the service's limits.
    pub client: Arc<StateClient>,
    /// Proofs that the watch cache is up to date.
    pub read_barrier: ReadBarrier,
    watch_cache: Mutex<WatchCache>,
}

impl StateStore {
    /// A state service of which nothing has been read yet.
    pub fn new(client: Arc<StateClient>) -> Self {
        Self { client, read_barrier: ReadBarrier::default(), watch_cache: Mutex::default() }
    }

    /// Open jobs, leadership and declarations as the service has reported them. Locked before the cluster state where
    /// both are held (`membership`), and never across an await.
    pub fn watch_cache(&self) -> MutexGuard<'_, WatchCache> {
        lock(&self.watch_cache)
    }
}
