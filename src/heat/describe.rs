//! Human-readable descriptions of heat rules and readings for operators.

use chrono::{DateTime, FixedOffset};

use super::backlog::Backlog;
use super::decide::HeatStatus;
use super::readings::Reading;
use super::rule::HeatRule;

/// Formats a stored Unix time in the rule's offset from UTC.
fn format_time(rule: &HeatRule, at_ms: u64) -> String {
    let offset = rule.offset_min.checked_mul(60).and_then(FixedOffset::east_opt);
    let at = i64::try_from(at_ms).ok().and_then(DateTime::from_timestamp_millis);
    match (at, offset) {
        (Some(at), Some(offset)) => at.with_timezone(&offset).format("%Y-%m-%d %H:%M:%S %:z").to_string(),
        _ => format!("{at_ms} ms"),
    }
}

/// Describes a rule's state with its reason, its backlog and its most recent changes, newest first.
pub fn describe_rule(rule: &HeatRule, status: &HeatStatus, now_ms: u64) -> Vec<String> {
    let mut lines = vec![describe_state(rule, status, now_ms)];
    lines.extend(status.backlog.as_ref().map(|backlog| describe_backlog(rule, backlog)));
    lines.extend(status.history.iter().rev().map(|change| {
        let state = if change.on { "on" } else { "off" };
        format!("{} {state}: {} (epoch {})", format_time(rule, change.at_ms), change.reason, change.fencing_token)
    }));
    lines
}

fn describe_state(rule: &HeatRule, status: &HeatStatus, now_ms: u64) -> String {
    let reason = status.reason;
    let since = || format_time(rule, status.since_ms);
    let until = || format_time(rule, status.until_ms);
    if status.applies_at(now_ms) {
        let max_core_share = rule.most_part;
        return format!(
            "on: {reason}; since {}, until {} at the latest; before others up to {max_core_share} of the cores",
            since(),
            until()
        );
    }
    if status.on {
        return format!("off: ended at {}; not written yet", until());
    }
    if status.since_ms > 0 { format!("off: {reason}; since {}", since()) } else { format!("off: {reason}") }
}

fn describe_backlog(rule: &HeatRule, backlog: &Backlog) -> String {
    let oldest = backlog.oldest.as_ref().map(|id| format!(", the oldest {id} for {} s", backlog.oldest_s));
    let as_of = format_time(rule, backlog.as_of_ms);
    format!("waiting as of {as_of}: {} jobs{}", backlog.jobs, oldest.unwrap_or_default())
}

/// Describes a reading by its value and age.
pub fn describe_reading(reading: &Reading, now_ms: u64) -> String {
    let age = match reading.age_ms(now_ms) {
        Some(age_ms) => format!("{} s ago", age_ms / 1000),
        None => "at a time ahead of this clock: it does not count".to_owned(),
    };
    format!("{}, read {age}", reading.value)
}
