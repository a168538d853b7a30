//! Checks whether a job could ever run, by the settings and the machine catalog. Pure functions without side effects.
//!
//! A job array can run one task at a time. A gang needs all of its tasks at once, and a service is complete only with
//! all of its replicas: the protocol compares the sum of all their tasks with the team's limits, and this module's other
//! checks also consider all their tasks at once. Whether the cloud has on-demand or spot machines of a type is not known
//! in advance: the catalog has a price for both, and capacity shows only when machines are requested.

use std::collections::BTreeSet;

use crate::jobs::{JobSpec, Shape};
use crate::machine_kinds::{Catalog, MachineType};
use crate::settings::Settings;

/// Tolerance for rounding errors in sums of resources.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Why a job can never run. The texts are part of the API.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub(super) enum InfeasibleJob {
    #[error("desk: {0:?} is no known team")]
    UnknownTeam(String),
    #[error("{field}: {needed} is above the team's limit of {limit}")]
    AboveTeamLimit { field: &'static str, needed: f64, limit: f64 },
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
    #[error("scatter: the tasks must be in one zone by samePlace, and only half of them may be")]
    SameZoneAndSpread,
    #[error("scatter: only half of the tasks may be in one zone, and no other has a machine that fits")]
    SpreadInOneZone,
}

/// Checks whether the job could ever run: its team is known, its team's limits allow it, some machine type fits a task,
/// and there are enough zones for all tasks.
pub(super) fn check_feasible(spec: &JobSpec, settings: &Settings, catalog: &Catalog) -> Result<(), InfeasibleJob> {
    check_team(spec, settings)?;
    let zones = zones_with_capacity(spec, catalog);
    if zones.is_empty() {
        return Err(InfeasibleJob::FitsNoMachineType);
    }
    check_zones(spec, zones.len())
}

/// Number of tasks that must be able to run at the same time.
fn concurrent_tasks(spec: &JobSpec) -> u64 {
    match spec.shape {
        Shape::Array => 1,
        Shape::Gang | Shape::Service => spec.tasks,
    }
}

/// Checks that the team is known and that its limits allow the tasks that must run at the same time.
fn check_team(spec: &JobSpec, settings: &Settings) -> Result<(), InfeasibleJob> {
    let Some(team) = settings.team(&spec.team) else {
        return Err(InfeasibleJob::UnknownTeam(spec.team.clone()));
    };
    let tasks = concurrent_tasks(spec) as f64;
    for (field, limit, per_task) in [("cpus", team.cpus_max, spec.cpus), ("accelerators", team.gpus_max, spec.gpus)] {
        let needed = tasks * per_task;
        // A limit of zero means unlimited.
        if limit > 0.0 && needed > limit + ROUNDING_TOLERANCE {
            return Err(InfeasibleJob::AboveTeamLimit { field, needed, limit });
        }
    }
    Ok(())
}

/// The allowed zones in which some allowed machine type fits a task.
fn zones_with_capacity<'a>(spec: &JobSpec, catalog: &'a Catalog) -> BTreeSet<&'a str> {
    let types =
        catalog.types.iter().filter(|machine_type| allows_type(spec, machine_type) && fits_task(spec, machine_type));
    let zones = types.flat_map(|machine_type| machine_type.zones.iter().map(String::as_str));
    zones.filter(|zone| spec.zone.as_deref().is_none_or(|only| only == *zone)).collect()
}

/// Whether the job allows this machine type.
fn allows_type(spec: &JobSpec, machine_type: &MachineType) -> bool {
    spec.types.as_ref().is_none_or(|names| names.contains(&machine_type.name))
}

/// Whether one task of the job fits on an empty machine of this type.
fn fits_task(spec: &JobSpec, machine_type: &MachineType) -> bool {
    spec.cpus <= machine_type.cpus + ROUNDING_TOLERANCE
        && spec.gpus <= machine_type.gpus + ROUNDING_TOLERANCE
        && spec.memory_gb <= machine_type.memory_gb + ROUNDING_TOLERANCE
}

/// Checks that the zones suffice for a job whose tasks must be spread over zones. At most half of its tasks, rounded up,
/// may be in one zone, so two zones always suffice.
fn check_zones(spec: &JobSpec, zones: usize) -> Result<(), InfeasibleJob> {
    if !spec.spread || concurrent_tasks(spec) < 2 {
        return Ok(());
    }
    if spec.same_zone {
        return Err(InfeasibleJob::SameZoneAndSpread);
    }
    if zones < 2 {
        return Err(InfeasibleJob::SpreadInOneZone);
    }
    Ok(())
}

#[cfg(test)]
mod tests;
