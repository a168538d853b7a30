//! Runs a scenario: the emulated world, controllers as processes, users, operators and faults. Records the data that
//! the judge and the report need.

mod faults;
mod jobs;
mod operators;
mod samples;
mod users;

use std::collections::VecDeque;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use hdrhistogram::Histogram;
use hollylanding_protocol::jobs::JobId;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use crate::controllers::{ControllerError, Controllers};
use crate::driver::{World, lock};
use crate::judge::{Event, RuleParams, UNANSWERED_AFTER, Verdict, judge};
use crate::scenario::{Fault, Plan, Trigger};
use crate::sizes::Sizes;
use faults::PlannedUndo;
use jobs::{PendingJob, draw_jobs};
pub use operators::CommandError;
use operators::{DeclaredWatch, Operators};
pub use samples::Sample;
use samples::Sampler;
use users::{ROUND, Users};

/// Interval between two steps of a rehearsal.
const STEP: Duration = Duration::from_millis(50);
/// Number of polling rounds for which the end is awaited beyond the longest permitted time without answers.
const MAX_FINAL_ROUNDS: f64 = 3.0;

/// An entry of the report's list of faults and their results.
#[derive(Debug, Clone)]
pub struct Note {
    /// Time since the start of the world, in seconds.
    pub at_s: f64,
    /// Description of the fault or the result.
    pub what: String,
}

/// The results of a rehearsal.
pub struct Outcome {
    /// The judge's verdict.
    pub verdict: Verdict,
    /// Counters over time.
    pub samples: Vec<Sample>,
    /// Faults and their results, in the order of their times.
    pub faults: Vec<Note>,
    /// Time from the first attempt to submit a job until its acceptance, in milliseconds.
    pub accepted_ms: Histogram<u64>,
    /// Number of jobs.
    pub jobs: usize,
    /// Number of times that a controller exited by itself.
    pub unexpected_exits: usize,
    /// Time from the end of all faults until every controller had answered about every job accepted before that end.
    pub recovery_time: Option<Duration>,
    /// Operator commands that did not have the expected result.
    pub failed_commands: Vec<CommandError>,
    /// Number of requests that the state service refused because of its rate limit.
    pub rate_limited_requests: u64,
    /// Total cost of all machines.
    pub machine_cost: f64,
    /// Duration of the rehearsal, in seconds.
    pub duration_s: f64,
}

/// The inputs of a rehearsal.
#[derive(Debug, Clone, Copy)]
pub struct Setup<'a> {
    /// The sizes of the emulated world.
    pub sizes: &'a Sizes,
    /// The scenario's faults and settings.
    pub plan: &'a Plan,
    /// Seed of all random draws.
    pub seed: u64,
    /// Path of the daemon's executable.
    pub binary: &'a Path,
    /// Folder to which settings and logs are written.
    pub folder: &'a Path,
    /// The scenario's folder, for the files that it names.
    pub scenario_folder: &'a Path,
}

/// A period without active faults.
#[derive(Default)]
struct QuietPeriod {
    /// Start of the period; none while a fault is active.
    since: Option<Duration>,
    /// Number of jobs accepted before the start of the period.
    accepted: usize,
    /// When every controller had answered about each of these jobs.
    settled: Option<Duration>,
    /// Tasks that poll each controller for the status of every job.
    poll_tasks: JoinSet<()>,
}

impl QuietPeriod {
    /// Ends the period, since a fault is active.
    fn interrupt(&mut self) {
        self.since = None;
        self.settled = None;
        self.poll_tasks.abort_all();
    }

    /// Starts the period if necessary, and records when all controllers have answered.
    fn advance(&mut self, now: Duration, world: &World, users: &Arc<Users>) {
        if self.since.is_none() {
            self.since = Some(now);
            self.accepted = users.count_accepted();
            world.record_event(Event::FaultsOver);
            users.clear_answered();
            self.poll_tasks = (0..users.count_controllers()).map(|n| users.clone().poll_repeatedly(n)).collect();
        }
        if users.all_answered(self.accepted) {
            self.settled = self.settled.or(Some(now));
        }
    }

