//! Tests of the removal of a lease holder's key that can't be decoded.

use super::*;

#[test]
fn undecodable_lease_holder_expires_after_one_lease_life() {
    let start = Instant::now();
    let second = Duration::from_secs;
    let mut unreadable = UnreadableLeaseHolder::default();
    for (at, version, want) in [
        (0, None, false),
        (1, Some(5), false),
        (3, Some(5), false),
        (4, Some(5), true),
        // A new version restarts the time.
        (5, Some(9), false),
        (7, Some(9), false),
        (8, Some(9), true),
        // Without an undecodable key the time restarts as well.
        (9, None, false),
        (10, Some(9), false),
        (12, Some(9), false),
    ] {
        assert_eq!(unreadable.is_expired(version, second(3), start + second(at)), want, "at {at} s");
    }
}
