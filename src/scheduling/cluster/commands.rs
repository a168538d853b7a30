//! Commands to workers: in responses to their heartbeats, and sent directly.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use super::{ClusterState, Machine, MachineId, MachineState, Phase};
use crate::jobs::JobId;
use crate::protocol::workers::{AttemptReport, AttemptStatus, TaskKey, WorkerCommand};

/// Commands in one response or direct message: about 60 bytes each, well below the body limit.
const MAX_COMMANDS_PER_MESSAGE: usize = 400;
/// Minimum time between direct commands to one machine, unless there is something new to send.
const MIN_COMMAND_INTERVAL: Duration = Duration::from_millis(1000);
/// Minimum time between direct commands to a machine with a one-way partition.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Machines with a one-way partition that are probed at once.
const MAX_PROBES: usize = 8;
/// Sockets of this controller for each direct command that may be in flight.
const SOCKETS_PER_COMMAND: u64 = 8;
/// Minimum time between two raises of the fencing token.
const MIN_TOKEN_RAISE_INTERVAL: Duration = Duration::from_secs(5);

/// Commands to be sent directly to a worker.
#[derive(Debug)]
pub struct DirectCommand {
    /// The machine whose worker carries them out.
    pub machine: MachineId,
    /// The worker's address.
    pub addr: String,
    /// The fencing token under which they are given.
    pub fencing_token: u64,
    /// The agent epoch that they are valid in.
    pub agent_epoch: u64,
    /// Halts and reaps of reported attempts, then launches.
    pub commands: Vec<WorkerCommand>,
}

