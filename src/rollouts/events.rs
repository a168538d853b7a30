//! Log events of rollouts.

use tracing::{info, warn};

use super::status::{RolloutPhase, RolloutStatus};
use crate::declarations::StatusEvent;

/// Change of a rollout's phase, step or reason.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutEvent {
    /// Previous phase.
    pub phase_before: RolloutPhase,
    /// New phase.
    pub phase: RolloutPhase,
    /// Current step, from 1.
    pub step: u32,
    /// Reason for the phase; empty while the rollout proceeds as declared.
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

/// Returns the event to log for a change of status, if the phase, step or reason has changed.
pub fn status_events(before: &RolloutStatus, after: &RolloutStatus) -> Vec<RolloutEvent> {
    if (before.phase, before.step) == (after.phase, after.step) && before.reason == after.reason {
        return Vec::new();
    }
    let (phase_before, phase) = (before.phase, after.phase);
    vec![RolloutEvent { phase_before, phase, step: after.step + 1, reason: after.reason.clone() }]
}
