//! The state machine of a window's instance, free of I/O: which job claims which turn, which turns may be placed, and
//! the outcome.
//!
//! Within an instance the claims, the turn and the reported stages only grow, and so does the day of the last closed
//! instance: a clock that steps backwards undoes nothing.

use std::sync::Arc;

use super::spec::{Day, MAX_TURNS, WindowSpec};
use super::status::{
    ClaimEnd, ClosedInstance, InstanceOutcome, MissedReason, PastUsage, TurnClaim, WindowInstance, WindowStatus,
};
use crate::jobs::JobId;
use crate::jobs::record::JobRecord;

/// Delay from the closing of an instance to its outcome: ends of jobs are observed up to 3 s late, and clocks differ.
pub const CLOSE_GRACE_MS: u64 = 3000;
/// How long the unknown end of a claimed job is queried before the job counts as late.
const QUERY_TIMEOUT_MS: u64 = 60_000;
/// Maximum number of instances of a window that close in one step; after a longer absence the next step continues.
const MAX_CLOSED_PER_STEP: usize = 64;
/// Factor on the estimated run time when a latest start is computed, the same as for promises (`scheduling::promises`).
const ESTIMATE_MARGIN: f64 = 1.2;
/// Image fetch rate assumed for a latest start: one that machines still have while they share the bandwidth.
const SLOW_FETCH_GB_PER_S: f64 = 0.5;
/// Maximum size of a job specification kept as past usage, in bytes of JSON; larger ones are not kept.
const MAX_JOB_SPEC_BYTES: usize = 1200;

/// The progress of a job that has claimed a turn, as far as the leader knows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum JobProgress {
    /// The job has not ended.
    Open {
        /// Whether any of its tasks was ever placed.
        begun: bool,
        /// When the job was accepted, in ms since the Unix epoch.
        accepted_ms: u64,
        /// Seconds expected from its start to its end.
        expected_s: f64,
    },
    /// The job is done.
    Done {
        /// When the job ended, if known more precisely than by the first evaluation that observes the end.
        at_ms: Option<u64>,
    },
    /// The job was cancelled.
    Cancelled,
    /// The job has ended, but the leader does not know how.
    Unknown,
}

/// An open job that belongs to a window.
#[derive(Debug, Clone)]
pub struct WindowJob {
    /// The stored record of the job.
    pub record: Arc<JobRecord>,
    /// The day of the instance that the job belongs to.
    pub day: Day,
}

/// The input of a step besides specification and status.
pub struct StepContext<'a> {
    /// Wall-clock time in ms since the Unix epoch.
    pub now_ms: u64,
    /// Looks up the progress of an accepted job.
    pub progress: &'a dyn Fn(&JobId) -> JobProgress,
    /// The open jobs of the window, in the order of their acceptance.
    pub window_jobs: &'a [WindowJob],
}

/// Returns the seconds expected from a task's start to its end, from its estimated run time and image size.
pub fn expected_s(run_s: f64, image_gb: f64) -> f64 {
    run_s * ESTIMATE_MARGIN + image_gb / SLOW_FETCH_GB_PER_S
}

/// Returns the latest start with which a job is expected to end by the closing.
pub fn latest_start_ms(closes_ms: u64, expected_s: f64) -> u64 {
    closes_ms.saturating_sub((expected_s * 1000.0) as u64)
}

/// Returns the time by which an unclaimed turn has to be claimed.
pub fn latest_claim_ms(spec: &WindowSpec, status: &WindowStatus, instance: &WindowInstance) -> u64 {
    let (run_s, image_gb) = match &status.past_usage {
        Some(usage) if spec.estimate_s <= 0.0 => (usage.job_spec.estimate_s, usage.job_spec.image_gb),
        usage => (spec.estimate_s, usage.as_ref().map_or(0.0, |usage| usage.job_spec.image_gb)),
    };
    latest_start_ms(instance.closes_ms, expected_s(run_s, image_gb)).max(instance.opens_ms)
}

