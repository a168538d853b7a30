//! The judge: from requests, answers and what ran where, and from nothing else, it tells whether a
//! rule of the protocol was broken, and whether every accepted task has its result.
//!
//! It is pure and knows nothing of the world or of who played it.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use hollylanding_wire::jobs::{JobId, JobSpec, Shape};
use hollylanding_wire::users::Status;
use hollylanding_wire::workers::{Cause, TaskKey};
use serde_json::Value;

use crate::declared::Declared;
use crate::world::fleet::Happening;

/// The kind of a user's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ask {
    /// Submits a job, or repeats the submission.
    Submit,
    /// Asks for a job's status.
    Status,
    /// Asks that a job be withdrawn.
    Withdraw,
}

/// Something that happened, as the judge sees it.
#[derive(Debug, Clone)]
pub enum Event {
    /// A user is about to submit a job for the first time.
    Submitted(Arc<JobSpec>),
    /// A user is about to ask for the first time that a job be withdrawn.
    WithdrawalAsked(JobId),
    /// The answer to a user's request.
    Answered {
        /// The job that the request is about.
        job: JobId,
        /// The kind of the request.
        ask: Ask,
        /// HTTP status code; none if there was no answer.
        code: Option<u16>,
        /// The job's status, if the answer contains one.
        status: Option<Status>,
    },
    /// A machine came up.
    Up {
        /// The cloud's name of the machine.
        machine: String,
        /// Name of its type.
        type_name: String,
        /// Its zone.
        zone: String,
        /// Whether it is a spot machine.
        spot: bool,
    },
    /// Something happened to a task on a machine.
    Machine(Happening),
    /// The controllers stored the status of a declared object.
    Declared {
        /// Kind of the object, such as `window` or `heat`.
        kind: String,
        /// The object's name.
        name: String,
        /// The specification that was in force.
        spec: Value,
        /// The status stored.
        status: Value,
    },
    /// All faults are over: from now on every request about a job has to be answered.
    Quiet,
}

/// An event with its time.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Time since the world began.
    pub at: Duration,
    /// What happened.
    pub event: Event,
}

/// A rule of the protocol that the judge checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A task ran on two machines at once.
    RanTwice,
    /// A team used more than its quota.
    Quota,
    /// A task started on a machine that its job does not allow.
    WrongPlace,
    /// A task ran too long after its job was reported withdrawn.
    RanCancelled,
    /// An accepted job was answered as unknown, was refused, or was not answered while others were.
    Forgotten,
    /// A job that nobody submitted was answered as known.
    Invented,
    /// A job was reported done before all its tasks were.
    NotDone,
    /// A final status changed, or a job was reported withdrawn although nobody asked.
    WentBack,
    /// No task started at all.
    NothingRan,
    /// With all faults over, no request about a job was answered for [`SILENT`].
    Unanswered,
    /// Replicas of a service were stopped until fewer than required were left.
    Gap,
    /// The stored status of a window contradicts itself, or the window never ended.
    Window,
    /// Jobs that a heat rule puts first waited while many others started.
    Vents,
}

/// Vents are passed over once they have waited for longer than a takeover, a place and a start told take: what
/// begins sooner had its place before them.
const PASSED_AFTER: Duration = Duration::from_secs(10);

impl Rule {
    /// All rules, in the order of reports.
    pub const ALL: [Self; 13] = [
        Self::RanTwice,
        Self::Quota,
        Self::WrongPlace,
        Self::RanCancelled,
        Self::Forgotten,
        Self::Invented,
        Self::NotDone,
        Self::WentBack,
        Self::NothingRan,
        Self::Unanswered,
        Self::Gap,
        Self::Window,
        Self::Vents,
    ];

    /// The rule's name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::RanTwice => "ran_twice",
            Self::Quota => "quota",
            Self::WrongPlace => "wrong_place",
            Self::RanCancelled => "ran_cancelled",
            Self::Forgotten => "forgotten",
            Self::Invented => "invented",
            Self::NotDone => "not_done",
            Self::WentBack => "went_back",
            Self::NothingRan => "nothing_ran",
            Self::Unanswered => "unanswered",
            Self::Gap => "gap",
            Self::Window => "window",
            Self::Vents => "vents",
        }
    }
}

