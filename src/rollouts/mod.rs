//! Rollouts: a new version of a service replaces the old one in steps, without a gap (docs/rollouts.md).
//!
//! `spec` is what an operator declares, `status` what the leader stores; `observe` reads both jobs from the cluster
//! state, `version_verdict` judges the new version, `step` decides the next status and `intents` what placement and
//! preemption follow. All of it is free of I/O; the service never submits or cancels a job.

mod describe;
pub mod events;
mod feasibility;
pub mod intents;
mod logic;
pub mod observation;
mod observe;
pub mod spec;
pub mod status;
pub mod step;
#[cfg(test)]
mod tests;
pub mod version_verdict;

pub use logic::Rollout;
