//! What each message does where it arrives.

use std::time::Duration;

use rand::Rng;

use super::ANSWER_TAKEN;
use super::messages::{Answer, Command, GivenUp, Message, Reply, SentHeartbeat};
use super::world::World;
use crate::protocol::workers::WorkerCommand;
use crate::scheduling::cluster::MachineId;
use crate::scheduling::messages::MessageKind;
use crate::store::{Change, Condition};

impl World {
    /// A leader takes a heartbeat, and answers with what it has the right to say.
    pub(super) fn deliver_report(&mut self, message: SentHeartbeat) {
        let SentHeartbeat { to, heartbeat, sent, copy } = message;
        let now = self.now;
        let to = if copy { self.reader() } else { self.reborn.get(&to).copied().unwrap_or(to) };
        let Some(w) = self.workers.iter().position(|w| w.id == heartbeat.machine) else { return };
        let Some(mut leader) = self.leaders.get_mut(to).and_then(Option::take) else { return };
        if heartbeat.fencing_token > leader.cluster.fencing_token {
            return;
        }
        let agent_epoch = heartbeat.agent_epoch;
        let policy = self.response_policy(&leader);
        self.users.tally.unloaded += usize::from(!policy.cluster_state_loaded);
        let id = self.workers[w].id.clone();
        let mut orders = Vec::new();
        let mut held = false;
        if !policy.stays_silent() {
            let over = self.reported_ends(&leader, &heartbeat);
            leader.cluster.take_heartbeat(heartbeat, MessageKind::Heartbeat, Some(&self.catalog), now);
            orders = if policy.sends_all_commands() {
                leader.cluster.heartbeat_response_commands(&id, now)
            } else {
                leader.cluster.halts_of_ended_jobs(&id, &over)
            };
            held = self.holds(&mut leader, policy, &id);
            self.users.tally.stops += usize::from(!policy.sends_all_commands() && !orders.is_empty());
        }
        let (fencing_token, whole) = (leader.cluster.fencing_token, policy.sends_all_commands());
        self.leaders[to] = Some(leader);
        self.trace(&format!("{id} s{agent_epoch} to {to}: {policy:?} held {held} {orders:?}"));
        if !held {
            // Asks elsewhere.
            self.users.tally.nobody += 1;
            let worker = &mut self.workers[w];
            worker.home = worker.home.filter(|home| *home != to || worker.apart_until > now);
            return;
        }
        if !copy {
            self.send(Message::Answer(Answer { worker: w, from: to, agent_epoch, sent, fencing_token, orders, whole }));
        }
    }

    /// A worker carries out what an answer orders, unless it came too late or is void.
    pub(super) fn deliver_answer(&mut self, message: Answer) {
        let Answer { worker, from, agent_epoch, sent, fencing_token, orders, whole } = message;
        let now = self.now;
        let w = &mut self.workers[worker];
        let late = now - sent > ANSWER_TAKEN || w.waits_until.is_none();
        if w.inbound_lost_until > now {
            let tells =
                fencing_token > w.fencing_token || orders.iter().any(|o| matches!(o, WorkerCommand::Launch { .. }));
            let row = if w.unheard.0 == from { w.unheard.1 } else { 0 };
            w.unheard = (from, row + u32::from(tells && !late && whole));
            return;
        }
        w.unheard = (from, 0);
        if w.gone || w.hangs_until > now || late || w.agent_epoch != agent_epoch || fencing_token < w.fencing_token {
            return;
        }
        (w.fencing_token, w.renewed, w.waits_until) = (fencing_token, sent, None);
        self.execute(worker, orders);
    }

    /// A worker carries out a direct command and replies with a heartbeat.
    pub(super) fn deliver_command(&mut self, message: Command) {
        let Command { id, worker, from, fencing_token, agent_epoch, orders } = message;
        let now = self.now;
        let w = &mut self.workers[worker];
        if w.gone {
            return;
        }
        let inbound_lost = w.inbound_lost_until > now;
        if inbound_lost && id.is_multiple_of(2) {
            return;
        }
        let apart = w.apart_until > now && w.home != Some(from);
        if inbound_lost || apart || w.hangs_until > now {
            // Executed once the machine goes on, or once what was held back comes through.
            let due = w.hangs_until.max(w.inbound_lost_until).max(if apart { w.apart_until } else { now });
            self.messages
                .push((due, Message::Command(Command { id, worker, from, fencing_token, agent_epoch, orders })));
            return;
        }
        // A machine goes on within its lease, or without what it had: its lease ends first.
        if self.users.on {
            w.end_lease(now);
        }
        if fencing_token >= w.fencing_token && agent_epoch == w.agent_epoch {
            w.fencing_token = fencing_token;
            self.execute(worker, orders);
        }
        let heartbeat = self.workers[worker].heartbeat();
        let machine: MachineId = heartbeat.machine.as_str().into();
        self.send(Message::Reply(Reply { id, to: from, machine, fencing_token, heartbeat }));
    }

    /// The reply to a direct command, unless the command was given up before.
    pub(super) fn deliver_reply(&mut self, message: Reply) {
        let Reply { id, to, machine, fencing_token, heartbeat } = message;
        let now = self.now;
        let first = self.over.insert(id);
        if let Some(leader) = self.leaders.get_mut(to).and_then(Option::as_mut).filter(|_| first) {
            leader.cluster.finish_direct_command(&machine, fencing_token, true, now);
            leader.cluster.take_heartbeat(heartbeat, MessageKind::CommandReply, Some(&self.catalog), now);
        }
    }

    /// A leader no longer waits for the reply to a direct command.
    pub(super) fn deliver_given_up(&mut self, message: GivenUp) {
        let GivenUp { id, to, machine, fencing_token } = message;
        let now = self.now;
        let first = self.over.insert(id);
        if let Some(leader) = self.leaders.get_mut(to).and_then(Option::as_mut).filter(|_| first) {
            leader.cluster.finish_direct_command(&machine, fencing_token, false, now);
        }
    }

    /// The store applies a transaction, or does so after its outage.
    pub(super) fn deliver_transaction(&mut self, conditions: Vec<Condition>, changes: Vec<Change>) {
        if let Some((_, until)) = self.users.out {
            let due = until + Duration::from_millis(self.rng.random_range(100..12_000));
            self.messages.push((due, Message::CompareAndSwap { conditions, changes }));
            return;
        }
        let _ = self.apply(&conditions, &changes);
    }

    /// The cloud ends a machine, and tells so.
    pub(super) fn deliver_return(&mut self, from: usize, machine: MachineId) {
        let now = self.now;
        if let Some(w) = self.workers.iter_mut().find(|w| *w.id == *machine) {
            (w.gone, w.gone_at) = (true, w.gone_at.or(Some(now)));
        }
        self.send(Message::Returned { to: from, machine });
    }

    /// A leader hears from the cloud that a machine is gone.
    pub(super) fn deliver_returned(&mut self, to: usize, machine: &MachineId) {
        let now = self.now;
        if let Some(leader) = self.leaders.get_mut(to).and_then(Option::as_mut) {
            leader.cluster.remove_machine(machine, now);
        }
    }
}