/// The parameters of the rules.
#[derive(Debug, Clone, Default)]
pub struct Terms {
    /// The most cores and accelerators that each team's tasks may use; 0: unlimited.
    pub quotas: HashMap<String, (f64, f64)>,
    /// Time from the report that a job is withdrawn until none of its tasks may run.
    pub cancel: Duration,
    /// Sets of services that replace one another, with the number of replicas that must run in total.
    pub capacity: Vec<(Vec<JobId>, usize)>,
    /// Wall-clock time at which the world began, in ms since 1970.
    pub begun_ms: u64,
}

/// The outcome of a class's largest jobs: its top tenth by number of tasks, more where sizes are equal.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Largest {
    /// The class.
    pub class: String,
    /// Number of these jobs.
    pub jobs: usize,
    /// Number of them that are done.
    pub done: usize,
    /// Number of them that started within [`BEGIN_WITHIN`] of the acceptance: all tasks of a gang, or the first
    /// task of an array.
    pub begun: usize,
}

impl Largest {
    fn served(&self) -> bool {
        self.done * 2 >= self.jobs && self.begun * 2 >= self.jobs
    }
}

/// A broken rule.
#[derive(Debug, Clone)]
pub struct Break {
    /// The rule.
    pub rule: Rule,
    /// Time since the world began.
    pub at: Duration,
    /// A description of what broke it.
    pub what: String,
    /// The last events of the job until then, one a line.
    pub history: Vec<String>,
}

/// The result of judging a history.
#[derive(Debug, Default)]
pub struct Verdict {
    /// Broken rules in the order in which they were found.
    pub breaks: Vec<Break>,
    /// Number of tasks of accepted jobs that were not withdrawn.
    pub expected: usize,
    /// Number of expected tasks that have a result.
    pub delivered: usize,
    /// Number of results that came more than once, each from a run of its own.
    pub repeated: usize,
    /// Expected tasks without a result.
    pub lost: Vec<TaskKey>,
    /// The largest jobs of each class.
    pub largest: Vec<Largest>,
}

impl Verdict {
    /// Whether no rule was broken, every expected task has exactly one result, and the largest jobs were served.
    pub fn clean(&self) -> bool {
        let whole = self.breaks.is_empty() && self.delivered == self.expected && self.repeated == 0;
        whole && self.largest.iter().all(Largest::served)
    }

    /// The first break of a rule, if there is one.
    pub fn first(&self, rule: Rule) -> Option<&Break> {
        self.breaks.iter().find(|b| b.rule == rule)
    }

    /// A summary in one line, the last of a rehearsal's output.
    pub fn line(&self) -> String {
        let rules: BTreeSet<&str> = self.breaks.iter().map(|b| b.rule.name()).collect();
        let rules: Vec<&str> = rules.into_iter().collect();
        let rules = if rules.is_empty() { "none broken".to_owned() } else { format!("broken: {}", rules.join(", ")) };
        let each =
            if self.repeated == 0 { "each once".to_owned() } else { format!("{} more than once", self.repeated) };
        let sum = |count: fn(&Largest) -> usize| self.largest.iter().map(count).sum::<usize>();
        let (all, done, begun) = (sum(|l| l.jobs), sum(|l| l.done), sum(|l| l.begun));
        let under: Vec<&str> = self.largest.iter().filter(|l| !l.served()).map(|l| l.class.as_str()).collect();
        let under = if under.is_empty() { String::new() } else { format!(", under half: {}", under.join(", ")) };
        let (results, within) = (format!("results: {} of {}", self.delivered, self.expected), BEGIN_WITHIN.as_secs());
        format!(
            "{results}, {each}; rules: {rules}; largest: {done} of {all} done, {begun} begun within {within} s{under}"
        )
    }
}

/// Lines of a job's history told with a break.
const HISTORY: usize = 40;
/// Every poll failing for this long, while most others are answered, is forgetting.
const UNANSWERED: Duration = Duration::from_secs(90);
/// With all faults over, a job about which no request is answered for this long counts as unanswered.
pub const SILENT: Duration = Duration::from_secs(75);
/// Time after the acceptance within which the largest jobs have to start.
pub const BEGIN_WITHIN: Duration = Duration::from_secs(240);
const SLACK: f64 = 1e-6;

