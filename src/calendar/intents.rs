//! The intents of a window (placing and renting), derived from what is stored of it. Pure.
//!
//! A job that would claim waits until its claim is stored, so that a delayed write does not let it be placed out of
//! turn; but it does not wait past its latest start.

use super::spec::Spec;
use super::status::{Instance, Status};
use super::step::{Facts, Fate, claims, latest_ms, see, unclaimed_latest_ms};
use crate::jobs::{JobId, JobSpec, Shape, Urgency};
use crate::scheduling::intents::{Intents, RoomIntent, WindowPlace};

/// Room for an opening is asked for from here on; whoever rents knows how long boot and fetch take.
const AHEAD_MS: u64 = 900_000;

/// What a team may still take, in cores and in accelerators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Left {
    pub cpus: f64,
    pub gpus: f64,
}

impl Left {
    /// As many tasks of a shape as fit into it and into so many cores.
    fn take(&mut self, like: &JobSpec, tasks: u64, cores: f64) -> u64 {
        let fits =
            |left: f64, each: f64| if each > 0.0 { (left / each + 1e-9).floor().max(0.0) as u64 } else { u64::MAX };
        let tasks = tasks.min(fits(self.cpus.min(cores), like.cpus)).min(fits(self.gpus, like.gpus));
        self.cpus -= tasks as f64 * like.cpus;
        self.gpus -= tasks as f64 * like.gpus;
        tasks
    }
}

/// The shape of jobs of which only the cores are known: it fits wherever there is a core.
fn plain(spec: &Spec) -> JobSpec {
    JobSpec {
        id: JobId::from("run-0"),
        class: spec.classes.first().cloned().unwrap_or_default(),
        team: spec.team.clone(),
        shape: Shape::Array,
        urgency: Urgency::Normal,
        tasks: 1,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 0.0,
        image: String::new(),
        image_gb: 0.0,
        types: None,
        zone: None,
        same_zone: false,
        spread: false,
        spot: true,
        estimate_s: spec.estimate_s,
        checkpoint_s: 0.0,
        save_s: 0.0,
        due_s: None,
    }
}

/// Cores that the window is expected to take: as declared, else as last time.
fn expected_cores(spec: &Spec, status: &Status) -> f64 {
    if spec.cores > 0.0 { spec.cores } else { status.used.as_ref().map_or(0.0, |used| used.cores) }
}

/// Room for turns that nobody claimed yet: from ahead of the opening until it is given back.
fn room_to_claim(
    spec: &Spec,
    status: &Status,
    instance: &Instance,
    now_ms: u64,
    left: &mut Left,
) -> Option<RoomIntent> {
    let kept = instance.opens_ms.saturating_add(u64::from(spec.room_s) * 1000);
    let until = kept.min(unclaimed_latest_ms(spec, status, instance));
    if instance.unclaimed || now_ms >= until || now_ms.saturating_add(AHEAD_MS) < instance.opens_ms {
        return None;
    }
    let unclaimed = f64::from(spec.jobs).max(1.0);
    let unclaimed = (unclaimed - instance.live() as f64).max(0.0) / unclaimed;
    let cores = expected_cores(spec, status) * unclaimed;
    let same = |like: &&JobSpec| like.team == spec.team && spec.classes.contains(&like.class);
    let like = status.used.as_ref().map(|used| &used.like).filter(same).cloned().unwrap_or_else(|| plain(spec));
    // Without a core, as many tasks as last time.
    let tasks = if like.cpus > 0.0 { (cores / like.cpus - 1e-9).ceil().max(0.0) as u64 } else { like.tasks };
    let tasks = left.take(&like, tasks, f64::INFINITY);
    let in_s = instance.opens_ms.saturating_sub(now_ms) as f64 / 1000.0;
    (tasks > 0).then_some(RoomIntent { task_spec: like, tasks, in_s })
}

/// `left`: what the window's team may still take; no room beyond it is of use to it.
/// `shape`: the description of an open job.
pub fn add_intents(
    name: &str,
    spec: &Spec,
    status: &Status,
    facts: &Facts,
    shape: &dyn Fn(&JobId) -> Option<JobSpec>,
    mut left: Left,
    intents: &mut Intents,
) {
    let now_ms = facts.now_ms;
    let Some(mut instance) = status.instance(spec, now_ms) else { return };
    // A cancelled job makes way for another, which waits from here on as if it had claimed.
    see(&mut instance, facts);
    let still = |closes_ms, fate| match fate {
        Fate::Open { needs_s, .. } => now_ms < latest_ms(closes_ms, needs_s),
        _ => false,
    };
    for claim in claims(spec, &instance, facts.arrivals) {
        if still(instance.closes_ms, (facts.fate)(&claim.job)) {
            intents.not_yet.insert(claim.job);
        }
    }
    // The instance before theirs is about to end.
    for arrival in facts.arrivals.iter().filter(|arrival| arrival.day > instance.day) {
        let closes_ms = spec.on(arrival.day).map_or(0, |span| span.closes_ms);
        if still(closes_ms, (facts.fate)(&arrival.record.spec.id)) {
            intents.not_yet.insert(arrival.record.spec.id.clone());
        }
    }
    let soon = now_ms.saturating_add(AHEAD_MS) >= instance.opens_ms;
    let mut expected = expected_cores(spec, status);
    for claim in instance.claims.iter().filter(|claim| claim.over.is_none()) {
        let Fate::Open { begun, .. } = (facts.fate)(&claim.job) else { continue };
        let come = claim.turn <= instance.turn;
        if come {
            intents.turns.insert(claim.job.clone(), WindowPlace { window: name.to_owned(), number: claim.turn });
        } else {
            intents.not_yet.insert(claim.job.clone());
        }
        // What waits in its turn is rented for as all that waits is; it has the first of what is left.
        let Some(like) = shape(&claim.job).filter(|_| !begun && soon) else { continue };
        let (before, cores) = (left, if come { f64::INFINITY } else { expected });
        let tasks = left.take(&like, like.tasks, cores);
        if !come && like.is_gang() && tasks < like.tasks {
            left = before;
            continue;
        }
        if come || tasks == 0 {
            continue;
        }
        expected -= tasks as f64 * like.cpus;
        let in_s = instance.opens_ms.saturating_sub(now_ms) as f64 / 1000.0;
        intents.room.push(RoomIntent { task_spec: like, tasks, in_s });
    }
    intents.room.extend(room_to_claim(spec, status, &instance, now_ms, &mut left));
}
