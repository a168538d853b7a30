//! Bindings of tasks to machines: how they are made, stopped and removed.

use std::collections::HashMap;
use std::time::Instant;

use super::{Binding, ClusterState, JobState, Phase, Placement};
use crate::jobs::JobId;
use crate::protocol::workers::TaskKey;
use crate::scheduling::fairness::AccountingEvent;

impl ClusterState {
    /// Binds each placed task to its machine; its launch waits until the binding is stored.
    pub fn bind_placements(&mut self, placements: Vec<Placement>, now: Instant) {
        let mut first_placed_fractions: HashMap<JobId, f64> = HashMap::new();
        // Prioritized jobs may hold a share of all allocated cores, which has grown now.
        self.replan_needed |= self.intents.priority_boost.is_some() && !placements.is_empty();
        for placement in placements {
            if let Some(job) = self.jobs.get_mut(&placement.task.job) {
                let late = job.is_too_late(now.saturating_duration_since(job.submitted_at));
                self.core_credit.record_placement(job.spec().cpus, late, self.properties.late_core_share);
                self.large_gangs.record_placement(job.spec());
                if job.tasks.get(placement.task.index as usize).is_some_and(|t| t.attempt == 0) {
                    job.placed_tasks += 1;
                    *first_placed_fractions.entry(placement.task.job.clone()).or_default() +=
                        1.0 / job.tasks.len() as f64;
                }
            }
            // A gang that starts needs no reservation any more.
            if self.reservations.get(&placement.machine).is_some_and(|r| r.job == placement.task.job) {
                self.reservations.retain(|_, reservation| reservation.job != placement.task.job);
            }
            self.preemption_reservations
                .retain(|_, reservation| reservation.job != placement.task.job && reservation.until > now);
            self.bind_task(placement, now);
        }
        for (id, fraction) in first_placed_fractions {
            self.record_accounting_event(&id, AccountingEvent::TasksStarted(fraction), now);
        }
    }

    fn bind_task(&mut self, placement: Placement, now: Instant) {
        let Some(job) = self.jobs.get_mut(&placement.task.job) else { return };
        let Some(task) = job.tasks.get_mut(placement.task.index as usize) else { return };
        if !matches!(task.phase, Phase::Waiting) {
            return;
        }
        let Some(machine) = self.machines.get_mut(&placement.machine) else { return };
        task.attempt = placement.attempt;
        job.max_attempt = job.max_attempt.max(placement.attempt);
        task.stored = false;
        task.phase = Phase::Bound(Box::new(Binding::new(placement.machine, false, now)));
        job.waiting.remove(&placement.task.index);
        job.bound.insert(placement.task.index);
        machine.expect_image(job.image_digest, job.record.spec.image_gb);
        machine.bind(placement.task.clone(), job, now);
        let used = self.team_usage.entry(job.record.spec.team.clone()).or_default();
        used.add(job.record.spec.cpus, job.record.spec.gpus);
        self.unstored_shards.queue_start(&placement.task);
    }

    /// Removes the binding of a task that is proven gone; the task waits again unless its job has ended.
    pub(super) fn unbind_task(&mut self, key: &TaskKey, now: Instant) {
        self.return_to_waiting(key, now);
        let Some(job) = self.jobs.get(&key.job) else { return };
        if job.ended.is_some() {
            self.remove_job_if_unbound(&key.job);
        } else if job.spec().is_gang() && !job.is_complete() {
            // A gang's attempt that lost a task is over; its other tasks must be gone before the next attempt.
            self.halt_job(&key.job, 0, now);
        }
    }

    /// Records a task that is gone without having been stopped as lost.
    pub(super) fn record_task_loss(&mut self, key: &TaskKey, now: Instant) {
        let lost = |job: &JobState| {
            job.ended.is_none()
                && job.binding(key.index).is_some_and(|b| b.status.is_some() && b.halt_grace_s.is_none())
        };
        if self.jobs.get(&key.job).is_some_and(lost) {
            self.record_accounting_event(&key.job, AccountingEvent::StartLost, now);
        }
    }

    /// Frees what a bound task holds of its machine and its team's quota, and returns the task to the waiting ones.
    pub(super) fn return_to_waiting(&mut self, key: &TaskKey, now: Instant) {
        self.free_resources(key, now);
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(task) = job.tasks.get_mut(key.index as usize) else { return };
        if !matches!(task.phase, Phase::Bound(_)) {
            return;
        }
        task.phase = Phase::Waiting;
        task.stored = false;
        if job.ended.is_none() {
            job.waiting.insert(key.index);
            self.unstored_shards.queue_change(key, now);
        }
    }

    /// Frees what a bound task holds of its machine and its team's quota.
    pub(super) fn free_resources(&mut self, key: &TaskKey, now: Instant) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(binding) = job.binding(key.index) else { return };
        if let Some(machine) = self.machines.get_mut(&binding.machine) {
            machine.unbind(key, &job.record.spec, now);
        }
        self.replan_needed = true;
        job.bound.remove(&key.index);
        if let Some(used) = self.team_usage.get_mut(&job.record.spec.team) {
            used.release(job.record.spec.cpus, job.record.spec.gpus);
        }
    }

    /// Stops all bound tasks of a job, with `grace_s` seconds to save a checkpoint. Bindings that were never announced
    /// to a worker are removed at once.
    pub fn halt_job(&mut self, id: &JobId, grace_s: u64, now: Instant) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let bound: Vec<u32> = job.bound.iter().copied().collect();
        for index in bound {
            let Some(binding) = self.jobs.get_mut(id).and_then(|j| j.binding_mut(index)) else { continue };
            if binding.announced_epoch.is_none() && !binding.inherited {
                self.return_to_waiting(&TaskKey { job: id.clone(), index }, now);
            } else if binding.halt_grace_s.is_none() {
                binding.halt_grace_s = Some(grace_s);
                if let Some(machine) = self.machines.get_mut(&binding.machine) {
                    machine.command_due = true;
                }
            }
        }
    }

    /// Stops a task, or all tasks of its gang, with `grace_s` seconds to save a checkpoint.
    pub fn halt_task_or_gang(&mut self, key: &TaskKey, grace_s: u64, now: Instant) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        if job.spec().is_gang() {
            return self.halt_job(&key.job, grace_s, now);
        }
        self.halt_single_task(key, grace_s);
    }

    /// Stops one task of a job that is not a gang.
    pub(in crate::scheduling) fn halt_single_task(&mut self, key: &TaskKey, grace_s: u64) {
        if let Some(binding) = self.jobs.get_mut(&key.job).and_then(|job| job.binding_mut(key.index))
            && binding.halt_grace_s.is_none()
        {
            binding.halt_grace_s = Some(grace_s);
            if let Some(machine) = self.machines.get_mut(&binding.machine) {
                machine.command_due = true;
            }
        }
    }
}
