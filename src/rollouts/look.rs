//! Both jobs of a rollout, read off the leader's cluster state.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Rollout;
use super::observation::{Known, Observation, Replica, Side};
use super::spec::{MOST_REPLICAS, Spec};
use super::status::{Phase, Status};
use crate::declarations::DeclarationView;
use crate::jobs::{JobId, JobSpec, Shape};
use crate::protocol::workers::AttemptStatus;
use crate::scheduling::cluster::MachineState;
use crate::scheduling::room::{SLACK, suspect_after};

pub fn look(name: &str, spec: &Spec, status: &Status, view: &DeclarationView) -> Observation {
    let begun = status.phase.begun();
    let [old, new] = status.jobs(spec);
    let quarantined = view.cluster.machines.values().filter(|m| m.quarantined).map(|m| m.id.to_string()).collect();
    let mut seen = Observation {
        old: side(old, begun, view),
        new: side(new, begun, view),
        unfit: None,
        no_room: None,
        quarantined,
        now_ms: view.now_ms,
        epoch: view.cluster.first_fencing_token,
    };
    seen.unfit = rival(name, spec, status, view);
    if !begun {
        seen.unfit = seen.unfit.or_else(|| unfit(spec, view));
        seen.no_room = no_room(spec, view);
    }
    seen
}

fn side(id: &JobId, begun: bool, view: &DeclarationView) -> Side {
    let cluster = view.cluster;
    if !cluster.loaded {
        return Side::default();
    }
    let Some(job) = cluster.job(id).filter(|job| job.ended.is_none()) else {
        // The cluster state holds all that is open: what was there once and is not is over.
        let over = begun || (view.ended)(id).is_some() || cluster.has_job(id);
        return Side { known: if over { Known::Over } else { Known::Unknown }, ..Side::default() };
    };
    let suspect = suspect_after(cluster);
    let since = |at: std::time::Instant| view.now.saturating_duration_since(at);
    let replica = |index: &u32| {
        let binding = job.binding(*index)?;
        let running = binding.status == Some(AttemptStatus::Running);
        let mut replica = Replica {
            machine: binding.machine.to_string(),
            running,
            stopping: binding.halting.is_some(),
            ran_s: binding.running_since.filter(|_| running).map_or(Duration::ZERO, since).as_secs_f64(),
            bound_s: since(binding.since).as_secs_f64(),
            ..Replica::default()
        };
        if let Some(machine) = cluster.machines.get(&binding.machine) {
            (replica.type_name, replica.zone) = (machine.type_name.clone(), machine.zone.clone());
            replica.heard = machine.reported() && since(machine.last_seen) < suspect;
            // One that can be spared goes on with what can't move.
            let stays = machine.state != MachineState::Terminating && machine.recall.is_none();
            replica.leaving = !stays;
            replica.sure = running && replica.heard && stays && machine.fencing_token >= cluster.first_fencing_token;
        }
        Some((*index, replica))
    };
    let (failures, lately) = cluster.attribution.failures(id);
    let type_of = |m: &crate::scheduling::cluster::MachineId| cluster.machines.get(m).map(|m| m.type_name.clone());
    Side {
        known: Known::Open,
        tasks: job.tasks.len().min(MOST_REPLICAS as usize) as u32,
        replicas: job.bound.iter().filter_map(replica).collect(),
        failures,
        failed_lately: lately.map(|m| (m.to_string(), type_of(m).unwrap_or_default())).collect(),
        quarantined: cluster.attribution.suspects(id),
    }
}

/// Another rollout that holds one of the jobs. Who has begun keeps them; of those that have not, the one
/// that was written first, so that every leader decides alike. Two that began before either was heard of
/// have stopped nothing yet: the first by name goes on.
fn rival(name: &str, spec: &Spec, status: &Status, view: &DeclarationView) -> Option<String> {
    let mine = status.jobs(spec);
    let version =
        view.registry.specs::<Rollout>().find(|(n, ..)| *n == name).map_or(u64::MAX, |(_, _, version)| version);
    view.registry.specs::<Rollout>().filter(|(other, ..)| *other != name).find_map(|(other, theirs, written)| {
        let theirs_status = view.registry.status::<Rollout>(other).map(|(status, _)| status).unwrap_or_default();
        let first = match (status.phase.begun(), theirs_status.phase) {
            (true, phase) => phase.begun() && other < name,
            (false, Phase::Ended | Phase::Refused) => false,
            (false, phase) => phase.begun() || (written, other) < (version, name),
        };
        let shared = theirs_status.jobs(&theirs).iter().any(|id| mine.contains(id));
        (first && shared).then(|| format!("rollout {other} has one of its jobs"))
    })
}

/// Why these two jobs can have no rollout.
fn unfit(spec: &Spec, view: &DeclarationView) -> Option<String> {
    for (field, id) in [("old", &spec.old), ("new", &spec.new)] {
        let Some(job) = view.cluster.job(id) else { continue };
        let tasks = job.tasks.len();
        if job.spec().shape != Shape::Service {
            return Some(format!("{field}: {id} is no service"));
        }
        if tasks > MOST_REPLICAS as usize {
            return Some(format!("{field}: {id} has {tasks} replicas, more than {MOST_REPLICAS}"));
        }
        if field == "new" && tasks < spec.replicas as usize {
            return Some(format!("replicas: {} are asked, and {id} has {tasks}", spec.replicas));
        }
    }
    None
}

type Amount = fn(&JobSpec) -> f64;

/// The team's limit has to hold all that is asked of either version, with the surge of the other.
fn no_room(spec: &Spec, view: &DeclarationView) -> Option<String> {
    let (old, new) = (view.cluster.job(&spec.old)?, view.cluster.job(&spec.new)?);
    let teams: BTreeSet<&str> = [old, new].iter().map(|job| job.spec().team.as_str()).collect();
    for name in teams {
        let Some(team) = view.settings.team(name) else { continue };
        let of = |job: &JobSpec, n: u32, amount: Amount| {
            if job.team == name { amount(job) * f64::from(n) } else { 0.0 }
        };
        let used = view.cluster.usage.get(name).copied().unwrap_or_default();
        let (cpus, gpus): (Amount, Amount) = (|job| job.cpus, |job| job.gpus);
        let amounts = [("cpus", team.cpus_max, used.0, cpus), ("gpus", team.gpus_max, used.1, gpus)];
        for (what, limit, used, amount) in amounts {
            let own: f64 = [old, new].iter().map(|j| of(j.spec(), j.bound.len() as u32, amount)).sum();
            let both = |a: u32, b: u32| of(old.spec(), a, amount) + of(new.spec(), b, amount);
            let need = both(spec.replicas, spec.surge).max(both(spec.surge, spec.replicas));
            let others = (used - own).max(0.0);
            if limit > 0.0 && others + need > limit + SLACK {
                return Some(format!(
                    "surge: {} more than {} asked need {need} {what} of team {name}, which may use {limit}, {others} of it taken",
                    spec.surge, spec.replicas
                ));
            }
        }
    }
    None
}
