//! Rules for tasks on machines: placement, single execution, quotas, and the end after a cancellation.

use std::time::Duration;

use hollylanding_protocol::jobs::{JobId, JobSpec};
use hollylanding_protocol::users::Status;
use hollylanding_protocol::workers::TaskKey;

use super::Rule;
use super::state::{Attempt, Job, Judge, Place};

/// Minimum waiting time after which a job that a heat rule prioritizes counts as passed over. It exceeds the time of a
/// takeover, a placement and a start: a task that starts sooner was placed before the job arrived.
const MIN_PASSED_OVER_WAIT: Duration = Duration::from_secs(10);
/// Tolerance when a team's usage is compared with its quota.
const QUOTA_TOLERANCE: f64 = 1e-6;

/// Why a task must not run on this machine; none if it may. `zones` are the zones of the job's other tasks.
fn placement_violation(spec: &JobSpec, place: &Place, zones: &[&str]) -> Option<&'static str> {
    let in_zone = zones.iter().filter(|zone| **zone == place.zone).count() as u64;
    if spec.types.as_ref().is_some_and(|types| !types.contains(&place.type_name)) {
        Some("its type")
    } else if spec.zone.as_ref().is_some_and(|zone| *zone != place.zone) {
        Some("its zone")
    } else if place.spot && !spec.spot {
        Some("its being a spot machine")
    } else if spec.same_zone && zones.iter().any(|zone| *zone != place.zone) {
        Some("its zone, since others of the job are in another")
    } else if spec.spread && in_zone + 1 > spec.tasks.div_ceil(2) {
        Some("its zone, since half of the job is there")
    } else {
        None
    }
}

