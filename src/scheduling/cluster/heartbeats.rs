//! Heartbeats: workers' reports, compared with the tasks that are bound to their machines.

use std::time::{Duration, Instant};

use tracing::{debug, info, warn};

use super::{ClusterState, EstimateErrors, Machine, MachineId, MachineState, Phase};
use crate::jobs::{JobId, Shape};
use crate::machine_kinds::Catalog;
use crate::protocol::workers::{AttemptStatus, ExitCause, Heartbeat, TaskKey};
use crate::scheduling::messages::{MessageKind, MessageSequence};
use crate::sla;

/// What a machine's latest report shows of the tasks bound to it.
#[derive(Default)]
struct ReportFindings {
    /// Jobs with a running task that were not known to have run.
    started_jobs: Vec<JobId>,
    /// Tasks whose attempt has exited, with the cause.
    exited_tasks: Vec<(TaskKey, ExitCause)>,
    /// Tasks that are proven not to be on the machine.
    missing_tasks: Vec<TaskKey>,
    /// Whether a task is missing that a repeated launch could start again.
    may_restart_missing_task: bool,
}

impl Machine {
    /// Lets a booting machine take work, on its first message. Returns whether it was booting.
    fn mark_joined(&mut self, now: Instant) -> bool {
        if self.state != MachineState::Booting {
            return false;
        }
        self.state = MachineState::Up;
        self.last_heartbeat = now;
        self.idle_since = self.bound.is_empty().then_some(now);
        info!(
            machine = %self.id,
            boot_s = now.saturating_duration_since(self.provisioned_at).as_secs(),
            "machine joined"
        );
        true
    }

    /// Records a new agent epoch: the worker refuses commands of earlier epochs from now on.
    fn enter_agent_epoch(&mut self, agent_epoch: u64) {
        if agent_epoch > self.agent_epoch {
            self.agent_epoch = agent_epoch;
            self.unsettled_token = None;
            self.direct_launch_token = None;
            self.launch_heartbeat = None;
            self.expected_images.clear();
        }
    }

    fn record_message(&mut self, sequence: MessageSequence, message: MessageKind, now: Instant) {
        self.newest_message = sequence;
        if message == MessageKind::Heartbeat {
            self.newest_heartbeat = sequence;
            self.last_heartbeat = now;
        }
        self.last_seen = now;
    }

    /// Records the report in a message. Returns whether it frees the machine of unbound tasks that blocked it before.
    fn record_report(&mut self, heartbeat: Heartbeat, kind: Option<usize>) -> bool {
        self.addr = Some(heartbeat.addr);
        self.type_name = heartbeat.type_name;
        self.zone = heartbeat.zone;
        self.spot = heartbeat.spot;
        self.kind_index = kind;
        // A lower token than before shows that the agent was restarted and obeys commands under it again.
        self.fencing_token = heartbeat.fencing_token;
        if self.unsettled_token.is_some_and(|fencing_token| self.fencing_token > fencing_token) {
            self.unsettled_token = None;
        }
        self.attempts = heartbeat.attempts;
        let had_unbound_tasks = self.has_unbound_tasks();
        self.update_unbound_tasks();
        had_unbound_tasks && !self.has_unbound_tasks()
    }

    /// Records an interruption notice, if there is one. Returns whether it is the first.
    fn record_notice(&mut self, notice_s: Option<f64>, now: Instant) -> bool {
        let notice = notice_s.map(|s| now + Duration::from_secs_f64(s.max(0.0)));
        let first = notice.is_some() && self.recall_at.is_none();
        self.recall_at = notice.or(self.recall_at);
        first
    }

    fn record_machine_type(&mut self, catalog: Option<&Catalog>) {
        let machine_type = catalog.and_then(|catalog| catalog.get(&self.type_name));
        self.cache_gb = machine_type.and_then(|machine_type| machine_type.cache_gb);
        if catalog.is_some() && machine_type.is_none() {
            let (machine, machine_type) = (&self.id, &self.type_name);
            warn!(%machine, %machine_type, "machine type missing in the catalog; placing no work on it");
        }
    }
}

