//! Whether a failure is due to the job, to one of its tasks or to the machine. Judged by what failed where and what
//! succeeded there, never by a number of failures alone: a job submitted with a mistake fails on every machine, and a
//! faulty machine fails every job (docs/operations.md, docs/design.md).
//!
//! As long as that is not clear, neither is treated as faulty for good: the job is tried elsewhere, and the machine
//! gets no work for a moment and is then tried again. The leader keeps this in memory; a successor learns it anew at
//! the cost of a few starts. There is no I/O here, and no clock is read.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use lru::LruCache;

use super::ids::{MAX_CLASSES, MachineId};
use crate::jobs::JobId;
use crate::protocol::workers::TaskKey;

/// A job that has failed on so many machines, and done well on none, fails by itself.
const JOB_FAULT_MACHINES: usize = 3;
/// A task of a job that does well fails by itself once it has failed on so many machines.
const TASK_FAULT_MACHINES: usize = 3;
/// So many jobs of a class that fail by themselves, and none of it done since, speak against the class.
const CLASS_FAULT_JOBS: usize = 3;
/// A machine quarantined is left alone for this long before it is given up: whoever failed on it is
/// mostly known by then.
const QUARANTINE_TIME: Duration = Duration::from_secs(15);
/// Pause before what fails by itself is tried again: doubled each time, up to the longest.
const MIN_RETRY_PAUSE: Duration = Duration::from_secs(5);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(60);
/// Tasks of a suspected job that are tried at once.
pub const MAX_PROBE_TASKS: usize = 2;

/// Tasks of one job remembered for having failed; more are judged by their job alone.
const MAX_FAILED_TASKS: usize = 256;
/// Failures remembered of one machine since anything was done on it.
const MAX_MACHINE_FAILURES: usize = 32;
/// Machines of a job's latest failures that are remembered.
const MAX_RECENT_MACHINES: usize = 16;

/// What speaks for and against whom at the moment of a failure.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Observations {
    /// Machines not themselves quarantined on which the job has failed, this one included.
    pub job_failed_machines: usize,
    /// Some task of the job was done, or runs on another machine for longer than failures take.
    pub job_succeeds: bool,
    /// Machines on which this very task has failed, this one included.
    pub task_failed_machines: usize,
    /// Its class fails by itself.
    pub class_faulty: bool,
    /// Failures on this machine since anything was done on it that nothing else explains.
    pub machine_failures: usize,
}

/// Who is to blame for failures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attribution {
    /// Nobody yet.
    Unclear,
    /// The job fails by itself.
    Job,
    /// This task of a job that does well fails by itself.
    Task,
    /// The machine.
    Machine,
}

/// The whole judgement. `enough`: unexplained failures in a row after which a machine is suspected.
pub fn attribute_failure(seen: Observations, enough: usize) -> Attribution {
    if seen.job_succeeds {
        return match seen {
            Observations { task_failed_machines: task_failed_on, .. } if task_failed_on >= TASK_FAULT_MACHINES => {
                Attribution::Task
            }
            Observations { machine_failures: machine_row, .. } if machine_row >= enough => Attribution::Machine,
            _ => Attribution::Unclear,
        };
    }
    if seen.class_faulty || seen.job_failed_machines >= JOB_FAULT_MACHINES {
        Attribution::Job
    } else if seen.machine_failures >= enough {
        Attribution::Machine
    } else {
        Attribution::Unclear
    }
}

/// The pause after the `round`th time in a row that something has failed by itself, from 0: the
/// longer, the more tasks a try takes.
fn retry_pause(round: u32, tasks: usize) -> Duration {
    let tries = tasks.div_ceil(MAX_PROBE_TASKS).clamp(1, 1000) as u32;
    (MIN_RETRY_PAUSE * tries * 2u32.saturating_pow(round.min(8))).min(MAX_RETRY_PAUSE)
}

#[derive(Debug)]
struct TaskFailures {
    failed_on: Vec<MachineId>,
    round: u32,
    not_before: Instant,
}

#[derive(Debug, Default)]
struct JobFailures {
    class: String,
    /// Machines on which it failed, a few more than convict it.
    failed_on: Vec<MachineId>,
    succeeds: bool,
    quarantined: bool,
    round: u32,
    not_before: Option<Instant>,
    tasks: BTreeMap<u32, TaskFailures>,
    /// All failures of its tasks, and where the latest were, the latest last.
    failures: u64,
    recent_machines: VecDeque<MachineId>,
}

impl JobFailures {
    fn is_task_faulty(&self, index: u32) -> bool {
        self.succeeds && self.tasks.get(&index).is_some_and(|t| t.failed_on.len() >= TASK_FAULT_MACHINES)
    }
}

#[derive(Debug, Default)]
struct MachineFailures {
    failures: Vec<TaskKey>,
    quarantined: Option<Instant>,
}

/// A failure as the cluster state knows it.
pub struct Failure<'a> {
    /// The task that failed.
    pub task: &'a TaskKey,
    /// Its job's class.
    pub class: &'a str,
    /// Where it failed.
    pub machine: &'a MachineId,
    /// As in `Observations`.
    pub job_succeeds: bool,
    /// Tasks that one try of the job takes: all of a gang.
    pub tasks_per_try: usize,
}

