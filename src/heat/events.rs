//! What is logged of a heat rule.

use tracing::{info, warn};

use super::backlog::Backlog;
use super::decide::{HeatReason, HeatStatus};
use crate::declarations::StatusEvent;

/// A change of a heat rule that operators are told of.
#[derive(Debug, Clone, PartialEq)]
pub enum HeatEvent {
    /// The rule applies from now on, or does not any more.
    Switched {
        /// Whether it applies.
        on: bool,
        /// Why.
        reason: HeatReason,
    },
    /// The rule goes on applying, until another time of day in ms.
    EndMoved(u64),
    /// Its jobs that wait were counted.
    BacklogReported(Backlog),
    /// The oldest of its jobs that wait has waited for longer than another stage.
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
                let (count, job, for_s) = (backlog.jobs, backlog.oldest_name(), backlog.oldest_waited_s());
                info!(name, count, job, for_s, "heat rule backlog reported");
            }
            Self::BacklogGrown(backlog) => {
                let (count, job, for_s) = (backlog.jobs, backlog.oldest_name(), backlog.oldest_waited_s());
                warn!(
                    name,
                    count, job, for_s, "heat rule backlog grown; keeping its jobs ahead of equally urgent work"
                );
            }
        }
    }
}

/// The events of a change of status.
pub fn status_events(before: &HeatStatus, after: &HeatStatus) -> Vec<HeatEvent> {
    let mut events = Vec::new();
    if after.on != before.on {
        events.push(HeatEvent::Switched { on: after.on, reason: after.reason });
    } else if after.until_ms != before.until_ms {
        events.push(HeatEvent::EndMoved(after.until_ms));
    }
    let stage = |status: &HeatStatus| status.backlog.as_ref().map_or(0, |backlog| backlog.stage);
    if let Some(backlog) = after.backlog.clone().filter(|backlog| before.backlog.as_ref() != Some(backlog)) {
        let grown = stage(after) > stage(before);
        events.push(if grown { HeatEvent::BacklogGrown(backlog) } else { HeatEvent::BacklogReported(backlog) });
    }
    events
}