    /// Whether every job was polled for long enough, at least for `quiet`.
    fn is_over(&self, now: Duration, quiet: Duration, users: &Users) -> bool {
        let Some(since) = self.since else { return false };
        let answered = now >= since + quiet && users.all_answered(usize::MAX);
        // After the longest time that a job may stay unanswered, further waiting cannot change the verdict.
        answered || now > since + quiet.max(UNANSWERED_AFTER) + ROUND.mul_f64(MAX_FINAL_ROUNDS)
    }

    /// Time from the start of the period until all controllers had answered about the jobs accepted before it.
    fn recovery_time(&self) -> Option<Duration> {
        self.since.zip(self.settled).map(|(since, settled)| settled.saturating_sub(since))
    }
}

/// A rehearsal that is running.
struct Rehearsal {
    world: Arc<World>,
    users: Arc<Users>,
    controllers: Controllers,
    operators: Operators,
    declared: DeclaredWatch,
    sampler: Sampler,
    quiet_period: QuietPeriod,
    rng: ChaCha8Rng,
    /// Jobs that have yet to be submitted.
    pending: VecDeque<PendingJob>,
    /// Ids of all jobs.
    ids: Vec<JobId>,
    /// Number of tasks of all jobs.
    total_tasks: usize,
    /// Number of tasks of the jobs submitted so far.
    submitted_tasks: usize,
    /// Faults that have yet to be injected.
    steps: Vec<(Trigger, Fault)>,
    /// Faults that have yet to end.
    undo: Vec<PlannedUndo>,
    notes: Vec<Note>,
    /// Number of task starts at the previous step.
    starts_seen: usize,
    /// The records of the lease holder and of the leader at the previous step.
    election_records: [String; 2],
    /// Wall-clock time of the start of the world, in ms since 1970.
    start_ms: u64,
}

impl Rehearsal {
    /// Starts the world and the controllers, and draws the jobs.
    async fn start(setup: &Setup<'_>) -> Result<Self, ControllerError> {
        let Setup { sizes, plan, seed, .. } = *setup;
        let world = World::open(sizes.world_params(seed, true));
        let start_ms = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default().as_millis() as u64;
        let controllers = Controllers::start(&world, sizes, setup.binary.to_owned(), setup.folder).await?;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let pending = draw_jobs(sizes, &mut rng);
        let all: Vec<&PendingJob> = pending.iter().collect();
        let users = Users::new(world.clone(), controllers.user_addrs.clone(), &all, plan.poll_rate_factor, seed ^ 1);
        Ok(Self {
            users: Arc::new(users),
            controllers,
            operators: Operators::new(setup.folder, setup.scenario_folder, start_ms / 1000),
            declared: DeclaredWatch::default(),
            sampler: Sampler::default(),
            quiet_period: QuietPeriod::default(),
            rng,
            ids: pending.iter().map(|job| job.spec.id.clone()).collect(),
            total_tasks: pending.iter().map(|job| job.spec.tasks as usize).sum(),
            submitted_tasks: 0,
            pending,
            steps: plan.steps.clone(),
            undo: vec![],
            notes: vec![],
            starts_seen: 0,
            election_records: Default::default(),
            start_ms,
            world,
        })
    }

    /// Adds an entry to the list of faults and their results.
    fn add_note(&mut self, what: String) {
        let at_s = self.world.now().as_secs_f64();
        self.notes.push(Note { at_s, what });
    }

    /// Starts the users whose jobs are due for submission.
    fn submit_due(&mut self, now: Duration) {
        while self.pending.front().is_some_and(|job| job.at_s <= now.as_secs_f64()) {
            let Some(job) = self.pending.pop_front() else { break };
            self.submitted_tasks += job.spec.tasks as usize;
            self.world.upload(job.upload());
            tokio::spawn(self.users.clone().run_user(job));
        }
    }

