//! Runs a scenario: the world, controllers as processes, users, operators and faults; and keeps what the judge and the
//! report need.

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
use faults::Planned;
use jobs::{PendingJob, jobs};
pub use operators::CommandError;
use operators::{DeclaredWatch, Operators};
pub use samples::Sample;
use samples::Sampler;
use users::{ROUND, Users};

/// Interval at which everything is looked at.
const STEP: Duration = Duration::from_millis(50);
/// Rounds of questions after the longest silence allowed, until the end is no longer waited for.
const LAST_ROUNDS: f64 = 3.0;

/// Something that was done, with its time.
#[derive(Debug, Clone)]
pub struct Note {
    /// Seconds since the world began.
    pub at_s: f64,
    /// Description of what was done, and to whom.
    pub what: String,
}

/// The results of a rehearsal.
pub struct Outcome {
    /// The judge's verdict.
    pub verdict: Verdict,
    /// Counters over time.
    pub samples: Vec<Sample>,
    /// Faults and what came of them, in the order of their times.
    pub faults: Vec<Note>,
    /// Time from the first attempt to submit a job until its acceptance, in milliseconds.
    pub accepted_ms: Histogram<u64>,
    /// Number of jobs.
    pub jobs: usize,
    /// Number of times that a controller exited by itself.
    pub own_ends: usize,
    /// Time from the end of all faults until every controller had answered about every job accepted by then.
    pub settled: Option<Duration>,
    /// Operator commands that did not have the expected result.
    pub failed: Vec<CommandError>,
    /// Requests that the state service refused for being beyond its limits.
    pub refused: u64,
    /// Cost of all machines.
    pub spent: f64,
    /// Duration of the rehearsal.
    pub seconds: f64,
}

/// What to run, and where.
#[derive(Debug, Clone, Copy)]
pub struct Setup<'a> {
    /// The world's sizes.
    pub sizes: &'a Sizes,
    /// The faults.
    pub plan: &'a Plan,
    /// Seed of all randomness.
    pub seed: u64,
    /// The daemon's program.
    pub binary: &'a Path,
    /// Where settings and logs go.
    pub folder: &'a Path,
    /// The scenario's folder, for the files that it names.
    pub scenario_folder: &'a Path,
}

/// The time without active faults.
#[derive(Default)]
struct QuietPeriod {
    /// Since when no fault is active.
    since: Option<Duration>,
    /// Number of jobs accepted by then.
    accepted: usize,
    /// When every controller had answered about each of these jobs.
    settled: Option<Duration>,
    /// Tasks that ask each controller about every job.
    poll_tasks: JoinSet<()>,
}

impl QuietPeriod {
    /// A fault is active.
    fn interrupt(&mut self) {
        self.since = None;
        self.settled = None;
        self.poll_tasks.abort_all();
    }

    /// No fault is active.
    fn proceed(&mut self, now: Duration, world: &World, users: &Arc<Users>) {
        if self.since.is_none() {
            self.since = Some(now);
            self.accepted = users.accepted();
            world.record_event(Event::FaultsOver);
            users.forget_answers();
            self.poll_tasks = (0..users.controllers()).map(|n| users.clone().ask_repeatedly(n)).collect();
        }
        if users.all_answered(self.accepted) {
            self.settled = self.settled.or(Some(now));
        }
    }

    /// Whether every job was asked about for long enough, at least for `quiet`.
    fn over(&self, now: Duration, quiet: Duration, users: &Users) -> bool {
        let Some(since) = self.since else { return false };
        let answered = now >= since + quiet && users.all_answered(usize::MAX);
        // Longer than a job may stay unanswered there is nothing to wait for.
        answered || now > since + quiet.max(UNANSWERED_AFTER) + ROUND.mul_f64(LAST_ROUNDS)
    }

    fn took(&self) -> Option<Duration> {
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
    /// Number of tasks of all jobs, and of those submitted so far.
    tasks: usize,
    submitted: usize,
    /// Faults that have yet to be injected.
    steps: Vec<(Trigger, Fault)>,
    /// Faults that have yet to end.
    undo: Vec<Planned>,
    notes: Vec<Note>,
    /// Number of starts at the last look.
    starts_seen: usize,
    /// The lease holder and the leader at the last look.
    election_records: [String; 2],
    /// Wall-clock time at which the world began, in ms since 1970.
    begun_ms: u64,
}

impl Rehearsal {
    async fn start(setup: &Setup<'_>) -> Result<Self, ControllerError> {
        let Setup { sizes, plan, seed, .. } = *setup;
        let world = World::open(sizes.world(seed, true));
        let begun_ms = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default().as_millis() as u64;
        let controllers = Controllers::start(&world, sizes, setup.binary.to_owned(), setup.folder).await?;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let pending = jobs(sizes, &mut rng);
        let all: Vec<&PendingJob> = pending.iter().collect();
        let users = Users::new(world.clone(), controllers.for_users.clone(), &all, plan.often, seed ^ 1);
        Ok(Self {
            users: Arc::new(users),
            controllers,
            operators: Operators::new(setup.folder, setup.scenario_folder, begun_ms / 1000),
            declared: DeclaredWatch::default(),
            sampler: Sampler::default(),
            quiet_period: QuietPeriod::default(),
            rng,
            ids: pending.iter().map(|job| job.spec.id.clone()).collect(),
            tasks: pending.iter().map(|job| job.spec.tasks as usize).sum(),
            submitted: 0,
            pending,
            steps: plan.steps.clone(),
            undo: vec![],
            notes: vec![],
            starts_seen: 0,
            election_records: Default::default(),
            begun_ms,
            world,
        })
    }

