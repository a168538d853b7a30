//! Delivery of messages: the effect of each message on its recipient.

use std::time::Duration;

use rand::Rng;

use super::ANSWER_TIMEOUT;
use super::messages::{Answer, Command, CommandReply, CommandTimeout, Message, SentHeartbeat};
use super::workers::UnheardAnswers;
use super::world::World;
use crate::protocol::workers::WorkerCommand;
use crate::scheduling::cluster::MachineId;
use crate::scheduling::messages::MessageKind;
use crate::store::{Change, Condition};

impl World {
    /// Delivers a heartbeat to a leader, which answers with the commands that its response policy allows.
    pub(super) fn deliver_heartbeat(&mut self, message: SentHeartbeat) {
        let SentHeartbeat { to, heartbeat, sent, copy } = message;
        let now = self.now;
        let to = if copy { self.draw_copy_recipient() } else { self.restarted_as.get(&to).copied().unwrap_or(to) };
        let Some(w) = self.workers.iter().position(|w| w.id == heartbeat.machine) else { return };
        let Some(mut leader) = self.leaders.get_mut(to).and_then(Option::take) else { return };
        if leader.cluster.is_superseded_by(heartbeat.fencing_token) {
            return;
        }
        let agent_epoch = heartbeat.agent_epoch;
        let policy = self.response_policy(&leader);
        self.users.tally.heartbeats_before_load += usize::from(!policy.cluster_state_loaded);
        let id = self.workers[w].id.clone();
        let mut commands = Vec::new();
        let mut renews_lease = false;
        if !policy.refuses_heartbeat() {
            let ended_jobs = self.reported_ends(&leader, &heartbeat);
            leader.cluster.take_heartbeat(heartbeat, MessageKind::Heartbeat, Some(&self.catalog), now);
            commands = if policy.sends_all_commands() {
                leader.cluster.heartbeat_response_commands(&id, now)
            } else {
                leader.cluster.halts_of_ended_jobs(&id, &ended_jobs)
            };
            renews_lease = self.renews_lease(&mut leader, policy, &id);
            self.users.tally.stop_only_answers += usize::from(!policy.sends_all_commands() && !commands.is_empty());
        }
        let (fencing_token, all_commands) = (leader.cluster.command_token(&id), policy.sends_all_commands());
        self.leaders[to] = Some(leader);
        self.trace(&format!("{id} epoch {agent_epoch} to {to}: {policy:?} renews lease {renews_lease} {commands:?}"));
        if !renews_lease {
            // Without an answer the worker turns to another controller.
            self.users.tally.unanswered_heartbeats += 1;
            let worker = &mut self.workers[w];
            worker.preferred_leader =
                worker.preferred_leader.filter(|preferred| *preferred != to || worker.partitioned_until > now);
            return;
        }
        if !copy {
            self.send(Message::Answer(Answer {
                worker: w,
                from: to,
                agent_epoch,
                sent,
                fencing_token,
                commands,
                all_commands,
            }));
        }
    }

    /// Delivers an answer to a worker, which executes its commands unless the answer is late or outdated.
    pub(super) fn deliver_answer(&mut self, message: Answer) {
        let Answer { worker, from, agent_epoch, sent, fencing_token, commands, all_commands } = message;
        let now = self.now;
        let w = &mut self.workers[worker];
        let late = now - sent > ANSWER_TIMEOUT || w.awaits_answer_until.is_none();
        if w.inbound_lost_until > now {
            let has_news =
                fencing_token > w.fencing_token || commands.iter().any(|o| matches!(o, WorkerCommand::Launch { .. }));
            let count = if w.unheard_answers.leader == from { w.unheard_answers.count } else { 0 };
            let count = count + u32::from(has_news && !late && all_commands);
            w.unheard_answers = UnheardAnswers { leader: from, count };
            return;
        }
        w.unheard_answers = UnheardAnswers::none(from);
        if w.terminated
            || w.hangs_until > now
            || late
            || w.agent_epoch != agent_epoch
            || fencing_token < w.fencing_token
        {
            return;
        }
        (w.fencing_token, w.lease_renewed_at, w.awaits_answer_until) = (fencing_token, sent, None);
        self.execute(worker, commands);
    }

