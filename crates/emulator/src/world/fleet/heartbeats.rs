//! Heartbeats of the workers, the responses to them, and delayed copies of them.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use hollylanding_protocol::workers::{AttemptReport, AttemptStatus, ExitCause, Heartbeat, TaskKey, WorkerCommands};

use super::worker::{Task, TaskState};
use super::{Fleet, MAX_RESPONSE_DELAY};

/// Maximum number of heartbeat copies that wait for delivery; beyond it no copies are made.
const MAX_COPIES: usize = 20_000;

/// Which heartbeats of a worker are copied, and how long after the heartbeat a copy is delivered.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CopyWindow {
    /// Heartbeats before this time are copied.
    pub(super) until: Duration,
    /// Minimum delay of a copy.
    pub(super) min_delay: Duration,
    /// Maximum delay of a copy; not below the minimum.
    pub(super) max_delay: Duration,
}

/// A copy of a heartbeat that will be delivered later.
#[derive(Debug)]
pub(super) struct HeartbeatCopy {
    due: Duration,
    heartbeat: Heartbeat,
}

/// The report of an attempt in a heartbeat.
fn attempt_report(task: &Task) -> AttemptReport {
    let (status, cause, saved) = match task.state {
        TaskState::Fetching => (AttemptStatus::Fetching, None, None),
        TaskState::WaitingForGang(_) => (AttemptStatus::Waiting, None, None),
        TaskState::Running => (AttemptStatus::Running, None, None),
        TaskState::Saving(_) => (AttemptStatus::Saving, None, None),
        TaskState::Ended(cause, saved) => (AttemptStatus::Exited, Some(cause), saved.then_some(true)),
    };
    AttemptReport { task: task.key.clone(), attempt: task.attempt, status, cause, saved }
}

/// The report of an attempt whose launch was refused because the worker knows no such job or task.
fn unknown_attempt_report((task, attempt): &(TaskKey, u64)) -> AttemptReport {
    let (task, attempt) = (task.clone(), *attempt);
    AttemptReport { task, attempt, status: AttemptStatus::Exited, cause: Some(ExitCause::Unknown), saved: None }
}

/// A pseudo-random number from 0 to 1 that depends on the heartbeat alone.
fn delay_fraction(name: &str, heartbeat: &Heartbeat) -> f64 {
    let mut hasher = DefaultHasher::new();
    (name, heartbeat.agent_epoch, heartbeat.seq).hash(&mut hasher);
    f64::from(hasher.finish() as u8) / f64::from(u8::MAX)
}

impl Fleet {
    /// Returns a new heartbeat of a worker; none if the worker hangs or its machine is gone.
    pub fn heartbeat(&mut self, name: &str, now: Duration) -> Option<Heartbeat> {
        let heartbeat = self.build_heartbeat(name, now)?;
        let window = self.workers.get(name)?.copy_window;
        if now < window.until && self.copies.len() < MAX_COPIES {
            let range = window.max_delay - window.min_delay;
            let due = now + window.min_delay + range.mul_f64(delay_fraction(name, &heartbeat));
            self.copies.push(HeartbeatCopy { due, heartbeat: heartbeat.clone() });
        }
        Some(heartbeat)
    }

    /// Removes and returns the heartbeat copies that are due, also those of machines that are gone.
    pub fn copies_due(&mut self, now: Duration) -> Vec<Heartbeat> {
        let (due, rest) = std::mem::take(&mut self.copies).into_iter().partition(|copy| copy.due <= now);
        self.copies = rest;
        let due: Vec<HeartbeatCopy> = due;
        due.into_iter().map(|copy| copy.heartbeat).collect()
    }

    /// Builds a worker's next heartbeat, with a sequence number of its own.
    pub(super) fn build_heartbeat(&mut self, name: &str, now: Duration) -> Option<Heartbeat> {
        self.tick(now);
        let worker = self.workers.get_mut(name).filter(|worker| worker.awake(now))?;
        worker.seq += 1;
        Some(Heartbeat {
            machine: name.to_owned(),
            addr: worker.machine.addr.clone(),
            type_name: worker.machine.machine_type.name.clone(),
            zone: worker.machine.zone.clone(),
            spot: worker.machine.spot,
            agent_epoch: worker.agent_epoch,
            seq: worker.seq,
            fencing_token: worker.fencing_token,
            notice_s: worker.interruption_at.map(|at| at.saturating_sub(now).as_secs_f64()),
            attempts: worker
                .tasks
                .iter()
                .map(attempt_report)
                .chain(worker.unknown.iter().map(unknown_attempt_report))
                .collect(),
        })
    }

    /// Handles the response to a heartbeat of this agent epoch that was sent at `sent`. Returns false if the response
    /// is ignored: if it is late, does not reach the worker, or has another agent epoch or a lower fencing token.
    pub fn answer(
        &mut self,
        name: &str,
        agent_epoch: u64,
        sent: Duration,
        orders: &WorkerCommands,
        now: Duration,
    ) -> bool {
        self.tick(now);
        let Some(worker) = self.workers.get_mut(name) else { return false };
        let late = now.saturating_sub(sent) > MAX_RESPONSE_DELAY || !worker.receives(now);
        if late || worker.agent_epoch != agent_epoch || orders.fencing_token < worker.fencing_token {
            return false;
        }
        worker.fencing_token = orders.fencing_token;
        worker.lease_renewed_at = worker.lease_renewed_at.max(sent);
        self.execute(name, &orders.orders, now);
        true
    }
}