/// Returns the turn that a job of this class would claim, if there is one. A turn is assigned only once, even if its
/// job is cancelled; a job that replaces a cancelled one gets a turn after all others.
fn find_turn(spec: &WindowSpec, instance: &WindowInstance, job: &JobId, class: &str) -> Option<u32> {
    if instance.claims.iter().any(|claim| claim.job == *job) || instance.claims.len() >= MAX_TURNS as usize {
        return None;
    }
    let is_claimed = |turn: u32| instance.claims.iter().any(|claim| claim.turn == turn);
    let listed_turn = |entry: &str| (1u32..).zip(&spec.turns).find(|(turn, e)| *e == entry && !is_claimed(*turn));
    if let Some((turn, _)) = listed_turn(job).or_else(|| listed_turn(class)) {
        return Some(turn);
    }
    let unclaimed_listed = (1u32..).zip(&spec.turns).filter(|(turn, _)| !is_claimed(*turn)).count();
    let last_turn = instance.claims.iter().map(|claim| claim.turn).max().unwrap_or(0);
    (instance.active_claims() + unclaimed_listed < spec.jobs as usize)
        .then_some(last_turn.max(spec.turns.len() as u32) + 1)
}

/// Records the ends of claimed jobs that have become known.
pub fn record_claim_ends(instance: &mut WindowInstance, context: &StepContext) {
    for claim in instance.claims.iter_mut().filter(|claim| claim.end.is_none()) {
        claim.end = match (context.progress)(&claim.job) {
            JobProgress::Done { at_ms } => Some(ClaimEnd::Done(at_ms.unwrap_or(context.now_ms))),
            JobProgress::Cancelled => Some(ClaimEnd::Cancelled),
            JobProgress::Open { .. } | JobProgress::Unknown => None,
        };
    }
}

/// Returns the claims that open jobs would make now, in order.
pub fn new_claims(spec: &WindowSpec, instance: &WindowInstance, window_jobs: &[WindowJob]) -> Vec<TurnClaim> {
    let mut updated = instance.clone();
    for window_job in window_jobs.iter().filter(|window_job| window_job.day == instance.day) {
        let job = &window_job.record.spec;
        if let Some(turn) = find_turn(spec, &updated, &job.id, &job.class) {
            updated.claims.push(TurnClaim { job: job.id.clone(), turn, end: None });
        }
    }
    updated.claims.split_off(instance.claims.len())
}

/// Returns the turn up to which jobs may be placed. It advances past a turn once its job has begun or ended, or once
/// further waiting would make that job, or the first of those after it, too late.
fn advance_turn(spec: &WindowSpec, instance: &WindowInstance, unclaimed_ms: u64, context: &StepContext) -> u32 {
    let last_turn = instance.claims.iter().map(|claim| claim.turn).max().unwrap_or(0);
    let latest_start_if_waiting = |claim: &TurnClaim| match (claim.end, (context.progress)(&claim.job)) {
        (None, JobProgress::Open { begun: false, expected_s, .. }) => {
            Some(latest_start_ms(instance.closes_ms, expected_s))
        }
        _ => None,
    };
    let latest_starts: Vec<(u32, Option<u64>)> =
        instance.claims.iter().map(|claim| (claim.turn, latest_start_if_waiting(claim))).collect();
    let mut turn = instance.turn.max(1);
    while turn < last_turn {
        let claimed = latest_starts.iter().find(|(t, _)| *t == turn);
        let earliest_latest_start = latest_starts.iter().filter(|(t, _)| *t >= turn).filter_map(|(_, ms)| *ms).min();
        let can_advance = match claimed {
            Some((_, Some(_))) => earliest_latest_start.is_some_and(|ms| context.now_ms >= ms),
            Some((_, None)) => true,
            None if turn as usize <= spec.turns.len() => {
                context.now_ms >= earliest_latest_start.map_or(unclaimed_ms, |ms| ms.min(unclaimed_ms))
            }
            None => true,
        };
        if !can_advance {
            break;
        }
        turn += 1;
    }
    turn.min(last_turn)
}