/// What the cluster state is to do after a failure.
#[derive(Debug, Default, PartialEq)]
pub struct FailureResponse {
    /// The job is quarantined from now on, or still: not to be tried before this.
    pub job_not_before: Option<Instant>,
    /// The machine has just come quarantined.
    pub machine_quarantined: bool,
    /// Machines that are cleared by it: what failed there fails everywhere.
    pub cleared: Vec<MachineId>,
}

/// All that is remembered of failures.
#[derive(Debug)]
pub struct FailureAttribution {
    jobs: HashMap<JobId, JobFailures>,
    machines: BTreeMap<MachineId, MachineFailures>,
    /// Jobs of a class that came quarantined since any of the class was done.
    classes: LruCache<String, Vec<JobId>>,
}

impl Default for FailureAttribution {
    fn default() -> Self {
        Self { jobs: HashMap::new(), machines: BTreeMap::new(), classes: LruCache::new(MAX_CLASSES) }
    }
}

fn push_unique(list: &mut Vec<MachineId>, machine: &MachineId, most: usize) {
    if list.len() < most && !list.contains(machine) {
        list.push(machine.clone());
    }
}

impl FailureAttribution {
    /// Takes in one failure and judges it. `enough`: unexplained failures in a row after which a machine is suspected.
    pub fn record_failure(&mut self, failure: &Failure, enough: usize, now: Instant) -> FailureResponse {
        let Failure { task, class, machine, job_succeeds: job_does_well, tasks_per_try: at_once } = *failure;
        let trial = self.jobs.entry(task.job.clone()).or_default();
        trial.class.clear();
        trial.class.push_str(class);
        trial.succeeds |= job_does_well;
        push_unique(&mut trial.failed_on, machine, JOB_FAULT_MACHINES * 2);
        trial.failures += 1;
        trial.recent_machines.push_back(machine.clone());
        if trial.recent_machines.len() > MAX_RECENT_MACHINES {
            trial.recent_machines.pop_front();
        }
        let known = trial.tasks.len();
        if known < MAX_FAILED_TASKS || trial.tasks.contains_key(&task.index) {
            let of_task = trial.tasks.entry(task.index);
            let of_task = of_task.or_insert_with(|| TaskFailures { failed_on: Vec::new(), round: 0, not_before: now });
            push_unique(&mut of_task.failed_on, machine, TASK_FAULT_MACHINES);
        }
        let of_machine = self.machines.entry(machine.clone()).or_default();
        if of_machine.failures.len() < MAX_MACHINE_FAILURES {
            of_machine.failures.push(task.clone());
        }
        let seen = self.observe(task, machine);
        let mut response = FailureResponse::default();
        match attribute_failure(seen, enough) {
            Attribution::Unclear => {}
            Attribution::Job => {
                response.job_not_before = self.quarantine_job(&task.job, at_once, now);
                response.cleared = self.clear_explained_machines(enough);
            }
            Attribution::Task => {
                if let Some(of_task) = self.jobs.get_mut(&task.job).and_then(|t| t.tasks.get_mut(&task.index)) {
                    of_task.not_before = now + retry_pause(of_task.round, 1);
                    of_task.round += 1;
                }
                response.cleared = self.clear_explained_machines(enough);
            }
            Attribution::Machine => {
                if let Some(of_machine) = self.machines.get_mut(machine).filter(|m| m.quarantined.is_none()) {
                    of_machine.quarantined = Some(now);
                    response.machine_quarantined = true;
                }
            }
        }
        response
    }

    fn observe(&self, task: &TaskKey, machine: &MachineId) -> Observations {
        let Some(trial) = self.jobs.get(&task.job) else { return Observations::default() };
        let sound = |m: &&MachineId| self.machines.get(*m).is_none_or(|t| t.quarantined.is_none());
        Observations {
            job_failed_machines: trial.failed_on.iter().filter(sound).count(),
            job_succeeds: trial.succeeds,
            task_failed_machines: trial.tasks.get(&task.index).map_or(0, |t| t.failed_on.len()),
            class_faulty: self.is_class_faulty(&trial.class),
            machine_failures: self.unexplained_failures(machine),
        }
    }

    fn is_class_faulty(&self, class: &str) -> bool {
        self.classes.peek(class).is_some_and(|jobs| jobs.len() >= CLASS_FAULT_JOBS)
    }

    /// Failures on a machine that neither a job nor a task explains. Of a job that has done well nowhere
    /// yet they count once, however many of its tasks were there.
    fn unexplained_failures(&self, machine: &MachineId) -> usize {
        let Some(trial) = self.machines.get(machine) else { return 0 };
        let mut row = 0;
        let mut unsure: Vec<&JobId> = Vec::new();
        for task in &trial.failures {
            let Some(job) = self.jobs.get(&task.job) else { continue };
            if job.quarantined || job.is_task_faulty(task.index) || (!job.succeeds && self.is_class_faulty(&job.class))
            {
                continue;
            }
            if job.succeeds {
                row += 1;
            } else if !unsure.contains(&&task.job) {
                unsure.push(&task.job);
            }
        }
        row + unsure.len()
    }

