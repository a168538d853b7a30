//! Whether a job could ever run, by the settings and by what the cloud offers. Pure.
//!
//! An array can run one task at a time. A gang needs all of its tasks at once, and a service is complete only with all
//! of its replicas: the protocol compares both with the team's limit with all tasks, and so does this module with
//! everything else. Whether the cloud has ordinary or spot machines of a type is not known in advance: it names a
//! price for both, and capacity shows only when machines are requested.

use std::collections::BTreeSet;

use crate::jobs::{JobSpec, Shape};
use crate::machine_kinds::{Catalog, MachineType};
use crate::settings::Settings;

/// Tolerance for rounding in sums of resources.
const ROUNDING: f64 = 1e-6;

/// Why a job can never run.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub(super) enum InfeasibleJob {
    #[error("desk: {0:?} is no known team")]
    UnknownTeam(String),
    #[error("{field}: {needed} is above the team's limit of {limit}")]
    AboveTeamLimit { field: &'static str, needed: f64, limit: f64 },
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
    #[error("scatter: the tasks must be in one zone by samePlace, and only half of them may be")]
    TogetherAndApart,
    #[error("scatter: only half of the tasks may be in one zone, and no other has a machine that fits")]
    ApartInOneZone,
}

/// Checks whether the job could ever run: its team, its limits, some type that holds a task, and zones for all tasks.
pub(super) fn check_feasible(spec: &JobSpec, settings: &Settings, catalog: &Catalog) -> Result<(), InfeasibleJob> {
    check_team(spec, settings)?;
    let zones = zones_with_capacity(spec, catalog);
    if zones.is_empty() {
        return Err(InfeasibleJob::FitsNoMachineType);
    }
    check_zones(spec, zones.len())
}

/// How many tasks must run at the same time.
fn tasks_at_once(spec: &JobSpec) -> u64 {
    match spec.shape {
        Shape::Array => 1,
        Shape::Gang | Shape::Service => spec.tasks,
    }
}

fn check_team(spec: &JobSpec, settings: &Settings) -> Result<(), InfeasibleJob> {
    let Some(team) = settings.team(&spec.team) else {
        return Err(InfeasibleJob::UnknownTeam(spec.team.clone()));
    };
    let tasks = tasks_at_once(spec) as f64;
    for (field, limit, each) in [("cpus", team.cpus_max, spec.cpus), ("accelerators", team.gpus_max, spec.gpus)] {
        let needed = tasks * each;
        // A limit of zero is none.
        if limit > 0.0 && needed > limit + ROUNDING {
            return Err(InfeasibleJob::AboveTeamLimit { field, needed, limit });
        }
    }
    Ok(())
}

/// The allowed zones in which some allowed type holds a task.
fn zones_with_capacity<'a>(spec: &JobSpec, catalog: &'a Catalog) -> BTreeSet<&'a str> {
    let types = catalog.types.iter().filter(|of| allows_type(spec, of) && holds_a_task(spec, of));
    let zones = types.flat_map(|of| of.zones.iter().map(String::as_str));
    zones.filter(|zone| spec.zone.as_deref().is_none_or(|only| only == *zone)).collect()
}

fn allows_type(spec: &JobSpec, of: &MachineType) -> bool {
    spec.types.as_ref().is_none_or(|names| names.contains(&of.name))
}

fn holds_a_task(spec: &JobSpec, of: &MachineType) -> bool {
    spec.cpus <= of.cpus + ROUNDING && spec.gpus <= of.gpus + ROUNDING && spec.memory_gb <= of.memory_gb + ROUNDING
}

/// At most half of a scattered job's tasks, rounded up, may be in one zone: two zones always do.
fn check_zones(spec: &JobSpec, zones: usize) -> Result<(), InfeasibleJob> {
    if !spec.spread || tasks_at_once(spec) < 2 {
        return Ok(());
    }
    if spec.same_zone {
        return Err(InfeasibleJob::TogetherAndApart);
    }
    if zones < 2 {
        return Err(InfeasibleJob::ApartInOneZone);
    }
    Ok(())
}

#[cfg(test)]
mod tests;
