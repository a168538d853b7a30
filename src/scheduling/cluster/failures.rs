//! Task failures: how they are recorded, and the quarantines of jobs and machines that follow.

use std::time::{Duration, Instant};

use tracing::{info, warn};

use super::{ClusterState, JobState, MachineId, MachineState};
use crate::jobs::JobId;
use crate::protocol::workers::{AttemptStatus, TaskKey};
use crate::scheduling::failure_attribution::{Failure, MAX_PROBE_TASKS, MIN_HEALTHY_RUN_TIME};

/// Bound tasks of a job that are examined in the search for a healthy one.
const MAX_TASKS_EXAMINED: usize = 200;

/// Whether a task of the job is done, or has run on another machine than `except` for [`MIN_HEALTHY_RUN_TIME`].
fn has_healthy_task(job: &JobState, except: &MachineId, now: Instant) -> bool {
    job.done > 0
        || job.bound.iter().take(MAX_TASKS_EXAMINED).filter_map(|index| job.binding(*index)).any(|b| {
            b.status == Some(AttemptStatus::Running) && b.machine != *except && b.run_time(now) >= MIN_HEALTHY_RUN_TIME
        })
}

impl ClusterState {
    /// Failures after which a machine is considered faulty.
    fn machine_failure_threshold(&self) -> usize {
        self.properties.max_consecutive_failures.ceil() as usize
    }

    /// Attributes a task's failure, and quarantines its job or its machine accordingly.
    pub(super) fn record_failure(&mut self, key: &TaskKey, on: &MachineId, now: Instant) {
        let threshold = self.machine_failure_threshold();
        let Some(job) = self.jobs.get_mut(&key.job).filter(|job| job.ended.is_none()) else { return };
        let failure = Failure {
            task: key,
            class: &job.record.spec.class,
            machine: on,
            job_succeeds: has_healthy_task(job, on, now),
            tasks_per_try: if job.spec().is_gang() { job.tasks.len() } else { MAX_PROBE_TASKS },
            run_time: job.binding(key.index).map_or(Duration::ZERO, |binding| binding.run_time(now)),
        };
        let quarantined = self.attribution.is_job_quarantined(&key.job);
        let response = self.attribution.record_failure(&failure, threshold, now);
        info!(job = %key.job, task_index = key.index, machine = %on, "task failed");
        if let Some(at) = response.job_not_before {
            job.not_before = job.not_before.max(at);
            if !quarantined {
                let (team, class) = (&job.record.spec.team, &job.record.spec.class);
                warn!(job = %key.job, %team, %class, "job quarantined; retrying it at intervals behind all other work");
            }
        }
        if let Some(machine) = self.machines.get_mut(on) {
            machine.failed_since_success = true;
            if response.machine_quarantined && machine.state == MachineState::Up {
                info!(machine = %on, "machine quarantined");
                machine.quarantined = true;
            }
        }
        for id in response.cleared {
            self.lift_machine_quarantine(&id);
        }
    }

    /// Records that a task was done, which ends the quarantines of its machine and its job.
    pub(super) fn record_success(&mut self, key: &TaskKey, on: &MachineId) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let quarantined = self.attribution.is_job_quarantined(&key.job);
        self.attribution.record_success(key, &job.record.spec.class, on);
        if quarantined {
            info!(job = %key.job, "job quarantine lifted");
        }
        self.lift_machine_quarantine(on);
    }

    /// Ends the retry pauses of the quarantined jobs that failed on this machine, which was returned.
    pub(super) fn retry_jobs_failed_on(&mut self, returned: &MachineId, now: Instant) {
        for id in self.attribution.forget_machine(returned, now) {
            if self.is_suspended(&id) {
                continue;
            }
            self.end_retry_pause(&id, now);
        }
    }

    fn end_retry_pause(&mut self, id: &JobId, now: Instant) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.not_before = job.not_before.min(now);
            self.replan_needed = true;
        }
    }

    /// Ends the quarantines of jobs of which a task has run for long enough. Without this, a service, whose tasks are
    /// never done, would be tried for ever.
    pub(super) fn end_quarantines_of_healthy_jobs(&mut self, now: Instant) {
        let healthy: Vec<JobId> =
            self.attribution.quarantined_jobs().filter(|id| self.runs_healthily(id)).cloned().collect();
        for id in healthy {
            info!(job = %id, "job quarantine lifted");
            self.attribution.end_job_quarantine(&id);
            self.end_retry_pause(&id, now);
        }
    }

    /// Whether a task of the job was reported to run for as long as shows that the job works.
    fn runs_healthily(&self, id: &JobId) -> bool {
        let Some(job) = self.jobs.get(id).filter(|_| !self.is_suspended(id)) else { return false };
        let healthy_run_time = self.attribution.healthy_run_time(id);
        job.bound.iter().take(MAX_TASKS_EXAMINED).filter_map(|index| job.binding(*index)).any(|binding| {
            let reported_at = self.machines.get(&binding.machine).map(|machine| machine.last_heartbeat);
            binding.status == Some(AttemptStatus::Running)
                && reported_at.is_some_and(|at| binding.run_time(at) >= healthy_run_time)
        })
    }

    fn lift_machine_quarantine(&mut self, id: &MachineId) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.failed_since_success = false;
            if std::mem::take(&mut machine.quarantined) {
                info!(machine = %id, "machine quarantine lifted");
                self.replan_needed = true;
            }
        }
    }

    /// Ends quarantines that have lasted long enough: faulty machines are drained, the others take work again.
    pub(super) fn end_due_quarantines(&mut self, now: Instant) {
        for (id, faulty) in self.attribution.end_quarantines(self.machine_failure_threshold(), now) {
            if !faulty {
                self.lift_machine_quarantine(&id);
            } else if let Some(machine) = self.machines.get_mut(&id).filter(|m| m.state == MachineState::Up) {
                warn!(machine = %id, "faulty machine detected; draining it for termination");
                machine.state = MachineState::Draining;
            }
        }
    }
}
