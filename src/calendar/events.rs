//! Log events of planning windows: each stage is logged once, when its status is stored.

use tracing::{info, warn};

use super::spec::{Day, format_day};
use super::status::{ClosedInstance, InstanceOutcome, TurnClaim, WindowInstance, WindowStatus};
use crate::declarations::StatusEvent;
use crate::jobs::JobId;

/// A stage of a window that is logged for operators.
#[derive(Debug, Clone, PartialEq)]
pub enum WindowEvent {
    /// A job has claimed a turn.
    TurnClaimed {
        /// The instance's day.
        day: Day,
        /// The turn, from 1.
        turn: u32,
        /// The job that claimed the turn.
        job: JobId,
    },
    /// Jobs with a turn up to this one may be placed.
    TurnStarted {
        /// The instance's day.
        day: Day,
        /// The turn, from 1.
        turn: u32,
    },
    /// The latest start passed with unclaimed turns.
    Unclaimed(Day),
    /// A claimed job was not placed by its latest start.
    Late(Day),
    /// The outcome of the instance was decided.
    Closed(ClosedInstance),
    /// Missed instances were dropped unconfirmed; the value is their total number.
    MissesDropped(u64),
}

impl StatusEvent for WindowEvent {
    fn log(&self, name: &str) {
        match self {
            Self::TurnClaimed { day, turn, job } => {
                info!(name, date = format_day(*day), turn, %job, "window turn claimed");
            }
            Self::TurnStarted { day, turn } => info!(name, date = format_day(*day), turn, "window turn started"),
            Self::Unclaimed(day) => {
                let date = format_day(*day);
                warn!(name, date, "window unclaimed at its latest start; releasing its reserved room");
            }
            Self::Late(day) => {
                let date = format_day(*day);
                warn!(name, date, "window late; keeping its claim and still placing the claimed job");
            }
            Self::Closed(closed) => log_closed(name, closed),
            Self::MissesDropped(count) => {
                warn!(name, count, "missed windows dropped unconfirmed; keeping their number alone");
            }
        }
    }
}

/// Logs the outcome of an instance.
fn log_closed(name: &str, closed: &ClosedInstance) {
    let date = format_day(closed.day);
    let ClosedInstance { jobs: count, claimed, done, .. } = closed;
    let told_late_s = closed.delay_ms().map(|ms| ms / 1000);
    match closed.outcome {
        InstanceOutcome::Met => info!(name, date, claimed, count, done, told_late_s, "window met"),
        InstanceOutcome::Missed(reason) => {
            let reason = reason.as_str();
            warn!(
                name,
                date,
                reason,
                claimed,
                count,
                done,
                told_late_s,
                "window missed; keeping it listed until it is confirmed"
            );
        }
    }
}

/// Returns the events of a change of status.
pub fn status_events(before: &WindowStatus, after: &WindowStatus) -> Vec<WindowEvent> {
    let mut events = Vec::new();
    if let Some(current) = &after.current {
        debug_assert!(after.last_day().is_none_or(|last| current.day > last), "a closed instance is current again");
        let previous = before.current.as_ref().filter(|previous| previous.day == current.day);
        events.extend(instance_events(previous, current));
    }
    let last_day = before.last_day();
    let is_new = |closed: &&ClosedInstance| last_day.is_none_or(|last| closed.day > last);
    let met = after.last.iter().filter(|closed| closed.outcome == InstanceOutcome::Met);
    events.extend(after.missed.iter().chain(met).filter(is_new).cloned().map(WindowEvent::Closed));
    let dropped_count = |status: &WindowStatus| status.dropped.map_or(0, |dropped| dropped.count);
    if dropped_count(after) > dropped_count(before) {
        events.push(WindowEvent::MissesDropped(dropped_count(after)));
    }
    events
}

/// Returns the events of a change of an instance, from its previous state if there is one.
fn instance_events(previous: Option<&WindowInstance>, current: &WindowInstance) -> Vec<WindowEvent> {
    let day = current.day;
    let new_claims = current.claims.get(previous.map_or(0, |previous| previous.claims.len())..).unwrap_or_default();
    let claim_event = |claim: &TurnClaim| {
        let (turn, job) = (claim.turn, claim.job.clone());
        WindowEvent::TurnClaimed { day, turn, job }
    };
    let mut events: Vec<WindowEvent> = new_claims.iter().map(claim_event).collect();
    if current.turn > previous.map_or(0, |previous| previous.turn) {
        events.push(WindowEvent::TurnStarted { day, turn: current.turn });
    }
    if current.unclaimed && !previous.is_some_and(|previous| previous.unclaimed) {
        events.push(WindowEvent::Unclaimed(day));
    }
    if current.late && !previous.is_some_and(|previous| previous.late) {
        events.push(WindowEvent::Late(day));
    }
    events
}
