//! Tasks on machines: where they run, how often, how much they use, and when they have to be gone.

use std::time::Duration;

use hollylanding_protocol::jobs::{JobId, JobSpec};
use hollylanding_protocol::users::Status;
use hollylanding_protocol::workers::TaskKey;

use super::Rule;
use super::state::{Attempt, Job, Judge, Place};

/// A job that a heat rule puts first counts as passed over only after it has waited for longer than a takeover, a
/// placement and a start take: what starts sooner was placed before it.
const PASSED_AFTER: Duration = Duration::from_secs(10);
/// Tolerance when a team's use is compared with its quota.
const SLACK: f64 = 1e-6;

/// Why a task must not run at this place, if so. `zones` are those of the job's other tasks.
fn misplaced(spec: &JobSpec, place: &Place, zones: &[&str]) -> Option<&'static str> {
    let here = zones.iter().filter(|zone| **zone == place.zone).count() as u64;
    if spec.types.as_ref().is_some_and(|types| !types.contains(&place.type_name)) {
        Some("its type")
    } else if spec.zone.as_ref().is_some_and(|zone| *zone != place.zone) {
        Some("its zone")
    } else if place.spot && !spec.spot {
        Some("its being a spot machine")
    } else if spec.same_zone && zones.iter().any(|zone| *zone != place.zone) {
        Some("its zone, since others of the job are in another")
    } else if spec.spread && here + 1 > spec.tasks.div_ceil(2) {
        Some("its zone, since half of the job is there")
    } else {
        None
    }
}

