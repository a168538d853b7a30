//! Leadership of teams and machines: starting the leader's tasks, ending them, and stepping down for another
//! controller.

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
    /// This controller's record stands as the leader record, under this fencing token.
    pub fn become_leader(&self, fencing_token: u64) {
        self.want_new_fencing_token_for_orders(false);
        let mut held = self.leader.cluster();
        if let Some(cluster) = held.as_mut() {
            cluster.raise_fencing_token(fencing_token);
            info!(fencing_token, "fencing token raised");
            return;
        }
        info!(fencing_token, "leadership acquired");
        if let Some((rows, told)) = lock(&self.peer_states).served.take() {
            self.leader.accounting().inherit_starts(&rows, told);
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

    /// Stops leading at once: somebody newer does.
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

    /// Compares the cluster state's fencing token with the leader record as cached.
    pub fn check_deposed(&self) {
        let newer = self
            .store
            .watch_cache()
            .leader_record()
            .filter(|(a, _)| a.incarnation != self.incarnation)
            .map(|(_, version)| *version);
        let fencing_token = self.leader.cluster().as_ref().map(|b| b.fencing_token);
        if let (Some(newer), Some(fencing_token)) = (newer, fencing_token)
            && newer > fencing_token
        {
            self.step_down("newer leader record seen");
        }
    }

    /// Whether the leader's fencing token is to be raised: commands are to be made void, or marks of orders to be
    /// dropped.
    pub fn new_fencing_token_wanted(&self) -> bool {
        let marks = self.orders_want_new_fencing_token.load(Ordering::Relaxed);
        self.leader.cluster().as_ref().is_some_and(|b| b.token_raise_needed(Instant::now()) || (marks && b.loaded))
    }

    /// Whether so many orders are marked as done that a higher fencing token is wanted, under which they can be
    /// dropped.
    pub fn want_new_fencing_token_for_orders(&self, pressed: bool) {
        self.orders_want_new_fencing_token.store(pressed, Ordering::Relaxed);
    }

    /// A worker was sent to the leader. If workers keep coming back, the leader is told through the
    /// store, which it must still reach since it holds its lease.
    pub fn record_redirect(&self, machine: &str, heartbeat: MessageSequence, now: Instant) {
        let Some(machines) = lock(&self.unreachable_leader).note(machine, heartbeat, now) else { return };
        let Some(fencing_token) = self.store.watch_cache().leader_record().map(|(_, version)| *version) else { return };
        warn!(count = machines, "leader unreachable for workers; requesting a takeover");
        let takeover_request = TakeoverRequest { node: self.settings.node.clone(), fencing_token, machines };
        let store = self.store.clone();
        tokio::spawn(async move {
            let (conditions, changes) = takeover_request.transaction();
            let _ = store.client.compare_and_swap(&conditions, &changes, RequestPriority::Critical).await;
        });
    }

    /// The version of a takeover request of another controller for workers that this leader has indeed lost.
    pub fn takeover_request_to_answer(&self, now: Instant) -> Option<u64> {
        let (takeover_request, version) = self.store.watch_cache().takeover_request().cloned()?;
        let lost = self
            .leader
            .cluster()
            .as_ref()
            .is_some_and(|b| b.fencing_token == takeover_request.fencing_token && b.most_machines_lost(now));
        lost.then_some(version)
    }

    /// The node that workers should report to, as far as known here.
    pub fn leader_node(&self) -> Option<String> {
        let watch_cache = self.store.watch_cache();
        watch_cache.lease_holder()?;
        watch_cache.leader_record().map(|(a, _)| a.node.clone())
    }
}
