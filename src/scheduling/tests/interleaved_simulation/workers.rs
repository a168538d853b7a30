//! The model's workers, which check the rules at every start.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use rand::Rng;

use super::jobs::bad;
use super::messages::{Message, SentHeartbeat};
use super::store::ended;
use super::world::World;
use super::{ANSWER_TAKEN, CANCEL, LEASE};
use crate::jobs::record::{StoredTask, TASKS_PER_SHARD, decode_shard, shard_key};
use crate::protocol::workers::{AttemptReport, AttemptStatus, ExitCause, Heartbeat, TaskKey, WorkerCommand};

pub(super) struct Worker {
    pub(super) id: String,
    pub(super) agent_epoch: u64,
    pub(super) seq: u64,
    pub(super) fencing_token: u64,
    pub(super) attempts: Vec<AttemptReport>,
    pub(super) ends_at: HashMap<TaskKey, Instant>,
    /// Forgotten in this agent epoch: a launch of these would start them again.
    pub(super) reaped: HashSet<(TaskKey, u64)>,
    pub(super) renewed: Instant,
    pub(super) next_report: Instant,
    pub(super) waits_until: Option<Instant>,
    pub(super) hangs_until: Instant,
    /// Answers and commands do not reach it, while its heartbeats arrive.
    pub(super) inbound_lost_until: Instant,
    /// Answers in a row that it did not hear, and the leader that gave them.
    pub(super) unheard: (usize, u32),
    /// Heartbeats to this leader, which answers it, whoever leads by now.
    pub(super) home: Option<usize>,
    /// Cut off until then with its home: others' commands are held back, and it finds nobody else.
    pub(super) apart_until: Instant,
    /// Reaches no controller until then, while direct commands and their replies go through.
    pub(super) outbound_lost_until: Instant,
    pub(super) gone: bool,
    pub(super) gone_at: Option<Instant>,
}

impl Worker {
    pub(super) fn new(n: usize, now: Instant) -> Self {
        Self {
            id: format!("host-{n:06}"),
            agent_epoch: 1,
            seq: 0,
            fencing_token: 0,
            attempts: Vec::new(),
            ends_at: HashMap::new(),
            reaped: HashSet::new(),
            renewed: now,
            next_report: now,
            waits_until: None,
            hangs_until: now,
            inbound_lost_until: now,
            unheard: (0, 0),
            home: None,
            apart_until: now,
            outbound_lost_until: now,
            gone: false,
            gone_at: None,
        }
    }

    pub(super) fn heartbeat(&mut self) -> Heartbeat {
        self.seq += 1;
        Heartbeat {
            machine: self.id.clone(),
            addr: "127.0.0.1:9".into(),
            type_name: "t".into(),
            zone: "a".into(),
            spot: false,
            agent_epoch: self.agent_epoch,
            seq: self.seq,
            fencing_token: self.fencing_token,
            notice_s: None,
            attempts: self.attempts.clone(),
        }
    }

    /// When its lease is over it kills and forgets what it runs, and goes on with the next agent epoch.
    pub(super) fn end_lease(&mut self, now: Instant) {
        if now - self.renewed > LEASE {
            self.agent_epoch += 1;
            self.attempts.clear();
            self.reaped.clear();
            (self.renewed, self.waits_until) = (now, None);
        }
    }

    pub(super) fn live(&self, task: &TaskKey) -> bool {
        !self.gone && self.attempts.iter().any(|l| l.task == *task && l.status != AttemptStatus::Exited)
    }
}

impl World {
    pub(super) fn execute(&mut self, w: usize, orders: Vec<WorkerCommand>) {
        for order in orders {
            match order {
                WorkerCommand::Launch { task, attempt } => self.launch(w, task, attempt),
                WorkerCommand::Halt { task, attempt, .. } => {
                    for attempt_report in &mut self.workers[w].attempts {
                        if attempt_report.task == task
                            && attempt_report.attempt == attempt
                            && attempt_report.status != AttemptStatus::Exited
                        {
                            (attempt_report.status, attempt_report.cause) =
                                (AttemptStatus::Exited, Some(ExitCause::Stopped));
                        }
                    }
                }
                WorkerCommand::Reap { task, attempt } => {
                    let exited =
                        |l: &AttemptReport| l.task == task && l.attempt == attempt && l.status == AttemptStatus::Exited;
                    let Some(at) = self.workers[w].attempts.iter().position(exited) else { continue };
                    let attempt_report = self.workers[w].attempts.remove(at);
                    if attempt_report.cause == Some(ExitCause::Done) {
                        self.check_reap(&task);
                    }
                    self.workers[w].reaped.insert((task, attempt));
                }
            }
        }
    }

