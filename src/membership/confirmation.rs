//! Confirmation of cancellations by the leader (`membership::watermark`).

use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::{debug, warn};

use super::state::Membership;
use super::watermark::{UnconfirmedCancellations, WatermarkStall, own_watermark};
use crate::jobs::record::{LEADER_RECORD_KEY, WATERMARK_KEY};
use crate::jobs::{End, JobId};
use crate::records::leadership::{ConfirmedCancellations, Watermark};
use crate::store::budget::RequestPriority;
use crate::store::{Change, CompareAndSwapOutcome, Condition};
use crate::sync::lock;

/// Time between two checks while nothing wakes the loop: a machine's report may make a cancellation effective.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Bytes of the stored value that the ids of held cancellations may not take.
const VALUE_BYTES_WITHOUT_HELD: usize = 256;

/// A write of the confirmed cancellations.
struct ConfirmationWrite {
    confirmed: ConfirmedCancellations,
    /// Version of the key that the write replaces.
    replaced_version: u64,
}

/// Condition and change that store the confirmed cancellations in place of those of this version. With the condition on
/// the leader record, no deposed leader confirms anything; with that on the version, no late copy takes a confirmation
/// back.
pub(crate) fn confirmation_write(
    confirmed: &ConfirmedCancellations,
    replaced_version: u64,
) -> ([Condition; 2], Change) {
    let value = serde_json::to_value(confirmed).unwrap_or_default();
    let conditions = [
        Condition::at(LEADER_RECORD_KEY, confirmed.watermark.fencing_token),
        Condition::at(WATERMARK_KEY, replaced_version),
    ];
    (conditions, Change::write(WATERMARK_KEY, value))
}

/// Stores confirmations while this controller leads, and logs cancellations that stay unconfirmed, for ever.
pub async fn run(membership: Arc<Membership>) {
    let mut stall = WatermarkStall::default();
    loop {
        let _ = tokio::time::timeout(CHECK_INTERVAL, membership.wakeups.confirmation.notified()).await;
        log_stall(&membership, &mut stall);
        if let Some(write) = membership.confirmation_to_store(Instant::now()) {
            store_confirmation(&membership, write).await;
        }
    }
}

fn log_stall(membership: &Membership, stall: &mut WatermarkStall) {
    let waiting = membership.history.hidden_cancellations().above_watermark;
    if let Some(stalled_for) = stall.due_for_log(waiting, membership.history.watermark(), Instant::now()) {
        warn!(
            waiting,
            for_s = stalled_for.as_secs(),
            leader = membership.leader_node(),
            held = membership.store.watch_cache().confirmed_cancellations().map_or(0, |stored| stored.held.len()),
            "cancellations unconfirmed by the leader; answering requests to cancel with 503"
        );
    }
}

/// Stores confirmations, and lets the watch report them to this controller like to any other.
async fn store_confirmation(membership: &Membership, write: ConfirmationWrite) {
    let (conditions, change) = confirmation_write(&write.confirmed, write.replaced_version);
    let outcome = membership.store.client.compare_and_swap(&conditions, &[change], RequestPriority::Critical).await;
    match outcome {
        Ok(CompareAndSwapOutcome::Applied(revision)) => {
            let (through, held) = (write.confirmed.last_revision(), write.confirmed.held.len());
            debug!(revision, through, held, "cancellations confirmed");
        }
        outcome => debug!(?outcome, "confirmation write failed"),
    }
    // Whatever the outcome, the next write needs the version that the key has now.
    membership.store.read_barrier.wait_for_proof().await;
}

impl Membership {
    /// Records that this leader's cluster state is loaded, with all ends up to `revision`.
    pub fn cluster_state_loaded(&self, revision: u64) {
        *lock(&self.unconfirmed) = UnconfirmedCancellations::after_load(revision);
        self.wakeups.confirmation.notify_one();
    }

    /// Returns the watermark that this leader tells the other controllers: the one that is stored. None unless this
    /// controller is the leader by all that it has observed.
    pub fn watermark(&self) -> Option<Watermark> {
        let (watch_cache, held) = (self.store.watch_cache(), self.leader.cluster());
        let stored = watch_cache.watermark().map_or(0, |stored| stored.revision);
        let cluster = held.as_ref().filter(|cluster| cluster.loaded).map(|cluster| (cluster.fencing_token, stored));
        own_watermark(&self.incarnation, cluster, watch_cache.leader_record())
    }

    /// Returns what this leader is to store now so that cancellations are confirmed.
    fn confirmation_to_store(&self, now: Instant) -> Option<ConfirmationWrite> {
        let max_held_bytes = self.store.client.limits().max_value_bytes.saturating_sub(VALUE_BYTES_WITHOUT_HELD);
        let (watch_cache, mut held) = (self.store.watch_cache(), self.leader.cluster());
        let cluster = held.as_mut().filter(|cluster| cluster.loaded)?;
        own_watermark(&self.incarnation, Some((cluster.fencing_token, 0)), watch_cache.leader_record())?;
        let stored = watch_cache.confirmed_cancellations();
        let confirmed = cluster.confirmable_cancellations(stored, max_held_bytes)?;
        drop(held);
        let acknowledged = lock(&self.peer_states).acknowledged(&self.settings.peers, now);
        let mut unconfirmed = lock(&self.unconfirmed);
        unconfirmed.forget(|id| self.history.known_end(id) == Some(End::Done));
        let due = unconfirmed.take_store_due(stored, &confirmed, now)
            || unconfirmed.take_store_due_for_lag(acknowledged, confirmed.last_revision(), now);
        due.then(|| ConfirmationWrite { confirmed, replaced_version: watch_cache.confirmed_cancellations_version() })
    }

    /// Returns the fencing token of this leader; none while this controller doesn't lead with a loaded cluster state.
    pub fn cancellation_fencing_token(&self) -> Option<u64> {
        self.leader.cluster().as_ref().filter(|cluster| cluster.loaded).map(|cluster| cluster.fencing_token)
    }

    /// Applies a cancellation that was stored while this controller led under this fencing token, ahead of the watch.
    pub fn apply_cancellation(&self, id: &JobId, fencing_token: u64) {
        if let Some(cluster) = self
            .leader
            .cluster()
            .as_mut()
            .filter(|cluster| cluster.loaded && cluster.first_fencing_token <= fencing_token)
        {
            cluster.end_job(id, Some(End::Cancelled), Instant::now());
        }
        self.wakeups.dispatch.notify_one();
    }
}
