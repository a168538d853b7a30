//! Tests of the limits that are learnt from refusals.

use serde_json::Value;

use super::*;
use crate::settings::AnnouncedLimits;

const SETTINGS: StateParams = StateParams { rps: 100.0, write_rps: 40.0, value_kb: 8.0, txn_ops: 24, next: None };

fn announcing(next: AnnouncedLimits) -> StateParams {
    StateParams { next: Some(next), ..SETTINGS }
}

/// The size of a transaction whose largest value takes so many bytes.
fn size(conditions: usize, changes: usize, largest_value_bytes: usize) -> TransactionSize {
    let largest_key = "t/run-1/00000".to_owned();
    TransactionSize { conditions, changes, largest_key, largest_value_bytes, value_bytes: largest_value_bytes }
}

/// The announced limits are taken to be in force at the first refusal, and not before: until then the present ones hold.
#[test]
fn announced_limits_are_in_force_from_the_first_refusal_on() {
    let next = AnnouncedLimits { rps: None, write_rps: Some(28.0), value_kb: Some(2.0), txn_ops: Some(8) };
    let mut tracker = LimitTracker::new(&announcing(next));
    assert_eq!(tracker.limits(), TransactionLimits { max_changes: 24, max_value_bytes: 8192 });
    assert_eq!(tracker.rates(), RequestRates { requests: 100.0, writes: 40.0 });
    assert!(tracker.adopt_announced());
    assert_eq!(tracker.limits(), TransactionLimits { max_changes: 8, max_value_bytes: 2048 });
    assert_eq!(tracker.rates(), RequestRates { requests: 100.0, writes: 28.0 });
    assert!(!tracker.limits().admits(&size(13, 9, 400)) && tracker.limits().admits(&size(32, 8, 2048)));
    assert!(!tracker.adopt_announced(), "announced once");
    tracker.lower_changes(5);
    assert!(tracker.lower_value_below(1500));
    assert_eq!(tracker.limits(), TransactionLimits { max_changes: 5, max_value_bytes: 1499 }, "lower than announced");
}

/// An announcement of higher limits changes nothing before they are in the settings.
#[test]
fn announced_limits_never_raise_the_present_ones() {
    let next = AnnouncedLimits { rps: Some(900.0), write_rps: Some(900.0), value_kb: Some(64.0), txn_ops: Some(99) };
    let mut tracker = LimitTracker::new(&announcing(next));
    tracker.adopt_announced();
    assert_eq!(tracker.rates(), RequestRates { requests: 100.0, writes: 40.0 });
    assert_eq!(tracker.limits(), TransactionLimits { max_changes: 24, max_value_bytes: 8192 });
}

/// Whatever is refused, no limit rises, and none falls so low that nothing could be stored any more.
#[test]
fn limits_only_fall_and_not_below_what_must_be_stored() {
    let mut tracker = LimitTracker::new(&SETTINGS);
    tracker.lower_changes(30);
    assert!(!tracker.lower_value_below(9000), "larger than the limit known before");
    assert!(!tracker.lower_value_below(900), "too small to be the reason");
    assert_eq!(tracker.limits(), TransactionLimits { max_changes: 24, max_value_bytes: 8192 });
    tracker.lower_changes(1);
    assert_eq!((tracker.limits().max_changes, tracker.limits().max_conditions()), (2, 8));
}

#[test]
fn fewer_changes_are_sent_at_once_for_a_while() {
    let (mut tracker, now) = (LimitTracker::new(&SETTINGS), Instant::now());
    tracker.halve_changes_at_once(24, now);
    assert_eq!((tracker.changes_at_once(now), tracker.limits().max_changes), (12, 24));
    assert_eq!(tracker.changes_at_once(now + REDUCTION_TIME), 24);
    tracker.halve_changes_at_once(1, now);
    assert_eq!(tracker.changes_at_once(now), 1);
}

#[test]
fn transactions_are_measured_by_changes_conditions_and_values() {
    let conditions = [Condition::absent("a"), Condition::absent("b")];
    let changes = [
        Change::write("a", Value::from("xy")),
        Change::write("b", Value::from("xyz")),
        Change::Drop { drop: "c".into() },
    ];
    let wanted = TransactionSize { largest_key: "b".into(), value_bytes: 9, ..size(2, 3, 5) };
    assert_eq!(TransactionSize::of(&conditions, &changes), wanted);
    assert_eq!(TransactionSize::of(&conditions, &[]).largest_key, "a");
}

/// Guards against the same bytes being sent again and again: what is known to be refused is not sent.
#[test]
fn transactions_are_held_back_once_they_are_known_to_be_refused() {
    let changes = vec![Change::Drop { drop: "c".into() }; 7];
    let mut tracker = LimitTracker::new(&SETTINGS);
    assert!(!tracker.is_too_large(&[], &changes));
    tracker.lower_changes(6);
    assert!(tracker.is_too_large(&[], &changes));
    assert!(!tracker.is_too_large(&[], &changes[..6]));
}