    fn launch(&mut self, w: usize, task: TaskKey, attempt: u64) {
        if self.workers[w].attempts.iter().any(|l| l.task == task && l.attempt == attempt) {
            return;
        }
        let mut attempt_report =
            AttemptReport { task: task.clone(), attempt, status: AttemptStatus::Running, cause: None, saved: None };
        if self.workers[w].live(&task) {
            (attempt_report.status, attempt_report.cause) = (AttemptStatus::Exited, Some(ExitCause::Busy));
            self.workers[w].attempts.push(attempt_report);
            return;
        }
        // The rules, at the moment of a start.
        let elsewhere = self.workers.iter().find(|o| o.live(&task));
        assert!(elsewhere.is_none(), "ran twice: {task:?} on {} and {}", self.workers[w].id, elsewhere.unwrap().id);
        if let Some(at) = self.cancelled.get(&task.job) {
            assert!(!self.users.on, "started {task:?} though its user was told that it is withdrawn");
            assert!(self.now - *at < CANCEL, "started {task:?} long after its withdrawal");
        }
        let again = self.workers[w].reaped.contains(&(task.clone(), attempt));
        assert!(!again, "started again after its reap: {task:?} attempt {attempt}");
        self.starts += 1;
        let mut run = Duration::from_millis(self.rng.random_range(100..6000));
        if self.users.on && !self.quiet && self.rng.random_bool(0.3) {
            // Only a stop ends these in time.
            run = Duration::from_secs(self.rng.random_range(40..120));
        }
        self.workers[w].ends_at.insert(task, self.now + run);
        self.workers[w].attempts.push(attempt_report);
    }

    /// A completion is stored, or its job over, before a worker may forget it.
    fn check_reap(&self, task: &TaskKey) {
        let shard = shard_key(&task.job, u64::from(task.index) / TASKS_PER_SHARD);
        let stored = self.store.value(&shard).and_then(decode_shard);
        let done = stored.is_some_and(|t| t[task.index as usize % TASKS_PER_SHARD as usize] == StoredTask::Done);
        assert!(done || ended(&self.store, &task.job), "reaped before it was stored: {task:?}");
    }

    pub(super) fn run_workers(&mut self) {
        for w in 0..self.workers.len() {
            if self.workers[w].gone || self.workers[w].hangs_until > self.now {
                continue;
            }
            let now = self.now;
            let worker = &mut self.workers[w];
            worker.end_lease(now);
            for attempt_report in worker.attempts.iter_mut().filter(|l| l.status == AttemptStatus::Running) {
                if worker.ends_at.get(&attempt_report.task).is_some_and(|t| *t <= now) {
                    if bad(&attempt_report.task.job) {
                        (attempt_report.status, attempt_report.cause) = (AttemptStatus::Exited, Some(ExitCause::Error));
                        self.failures += 1;
                        continue;
                    }
                    (attempt_report.status, attempt_report.cause) = (AttemptStatus::Exited, Some(ExitCause::Done));
                    self.completed.insert(attempt_report.task.clone());
                }
            }
            if worker.waits_until.is_some_and(|t| t <= now) {
                worker.waits_until = None;
            }
            if worker.waits_until.is_none() && worker.next_report <= now && worker.outbound_lost_until > now {
                // Connects to nobody; the next a second later.
                worker.next_report = now + Duration::from_secs(1);
            } else if worker.waits_until.is_none() && worker.next_report <= now {
                worker.waits_until = Some(now + ANSWER_TAKEN);
                worker.next_report = now + Duration::from_secs(3);
                let heartbeat = worker.heartbeat();
                // Some workers still know only the deposed leader.
                let back = if self.quiet { 0 } else { usize::from(self.rng.random_bool(0.2)) };
                let apart = self.workers[w].apart_until > now;
                let home = self.workers[w].home.filter(|home| apart || self.leaders[*home].is_some());
                let to = home.unwrap_or(self.leader.saturating_sub(back));
                self.copy_late(&heartbeat);
                self.send(Message::Heartbeat(SentHeartbeat { to, heartbeat, sent: now, copy: false }));
            }
        }
    }
}
