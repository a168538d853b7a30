//! Propagation of changes of the watch cache to the fair-share accounting, the history, the cluster state and the loops
//! that wait for them.

use std::time::Instant;

use super::state::Membership;
use crate::history::upgrade;
use crate::jobs::End;
use crate::jobs::record::time_of_day_ms;
use crate::scheduling::cluster::ClusterState;
use crate::store::StoreError;
use crate::store::watch::WatchObserver;
use crate::store::watch_cache::{CacheChanges, WatchCache};
use crate::sync::lock;

impl Membership {
    /// Propagates changes of the watch cache, in the order accounting and history, cluster state, loops. The watch
    /// cache stays locked from the accounting on, so that the cluster state receives changes in their order.
    fn apply_cache_changes(&self, changes: CacheChanges) {
        if changes.is_empty() {
            self.advance_cluster_revision();
            return;
        }
        if changes.leadership {
            self.wakeups.membership.notify_one();
        }
        if changes.declared {
            self.wakeups.declarations.notify_one();
        }
        let watch_cache = self.store.watch_cache();
        let now = Instant::now();
        if let Some(stored) = watch_cache.confirmed_cancellations() {
            self.history.set_confirmed(stored);
        }
        self.account_for_changes(&changes, &watch_cache, now);
        let mut held = self.leader.cluster();
        if let Some(cluster) = held.as_mut().filter(|cluster| cluster.loaded) {
            self.apply_to_cluster(&changes, &watch_cache, cluster, now);
            self.wakeups.plan.notify_one();
            self.wakeups.dispatch.notify_one();
        }
    }

    /// Records in the cluster state that nothing has changed up to the watch cache's revision.
    fn advance_cluster_revision(&self) {
        let (watch_cache, mut held) = (self.store.watch_cache(), self.leader.cluster());
        if let Some(cluster) = held.as_mut() {
            cluster.record_known_ends(watch_cache.watch_revision());
        }
    }

    /// Records submitted and ended jobs in the accounting and the history.
    fn account_for_changes(&self, changes: &CacheChanges, watch_cache: &WatchCache, now: Instant) {
        let now_ms = time_of_day_ms();
        let mut accounting = self.leader.accounting();
        for record in changes.opened.iter().filter_map(|id| watch_cache.open_job(id)) {
            accounting.record_submission(&record.spec, record.age(now_ms), now);
        }
        for id in &changes.ended {
            self.history.note_end_seen(id, now);
            if let Some(record) = watch_cache.ended_record(id) {
                accounting.record_end(&record, self.history.known_end(id), record.age(now_ms), now);
            }
        }
    }

    /// Applies submitted and ended jobs to the cluster state.
    fn apply_to_cluster(
        &self,
        changes: &CacheChanges,
        watch_cache: &WatchCache,
        cluster: &mut ClusterState,
        now: Instant,
    ) {
        for record in changes.opened.iter().filter_map(|id| watch_cache.open_job(id)) {
            cluster.add_job(record.clone(), now);
        }
        for id in &changes.ended {
            let end = self.history.known_end(id);
            cluster.end_job(id, end, now);
            // Ends that this leader has stored as done need no confirmation; any other end may be a cancellation.
            if end != Some(End::Done) {
                let revision = watch_cache.revision_with_end(id).unwrap_or(watch_cache.revision());
                lock(&self.unconfirmed).observe_end(id, revision);
                self.wakeups.confirmation.notify_one();
            }
        }
        cluster.record_known_ends(watch_cache.watch_revision());
    }
}

impl WatchObserver for Membership {
    fn cache_changed(&self, changes: CacheChanges) {
        self.apply_cache_changes(changes);
    }

    fn cache_proven(&self) {
        self.cache_proven_fresh();
    }

    fn process_pauses(&self) -> u64 {
        self.pauses()
    }

    fn leads(&self) -> bool {
        self.leader.leads()
    }

    async fn upgrade_stored_data(&self) -> Result<(), StoreError> {
        upgrade::run(&self.store.client).await
    }
}