    /// Delivers a direct command to a worker, which executes it and replies with a heartbeat.
    pub(super) fn deliver_command(&mut self, message: Command) {
        let Command { id, worker, from, fencing_token, agent_epoch, .. } = message;
        let now = self.now;
        let w = &mut self.workers[worker];
        if w.terminated {
            return;
        }
        let inbound_lost = w.inbound_lost_until > now;
        if inbound_lost && id.is_multiple_of(2) {
            return;
        }
        let partitioned = w.partitioned_until > now && w.preferred_leader != Some(from);
        if inbound_lost || partitioned || w.hangs_until > now {
            // Executed once the machine continues or the partition heals.
            let due = w.hangs_until.max(w.inbound_lost_until).max(if partitioned { w.partitioned_until } else { now });
            self.messages.push((due, Message::Command(message)));
            return;
        }
        // A machine that continues after its lease has expired kills its tasks before it executes commands.
        if self.users.enabled {
            w.expire_overdue_lease(now);
        }
        if fencing_token >= w.fencing_token && agent_epoch == w.agent_epoch {
            w.fencing_token = fencing_token;
            // The leader sees in the next heartbeat that the machine was reached.
            if w.unheard_answers.leader == from {
                w.unheard_answers = UnheardAnswers::none(from);
            }
            self.execute(worker, message.commands.clone());
            self.repeat_command(message.clone());
        }
        if message.repeat {
            return;
        }
        let heartbeat = self.workers[worker].heartbeat();
        let machine: MachineId = heartbeat.machine.as_str().into();
        self.send(Message::CommandReply(CommandReply { id, to: from, machine, fencing_token, heartbeat }));
    }

    /// Delivers the reply to a direct command, unless the command timed out before.
    pub(super) fn deliver_command_reply(&mut self, message: CommandReply) {
        let CommandReply { id, to, machine, fencing_token, heartbeat } = message;
        let now = self.now;
        let unsettled = self.settled_commands.insert(id);
        if let Some(leader) = self.leaders.get_mut(to).and_then(Option::as_mut).filter(|_| unsettled) {
            leader.cluster.finish_direct_command(&machine, fencing_token, true, now);
            leader.cluster.take_heartbeat(heartbeat, MessageKind::CommandReply, Some(&self.catalog), now);
        }
    }

    /// Delivers the timeout of a direct command to its leader, unless the reply came before.
    pub(super) fn deliver_command_timeout(&mut self, message: CommandTimeout) {
        let CommandTimeout { id, to, machine, fencing_token } = message;
        let now = self.now;
        let unsettled = self.settled_commands.insert(id);
        if let Some(leader) = self.leaders.get_mut(to).and_then(Option::as_mut).filter(|_| unsettled) {
            leader.cluster.finish_direct_command(&machine, fencing_token, false, now);
        }
    }

    /// Applies a transaction to the store; in an outage it is delayed until after the outage.
    pub(super) fn deliver_transaction(&mut self, conditions: Vec<Condition>, changes: Vec<Change>) {
        if let Some((_, until)) = self.users.store_outage {
            let due = until + Duration::from_millis(self.rng.random_range(100..12_000));
            self.messages.push((due, Message::CompareAndSwap { conditions, changes }));
            return;
        }
        let _ = self.apply_transaction(&conditions, &changes);
    }

    /// Lets the cloud terminate a machine and report it; in an outage of the cloud the leader's request waits.
    pub(super) fn deliver_termination_request(&mut self, from: usize, machine: MachineId) {
        let now = self.now;
        if self.cloud_out_until > now {
            self.messages.push((self.cloud_out_until, Message::TerminateMachine { from, machine }));
            return;
        }
        if let Some(w) = self.workers.iter_mut().find(|w| *w.id == *machine) {
            (w.terminated, w.terminated_at) = (true, w.terminated_at.or(Some(now)));
        }
        self.send(Message::MachineTerminated { to: from, machine });
    }

    /// Delivers the cloud's notice to a leader that a machine is terminated.
    pub(super) fn deliver_termination_notice(&mut self, to: usize, machine: &MachineId) {
        let now = self.now;
        if let Some(leader) = self.leaders.get_mut(to).and_then(Option::as_mut) {
            leader.cluster.remove_machine(machine, now);
        }
    }
}
