//! Faults of the model: one-way partitions of machines, late copies of heartbeats, leaders that lose the store but not
//! their workers, and leaders that restart at once.

use std::time::Duration;

use rand::Rng;

use super::LEADER_LEASE;
use super::leaders::Leader;
use super::messages::{Message, SentHeartbeat};
use super::workers::Worker;
use super::world::World;
use crate::protocol::workers::Heartbeat;
use crate::scheduling::cluster::Placement;

/// Consecutive prompt answers with news and without effect after which a leader must have detected a one-way partition
/// of the machine.
const DETECTION_ANSWERS: u32 = 5;

impl World {
    /// Sends up to three late copies of a heartbeat, out of order and delayed from a second to far beyond a lease.
    pub(super) fn send_late_copies(&mut self, heartbeat: &Heartbeat) {
        if self.fault_free || !self.rng.random_bool(0.08) {
            return;
        }
        for _ in 0..self.rng.random_range(1..4) {
            let due = self.now + Duration::from_millis(self.rng.random_range(1000..120_000));
            self.messages.push((
                due,
                Message::Heartbeat(SentHeartbeat { to: 0, heartbeat: heartbeat.clone(), sent: self.now, copy: true }),
            ));
            self.late_copies += 1;
        }
    }

    /// Draws the controller that a late copy reaches: mostly the current leader.
    pub(super) fn draw_copy_recipient(&mut self) -> usize {
        if self.rng.random_bool(0.8) { self.leader } else { self.rng.random_range(0..self.leaders.len()) }
    }

    /// Draws one-way partitions of machines, partitions of the leader and restarts of the leader.
    pub(super) fn draw_partitions_and_restarts(&mut self) {
        let now = self.now;
        if self.rng.random_bool(0.006) {
            // For a time below or above the lease, or for ever; one machine, or half of them.
            let w = self.rng.random_range(0..self.workers.len());
            let duration_s = [8, 20, 27, 60, 100_000][self.rng.random_range(0..5usize)];
            let half = duration_s < 1000 && self.rng.random_bool(0.2);
            let lost_for_ever = |w: &Worker| !w.terminated && w.inbound_lost_until > now + Duration::from_secs(1000);
            // Two of six machines that never hear again do not yet suggest that the leader itself is partitioned.
            if duration_s < 1000 || self.workers.iter().filter(|w| lost_for_ever(w)).count() < 2 {
                for (n, worker) in self.workers.iter_mut().enumerate() {
                    if n == w || (half && n % 2 == w % 2) {
                        worker.inbound_lost_until =
                            worker.inbound_lost_until.max(now + Duration::from_secs(duration_s));
                        self.inbound_partitions += 1;
                    }
                }
            }
        }
        if self.rng.random_bool(0.004) {
            // The leader loses the store and the other controllers but not the workers; about half of these stay with
            // it.
            let until = now + Duration::from_millis(self.rng.random_range(500..60_000));
            let current = self.leader;
            if let Some(leader) = self.leaders[current].as_mut().filter(|o| o.store_partition.is_none()) {
                leader.store_partition = Some((now, until));
                leader.membership.reaches_peers = false;
                self.leader_partitions += 1;
                for worker in self.workers.iter_mut() {
                    worker.preferred_leader = self.rng.random_bool(0.5).then_some(current);
                }
            }
        }
        if self.rng.random_bool(if self.users.enabled { 0.001 } else { 0.006 }) && self.leaders[self.leader].is_some() {
            self.restart_leader();
        }
    }

    /// Restarts the leader's process at its address as another controller: at times before another is elected, at times
    /// once its former election lease has expired.
    fn restart_leader(&mut self) {
        let current = self.leader;
        let Some(ended) = self.leaders[current].take() else { return };
        if let Some((batch, _)) = ended.batch.filter(|_| ended.store_partition.is_none()) {
            let due = self.now + self.random_delay();
            let (conditions, changes) = (batch.conditions(ended.cluster.fencing_token), batch.changes());
            self.messages.push((due, Message::CompareAndSwap { conditions, changes }));
        }
        let lease = LEADER_LEASE.as_millis() as u64;
        let election_delay_ms = if self.rng.random_bool(0.5) { self.rng.random_range(50..500) } else { lease };
        self.next_leader_from = self.now + Duration::from_millis(election_delay_ms);
        self.leader_restarts += 1;
        if self.rng.random_bool(0.7) {
            let successor = self.leaders.len();
            self.restarted_as.values_mut().filter(|to| **to == current).for_each(|to| *to = successor);
            self.restarted_as.insert(current, successor);
        }
    }

    /// Checks that no task is placed on a machine that was terminated before the leader knew of it, nor on one that is
    /// known to be partitioned one way.
    pub(super) fn check_placements(&self, i: usize, leader: &Leader, placements: &[Placement]) {
        for Placement { machine, task, .. } in placements {
            let worker = self.workers.iter().find(|w| *w.id == **machine).expect("known");
            let terminated = worker.terminated_at.is_some_and(|at| at < leader.leads_since);
            assert!(
                !terminated || leader.inherited_machines.contains(machine),
                "{task:?} is placed on {machine}, terminated before the takeover"
            );
            let inbound_lost = worker.inbound_lost_until > self.now
                && worker.unheard_answers.leader == i
                && worker.unheard_answers.count >= DETECTION_ANSWERS;
            assert!(!inbound_lost, "{task:?} is placed on {machine}, which is partitioned one way");
        }
    }
}
