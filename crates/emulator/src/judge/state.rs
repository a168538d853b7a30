//! What the judge knows, as it goes through a history.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use hollylanding_protocol::jobs::{JobId, JobSpec, Shape};
use hollylanding_protocol::users::Status;
use hollylanding_protocol::workers::{ExitCause, TaskKey};

use super::answers::{PollCounts, Unanswered};
use super::verdict::{JobResult, summarize_largest};
use super::{BEGIN_WITHIN, Break, Entry, Event, Rule, Terms, Verdict};
use crate::declarations::DeclarationRules;
use crate::world::fleet::AttemptEvent;

/// The most lines of a job's history that are kept.
const HISTORY: usize = 40;

/// What is known of a job.
#[derive(Default)]
pub(super) struct Job {
    pub(super) spec: Option<Arc<JobSpec>>,
    /// When a user was first told that it is accepted.
    pub(super) accepted: Option<Duration>,
    /// When all of a gang, or the first task of another job, was on machines.
    pub(super) begun: Option<Duration>,
    pub(super) cancellation_asked: bool,
    /// The final status that a user was told, and when first.
    pub(super) final_status: Option<(Status, Duration)>,
    /// Tasks with a result.
    pub(super) done: BTreeSet<u32>,
    history: Vec<String>,
    /// The time in which no poll was answered, if the last one was not.
    pub(super) unanswered: Option<Unanswered>,
    /// Since when no poll was answered, with all faults over.
    pub(super) silent: Option<Duration>,
}

impl Job {
    /// Whether one result completes a gang, and it has one.
    pub(super) fn gang_done(&self) -> bool {
        self.spec.as_ref().is_some_and(|spec| spec.is_gang()) && !self.done.is_empty()
    }

    /// Whether it is or may be cancelled, so that no results are expected.
    fn cancelled(&self) -> bool {
        match self.final_status {
            Some((status, _)) => status == Status::Cancelled,
            None => self.cancellation_asked,
        }
    }
}

/// Where a machine is, and of which type and kind.
pub(super) struct Place {
    pub(super) type_name: String,
    pub(super) zone: String,
    pub(super) spot: bool,
}

/// An attempt of a task that is on a machine.
#[derive(PartialEq, Eq)]
pub(super) struct Attempt {
    pub(super) machine: String,
    pub(super) number: u64,
}

/// Amounts that a team's tasks use.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Usage {
    pub(super) cpus: f64,
    pub(super) gpus: f64,
}

/// The judge's state.
#[derive(Default)]
pub(super) struct Judge {
    pub(super) terms: Terms,
    pub(super) jobs: HashMap<JobId, Job>,
    pub(super) machines: HashMap<String, Place>,
    /// Tasks on machines.
    pub(super) on: BTreeMap<TaskKey, Vec<Attempt>>,
    /// By team.
    pub(super) used: HashMap<String, Usage>,
    pub(super) results: HashSet<TaskKey>,
    /// Results that came more than once, each from a run of its own.
    pub(super) repeated: usize,
    /// Polls of all jobs.
    pub(super) polls: PollCounts,
    /// Whether any task has started.
    pub(super) started: bool,
    /// Whether all faults are over.
    pub(super) quiet: bool,
    /// Indices of those `terms.capacity` whose replicas have all run once.
    pub(super) full: HashSet<usize>,
    pub(super) declared: DeclarationRules,
    breaks: Vec<Break>,
}

impl Judge {
    pub(super) fn new(terms: Terms) -> Self {
        Self { terms, ..Self::default() }
    }

    /// A rule is broken by a job.
    pub(super) fn report(&mut self, rule: Rule, at: Duration, job: &JobId, what: String) {
        let history = self.jobs.get(job).map(|j| j.history.clone()).unwrap_or_default();
        self.breaks.push(Break { rule, at, what, history });
    }

    /// Adds a line to a job's history.
    pub(super) fn write(&mut self, at: Duration, job: &JobId, line: String) {
        let history = &mut self.jobs.entry(job.clone()).or_default().history;
        history.push(format!("{:9.3} s  {line}", at.as_secs_f64()));
        if history.len() > HISTORY {
            history.remove(0);
        }
    }

