//! Whether a rule is on: decided by the leader, stored, and read by every controller.
//!
//! The decision is a function of the rule, of what was stored last, of the readings and of the time of day. The stored
//! time only grows from one change to the next: a clock that steps back by less than a minute undoes nothing, and a
//! change with a time further ahead than that was made by a wrong clock and is ignored.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::readings::{AHEAD_MS, Reading};
use super::rule::{Assume, Rule, Weather};
use super::waits::Waits;

/// Changes that are remembered.
const MOST_HISTORY: usize = 8;

/// Why a rule is on or off.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Why {
    /// Nothing has been decided yet.
    #[default]
    Undecided,
    /// The settled value went above the upper threshold, or is between the two and was above before.
    Hot(f64),
    /// The settled value went below the lower one, or is between them and was not above.
    Over(f64),
    /// The day is declared hot.
    HotDay,
    /// No fresh reading, and the rule says that this is hot.
    AssumedHot,
    /// No fresh reading, and the rule says that this is not hot.
    NoReading,
    /// Out of its hours.
    Hours,
    /// It was on for as long as it may be by itself.
    RanOut,
    /// The time that was stored is further ahead than clocks can be apart.
    Clock,
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Undecided => f.write_str("not decided yet"),
            Self::Hot(value) => write!(f, "read {value}"),
            Self::Over(value) => write!(f, "read {value}, not hot"),
            Self::HotDay => f.write_str("a declared hot day"),
            Self::AssumedHot => f.write_str("no fresh reading: taken for hot"),
            Self::NoReading => f.write_str("no fresh reading: taken for not hot"),
            Self::Hours => f.write_str("out of its hours"),
            Self::RanOut => f.write_str("ran out: on for as long as it may be by itself"),
            Self::Clock => f.write_str("a wrong clock had decided"),
        }
    }
}

/// One change, as it is remembered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Turned {
    /// Whether the rule applies.
    pub on: bool,
    /// Why it does, or does not.
    pub why: Why,
    /// The leader that decided.
    pub epoch: u64,
    /// When it was decided, by time of day.
    pub at_ms: u64,
}

/// What is stored of a rule. Only the leader writes it; everybody acts on it as it is stored.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    /// Whether the rule applies.
    pub on: bool,
    /// Why.
    pub why: Why,
    /// Of the leader that decided.
    pub epoch: u64,
    /// Times of day in milliseconds since 1970: the last change, and when what is on ends by itself.
    pub since_ms: u64,
    /// When it ends by itself, if it applies.
    pub until_ms: u64,
    /// When it went on that time that it ran out: it stays off for the rest of those hours.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ran_out_of_ms: Option<u64>,
    /// The last changes, the newest last.
    pub history: Vec<Turned>,
    /// Its work that waited while it was on, as last told.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub waits: Option<Waits>,
}

impl Status {
    /// Whether it holds: also without anybody who could write that it ended.
    pub fn holds(&self, now_ms: u64) -> bool {
        self.on && now_ms < self.until_ms && self.since_ms <= now_ms.saturating_add(AHEAD_MS)
    }

    fn turned(&self, on: bool, why: Why, epoch: u64, at_ms: u64, until_ms: u64) -> Self {
        let mut next = Self { on, why, epoch, since_ms: at_ms, until_ms, waits: None, ..self.clone() };
        let before = next.history.len().saturating_sub(MOST_HISTORY - 1);
        next.history.drain(..before);
        next.history.push(Turned { on, why, epoch, at_ms });
        next
    }

    /// What is on ends with its hours, or when it has been on for as long as it may.
    fn end_of(rule: &Rule, since_ms: u64) -> Option<(u64, Why)> {
        let hours = rule.hours(since_ms)?;
        let out_ms = since_ms.saturating_add(rule.longest_ms());
        Some(if out_ms < hours.end_ms { (out_ms, Why::RanOut) } else { (hours.end_ms, Why::Hours) })
    }
}

/// The next status; none where it stays as it is.
pub fn decide<'a>(
    rule: &Rule,
    status: &Status,
    readings: impl Iterator<Item = &'a Reading>,
    epoch: u64,
    now_ms: u64,
) -> Option<Status> {
    if status.since_ms > now_ms.saturating_add(AHEAD_MS) {
        let before = Status { ran_out_of_ms: None, ..status.clone() };
        return Some(before.turned(false, Why::Clock, epoch, now_ms, 0));
    }
    let at_ms = now_ms.max(status.since_ms);
    if status.on {
        // The operator may have changed the rule since; what was decided ends by what it says now.
        let (until_ms, why) = Status::end_of(rule, status.since_ms).unwrap_or((at_ms, Why::Hours));
        if at_ms >= until_ms {
            let mut over = status.turned(false, why, epoch, at_ms, 0);
            over.ran_out_of_ms = (why == Why::RanOut).then_some(status.since_ms);
            return Some(over);
        }
        if until_ms != status.until_ms {
            return Some(Status { until_ms, ..status.clone() });
        }
    }
    let turn = |on: bool, why: Why, until_ms: u64| {
        (on != status.on || (!on && status.why == Why::Undecided))
            .then(|| status.turned(on, why, epoch, at_ms, until_ms))
    };
    let Some(hours) = rule.hours(at_ms) else { return turn(false, Why::Hours, 0) };
    let out = status.ran_out_of_ms.filter(|since| (hours.begin_ms..=at_ms).contains(since));
    if out.is_some_and(|since| since.saturating_add(rule.longest_ms()) <= at_ms) {
        return turn(false, Why::RanOut, 0);
    }
    let (on, why) = match rule.weather(&hours, readings, now_ms) {
        Weather::HotDay => (true, Why::HotDay),
        Weather::Hot(value) => (true, Why::Hot(value)),
        Weather::Between(value) if status.on => (true, Why::Hot(value)),
        Weather::Between(value) | Weather::Over(value) => (false, Why::Over(value)),
        Weather::Unknown if rule.assume == Assume::Hot => (true, Why::AssumedHot),
        Weather::Unknown => (false, Why::NoReading),
    };
    let since_ms = out.unwrap_or(at_ms);
    let (until_ms, _) = Status::end_of(rule, since_ms)?;
    turn(on, why, if on { until_ms } else { 0 })
}
