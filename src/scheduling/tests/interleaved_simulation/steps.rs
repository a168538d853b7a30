//! The steps of a simulation: first faults, then messages, workers, leaders and users, and then the checks.

use std::time::{Duration, Instant};

use rand::Rng;

use super::jobs::always_fails;
use super::leaders::{Leader, leader_record_change};
use super::store::has_ended;
use super::workers::{UnheardAnswers, Worker};
use super::world::World;
use super::{CANCELLATION_DEADLINE, LEADER_LEASE, STEP};
use crate::history::job_transactions;
use crate::jobs::JobId;
use crate::jobs::record::{LEADER_RECORD_KEY, open_key};
use crate::protocol::workers::{AttemptStatus, TaskKey};
use crate::store::Condition;

/// Most steps without faults until all jobs have ended.
const MAX_FAULT_FREE_STEPS: usize = 4000;
/// Steps between the cancellations of failing jobs once there are no more faults.
const STEPS_BETWEEN_CANCELLATIONS: usize = 50;

impl World {
    /// Checks that no task of a cancelled job is live past the cancellation deadline.
    pub(super) fn check_cancelled_tasks(&self) {
        for (id, since) in &self.cancelled_since {
            if self.now - *since > CANCELLATION_DEADLINE {
                let live = self.workers.iter().flat_map(|w| w.attempts.iter().filter(move |_| !w.terminated));
                let overdue: Vec<_> = live.filter(|l| l.task.job == *id && l.status != AttemptStatus::Exited).collect();
                assert!(overdue.is_empty(), "cancelled tasks still live past the deadline: {overdue:?}");
            }
        }
    }