#[derive(Default)]
struct Job {
    spec: Option<Arc<JobSpec>>,
    accepted: Option<Duration>,
    begun: Option<Duration>,
    withdrawal_asked: bool,
    /// What a user was last told of its end, and when first.
    told: Option<(Status, Duration)>,
    done: BTreeSet<u32>,
    history: Vec<String>,
    /// Since when no poll was answered, and how many polls were made and answered by then.
    unanswered: Option<(Duration, u64, u64)>,
    /// Since when no question was answered, once troubles were over.
    silent: Option<Duration>,
}

struct Place {
    type_name: String,
    zone: String,
    spot: bool,
}

#[derive(Default)]
struct Court {
    terms: Terms,
    jobs: HashMap<JobId, Job>,
    machines: HashMap<String, Place>,
    /// Tasks on machines, with the machine and the attempt.
    on: BTreeMap<TaskKey, Vec<(String, u64)>>,
    used: HashMap<String, (f64, f64)>,
    results: HashSet<TaskKey>,
    /// Attempts that have ended with a result of their own.
    repeated: usize,
    polls: u64,
    answered: u64,
    started: bool,
    quiet: bool,
    /// Which of `terms.capacity` were all there once.
    full: HashSet<usize>,
    declared: Declared,
    breaks: Vec<Break>,
}

/// Judges a whole history, whose entries must be ordered by time.
pub fn judge(history: &[Entry], terms: &Terms) -> Verdict {
    let mut court = Court { terms: terms.clone(), ..Court::default() };
    let mut end = Duration::ZERO;
    for entry in history {
        end = entry.at;
        court.hear(entry);
    }
    court.close(end)
}

impl Court {
    fn find(&mut self, rule: Rule, at: Duration, job: &JobId, what: String) {
        let history = self.jobs.get(job).map(|j| j.history.clone()).unwrap_or_default();
        self.breaks.push(Break { rule, at, what, history });
    }

    fn write(&mut self, at: Duration, job: &JobId, line: String) {
        let history = &mut self.jobs.entry(job.clone()).or_default().history;
        history.push(format!("{:9.3} s  {line}", at.as_secs_f64()));
        if history.len() > HISTORY {
            history.remove(0);
        }
    }

    fn hear(&mut self, entry: &Entry) {
        let at = entry.at;
        match &entry.event {
            Event::Submitted(spec) => {
                self.write(at, &spec.id, format!("submitted: {} tasks", spec.tasks));
                self.jobs.entry(spec.id.clone()).or_default().spec = Some(spec.clone());
            }
            Event::WithdrawalAsked(job) => {
                self.write(at, job, "withdrawal asked".into());
                self.jobs.entry(job.clone()).or_default().withdrawal_asked = true;
            }
            Event::Answered { job, ask, code, status } => self.answered(at, job, *ask, *code, *status),
            Event::Up { machine, type_name, zone, spot } => {
                let place = Place { type_name: type_name.clone(), zone: zone.clone(), spot: *spot };
                self.machines.insert(machine.clone(), place);
            }
            Event::Machine(Happening::Started { task, attempt, machine }) => self.start(at, task, *attempt, machine),
            Event::Machine(Happening::Ended { task, attempt, machine, cause }) => {
                self.write(at, &task.job, format!("{}/{} ended on {machine}: {cause:?}", task.index, attempt));
                self.leave(at, task, *attempt, machine);
                match cause {
                    Cause::Done => self.deliver(task),
                    Cause::Stopped => self.stopped(at, task),
                    _ => {}
                }
            }
            Event::Declared { kind, name, spec, status } => {
                for wrong in self.declared.stored(at, kind, name, spec, status) {
                    self.find(Rule::Window, at, &name.as_str().into(), wrong);
                }
            }
            Event::Quiet => {
                self.quiet = true;
                self.jobs.values_mut().for_each(|job| job.silent = None);
            }
            Event::Machine(Happening::Lost { task, attempt, machine }) => {
                self.write(at, &task.job, format!("{}/{} lost with {machine}", task.index, attempt));
                self.leave(at, task, *attempt, machine);
            }
        }
    }

