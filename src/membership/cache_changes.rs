//! Passes on changes of the watch cache to the cluster state, the history, the account of who is served, and the tasks
//! that wait for them.

use std::time::Instant;

use super::state::Membership;
use crate::history::upgrade;
use crate::jobs::End;
use crate::jobs::record::time_of_day_ms;
use crate::store::StoreError;
use crate::store::watch::WatchObserver;
use crate::store::watch_cache::CacheChanges;
use crate::sync::lock;

impl Membership {
    /// Hands what the watch cache learned to whoever acts on it.
    pub(super) fn apply_cache_changes(&self, news: CacheChanges) {
        if news.is_empty() {
            let (watch_cache, mut held) = (self.store.watch_cache(), self.leader.cluster());
            if let Some(cluster) = held.as_mut() {
                cluster.holds_ends(watch_cache.watch_revision());
            }
            return;
        }
        if news.leadership {
            self.wakeups.membership.notify_one();
        }
        if news.declared {
            self.wakeups.declarations.notify_one();
        }
        let watch_cache = self.store.watch_cache();
        let (now, now_ms) = (Instant::now(), time_of_day_ms());
        if let Some(stored) = watch_cache.watermark() {
            self.history.advance_watermark(stored.revision);
        }
        {
            let mut served = self.leader.accounting();
            for record in news.opened.iter().filter_map(|id| watch_cache.open_job(id)) {
                served.offered(&record.spec, record.age(now_ms), now);
            }
            for id in &news.ended {
                self.history.note_end_seen(id, now);
                if let Some(record) = watch_cache.ended_record(id) {
                    served.ended(&record, self.history.ended(id), record.age(now_ms), now);
                }
            }
        }
        let mut held = self.leader.cluster();
        if let Some(cluster) = held.as_mut().filter(|b| b.loaded) {
            for id in &news.opened {
                if let Some(record) = watch_cache.open_job(id) {
                    cluster.add_job(record.clone(), now);
                }
            }
            for id in &news.ended {
                let how = self.history.ended(id);
                cluster.end_job(id, how, now);
                // What this leader has stored as done needs no confirmation; of the rest any may be cancelled.
                if how != Some(End::Done) {
                    lock(&self.unconfirmed)
                        .heard(watch_cache.revision_with_end(id).unwrap_or(watch_cache.revision()), now);
                    self.wakeups.mesh.send_replace(());
                }
            }
            cluster.holds_ends(watch_cache.watch_revision());
            self.wakeups.plan.notify_one();
            self.wakeups.dispatch.notify_one();
        }
    }
}

impl WatchObserver for Membership {
    fn cache_changed(&self, changes: CacheChanges) {
        self.apply_cache_changes(changes);
    }

    fn cache_proven(&self) {
        self.proven();
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
