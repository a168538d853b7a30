//! Commands: what each machine is to be told, in answers and directly.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use super::{ClusterState, Machine, MachineId, MachineState, Phase};
use crate::jobs::JobId;
use crate::protocol::workers::{AttemptReport, AttemptStatus, TaskKey, WorkerCommand};

/// Orders of one answer or command: about 60 bytes each, well below the body limit.
const MAX_COMMANDS_PER_MESSAGE: usize = 400;
/// Direct commands to one machine are at least this far apart unless something new came up.
const MIN_COMMAND_INTERVAL: Duration = Duration::from_millis(1000);
/// The same to machines that do not hear, and how many of these are tried at once.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(5);
const MAX_PROBES: usize = 8;
/// Direct commands under way may take one in so many of the sockets.
const SOCKETS_PER_COMMAND: u64 = 8;
/// Tokens are raised at most this often.
const MIN_TOKEN_RAISE_INTERVAL: Duration = Duration::from_secs(5);

/// A command to be sent straight to a worker.
#[derive(Debug)]
pub struct DirectCommand {
    /// The machine that is to carry it out.
    pub machine: MachineId,
    /// Its worker's address.
    pub addr: String,
    /// The fencing token under which it is given.
    pub fencing_token: u64,
    /// The agent's epoch that it is meant for.
    pub agent_epoch: u64,
    /// Launches, stops and reaps, in this order.
    pub commands: Vec<WorkerCommand>,
}

impl ClusterState {
    /// What the answer to this machine's heartbeat is to tell it.
    pub fn heartbeat_response_commands(&mut self, machine: &str, now: Instant) -> Vec<WorkerCommand> {
        let Some(m) = self.machines.get(machine) else { return Vec::new() };
        // One way at a time: with a direct command under way, what it did is not known yet. Stops of what is over are
        // never wrong, and this answer renews the lease, which is what else would end the task.
        let commands = if m.command_under_way {
            self.halts_of_ended_jobs(machine, &HashSet::new())
        } else {
            self.commands_for_machine(m)
        };
        self.record_launches(&commands, machine);
        let fencing_token = self.fencing_token;
        if let Some(m) = self.machines.get_mut(machine) {
            m.partition.record_answer(fencing_token, m.fencing_token, &commands, now);
            if commands.iter().any(|o| matches!(o, WorkerCommand::Launch { .. })) {
                m.launch_heartbeat = Some(m.newest_heartbeat);
            }
            if !commands.is_empty() {
                m.command_due = false;
                m.next_command_at = now + MIN_COMMAND_INTERVAL;
            }
        }
        commands
    }

    /// What a machine is to be told by a leader that cannot prove that it is one, or has not read everything
    /// yet: stops of tasks whose job is over, and nothing else. An end is final and its stop fenced by the
    /// fencing token, so neither can be wrong. `over`: jobs known to be so beside those in this cluster state.
    pub fn halts_of_ended_jobs(&self, machine: &str, over: &HashSet<JobId>) -> Vec<WorkerCommand> {
        let Some(m) = self.machines.get(machine) else { return Vec::new() };
        let ended = |id: &JobId| {
            over.contains(id) || self.job_end_times.contains(id) || self.jobs.get(id).is_some_and(|j| j.ended.is_some())
        };
        let live = m
            .attempts
            .iter()
            .filter(|attempt_report| attempt_report.status != AttemptStatus::Exited && ended(&attempt_report.task.job));
        let stop = |attempt_report: &AttemptReport| WorkerCommand::Halt {
            task: attempt_report.task.clone(),
            attempt: attempt_report.attempt,
            grace_s: 0,
        };
        live.map(stop).take(MAX_COMMANDS_PER_MESSAGE).collect()
    }

