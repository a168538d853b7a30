//! Jobs in the cluster state: their arrival, their load from the store, and their end.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::{debug, info};

use super::model::{JobShards, image_digest};
use super::watermark::StartRisk;
use super::{Arrivals, Binding, ClusterState, JobState, Machine, MachineId, Phase, Task};
use crate::jobs::TaskCounts;
use crate::jobs::record::{JobRecord, StoredTask, time_of_day_ms};
use crate::jobs::{End, JobId, JobSpec};
use crate::protocol::workers::{AttemptStatus, TaskKey};
use crate::scheduling::fairness::AccountingEvent;
use crate::scheduling::ids::MAX_CLASSES;
use crate::scheduling::promises::promises_of;
use crate::sla::Agreement;

impl ClusterState {
    /// Every job in the cluster state, open or ending.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, &JobState)> {
        self.jobs.iter()
    }
    /// A job, if it is in the cluster state.
    pub fn job(&self, id: &JobId) -> Option<&JobState> {
        self.jobs.get(id)
    }
    /// Whether the job is in the cluster state.
    pub fn has_job(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
    }
    /// The number of jobs in the cluster state.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// When this leader learned that a job ended, if it is among the most recently ended ones.
    pub fn ended_at(&self, id: &JobId) -> Option<Instant> {
        self.job_end_times.peek(id).copied()
    }

    /// Counts of running and done tasks of a job, for display.
    pub fn task_counts(&self, id: &JobId) -> TaskCounts {
        self.jobs.get(id).map_or_else(TaskCounts::default, count_tasks)
    }

    /// Counts of running and done tasks of every job.
    pub fn all_task_counts(&self) -> impl Iterator<Item = (&JobId, TaskCounts)> {
        self.jobs.iter().map(|(id, job)| (id, count_tasks(job)))
    }

    /// Removes all jobs and bindings before a load, which may follow an incomplete one. Machines that have reported
    /// meanwhile stay.
    pub fn reset_for_load(&mut self) {
        self.jobs.clear();
        self.ending_jobs.clear();
        self.suspended_jobs.clear();
        self.shards_to_drop.clear();
        self.team_usage.clear();
        self.arrivals.clear();
        for machine in self.machines.values_mut() {
            machine.clear_bindings();
        }
    }

    /// Adds a job without stored tasks, or whose shards are loaded next.
    pub fn add_job(&mut self, record: Arc<JobRecord>, now: Instant) {
        let id = record.spec.id.clone();
        if self.jobs.contains_key(&id) {
            return;
        }
        let age = record.age(time_of_day_ms());
        self.record_arrival(&record, age, now);
        self.large_gangs.record_offer(&record.spec, age, now);
        let job = self.new_job_state(record, now.checked_sub(age).unwrap_or(now), now);
        self.replan_needed = true;
        self.intents_outdated = true;
        self.jobs.insert(id, job);
    }

    /// A job of one task with this specification, without adding it to the cluster state.
    pub fn hypothetical_job(&self, spec: &JobSpec, now: Instant) -> JobState {
        let spec = JobSpec { tasks: 1, ..spec.clone() };
        self.new_job_state(Arc::new(JobRecord { spec, accepted_ms: 0 }), now, now)
    }

    /// The state of a job none of whose tasks was placed yet.
    fn new_job_state(&self, record: Arc<JobRecord>, submitted_at: Instant, now: Instant) -> JobState {
        let n = record.spec.tasks as usize;
        let agreement = self.agreement(&record.spec);
        let promises = promises_of(&self.settings.params.objectives, &record.spec, &agreement);
        JobState {
            agreement,
            submitted_at,
            tasks: vec![Task { attempt: 0, phase: Phase::Waiting, stored: true }; n],
            waiting: (0..n as u32).collect(),
            bound: BTreeSet::new(),
            done: 0,
            shards: JobShards::new(n as u64),
            ended: None,
            ended_after: 0,
            start_risk: StartRisk::default(),
            ended_done: false,
            not_before: now,
            image_digest: image_digest(&record.spec.image),
            last_task_end: None,
            promises: promises.into(),
            placed_tasks: 0,
            max_attempt: 0,
            has_run: false,
            record,
        }
    }

    /// Loads the stored task shard that begins with this task, of a job that was just added: at a failover, before
    /// anything is decided. The shards of a job are loaded in the order of their tasks.
    pub fn load_shard(&mut self, id: &JobId, first_task: u64, version: u64, stored: Vec<StoredTask>, now: Instant) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(tasks) = job.shards.load(first_task, version, stored.len()) else {
            self.hide_attempts(id, first_task, stored.len(), version);
            return;
        };
        let mut inherited = Vec::new();
        for (index, item) in (tasks.start as u32..tasks.end as u32).zip(stored) {
            let Some(task) = job.tasks.get_mut(index as usize) else { break };
            job.placed_tasks += usize::from(item != StoredTask::Untouched);
            match item {
                StoredTask::Untouched => {}
                StoredTask::Waiting(attempt) => {
                    task.attempt = attempt;
                    job.max_attempt = job.max_attempt.max(attempt);
                }
                StoredTask::Done => {
                    task.phase = Phase::Done;
                    job.waiting.remove(&index);
                    job.done += 1;
                }
                StoredTask::Bound(attempt, machine) => {
                    task.attempt = attempt;
                    job.max_attempt = job.max_attempt.max(attempt);
                    let machine: MachineId = machine.into();
                    task.phase = Phase::Bound(Box::new(Binding::new(machine.clone(), true, now)));
                    job.waiting.remove(&index);
                    job.bound.insert(index);
                    inherited.push((machine, index));
                }
            }
        }
        for (machine, index) in inherited {
            let machine = self.machines.entry(machine.clone()).or_insert_with(|| Machine::new(machine, now));
            machine.bind(TaskKey { job: id.clone(), index }, job, now);
            machine.expect_image(job.image_digest, job.record.spec.image_gb);
            let used = self.team_usage.entry(job.record.spec.team.clone()).or_default();
            used.add(job.record.spec.cpus, job.record.spec.gpus);
        }
    }

    /// Adds a job with its stored task shards, as (first task, version, tasks).
    pub fn load_job(&mut self, record: Arc<JobRecord>, shards: Vec<(u64, u64, Vec<StoredTask>)>, now: Instant) {
        let id = record.spec.id.clone();
        self.add_job(record, now);
        for (first_task, version, stored) in shards {
            self.load_shard(&id, first_task, version, stored, now);
        }
    }

    /// Completes the load: from here on the cluster state is used for decisions.
    pub fn finish_load(&mut self, now: Instant) {
        let complete = self.jobs.iter().filter(|(_, job)| job.ended.is_none() && job.is_complete());
        self.completed_jobs.extend(complete.map(|(id, _)| id.clone()));
        (self.loaded, self.loaded_at) = (true, now);
        self.halt_suspended_gangs(now);
        self.reconcile_all_machines(now);
    }

    /// Counts a job towards the arrival rate of its class; one that a new leader loads counts as of its age. The class
    /// without arrivals for longest is replaced by a new one.
    fn record_arrival(&mut self, record: &Arc<JobRecord>, age: Duration, now: Instant) {
        let class = &record.spec.class;
        if !self.arrivals.contains_key(class)
            && self.arrivals.len() >= MAX_CLASSES.get()
            && let Some(oldest) = self.arrivals.iter().min_by_key(|(_, a)| a.updated_at).map(|(class, _)| class.clone())
        {
            self.arrivals.remove(&oldest);
        }
        let arrivals = self.arrivals.entry(class.clone());
        let arrivals =
            arrivals.or_insert_with(|| Arrivals { decayed_tasks: 0.0, updated_at: now, latest: record.clone() });
        arrivals.record_job(record.clone(), age, now);
    }

    /// An open job that represents the expected arrivals of a class: its latest one, if any is still open.
    pub fn representative_job(&self, arrivals: &Arrivals) -> Option<&JobState> {
        self.jobs.get(&arrivals.latest.spec.id).or_else(|| {
            let same = |j: &&JobState| j.record.spec.class == arrivals.latest.spec.class;
            self.jobs.values().filter(same).max_by_key(|j| j.submitted_at)
        })
    }

    fn agreement(&self, spec: &JobSpec) -> Agreement {
        Agreement::of(spec, self.estimated_run_time(spec), self.properties.soft_deadline_factor)
    }

    /// The user's run-time estimate, corrected by the mean error of its class so far. The uncorrected estimate weighs
    /// as much as five finished tasks.
    pub fn estimated_run_time(&self, spec: &JobSpec) -> Duration {
        let errors = self.estimate_errors.peek(&spec.class).copied().unwrap_or_default();
        let factor = (errors.log_ratio_sum / (errors.samples + 5.0)).exp().clamp(0.25, 4.0);
        spec.estimate().mul_f64(factor)
    }

    /// Records that a job has ended: none of its tasks is started any more, and the running ones are stopped. `how`:
    /// None if it is not known how the job ended. `now`: at a failover, when it ended as far as is known.
    pub fn end_job(&mut self, id: &JobId, how: Option<End>, now: Instant) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.ended_done |= how == Some(End::Done);
        if job.ended.is_some() {
            return;
        }
        job.ended = Some(now);
        job.ended_after = self.known_ends_revision;
        self.job_end_times.put(id.clone(), now);
        job.waiting.clear();
        self.attribution.forget_job(id);
        self.ending_jobs.insert(id.clone());
        let bound: Vec<u32> = job.bound.iter().copied().collect();
        for index in bound {
            let key = TaskKey { job: id.clone(), index };
            let Some(binding) = self.jobs.get(id).and_then(|j| j.binding(index)) else { continue };
            // It was never announced to a worker, so no launch can arrive.
            if binding.announced_epoch.is_none() && !binding.inherited {
                self.unbind_task(&key, now);
            } else if let Some(machine) = self.machines.get_mut(&binding.machine) {
                machine.command_due = true;
            }
        }
        self.remove_job_if_unbound(id);
    }

    /// Logs once that a job runs; once more after a failover, since nothing is stored for it.
    pub(super) fn record_first_run(&mut self, id: &JobId, now: Instant) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.has_run || job.ended.is_some() || !job.is_running() {
            return;
        }
        job.has_run = true;
        info!(job = %id, "job started");
        let waited = now.saturating_duration_since(job.submitted_at);
        debug!(job = %id, wait_ms = waited.as_millis() as u64, "job wait measured");
        // A start by an earlier leader was counted by that leader; this one only learns of it late.
        let started_here = job.bound.iter().filter_map(|i| job.binding(*i)).all(|b| !b.inherited);
        if started_here && self.large_gangs.is_large_gang(job.spec()) {
            self.record_accounting_event(id, AccountingEvent::LargeGangStarted, now);
        }
    }

    /// Removes an ended job that has no bound tasks, and queues its shards for deletion.
    pub(super) fn remove_job_if_unbound(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get(id)
            && job.ended.is_some()
            && job.bound.is_empty()
        {
            self.shards_to_drop.extend(job.shards.stored_keys().map(|first_task| (id.clone(), first_task)));
            self.jobs.remove(id);
            self.ending_jobs.remove(id);
        }
    }
}

fn count_tasks(job: &JobState) -> TaskCounts {
    let running = job
        .bound
        .iter()
        .filter(|i| {
            matches!(job.binding(**i).and_then(|b| b.status), Some(AttemptStatus::Running | AttemptStatus::Saving))
        })
        .count();
    TaskCounts { running: running as u64, done: job.done }
}
