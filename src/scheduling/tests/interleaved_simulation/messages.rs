//! Messages between controllers, workers, the store and the cloud, and their delays.

use std::time::{Duration, Instant};

use rand::Rng;

use super::world::World;
use crate::history::job_transactions::JobTransaction;
use crate::jobs::JobId;
use crate::protocol::workers::{Heartbeat, WorkerCommand};
use crate::records::leadership::Watermark;
use crate::scheduling::cluster::MachineId;
use crate::store::{Change, Condition};

/// A heartbeat from a worker to a leader.
pub(super) struct SentHeartbeat {
    pub(super) to: usize,
    pub(super) heartbeat: Heartbeat,
    pub(super) sent: Instant,
    /// A late copy, whose answer nobody waits for.
    pub(super) copy: bool,
}

/// An answer to a heartbeat.
pub(super) struct Answer {
    pub(super) worker: usize,
    pub(super) from: usize,
    pub(super) agent_epoch: u64,
    pub(super) sent: Instant,
    pub(super) fencing_token: u64,
    pub(super) commands: Vec<WorkerCommand>,
    /// Contains all commands, not only those that stop tasks of ended jobs.
    pub(super) all_commands: bool,
}

/// A direct command of a leader to a worker.
#[derive(Clone)]
pub(super) struct Command {
    pub(super) id: u64,
    pub(super) worker: usize,
    pub(super) from: usize,
    pub(super) fencing_token: u64,
    pub(super) agent_epoch: u64,
    pub(super) commands: Vec<WorkerCommand>,
    /// A repeat of a command that was carried out; nobody waits for its reply.
    pub(super) repeat: bool,
}

/// The reply to a direct command.
pub(super) struct CommandReply {
    pub(super) id: u64,
    pub(super) to: usize,
    pub(super) machine: MachineId,
    pub(super) fencing_token: u64,
    pub(super) heartbeat: Heartbeat,
}

/// The end of a leader's wait for the reply to a direct command.
pub(super) struct CommandTimeout {
    pub(super) id: u64,
    pub(super) to: usize,
    pub(super) machine: MachineId,
    pub(super) fencing_token: u64,
}

/// A message in transit between controllers, workers, the store and the cloud.
pub(super) enum Message {
    Heartbeat(SentHeartbeat),
    Answer(Answer),
    Command(Command),
    CommandReply(CommandReply),
    CommandTimeout(CommandTimeout),
    /// A transaction of the store.
    CompareAndSwap {
        conditions: Vec<Condition>,
        changes: Vec<Change>,
    },
    /// A leader's request to the cloud to terminate a machine.
    TerminateMachine {
        from: usize,
        machine: MachineId,
    },
    /// The cloud's notice that a machine is terminated.
    MachineTerminated {
        to: usize,
        machine: MachineId,
    },
    /// A peer message in which a leader announces its watermark to a follower.
    WatermarkAnnouncement {
        from: usize,
        to: usize,
        watermark: Watermark,
    },
    /// The store's answer to a leader that has stored a cancellation for its own user.
    CancellationStored {
        to: usize,
        id: JobId,
        fencing_token: u64,
    },
}

impl World {
    /// Draws the delay of a message: mostly short, at times up to a minute.
    pub(super) fn random_delay(&mut self) -> Duration {
        let delayed = !self.fault_free && self.rng.random_bool(0.12);
        Duration::from_millis(if delayed { self.rng.random_range(500..60_000) } else { self.rng.random_range(1..150) })
    }

    /// Sends a message with a random delay.
    pub(super) fn send(&mut self, message: Message) {
        let mut due = self.now + self.random_delay();
        // Direct commands are delayed more often, since they are executed however late they arrive.
        if !self.fault_free && matches!(message, Message::Command(_)) && self.rng.random_bool(0.3) {
            due += Duration::from_millis(self.rng.random_range(1000..15_000));
        }
        self.messages.push((due, message));
    }

    /// Sends a command that was carried out once more, at times; it arrives up to a minute later. Drawn from a generator
    /// of its own, so that the other faults of a seed stay the same.
    pub(super) fn repeat_command(&mut self, command: Command) {
        if self.fault_free || command.repeat || !self.repeats_rng.random_bool(0.3) {
            return;
        }
        self.repeated_commands += 1;
        let delay = Duration::from_millis(self.repeats_rng.random_range(500..60_000));
        self.messages.push((self.now + delay, Message::Command(Command { repeat: true, ..command })));
    }

    /// Sends a user's transaction, at times with a copy that arrives later.
    pub(super) fn send_transaction(&mut self, sent: JobTransaction) {
        let transmissions = if !self.fault_free && self.rng.random_bool(0.2) { 2 } else { 1 };
        for _ in 0..transmissions {
            let due = self.now + self.random_delay();
            let (conditions, changes) = (sent.conditions.clone(), sent.changes.clone());
            self.messages.push((due, Message::CompareAndSwap { conditions, changes }));
        }
    }

    /// Returns when the recipient of a message reads it, if that is a leader that is paused.
    pub(super) fn read_after_pause_at(&self, message: &Message) -> Option<Instant> {
        let to = match message {
            Message::Heartbeat(SentHeartbeat { to, .. })
            | Message::CommandReply(CommandReply { to, .. })
            | Message::CommandTimeout(CommandTimeout { to, .. })
            | Message::MachineTerminated { to, .. }
            | Message::CancellationStored { to, .. } => *to,
            _ => return None,
        };
        let (_, until) = self.leaders.get(to)?.as_ref()?.pause?;
        Some(until).filter(|until| *until > self.now)
    }

    /// Delivers a message to its recipient; a leader that is paused reads it afterwards.
    pub(super) fn deliver(&mut self, message: Message) {
        if let Some(at) = self.read_after_pause_at(&message) {
            self.messages.push((at, message));
            return;
        }
        match message {
            Message::Heartbeat(message) => self.deliver_heartbeat(message),
            Message::Answer(message) => self.deliver_answer(message),
            Message::Command(message) => self.deliver_command(message),
            Message::CommandReply(message) => self.deliver_command_reply(message),
            Message::CommandTimeout(message) => self.deliver_command_timeout(message),
            Message::CompareAndSwap { conditions, changes } => self.deliver_transaction(conditions, changes),
            Message::WatermarkAnnouncement { from, to, watermark } => {
                self.deliver_watermark_announcement(from, to, watermark)
            }
            Message::CancellationStored { to, id, fencing_token } => self.apply_cancellation(to, &id, fencing_token),
            Message::TerminateMachine { from, machine } => self.deliver_termination_request(from, machine),
            Message::MachineTerminated { to, machine } => self.deliver_termination_notice(to, &machine),
        }
    }
}
