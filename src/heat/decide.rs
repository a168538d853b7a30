//! Decision whether a heat rule applies: made by the leader, stored, and read by every controller.
//!
//! The decision is a function of the rule, the stored status, the readings and the wall clock. The stored time never
//! decreases from one change to the next, so a clock that steps back by less than a minute undoes no decision. A change
//! with a time further in the future than that was made with a wrong clock and is ignored.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::backlog::Backlog;
use super::readings::{MAX_CLOCK_SKEW_MS, Reading};
use super::rule::{AssumedHeat, HeatRule, HeatSignal};

/// Maximum number of changes kept in the status.
const MAX_HISTORY: usize = 8;

/// Why a rule is on or off.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HeatReason {
    /// No decision has been made yet.
    #[default]
    Undecided,
    /// The median rose above the upper threshold, or lies between the thresholds while the rule was already on.
    Hot(f64),
    /// The median fell below the lower threshold, or lies between the thresholds while the rule was off.
    Over(f64),
    /// The day is listed in the rule's `hot_days`.
    HotDay,
    /// There is no fresh reading, and the rule assumes heat in that case.
    AssumedHot,
    /// There is no fresh reading, and the rule assumes no heat in that case.
    NoReading,
    /// The time is outside the rule's active hours.
    Hours,
    /// The rule was on for its maximum duration (`longest_s`).
    RanOut,
    /// The stored time is further in the future than `MAX_CLOCK_SKEW_MS`.
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

/// Past change of a rule's state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeatChange {
    /// Whether the rule was switched on or off.
    pub on: bool,
    /// Reason for the change.
    #[serde(rename = "why")]
    pub reason: HeatReason,
    /// Fencing token of the leader that made the decision.
    #[serde(rename = "epoch")]
    pub fencing_token: u64,
    /// Time of the decision, in Unix milliseconds.
    pub at_ms: u64,
}

/// Status of a heat rule, as stored by the leader.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct HeatStatus {
    /// Whether the rule is switched on. Use `applies_at` to take its end into account.
    pub on: bool,
    /// Reason for the last change.
    #[serde(rename = "why")]
    pub reason: HeatReason,
    /// Fencing token of the leader that made the last change.
    #[serde(rename = "epoch")]
    pub fencing_token: u64,
    /// Time of the last change, in Unix milliseconds.
    pub since_ms: u64,
    /// Time at which a rule that is on switches off by itself, in Unix milliseconds; 0 while it is off.
    pub until_ms: u64,
    /// Start of the period that ended with `RanOut`, in Unix milliseconds. The rule stays off for the rest of those
    /// active hours.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ran_out_of_ms: Option<u64>,
    /// Most recent changes, oldest first.
    pub history: Vec<HeatChange>,
    /// Last reported backlog of the rule's jobs since it was switched on.
    #[serde(rename = "waits", skip_serializing_if = "Option::is_none")]
    pub backlog: Option<Backlog>,
}

impl HeatStatus {
    /// Returns whether the rule applies at the given time. The rule ends on time even if no leader can store the
    /// change.
    pub fn applies_at(&self, now_ms: u64) -> bool {
        self.on && now_ms < self.until_ms && self.since_ms <= now_ms.saturating_add(MAX_CLOCK_SKEW_MS)
    }

    fn change_to(&self, on: bool, reason: HeatReason, fencing_token: u64, at_ms: u64, until_ms: u64) -> Self {
        let mut next = Self { on, reason, fencing_token, since_ms: at_ms, until_ms, backlog: None, ..self.clone() };
        let excess = next.history.len().saturating_sub(MAX_HISTORY - 1);
        next.history.drain(..excess);
        next.history.push(HeatChange { on, reason, fencing_token, at_ms });
        next
    }

    /// Returns when and why a rule that is on switches off by itself: at the end of its active hours or after its
    /// maximum duration, whichever comes first.
    fn scheduled_end(rule: &HeatRule, since_ms: u64) -> Option<(u64, HeatReason)> {
        let hours = rule.hours_at(since_ms)?;
        let max_duration_end_ms = since_ms.saturating_add(rule.longest_ms());
        Some(if max_duration_end_ms < hours.end_ms {
            (max_duration_end_ms, HeatReason::RanOut)
        } else {
            (hours.end_ms, HeatReason::Hours)
        })
    }
}

/// Returns the next status of a rule, or `None` if the status stays as it is.
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
        // The end is computed from the current specification, which may have changed since the rule was switched on.
        let (until_ms, reason) = HeatStatus::scheduled_end(rule, status.since_ms).unwrap_or((at_ms, HeatReason::Hours));
        if at_ms >= until_ms {
            let mut ended = status.change_to(false, reason, fencing_token, at_ms, 0);
            ended.ran_out_of_ms = (reason == HeatReason::RanOut).then_some(status.since_ms);
            return Some(ended);
        }
        if until_ms != status.until_ms {
            return Some(HeatStatus { until_ms, ..status.clone() });
        }
    }
    let switch_if_changed = |on: bool, reason: HeatReason, until_ms: u64| {
        (on != status.on || (!on && status.reason == HeatReason::Undecided))
            .then(|| status.change_to(on, reason, fencing_token, at_ms, until_ms))
    };
    let Some(hours) = rule.hours_at(at_ms) else { return switch_if_changed(false, HeatReason::Hours, 0) };
    let ran_out_since_ms = status.ran_out_of_ms.filter(|since| (hours.begin_ms..=at_ms).contains(since));
    if ran_out_since_ms.is_some_and(|since| since.saturating_add(rule.longest_ms()) <= at_ms) {
        return switch_if_changed(false, HeatReason::RanOut, 0);
    }
    let (on, reason) = match rule.assess(&hours, readings, now_ms) {
        HeatSignal::HotDay => (true, HeatReason::HotDay),
        HeatSignal::Hot(value) => (true, HeatReason::Hot(value)),
        HeatSignal::Between(value) if status.on => (true, HeatReason::Hot(value)),
        HeatSignal::Between(value) | HeatSignal::Over(value) => (false, HeatReason::Over(value)),
        HeatSignal::Unknown if rule.assume == AssumedHeat::Hot => (true, HeatReason::AssumedHot),
        HeatSignal::Unknown => (false, HeatReason::NoReading),
    };
    let since_ms = ran_out_since_ms.unwrap_or(at_ms);
    let (until_ms, _) = HeatStatus::scheduled_end(rule, since_ms)?;
    switch_if_changed(on, reason, if on { until_ms } else { 0 })
}
