//! The state of the judge while it processes a history.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use hollylanding_protocol::jobs::{JobId, JobSpec, Shape};
use hollylanding_protocol::users::Status;
use hollylanding_protocol::workers::{ExitCause, TaskKey};

use super::answers::{PollCounts, Unanswered};
use super::verdict::{JobResult, summarize_largest};
use super::{Entry, Event, MAX_START_DELAY, Rule, RuleParams, Verdict, Violation};
use crate::declarations::DeclarationRules;
use crate::world::fleet::AttemptEvent;

/// Maximum number of lines of a job's history that are kept.
const MAX_HISTORY_LINES: usize = 40;

/// The state of a job.
#[derive(Default)]
pub(super) struct Job {
    pub(super) spec: Option<Arc<JobSpec>>,
    /// When a response first reported the job as accepted.
    pub(super) accepted: Option<Duration>,
    /// When all tasks of a gang, or the first task of another job, had started.
    pub(super) begun: Option<Duration>,
    pub(super) cancellation_asked: bool,
    /// The final status that was reported to a user, and when it was first reported.
    pub(super) final_status: Option<(Status, Duration)>,
    /// Tasks with a result.
    pub(super) done: BTreeSet<u32>,
    history: Vec<String>,
    /// The period in which no poll was answered; none if the last poll was answered.
    pub(super) unanswered: Option<Unanswered>,
    /// Since when no poll was answered after all faults were over.
    pub(super) unanswered_since: Option<Duration>,
}

impl Job {
    /// Whether the job is a gang with a result; one result completes a gang.
    pub(super) fn gang_done(&self) -> bool {
        self.spec.as_ref().is_some_and(|spec| spec.is_gang()) && !self.done.is_empty()
    }

    /// Whether the job is or may be cancelled, so that no results are expected.
    fn may_be_cancelled(&self) -> bool {
        match self.final_status {
            Some((status, _)) => status == Status::Cancelled,
            None => self.cancellation_asked,
        }
    }
}

/// A machine's type, zone and kind.
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

/// Resources that a team's tasks use.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Usage {
    pub(super) cpus: f64,
    pub(super) gpus: f64,
}

/// The state of the judge.
#[derive(Default)]
pub(super) struct Judge {
    pub(super) params: RuleParams,
    pub(super) jobs: HashMap<JobId, Job>,
    pub(super) machines: HashMap<String, Place>,
    /// The attempts on machines, by task.
    pub(super) live_attempts: BTreeMap<TaskKey, Vec<Attempt>>,
    /// Resources in use, by team.
    pub(super) usage_by_team: HashMap<String, Usage>,
    pub(super) results: HashSet<TaskKey>,
    /// Number of results that were delivered again by another attempt that ran to its end.
    pub(super) repeated: usize,
    /// Numbers of polls of all jobs.
    pub(super) polls: PollCounts,
    /// Whether any task has started.
    pub(super) started: bool,
    /// Whether all faults are over.
    pub(super) faults_over: bool,
    /// Indexes into `params.capacity` of the sets that have had the required number of running replicas.
    pub(super) reached_capacity: HashSet<usize>,
    pub(super) declared: DeclarationRules,
    violations: Vec<Violation>,
}

impl Judge {
    /// Creates a judge with an empty history.
    pub(super) fn new(params: RuleParams) -> Self {
        Self { params, ..Self::default() }
    }

    /// Records the violation of a rule by a job.
    pub(super) fn report(&mut self, rule: Rule, at: Duration, job: &JobId, what: String) {
        let history = self.jobs.get(job).map(|j| j.history.clone()).unwrap_or_default();
        self.violations.push(Violation { rule, at, what, history });
    }

    /// Adds a line to a job's history, and drops the oldest line if there are too many.
    pub(super) fn add_history(&mut self, at: Duration, job: &JobId, line: String) {
        let history = &mut self.jobs.entry(job.clone()).or_default().history;
        history.push(format!("{:9.3} s  {line}", at.as_secs_f64()));
        if history.len() > MAX_HISTORY_LINES {
            history.remove(0);
        }
    }

