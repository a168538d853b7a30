//! Checks whether a rollout can begin or continue as declared. It cannot if another rollout holds one of its jobs, a
//! job is unsuitable, or the team's limits are too low.

use std::collections::BTreeSet;

use super::logic::Rollout;
use super::spec::{MAX_REPLICAS, RolloutSpec};
use super::status::{RolloutPhase, RolloutStatus};
use crate::declarations::{DeclarationView, NamedSpec};
use crate::jobs::{JobSpec, Shape};
use crate::scheduling::capacity::AMOUNT_TOLERANCE;

/// Returns why the rollout must be refused, if a conflicting rollout or an unsuitable job is found.
pub fn find_conflict(name: &str, spec: &RolloutSpec, status: &RolloutStatus, view: &DeclarationView) -> Option<String> {
    let conflicting = find_conflicting_rollout(name, spec, status, view);
    if status.phase.has_begun() { conflicting } else { conflicting.or_else(|| find_unsuitable_job(spec, view)) }
}

/// Finds another rollout that takes precedence and holds one of the jobs. A rollout that has begun keeps its jobs.
/// Among those that have not, the one declared first takes precedence, so that every leader decides alike. If two have
/// begun before either was known to the leader, neither has stopped a replica yet, and the first by name continues.
fn find_conflicting_rollout(
    name: &str,
    spec: &RolloutSpec,
    status: &RolloutStatus,
    view: &DeclarationView,
) -> Option<String> {
    let own_jobs = status.jobs(spec);
    let version = view.registry.specs::<Rollout>().find(|spec| spec.name == name).map_or(u64::MAX, |spec| spec.version);
    let others = view.registry.specs::<Rollout>().filter(|other| other.name != name);
    others.into_iter().find_map(|NamedSpec { name: other, spec: other_spec, version: other_version }| {
        let other_status = view.registry.status::<Rollout>(other).map(|status| status.value).unwrap_or_default();
        let other_is_first = match (status.phase.has_begun(), other_status.phase) {
            (true, phase) => phase.has_begun() && other < name,
            (false, RolloutPhase::Ended | RolloutPhase::Refused) => false,
            (false, phase) => phase.has_begun() || (other_version, other) < (version, name),
        };
        let is_shared = other_status.jobs(&other_spec).iter().any(|id| own_jobs.contains(id));
        (other_is_first && is_shared).then(|| format!("rollout {other} has one of its jobs"))
    })
}

/// Returns why one of the jobs is unsuitable: wrong shape, too many replicas, or fewer new replicas than declared.
fn find_unsuitable_job(spec: &RolloutSpec, view: &DeclarationView) -> Option<String> {
    for (field, id) in [("old", &spec.old), ("new", &spec.new)] {
        let Some(job) = view.cluster.job(id) else { continue };
        let tasks = job.tasks.len();
        if job.spec().shape != Shape::Service {
            return Some(format!("{field}: {id} is no service"));
        }
        if tasks > MAX_REPLICAS as usize {
            return Some(format!("{field}: {id} has {tasks} replicas, more than {MAX_REPLICAS}"));
        }
        if field == "new" && tasks < spec.replicas as usize {
            return Some(format!("replicas: {} are asked, and {id} has {tasks}", spec.replicas));
        }
    }
    None
}

/// Amount of a resource that one task of a job requests.
type ResourceAmount = fn(&JobSpec) -> f64;

/// Returns why the team's limits are too low, if they are. They must hold all replicas of either version together with
/// the surge of the other.
pub fn find_quota_shortage(spec: &RolloutSpec, view: &DeclarationView) -> Option<String> {
    let (old, new) = (view.cluster.job(&spec.old)?, view.cluster.job(&spec.new)?);
    let teams: BTreeSet<&str> = [old, new].iter().map(|job| job.spec().team.as_str()).collect();
    for name in teams {
        let Some(team) = view.settings.team(name) else { continue };
        let amount_of = |job: &JobSpec, count: u32, amount: ResourceAmount| {
            if job.team == name { amount(job) * f64::from(count) } else { 0.0 }
        };
        let used = view.cluster.team_usage.get(name).copied().unwrap_or_default();
        let (cpus, gpus): (ResourceAmount, ResourceAmount) = (|job| job.cpus, |job| job.gpus);
        let amounts = [("cpus", team.cpus_max, used.cpus, cpus), ("gpus", team.gpus_max, used.gpus, gpus)];
        for (resource, limit, used, amount) in amounts {
            let own_usage: f64 =
                [old, new].iter().map(|job| amount_of(job.spec(), job.bound.len() as u32, amount)).sum();
            let total_of = |old_count: u32, new_count: u32| {
                amount_of(old.spec(), old_count, amount) + amount_of(new.spec(), new_count, amount)
            };
            let required = total_of(spec.replicas, spec.surge).max(total_of(spec.surge, spec.replicas));
            let other_usage = (used - own_usage).max(0.0);
            if limit > 0.0 && other_usage + required > limit + AMOUNT_TOLERANCE {
                let (surge, replicas) = (spec.surge, spec.replicas);
                return Some(format!(
                    "surge: {surge} more than {replicas} asked need {required} {resource} of team {name}, \
                     which may use {limit}, {other_usage} of it taken"
                ));
            }
        }
    }
    None
}
