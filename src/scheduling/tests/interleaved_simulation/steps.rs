//! The steps of a simulation: messages, workers and leaders in turn, faults before them, checks after them.

use std::time::{Duration, Instant};

use rand::Rng;
use serde_json::Value;

use super::jobs::bad;
use super::leaders::Leader;
use super::store::ended;
use super::workers::Worker;
use super::world::World;
use super::{CANCEL, LEADER_LEASE, STEP};
use crate::history::job_transactions;
use crate::jobs::JobId;
use crate::jobs::record::{LEADER, open_key};
use crate::protocol::workers::{AttemptStatus, TaskKey};
use crate::store::{Change, Condition};

/// In so many steps without fault everything has to end.
const QUIET_STEPS: usize = 4000;
/// Users cancel what fails as often as this once there is no more fault.
const STEPS_BETWEEN_CANCELLATIONS: usize = 50;

impl World {
    /// Nothing of a cancelled job is live beyond the time that is allowed.
    pub(super) fn check_cancelled(&self) {
        for (id, at) in &self.cancelled {
            if self.now - *at > CANCEL {
                let live = self.workers.iter().flat_map(|w| w.attempts.iter().filter(move |_| !w.gone));
                let left: Vec<_> = live.filter(|l| l.task.job == *id && l.status != AttemptStatus::Exited).collect();
                assert!(left.is_empty(), "withdrawn and still there: {left:?}");
            }
        }
    }

    /// One step: messages that are due, workers, leaders, then whoever leads next, users and the checks.
    pub(super) fn step(&mut self) {
        self.now += STEP;
        let (due, later) = std::mem::take(&mut self.messages).into_iter().partition(|(at, _)| *at <= self.now);
        self.messages = later;
        for (_, message) in due {
            self.deliver(message);
        }
        self.run_workers();
        for i in 0..self.leaders.len() {
            self.run_leader(i);
        }
        self.replace_lost_leader();
        if self.leaders[self.leader].is_none() {
            if self.now >= self.leads_from {
                self.take_over();
            }
        } else if self.raise_wanted() {
            self.raise_fencing_token();
        }
        self.run_users();
        self.check_cancelled();
    }

    /// Another leads once the leader's lease has run out.
    fn replace_lost_leader(&mut self) {
        let lost =
            |since: Option<(Instant, Instant)>| since.is_some_and(|(began, _)| self.lost_for(began) > LEADER_LEASE);
        let gone = |o: &Leader| lost(o.frozen) || lost(o.cut);
        if self.leaders[self.leader].as_ref().is_some_and(gone) {
            self.take_over();
        }
    }

    /// Whether the leader's cluster state wants its fencing token raised, and the leader can write that.
    fn raise_wanted(&self) -> bool {
        self.leaders[self.leader].as_ref().is_some_and(|o| {
            o.frozen.is_none()
                && o.cut.is_none()
                && self.users.out.is_none()
                && o.cluster.token_raise_needed(self.now)
                && o.batch.is_none()
        })
    }

    /// One whose cluster state is raised writes the leader record again, as the leader would.
    fn raise_fencing_token(&mut self) {
        let leader = self.leader;
        let version = self.store.version(LEADER);
        let change = Change::write(LEADER, Value::from(leader));
        if let Ok(fencing_token) = self.store.apply_if(&[Condition::at(LEADER, version)], &[change])
            && let Some(o) = self.leaders[leader].as_mut()
        {
            o.cluster.raise_fencing_token(fencing_token);
            self.users.assigned.push((fencing_token, leader));
        }
    }

    /// Draws the faults of a step.
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
            self.cancel();
        }
        // Where faults meet, hand-overs are drawn with them.
        if self.rng.random_bool(if self.users.on { 0.001 } else { 0.006 }) {
            // The deposed leader goes on until it learns of it.
            self.take_over();
        }
        if self.rng.random_bool(0.004) {
            self.pause_an_leader();
        }
        if self.rng.random_bool(0.01) {
            let w = self.rng.random_range(0..self.workers.len());
            let until = self.now + Duration::from_secs(self.rng.random_range(1..40));
            self.hang(w, until);
        }
        if self.rng.random_bool(0.05) {
            self.halt_a_task();
        }
        self.more_trouble();
        if self.users.on {
            self.meet();
        }
        self.rent();
    }

    /// Under and over the lease, of a leader or of one that was replaced, at any point of its work.
    fn pause_an_leader(&mut self) {
        let alive: Vec<usize> = (0..self.leaders.len()).filter(|i| self.leaders[*i].is_some()).collect();
        let i = alive.get(self.rng.random_range(0..alive.len().max(1))).copied().unwrap_or(self.leader);
        let (ms, now) = (self.rng.random_range(500..40_000), self.now);
        if let Some(leader) = self.leaders[i].as_mut().filter(|o| o.frozen.is_none()) {
            leader.frozen = Some((now, now + Duration::from_millis(ms)));
            self.process_pauses += 1;
            self.workers.iter_mut().for_each(|w| w.unheard = (i, 0));
        }
    }

    /// Stops a task of the leader, as preemption and draining do.
    fn halt_a_task(&mut self) {
        let now = self.now;
        let pick = self.rng.random_range(0..1000usize);
        if let Some(leader) = self.leaders[self.leader].as_mut() {
            let bound: Vec<TaskKey> = leader.cluster.machines.values().flat_map(|m| m.bound.iter().cloned()).collect();
            if !bound.is_empty() {
                leader.cluster.halt_task_or_gang(&bound[pick % bound.len()], 3, now);
            }
        }
    }

    /// Another machine for one that is gone.
    pub(super) fn rent(&mut self) {
        if self.workers.iter().filter(|w| !w.gone).count() < self.machines {
            let n = self.workers.len();
            self.workers.push(Worker::new(n, self.now));
        }
    }

    /// Users cancel the jobs that fail wherever they run.
    fn cancel_what_fails(&mut self) {
        let open: Vec<JobId> =
            self.records.keys().filter(|id| bad(id) && self.store.has(&open_key(id))).cloned().collect();
        for id in open {
            let cancellation = job_transactions::cancel_job(&self.records[&id], None, 0);
            self.send_move(cancellation);
        }
    }

    /// Trouble for so many steps, then as long as it takes without any.
    pub(super) fn simulate(&mut self, steps: usize) {
        for step in 0..steps {
            self.trouble(step);
            self.step();
        }
        self.quiet = true;
        for step in 0..QUIET_STEPS {
            self.step();
            if step % STEPS_BETWEEN_CANCELLATIONS == 0 {
                self.cancel_what_fails();
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
