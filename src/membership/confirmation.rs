//! Cancellations that this leader confirms to the other controllers and to users (`membership::watermark`).

use std::time::Instant;

use super::state::Membership;
use super::watermark::{self, UnconfirmedCancellations};
use crate::jobs::{End, JobId};
use crate::records::leadership::Watermark;
use crate::sync::lock;

impl Membership {
    /// This leader's cluster state is loaded, with all ends up to this revision.
    pub fn cluster_state_loaded(&self, known: u64, now: Instant) {
        let mut unconfirmed = lock(&self.unconfirmed);
        *unconfirmed = UnconfirmedCancellations::default();
        unconfirmed.observe_end(known, now);
        self.wakeups.mesh.send_replace(());
    }

    /// As the leader: up to which revision cancellations are in its loaded cluster state, and obeyed
    /// (`cluster::watermark`). None while it is not sure to be the one that is the leader, by all that it has heard.
    pub fn watermark(&self) -> Option<Watermark> {
        let (watch_cache, mut held) = (self.store.watch_cache(), self.leader.cluster());
        let cluster = held.as_mut().filter(|b| b.loaded).map(|b| (b.fencing_token, b.advance_watermark()));
        let watermark = watermark::own_watermark(&self.incarnation, cluster, watch_cache.leader_record())?;
        drop((watch_cache, held));
        self.history.advance_watermark(watermark.revision);
        Some(watermark)
    }

    /// The same where it is to be stored, since another controller has not acknowledged it.
    pub fn watermark_to_store(&self, now: Instant) -> Option<Watermark> {
        let watermark = self.watermark()?;
        let acknowledged = lock(&self.peer_states).acknowledged(&self.settings.peers, now);
        let mut unconfirmed = lock(&self.unconfirmed);
        unconfirmed.record_confirmed(acknowledged, now);
        (unconfirmed.take_store_due(now) || unconfirmed.peer_lags(acknowledged, watermark.revision, now))
            .then_some(watermark)
    }

    /// Every controller can read a watermark this high.
    pub fn record_confirmed(&self, watermark: u64, now: Instant) {
        lock(&self.unconfirmed).record_confirmed(watermark, now);
    }

    /// The fencing token under which a cancellation that is stored by this leader may be told at once.
    pub fn cancellation_fencing_token(&self) -> Option<u64> {
        self.leader.cluster().as_ref().filter(|b| b.loaded).map(|b| b.fencing_token)
    }

    /// A cancellation was stored while this controller led under this fencing token. True if its cluster state has it
    /// now, no machine may run it for an earlier leader, and no launch of it is in flight: a leader that came since has
    /// read it.
    pub fn apply_cancellation(&self, id: &JobId, fencing_token: u64) -> bool {
        let mut held = self.leader.cluster();
        let Some(cluster) = held.as_mut().filter(|b| b.loaded && b.first_fencing_token <= fencing_token) else {
            return false;
        };
        cluster.end_job(id, Some(End::Cancelled), Instant::now());
        let obeyed = cluster.cancellation_effective(id);
        drop(held);
        self.wakeups.dispatch.notify_one();
        if obeyed {
            self.history.mark_visible(id);
        }
        obeyed
    }
}