impl ClusterState {
    /// The commands in the response to a machine's heartbeat. The response carries the machine's `command_token`, which
    /// this may raise.
    pub fn heartbeat_response_commands(&mut self, machine: &str, now: Instant) -> Vec<WorkerCommand> {
        let Some(m) = self.machines.get(machine) else { return Vec::new() };
        // While a direct command is in flight, its effect is not known yet. Halting tasks of ended jobs is always safe,
        // and needed: this response renews the lease, whose expiry would otherwise end them.
        let reaping_token = self.reaping_token_of(m);
        let commands = if m.direct_command_in_flight {
            self.halts_of_ended_jobs(machine, &HashSet::new())
        } else {
            self.commands_for_machine(m, reaping_token)
        };
        self.raise_command_token(machine, &commands, reaping_token);
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

    /// The commands of a leader whose leadership is unproven, or which has not loaded everything yet: halts of tasks
    /// whose job has ended, and nothing else. The end of a job is final and its halts are fenced by the fencing token,
    /// so neither can be wrong. `also_ended`: ended jobs beside those known to this cluster state.
    pub fn halts_of_ended_jobs(&self, machine: &str, also_ended: &HashSet<JobId>) -> Vec<WorkerCommand> {
        let Some(m) = self.machines.get(machine) else { return Vec::new() };
        let ended = |id: &JobId| {
            also_ended.contains(id)
                || self.job_end_times.contains(id)
                || self.jobs.get(id).is_some_and(|j| j.ended.is_some())
        };
        let live = m
            .attempts
            .iter()
            .filter(|attempt_report| attempt_report.status != AttemptStatus::Exited && ended(&attempt_report.task.job));
        let halt = |attempt_report: &AttemptReport| WorkerCommand::Halt {
            task: attempt_report.task.clone(),
            attempt: attempt_report.attempt,
            grace_s: 0,
        };
        live.map(halt).take(MAX_COMMANDS_PER_MESSAGE).collect()
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

    /// All commands that a machine should receive now, as a function of the cluster state alone. `reaping_token`: the
    /// fencing token of the message if it reaps.
    fn commands_for_machine(&self, m: &Machine, reaping_token: u64) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        if !self.loaded {
            return commands;
        }
        commands.extend(m.attempts.iter().filter_map(|report| self.command_for_attempt(m, report, reaping_token)));
        if m.recall_at.is_none() {
            commands.extend(m.bound.iter().filter_map(|key| self.launch_command(m, key)));
        }
        if m.state == MachineState::Terminating {
            // Termination takes until the cloud answers, and until then heartbeat responses renew the machine's lease.
            commands.retain(|o| matches!(o, WorkerCommand::Halt { .. }));
        }
        commands.truncate(MAX_COMMANDS_PER_MESSAGE);
        commands
    }

    /// The command for an attempt that a machine has reported: reap, halt, or none.
    fn command_for_attempt(&self, m: &Machine, report: &AttemptReport, reaping_token: u64) -> Option<WorkerCommand> {
        let (task, attempt) = (report.task.clone(), report.attempt);
        let job = self.jobs.get(&task.job);
        let known = job.and_then(|j| j.tasks.get(task.index as usize).map(|t| (j, t)));
        let binding = known.and_then(|(_, t)| match &t.phase {
            Phase::Bound(b) if t.attempt == attempt && b.machine == m.id => Some(b),
            _ => None,
        });
        if report.status == AttemptStatus::Exited {
            // A completion is stored before its attempt may be reaped, and no attempt is reaped that a command still
            // in flight, or repeated later, could start again.
            let unstored =
                matches!(known, Some((j, t)) if matches!(t.phase, Phase::Done) && !t.stored && j.ended.is_none());
            // Exited attempts of a suspended job are evaluated when the job is resumed.
            let launches_void = m.is_settled() && m.launches_void_under(reaping_token);
            let may_reap = binding.is_none() && !unstored && launches_void && !self.is_suspended(&task.job);
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

    /// The launch of a bound task, if its binding is stored, its machine does not report it and it may start.
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

    /// Direct commands for machines that have new commands or have not yet seen this leader's fencing token.
    pub fn direct_commands(&mut self, now: Instant) -> Vec<DirectCommand> {
        let due = self.machines_to_command(now);
        due.into_iter().filter_map(|id| self.direct_command(id, now)).collect()
    }

    /// Machines that may be sent a direct command now: those with new commands first, then those that have not seen the
    /// fencing token, then those with a one-way partition.
    fn machines_to_command(&self, now: Instant) -> Vec<MachineId> {
        let (mut with_new_commands, mut unaware, mut under_way) = (Vec::new(), Vec::new(), 0);
        // Machines with a one-way partition: a reply to a command shows at once that it has healed.
        let mut probes = Vec::new();
        for m in self.machines.values() {
            if m.direct_command_in_flight {
                under_way += 1;
            } else if m.state != MachineState::Terminating && m.command_due {
                with_new_commands.push(m.id.clone());
            } else if m.state != MachineState::Terminating && now >= m.next_command_at {
                if m.inbound_lost {
                    probes.push(m.id.clone());
                } else if m.fencing_token < self.fencing_token {
                    unaware.push(m.id.clone());
                }
            }
        }
        // Each command takes a socket, and heartbeats need sockets as well; the rest waits for the next round.
        let limit = (self.settings.params.limits.max_sockets / SOCKETS_PER_COMMAND).max(4) as usize;
        let limit = limit.saturating_sub(under_way);
        let due_now = with_new_commands.len() + unaware.len();
        probes.truncate(limit.saturating_sub(due_now).min(MAX_PROBES));
        with_new_commands.into_iter().chain(unaware).chain(probes).take(limit).collect()
    }

    /// The direct command for one machine, which counts as in flight from now on; None if there is nothing to send.
    fn direct_command(&mut self, id: MachineId, now: Instant) -> Option<DirectCommand> {
        let m = self.machines.get(&id)?;
        let addr = m.addr.clone()?;
        let fencing_token = self.command_token_of(m);
        let mut commands = self.commands_for_machine(m, fencing_token);
        if m.inbound_lost {
            // A launch that may arrive would keep its task from being proven gone; launches go with responses instead.
            commands.retain(|o| !matches!(o, WorkerCommand::Launch { .. }));
        } else if commands.is_empty() && m.fencing_token >= self.fencing_token {
            if let Some(m) = self.machines.get_mut(&id) {
                m.command_due = false;
            }
            return None;
        }
        self.record_launches(&commands, &id);
        let m = self.machines.get_mut(&id)?;
        m.direct_command_in_flight = true;
        m.direct_launch_in_flight = commands.iter().any(|o| matches!(o, WorkerCommand::Launch { .. }));
        if m.direct_launch_in_flight {
            m.record_direct_launch(fencing_token);
        }
        m.command_due = false;
        m.next_command_at = now + if m.inbound_lost { MIN_PROBE_INTERVAL } else { MIN_COMMAND_INTERVAL };
        Some(DirectCommand { machine: id, addr, fencing_token, agent_epoch: m.agent_epoch.max(1), commands })
    }

    /// Records that the reply to a direct command is no longer awaited. Unless `settled`, it may still be executed.
    pub fn finish_direct_command(&mut self, machine: &MachineId, fencing_token: u64, settled: bool, now: Instant) {
        // The command was sent from an earlier cluster state, before this process lost leadership and regained it; the
        // command that is in flight now is another one.
        if fencing_token < self.first_fencing_token {
            return;
        }
        let Some(m) = self.machines.get_mut(machine) else { return };
        m.direct_command_in_flight = false;
        m.next_command_at = now + if m.inbound_lost { MIN_PROBE_INTERVAL } else { MIN_COMMAND_INTERVAL };
        // A late halt or reap only does what was meant to last; a late launch would start a task again.
        if !settled && std::mem::take(&mut m.direct_launch_in_flight) {
            m.unsettled_token = Some(m.unsettled_token.map_or(fencing_token, |t| t.max(fencing_token)));
            self.higher_token_wanted = true;
        }
    }

    /// Whether the fencing token is to be raised to void commands that may still arrive.
    pub fn token_raise_needed(&self, now: Instant) -> bool {
        self.higher_token_wanted
            && self.loaded
            && now.saturating_duration_since(self.token_raised_at) >= MIN_TOKEN_RAISE_INTERVAL
            && self.machines.values().any(|m| m.unsettled_token.is_some_and(|t| t >= self.fencing_token))
    }

    /// Continues under a higher fencing token of the same leader, which voids all earlier commands.
    pub fn raise_fencing_token(&mut self, fencing_token: u64) {
        self.fencing_token = self.fencing_token.max(fencing_token);
        self.higher_token_wanted = false;
        self.token_raised_at += MIN_TOKEN_RAISE_INTERVAL;
    }
}