/// Returns the outcome of the instance if it can be decided by now.
fn decide_outcome(spec: &WindowSpec, instance: &mut WindowInstance, context: &StepContext) -> Option<InstanceOutcome> {
    let until_ms = instance.closes_ms.saturating_add(CLOSE_GRACE_MS);
    if instance.done_in_time(until_ms) >= spec.jobs as usize {
        return Some(InstanceOutcome::Met);
    }
    if context.now_ms < until_ms {
        return None;
    }
    let progress_of_open_claims: Vec<JobProgress> =
        instance.claims.iter().filter(|c| c.end.is_none()).map(|c| (context.progress)(&c.job)).collect();
    if progress_of_open_claims.contains(&JobProgress::Unknown) {
        let undecided_since_ms = *instance.undecided_since_ms.get_or_insert(context.now_ms);
        if context.now_ms < undecided_since_ms.saturating_add(QUERY_TIMEOUT_MS) {
            return None;
        }
    }
    // The job was submitted in time for its window and never placed.
    let had_no_room = |progress: &JobProgress| match progress {
        JobProgress::Open { begun: false, accepted_ms, expected_s } => {
            *accepted_ms <= latest_start_ms(instance.closes_ms, *expected_s)
        }
        _ => false,
    };
    let is_late =
        !progress_of_open_claims.is_empty() || instance.done_in_time(u64::MAX) > instance.done_in_time(until_ms);
    let has_cancelled = instance.active_claims() < instance.claims.len();
    Some(InstanceOutcome::Missed(match (progress_of_open_claims.iter().any(had_no_room), is_late, has_cancelled) {
        (true, _, _) => MissedReason::NoRoom,
        (_, true, _) => MissedReason::Late,
        (_, _, true) => MissedReason::Cancelled,
        _ => MissedReason::Unclaimed,
    }))
}

/// Records the specification of the largest claimed job, and the total cores of all claimed jobs of its day.
fn record_usage(past_usage: &mut Option<PastUsage>, record: &JobRecord, day: Day) {
    let cores = record.spec.cpus * record.spec.tasks as f64;
    let mut job_spec = record.spec.clone();
    (job_spec.id, job_spec.due_s) = ("run-0".into(), None);
    if serde_json::to_vec(&job_spec).map_or(true, |json| json.len() > MAX_JOB_SPEC_BYTES) {
        return;
    }
    match past_usage.as_mut().filter(|usage| usage.day == day) {
        Some(usage) => {
            usage.cores += cores;
            if cores > usage.job_spec.cpus * usage.job_spec.tasks as f64 {
                usage.job_spec = job_spec;
            }
        }
        None => *past_usage = Some(PastUsage { day, cores, job_spec }),
    }
}

/// Advances an instance to the current time and the current state of its jobs.
fn advance_instance(
    spec: &WindowSpec,
    status: &mut WindowStatus,
    instance: &mut WindowInstance,
    context: &StepContext,
) {
    record_claim_ends(instance, context);
    let claims = new_claims(spec, instance, context.window_jobs);
    for claim in &claims {
        if let Some(window_job) = context.window_jobs.iter().find(|window_job| window_job.record.spec.id == claim.job) {
            record_usage(&mut status.past_usage, &window_job.record, instance.day);
        }
    }
    instance.claims.extend(claims);
    if context.now_ms < instance.opens_ms {
        return;
    }
    let unclaimed_ms = latest_claim_ms(spec, status, instance);
    instance.turn = advance_turn(spec, instance, unclaimed_ms, context);
    instance.unclaimed |= context.now_ms >= unclaimed_ms && instance.active_claims() < spec.jobs as usize;
    instance.late |= instance.claims.iter().filter(|claim| claim.end.is_none()).any(|claim| {
        let progress = (context.progress)(&claim.job);
        let latest_ms = |expected_s| latest_start_ms(instance.closes_ms, expected_s);
        matches!(progress, JobProgress::Open { begun: false, expected_s, .. } if context.now_ms >= latest_ms(expected_s))
    });
}

/// Returns the status that follows from specification, status, jobs and time, however long ago the last step was.
pub fn next_status(spec: &WindowSpec, status: &WindowStatus, context: &StepContext) -> WindowStatus {
    let mut next = status.clone();
    // With a time of declaration in the specification, nothing has to be stored before there is state to keep.
    if spec.declared_ms.is_none() {
        next.first_seen_ms.get_or_insert(context.now_ms);
    }
    if let Some(day) = spec.confirmed.as_deref().and_then(super::spec::parse_day) {
        next.confirm(day);
    }
    for _ in 0..MAX_CLOSED_PER_STEP {
        let Some(mut instance) = next.instance(spec, context.now_ms) else { break };
        advance_instance(spec, &mut next, &mut instance, context);
        let Some(outcome) = decide_outcome(spec, &mut instance, context) else {
            next.current = Some(instance).filter(|instance| !instance.is_blank());
            break;
        };
        let until_ms = instance.closes_ms.saturating_add(CLOSE_GRACE_MS);
        next.current = None;
        next.close_instance(ClosedInstance {
            day: instance.day,
            closes_ms: instance.closes_ms,
            outcome,
            jobs: spec.jobs,
            claimed: instance.claims.len() as u32,
            done: instance.done_in_time(until_ms) as u32,
            decided_ms: context.now_ms,
        });
    }
    next
}