    /// Notes what was done.
    fn add_note(&mut self, what: String) {
        let at_s = self.world.now().as_secs_f64();
        self.notes.push(Note { at_s, what });
    }

    /// Lets the users submit the jobs that are due.
    fn submit_due(&mut self, now: Duration) {
        while self.pending.front().is_some_and(|job| job.at_s <= now.as_secs_f64()) {
            let Some(job) = self.pending.pop_front() else { break };
            self.submitted += job.spec.tasks as usize;
            self.world.upload(job.upload());
            tokio::spawn(self.users.clone().user(job));
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
            self.apply(&fault).await;
        }
    }

    /// Notes what finished commands printed.
    fn collect_commands(&mut self) {
        for said in self.operators.finished() {
            self.add_note(format!("an operator was told: {said}"));
        }
    }

    /// Whether a fault is active, or one with a fixed time is still to come.
    fn disturbed(&self) -> bool {
        let timed = self.steps.iter().any(|(trigger, _)| matches!(trigger, Trigger::At(_)));
        timed || !self.undo.is_empty() || !self.controllers.all_well()
    }

    /// Whether the rehearsal is over.
    fn over(&self, now: Duration, quiet: Duration) -> bool {
        let idle = self.users.all_ended() && self.operators.idle();
        idle && self.quiet_period.over(now, quiet, &self.users) && self.users.close()
    }

    /// Looks at everything once. Returns whether the rehearsal is over.
    async fn step(&mut self, quiet: Duration, progress: &impl Fn(usize, usize)) -> Result<bool, ControllerError> {
        let now = self.world.now();
        self.submit_due(now);
        self.controllers.tick()?;
        self.undo_due().await;
        self.inject_due(now).await;
        self.collect_commands();
        self.declared.look(&self.world);
        self.starts_seen = lock(&self.world.starts).len();
        self.election_records = self.election_records();
        if let Some(sample) = self.sampler.sample(&self.world, now, self.submitted) {
            progress(sample.done, self.tasks);
        }
        if self.disturbed() {
            self.quiet_period.interrupt();
        } else {
            self.quiet_period.proceed(now, &self.world, &self.users);
        }
        Ok(self.over(now, quiet))
    }

    /// Asks for the last time, and judges what happened.
    async fn finish(mut self, setup: &Setup<'_>) -> Outcome {
        self.quiet_period.poll_tasks.abort_all();
        if self.users.all_ended() {
            self.users.ask_all(&self.ids).await;
        }
        self.collect_commands();
        let record = std::mem::take(&mut *lock(&self.world.record));
        let (refused, spent) = (lock(&self.world.state).refused, lock(&self.world.cloud).total_cost());
        let capacity = setup.plan.capacity.clone();
        let terms = RuleParams { capacity, start_ms: self.begun_ms, ..setup.sizes.terms() };
        Outcome {
            verdict: judge(&record, &terms),
            settled: self.quiet_period.took(),
            failed: self.operators.failures(),
            samples: self.sampler.samples,
            faults: self.notes,
            accepted_ms: self.users.accepted_ms(),
            jobs: self.ids.len(),
            own_ends: self.controllers.own_ends,
            refused,
            spent,
            seconds: self.world.now().as_secs_f64(),
        }
    }
}

/// Runs a plan to its end, or until the sizes' seconds are over. `progress` receives the number of results, and of the
/// results expected.
pub async fn run(setup: &Setup<'_>, progress: impl Fn(usize, usize)) -> Result<Outcome, ControllerError> {
    let mut rehearsal = Rehearsal::start(setup).await?;
    let limit = Duration::from_secs_f64(setup.sizes.seconds);
    while rehearsal.world.now() < limit && !rehearsal.step(setup.plan.quiet, &progress).await? {
        tokio::time::sleep(STEP).await;
    }
    Ok(rehearsal.finish(setup).await)
}

#[cfg(test)]
mod tests;
