//! Leadership: starting and aborting the loops of the leader, and stepping down for another controller.

use std::sync::atomic::Ordering;
use std::time::Instant;

use tracing::{info, warn};

use super::state::Membership;
use crate::records::leadership::TakeoverRequest;
use crate::scheduling::cluster::ClusterState;
use crate::scheduling::messages::MessageSequence;
use crate::store::budget::RequestPriority;
use crate::sync::lock;

impl Membership {
    /// Starts leading under this fencing token, or raises the token if this controller leads already. The stored leader
    /// record names this process.
    pub fn become_leader(&self, fencing_token: u64) {
        self.want_new_fencing_token_for_orders(false);
        let mut held = self.leader.cluster();
        if let Some(cluster) = held.as_mut() {
            cluster.raise_fencing_token(fencing_token);
            info!(fencing_token, "fencing token raised");
            return;
        }
        info!(fencing_token, "leadership acquired");
        if let Some((service_levels, received_at)) = lock(&self.peer_states).service_levels.take() {
            self.leader.accounting().inherit_starts(&service_levels, received_at);
        }
        *held = Some(ClusterState::new(
            fencing_token,
            (*self.settings).clone(),
            (*self.properties).clone(),
            Instant::now(),
        ));
        drop(held);
        self.update_store_shares();
        let Some(start) = self.start_leader_loops.get() else { return };
        lock(&self.leader_tasks).extend(start());
    }

    /// Stops leading at once because a newer leader has replaced this one.
    pub fn step_down(&self, reason: &str) {
        let cluster = self.leader.cluster().take();
        if let Some(cluster) = cluster {
            warn!(
                fencing_token = cluster.fencing_token,
                reason, "leadership lost; stopping all scheduling on this controller"
            );
            for task in lock(&self.leader_tasks).drain(..) {
                task.abort();
            }
            self.update_store_shares();
        }
    }

    /// Steps down if the watch cache holds a newer leader record of another process.
    pub fn check_deposed(&self) {
        let newer = self
            .store
            .watch_cache()
            .leader_record()
            .filter(|(leader, _)| leader.incarnation != self.incarnation)
            .map(|(_, version)| *version);
        let fencing_token = self.leader.cluster().as_ref().map(|cluster| cluster.fencing_token);
        if let (Some(newer), Some(fencing_token)) = (newer, fencing_token)
            && newer > fencing_token
        {
            self.step_down("newer leader record seen");
        }
    }

    /// Returns whether the leader's fencing token is to be raised, to make commands void or to allow the marks of
    /// orders to be dropped.
    pub fn new_fencing_token_wanted(&self) -> bool {
        let marks = self.orders_want_new_fencing_token.load(Ordering::Relaxed);
        self.leader
            .cluster()
            .as_ref()
            .is_some_and(|cluster| cluster.token_raise_needed(Instant::now()) || (marks && cluster.loaded))
    }

    /// Sets whether so many orders are marked as done that a higher fencing token is needed, under which they can be
    /// dropped.
    pub fn want_new_fencing_token_for_orders(&self, wanted: bool) {
        self.orders_want_new_fencing_token.store(wanted, Ordering::Relaxed);
    }

    /// Records that a worker was redirected to the leader. If workers keep coming back, a takeover request is written
    /// to the store for the leader, which must still reach the store since it renews its lease.
    pub fn record_redirect(&self, machine: &str, heartbeat: MessageSequence, now: Instant) {
        let Some(machines) = lock(&self.unreachable_leader).record_redirect(machine, heartbeat, now) else { return };
        let Some(fencing_token) = self.store.watch_cache().leader_record().map(|(_, version)| *version) else { return };
        warn!(count = machines, "leader unreachable for workers; requesting a takeover");
        let takeover_request = TakeoverRequest { node: self.settings.node.clone(), fencing_token, machines };
        let store = self.store.clone();
        tokio::spawn(async move {
            let (conditions, changes) = takeover_request.transaction();
            let _ = store.client.compare_and_swap(&conditions, &changes, RequestPriority::Critical).await;
        });
    }

    /// Returns the version of the stored takeover request if it names this leader and this leader has lost contact with
    /// most of its machines.
    pub fn takeover_request_to_answer(&self, now: Instant) -> Option<u64> {
        let (takeover_request, version) = self.store.watch_cache().takeover_request().cloned()?;
        let lost = self.leader.cluster().as_ref().is_some_and(|cluster| {
            cluster.fencing_token == takeover_request.fencing_token && cluster.most_machines_lost(now)
        });
        lost.then_some(version)
    }

    /// Returns the controller that workers should report to, as far as known here.
    pub fn leader_node(&self) -> Option<String> {
        let watch_cache = self.store.watch_cache();
        watch_cache.lease_holder()?;
        watch_cache.leader_record().map(|(leader, _)| leader.node.clone())
    }
}
