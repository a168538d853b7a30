//! Attributes task failures to the job, to one of its tasks or to the machine. The attribution follows from what failed
//! where and what succeeded there, never from a number of failures alone: a job submitted with a mistake fails on every
//! machine, and a faulty machine fails every job (docs/operations.md, docs/design.md).
//!
//! As long as the attribution is not clear, neither job nor machine is treated as faulty for good: the job is tried on
//! other machines, and the machine gets no work for a short time and is then tried again. The leader keeps this state
//! in memory; a successor learns it anew at the cost of a few starts. There is no I/O here, and no clock is read.

mod evidence;
mod pauses;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use lru::LruCache;

use super::ids::{MAX_CLASSES, MachineId};
use crate::jobs::JobId;
use crate::protocol::workers::TaskKey;
use evidence::{Attribution, JOB_FAULT_MACHINES, Observations, TASK_FAULT_MACHINES, attribute_failure};
use pauses::{ProvisioningPause, retry_pause};

/// A class is faulty once this many of its jobs are, and no task of the class has succeeded since.
const CLASS_FAULT_JOBS: usize = 3;
/// How long a machine is quarantined before it is decided whether it is faulty: by then, most jobs that failed on it
/// have been attributed.
const QUARANTINE_TIME: Duration = Duration::from_secs(15);
/// A task that has run for this long has not failed at its start.
pub const MIN_HEALTHY_RUN_TIME: Duration = Duration::from_secs(15);
/// Maximum tasks of a quarantined job that are tried at once.
pub const MAX_PROBE_TASKS: usize = 2;

/// Maximum failed tasks tracked per job; further ones are attributed by their job alone.
const MAX_FAILED_TASKS: usize = 256;
/// Maximum failures tracked per machine since a task succeeded on it.
const MAX_MACHINE_FAILURES: usize = 32;
/// Maximum machines kept of a job's latest failures.
const MAX_RECENT_MACHINES: usize = 16;

/// The failures of one task.
#[derive(Debug)]
struct TaskFailures {
    failed_machines: Vec<MachineId>,
    failed_rounds: u32,
    not_before: Instant,
}

/// The failures of one job.
#[derive(Debug, Default)]
struct JobFailures {
    class: String,
    /// Machines on which the job failed last, the latest last; up to twice as many as make it faulty. Of a quarantined
    /// job, without those that were returned to the cloud.
    failed_machines: Vec<MachineId>,
    succeeds: bool,
    quarantined: bool,
    failed_rounds: u32,
    not_before: Option<Instant>,
    provisioning_pause: ProvisioningPause,
    /// The longest time that a task ran before it failed.
    longest_failed_run: Duration,
    tasks: BTreeMap<u32, TaskFailures>,
    /// The number of failures of all tasks.
    failures: u64,
    /// The machines of the latest failures, the latest last.
    recent_machines: VecDeque<MachineId>,
}

impl JobFailures {
    /// Whether the task is faulty although the job succeeds otherwise.
    fn is_task_faulty(&self, index: u32) -> bool {
        self.succeeds && self.tasks.get(&index).is_some_and(|t| t.failed_machines.len() >= TASK_FAULT_MACHINES)
    }
}

/// The failures on one machine since a task succeeded on it.
#[derive(Debug, Default)]
struct MachineFailures {
    failures: Vec<TaskKey>,
    /// When the machine was quarantined, if it is.
    quarantined: Option<Instant>,
}

/// A task failure as the cluster state sees it.
pub struct Failure<'a> {
    /// The task that failed.
    pub task: &'a TaskKey,
    /// The class of the task's job.
    pub class: &'a str,
    /// The machine on which the task failed.
    pub machine: &'a MachineId,
    /// Whether some task of the job was done, or has run on another machine for longer than failures take.
    pub job_succeeds: bool,
    /// How many tasks one try of the job takes: all tasks of a gang.
    pub tasks_per_try: usize,
    /// How long the task ran before it failed.
    pub run_time: Duration,
}

/// What the cluster state must do after a failure.
#[derive(Debug, Default, PartialEq)]
pub struct FailureResponse {
    /// If the job is quarantined, the time before which it must not be tried again.
    pub job_not_before: Option<Instant>,
    /// Whether the machine was quarantined by this failure.
    pub machine_quarantined: bool,
    /// Machines whose quarantine ends because what failed there fails everywhere.
    pub cleared: Vec<MachineId>,
}