    /// The job fails by itself. Failures of one round, however many, make one pause.
    fn quarantine_job(&mut self, id: &JobId, at_once: usize, now: Instant) -> Option<Instant> {
        let trial = self.jobs.get_mut(id)?;
        if !trial.quarantined {
            trial.quarantined = true;
            let of_class = self.classes.get_or_insert_mut(trial.class.clone(), Vec::new);
            if of_class.len() < CLASS_FAULT_JOBS && !of_class.contains(id) {
                of_class.push(id.clone());
            }
        }
        if trial.not_before.is_none_or(|at| now >= at) {
            trial.not_before = Some(now + retry_pause(trial.round, at_once));
            trial.round += 1;
        }
        trial.not_before
    }

    /// Machines quarantined for what by now is explained otherwise.
    fn clear_explained_machines(&mut self, enough: usize) -> Vec<MachineId> {
        let quarantined = self.machines.iter().filter(|(_, t)| t.quarantined.is_some()).map(|(id, _)| id);
        let cleared: Vec<MachineId> =
            quarantined.filter(|id| self.unexplained_failures(id) < enough).cloned().collect();
        for id in &cleared {
            self.machines.remove(id);
        }
        cleared
    }

    /// A task was done: its job does well, and so does its machine. True if either was quarantined.
    pub fn record_success(&mut self, task: &TaskKey, class: &str, machine: &MachineId) -> bool {
        let mut cleared = self.machines.remove(machine).is_some_and(|t| t.quarantined.is_some());
        if let Some(trial) = self.jobs.get_mut(&task.job) {
            cleared |= trial.quarantined;
            (trial.quarantined, trial.succeeds, trial.round, trial.not_before) = (false, true, 0, None);
            trial.failed_on.clear();
            trial.tasks.remove(&task.index);
        }
        if !self.classes.is_empty() {
            self.classes.pop(class);
        }
        cleared
    }

    /// The job is over: nothing is kept of it, and what it failed on speaks against no machine any more.
    pub fn forget_job(&mut self, id: &JobId) {
        if self.jobs.remove(id).is_some() {
            self.machines.retain(|_, t| {
                t.failures.retain(|task| task.job != *id);
                !t.failures.is_empty() || t.quarantined.is_some()
            });
        }
    }

    /// Forgets a machine that was returned.
    pub fn forget_machine(&mut self, id: &MachineId) {
        self.machines.remove(id);
    }

    /// Machines whose time quarantined is over, and whether they are to be given up.
    pub fn end_quarantines(&mut self, enough: usize, now: Instant) -> Vec<(MachineId, bool)> {
        let due =
            |t: &MachineFailures| t.quarantined.is_some_and(|at| now.saturating_duration_since(at) >= QUARANTINE_TIME);
        let due: Vec<MachineId> = self.machines.iter().filter(|(_, t)| due(t)).map(|(id, _)| id.clone()).collect();
        let decided: Vec<(MachineId, bool)> =
            due.into_iter().map(|id| (id.clone(), self.unexplained_failures(&id) >= enough)).collect();
        for (id, _) in &decided {
            self.machines.remove(id);
        }
        decided
    }

    /// The job has failed everywhere so far: it is tried again behind everything else, and nothing is
    /// paid, stopped or held for it.
    pub fn is_job_quarantined(&self, id: &JobId) -> bool {
        !self.jobs.is_empty() && self.jobs.get(id).is_some_and(|t| t.quarantined)
    }

    /// Machines on which a job has failed, to be avoided by it.
    pub fn failed_machines(&self, id: &JobId) -> &[MachineId] {
        if self.jobs.is_empty() {
            return &[];
        }
        self.jobs.get(id).map_or(&[], |t| &t.failed_on)
    }

    /// How often tasks of a job have failed, and the machines of the latest failures, the latest last.
    pub fn failures(&self, id: &JobId) -> (u64, impl Iterator<Item = &MachineId>) {
        let trial = self.jobs.get(id);
        (trial.map_or(0, |t| t.failures), trial.into_iter().flat_map(|t| &t.recent_machines))
    }

    /// Tasks of a job that fail by themselves and are not to be tried yet.
    pub fn held_back_tasks(&self, id: &JobId, now: Instant) -> Vec<u32> {
        let Some(trial) = self.jobs.get(id).filter(|t| t.succeeds) else { return Vec::new() };
        trial.tasks.iter().filter(|(_, t)| t.not_before > now).map(|(index, _)| *index).collect()
    }

    /// Machines quarantined, suspected jobs, and jobs with any failure.
    pub fn counts(&self) -> [usize; 3] {
        let machines = self.machines.values().filter(|t| t.quarantined.is_some()).count();
        [machines, self.jobs.values().filter(|t| t.quarantined).count(), self.jobs.len()]
    }
}

#[cfg(test)]
mod tests;
