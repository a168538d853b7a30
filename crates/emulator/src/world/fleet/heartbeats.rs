//! Heartbeats of the workers, answers to them, and delayed copies of them.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use hollylanding_protocol::workers::{AttemptReport, AttemptStatus, ExitCause, Heartbeat, TaskKey, WorkerCommands};

use super::worker::{Task, TaskState};
use super::{ANSWER_TAKEN, Fleet};

/// The most copies of heartbeats that wait for delivery; no more are made then.
const MAX_COPIES: usize = 20_000;

/// Which reports of a worker are copied, and how long after the heartbeat a copy is delivered.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CopyWindow {
    /// Heartbeats before this time are copied.
    pub(super) until: Duration,
    /// Least delay of a copy.
    pub(super) least_delay: Duration,
    /// Greatest delay of a copy; not below the least.
    pub(super) most_delay: Duration,
}

/// A copy of a heartbeat that will be delivered later.
#[derive(Debug)]
pub(super) struct ReportCopy {
    due: Duration,
    heartbeat: Heartbeat,
}

/// The task's attempt as reports state it.
fn attempt_report(task: &Task) -> AttemptReport {
    let (status, cause, saved) = match task.state {
        TaskState::Fetching => (AttemptStatus::Fetching, None, None),
        TaskState::WaitingForGang(_) => (AttemptStatus::Waiting, None, None),
        TaskState::Running => (AttemptStatus::Running, None, None),
        TaskState::Saving(_) => (AttemptStatus::Saving, None, None),
        TaskState::Ended(cause, kept) => (AttemptStatus::Exited, Some(cause), kept.then_some(true)),
    };
    AttemptReport { task: task.key.clone(), attempt: task.attempt, status, cause, saved }
}

/// An attempt whose launch was refused because the worker knows no such job or task.
fn unknown_attempt((task, attempt): &(TaskKey, u64)) -> AttemptReport {
    let (task, attempt) = (task.clone(), *attempt);
    AttemptReport { task, attempt, status: AttemptStatus::Exited, cause: Some(ExitCause::Unknown), saved: None }
}

/// A number from 0 to 1 that depends on the heartbeat alone.
fn fraction_of(name: &str, heartbeat: &Heartbeat) -> f64 {
    let mut hasher = DefaultHasher::new();
    (name, heartbeat.agent_epoch, heartbeat.seq).hash(&mut hasher);
    f64::from(hasher.finish() as u8) / f64::from(u8::MAX)
}

impl Fleet {
    /// A heartbeat of a worker, unless it hangs or is gone.
    pub fn heartbeat(&mut self, name: &str, now: Duration) -> Option<Heartbeat> {
        let heartbeat = self.build_report(name, now)?;
        let window = self.workers.get(name)?.copied;
        if now < window.until && self.copies.len() < MAX_COPIES {
            let range = window.most_delay - window.least_delay;
            let due = now + window.least_delay + range.mul_f64(fraction_of(name, &heartbeat));
            self.copies.push(ReportCopy { due, heartbeat: heartbeat.clone() });
        }
        Some(heartbeat)
    }

    /// Removes and returns the copies of heartbeats that are due, also those of machines that are gone.
    pub fn copies_due(&mut self, now: Duration) -> Vec<Heartbeat> {
        let (due, rest) = std::mem::take(&mut self.copies).into_iter().partition(|copy| copy.due <= now);
        self.copies = rest;
        let due: Vec<ReportCopy> = due;
        due.into_iter().map(|copy| copy.heartbeat).collect()
    }

    /// The heartbeat's content; it counts as one of the worker's heartbeats.
    pub(super) fn build_report(&mut self, name: &str, now: Duration) -> Option<Heartbeat> {
        self.tick(now);
        let worker = self.workers.get_mut(name).filter(|worker| worker.awake(now))?;
        worker.seq += 1;
        Some(Heartbeat {
            machine: name.to_owned(),
            addr: worker.machine.addr.clone(),
            type_name: worker.machine.of.name.clone(),
            zone: worker.machine.zone.clone(),
            spot: worker.machine.spot,
            agent_epoch: worker.agent_epoch,
            seq: worker.seq,
            fencing_token: worker.fencing_token,
            notice_s: worker.recall.map(|at| at.saturating_sub(now).as_secs_f64()),
            attempts: worker
                .tasks
                .iter()
                .map(attempt_report)
                .chain(worker.unknown.iter().map(unknown_attempt))
                .collect(),
        })
    }

    /// An answer to a heartbeat of this agent epoch, sent then. False if it was dropped.
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
        let late = now.saturating_sub(sent) > ANSWER_TAKEN || !worker.receives(now);
        if late || worker.agent_epoch != agent_epoch || orders.fencing_token < worker.fencing_token {
            return false;
        }
        worker.fencing_token = orders.fencing_token;
        worker.renewed = worker.renewed.max(sent);
        self.execute(name, &orders.orders, now);
        true
    }
}