/// Tracks the failures of jobs, tasks and machines and attributes them.
#[derive(Debug)]
pub struct FailureAttribution {
    jobs: HashMap<JobId, JobFailures>,
    machines: BTreeMap<MachineId, MachineFailures>,
    /// The jobs quarantined by class since a task of the class last succeeded.
    classes: LruCache<String, Vec<JobId>>,
}

impl Default for FailureAttribution {
    fn default() -> Self {
        Self { jobs: HashMap::new(), machines: BTreeMap::new(), classes: LruCache::new(MAX_CLASSES) }
    }
}

/// Appends the machine unless the list has it already. The oldest machine of a list of `max_len` machines is dropped.
fn push_unique(list: &mut Vec<MachineId>, machine: &MachineId, max_len: usize) {
    if list.contains(machine) {
        return;
    }
    if list.len() >= max_len {
        list.remove(0);
    }
    list.push(machine.clone());
}

impl FailureAttribution {
    /// Records a failure and attributes it. `threshold`: how many unexplained failures make a machine faulty.
    pub fn record_failure(&mut self, failure: &Failure, threshold: usize, now: Instant) -> FailureResponse {
        let Failure { task, class, machine, job_succeeds, tasks_per_try, run_time } = *failure;
        let job = self.jobs.entry(task.job.clone()).or_default();
        job.class.clear();
        job.class.push_str(class);
        job.succeeds |= job_succeeds;
        push_unique(&mut job.failed_machines, machine, JOB_FAULT_MACHINES * 2);
        job.longest_failed_run = job.longest_failed_run.max(run_time);
        job.failures += 1;
        job.recent_machines.push_back(machine.clone());
        if job.recent_machines.len() > MAX_RECENT_MACHINES {
            job.recent_machines.pop_front();
        }
        let tracked_tasks = job.tasks.len();
        if tracked_tasks < MAX_FAILED_TASKS || job.tasks.contains_key(&task.index) {
            let task_failures = job.tasks.entry(task.index);
            let task_failures = task_failures.or_insert_with(|| TaskFailures {
                failed_machines: Vec::new(),
                failed_rounds: 0,
                not_before: now,
            });
            push_unique(&mut task_failures.failed_machines, machine, TASK_FAULT_MACHINES);
        }
        let machine_failures = self.machines.entry(machine.clone()).or_default();
        if machine_failures.failures.len() < MAX_MACHINE_FAILURES {
            machine_failures.failures.push(task.clone());
        }
        let mut response = FailureResponse::default();
        match self.attribute(task, machine, threshold) {
            Attribution::Unclear => {}
            Attribution::Job => {
                response.job_not_before = self.quarantine_job(&task.job, tasks_per_try, now);
                response.cleared = self.clear_explained_machines(threshold);
            }
            Attribution::Task => {
                if let Some(task_failures) = self.jobs.get_mut(&task.job).and_then(|t| t.tasks.get_mut(&task.index)) {
                    task_failures.not_before = now + retry_pause(task_failures.failed_rounds, 1);
                    task_failures.failed_rounds += 1;
                }
                response.cleared = self.clear_explained_machines(threshold);
            }
            Attribution::Machine => {
                if let Some(machine_failures) = self.machines.get_mut(machine).filter(|m| m.quarantined.is_none()) {
                    machine_failures.quarantined = Some(now);
                    response.machine_quarantined = true;
                }
            }
        }
        response
    }

    /// Attributes a failure of the task on the machine. A job that is quarantined already stays so until it succeeds:
    /// the machines that showed it to be faulty may have been returned.
    fn attribute(&self, task: &TaskKey, machine: &MachineId, threshold: usize) -> Attribution {
        if self.jobs.get(&task.job).is_some_and(|job| job.quarantined && !job.succeeds) {
            return Attribution::Job;
        }
        attribute_failure(self.observe(task, machine), threshold)
    }