    /// Injects the faults that are due.
    async fn inject_due(&mut self, now: Duration) {
        let steps = std::mem::take(&mut self.steps);
        let due = |trigger: &Trigger| match trigger {
            Trigger::At(at) => *at <= now,
            Trigger::When(condition, from) => *from <= now && self.holds(*condition),
        };
        let (due, rest): (Vec<_>, Vec<_>) = steps.into_iter().partition(|(trigger, _)| due(trigger));
        self.steps = rest;
        for (_, fault) in due {
            self.inject(&fault).await;
        }
    }

    /// Adds the outputs of finished commands to the notes.
    fn collect_commands(&mut self) {
        for output in self.operators.take_outputs() {
            self.add_note(format!("an operator was told: {output}"));
        }
    }

    /// Whether a fault is active, or a fault with a fixed time has yet to be injected.
    fn has_faults(&self) -> bool {
        let is_planned = self.steps.iter().any(|(trigger, _)| matches!(trigger, Trigger::At(_)));
        is_planned || !self.undo.is_empty() || !self.controllers.all_running()
    }

    /// Whether the rehearsal is over. When nothing else is left, users cancel the jobs that never end by themselves.
    fn is_over(&self, now: Duration, quiet: Duration) -> bool {
        let idle = self.users.all_ended() && self.operators.idle();
        idle && self.quiet_period.is_over(now, quiet, &self.users) && self.users.cancel_lingering()
    }

    /// Executes one step. Returns whether the rehearsal is over.
    async fn step(&mut self, quiet: Duration, progress: &impl Fn(usize, usize)) -> Result<bool, ControllerError> {
        let now = self.world.now();
        self.submit_due(now);
        self.controllers.tick()?;
        self.undo_due().await;
        self.inject_due(now).await;
        self.collect_commands();
        self.declared.record_changes(&self.world);
        self.starts_seen = lock(&self.world.starts).len();
        self.election_records = self.election_records();
        if let Some(sample) = self.sampler.sample(&self.world, now, self.submitted_tasks) {
            progress(sample.done, self.total_tasks);
        }
        if self.has_faults() {
            self.quiet_period.interrupt();
        } else {
            self.quiet_period.advance(now, &self.world, &self.users);
        }
        Ok(self.is_over(now, quiet))
    }

    /// Polls all jobs for the last time, and checks the recorded history.
    async fn finish(mut self, setup: &Setup<'_>) -> Outcome {
        self.quiet_period.poll_tasks.abort_all();
        if self.users.all_ended() {
            self.users.poll_all(&self.ids).await;
        }
        self.collect_commands();
        let record = std::mem::take(&mut *lock(&self.world.record));
        let (rate_limited_requests, machine_cost) =
            (lock(&self.world.state).refused, lock(&self.world.cloud).total_cost());
        let capacity = setup.plan.capacity.clone();
        let params = RuleParams { capacity, start_ms: self.start_ms, ..setup.sizes.rule_params() };
        Outcome {
            verdict: judge(&record, &params),
            recovery_time: self.quiet_period.recovery_time(),
            failed_commands: self.operators.failures(),
            samples: self.sampler.samples,
            faults: self.notes,
            accepted_ms: self.users.accepted_ms(),
            jobs: self.ids.len(),
            unexpected_exits: self.controllers.unexpected_exits,
            rate_limited_requests,
            machine_cost,
            duration_s: self.world.now().as_secs_f64(),
        }
    }
}

/// Runs a plan to its end, or until the time limit of the sizes. `progress` receives the number of results so far and
/// the number of expected results.
pub async fn run(setup: &Setup<'_>, progress: impl Fn(usize, usize)) -> Result<Outcome, ControllerError> {
    let mut rehearsal = Rehearsal::start(setup).await?;
    let limit = Duration::from_secs_f64(setup.sizes.seconds);
    while rehearsal.world.now() < limit && !rehearsal.step(setup.plan.min_quiet_period, &progress).await? {
        tokio::time::sleep(STEP).await;
    }
    Ok(rehearsal.finish(setup).await)
}

#[cfg(test)]
mod tests;