    /// Takes in one entry.
    pub(super) fn take(&mut self, entry: &Entry) {
        let at = entry.at;
        match &entry.event {
            Event::Submitted(spec) => {
                self.write(at, &spec.id, format!("submitted: {} tasks", spec.tasks));
                self.jobs.entry(spec.id.clone()).or_default().spec = Some(spec.clone());
            }
            Event::CancellationAsked(job) => {
                self.write(at, job, "withdrawal asked".into());
                self.jobs.entry(job.clone()).or_default().cancellation_asked = true;
            }
            Event::Answered { job, ask, code, status } => self.answered(at, job, *ask, *code, *status),
            Event::Up { machine, type_name, zone, spot } => {
                let place = Place { type_name: type_name.clone(), zone: zone.clone(), spot: *spot };
                self.machines.insert(machine.clone(), place);
            }
            Event::Machine(happening) => self.machine(at, happening),
            Event::Declared { kind, name, spec, status } => {
                for wrong in self.declared.stored(at, kind, name, spec, status) {
                    self.report(Rule::Window, at, &name.as_str().into(), wrong);
                }
            }
            Event::Quiet => {
                self.quiet = true;
                self.jobs.values_mut().for_each(|job| job.silent = None);
            }
        }
    }

    /// Something happened to a task on a machine.
    fn machine(&mut self, at: Duration, happening: &AttemptEvent) {
        match happening {
            AttemptEvent::Started { task, attempt, machine } => self.start(at, task, *attempt, machine),
            AttemptEvent::Ended { task, attempt, machine, cause } => {
                self.write(at, &task.job, format!("{}/{} ended on {machine}: {cause:?}", task.index, attempt));
                self.leave(at, task, *attempt, machine);
                match cause {
                    ExitCause::Done => self.deliver(task),
                    ExitCause::Stopped => self.stopped(at, task),
                    _ => {}
                }
            }
            AttemptEvent::Lost { task, attempt, machine } => {
                self.write(at, &task.job, format!("{}/{} lost with {machine}", task.index, attempt));
                self.leave(at, task, *attempt, machine);
            }
        }
    }

    /// Ends the history, and gives the verdict.
    pub(super) fn close(mut self, end: Duration) -> Verdict {
        let still: Vec<TaskKey> = self.on.keys().cloned().collect();
        for task in still {
            self.gone_in_time(end, &task);
        }
        if !self.started {
            self.report_at_end(Rule::NothingRan, end, "no task started".into());
        }
        let end_ms = self.terms.begun_ms + end.as_millis() as u64;
        for what in self.declared.close(end_ms, |job| self.jobs.get(job)?.begun) {
            self.report_at_end(Rule::Window, end, what);
        }
        let mut verdict = Verdict { repeated: self.repeated, ..Verdict::default() };
        self.count_results(&mut verdict);
        verdict.breaks = self.breaks;
        verdict
    }

    /// A rule is broken by no job in particular.
    fn report_at_end(&mut self, rule: Rule, at: Duration, what: String) {
        self.breaks.push(Break { rule, at, what, history: vec![] });
    }

    /// Counts expected results, those that came, and the largest jobs.
    fn count_results(&self, verdict: &mut Verdict) {
        let mut classes: BTreeMap<&str, Vec<JobResult>> = BTreeMap::new();
        let mut jobs: Vec<(&JobId, &Job)> = self.jobs.iter().collect();
        jobs.sort_by(|a, b| a.0.cmp(b.0));
        for (id, job) in jobs {
            let Some(spec) = job.spec.as_ref().filter(|spec| spec.shape != Shape::Service) else { continue };
            let Some(accepted) = job.accepted else { continue };
            if job.cancelled() {
                continue;
            }
            let done = job.gang_done() || job.done.len() as u64 == spec.tasks;
            let begun = job.begun.is_some_and(|at| at.saturating_sub(accepted) <= BEGIN_WITHIN);
            classes.entry(&spec.class).or_default().push(JobResult { tasks: spec.tasks, done, begun });
            for index in 0..spec.tasks as u32 {
                verdict.expected += 1;
                if job.gang_done() || job.done.contains(&index) {
                    verdict.delivered += 1;
                } else {
                    verdict.lost.push(TaskKey { job: id.clone(), index });
                }
            }
        }
        verdict.largest = classes.into_iter().map(|(class, jobs)| summarize_largest(class, jobs)).collect();
    }
}
