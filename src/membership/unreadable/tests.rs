use super::*;

#[test]
fn a_lease_holder_that_cannot_be_read_gets_its_lease_and_no_more() {
    let start = Instant::now();
    let second = Duration::from_secs;
    let mut unreadable = UnreadableLeaseHolder::default();
    for (at, version, want) in [
        (0, None, false),
        (1, Some(5), false),
        (3, Some(5), false),
        (4, Some(5), true),
        // Written anew: another time begins.
        (5, Some(9), false),
        (7, Some(9), false),
        (8, Some(9), true),
        // It was read meanwhile.
        (9, None, false),
        (10, Some(9), false),
        (12, Some(9), false),
    ] {
        assert_eq!(unreadable.expires(version, second(3), start + second(at)), want, "at {at}");
    }
}