    /// Collects the evidence on a failure of the task on the machine.
    fn observe(&self, task: &TaskKey, machine: &MachineId) -> Observations {
        let Some(job) = self.jobs.get(&task.job) else { return Observations::default() };
        let is_not_quarantined = |id: &&MachineId| self.machines.get(*id).is_none_or(|m| m.quarantined.is_none());
        Observations {
            job_failed_machines: job.failed_machines.iter().filter(is_not_quarantined).count(),
            job_succeeds: job.succeeds,
            task_failed_machines: job.tasks.get(&task.index).map_or(0, |t| t.failed_machines.len()),
            class_faulty: self.is_class_faulty(&job.class),
            machine_failures: self.unexplained_failures(machine),
        }
    }

    /// Whether enough jobs of the class are quarantined to make the class faulty.
    fn is_class_faulty(&self, class: &str) -> bool {
        self.classes.peek(class).is_some_and(|jobs| jobs.len() >= CLASS_FAULT_JOBS)
    }

    /// Counts the failures on a machine that neither a faulty job nor a faulty task explains. All failures of a job
    /// that has not succeeded anywhere yet count as one, however many of its tasks ran there.
    fn unexplained_failures(&self, machine: &MachineId) -> usize {
        let Some(machine_failures) = self.machines.get(machine) else { return 0 };
        let mut count = 0;
        let mut unproven_jobs: Vec<&JobId> = Vec::new();
        for task in &machine_failures.failures {
            let Some(job) = self.jobs.get(&task.job) else { continue };
            if job.quarantined || job.is_task_faulty(task.index) || (!job.succeeds && self.is_class_faulty(&job.class))
            {
                continue;
            }
            if job.succeeds {
                count += 1;
            } else if !unproven_jobs.contains(&&task.job) {
                unproven_jobs.push(&task.job);
            }
        }
        count + unproven_jobs.len()
    }

    /// Quarantines a faulty job and returns when it may be tried again. All failures of one try cause one pause only.
    fn quarantine_job(&mut self, id: &JobId, tasks_per_try: usize, now: Instant) -> Option<Instant> {
        let job = self.jobs.get_mut(id)?;
        if !job.quarantined {
            job.quarantined = true;
            let faulty_jobs = self.classes.get_or_insert_mut(job.class.clone(), Vec::new);
            if faulty_jobs.len() < CLASS_FAULT_JOBS && !faulty_jobs.contains(id) {
                faulty_jobs.push(id.clone());
            }
        }
        if job.not_before.is_none_or(|at| now >= at) {
            job.not_before = Some(now + retry_pause(job.failed_rounds, tasks_per_try));
            job.failed_rounds += 1;
            job.provisioning_pause.record_failed_try(now);
        }
        job.not_before
    }

    /// Ends the quarantine of machines whose failures are explained otherwise by now, and returns those machines.
    fn clear_explained_machines(&mut self, threshold: usize) -> Vec<MachineId> {
        let quarantined = self.machines.iter().filter(|(_, t)| t.quarantined.is_some()).map(|(id, _)| id);
        let cleared: Vec<MachineId> =
            quarantined.filter(|id| self.unexplained_failures(id) < threshold).cloned().collect();
        for id in &cleared {
            self.machines.remove(id);
        }
        cleared
    }

    /// Records that a task was done, which shows that its job and its machine work. Returns whether either was
    /// quarantined.
    pub fn record_success(&mut self, task: &TaskKey, class: &str, machine: &MachineId) -> bool {
        let mut cleared = self.machines.remove(machine).is_some_and(|t| t.quarantined.is_some());
        if let Some(job) = self.jobs.get_mut(&task.job) {
            cleared |= job.quarantined;
            (job.quarantined, job.succeeds, job.failed_rounds, job.not_before) = (false, true, 0, None);
            job.provisioning_pause = ProvisioningPause::default();
            job.failed_machines.clear();
            job.tasks.remove(&task.index);
        }
        if !self.classes.is_empty() {
            self.classes.pop(class);
        }
        cleared
    }

    /// Returns how long a task of the job must run to show that the job works: clearly longer than its failures took.
    pub fn healthy_run_time(&self, id: &JobId) -> Duration {
        let longest_failed_run = self.jobs.get(id).map_or(Duration::ZERO, |job| job.longest_failed_run);
        MIN_HEALTHY_RUN_TIME.max(longest_failed_run * 2)
    }

