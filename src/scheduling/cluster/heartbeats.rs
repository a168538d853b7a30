//! Heartbeats: what workers say, compared with what is bound to them.

use std::time::{Duration, Instant};

use tracing::{debug, info, warn};

use super::{ClusterState, Machine, MachineId, MachineState, Phase, Via};
use crate::jobs::Shape;
use crate::machine_kinds::Catalog;
use crate::protocol::workers::{AttemptReport, AttemptStatus, ExitCause, Heartbeat, TaskKey};
use crate::sla;

impl ClusterState {
    /// Takes in a worker's heartbeat, or its reply to a command.
    pub fn take_heartbeat(&mut self, heartbeat: Heartbeat, via: Via, catalog: Option<&Catalog>, now: Instant) {
        let id: MachineId = heartbeat.machine.as_str().into();
        if self.gone_set.contains(&id) {
            return;
        }
        let kind = self.kind(&heartbeat.type_name, &heartbeat.zone, heartbeat.spot);
        let machine = self.machines.entry(id.clone()).or_insert_with(|| {
            info!(machine = %id, "adopted");
            Machine::new(id.clone(), now)
        });
        let at = (heartbeat.agent_epoch, heartbeat.seq);
        if at <= machine.newest {
            debug!(machine = %id, "an old report");
            return;
        }
        if machine.state == MachineState::Booting {
            machine.state = MachineState::Up;
            machine.last_heartbeat = now;
            self.stirred = true;
            machine.idle_since = machine.bound.is_empty().then_some(now);
            info!(machine = %id, after_s = now.saturating_duration_since(machine.since).as_secs(), "machine is up");
        }
        if heartbeat.agent_epoch > machine.agent_epoch {
            machine.agent_epoch = heartbeat.agent_epoch;
            // Commands of an earlier agent epoch are refused by the worker.
            machine.unsettled = None;
            machine.launched_in = None;
            machine.images.clear();
        }
        machine.newest = at;
        if via == Via::Heartbeat {
            machine.newest_heartbeat = at;
            machine.last_heartbeat = now;
        }
        machine.heard = now;
        machine.partition.heard_of(&heartbeat, via, self.settings.params.workers.lease(), now);
        // It was made after the worker had heard this leader, so it is no copy of before.
        if heartbeat.fencing_token >= self.first_fencing_token && !std::mem::replace(&mut machine.known, true) {
            self.stirred = true;
        }
        machine.addr = Some(heartbeat.addr);
        machine.type_name = heartbeat.type_name;
        machine.zone = heartbeat.zone;
        machine.spot = heartbeat.spot;
        machine.kind = kind;
        machine.fencing_token = machine.fencing_token.max(heartbeat.fencing_token);
        if machine.unsettled.is_some_and(|t| machine.fencing_token > t) {
            machine.unsettled = None;
        }
        machine.attempts = heartbeat.attempts;
        let had_strays = machine.has_strays();
        machine.look_for_strays();
        self.stirred |= had_strays && !machine.has_strays();
        let notice = heartbeat.notice_s.map(|s| now + Duration::from_secs_f64(s.max(0.0)));
        let news = notice.is_some() && machine.recall.is_none();
        machine.recall = notice.or(machine.recall);
        let of = catalog.and_then(|c| c.get(&machine.type_name));
        machine.cache_gb = of.and_then(|of| of.cache_gb);
        if catalog.is_some() && of.is_none() {
            warn!(machine = %id, type_name = machine.type_name, "a machine of no known type");
        }
        self.judge_partition(&id, now);
        self.reconcile(&id, now);
        if news {
            self.recalled(&id, now);
        }
    }

    /// Compares what every machine last reported with what is bound to it.
    pub fn reconcile_all(&mut self, now: Instant) {
        let ids: Vec<MachineId> = self.machines.keys().cloned().collect();
        for id in ids {
            self.reconcile(&id, now);
        }
    }

