//! The client, the watch cache and the read barrier that all parts of one controller share.

use std::sync::{Arc, Mutex, MutexGuard};

use super::StateClient;
use super::read_barrier::ReadBarrier;
use super::watch_cache::WatchCache;
use crate::sync::lock;

/// One controller's access to the state service.
pub struct StateStore {
    /// Client that keeps to this controller's share of the service's rate limits.
    pub client: Arc<StateClient>,
    /// Read barrier, which proves that the watch cache is up to date.
    pub read_barrier: ReadBarrier,
    watch_cache: Mutex<WatchCache>,
}

impl StateStore {
    /// Creates a store whose watch cache is empty.
    pub fn new(client: Arc<StateClient>) -> Self {
        Self { client, read_barrier: ReadBarrier::default(), watch_cache: Mutex::default() }
    }

    /// Locks the watch cache: open jobs, leadership and declarations as the service has reported them. Where the
    /// cluster state is locked as well, this lock is taken first (`membership`). It is never held across an await.
    pub fn watch_cache(&self) -> MutexGuard<'_, WatchCache> {
        lock(&self.watch_cache)
    }
}
