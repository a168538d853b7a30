//! The course of one instance of a window: which job claims which turn, whose turn it is, and how the instance ends.
//! Pure.
//!
//! Within an instance the claims, the turn and what was reported only grow, and so does the day of the last end: a
//! clock that steps backwards undoes nothing.

use std::sync::Arc;

use super::spec::{Day, MAX_TURNS, WindowSpec};
use super::status::{
    ClaimEnd, ClosedInstance, InstanceOutcome, MissedReason, PastUsage, TurnClaim, WindowInstance, WindowStatus,
};
use crate::jobs::JobId;
use crate::jobs::record::JobRecord;

/// An instance ends so long after its closing: users see ends up to 3 s late, and clocks differ.
pub const GRACE_MS: u64 = 3000;
/// The end of a claimed job is queried for so long before the job counts as late.
const QUERY_TIMEOUT_MS: u64 = 60_000;
/// Instances of one window that end in one step; after a longer absence the next step continues.
const MAX_CLOSED_AT_ONCE: usize = 64;
/// Latest starts leave the run time with this margin for the estimate (as promises do), and a fetch
/// at a rate that machines which share it still have.
const ESTIMATE_MARGIN: f64 = 1.2;
const SLOW_FETCH_GB_PER_S: f64 = 0.5;
/// Larger shapes of jobs are not remembered.
const MAX_SHAPE_BYTES: usize = 1200;

/// What is known of a job that has claimed a turn.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum JobProgress {
    /// It has not ended.
    Open {
        /// Whether it was ever placed.
        begun: bool,
        /// When it was accepted.
        at_ms: u64,
        /// Seconds expected from its start to its end.
        expected_s: f64,
    },
    /// It is done.
    Done {
        /// When, where that is known better than by the first evaluation that sees it.
        at_ms: Option<u64>,
    },
    Cancelled,
    /// It has ended, and how is not known here.
    Unknown,
}

/// A job that belongs to the window, and the day of its instance.
#[derive(Debug, Clone)]
pub struct WindowJob {
    pub record: Arc<JobRecord>,
    pub day: Day,
}

/// The input of a step beside spec and status.
pub struct StepContext<'a> {
    pub now_ms: u64,
    pub progress: &'a dyn Fn(&JobId) -> JobProgress,
    /// Open jobs of this window, in the order of their acceptance.
    pub window_jobs: &'a [WindowJob],
}

/// Seconds expected from a task's start to its end, by an estimate of its run time.
pub fn expected_s(run_s: f64, image_gb: f64) -> f64 {
    run_s * ESTIMATE_MARGIN + image_gb / SLOW_FETCH_GB_PER_S
}

/// The latest start with which a job ends by the closing.
pub fn latest_start_ms(closes_ms: u64, expected_s: f64) -> u64 {
    closes_ms.saturating_sub((expected_s * 1000.0) as u64)
}

/// When a turn that nobody has claimed yet has to be claimed at the latest.
pub fn latest_claim_ms(spec: &WindowSpec, status: &WindowStatus, instance: &WindowInstance) -> u64 {
    let (run_s, image_gb) = match &status.used {
        Some(used) if spec.estimate_s <= 0.0 => (used.like.estimate_s, used.like.image_gb),
        used => (spec.estimate_s, used.as_ref().map_or(0.0, |used| used.like.image_gb)),
    };
    latest_start_ms(instance.closes_ms, expected_s(run_s, image_gb)).max(instance.opens_ms)
}

/// The turn that a job of this class would claim, if there is one for it. A turn is given once, also after its job was
/// cancelled; a job that comes instead gets a turn after all others.
fn find_turn(spec: &WindowSpec, instance: &WindowInstance, job: &JobId, class: &str) -> Option<u32> {
    if instance.claims.iter().any(|claim| claim.job == *job) || instance.claims.len() >= MAX_TURNS as usize {
        return None;
    }
    let taken = |turn: u32| instance.claims.iter().any(|claim| claim.turn == turn);
    let listed = |entry: &str| (1u32..).zip(&spec.turns).find(|(turn, e)| *e == entry && !taken(*turn));
    if let Some((turn, _)) = listed(job).or_else(|| listed(class)) {
        return Some(turn);
    }
    let awaited = (1u32..).zip(&spec.turns).filter(|(turn, _)| !taken(*turn)).count();
    let last = instance.claims.iter().map(|claim| claim.turn).max().unwrap_or(0);
    (instance.active_claims() + awaited < spec.jobs as usize).then_some(last.max(spec.turns.len() as u32) + 1)
}

/// Records the ends of claimed jobs.
pub fn record_claim_ends(instance: &mut WindowInstance, context: &StepContext) {
    for claim in instance.claims.iter_mut().filter(|claim| claim.end.is_none()) {
        claim.end = match (context.progress)(&claim.job) {
            JobProgress::Done { at_ms } => Some(ClaimEnd::Done(at_ms.unwrap_or(context.now_ms))),
            JobProgress::Cancelled => Some(ClaimEnd::Cancelled),
            JobProgress::Open { .. } | JobProgress::Unknown => None,
        };
    }
}

/// The claims that open jobs would make now, in order.
pub fn new_claims(spec: &WindowSpec, instance: &WindowInstance, window_jobs: &[WindowJob]) -> Vec<TurnClaim> {
    let mut with = instance.clone();
    for window_job in window_jobs.iter().filter(|window_job| window_job.day == instance.day) {
        let job = &window_job.record.spec;
        if let Some(turn) = find_turn(spec, &with, &job.id, &job.class) {
            with.claims.push(TurnClaim { job: job.id.clone(), turn, end: None });
        }
    }
    with.claims.split_off(instance.claims.len())
}