    /// Runs a step: due messages, workers, leaders, elections, users and checks.
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
            if self.now >= self.next_leader_from {
                self.take_over();
            }
        } else if self.can_raise_fencing_token() {
            self.raise_fencing_token();
        }
        self.run_users();
        self.check_cancelled_tasks();
    }

    /// Elects another leader once a paused or partitioned leader's election lease has expired.
    fn replace_lost_leader(&mut self) {
        let lost = |outage: Option<(Instant, Instant)>| {
            outage.is_some_and(|(began, _)| self.unreachable_for(began) > LEADER_LEASE)
        };
        let expired = |o: &Leader| lost(o.pause) || lost(o.store_partition);
        if self.leaders[self.leader].as_ref().is_some_and(expired) {
            self.take_over();
        }
    }

    /// Whether the leader's cluster state needs a higher fencing token and the leader can store it.
    fn can_raise_fencing_token(&self) -> bool {
        self.leaders[self.leader].as_ref().is_some_and(|o| {
            o.pause.is_none()
                && o.store_partition.is_none()
                && self.users.store_outage.is_none()
                && o.cluster.token_raise_needed(self.now)
                && o.batch.is_none()
        })
    }

    /// Raises the leader's fencing token: the leader record is written again, as the real leader does.
    fn raise_fencing_token(&mut self) {
        let leader = self.leader;
        let version = self.store.version(LEADER_RECORD_KEY);
        let change = leader_record_change(leader);
        if let Ok(fencing_token) = self.store.apply_if(&[Condition::at(LEADER_RECORD_KEY, version)], &[change])
            && let Some(o) = self.leaders[leader].as_mut()
        {
            o.cluster.raise_fencing_token(fencing_token);
            self.users.leader_records.push((fencing_token, leader));
        }
    }

    /// Draws the faults and submissions of a step.
    pub(super) fn draw_faults(&mut self, step: usize) {
        let submission_interval = 360 / self.machine_count.clamp(1, 360);
        if step.is_multiple_of(submission_interval) && self.records.len() < self.max_jobs {
            self.submit_job();
        }
        // Few faults are drawn within a store outage, since most that coincide with one come just before it, and
        // otherwise no task would survive it.
        if self.store_is_out() && self.rng.random_bool(0.95) {
            return self.replace_terminated_machine();
        }
        if self.rng.random_bool(0.004) {
            self.cancel_random_job();
        }
        // In worlds with users most takeovers are drawn with the combined faults.
        if self.rng.random_bool(if self.users.enabled { 0.001 } else { 0.006 }) {
            // The deposed leader continues until it learns of the takeover.
            self.take_over();
        }
        if self.rng.random_bool(0.004) {
            self.pause_random_leader();
        }
        if self.rng.random_bool(0.01) {
            let w = self.rng.random_range(0..self.workers.len());
            let until = self.now + Duration::from_secs(self.rng.random_range(1..40));
            self.hang_worker(w, until);
        }
        if self.rng.random_bool(0.05) {
            self.halt_random_task();
        }
        self.draw_partitions_and_restarts();
        if self.users.enabled {
            self.draw_combined_faults();
        }
        self.replace_terminated_machine();
    }

    /// Pauses a leader, current or deposed, at any point of its work, for a time below or above the worker lease.
    fn pause_random_leader(&mut self) {
        let alive: Vec<usize> = (0..self.leaders.len()).filter(|i| self.leaders[*i].is_some()).collect();
        let i = alive.get(self.rng.random_range(0..alive.len().max(1))).copied().unwrap_or(self.leader);
        let (pause_ms, now) = (self.rng.random_range(500..40_000), self.now);
        if let Some(leader) = self.leaders[i].as_mut().filter(|o| o.pause.is_none()) {
            leader.pause = Some((now, now + Duration::from_millis(pause_ms)));
            self.process_pauses += 1;
            self.workers.iter_mut().for_each(|w| w.unheard_answers = UnheardAnswers::none(i));
        }
    }

    /// Halts a random task of the leader, as preemption and draining do.
    fn halt_random_task(&mut self) {
        let now = self.now;
        let draw = self.rng.random_range(0..1000usize);
        if let Some(leader) = self.leaders[self.leader].as_mut() {
            let bound: Vec<TaskKey> = leader.cluster.machines.values().flat_map(|m| m.bound.iter().cloned()).collect();
            if !bound.is_empty() {
                leader.cluster.halt_task_or_gang(&bound[draw % bound.len()], 3, now);
            }
        }
    }

    /// Adds a machine if fewer run than there should be.
    pub(super) fn replace_terminated_machine(&mut self) {
        if self.workers.iter().filter(|w| !w.terminated).count() < self.machine_count {
            let n = self.workers.len();
            self.workers.push(Worker::new(n, self.now));
        }
    }

    /// Cancels the open jobs that fail on all machines.
    fn cancel_failing_jobs(&mut self) {
        let open: Vec<JobId> =
            self.records.keys().filter(|id| always_fails(id) && self.store.has(&open_key(id))).cloned().collect();
        for id in open {
            let cancellation = job_transactions::cancel_job(&self.records[&id], None, 0, usize::MAX);
            self.send_transaction(cancellation);
        }
    }

    /// Simulates this number of steps with faults, then steps without faults until all jobs have ended.
    pub(super) fn simulate(&mut self, steps: usize) {
        for step in 0..steps {
            if let Some((_, limits)) = self.lowered_limits.filter(|(from, _)| *from == step) {
                self.store_limits = limits;
            }
            self.draw_faults(step);
            self.step();
        }
        self.fault_free = true;
        for step in 0..MAX_FAULT_FREE_STEPS {
            self.step();
            if step % STEPS_BETWEEN_CANCELLATIONS == 0 {
                self.cancel_failing_jobs();
            }
            self.replace_terminated_machine();
            // A machine that is partitioned one way for ever has to be terminated, even when all jobs have ended.
            let inbound_lost = |w: &Worker| !w.terminated && w.inbound_lost_until > self.now;
            let all_confirmed = self.users.cancellations.keys().all(|id| self.cancelled_since.contains_key(id));
            if all_confirmed
                && self.records.keys().all(|id| has_ended(&self.store, id))
                && !self.workers.iter().any(inbound_lost)
            {
                return;
            }
        }
        let open: Vec<_> = self.records.keys().filter(|id| !has_ended(&self.store, id)).collect();
        panic!("jobs not ended after {:?}: {open:?}", self.now - self.start);
    }
}