    /// Processes one entry of the history.
    pub(super) fn process(&mut self, entry: &Entry) {
        let at = entry.at;
        match &entry.event {
            Event::Submitted(spec) => {
                self.add_history(at, &spec.id, format!("submitted: {} tasks", spec.tasks));
                self.jobs.entry(spec.id.clone()).or_default().spec = Some(spec.clone());
            }
            Event::CancellationAsked(job) => {
                self.add_history(at, job, "withdrawal asked".into());
                self.jobs.entry(job.clone()).or_default().cancellation_asked = true;
            }
            Event::Answered { job, ask, code, status } => self.answered(at, job, *ask, *code, *status),
            Event::Up { machine, type_name, zone, spot } => {
                let place = Place { type_name: type_name.clone(), zone: zone.clone(), spot: *spot };
                self.machines.insert(machine.clone(), place);
            }
            Event::Machine(event) => self.process_attempt_event(at, event),
            Event::Declared { kind, name, spec, status } => {
                for what in self.declared.check_status(at, kind, name, spec, status) {
                    self.report(Rule::Window, at, &name.as_str().into(), what);
                }
            }
            Event::FaultsOver => {
                self.faults_over = true;
                self.jobs.values_mut().for_each(|job| job.unanswered_since = None);
            }
        }
    }

    /// Processes a change of an attempt on a machine.
    fn process_attempt_event(&mut self, at: Duration, event: &AttemptEvent) {
        match event {
            AttemptEvent::Started { task, attempt, machine } => self.start(at, task, *attempt, machine),
            AttemptEvent::Ended { task, attempt, machine, cause } => {
                self.add_history(at, &task.job, format!("{}/{} ended on {machine}: {cause:?}", task.index, attempt));
                self.remove_attempt(at, task, *attempt, machine);
                match cause {
                    ExitCause::Done => self.record_result(task),
                    ExitCause::Stopped => self.check_remaining_replicas(at, task),
                    _ => {}
                }
            }
            AttemptEvent::Lost { task, attempt, machine } => {
                self.add_history(at, &task.job, format!("{}/{} lost with {machine}", task.index, attempt));
                self.remove_attempt(at, task, *attempt, machine);
            }
        }
    }

    /// Ends the history, and returns the verdict.
    pub(super) fn close(mut self, end: Duration) -> Verdict {
        let live: Vec<TaskKey> = self.live_attempts.keys().cloned().collect();
        for task in live {
            self.check_cancellation_deadline(end, &task);
        }
        if !self.started {
            self.report_at_end(Rule::NothingRan, end, "no task started".into());
        }
        let end_ms = self.params.start_ms + end.as_millis() as u64;
        for what in self.declared.check_end(end_ms, |job| self.jobs.get(job)?.begun) {
            self.report_at_end(Rule::Window, end, what);
        }
        let mut verdict = Verdict { repeated: self.repeated, ..Verdict::default() };
        self.count_results(&mut verdict);
        verdict.violations = self.violations;
        verdict
    }

    /// Records the violation of a rule by no job in particular.
    fn report_at_end(&mut self, rule: Rule, at: Duration, what: String) {
        self.violations.push(Violation { rule, at, what, history: vec![] });
    }

    /// Counts the expected and the delivered results, and summarizes the largest jobs.
    fn count_results(&self, verdict: &mut Verdict) {
        let mut classes: BTreeMap<&str, Vec<JobResult>> = BTreeMap::new();
        let mut jobs: Vec<(&JobId, &Job)> = self.jobs.iter().collect();
        jobs.sort_by(|a, b| a.0.cmp(b.0));
        for (id, job) in jobs {
            let Some(spec) = job.spec.as_ref().filter(|spec| spec.shape != Shape::Service) else { continue };
            let Some(accepted) = job.accepted else { continue };
            if job.may_be_cancelled() {
                continue;
            }
            let done = job.gang_done() || job.done.len() as u64 == spec.tasks;
            let begun = job.begun.is_some_and(|at| at.saturating_sub(accepted) <= MAX_START_DELAY);
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