/// The turn up to which jobs may be placed. It advances once the turn's job has begun or ended, or once waiting for it
/// would make that job, or the first of those after it, too late.
fn advance_turn(spec: &WindowSpec, instance: &WindowInstance, unclaimed_ms: u64, context: &StepContext) -> u32 {
    let last = instance.claims.iter().map(|claim| claim.turn).max().unwrap_or(0);
    let waits = |claim: &TurnClaim| match (claim.end, (context.progress)(&claim.job)) {
        (None, JobProgress::Open { begun: false, expected_s, .. }) => {
            Some(latest_start_ms(instance.closes_ms, expected_s))
        }
        _ => None,
    };
    let latest: Vec<(u32, Option<u64>)> = instance.claims.iter().map(|claim| (claim.turn, waits(claim))).collect();
    let mut turn = instance.turn.max(1);
    while turn < last {
        let at = latest.iter().find(|(t, _)| *t == turn);
        let behind = latest.iter().filter(|(t, _)| *t >= turn).filter_map(|(_, ms)| *ms).min();
        let passes = match at {
            Some((_, Some(_))) => behind.is_some_and(|ms| context.now_ms >= ms),
            Some((_, None)) => true,
            None if turn as usize <= spec.turns.len() => {
                context.now_ms >= behind.map_or(unclaimed_ms, |ms| ms.min(unclaimed_ms))
            }
            None => true,
        };
        if !passes {
            break;
        }
        turn += 1;
    }
    turn.min(last)
}

/// How the instance ends, if that can be decided by now.
fn decide_outcome(spec: &WindowSpec, instance: &mut WindowInstance, context: &StepContext) -> Option<InstanceOutcome> {
    let until = instance.closes_ms.saturating_add(GRACE_MS);
    if instance.done_in_time(until) >= spec.jobs as usize {
        return Some(InstanceOutcome::Met);
    }
    if context.now_ms < until {
        return None;
    }
    let open: Vec<JobProgress> =
        instance.claims.iter().filter(|c| c.end.is_none()).map(|c| (context.progress)(&c.job)).collect();
    if open.contains(&JobProgress::Unknown) {
        let since = *instance.asked_ms.get_or_insert(context.now_ms);
        if context.now_ms < since.saturating_add(QUERY_TIMEOUT_MS) {
            return None;
        }
    }
    // Submitted in time for its window, and never placed.
    let no_room = |progress: &JobProgress| match progress {
        JobProgress::Open { begun: false, at_ms, expected_s } => {
            *at_ms <= latest_start_ms(instance.closes_ms, *expected_s)
        }
        _ => false,
    };
    let late = !open.is_empty() || instance.done_in_time(u64::MAX) > instance.done_in_time(until);
    let cancelled = instance.active_claims() < instance.claims.len();
    Some(InstanceOutcome::Missed(match (open.iter().any(no_room), late, cancelled) {
        (true, _, _) => MissedReason::NoRoom,
        (_, true, _) => MissedReason::Late,
        (_, _, true) => MissedReason::Cancelled,
        _ => MissedReason::Unclaimed,
    }))
}

/// Remembers the shape of a claimed job, and the cores of all claimed jobs of its day.
fn record_usage(used: &mut Option<PastUsage>, record: &JobRecord, day: Day) {
    let cores = record.spec.cpus * record.spec.tasks as f64;
    let mut like = record.spec.clone();
    (like.id, like.due_s) = ("run-0".into(), None);
    if serde_json::to_vec(&like).map_or(true, |json| json.len() > MAX_SHAPE_BYTES) {
        return;
    }
    match used.as_mut().filter(|used| used.day == day) {
        Some(used) => {
            used.cores += cores;
            if cores > used.like.cpus * used.like.tasks as f64 {
                used.like = like;
            }
        }
        None => *used = Some(PastUsage { day, cores, like }),
    }
}

/// Brings one instance up to the present time and the present state of its jobs.
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
            record_usage(&mut status.used, &window_job.record, instance.day);
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
        let latest = |expected_s| latest_start_ms(instance.closes_ms, expected_s);
        matches!(progress, JobProgress::Open { begun: false, expected_s, .. } if context.now_ms >= latest(expected_s))
    });
}

/// The status that follows from spec, status, jobs and time, however long the last step was ago.
pub fn next_status(spec: &WindowSpec, status: &WindowStatus, context: &StepContext) -> WindowStatus {
    let mut next = status.clone();
    // Where the spec has a time of declaration, nothing is stored before there is something to remember.
    if spec.declared_ms.is_none() {
        next.from_ms.get_or_insert(context.now_ms);
    }
    if let Some(day) = spec.confirmed.as_deref().and_then(super::spec::parse_day) {
        next.confirm(day);
    }
    for _ in 0..MAX_CLOSED_AT_ONCE {
        let Some(mut instance) = next.instance(spec, context.now_ms) else { break };
        advance_instance(spec, &mut next, &mut instance, context);
        let Some(outcome) = decide_outcome(spec, &mut instance, context) else {
            next.current = Some(instance).filter(|instance| !instance.is_blank());
            break;
        };
        let until = instance.closes_ms.saturating_add(GRACE_MS);
        next.current = None;
        next.close_instance(ClosedInstance {
            day: instance.day,
            closes_ms: instance.closes_ms,
            outcome,
            jobs: spec.jobs,
            claimed: instance.claims.len() as u32,
            done: instance.done_in_time(until) as u32,
            at_ms: context.now_ms,
        });
    }
    next
}
