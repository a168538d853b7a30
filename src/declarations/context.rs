//! Connects the declaration controller loop to this controller's store, cluster state and membership, and the scheduler
//! to the intents of declarations.

use std::sync::Arc;
use std::time::Instant;

use super::driver::{self, JobEnds};
use super::run::DeclarationContext;
use super::table::KINDS;
use crate::history::job_history::JobHistory;
use crate::jobs::JobId;
use crate::jobs::record::time_of_day_ms;
use crate::membership::Membership;
use crate::scheduling::cluster::ClusterState;
use crate::scheduling::leader_state::LeaderState;
use crate::scheduling::scheduler::IntentSource;
use crate::store::budget::RequestPriority;
use crate::store::handle::StateStore;
use crate::store::watch_cache::WatchCache;
use crate::store::{Change, CompareAndSwapOutcome, Condition, StoreError};
use crate::wakeups::Wakeups;

/// The components of one controller that declarations use.
pub struct DeclarationState {
    /// Access to the state service; its watch cache holds the declarations.
    pub store: Arc<StateStore>,
    /// How jobs ended.
    pub history: Arc<JobHistory>,
    /// Tells whether this controller may act as the leader.
    pub membership: Arc<Membership>,
    /// The leader's cluster state, which receives the intents of declarations.
    pub leader: Arc<LeaderState>,
    /// Wakes the declaration loop, and the election when another controller may be the leader.
    pub wakeups: Arc<Wakeups>,
}

impl IntentSource for DeclarationState {
    fn refresh_intents(&self, cluster: &mut ClusterState, watch_cache: &WatchCache, now: Instant) {
        driver::refresh_intents(
            KINDS,
            cluster,
            watch_cache.registry(),
            &|id| self.history.known_end(id),
            now,
            time_of_day_ms(),
        );
    }
}

impl DeclarationContext for DeclarationState {
    fn is_idle(&self) -> bool {
        let watch_cache = self.store.watch_cache();
        let nothing_declared = watch_cache.registry().is_empty() && !watch_cache.registry().has_status_changes();
        nothing_declared && self.leader.cluster().as_ref().is_none_or(|cluster| cluster.intents.is_empty())
    }

    fn with_state<T>(&self, action: impl FnOnce(&mut ClusterState, &mut WatchCache, JobEnds) -> T) -> Option<T> {
        if self.membership.unproven() {
            return None;
        }
        let (mut watch_cache, mut cluster_guard) = (self.store.watch_cache(), self.leader.cluster());
        let cluster = cluster_guard.as_mut()?;
        Some(action(cluster, &mut watch_cache, &|id| self.history.known_end(id)))
    }

    fn query_job_end(&self, id: &JobId) {
        self.history.prefetch_end(id);
    }

    fn writable_changes(&self, priority: RequestPriority) -> usize {
        self.store.client.available_writes(priority)
    }

    fn max_value_bytes(&self) -> usize {
        self.store.client.limits().max_value_bytes
    }

    async fn compare_and_swap(
        &self,
        conditions: &[Condition],
        changes: &[Change],
        priority: RequestPriority,
    ) -> Result<CompareAndSwapOutcome, StoreError> {
        self.store.client.compare_and_swap(conditions, changes, priority).await
    }

    async fn refresh_after_conflict(&self) {
        self.store.read_barrier.wait_for_proof().await;
        self.membership.check_deposed();
        self.wakeups.membership.notify_one();
    }

    async fn wait_for_change(&self) {
        self.wakeups.declarations.notified().await;
    }
}