    /// Compares what a machine reported with what is bound to it.
    fn reconcile(&mut self, id: &MachineId, now: Instant) {
        if !self.loaded {
            return;
        }
        let Some(machine) = self.machines.get(id) else { return };
        if !machine.reported() {
            return;
        }
        // Below this leader's fencing token, commands of an earlier one may still arrive.
        let settled = machine.settled() && machine.fencing_token >= self.fencing_token;
        let agent_epoch = machine.agent_epoch;
        let mut exits = Vec::new();
        let mut missing = Vec::new();
        let mut begin = Vec::new();
        for key in &machine.bound {
            let Some(job) = self.jobs.get_mut(&key.job) else { continue };
            let ended = job.ended.is_some();
            let Some(task) = job.tasks.get_mut(key.index as usize) else { continue };
            let attempt = task.attempt;
            let Phase::Bound(binding) = &mut task.phase else { continue };
            let is_it = |l: &&AttemptReport| l.task.index == key.index && l.attempt == attempt && l.task.job == key.job;
            match machine.attempts.iter().find(is_it) {
                Some(attempt_report) if attempt_report.status == AttemptStatus::Exited => {
                    exits.push((key.clone(), attempt_report.cause.unwrap_or(ExitCause::Error)));
                }
                Some(attempt_report) => {
                    binding.status = Some(attempt_report.status);
                    binding.told.get_or_insert(agent_epoch);
                    if attempt_report.status == AttemptStatus::Running {
                        binding.running_since.get_or_insert(now);
                        if !job.begun && begin.last() != Some(&key.job) {
                            begin.push(key.job.clone());
                        }
                    }
                }
                None => {
                    let session_over = binding.told.is_some_and(|s| s < agent_epoch);
                    let unneeded = ended || binding.halting.is_some() || binding.inherited || binding.status.is_some();
                    if session_over || (settled && unneeded) {
                        missing.push(key.clone());
                    }
                }
            }
        }
        for job in begin {
            self.note_begun(&job, now);
        }
        for (key, cause) in exits {
            self.exited(&key, cause, id, now);
        }
        for key in missing {
            debug!(task = %key.job, index = key.index, machine = %id, "proven gone");
            self.note_loss(&key, now);
            self.unbind(&key, now);
        }
    }

    fn exited(&mut self, key: &TaskKey, cause: ExitCause, on: &MachineId, now: Instant) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let spec_shape = job.spec().shape;
        if cause == ExitCause::Done && spec_shape != Shape::Service && job.ended.is_none() {
            let ran =
                job.binding(key.index).and_then(|b| b.running_since).map(|since| now.saturating_duration_since(since));
            let estimate = job.spec().estimate();
            if let Some(ran) = ran.filter(|_| !estimate.is_zero() && job.tasks[key.index as usize].attempt == 1) {
                let off = (ran.as_secs_f64().max(1.0) / estimate.as_secs_f64()).ln().clamp(-2.0, 2.0);
                let class = &job.record.spec.class;
                let (logs, n) = self.observed.get(class).copied().unwrap_or_default();
                self.observed.put(class.clone(), (logs + off, n + 1.0));
            }
            self.completed_task(key, on, now);
            return;
        }
        if cause == ExitCause::Error {
            self.failed(key, on, now);
        } else if matches!(cause, ExitCause::NoRoom | ExitCause::Busy | ExitCause::Unknown) {
            warn!(task = %key.job, index = key.index, machine = %on, ?cause, "start refused");
            job.not_before = job.not_before.max(now + Duration::from_secs(1));
        }
        self.unbind(key, now);
    }

    pub(super) fn completed_task(&mut self, key: &TaskKey, on: &MachineId, now: Instant) {
        self.leave(key, now);
        self.did_well(key, on);
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(task) = job.tasks.get_mut(key.index as usize) else { return };
        task.phase = Phase::Done;
        task.stored = false;
        job.waiting.remove(&key.index);
        job.done += 1;
        self.note_begun(&key.job, now);
        let Some(job) = self.jobs.get(&key.job) else { return };
        if job.complete() {
            if !self.completed.contains(&key.job) {
                self.completed.push_back(key.job.clone());
            }
        } else {
            self.dirty.news(key, now);
        }
    }

    /// The cloud takes the machine away: what can save and would not finish in time is stopped.
    fn recalled(&mut self, id: &MachineId, now: Instant) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        let Some(recall) = machine.recall else { return };
        let left = recall.saturating_duration_since(now);
        info!(machine = %id, left_s = left.as_secs_f64(), "to be taken away");
        machine.state = match machine.state {
            MachineState::Terminating => MachineState::Terminating,
            _ => MachineState::Draining,
        };
        let keys: Vec<TaskKey> = machine.bound.iter().cloned().collect();
        for key in keys {
            let Some(job) = self.jobs.get(&key.job) else { continue };
            let Some(binding) = job.binding(key.index) else { continue };
            let rest = sla::remaining(self.estimate(job.spec()), binding.ran(now));
            let save_s = job.spec().save_s;
            let can_save = job.spec().checkpoint_s > 0.0 && save_s + 1.0 < left.as_secs_f64();
            if binding.running_since.is_none() || (can_save && rest > left) {
                self.halt(&key, save_s.ceil() as u64 + 1, now);
            }
        }
    }
}
