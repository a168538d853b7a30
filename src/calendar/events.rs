//! What is logged of a window: each stage once, when its status is stored.

use tracing::{info, warn};

use super::spec::{Day, format_day};
use super::status::{ClosedInstance, InstanceOutcome, TurnClaim, WindowInstance, WindowStatus};
use crate::declarations::StatusEvent;
use crate::jobs::JobId;

/// A stage of a window that operators are told of.
#[derive(Debug, Clone, PartialEq)]
pub enum WindowEvent {
    /// A job has claimed a turn.
    TurnClaimed {
        /// The instance's day.
        day: Day,
        /// The turn, from 1.
        turn: u32,
        /// The job.
        job: JobId,
    },
    /// Turns up to this one may be placed.
    TurnStarted {
        /// The instance's day.
        day: Day,
        /// The turn, from 1.
        turn: u32,
    },
    /// At its latest start there are turns that nobody has claimed.
    Unclaimed(Day),
    /// A claimed job has not begun at its latest start.
    Late(Day),
    /// The instance has ended.
    Closed(ClosedInstance),
    /// So many missed instances were dropped unconfirmed by now.
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

/// The events of a change of status.
pub fn status_events(before: &WindowStatus, after: &WindowStatus) -> Vec<WindowEvent> {
    let mut events = Vec::new();
    if let Some(now) = &after.current {
        debug_assert!(after.last_day().is_none_or(|last| now.day > last), "a closed instance is current again");
        events.extend(instance_events(before.current.as_ref().filter(|was| was.day == now.day), now));
    }
    let last = before.last_day();
    let is_new = |closed: &&ClosedInstance| last.is_none_or(|last| closed.day > last);
    let met = after.last.iter().filter(|closed| closed.outcome == InstanceOutcome::Met);
    events.extend(after.missed.iter().chain(met).filter(is_new).cloned().map(WindowEvent::Closed));
    let dropped = |status: &WindowStatus| status.dropped.map_or(0, |dropped| dropped.count);
    if dropped(after) > dropped(before) {
        events.push(WindowEvent::MissesDropped(dropped(after)));
    }
    events
}

fn instance_events(was: Option<&WindowInstance>, now: &WindowInstance) -> Vec<WindowEvent> {
    let day = now.day;
    let new_claims = now.claims.get(was.map_or(0, |was| was.claims.len())..).unwrap_or_default();
    let claimed = |claim: &TurnClaim| {
        let (turn, job) = (claim.turn, claim.job.clone());
        WindowEvent::TurnClaimed { day, turn, job }
    };
    let mut events: Vec<WindowEvent> = new_claims.iter().map(claimed).collect();
    if now.turn > was.map_or(0, |was| was.turn) {
        events.push(WindowEvent::TurnStarted { day, turn: now.turn });
    }
    if now.unclaimed && !was.is_some_and(|was| was.unclaimed) {
        events.push(WindowEvent::Unclaimed(day));
    }
    if now.late && !was.is_some_and(|was| was.late) {
        events.push(WindowEvent::Late(day));
    }
    events
}