impl Judge {
    /// Records the result of a task.
    pub(super) fn record_result(&mut self, task: &TaskKey) {
        if !self.results.insert(task.clone()) {
            // A task that is started again after its completion only reports its result again. Two runs that both
            // reached the end would have been on machines at once.
            self.repeated += usize::from(self.live_attempts.get(task).is_some_and(|attempts| !attempts.is_empty()));
        }
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.done.insert(task.index);
        }
    }

    /// Processes the start of an attempt, and checks the rules for it.
    pub(super) fn start(&mut self, at: Duration, task: &TaskKey, attempt: u64, machine: &str) {
        self.started = true;
        self.add_history(at, &task.job, format!("{}/{attempt} started on {machine}", task.index));
        self.check_single(at, task, machine);
        self.check_cancelled(at, task);
        if let Some(spec) = self.jobs.get(&task.job).and_then(|job| job.spec.clone()) {
            self.check_order(at, &spec);
            self.check_place(at, task, machine, &spec);
            self.add_usage(at, task, &spec);
        }
        let attempts = self.live_attempts.entry(task.clone()).or_default();
        attempts.push(Attempt { machine: machine.to_owned(), number: attempt });
        self.record_job_start(at, &task.job);
        for n in 0..self.params.capacity.len() {
            if self.count_running_replicas(n) >= self.params.capacity[n].1 {
                self.reached_capacity.insert(n);
            }
        }
    }

    /// Checks that a task that starts is on no other machine.
    fn check_single(&mut self, at: Duration, task: &TaskKey, machine: &str) {
        let Some(other) = self.live_attempts.get(task).and_then(|attempts| attempts.first()) else { return };
        let what = format!("{}/{} starts on {machine} while it is on {}", task.job, task.index, other.machine);
        self.report(Rule::RanTwice, at, &task.job, what);
    }

    /// Checks that a task does not start after the cancellation deadline of its job.
    fn check_cancelled(&mut self, at: Duration, task: &TaskKey) {
        let final_status = self.jobs.get(&task.job).and_then(|job| job.final_status);
        if let Some((Status::Cancelled, reported_at)) = final_status
            && at.saturating_sub(reported_at) > self.params.cancellation_deadline
        {
            let what = format!("{}/{} starts though its job is withdrawn", task.job, task.index);
            self.report(Rule::RanCancelled, at, &task.job, what);
        }
    }

    /// Checks that jobs that a heat rule prioritizes are not passed over by a job that starts.
    fn check_order(&mut self, at: Duration, spec: &JobSpec) {
        let is_long_ago = |since: Duration| at.saturating_sub(since) >= MIN_PASSED_OVER_WAIT;
        let is_waiting =
            |j: &&Job| j.accepted.is_some_and(is_long_ago) && j.begun.is_none() && j.final_status.is_none();
        let waiting = self.jobs.values().filter(is_waiting).filter_map(|j| j.spec.as_deref());
        for job in self.declared.check_start(spec, waiting) {
            let what = format!("{job} waits while it is hot, and {} is one of many that begin ahead", spec.id);
            self.report(Rule::Vents, at, &job, what);
        }
    }

    /// Checks that a task starts on a machine that its job allows.
    fn check_place(&mut self, at: Duration, task: &TaskKey, machine: &str, spec: &JobSpec) {
        let Some(place) = self.machines.get(machine) else { return };
        let first = TaskKey { job: task.job.clone(), index: 0 };
        let tasks = self.live_attempts.range(first..).take_while(|(key, _)| key.job == task.job);
        let zones: Vec<&str> = tasks
            .filter(|(key, _)| *key != task)
            .flat_map(|(_, attempts)| attempts)
            .filter_map(|attempt| self.machines.get(&attempt.machine).map(|place| place.zone.as_str()))
            .collect();
        if let Some(why) = placement_violation(spec, place, &zones) {
            let what = format!("{}/{} starts on {machine} in spite of {why}", task.job, task.index);
            self.report(Rule::WrongPlace, at, &task.job, what);
        }
    }

    /// Adds a task to its team's usage, and checks that the usage does not exceed the quota.
    fn add_usage(&mut self, at: Duration, task: &TaskKey, spec: &JobSpec) {
        let used = self.usage_by_team.entry(spec.team.clone()).or_default();
        used.cpus += spec.cpus;
        used.gpus += spec.gpus;
        let used = *used;
        let quota = self.params.quotas.get(&spec.team).copied().unwrap_or_default();
        let exceeds = |limit: f64, used: f64| limit > 0.0 && used > limit + QUOTA_TOLERANCE;
        if exceeds(quota.0, used.cpus) || exceeds(quota.1, used.gpus) {
            let (team, cpus, gpus) = (&spec.team, used.cpus, used.gpus);
            let what = format!("{team}: {cpus} cores and {gpus} accelerators of {} and {}", quota.0, quota.1);
            self.report(Rule::Quota, at, &task.job, what);
        }
    }

    /// Records the time at which all tasks of a gang, or the first task of another job, have started.
    fn record_job_start(&mut self, at: Duration, id: &JobId) {
        let running = self.count_running(id) as u64;
        if let Some(job) = self.jobs.get_mut(id)
            && job.spec.as_ref().is_some_and(|spec| !spec.is_gang() || running == spec.tasks)
        {
            job.begun.get_or_insert(at);
        }
    }

    /// Number of tasks of a job that are on machines.
    fn count_running(&self, job: &JobId) -> usize {
        let first = TaskKey { job: job.clone(), index: 0 };
        self.live_attempts.range(first..).take_while(|(key, _)| key.job == *job).count()
    }

    /// Number of running replicas of the set of services with this index in `params.capacity`.
    fn count_running_replicas(&self, n: usize) -> usize {
        self.params.capacity[n].0.iter().map(|job| self.count_running(job)).sum()
    }

    /// Checks that enough replicas remain after a task was stopped. Replicas may be lost with their machines at any
    /// time, but none may be stopped if fewer than required remain.
    pub(super) fn check_remaining_replicas(&mut self, at: Duration, task: &TaskKey) {
        for n in 0..self.params.capacity.len() {
            let (jobs, required) = &self.params.capacity[n];
            let is_cancelled = |job: &JobId| self.jobs.get(job).is_some_and(|j| j.cancellation_asked);
            let (left, required) = (self.count_running_replicas(n), *required);
            if jobs.contains(&task.job)
                && !jobs.iter().any(is_cancelled)
                && self.reached_capacity.contains(&n)
                && left < required
            {
                let what = format!("{}/{} is stopped, and {left} of {required} are left", task.job, task.index);
                self.report(Rule::Gap, at, &task.job, what);
            }
        }
    }

    /// Removes an attempt that is no longer on its machine, and checks the cancellation deadline of its job.
    pub(super) fn remove_attempt(&mut self, at: Duration, task: &TaskKey, attempt: u64, machine: &str) {
        let Some(attempts) = self.live_attempts.get_mut(task) else { return };
        let before = attempts.len();
        attempts.retain(|other| other.machine != machine || other.number != attempt);
        let removed = before - attempts.len();
        if attempts.is_empty() {
            self.live_attempts.remove(task);
        }
        // An attempt that ended before it had its image never started.
        if removed == 0 {
            return;
        }
        let Some(job) = self.jobs.get(&task.job) else { return };
        if let Some(spec) = job.spec.clone() {
            let used = self.usage_by_team.entry(spec.team.clone()).or_default();
            used.cpus -= spec.cpus;
            used.gpus -= spec.gpus;
        }
        self.check_cancellation_deadline(at, task);
    }

    /// Checks that a task that leaves its machine now does so within the cancellation deadline of its job.
    pub(super) fn check_cancellation_deadline(&mut self, at: Duration, task: &TaskKey) {
        let final_status = self.jobs.get(&task.job).and_then(|j| j.final_status);
        if let Some((Status::Cancelled, reported_at)) = final_status
            && at.saturating_sub(reported_at) > self.params.cancellation_deadline
        {
            let what =
                format!("{}/{} is on a machine {:?} after its withdrawal", task.job, task.index, at - reported_at);
            self.report(Rule::RanCancelled, at, &task.job, what);
        }
    }
}
