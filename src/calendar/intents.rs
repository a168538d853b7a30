//! The intents of a window (placing and renting), derived from what is stored of it. Pure.
//!
//! A job that would claim waits until its claim is stored, so that a delayed write does not let it be placed out of
//! turn; but it does not wait past its latest start.

use super::spec::WindowSpec;
use super::status::{WindowInstance, WindowStatus};
use super::step::{JobProgress, StepContext, latest_claim_ms, latest_start_ms, new_claims, record_claim_ends};
use crate::jobs::{JobId, JobSpec, Shape, Urgency};
use crate::scheduling::intents::{CapacityIntent, Intents, WindowPosition};

/// Capacity for an opening is asked for so long ahead; provisioning knows how long boot and fetch take.
const CAPACITY_AHEAD_MS: u64 = 900_000;

/// What a team's limits leave it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RemainingQuota {
    pub cpus: f64,
    pub gpus: f64,
}

impl RemainingQuota {
    /// Reserves as many tasks of a shape as fit, within so many cores.
    fn reserve(&mut self, like: &JobSpec, tasks: u64, cores: f64) -> u64 {
        let fits =
            |left: f64, each: f64| if each > 0.0 { (left / each + 1e-9).floor().max(0.0) as u64 } else { u64::MAX };
        let tasks = tasks.min(fits(self.cpus.min(cores), like.cpus)).min(fits(self.gpus, like.gpus));
        self.cpus -= tasks as f64 * like.cpus;
        self.gpus -= tasks as f64 * like.gpus;
        tasks
    }
}

/// A job of one core, for a window whose jobs' shape is not known: it fits wherever there is a core.
fn single_core_shape(spec: &WindowSpec) -> JobSpec {
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

/// Cores that the window is expected to use: as declared, else as last time.
fn expected_cores(spec: &WindowSpec, status: &WindowStatus) -> f64 {
    if spec.cores > 0.0 { spec.cores } else { status.used.as_ref().map_or(0.0, |used| used.cores) }
}

/// Capacity for turns that nobody has claimed yet: from ahead of the opening until it is released.
fn unclaimed_capacity(
    spec: &WindowSpec,
    status: &WindowStatus,
    instance: &WindowInstance,
    now_ms: u64,
    quota: &mut RemainingQuota,
) -> Option<CapacityIntent> {
    let kept = instance.opens_ms.saturating_add(u64::from(spec.room_s) * 1000);
    let until = kept.min(latest_claim_ms(spec, status, instance));
    if instance.unclaimed || now_ms >= until || now_ms.saturating_add(CAPACITY_AHEAD_MS) < instance.opens_ms {
        return None;
    }
    let unclaimed = f64::from(spec.jobs).max(1.0);
    let unclaimed = (unclaimed - instance.active_claims() as f64).max(0.0) / unclaimed;
    let cores = expected_cores(spec, status) * unclaimed;
    let same = |like: &&JobSpec| like.team == spec.team && spec.classes.contains(&like.class);
    let like =
        status.used.as_ref().map(|used| &used.like).filter(same).cloned().unwrap_or_else(|| single_core_shape(spec));
    // Without a core, as many tasks as last time.
    let tasks = if like.cpus > 0.0 { (cores / like.cpus - 1e-9).ceil().max(0.0) as u64 } else { like.tasks };
    let tasks = quota.reserve(&like, tasks, f64::INFINITY);
    (tasks > 0).then(|| CapacityIntent { task_spec: like, tasks, needed_in_s: seconds_to_opening(instance, now_ms) })
}

/// Adds the intents of a window. `quota` bounds the capacity that is asked for, `job_spec` describes an open job.
pub fn add_intents(
    name: &str,
    spec: &WindowSpec,
    status: &WindowStatus,
    context: &StepContext,
    job_spec: &dyn Fn(&JobId) -> Option<JobSpec>,
    mut quota: RemainingQuota,
    intents: &mut Intents,
) {
    let now_ms = context.now_ms;
    let Some(mut instance) = status.instance(spec, now_ms) else { return };
    // A cancelled job makes way for another, which waits from here on as if it had claimed.
    record_claim_ends(&mut instance, context);
    hold_back_claimants(spec, &instance, context, intents);
    let soon = now_ms.saturating_add(CAPACITY_AHEAD_MS) >= instance.opens_ms;
    let mut expected = expected_cores(spec, status);
    for claim in instance.claims.iter().filter(|claim| claim.end.is_none()) {
        let JobProgress::Open { begun, .. } = (context.progress)(&claim.job) else { continue };
        let has_started = claim.turn <= instance.turn;
        if has_started {
            intents
                .window_turns
                .insert(claim.job.clone(), WindowPosition { window: name.to_owned(), position: claim.turn });
        } else {
            intents.deferred_jobs.insert(claim.job.clone());
        }
        let Some(like) = job_spec(&claim.job).filter(|_| !begun && soon) else { continue };
        if has_started {
            // Capacity for it is provisioned as for all waiting jobs; it has the first claim on the quota.
            quota.reserve(&like, like.tasks, f64::INFINITY);
        } else if let Some(tasks) = reserve_for_claim(&mut quota, &like, expected) {
            expected -= tasks as f64 * like.cpus;
            intents.capacity.push(CapacityIntent {
                task_spec: like,
                tasks,
                needed_in_s: seconds_to_opening(&instance, now_ms),
            });
        }
    }
    intents.capacity.extend(unclaimed_capacity(spec, status, &instance, now_ms, &mut quota));
}

/// Holds back jobs that would claim a turn now, and those of the next instance, unless that makes them too late.
fn hold_back_claimants(spec: &WindowSpec, instance: &WindowInstance, context: &StepContext, intents: &mut Intents) {
    let can_wait = |closes_ms, job: &JobId| match (context.progress)(job) {
        JobProgress::Open { expected_s, .. } => context.now_ms < latest_start_ms(closes_ms, expected_s),
        _ => false,
    };
    for claim in new_claims(spec, instance, context.window_jobs) {
        if can_wait(instance.closes_ms, &claim.job) {
            intents.deferred_jobs.insert(claim.job);
        }
    }
    // The instance before theirs is about to end.
    for window_job in context.window_jobs.iter().filter(|window_job| window_job.day > instance.day) {
        let closes_ms = spec.instance_on(window_job.day).map_or(0, |span| span.closes_ms);
        if can_wait(closes_ms, &window_job.record.spec.id) {
            intents.deferred_jobs.insert(window_job.record.spec.id.clone());
        }
    }
}

/// Tasks of a claimed job that fit the quota and so many cores: all of a gang, or none.
fn reserve_for_claim(quota: &mut RemainingQuota, like: &JobSpec, cores: f64) -> Option<u64> {
    let before = *quota;
    let tasks = quota.reserve(like, like.tasks, cores);
    if like.is_gang() && tasks < like.tasks {
        *quota = before;
        return None;
    }
    (tasks > 0).then_some(tasks)
}

fn seconds_to_opening(instance: &WindowInstance, now_ms: u64) -> f64 {
    instance.opens_ms.saturating_sub(now_ms) as f64 / 1000.0
}
