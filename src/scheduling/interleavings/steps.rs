//! The steps of a simulation: messages, workers and owners in turn, troubles before them, checks after them.

use std::time::{Duration, Instant};

use rand::Rng;
use serde_json::Value;

use super::jobs::bad;
use super::owners::Owner;
use super::store::ended;
use super::workers::Worker;
use super::world::World;
use super::{CANCEL, LEADER_LEASE, STEP};
use crate::history::moves;
use crate::jobs::JobId;
use crate::jobs::record::{ASSIGNMENT, open_key};
use crate::store::{Change, Condition};
use crate::wire::workers::{LegStatus, TaskKey};

impl World {
    pub(super) fn check_withdrawn(&self) {
        for (id, at) in &self.withdrawn {
            if self.now - *at > CANCEL {
                let live = self.workers.iter().flat_map(|w| w.legs.iter().filter(move |_| !w.gone));
                let left: Vec<_> = live.filter(|l| l.task.job == *id && l.status != LegStatus::Exited).collect();
                assert!(left.is_empty(), "withdrawn and still there: {left:?}");
            }
        }
    }

    pub(super) fn step(&mut self) {
        self.now += STEP;
        let (due, later) = std::mem::take(&mut self.messages).into_iter().partition(|(at, _)| *at <= self.now);
        self.messages = later;
        for (_, message) in due {
            self.deliver(message);
        }
        self.run_workers();
        for i in 0..self.owners.len() {
            self.run_owner(i);
        }
        // Another owns once the leader's lease has run out.
        let lost =
            |since: Option<(Instant, Instant)>| since.is_some_and(|(began, _)| self.lost_for(began) > LEADER_LEASE);
        let gone = |o: &Owner| lost(o.frozen) || lost(o.cut);
        if self.owners[self.owner].as_ref().is_some_and(gone) {
            self.take_over();
        }
        // One whose cluster state is raised writes the assignment again, as the leader would.
        let owner = self.owner;
        if self.owners[owner].is_none() {
            if self.now >= self.owns_from {
                self.take_over();
            }
        } else if self.owners[owner].as_ref().is_some_and(|o| {
            o.frozen.is_none()
                && o.cut.is_none()
                && self.users.out.is_none()
                && o.cluster.raise_wanted(self.now)
                && o.batch.is_none()
        }) {
            let stamp = self.store.stamp(ASSIGNMENT);
            let change = Change::write(ASSIGNMENT, Value::from(owner));
            if let Ok(token) = self.store.apply_if(&[Condition::at(ASSIGNMENT, stamp)], &[change])
                && let Some(o) = self.owners[owner].as_mut()
            {
                o.cluster.raise_token(token);
                self.users.assigned.push((token, owner));
            }
        }
        self.run_users();
        self.check_withdrawn();
    }

    pub(super) fn trouble(&mut self, step: usize) {
        let every = 360 / self.machines.clamp(1, 360);
        if step.is_multiple_of(every) && self.records.len() < self.jobs {
            self.submit();
        }
        // Most of what meets an outage came just before it: else nothing lives through one.
        if self.store_out() && self.rng.random_bool(0.95) {
            return self.rent();
        }
        if self.rng.random_bool(0.004) {
            self.withdraw();
        }
        // Where troubles meet, hand-overs are drawn with them.
        if self.rng.random_bool(if self.users.on { 0.001 } else { 0.006 }) {
            // The deposed owner goes on until it learns of it.
            self.take_over();
        }
        if self.rng.random_bool(0.004) {
            // Under and over the lease, of an owner or of one that was replaced, at any point of its work.
            let alive: Vec<usize> = (0..self.owners.len()).filter(|i| self.owners[*i].is_some()).collect();
            let i = alive.get(self.rng.random_range(0..alive.len().max(1))).copied().unwrap_or(self.owner);
            let (ms, now) = (self.rng.random_range(500..40_000), self.now);
            if let Some(owner) = self.owners[i].as_mut().filter(|o| o.frozen.is_none()) {
                owner.frozen = Some((now, now + Duration::from_millis(ms)));
                self.process_pauses += 1;
                self.workers.iter_mut().for_each(|w| w.unheard = (i, 0));
            }
        }
        if self.rng.random_bool(0.01) {
            let w = self.rng.random_range(0..self.workers.len());
            let until = self.now + Duration::from_secs(self.rng.random_range(1..40));
            self.hang(w, until);
        }
        if self.rng.random_bool(0.05) {
            let now = self.now;
            let pick = self.rng.random_range(0..1000usize);
            if let Some(owner) = self.owners[self.owner].as_mut() {
                // As preemption and draining do.
                let bound: Vec<TaskKey> =
                    owner.cluster.machines.values().flat_map(|m| m.bound.iter().cloned()).collect();
                if !bound.is_empty() {
                    owner.cluster.halt(&bound[pick % bound.len()], 3, now);
                }
            }
        }
        self.more_trouble();
        if self.users.on {
            self.meet();
        }
        self.rent();
    }

    /// Another machine for one that is gone.
    pub(super) fn rent(&mut self) {
        if self.workers.iter().filter(|w| !w.gone).count() < self.machines {
            let n = self.workers.len();
            self.workers.push(Worker::new(n, self.now));
        }
    }

    /// Two minutes of trouble, then as long as it takes without any.
    pub(super) fn simulate(&mut self, steps: usize) {
        for step in 0..steps {
            self.trouble(step);
            self.step();
        }
        self.quiet = true;
        for step in 0..4000 {
            self.step();
            if step % 50 == 0 {
                let open: Vec<JobId> =
                    self.records.keys().filter(|id| bad(id) && self.store.has(&open_key(id))).cloned().collect();
                for id in open {
                    let withdrawal = moves::withdraw(&self.records[&id], None, 0);
                    self.send_move(withdrawal);
                }
            }
            self.rent();
            // A machine that never hears again has to be returned, whatever else is well.
            let inbound_lost = |w: &Worker| !w.gone && w.inbound_lost_until > self.now;
            let told = self.users.hidden.is_empty();
            if told && self.records.keys().all(|id| ended(&self.store, id)) && !self.workers.iter().any(inbound_lost) {
                return;
            }
        }
        let open: Vec<_> = self.records.keys().filter(|id| !ended(&self.store, id)).collect();
        panic!("never ended after {:?}: {open:?}", self.now - self.start);
    }
}
