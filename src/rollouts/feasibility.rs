//! Why a rollout cannot begin or go on as declared: another rollout has its jobs, the jobs do not suit it, or the team's
//! limits are too low.

use std::collections::BTreeSet;

use super::logic::Rollout;
use super::spec::{MAX_REPLICAS, RolloutSpec};
use super::status::{RolloutPhase, RolloutStatus};
use crate::declarations::{DeclarationView, NamedSpec};
use crate::jobs::{JobSpec, Shape};
use crate::scheduling::capacity::AMOUNT_TOLERANCE;

/// Why these jobs can have no rollout as declared.
pub fn find_conflict(name: &str, spec: &RolloutSpec, status: &RolloutStatus, view: &DeclarationView) -> Option<String> {
    let rival = find_rival(name, spec, status, view);
    if status.phase.begun() { rival } else { rival.or_else(|| find_unsuitable_job(spec, view)) }
}

/// Another rollout that has one of the jobs. One that has begun keeps them; of those that have not, the one that was
/// written first, so that every leader decides alike. Two that began before either was heard of have stopped nothing
/// yet: the first by name continues.
fn find_rival(name: &str, spec: &RolloutSpec, status: &RolloutStatus, view: &DeclarationView) -> Option<String> {
    let mine = status.jobs(spec);
    let version = view.registry.specs::<Rollout>().find(|spec| spec.name == name).map_or(u64::MAX, |spec| spec.version);
    let others = view.registry.specs::<Rollout>().filter(|other| other.name != name);
    others.into_iter().find_map(|NamedSpec { name: other, spec: other_spec, version: other_version }| {
        let other_status = view.registry.status::<Rollout>(other).map(|status| status.value).unwrap_or_default();
        let other_is_first = match (status.phase.begun(), other_status.phase) {
            (true, phase) => phase.begun() && other < name,
            (false, RolloutPhase::Ended | RolloutPhase::Refused) => false,
            (false, phase) => phase.begun() || (other_version, other) < (version, name),
        };
        let is_shared = other_status.jobs(&other_spec).iter().any(|id| mine.contains(id));
        (other_is_first && is_shared).then(|| format!("rollout {other} has one of its jobs"))
    })
}

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

type Amount = fn(&JobSpec) -> f64;

/// Why the team's limits leave too little: they have to hold the replicas of either version, with the surge of the other.
pub fn find_quota_shortage(spec: &RolloutSpec, view: &DeclarationView) -> Option<String> {
    let (old, new) = (view.cluster.job(&spec.old)?, view.cluster.job(&spec.new)?);
    let teams: BTreeSet<&str> = [old, new].iter().map(|job| job.spec().team.as_str()).collect();
    for name in teams {
        let Some(team) = view.settings.team(name) else { continue };
        let amount_of = |job: &JobSpec, count: u32, amount: Amount| {
            if job.team == name { amount(job) * f64::from(count) } else { 0.0 }
        };
        let used = view.cluster.team_usage.get(name).copied().unwrap_or_default();
        let (cpus, gpus): (Amount, Amount) = (|job| job.cpus, |job| job.gpus);
        let amounts = [("cpus", team.cpus_max, used.cpus, cpus), ("gpus", team.gpus_max, used.gpus, gpus)];
        for (what, limit, used, amount) in amounts {
            let own: f64 = [old, new].iter().map(|job| amount_of(job.spec(), job.bound.len() as u32, amount)).sum();
            let both = |olds: u32, news: u32| amount_of(old.spec(), olds, amount) + amount_of(new.spec(), news, amount);
            let need = both(spec.replicas, spec.surge).max(both(spec.surge, spec.replicas));
            let others = (used - own).max(0.0);
            if limit > 0.0 && others + need > limit + AMOUNT_TOLERANCE {
                let (surge, replicas) = (spec.surge, spec.replicas);
                return Some(format!(
                    "surge: {surge} more than {replicas} asked need {need} {what} of team {name}, \
                     which may use {limit}, {others} of it taken"
                ));
            }
        }
    }
    None
}
