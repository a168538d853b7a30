//! Whether a rule is on: decided by the leader, stored, and read by every controller.
//!
//! The decision is a function of the rule, of what was stored last, of the readings and of the time of day. The stored
//! time only grows from one change to the next: a clock that steps back by less than a minute undoes nothing, and a
//! change with a time further ahead than that was made by a wrong clock and is ignored.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::backlog::Backlog;
use super::readings::{MAX_CLOCK_SKEW_MS, Reading};
use super::rule::{AssumedHeat, HeatRule, HeatSignal};

/// Changes that are remembered.
const MAX_HISTORY: usize = 8;

/// Why a rule is on or off.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HeatReason {
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

impl fmt::Display for HeatReason {
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

/// A past change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeatChange {
    /// Whether the rule applies.
    pub on: bool,
    /// Why it does, or does not.
    #[serde(rename = "why")]
    pub reason: HeatReason,
    /// The leader that decided.
    #[serde(rename = "epoch")]
    pub fencing_token: u64,
    /// When it was decided, by time of day.
    pub at_ms: u64,
}

/// What the leader stores of a rule.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct HeatStatus {
    /// Whether the rule applies.
    pub on: bool,
    /// Why.
    #[serde(rename = "why")]
    pub reason: HeatReason,
    /// Of the leader that decided.
    #[serde(rename = "epoch")]
    pub fencing_token: u64,
    /// Times of day in milliseconds since 1970: the last change, and when what is on ends by itself.
    pub since_ms: u64,
    /// When it ends by itself, if it applies.
    pub until_ms: u64,
    /// When it began to apply that time that it ran out: it stays off for the rest of those hours.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ran_out_of_ms: Option<u64>,
    /// The last changes, the newest last.
    pub history: Vec<HeatChange>,
    /// Its jobs that wait while it applies, as last reported.
    #[serde(rename = "waits", skip_serializing_if = "Option::is_none")]
    pub backlog: Option<Backlog>,
}

impl HeatStatus {
    /// Whether the rule applies at a time of day. It ends in time also if no leader can write that.
    pub fn applies_at(&self, now_ms: u64) -> bool {
        self.on && now_ms < self.until_ms && self.since_ms <= now_ms.saturating_add(MAX_CLOCK_SKEW_MS)
    }

    fn change_to(&self, on: bool, reason: HeatReason, fencing_token: u64, at_ms: u64, until_ms: u64) -> Self {
        let mut next = Self { on, reason, fencing_token, since_ms: at_ms, until_ms, backlog: None, ..self.clone() };
        let before = next.history.len().saturating_sub(MAX_HISTORY - 1);
        next.history.drain(..before);
        next.history.push(HeatChange { on, reason, fencing_token, at_ms });
        next
    }

    /// When a rule that applies ends by itself, with its hours or after the longest time allowed, and why.
    fn natural_end(rule: &HeatRule, since_ms: u64) -> Option<(u64, HeatReason)> {
        let hours = rule.hours_at(since_ms)?;
        let out_ms = since_ms.saturating_add(rule.longest_ms());
        Some(if out_ms < hours.end_ms { (out_ms, HeatReason::RanOut) } else { (hours.end_ms, HeatReason::Hours) })
    }
}

/// The next status; none where it stays as it is.
pub fn decide_heat<'a>(
    rule: &HeatRule,
    status: &HeatStatus,
    readings: impl Iterator<Item = &'a Reading>,
    fencing_token: u64,
    now_ms: u64,
) -> Option<HeatStatus> {
    if status.since_ms > now_ms.saturating_add(MAX_CLOCK_SKEW_MS) {
        let before = HeatStatus { ran_out_of_ms: None, ..status.clone() };
        return Some(before.change_to(false, HeatReason::Clock, fencing_token, now_ms, 0));
    }
    let at_ms = now_ms.max(status.since_ms);
    if status.on {
        // The operator may have changed the rule since; the end follows the present rule.
        let (until_ms, reason) = HeatStatus::natural_end(rule, status.since_ms).unwrap_or((at_ms, HeatReason::Hours));
        if at_ms >= until_ms {
            let mut ended = status.change_to(false, reason, fencing_token, at_ms, 0);
            ended.ran_out_of_ms = (reason == HeatReason::RanOut).then_some(status.since_ms);
            return Some(ended);
        }
        if until_ms != status.until_ms {
            return Some(HeatStatus { until_ms, ..status.clone() });
        }
    }
    let switch_to = |on: bool, reason: HeatReason, until_ms: u64| {
        (on != status.on || (!on && status.reason == HeatReason::Undecided))
            .then(|| status.change_to(on, reason, fencing_token, at_ms, until_ms))
    };
    let Some(hours) = rule.hours_at(at_ms) else { return switch_to(false, HeatReason::Hours, 0) };
    let out = status.ran_out_of_ms.filter(|since| (hours.begin_ms..=at_ms).contains(since));
    if out.is_some_and(|since| since.saturating_add(rule.longest_ms()) <= at_ms) {
        return switch_to(false, HeatReason::RanOut, 0);
    }
    let (on, reason) = match rule.assess(&hours, readings, now_ms) {
        HeatSignal::HotDay => (true, HeatReason::HotDay),
        HeatSignal::Hot(value) => (true, HeatReason::Hot(value)),
        HeatSignal::Between(value) if status.on => (true, HeatReason::Hot(value)),
        HeatSignal::Between(value) | HeatSignal::Over(value) => (false, HeatReason::Over(value)),
        HeatSignal::Unknown if rule.assume == AssumedHeat::Hot => (true, HeatReason::AssumedHot),
        HeatSignal::Unknown => (false, HeatReason::NoReading),
    };
    let since_ms = out.unwrap_or(at_ms);
    let (until_ms, _) = HeatStatus::natural_end(rule, since_ms)?;
    switch_to(on, reason, if on { until_ms } else { 0 })
}
