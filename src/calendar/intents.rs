//! The intents of a window for placement and provisioning, derived from its stored status without I/O.
//!
//! A job that would claim a turn is deferred until its claim is stored, so that a delayed write does not let it be
//! placed out of turn. It is not deferred past its latest start.

use super::spec::WindowSpec;
use super::status::{WindowInstance, WindowStatus};
use super::step::{JobProgress, StepContext, latest_claim_ms, latest_start_ms, new_claims, record_claim_ends};
use crate::jobs::{JobId, JobSpec, Shape, Urgency};
use crate::scheduling::intents::{CapacityIntent, Intents, WindowPosition};

/// How long before the opening capacity is requested. Provisioning accounts for boot and fetch times within it.
const CAPACITY_AHEAD_MS: u64 = 900_000;

/// The resources that remain within a team's limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RemainingQuota {
    /// The remaining cores.
    pub cpus: f64,
    /// The remaining accelerators.
    pub gpus: f64,
}

impl RemainingQuota {
    /// Reserves up to `tasks` tasks of a job, as many as fit within the quota and `cores`, and returns their number.
    fn reserve(&mut self, job_spec: &JobSpec, tasks: u64, cores: f64) -> u64 {
        let fitting_tasks = |remaining: f64, per_task: f64| {
            if per_task > 0.0 { (remaining / per_task + 1e-9).floor().max(0.0) as u64 } else { u64::MAX }
        };
        let tasks =
            tasks.min(fitting_tasks(self.cpus.min(cores), job_spec.cpus)).min(fitting_tasks(self.gpus, job_spec.gpus));
        self.cpus -= tasks as f64 * job_spec.cpus;
        self.gpus -= tasks as f64 * job_spec.gpus;
        tasks
    }
}

/// Returns a job of one core, for a window without known past usage: it fits on any machine with a free core.
fn single_core_job(spec: &WindowSpec) -> JobSpec {
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

/// Returns the cores that the window is expected to use: as declared, or else as in the last claimed instance.
fn expected_cores(spec: &WindowSpec, status: &WindowStatus) -> f64 {
    if spec.cores > 0.0 { spec.cores } else { status.past_usage.as_ref().map_or(0.0, |usage| usage.cores) }
}

/// Returns the capacity intent for unclaimed turns, in effect from ahead of the opening until its release.
fn unclaimed_capacity(
    spec: &WindowSpec,
    status: &WindowStatus,
    instance: &WindowInstance,
    now_ms: u64,
    quota: &mut RemainingQuota,
) -> Option<CapacityIntent> {
    let reserved_until_ms = instance.opens_ms.saturating_add(u64::from(spec.room_s) * 1000);
    let until_ms = reserved_until_ms.min(latest_claim_ms(spec, status, instance));
    if instance.unclaimed || now_ms >= until_ms || now_ms.saturating_add(CAPACITY_AHEAD_MS) < instance.opens_ms {
        return None;
    }
    let expected_jobs = f64::from(spec.jobs).max(1.0);
    let unclaimed_fraction = (expected_jobs - instance.active_claims() as f64).max(0.0) / expected_jobs;
    let cores = expected_cores(spec, status) * unclaimed_fraction;
    let matches_window = |job_spec: &&JobSpec| job_spec.team == spec.team && spec.classes.contains(&job_spec.class);
    let past_job_spec = status.past_usage.as_ref().map(|usage| &usage.job_spec).filter(matches_window);
    let job_spec = past_job_spec.cloned().unwrap_or_else(|| single_core_job(spec));
    // A job whose tasks use no cores is expected to have as many tasks as last time.
    let tasks =
        if job_spec.cpus > 0.0 { (cores / job_spec.cpus - 1e-9).ceil().max(0.0) as u64 } else { job_spec.tasks };
    let tasks = quota.reserve(&job_spec, tasks, f64::INFINITY);
    (tasks > 0).then(|| CapacityIntent {
        task_spec: job_spec,
        tasks,
        needed_in_s: seconds_to_opening(instance, now_ms),
    })
}

/// Adds the intents of a window. `quota` bounds the requested capacity; `job_spec` looks up the specification of a job.
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
    // A job that replaces a cancelled one is deferred from now on as if it had claimed a turn.
    record_claim_ends(&mut instance, context);
    defer_claimants(spec, &instance, context, intents);
    let is_opening_soon = now_ms.saturating_add(CAPACITY_AHEAD_MS) >= instance.opens_ms;
    let mut remaining_cores = expected_cores(spec, status);
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
        let Some(claimed_job) = job_spec(&claim.job).filter(|_| !begun && is_opening_soon) else { continue };
        if has_started {
            // Scale-out provisions capacity for this job as for any waiting job, so no intent is added. Its quota is
            // reserved so that the claims and turns that follow don't request capacity that the quota forbids.
            quota.reserve(&claimed_job, claimed_job.tasks, f64::INFINITY);
        } else if let Some(tasks) = reserve_for_claim(&mut quota, &claimed_job, remaining_cores) {
            remaining_cores -= tasks as f64 * claimed_job.cpus;
            intents.capacity.push(CapacityIntent {
                task_spec: claimed_job,
                tasks,
                needed_in_s: seconds_to_opening(&instance, now_ms),
            });
        }
    }
    intents.capacity.extend(unclaimed_capacity(spec, status, &instance, now_ms, &mut quota));
}

/// Defers jobs that would claim a turn now and those of later instances, unless that makes them too late.
fn defer_claimants(spec: &WindowSpec, instance: &WindowInstance, context: &StepContext, intents: &mut Intents) {
    let can_wait = |closes_ms, job: &JobId| match (context.progress)(job) {
        JobProgress::Open { expected_s, .. } => context.now_ms < latest_start_ms(closes_ms, expected_s),
        _ => false,
    };
    for claim in new_claims(spec, instance, context.window_jobs) {
        if can_wait(instance.closes_ms, &claim.job) {
            intents.deferred_jobs.insert(claim.job);
        }
    }
    // Jobs of a later instance wait until the outcome of the present one is decided.
    for window_job in context.window_jobs.iter().filter(|window_job| window_job.day > instance.day) {
        let closes_ms = spec.instance_on(window_job.day).map_or(0, |span| span.closes_ms);
        if can_wait(closes_ms, &window_job.record.spec.id) {
            intents.deferred_jobs.insert(window_job.record.spec.id.clone());
        }
    }
}

/// Reserves the tasks of a claimed job that fit within the quota and `cores`, all or none of a gang, and returns their
/// number if it is not 0.
fn reserve_for_claim(quota: &mut RemainingQuota, job_spec: &JobSpec, cores: f64) -> Option<u64> {
    let before = *quota;
    let tasks = quota.reserve(job_spec, job_spec.tasks, cores);
    if job_spec.is_gang() && tasks < job_spec.tasks {
        *quota = before;
        return None;
    }
    (tasks > 0).then_some(tasks)
}

/// Returns the seconds until the instance opens, 0 if it is open.
fn seconds_to_opening(instance: &WindowInstance, now_ms: u64) -> f64 {
    instance.opens_ms.saturating_sub(now_ms) as f64 / 1000.0
}