impl Judge {
    /// A result came.
    pub(super) fn deliver(&mut self, task: &TaskKey) {
        if !self.results.insert(task.clone()) {
            // A task that is started again after its end only says so again; two runs that both
            // reached the end would have been on machines at once.
            self.repeated += usize::from(self.on.get(task).is_some_and(|on| !on.is_empty()));
        }
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.done.insert(task.index);
        }
    }

    /// A task starts on a machine.
    pub(super) fn start(&mut self, at: Duration, task: &TaskKey, attempt: u64, machine: &str) {
        self.started = true;
        self.write(at, &task.job, format!("{}/{attempt} started on {machine}", task.index));
        self.check_single(at, task, machine);
        self.check_cancelled(at, task);
        if let Some(spec) = self.jobs.get(&task.job).and_then(|job| job.spec.clone()) {
            self.check_order(at, &spec);
            self.check_place(at, task, machine, &spec);
            self.use_quota(at, task, &spec);
        }
        let on = self.on.entry(task.clone()).or_default();
        on.push(Attempt { machine: machine.to_owned(), number: attempt });
        self.note_begun(at, &task.job);
        for n in 0..self.terms.capacity.len() {
            if self.together(n) >= self.terms.capacity[n].1 {
                self.full.insert(n);
            }
        }
    }

    /// A task runs on one machine at a time.
    fn check_single(&mut self, at: Duration, task: &TaskKey, machine: &str) {
        let Some(other) = self.on.get(task).and_then(|on| on.first()) else { return };
        let what = format!("{}/{} starts on {machine} while it is on {}", task.job, task.index, other.machine);
        self.report(Rule::RanTwice, at, &task.job, what);
    }

    /// A task does not start long after its job was reported cancelled.
    fn check_cancelled(&mut self, at: Duration, task: &TaskKey) {
        let told = self.jobs.get(&task.job).and_then(|job| job.final_status);
        if let Some((Status::Cancelled, told)) = told
            && at.saturating_sub(told) > self.terms.cancellation_deadline
        {
            let what = format!("{}/{} starts though its job is withdrawn", task.job, task.index);
            self.report(Rule::RanCancelled, at, &task.job, what);
        }
    }

    /// Jobs that a heat rule puts first are not passed over.
    fn check_order(&mut self, at: Duration, spec: &JobSpec) {
        let long = |since: Duration| at.saturating_sub(since) >= PASSED_AFTER;
        let waits = |j: &&Job| j.accepted.is_some_and(long) && j.begun.is_none() && j.final_status.is_none();
        let waiting = self.jobs.values().filter(waits).filter_map(|j| j.spec.as_deref());
        for job in self.declared.begins(spec, waiting) {
            let what = format!("{job} waits while it is hot, and {} is one of many that begin ahead", spec.id);
            self.report(Rule::Vents, at, &job, what);
        }
    }

    /// A task runs only on machines that its job allows.
    fn check_place(&mut self, at: Duration, task: &TaskKey, machine: &str, spec: &JobSpec) {
        let Some(place) = self.machines.get(machine) else { return };
        let first = TaskKey { job: task.job.clone(), index: 0 };
        let tasks = self.on.range(first..).take_while(|(key, _)| key.job == task.job);
        let zones: Vec<&str> = tasks
            .filter(|(key, _)| *key != task)
            .flat_map(|(_, on)| on)
            .filter_map(|attempt| self.machines.get(&attempt.machine).map(|place| place.zone.as_str()))
            .collect();
        if let Some(why) = misplaced(spec, place, &zones) {
            let what = format!("{}/{} starts on {machine} in spite of {why}", task.job, task.index);
            self.report(Rule::WrongPlace, at, &task.job, what);
        }
    }

    /// Adds a task to its team's use, which must not exceed the quota.
    fn use_quota(&mut self, at: Duration, task: &TaskKey, spec: &JobSpec) {
        let used = self.used.entry(spec.team.clone()).or_default();
        used.cpus += spec.cpus;
        used.gpus += spec.gpus;
        let used = *used;
        let most = self.terms.quotas.get(&spec.team).copied().unwrap_or_default();
        let above = |limit: f64, used: f64| limit > 0.0 && used > limit + SLACK;
        if above(most.0, used.cpus) || above(most.1, used.gpus) {
            let (team, cpus, gpus) = (&spec.team, used.cpus, used.gpus);
            let what = format!("{team}: {cpus} cores and {gpus} accelerators of {} and {}", most.0, most.1);
            self.report(Rule::Quota, at, &task.job, what);
        }
    }

    fn note_begun(&mut self, at: Duration, id: &JobId) {
        let running = self.running(id) as u64;
        if let Some(job) = self.jobs.get_mut(id)
            && job.spec.as_ref().is_some_and(|spec| !spec.is_gang() || running == spec.tasks)
        {
            job.begun.get_or_insert(at);
        }
    }

    /// Tasks of a job that are on machines.
    fn running(&self, job: &JobId) -> usize {
        let first = TaskKey { job: job.clone(), index: 0 };
        self.on.range(first..).take_while(|(key, _)| key.job == *job).count()
    }

    /// Replicas that run of one set of services in `terms.capacity`.
    fn together(&self, n: usize) -> usize {
        self.terms.capacity[n].0.iter().map(|job| self.running(job)).sum()
    }

    /// A task was told to stop. Machines may be lost at any time, but no replica is stopped where too few would remain.
    pub(super) fn stopped(&mut self, at: Duration, task: &TaskKey) {
        for n in 0..self.terms.capacity.len() {
            let (jobs, least) = &self.terms.capacity[n];
            let asked = |job: &JobId| self.jobs.get(job).is_some_and(|j| j.cancellation_asked);
            let (left, least) = (self.together(n), *least);
            if jobs.contains(&task.job) && !jobs.iter().any(asked) && self.full.contains(&n) && left < least {
                let what = format!("{}/{} is stopped, and {left} of {least} are left", task.job, task.index);
                self.report(Rule::Gap, at, &task.job, what);
            }
        }
    }

    /// An attempt is no longer on its machine.
    pub(super) fn leave(&mut self, at: Duration, task: &TaskKey, attempt: u64, machine: &str) {
        let Some(on) = self.on.get_mut(task) else { return };
        let before = on.len();
        on.retain(|on| on.machine != machine || on.number != attempt);
        let left = before - on.len();
        if on.is_empty() {
            self.on.remove(task);
        }
        // One that never had its image was not on its machine.
        if left == 0 {
            return;
        }
        let Some(job) = self.jobs.get(&task.job) else { return };
        if let Some(spec) = job.spec.clone() {
            let used = self.used.entry(spec.team.clone()).or_default();
            used.cpus -= spec.cpus;
            used.gpus -= spec.gpus;
        }
        self.gone_in_time(at, task);
    }

    /// A task that leaves its machine now does so within the time allowed after a cancellation.
    pub(super) fn gone_in_time(&mut self, at: Duration, task: &TaskKey) {
        let told = self.jobs.get(&task.job).and_then(|j| j.final_status);
        if let Some((Status::Cancelled, told)) = told
            && at.saturating_sub(told) > self.terms.cancellation_deadline
        {
            let what = format!("{}/{} is on a machine {:?} after its withdrawal", task.job, task.index, at - told);
            self.report(Rule::RanCancelled, at, &task.job, what);
        }
    }
}
