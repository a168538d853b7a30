//! The course of one instance of a window: which job claims which turn, whose turn it is, and how the instance ends.
//! Pure.
//!
//! Within an instance the claims, the turn and what was reported only grow, and so does the day of the last end: a
//! clock that steps backwards undoes nothing.

use std::sync::Arc;

use super::spec::{Day, MOST_TURNS, Spec};
use super::status::{Claim, Ended, Instance, Outcome, Over, Reason, Status, Used};
use crate::jobs::JobId;
use crate::jobs::record::JobRecord;

/// An end is decided so long after the closing: users see ends up to 3 s late, and clocks differ.
pub const GRACE_MS: u64 = 3000;
/// How a claimed job ended is asked for so long before it counts as late.
const ASK_MS: u64 = 60_000;
/// Ends of one window decided at once; after a longer absence the next step goes on.
const MOST_AT_ONCE: usize = 64;
/// Latest starts leave the run time with this margin for the estimate (as promises do), and a fetch
/// at a rate that machines which share it still have.
const MARGIN: f64 = 1.2;
const SLOW_FETCH_GB_PER_S: f64 = 0.5;
/// Larger shapes of jobs are not remembered.
const MOST_SHAPE_BYTES: usize = 1200;

/// What is known of a job that has claimed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fate {
    /// Begun once it had a place. `needs_s`: from its start to its end.
    Open {
        begun: bool,
        at_ms: u64,
        needs_s: f64,
    },
    /// When it ended, where that is known better than by the first look.
    Done {
        at_ms: Option<u64>,
    },
    Cancelled,
    /// It is over, and how is not known here.
    Unknown,
}

/// A job that belongs to the window, and the day of its instance.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub record: Arc<JobRecord>,
    pub day: Day,
}

/// All that a step looks at beside spec and status.
pub struct Facts<'a> {
    pub now_ms: u64,
    pub fate: &'a dyn Fn(&JobId) -> Fate,
    /// Open jobs of this window as they were accepted.
    pub arrivals: &'a [Arrival],
}

/// Seconds that a task needs from its start to its end, by an estimate of its run time.
pub fn needs_s(run_s: f64, image_gb: f64) -> f64 {
    run_s * MARGIN + image_gb / SLOW_FETCH_GB_PER_S
}

pub fn latest_ms(closes_ms: u64, needs_s: f64) -> u64 {
    closes_ms.saturating_sub((needs_s * 1000.0) as u64)
}

/// When a turn that nobody claimed yet has to be claimed at the latest.
pub fn unclaimed_latest_ms(spec: &Spec, status: &Status, instance: &Instance) -> u64 {
    let (run_s, image_gb) = match &status.used {
        Some(used) if spec.estimate_s <= 0.0 => (used.like.estimate_s, used.like.image_gb),
        used => (spec.estimate_s, used.as_ref().map_or(0.0, |used| used.like.image_gb)),
    };
    latest_ms(instance.closes_ms, needs_s(run_s, image_gb)).max(instance.opens_ms)
}

/// The turn that a job of this class would claim, if there is one for it. A turn is given once, also
/// after its job was cancelled; whoever comes instead gets one behind all others.
fn turn_for(spec: &Spec, instance: &Instance, job: &JobId, class: &str) -> Option<u32> {
    if instance.claims.iter().any(|claim| claim.job == *job) || instance.claims.len() >= MOST_TURNS as usize {
        return None;
    }
    let taken = |turn: u32| instance.claims.iter().any(|claim| claim.turn == turn);
    let listed = |entry: &str| (1u32..).zip(&spec.turns).find(|(turn, e)| *e == entry && !taken(*turn));
    if let Some((turn, _)) = listed(job).or_else(|| listed(class)) {
        return Some(turn);
    }
    let awaited = (1u32..).zip(&spec.turns).filter(|(turn, _)| !taken(*turn)).count();
    let last = instance.claims.iter().map(|claim| claim.turn).max().unwrap_or(0);
    (instance.live() + awaited < spec.jobs as usize).then_some(last.max(spec.turns.len() as u32) + 1)
}

/// Claimed jobs that are over by now.
pub fn see(instance: &mut Instance, facts: &Facts) {
    for claim in instance.claims.iter_mut().filter(|claim| claim.over.is_none()) {
        claim.over = match (facts.fate)(&claim.job) {
            Fate::Done { at_ms } => Some(Over::Done(at_ms.unwrap_or(facts.now_ms))),
            Fate::Cancelled => Some(Over::Cancelled),
            Fate::Open { .. } | Fate::Unknown => None,
        };
    }
}

/// Jobs that would claim now, in order, with their turns.
pub fn claims(spec: &Spec, instance: &Instance, arrivals: &[Arrival]) -> Vec<Claim> {
    let mut with = instance.clone();
    for arrival in arrivals.iter().filter(|arrival| arrival.day == instance.day) {
        let job = &arrival.record.spec;
        if let Some(turn) = turn_for(spec, &with, &job.id, &job.class) {
            with.claims.push(Claim { job: job.id.clone(), turn, over: None });
        }
    }
    with.claims.split_off(instance.claims.len())
}

