//! Log events of heat rules.

use tracing::{info, warn};

use super::backlog::Backlog;
use super::decide::{HeatReason, HeatStatus};
use crate::declarations::StatusEvent;

/// Change of a heat rule's status that is logged.
#[derive(Debug, Clone, PartialEq)]
pub enum HeatEvent {
    /// The rule was switched on or off.
    Switched {
        /// Whether the rule is on now.
        on: bool,
        /// Reason for the change.
        reason: HeatReason,
    },
    /// The rule stays on, and its end moved to this Unix time in milliseconds.
    EndMoved(u64),
    /// A new backlog was reported.
    BacklogReported(Backlog),
    /// The waiting time of the oldest job reached a further stage of `BACKLOG_STAGES_S`.
    BacklogGrown(Backlog),
}

impl StatusEvent for HeatEvent {
    fn log(&self, name: &str) {
        match self {
            Self::Switched { on, reason } if matches!(reason, HeatReason::RanOut | HeatReason::Clock) => {
                warn!(name, on, %reason, "heat rule switched off early; treating its work like any other");
            }
            Self::Switched { on, reason } => info!(name, on, %reason, "heat rule switched"),
            Self::EndMoved(until_ms) => info!(name, until_ms, "heat rule end moved"),
            Self::BacklogReported(backlog) => {
                let (count, job, for_s) = (backlog.jobs, backlog.oldest_job(), backlog.oldest_wait_s());
                info!(name, count, job, for_s, "heat rule backlog reported");
            }
            Self::BacklogGrown(backlog) => {
                let (count, job, for_s) = (backlog.jobs, backlog.oldest_job(), backlog.oldest_wait_s());
                warn!(
                    name,
                    count, job, for_s, "heat rule backlog grown; keeping its jobs ahead of equally urgent work"
                );
            }
        }
    }
}

/// Returns the events to log for a change of status.
pub fn status_events(before: &HeatStatus, after: &HeatStatus) -> Vec<HeatEvent> {
    let mut events = Vec::new();
    if after.on != before.on {
        events.push(HeatEvent::Switched { on: after.on, reason: after.reason });
    } else if after.until_ms != before.until_ms {
        events.push(HeatEvent::EndMoved(after.until_ms));
    }
    let reached_stage = |status: &HeatStatus| status.backlog.as_ref().map_or(0, |backlog| backlog.stage);
    if let Some(backlog) = after.backlog.clone().filter(|backlog| before.backlog.as_ref() != Some(backlog)) {
        let grown = reached_stage(after) > reached_stage(before);
        events.push(if grown { HeatEvent::BacklogGrown(backlog) } else { HeatEvent::BacklogReported(backlog) });
    }
    events
}
