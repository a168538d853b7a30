//! What is logged of a rollout.

use tracing::{info, warn};

use super::status::{RolloutPhase, RolloutStatus};
use crate::declarations::StatusEvent;

/// A rollout has come to another phase or step, or for another reason.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutEvent {
    /// The phase before.
    pub phase_before: RolloutPhase,
    /// The phase now.
    pub phase: RolloutPhase,
    /// The step, from 1.
    pub step: u32,
    /// Why it is so; empty where it goes as declared.
    pub reason: String,
}

impl StatusEvent for RolloutEvent {
    fn log(&self, name: &str) {
        let Self { phase_before, phase, step, reason } = self;
        match phase {
            RolloutPhase::Refused => warn!(name, step, reason, "rollout refused; leaving both jobs to themselves"),
            RolloutPhase::Paused => warn!(name, step, reason, "rollout paused; holding both versions as they are"),
            RolloutPhase::GoingBack => {
                warn!(name, step, reason, "rollout rollback started; restoring the old version");
            }
            RolloutPhase::Back if *phase_before != RolloutPhase::GoingBack => {
                warn!(name, step, reason, "rollout rolled back; serving the old version alone");
            }
            RolloutPhase::Planned if !reason.is_empty() => {
                warn!(name, step, reason, "rollout blocked; waiting for what is missing");
            }
            _ => info!(name, step, phase = phase.as_str(), reason, "rollout phase changed"),
        }
    }
}

/// The event of a change of status, if anything has changed that operators are told of.
pub fn status_events(before: &RolloutStatus, after: &RolloutStatus) -> Vec<RolloutEvent> {
    if (before.phase, before.step) == (after.phase, after.step) && before.reason == after.reason {
        return Vec::new();
    }
    let (phase_before, phase) = (before.phase, after.phase);
    vec![RolloutEvent { phase_before, phase, step: after.step + 1, reason: after.reason.clone() }]
}