/// Whose turn has come: one goes on to the next once its job has begun or is over, or once waiting for
/// it would make the first of those behind it, or its own job, too late.
fn turn(spec: &Spec, instance: &Instance, unclaimed_ms: u64, facts: &Facts) -> u32 {
    let last = instance.claims.iter().map(|claim| claim.turn).max().unwrap_or(0);
    let waits = |claim: &Claim| match (claim.over, (facts.fate)(&claim.job)) {
        (None, Fate::Open { begun: false, needs_s, .. }) => Some(latest_ms(instance.closes_ms, needs_s)),
        _ => None,
    };
    let latest: Vec<(u32, Option<u64>)> = instance.claims.iter().map(|claim| (claim.turn, waits(claim))).collect();
    let mut turn = instance.turn.max(1);
    while turn < last {
        let at = latest.iter().find(|(t, _)| *t == turn);
        let behind = latest.iter().filter(|(t, _)| *t >= turn).filter_map(|(_, ms)| *ms).min();
        let go_on = match at {
            Some((_, Some(_))) => behind.is_some_and(|ms| facts.now_ms >= ms),
            Some((_, None)) => true,
            None if turn as usize <= spec.turns.len() => {
                facts.now_ms >= behind.map_or(unclaimed_ms, |ms| ms.min(unclaimed_ms))
            }
            None => true,
        };
        if !go_on {
            break;
        }
        turn += 1;
    }
    turn.min(last)
}

fn outcome(spec: &Spec, instance: &mut Instance, facts: &Facts) -> Option<Outcome> {
    let until = instance.closes_ms.saturating_add(GRACE_MS);
    if instance.in_time(until) >= spec.jobs as usize {
        return Some(Outcome::Met);
    }
    if facts.now_ms < until {
        return None;
    }
    let open: Vec<Fate> = instance.claims.iter().filter(|c| c.over.is_none()).map(|c| (facts.fate)(&c.job)).collect();
    if open.contains(&Fate::Unknown) {
        let since = *instance.asked_ms.get_or_insert(facts.now_ms);
        if facts.now_ms < since.saturating_add(ASK_MS) {
            return None;
        }
    }
    // In time for its window, and never had a place.
    let no_room = |fate: &Fate| match fate {
        Fate::Open { begun: false, at_ms, needs_s } => *at_ms <= latest_ms(instance.closes_ms, *needs_s),
        _ => false,
    };
    let late = !open.is_empty() || instance.in_time(u64::MAX) > instance.in_time(until);
    let cancelled = instance.live() < instance.claims.len();
    Some(Outcome::Missed(match (open.iter().any(no_room), late, cancelled) {
        (true, _, _) => Reason::NoRoom,
        (_, true, _) => Reason::Late,
        (_, _, true) => Reason::Cancelled,
        _ => Reason::Unclaimed,
    }))
}

fn remember(used: &mut Option<Used>, record: &JobRecord, day: Day) {
    let cores = record.spec.cpus * record.spec.tasks as f64;
    let mut like = record.spec.clone();
    (like.id, like.due_s) = ("run-0".into(), None);
    if serde_json::to_vec(&like).map_or(true, |json| json.len() > MOST_SHAPE_BYTES) {
        return;
    }
    match used.as_mut().filter(|used| used.day == day) {
        Some(used) => {
            used.cores += cores;
            if cores > used.like.cpus * used.like.tasks as f64 {
                used.like = like;
            }
        }
        None => *used = Some(Used { day, cores, like }),
    }
}

/// One instance as far as the time and the jobs have brought it.
fn progress(spec: &Spec, status: &mut Status, instance: &mut Instance, facts: &Facts) {
    see(instance, facts);
    let claims = claims(spec, instance, facts.arrivals);
    for claim in &claims {
        if let Some(arrival) = facts.arrivals.iter().find(|arrival| arrival.record.spec.id == claim.job) {
            remember(&mut status.used, &arrival.record, instance.day);
        }
    }
    instance.claims.extend(claims);
    if facts.now_ms < instance.opens_ms {
        return;
    }
    let unclaimed_ms = unclaimed_latest_ms(spec, status, instance);
    instance.turn = turn(spec, instance, unclaimed_ms, facts);
    instance.unclaimed |= facts.now_ms >= unclaimed_ms && instance.live() < spec.jobs as usize;
    instance.late |= instance.claims.iter().filter(|claim| claim.over.is_none()).any(|claim| {
        let fate = (facts.fate)(&claim.job);
        let latest = |needs_s| latest_ms(instance.closes_ms, needs_s);
        matches!(fate, Fate::Open { begun: false, needs_s, .. } if facts.now_ms >= latest(needs_s))
    });
}

/// The status that follows from spec, status, jobs and time, whatever was missed meanwhile.
pub fn next(spec: &Spec, status: &Status, facts: &Facts) -> Status {
    let mut next = status.clone();
    // Where the spec tells since when it is, nothing is stored before there is something to remember.
    if spec.declared_ms.is_none() {
        next.from_ms.get_or_insert(facts.now_ms);
    }
    if let Some(day) = spec.confirmed.as_deref().and_then(super::spec::day_of) {
        next.confirm(day);
    }
    for _ in 0..MOST_AT_ONCE {
        let Some(mut instance) = next.instance(spec, facts.now_ms) else { break };
        progress(spec, &mut next, &mut instance, facts);
        let Some(outcome) = outcome(spec, &mut instance, facts) else {
            next.current = Some(instance).filter(|instance| !instance.is_blank());
            break;
        };
        let until = instance.closes_ms.saturating_add(GRACE_MS);
        next.current = None;
        next.note(Ended {
            day: instance.day,
            closes_ms: instance.closes_ms,
            outcome,
            jobs: spec.jobs,
            claimed: instance.claims.len() as u32,
            done: instance.in_time(until) as u32,
            at_ms: facts.now_ms,
        });
    }
    next
}
