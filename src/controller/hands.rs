//! Implements `declarations::run::Hands` for a controller: what the driver of declared things may read and do.

use super::Controller;
use crate::declarations::driver::Ended;
use crate::declarations::run::Hands;
use crate::jobs::JobId;
use crate::scheduling::ClusterState;
use crate::store::budget::Urgent;
use crate::store::watch_cache::WatchCache;
use crate::store::{Change, CompareAndSwapOutcome, Condition, StoreError};

impl Hands for Controller {
    fn quiet(&self) -> bool {
        let watch_cache = self.store.watch_cache();
        let nothing = watch_cache.registry().is_empty() && !watch_cache.registry().any_changed();
        nothing && self.leader.cluster().as_ref().is_none_or(|b| b.intents.is_empty())
    }

    fn look<T>(&self, look: impl FnOnce(&mut ClusterState, &mut WatchCache, Ended) -> T) -> Option<T> {
        if self.unproven() {
            return None;
        }
        let (mut watch_cache, mut held) = (self.store.watch_cache(), self.leader.cluster());
        let cluster = held.as_mut()?;
        Some(look(cluster, &mut watch_cache, &|id| self.history.ended(id)))
    }

    fn ask(&self, id: &JobId) {
        self.history.look_up(id);
    }

    fn ready(&self, urgent: Urgent) -> usize {
        self.store.client.writes_ready(urgent)
    }

    async fn store(
        &self,
        conditions: &[Condition],
        changes: &[Change],
        urgent: Urgent,
    ) -> Result<CompareAndSwapOutcome, StoreError> {
        self.store.client.compare_and_swap(conditions, changes, urgent).await
    }

    async fn refused(&self) {
        self.store.read_barrier.wait().await;
        self.check_deposed();
        self.wakeups.membership.notify_one();
    }

    async fn woken(&self) {
        self.wakeups.declarations.notified().await;
    }
}