    fn deliver(&mut self, task: &TaskKey) {
        if !self.results.insert(task.clone()) {
            // A task that is started again after its end only says so again; two runs that both
            // reached the end would have been on machines at once.
            self.repeated += usize::from(self.on.get(task).is_some_and(|on| !on.is_empty()));
        }
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.done.insert(task.index);
        }
    }

    fn start(&mut self, at: Duration, task: &TaskKey, attempt: u64, machine: &str) {
        self.started = true;
        self.write(at, &task.job, format!("{}/{attempt} started on {machine}", task.index));
        if let Some((other, _)) = self.on.get(task).and_then(|on| on.first()) {
            let what = format!("{}/{} starts on {machine} while it is on {other}", task.job, task.index);
            self.find(Rule::RanTwice, at, &task.job, what);
        }
        let (told, spec) = self.jobs.get(&task.job).map_or((None, None), |j| (j.told, j.spec.clone()));
        let withdrawn = told.filter(|(status, _)| *status == Status::Withdrawn).map(|(_, at)| at);
        if withdrawn.is_some_and(|told| at.saturating_sub(told) > self.terms.cancel) {
            let what = format!("{}/{} starts though its job is withdrawn", task.job, task.index);
            self.find(Rule::RanCancelled, at, &task.job, what);
        }
        if let Some(spec) = spec {
            let long = |since: Duration| at.saturating_sub(since) >= PASSED_AFTER;
            let waits = |j: &&Job| j.accepted.is_some_and(long) && j.begun.is_none() && j.told.is_none();
            let waiting = self.jobs.values().filter(waits).filter_map(|j| j.spec.as_deref());
            for job in self.declared.begins(&spec, waiting) {
                let what = format!("{job} waits while it is hot, and {} is one of many that begin ahead", spec.id);
                self.find(Rule::Vents, at, &job, what);
            }
            self.place(at, task, machine, &spec);
            let used = self.used.entry(spec.team.clone()).or_default();
            (used.0, used.1) = (used.0 + spec.cpus, used.1 + spec.gpus);
            let (cpus, gpus) = *used;
            let most = self.terms.quotas.get(&spec.team).copied().unwrap_or_default();
            let above = |limit: f64, used: f64| limit > 0.0 && used > limit + SLACK;
            if above(most.0, cpus) || above(most.1, gpus) {
                let what = format!("{}: {cpus} cores and {gpus} accelerators of {} and {}", spec.team, most.0, most.1);
                self.find(Rule::Quota, at, &task.job, what);
            }
        }
        self.on.entry(task.clone()).or_default().push((machine.to_owned(), attempt));
        let running = self.running(&task.job);
        if let Some(job) = self.jobs.get_mut(&task.job)
            && job.spec.as_ref().is_some_and(|s| !s.is_gang() || running as u64 == s.tasks)
        {
            job.begun.get_or_insert(at);
        }
        for n in 0..self.terms.capacity.len() {
            if self.together(n) >= self.terms.capacity[n].1 {
                self.full.insert(n);
            }
        }
    }

    /// Tasks of a job that are on machines.
    fn running(&self, job: &JobId) -> usize {
        let first = TaskKey { job: job.clone(), index: 0 };
        self.on.range(first..).take_while(|(key, _)| key.job == *job).count()
    }

    fn together(&self, n: usize) -> usize {
        self.terms.capacity[n].0.iter().map(|job| self.running(job)).sum()
    }

    /// Machines may be lost at any time; but nobody is told to stop where too few are left then.
    fn stopped(&mut self, at: Duration, task: &TaskKey) {
        for n in 0..self.terms.capacity.len() {
            let (jobs, least) = &self.terms.capacity[n];
            let asked = |job: &JobId| self.jobs.get(job).is_some_and(|j| j.withdrawal_asked);
            let (left, least) = (self.together(n), *least);
            if jobs.contains(&task.job) && !jobs.iter().any(asked) && self.full.contains(&n) && left < least {
                let what = format!("{}/{} is stopped, and {left} of {least} are left", task.job, task.index);
                self.find(Rule::Gap, at, &task.job, what);
            }
        }
    }

    fn place(&mut self, at: Duration, task: &TaskKey, machine: &str, spec: &JobSpec) {
        let Some(place) = self.machines.get(machine) else { return };
        let first = TaskKey { job: task.job.clone(), index: 0 };
        let others = self.on.range(first..).take_while(|(key, _)| key.job == task.job);
        let zones: Vec<&str> = others
            .filter(|(key, _)| *key != task)
            .flat_map(|(_, on)| on)
            .filter_map(|(m, _)| self.machines.get(m).map(|p| p.zone.as_str()))
            .collect();
        let here = zones.iter().filter(|z| **z == place.zone).count() as u64;
        let wrong = if spec.types.as_ref().is_some_and(|types| !types.contains(&place.type_name)) {
            Some("its type")
        } else if spec.zone.as_ref().is_some_and(|zone| *zone != place.zone) {
            Some("its zone")
        } else if place.spot && !spec.spot {
            Some("its being a spot machine")
        } else if spec.same_zone && zones.iter().any(|z| *z != place.zone) {
            Some("its zone, since others of the job are in another")
        } else if spec.spread && here + 1 > spec.tasks.div_ceil(2) {
            Some("its zone, since half of the job is there")
        } else {
            None
        };
        if let Some(why) = wrong {
            let what = format!("{}/{} starts on {machine} in spite of {why}", task.job, task.index);
            self.find(Rule::WrongPlace, at, &task.job, what);
        }
    }

    fn leave(&mut self, at: Duration, task: &TaskKey, attempt: u64, machine: &str) {
        let Some(on) = self.on.get_mut(task) else { return };
        let before = on.len();
        on.retain(|(m, a)| m != machine || *a != attempt);
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
            (used.0, used.1) = (used.0 - spec.cpus, used.1 - spec.gpus);
        }
        self.gone_in_time(at, task);
    }

    fn gone_in_time(&mut self, at: Duration, task: &TaskKey) {
        let told = self.jobs.get(&task.job).and_then(|j| j.told);
        if let Some((Status::Withdrawn, told)) = told
            && at.saturating_sub(told) > self.terms.cancel
        {
            let what = format!("{}/{} is on a machine {:?} after its withdrawal", task.job, task.index, at - told);
            self.find(Rule::RanCancelled, at, &task.job, what);
        }
    }

    fn answered(&mut self, at: Duration, id: &JobId, ask: Ask, code: Option<u16>, status: Option<Status>) {
        self.write(at, id, format!("{ask:?} answered {code:?} {status:?}"));
        let answered = matches!(code, Some(200 | 201 | 404));
        if ask == Ask::Status {
            self.polls += 1;
            self.answered += u64::from(answered);
        }
        let (polls, heard) = (self.polls, self.answered);
        let job = self.jobs.entry(id.clone()).or_default();
        let known = job.spec.is_some();
        match code {
            Some(200 | 201) if !known => {
                return self.find(Rule::Invented, at, id, format!("{id}, which nobody submitted, is answered"));
            }
            Some(404) if job.accepted.is_some() => {
                return self.find(Rule::Forgotten, at, id, format!("{id} is answered 404"));
            }
            Some(400 | 422) if job.accepted.is_some() && ask == Ask::Submit => {
                return self.find(Rule::Forgotten, at, id, format!("{id}, accepted before, is answered {code:?}"));
            }
            Some(200 | 201) => drop(job.accepted.get_or_insert(at)),
            _ => {}
        }
        if ask == Ask::Status && job.accepted.is_some() {
            if answered {
                (job.unanswered, job.silent) = (None, None);
            } else {
                if self.quiet && at.saturating_sub(*job.silent.get_or_insert(at)) >= SILENT {
                    job.silent = None;
                    let what = format!("{id}: no question was answered for {:.0} s", SILENT.as_secs_f64());
                    return self.find(Rule::Unanswered, at, id, what);
                }
                let (since, polls_then, heard_then) = *job.unanswered.get_or_insert((at, polls, heard));
                let others = (polls - polls_then).saturating_sub(1);
                if at.saturating_sub(since) >= UNANSWERED && (heard - heard_then) * 2 > others {
                    job.unanswered = None;
                    let what = format!("{id}: no poll was answered since {:.0} s", since.as_secs_f64());
                    return self.find(Rule::Forgotten, at, id, what);
                }
            }
        }
        let Some(status) = status.filter(|_| answered) else { return };
        self.said(at, id, status);
    }

    /// A user was told this state.
    fn said(&mut self, at: Duration, id: &JobId, status: Status) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let before = job.told.map(|(told, _)| told);
        let complete = job.spec.as_ref().is_none_or(|spec| match spec.shape {
            Shape::Gang => !job.done.is_empty(),
            _ => job.done.len() as u64 == spec.tasks,
        });
        let asked = job.withdrawal_asked;
        if matches!(status, Status::Done | Status::Withdrawn) {
            job.told.get_or_insert((status, at));
        }
        if let Some(before) = before.filter(|before| *before != status) {
            return self.find(Rule::WentBack, at, id, format!("{id} was {before:?} and is called {status:?}"));
        }
        if status == Status::Withdrawn && !asked {
            return self.find(Rule::WentBack, at, id, format!("{id} is called withdrawn, and nobody asked"));
        }
        if status == Status::Done && before.is_none() && !complete {
            self.find(Rule::NotDone, at, id, format!("{id} is called done before all of its tasks are"));
        }
    }

    fn close(mut self, end: Duration) -> Verdict {
        let still: Vec<TaskKey> = self.on.keys().cloned().collect();
        for task in still {
            self.gone_in_time(end, &task);
        }
        if !self.started {
            self.breaks.push(Break {
                rule: Rule::NothingRan,
                at: end,
                what: "no task started".into(),
                history: vec![],
            });
        }
        let end_ms = self.terms.begun_ms + end.as_millis() as u64;
        for what in self.declared.close(end_ms, |job| self.jobs.get(job)?.begun) {
            self.breaks.push(Break { rule: Rule::Window, at: end, what, history: vec![] });
        }
        let mut verdict = Verdict { breaks: self.breaks, repeated: self.repeated, ..Verdict::default() };
        let mut served: BTreeMap<&str, Vec<(u64, bool, bool)>> = BTreeMap::new();
        let mut jobs: Vec<(&JobId, &Job)> = self.jobs.iter().collect();
        jobs.sort_by(|a, b| a.0.cmp(b.0));
        for (id, job) in jobs {
            let Some(spec) = job.spec.as_ref().filter(|s| s.shape != Shape::Service) else { continue };
            let Some(accepted) = job.accepted else { continue };
            let withdrawn = matches!(job.told, Some((Status::Withdrawn, _)));
            if withdrawn || (job.withdrawal_asked && job.told.is_none()) {
                continue;
            }
            let gang_done = spec.is_gang() && !job.done.is_empty();
            let done = gang_done || job.done.len() as u64 == spec.tasks;
            let begun = job.begun.is_some_and(|at| at.saturating_sub(accepted) <= BEGIN_WITHIN);
            served.entry(&spec.class).or_default().push((spec.tasks, done, begun));
            for index in 0..spec.tasks as u32 {
                verdict.expected += 1;
                if gang_done || job.done.contains(&index) {
                    verdict.delivered += 1;
                } else {
                    verdict.lost.push(TaskKey { job: id.clone(), index });
                }
            }
        }
        verdict.largest = served.into_iter().map(|(class, jobs)| largest(class, jobs)).collect();
        verdict
    }
}

/// Of a class's jobs by tasks, done and begun.
fn largest(class: &str, mut jobs: Vec<(u64, bool, bool)>) -> Largest {
    jobs.sort_unstable_by(|a, b| b.cmp(a));
    let least = jobs.get(jobs.len().div_ceil(10).saturating_sub(1)).map_or(0, |(tasks, ..)| *tasks);
    let mut sum = Largest { class: class.to_owned(), ..Largest::default() };
    for (_, done, begun) in jobs.iter().filter(|(tasks, ..)| *tasks >= least) {
        (sum.jobs, sum.done, sum.begun) =
            (sum.jobs + 1, sum.done + usize::from(*done), sum.begun + usize::from(*begun));
    }
    sum
}

#[cfg(test)]
mod tests;
