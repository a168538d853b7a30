//! Confirmation of cancellations by this leader to the other controllers and to users (`membership::watermark`).

use std::time::Instant;

use super::state::Membership;
use super::watermark::{self, UnconfirmedCancellations};
use crate::jobs::{End, JobId};
use crate::records::leadership::Watermark;
use crate::sync::lock;

impl Membership {
    /// Records that this leader's cluster state is loaded, with all ends up to `revision`.
    pub fn cluster_state_loaded(&self, revision: u64, now: Instant) {
        let mut unconfirmed = lock(&self.unconfirmed);
        *unconfirmed = UnconfirmedCancellations::default();
        unconfirmed.observe_end(revision, now);
        self.wakeups.mesh.send_replace(());
    }

    /// Returns this leader's watermark: the revision up to which cancellations are in its loaded cluster state and have
    /// taken effect (`cluster::watermark`). None unless this controller is the leader by all that it has observed.
    pub fn watermark(&self) -> Option<Watermark> {
        let (watch_cache, mut held) = (self.store.watch_cache(), self.leader.cluster());
        let cluster = held
            .as_mut()
            .filter(|cluster| cluster.loaded)
            .map(|cluster| (cluster.fencing_token, cluster.advance_watermark()));
        let watermark = watermark::own_watermark(&self.incarnation, cluster, watch_cache.leader_record())?;
        drop((watch_cache, held));
        self.history.advance_watermark(watermark.revision);
        Some(watermark)
    }

    /// Returns this leader's watermark if it is to be stored because another controller has not acknowledged it.
    pub fn watermark_to_store(&self, now: Instant) -> Option<Watermark> {
        let watermark = self.watermark()?;
        let acknowledged = lock(&self.peer_states).acknowledged(&self.settings.peers, now);
        let mut unconfirmed = lock(&self.unconfirmed);
        unconfirmed.record_confirmed(acknowledged, now);
        (unconfirmed.take_store_due(now) || unconfirmed.take_store_due_for_lag(acknowledged, watermark.revision, now))
            .then_some(watermark)
    }

    /// Records that every controller can read a watermark of at least this revision.
    pub fn record_confirmed(&self, watermark: u64, now: Instant) {
        lock(&self.unconfirmed).record_confirmed(watermark, now);
    }

    /// Returns the fencing token under which a cancellation stored by this leader may be confirmed to its user at once;
    /// none while this controller doesn't lead with a loaded cluster state.
    pub fn cancellation_fencing_token(&self) -> Option<u64> {
        self.leader.cluster().as_ref().filter(|cluster| cluster.loaded).map(|cluster| cluster.fencing_token)
    }

    /// Applies a cancellation that was stored while this controller led under this fencing token. Returns true if its
    /// cluster state includes the cancellation now, no machine may run the job for an earlier leader, and no launch of
    /// it is in flight: a leader that has started since has read the cancellation.
    pub fn apply_cancellation(&self, id: &JobId, fencing_token: u64) -> bool {
        let mut held = self.leader.cluster();
        let Some(cluster) =
            held.as_mut().filter(|cluster| cluster.loaded && cluster.first_fencing_token <= fencing_token)
        else {
            return false;
        };
        cluster.end_job(id, Some(End::Cancelled), Instant::now());
        let is_effective = cluster.cancellation_effective(id);
        drop(held);
        self.wakeups.dispatch.notify_one();
        if is_effective {
            self.history.mark_visible(id);
        }
        is_effective
    }
}
