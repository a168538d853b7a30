//! Whether a job could ever run, by the settings and by what the cloud offers. Pure.

use crate::jobs::{JobSpec, Shape};
use crate::kinds::Catalog;
use crate::settings::Settings;

/// Whether the job could ever run: its team, its limits, and some type that holds a task.
pub(super) fn can_ever_run(spec: &JobSpec, settings: &Settings, catalog: &Catalog) -> Result<(), String> {
    let Some(team) = settings.team(&spec.team) else {
        return Err(format!("desk: {:?} is no known team", spec.team));
    };
    // An array runs with one task at a time if it must; a gang and a service need all.
    let n = if spec.shape == Shape::Array { 1.0 } else { spec.tasks as f64 };
    for (field, limit, needs) in [("cpus", team.cpus_max, spec.cpus), ("accelerators", team.gpus_max, spec.gpus)] {
        if limit > 0.0 && n * needs > limit + 1e-6 {
            return Err(format!("{field}: {} is above the team's limit of {limit}", n * needs));
        }
    }
    let zone_known = |zones: &[String]| spec.zone.as_ref().is_none_or(|z| zones.contains(z));
    let fits = catalog.types.iter().any(|t| {
        spec.types.as_ref().is_none_or(|names| names.contains(&t.name))
            && zone_known(&t.zones)
            && spec.cpus <= t.cpus + 1e-6
            && spec.gpus <= t.gpus + 1e-6
            && spec.memory_gb <= t.memory_gb + 1e-6
    });
    if fits { Ok(()) } else { Err("a task fits no allowed machine type".into()) }
}

#[cfg(test)]
mod tests;
