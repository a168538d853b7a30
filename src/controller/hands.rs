//! Implements `declarations::run::DeclarationContext` for a controller: what the driver of declared things may read and do.

use super::Controller;
use crate::declarations::driver::JobEnds;
use crate::declarations::run::DeclarationContext;
use crate::jobs::JobId;
use crate::scheduling::ClusterState;
use crate::store::budget::RequestPriority;
use crate::store::watch_cache::WatchCache;
use crate::store::{Change, CompareAndSwapOutcome, Condition, StoreError};

impl DeclarationContext for Controller {
    fn is_idle(&self) -> bool {
        let watch_cache = self.store.watch_cache();
        let nothing = watch_cache.registry().is_empty() && !watch_cache.registry().has_status_changes();
        nothing && self.leader.cluster().as_ref().is_none_or(|b| b.intents.is_empty())
    }

    fn with_state<T>(&self, look: impl FnOnce(&mut ClusterState, &mut WatchCache, JobEnds) -> T) -> Option<T> {
        if self.unproven() {
            return None;
        }
        let (mut watch_cache, mut held) = (self.store.watch_cache(), self.leader.cluster());
        let cluster = held.as_mut()?;
        Some(look(cluster, &mut watch_cache, &|id| self.history.ended(id)))
    }

    fn query_job_end(&self, id: &JobId) {
        self.history.look_up(id);
    }

    fn writable_changes(&self, urgent: RequestPriority) -> usize {
        self.store.client.writes_ready(urgent)
    }

    async fn compare_and_swap(
        &self,
        conditions: &[Condition],
        changes: &[Change],
        urgent: RequestPriority,
    ) -> Result<CompareAndSwapOutcome, StoreError> {
        self.store.client.compare_and_swap(conditions, changes, urgent).await
    }

    async fn refresh_after_conflict(&self) {
        self.store.read_barrier.wait().await;
        self.check_deposed();
        self.wakeups.membership.notify_one();
    }

    async fn wait_for_change(&self) {
        self.wakeups.declarations.notified().await;
    }
}