    fn record_launches(&mut self, commands: &[WorkerCommand], machine: &str) {
        let Some(agent_epoch) = self.machines.get(machine).map(|m| m.agent_epoch) else { return };
        for command in commands {
            if let WorkerCommand::Launch { task, .. } = command
                && let Some(binding) = self.jobs.get_mut(&task.job).and_then(|j| j.binding_mut(task.index))
            {
                binding.announced_epoch.get_or_insert(agent_epoch);
            }
        }
    }

    /// All that a machine should be told now, as a function of the cluster state alone.
    fn commands_for_machine(&self, m: &Machine) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        if !self.loaded {
            return commands;
        }
        commands.extend(m.attempts.iter().filter_map(|report| self.command_for_attempt(m, report)));
        if m.recall_at.is_none() {
            commands.extend(m.bound.iter().filter_map(|key| self.launch_command(m, key)));
        }
        if m.state == MachineState::Terminating {
            // Its return lasts as long as the cloud answers nobody, and answers keep its lease until then.
            commands.retain(|o| matches!(o, WorkerCommand::Halt { .. }));
        }
        commands.truncate(MAX_COMMANDS_PER_MESSAGE);
        commands
    }

    /// What a machine is to do with an attempt that it has reported: forget it, stop it, or nothing.
    fn command_for_attempt(&self, m: &Machine, report: &AttemptReport) -> Option<WorkerCommand> {
        let (task, attempt) = (report.task.clone(), report.attempt);
        let job = self.jobs.get(&task.job);
        let known = job.and_then(|j| j.tasks.get(task.index as usize).map(|t| (j, t)));
        let binding = known.and_then(|(_, t)| match &t.phase {
            Phase::Bound(b) if t.attempt == attempt && b.machine == m.id => Some(b),
            _ => None,
        });
        if report.status == AttemptStatus::Exited {
            // A completion is stored before it may be forgotten, and nothing is forgotten
            // that a command still under way could start again.
            let unstored =
                matches!(known, Some((j, t)) if matches!(t.phase, Phase::Done) && !t.stored && j.ended.is_none());
            // What has ended of a job that is suspended is looked at once it is released.
            let may_reap = binding.is_none() && !unstored && m.is_settled() && !self.is_suspended(&task.job);
            return may_reap.then_some(WorkerCommand::Reap { task, attempt });
        }
        let ended = job.is_none_or(|j| j.ended.is_some());
        let grace_s = match binding {
            Some(binding) if !ended => binding.halt_grace_s?,
            _ => return Some(WorkerCommand::Halt { task, attempt, grace_s: 0 }),
        };
        let must_halt = report.status != AttemptStatus::Saving || grace_s == 0;
        must_halt.then_some(WorkerCommand::Halt { task, attempt, grace_s })
    }

    /// The launch of a bound task that is stored and not shown by its machine, if it may start.
    fn launch_command(&self, m: &Machine, key: &TaskKey) -> Option<WorkerCommand> {
        let job = self.jobs.get(&key.job)?;
        let task = job.tasks.get(key.index as usize)?;
        let Phase::Bound(binding) = &task.phase else { return None };
        let may_launch = task.stored
            && m.reported_attempt(key, task.attempt).is_none()
            && !binding.inherited
            && job.ended.is_none()
            && binding.halt_grace_s.is_none()
            && job.is_launchable();
        may_launch.then(|| WorkerCommand::Launch { task: key.clone(), attempt: task.attempt })
    }

    /// Commands for machines that have something new to be told, or have not yet seen this leader's fencing token.
    pub fn direct_commands(&mut self, now: Instant) -> Vec<DirectCommand> {
        let due = self.machines_to_command(now);
        due.into_iter().filter_map(|id| self.direct_command(id, now)).collect()
    }

    /// Machines that may be sent a command now: with news first, then those that are to see the fencing token.
    fn machines_to_command(&self, now: Instant) -> Vec<MachineId> {
        let (mut with_news, mut unaware, mut under_way) = (Vec::new(), Vec::new(), 0);
        // Whether those that do not hear do now: the answer to a command tells at once.
        let mut probes = Vec::new();
        for m in self.machines.values() {
            if m.command_under_way {
                under_way += 1;
            } else if m.state != MachineState::Terminating && m.command_due {
                with_news.push(m.id.clone());
            } else if m.state != MachineState::Terminating && now >= m.next_command_at {
                if m.inbound_lost {
                    probes.push(m.id.clone());
                } else if m.fencing_token < self.fencing_token {
                    unaware.push(m.id.clone());
                }
            }
        }
        // Each takes a socket, and heartbeats need as many; what is left over goes with the next.
        let most = (self.settings.params.limits.max_sockets / SOCKETS_PER_COMMAND).max(4) as usize;
        let most = most.saturating_sub(under_way);
        let due_now = with_news.len() + unaware.len();
        probes.truncate(most.saturating_sub(due_now).min(MAX_PROBES));
        with_news.into_iter().chain(unaware).chain(probes).take(most).collect()
    }

    /// The command for one machine, which is under way from now on; none if it has nothing to be told.
    fn direct_command(&mut self, id: MachineId, now: Instant) -> Option<DirectCommand> {
        let m = self.machines.get(&id)?;
        let addr = m.addr.clone()?;
        let mut commands = self.commands_for_machine(m);
        if m.inbound_lost {
            // Launches would only keep what they are for from being proven gone; they go with answers.
            commands.retain(|o| !matches!(o, WorkerCommand::Launch { .. }));
        } else if commands.is_empty() && m.fencing_token >= self.fencing_token {
            if let Some(m) = self.machines.get_mut(&id) {
                m.command_due = false;
            }
            return None;
        }
        self.record_launches(&commands, &id);
        let fencing_token = self.fencing_token;
        let m = self.machines.get_mut(&id)?;
        m.command_under_way = true;
        m.launch_under_way = commands.iter().any(|o| matches!(o, WorkerCommand::Launch { .. }));
        m.command_due = false;
        m.next_command_at = now + if m.inbound_lost { MIN_PROBE_INTERVAL } else { MIN_COMMAND_INTERVAL };
        Some(DirectCommand { machine: id, addr, fencing_token, agent_epoch: m.agent_epoch.max(1), commands })
    }

    /// A direct command is no longer waited for. Unless settled, it may still be executed.
    pub fn finish_direct_command(&mut self, machine: &MachineId, fencing_token: u64, settled: bool, now: Instant) {
        // Of an earlier cluster state of this process, which lost leadership and has it again: the command that is
        // under way now is another one.
        if fencing_token < self.first_fencing_token {
            return;
        }
        let Some(m) = self.machines.get_mut(machine) else { return };
        m.command_under_way = false;
        m.next_command_at = now + if m.inbound_lost { MIN_PROBE_INTERVAL } else { MIN_COMMAND_INTERVAL };
        // A late stop or reap does nothing that was not meant for ever; a late launch does.
        if !settled && std::mem::take(&mut m.launch_under_way) {
            m.unsettled_token = Some(m.unsettled_token.map_or(fencing_token, |t| t.max(fencing_token)));
            self.higher_token_wanted = true;
        }
    }

    /// Whether commands that may still arrive are to be made void by a higher fencing token.
    pub fn token_raise_needed(&self, now: Instant) -> bool {
        self.higher_token_wanted
            && self.loaded
            && now.saturating_duration_since(self.token_raised_at) >= MIN_TOKEN_RAISE_INTERVAL
            && self.machines.values().any(|m| m.unsettled_token.is_some_and(|t| t >= self.fencing_token))
    }

    /// Goes on under a higher fencing token of the same leader, which voids all earlier commands.
    pub fn raise_fencing_token(&mut self, fencing_token: u64) {
        self.fencing_token = self.fencing_token.max(fencing_token);
        self.higher_token_wanted = false;
        self.token_raised_at += MIN_TOKEN_RAISE_INTERVAL;
    }
}
