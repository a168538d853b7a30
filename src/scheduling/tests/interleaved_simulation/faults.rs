//! Machines that hear nothing, copies of heartbeats that come late, leaders that lose the store and not their
//! workers, and processes that are back at once.

use std::time::Duration;

use rand::Rng;

use super::LEADER_LEASE;
use super::leaders::Leader;
use super::messages::{Message, SentHeartbeat};
use super::workers::Worker;
use super::world::World;
use crate::protocol::workers::Heartbeat;
use crate::scheduling::cluster::Placement;

/// By so many prompt answers in a row with something to do and without effect a leader knows that a machine does not
/// hear.
const KNOWN_AFTER: u32 = 5;

impl World {
    /// Copies of a heartbeat, several and out of order, from seconds to far beyond a lease.
    pub(super) fn copy_late(&mut self, heartbeat: &Heartbeat) {
        if self.quiet || !self.rng.random_bool(0.08) {
            return;
        }
        for _ in 0..self.rng.random_range(1..4) {
            let due = self.now + Duration::from_millis(self.rng.random_range(1000..120_000));
            self.messages.push((
                due,
                Message::Heartbeat(SentHeartbeat { to: 0, heartbeat: heartbeat.clone(), sent: self.now, copy: true }),
            ));
            self.copies += 1;
        }
    }

    /// Whom a copy reaches: mostly the leader, whoever that is by now.
    pub(super) fn reader(&mut self) -> usize {
        if self.rng.random_bool(0.8) { self.leader } else { self.rng.random_range(0..self.leaders.len()) }
    }

    pub(super) fn more_trouble(&mut self) {
        let now = self.now;
        if self.rng.random_bool(0.006) {
            // Short, just over the lease, or for ever; one machine, or half of them.
            let w = self.rng.random_range(0..self.workers.len());
            let s = [8, 20, 27, 60, 100_000][self.rng.random_range(0..5usize)];
            let many = s < 1000 && self.rng.random_bool(0.2);
            let for_ever = |w: &Worker| !w.gone && w.inbound_lost_until > now + Duration::from_secs(1000);
            // Two of six that never hear again are still no sign against everybody.
            if s < 1000 || self.workers.iter().filter(|w| for_ever(w)).count() < 2 {
                for (n, worker) in self.workers.iter_mut().enumerate() {
                    if n == w || (many && n % 2 == w % 2) {
                        worker.inbound_lost_until = worker.inbound_lost_until.max(now + Duration::from_secs(s));
                        self.inbound_lost += 1;
                    }
                }
            }
        }
        if self.rng.random_bool(0.004) {
            // The store and the other controllers, not the workers; half of these stay with it.
            let until = now + Duration::from_millis(self.rng.random_range(500..60_000));
            let at = self.leader;
            if let Some(leader) = self.leaders[at].as_mut().filter(|o| o.cut.is_none()) {
                leader.cut = Some((now, until));
                leader.seat.hears_others = false;
                self.cuts += 1;
                for worker in self.workers.iter_mut() {
                    worker.home = self.rng.random_bool(0.5).then_some(at);
                }
            }
        }
        if self.rng.random_bool(if self.users.on { 0.001 } else { 0.006 }) && self.leaders[self.leader].is_some() {
            self.restart();
        }
    }

    /// The leader's process is ended and back at once, at its address and as another: at times before anybody
    /// was elected, at times when the lease of its predecessor has run out.
    fn restart(&mut self) {
        let at = self.leader;
        let Some(ended) = self.leaders[at].take() else { return };
        if let Some((batch, _)) = ended.batch.filter(|_| ended.cut.is_none()) {
            let due = self.now + self.delay();
            let (conditions, changes) = (batch.conditions(ended.cluster.fencing_token), batch.changes());
            self.messages.push((due, Message::CompareAndSwap { conditions, changes }));
        }
        let lease = LEADER_LEASE.as_millis() as u64;
        let ms = if self.rng.random_bool(0.5) { self.rng.random_range(50..500) } else { lease };
        self.leads_from = self.now + Duration::from_millis(ms);
        self.restarts += 1;
        if self.rng.random_bool(0.7) {
            let successor = self.leaders.len();
            self.reborn.values_mut().filter(|to| **to == at).for_each(|to| *to = successor);
            self.reborn.insert(at, successor);
        }
    }

    /// No work for a machine that was gone before its owner had heard of it, nor for one that hears nothing.
    pub(super) fn check_places(&self, i: usize, leader: &Leader, decisions: &[Placement]) {
        for Placement { machine, task, .. } in decisions {
            let worker = self.workers.iter().find(|w| *w.id == **machine).expect("known");
            let gone = worker.gone_at.is_some_and(|at| at < leader.since);
            assert!(!gone || leader.inherited.contains(machine), "{task:?} is placed on {machine}, gone long before");
            let inbound_lost =
                worker.inbound_lost_until > self.now && worker.unheard.0 == i && worker.unheard.1 >= KNOWN_AFTER;
            assert!(!inbound_lost, "{task:?} is placed on {machine}, which hears nothing");
        }
    }
}