    /// Ends the quarantine of a job of which a task has run for its [`Self::healthy_run_time`]. Its failures are
    /// remembered until a task is done: if it fails again, its pauses go on from where they were.
    pub fn end_job_quarantine(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.quarantined = false;
        }
    }

    /// Forgets a job that has ended; its failures no longer count against any machine.
    pub fn forget_job(&mut self, id: &JobId) {
        if self.jobs.remove(id).is_some() {
            self.machines.retain(|_, t| {
                t.failures.retain(|task| task.job != *id);
                !t.failures.is_empty() || t.quarantined.is_some()
            });
        }
    }

    /// Forgets a machine that was returned to the cloud, and returns the quarantined jobs that failed on it. Their next
    /// try is due at once: there is less evidence against them now, and their next machine may be another one.
    pub fn forget_machine(&mut self, id: &MachineId, now: Instant) -> Vec<JobId> {
        self.machines.remove(id);
        let mut due = Vec::new();
        for (job_id, job) in self.jobs.iter_mut().filter(|(_, job)| job.quarantined) {
            if let Some(position) = job.failed_machines.iter().position(|machine| machine == id) {
                job.failed_machines.remove(position);
                job.not_before = Some(now);
                due.push(job_id.clone());
            }
        }
        due
    }

    /// Ends the quarantines that have lasted long enough, and returns each machine with whether it is faulty.
    pub fn end_quarantines(&mut self, threshold: usize, now: Instant) -> Vec<(MachineId, bool)> {
        let is_due =
            |m: &MachineFailures| m.quarantined.is_some_and(|at| now.saturating_duration_since(at) >= QUARANTINE_TIME);
        let due: Vec<MachineId> = self.machines.iter().filter(|(_, m)| is_due(m)).map(|(id, _)| id.clone()).collect();
        let ended: Vec<(MachineId, bool)> =
            due.into_iter().map(|id| (id.clone(), self.unexplained_failures(&id) >= threshold)).collect();
        for (id, _) in &ended {
            self.machines.remove(id);
        }
        ended
    }

    /// Whether the job is quarantined because it has failed everywhere so far: it is tried again after everything else,
    /// no machine is reserved and no task preempted for it, and machines are provisioned for its tries alone
    /// ([`Self::may_provision_for`]).
    pub fn is_job_quarantined(&self, id: &JobId) -> bool {
        !self.jobs.is_empty() && self.jobs.get(id).is_some_and(|t| t.quarantined)
    }

    /// Returns the quarantined jobs.
    pub fn quarantined_jobs(&self) -> impl Iterator<Item = &JobId> {
        self.jobs.iter().filter(|(_, job)| job.quarantined).map(|(id, _)| id)
    }

    /// Whether machines may be provisioned now for the next try of a quarantined job. The pauses between these times
    /// grow from a minute to an hour, so that a job that always fails costs little.
    pub fn may_provision_for(&self, id: &JobId, now: Instant) -> bool {
        self.jobs.get(id).is_none_or(|job| job.provisioning_pause.is_over(now))
    }

    /// Returns the machines on which a job has failed, which it should avoid.
    pub fn failed_machines(&self, id: &JobId) -> &[MachineId] {
        if self.jobs.is_empty() {
            return &[];
        }
        self.jobs.get(id).map_or(&[], |t| &t.failed_machines)
    }

    /// Returns how often tasks of a job have failed, and the machines of the latest failures, the latest last.
    pub fn failures(&self, id: &JobId) -> (u64, impl Iterator<Item = &MachineId>) {
        let job = self.jobs.get(id);
        (job.map_or(0, |t| t.failures), job.into_iter().flat_map(|t| &t.recent_machines))
    }

    /// Returns the indices of a job's faulty tasks that must not be tried yet.
    pub fn held_back_tasks(&self, id: &JobId, now: Instant) -> Vec<u32> {
        let Some(job) = self.jobs.get(id).filter(|t| t.succeeds) else { return Vec::new() };
        job.tasks.iter().filter(|(_, t)| t.not_before > now).map(|(index, _)| *index).collect()
    }

    /// Returns the number of quarantined machines, quarantined jobs, and jobs with any failure.
    pub fn counts(&self) -> [usize; 3] {
        let machines = self.machines.values().filter(|t| t.quarantined.is_some()).count();
        [machines, self.jobs.values().filter(|t| t.quarantined).count(), self.jobs.len()]
    }
}

#[cfg(test)]
mod tests;