impl ClusterState {
    /// Applies a worker's heartbeat, or its reply to a command: rejects a stale one, records the report, and reconciles
    /// the bindings with it. The commands of the response come from `heartbeat_response_commands`.
    pub fn take_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        message: MessageKind,
        catalog: Option<&Catalog>,
        now: Instant,
    ) {
        let id: MachineId = heartbeat.machine.as_str().into();
        if self.returned_machine_ids.contains(&id) {
            return;
        }
        let kind = self.kind_index(&heartbeat.type_name, &heartbeat.zone, heartbeat.spot);
        let machine = self.machines.entry(id.clone()).or_insert_with(|| {
            info!(machine = %id, "machine adopted");
            Machine::new(id.clone(), now)
        });
        let sequence = MessageSequence { agent_epoch: heartbeat.agent_epoch, number: heartbeat.seq };
        if sequence <= machine.newest_message {
            debug!(machine = %id, "stale heartbeat rejected");
            return;
        }
        machine.enter_agent_epoch(heartbeat.agent_epoch);
        self.replan_needed |= machine.mark_joined(now);
        machine.record_message(sequence, message, now);
        machine.partition.record_message(&heartbeat, message, self.settings.params.workers.lease(), now);
        // The worker sent it after it had received this leader's fencing token, so it is not a delayed older message.
        if heartbeat.fencing_token >= self.first_fencing_token {
            self.replan_needed |= !std::mem::replace(&mut machine.confirmed, true);
        }
        let notice_s = heartbeat.notice_s;
        self.replan_needed |= machine.record_report(heartbeat, kind);
        let first_notice = machine.record_notice(notice_s, now);
        machine.record_machine_type(catalog);
        self.judge_partition(&id, now);
        self.reconcile_machine(&id, now);
        if first_notice {
            self.handle_recall(&id, now);
        }
    }

    /// Reconciles every machine's last report with the tasks bound to it.
    pub fn reconcile_all_machines(&mut self, now: Instant) {
        let ids: Vec<MachineId> = self.machines.keys().cloned().collect();
        for id in ids {
            self.reconcile_machine(&id, now);
        }
    }

    /// Compares a machine's last report with the tasks bound to it, and records starts, exits and losses.
    fn reconcile_machine(&mut self, id: &MachineId, now: Instant) {
        if !self.loaded {
            return;
        }
        let findings = self.compare_attempts(id, now);
        if findings.may_restart_missing_task {
            self.void_launches(id);
        }
        for job in findings.started_jobs {
            self.record_first_run(&job, now);
        }
        for (key, cause) in findings.exited_tasks {
            self.handle_exit(&key, cause, id, now);
        }
        for key in findings.missing_tasks {
            debug!(job = %key.job, task_index = key.index, machine = %id, "task loss confirmed");
            self.record_task_loss(&key, now);
            self.unbind_task(&key, now);
        }
    }

    /// Looks up the attempt of each bound task in its machine's report, and records its status in the binding.
    fn compare_attempts(&mut self, id: &MachineId, now: Instant) -> ReportFindings {
        let mut findings = ReportFindings::default();
        let Some(machine) = self.machines.get(id).filter(|machine| machine.reported()) else { return findings };
        // Below this leader's fencing token, commands of an earlier one may still arrive.
        let settled = machine.is_settled() && machine.fencing_token >= self.fencing_token;
        for key in &machine.bound {
            let Some(job) = self.jobs.get_mut(&key.job) else { continue };
            let ended = job.ended.is_some();
            let Some(task) = job.tasks.get_mut(key.index as usize) else { continue };
            let Phase::Bound(binding) = &mut task.phase else { continue };
            match machine.reported_attempt(key, task.attempt) {
                Some(report) if report.status == AttemptStatus::Exited => {
                    findings.exited_tasks.push((key.clone(), report.cause.unwrap_or(ExitCause::Error)));
                }
                Some(report) => {
                    binding.record_status(report.status, machine.agent_epoch, now);
                    let begins = report.status == AttemptStatus::Running && !job.has_run;
                    if begins && findings.started_jobs.last() != Some(&key.job) {
                        findings.started_jobs.push(key.job.clone());
                    }
                }
                None if binding.is_absent(machine.agent_epoch, settled, ended) => {
                    // Within an epoch a reported attempt is lost only with its agent, which a late copy of an answered
                    // launch can make start it again.
                    if binding.was_reported_in(machine.agent_epoch)
                        && !machine.launches_void_under(machine.fencing_token)
                    {
                        findings.may_restart_missing_task = true;
                    } else {
                        findings.missing_tasks.push(key.clone());
                    }
                }
                None => {}
            }
        }
        findings
    }

    fn handle_exit(&mut self, key: &TaskKey, cause: ExitCause, on: &MachineId, now: Instant) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let spec_shape = job.spec().shape;
        if cause == ExitCause::Done && spec_shape != Shape::Service && job.ended.is_none() {
            let run_time =
                job.binding(key.index).and_then(|b| b.running_since).map(|since| now.saturating_duration_since(since));
            let estimate = job.spec().estimate();
            let first_attempt = job.tasks[key.index as usize].attempt == 1;
            if let Some(run_time) = run_time.filter(|_| !estimate.is_zero() && first_attempt) {
                let log_ratio = (run_time.as_secs_f64().max(1.0) / estimate.as_secs_f64()).ln().clamp(-2.0, 2.0);
                let class = &job.record.spec.class;
                let EstimateErrors { log_ratio_sum, samples } =
                    self.estimate_errors.get(class).copied().unwrap_or_default();
                let errors = EstimateErrors { log_ratio_sum: log_ratio_sum + log_ratio, samples: samples + 1.0 };
                self.estimate_errors.put(class.clone(), errors);
            }
            self.complete_task(key, on, now);
            return;
        }
        if cause == ExitCause::Error {
            self.record_failure(key, on, now);
        } else if matches!(cause, ExitCause::NoRoom | ExitCause::Busy | ExitCause::Unknown) {
            warn!(
                job = %key.job,
                task_index = key.index,
                machine = %on,
                ?cause,
                "task start rejected; retrying the job's placement after 1 s"
            );
            job.not_before = job.not_before.max(now + Duration::from_secs(1));
        }
        self.unbind_task(key, now);
    }

    pub(super) fn complete_task(&mut self, key: &TaskKey, on: &MachineId, now: Instant) {
        self.free_resources(key, now);
        self.record_success(key, on);
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(task) = job.tasks.get_mut(key.index as usize) else { return };
        task.phase = Phase::Done;
        task.stored = false;
        job.waiting.remove(&key.index);
        job.done += 1;
        self.record_first_run(&key.job, now);
        let Some(job) = self.jobs.get(&key.job) else { return };
        if job.is_complete() {
            if !self.completed_jobs.contains(&key.job) {
                self.completed_jobs.push_back(key.job.clone());
            }
        } else {
            self.unstored_shards.queue_change(key, now);
        }
    }

    /// Drains a machine that the cloud recalls, and stops its tasks that don't run yet, or can save a checkpoint and
    /// would not finish in time.
    fn handle_recall(&mut self, id: &MachineId, now: Instant) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        let Some(recall_at) = machine.recall_at else { return };
        let time_left = recall_at.saturating_duration_since(now);
        info!(machine = %id, notice_s = time_left.as_secs_f64(), "machine recall announced");
        machine.state = match machine.state {
            MachineState::Terminating => MachineState::Terminating,
            _ => MachineState::Draining,
        };
        let keys: Vec<TaskKey> = machine.bound.iter().cloned().collect();
        for key in keys {
            let Some(job) = self.jobs.get(&key.job) else { continue };
            let Some(binding) = job.binding(key.index) else { continue };
            let remaining = sla::remaining_run_time(self.estimated_run_time(job.spec()), binding.run_time(now));
            let save_s = job.spec().save_s;
            let can_save = job.spec().checkpoint_s > 0.0 && save_s + 1.0 < time_left.as_secs_f64();
            if binding.running_since.is_none() || (can_save && remaining > time_left) {
                self.halt_task_or_gang(&key, save_s.ceil() as u64 + 1, now);
            }
        }
    }
}
