//! Tests of what stored confirmations say of a cancellation.

use super::*;

fn confirmed(revision: u64, through: u64, held: &[&str]) -> ConfirmedCancellations {
    let held = held.iter().map(|id| JobId::from(*id)).collect();
    ConfirmedCancellations { watermark: Watermark { fencing_token: 5, revision }, through, held }
}

/// Guards against a cancellation that one controller reports and another one takes for unconfirmed, because the latter
/// knows only bounds of the revision at which it was stored.
#[test]
fn confirmation_is_told_only_from_bounds_that_decide_it() {
    use ConfirmationStatus::{Confirmed, Unconfirmed, Undetermined};
    let bounds = |after, at_most| RevisionBounds { after, at_most };
    for (name, stored, bounds, expected) in [
        ("stored at the last revision", confirmed(20, 30, &[]), RevisionBounds::exact(30), Confirmed),
        ("stored after it", confirmed(20, 30, &[]), RevisionBounds::exact(31), Unconfirmed),
        ("stored before or after it", confirmed(20, 30, &[]), bounds(10, 40), Undetermined),
        ("some time after it", confirmed(20, 30, &[]), bounds(30, 40), Unconfirmed),
        ("held", confirmed(20, 30, &["run-1"]), RevisionBounds::exact(25), Unconfirmed),
        ("held, stored at some time", confirmed(20, 30, &["run-1"]), bounds(0, 40), Unconfirmed),
        ("another one is held", confirmed(20, 30, &["run-2"]), RevisionBounds::exact(25), Confirmed),
        ("a build that stores the watermark alone", confirmed(20, 0, &[]), RevisionBounds::exact(20), Confirmed),
        ("above the watermark of such a build", confirmed(20, 0, &[]), RevisionBounds::exact(21), Unconfirmed),
    ] {
        assert_eq!(stored.status("run-1", bounds), expected, "{name}");
    }
}

/// Guards against a controller that takes a cancellation for unconfirmed although a leader of an earlier build has
/// confirmed it by messages alone, before or between leaders that store confirmations first.
#[test]
fn confirmations_count_as_stored_first_only_from_the_first_such_leader_in_a_row() {
    let record = |stored_confirmations| LeaderRecord {
        node: "a".into(),
        incarnation: "1".into(),
        teams: Vec::new(),
        stored_confirmations,
    };
    let earlier_build = record(None);
    assert_eq!(earlier_build.confirmations_stored_since(40), None);
    let mut replaced: Option<(LeaderRecord, u64)> = None;
    // Version of each leader record, whether its leader stores confirmations first, and since when they are.
    for (version, stores_first, expected) in [
        (40, false, None),
        (50, true, Some(50)),
        (60, true, Some(50)),
        (70, true, Some(50)),
        (80, false, None),
        (90, true, Some(90)),
    ] {
        let leader = record(stores_first.then(|| StoredConfirmations::after(replaced.as_ref())));
        assert_eq!(leader.confirmations_stored_since(version), expected, "{version}");
        replaced = Some((leader, version));
    }
    let first = record(Some(StoredConfirmations::after(None)));
    assert_eq!(first.confirmations_stored_since(7), Some(7), "without any leader before");
}
