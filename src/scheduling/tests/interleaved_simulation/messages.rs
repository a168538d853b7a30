//! Messages between leaders, workers, the store and the cloud, and how long they are on their way.

use std::time::{Duration, Instant};

use rand::Rng;

use super::world::World;
use crate::history::job_transactions::JobTransaction;
use crate::jobs::JobId;
use crate::protocol::workers::{Heartbeat, WorkerCommand};
use crate::records::leadership::Watermark;
use crate::scheduling::cluster::MachineId;
use crate::store::{Change, Condition};

/// A heartbeat of a worker on its way to a leader.
pub(super) struct SentHeartbeat {
    pub(super) to: usize,
    pub(super) heartbeat: Heartbeat,
    pub(super) sent: Instant,
    /// Held back until nobody waits for its answer.
    pub(super) copy: bool,
}

/// An answer to a heartbeat.
pub(super) struct Answer {
    pub(super) worker: usize,
    pub(super) from: usize,
    pub(super) agent_epoch: u64,
    pub(super) sent: Instant,
    pub(super) fencing_token: u64,
    pub(super) orders: Vec<WorkerCommand>,
    /// All orders, not stops alone.
    pub(super) whole: bool,
}

/// Orders that a leader sends to a worker directly.
pub(super) struct Command {
    pub(super) id: u64,
    pub(super) worker: usize,
    pub(super) from: usize,
    pub(super) fencing_token: u64,
    pub(super) agent_epoch: u64,
    pub(super) orders: Vec<WorkerCommand>,
}

/// The reply to a direct command.
pub(super) struct Reply {
    pub(super) id: u64,
    pub(super) to: usize,
    pub(super) machine: MachineId,
    pub(super) fencing_token: u64,
    pub(super) heartbeat: Heartbeat,
}

/// The end of the time for which a leader waits for a reply.
pub(super) struct GivenUp {
    pub(super) id: u64,
    pub(super) to: usize,
    pub(super) machine: MachineId,
    pub(super) fencing_token: u64,
}

/// What is on its way between leaders, workers, the store and the cloud.
pub(super) enum Message {
    Heartbeat(SentHeartbeat),
    Answer(Answer),
    Command(Command),
    Reply(Reply),
    GivenUp(GivenUp),
    CompareAndSwap {
        conditions: Vec<Condition>,
        changes: Vec<Change>,
    },
    Return {
        from: usize,
        machine: MachineId,
    },
    Returned {
        to: usize,
        machine: MachineId,
    },
    /// A line of a leader to another controller.
    Line {
        from: usize,
        to: usize,
        watermark: Watermark,
    },
    /// The store's answer to the leader's own user.
    Cancelled {
        to: usize,
        id: JobId,
        fencing_token: u64,
    },
}

impl World {
    /// Mostly prompt; now and then held back for up to a minute.
    pub(super) fn delay(&mut self) -> Duration {
        let held = !self.quiet && self.rng.random_bool(0.12);
        Duration::from_millis(if held { self.rng.random_range(500..60_000) } else { self.rng.random_range(1..150) })
    }

    pub(super) fn send(&mut self, message: Message) {
        let mut due = self.now + self.delay();
        // Direct commands are what may come late and still be carried out: more of them do.
        if !self.quiet && matches!(message, Message::Command(_)) && self.rng.random_bool(0.3) {
            due += Duration::from_millis(self.rng.random_range(1000..15_000));
        }
        self.messages.push((due, message));
    }

    /// A user's transaction: applied, and at times again much later, as a copy that was held back.
    pub(super) fn send_move(&mut self, sent: JobTransaction) {
        let copies = if !self.quiet && self.rng.random_bool(0.2) { 2 } else { 1 };
        for _ in 0..copies {
            let due = self.now + self.delay();
            let (conditions, changes) = (sent.conditions.clone(), sent.changes.clone());
            self.messages.push((due, Message::CompareAndSwap { conditions, changes }));
        }
    }

    /// When a leader that is paused reads what was sent to it.
    pub(super) fn read_at(&self, message: &Message) -> Option<Instant> {
        let to = match message {
            Message::Heartbeat(SentHeartbeat { to, .. })
            | Message::Reply(Reply { to, .. })
            | Message::GivenUp(GivenUp { to, .. })
            | Message::Returned { to, .. }
            | Message::Cancelled { to, .. } => *to,
            _ => return None,
        };
        let frozen = self.leaders.get(to)?.as_ref()?.frozen?;
        Some(frozen.1).filter(|until| *until > self.now)
    }

    /// Whoever it is for does what it says; a leader that is paused reads it afterwards.
    pub(super) fn deliver(&mut self, message: Message) {
        if let Some(at) = self.read_at(&message) {
            self.messages.push((at, message));
            return;
        }
        match message {
            Message::Heartbeat(message) => self.deliver_report(message),
            Message::Answer(message) => self.deliver_answer(message),
            Message::Command(message) => self.deliver_command(message),
            Message::Reply(message) => self.deliver_reply(message),
            Message::GivenUp(message) => self.deliver_given_up(message),
            Message::CompareAndSwap { conditions, changes } => self.deliver_transaction(conditions, changes),
            Message::Line { from, to, watermark } => self.hear_line(from, to, watermark),
            Message::Cancelled { to, id, fencing_token } => self.cancelled_by_leader(to, &id, fencing_token),
            Message::Return { from, machine } => self.deliver_return(from, machine),
            Message::Returned { to, machine } => self.deliver_returned(to, &machine),
        }
    }
}
