//! Rollouts: replace the old version of a service with a new one in steps, without a capacity gap (docs/rollouts.md).
//!
//! `spec` holds the declared specification and `status` the status stored by the leader. `observe` reads both jobs from
//! the cluster state, `version_verdict` evaluates the new version, `step` decides the next status, and `intents`
//! derives the constraints that placement and preemption follow. This module performs no I/O and never submits or
//! cancels a job.

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
