//! Tests of how often a leader releases its lease for takeover requests.

use super::*;

const LEASE: u64 = 7;

fn at(start: Instant, second: u64) -> Instant {
    start + Duration::from_secs(second)
}

/// The takeover request stays in the store, and no other controller takes the lease after its release: the leader used
/// to release it for the same request every few seconds.
#[test]
fn remaining_takeover_request_is_answered_once() {
    let start = Instant::now();
    let mut leadership_transfer = LeadershipTransfer::default();
    let mut transfers = 0;
    for second in 0..600 {
        if !leadership_transfer.backs_off(at(start, second))
            && leadership_transfer.start_if_due(40, LEASE, at(start, second))
        {
            transfers += 1;
            leadership_transfer.record_release(at(start, second));
        }
    }
    assert_eq!(transfers, 1);
}

/// New takeover requests arrive every 3 s while no other controller takes the lease: the leader releases it at most
/// once a minute and holds it in between.
#[test]
fn lasting_takeover_requests_cause_one_transfer_a_minute() {
    let start = Instant::now();
    let mut leadership_transfer = LeadershipTransfer::default();
    let (mut transfers, mut backed_off_s) = (Vec::new(), 0);
    for second in 0..180 {
        backed_off_s += usize::from(leadership_transfer.backs_off(at(start, second)));
        if leadership_transfer.start_if_due(40 + second / 3, LEASE, at(start, second)) {
            transfers.push(second);
            leadership_transfer.record_release(at(start, second));
        }
    }
    assert_eq!(transfers, [0, 60, 120]);
    assert!(backed_off_s <= 30, "{backed_off_s} s of 180 without the lease");
}

/// A release that isn't answered may have been applied: the controller doesn't campaign before the release is answered
/// and the back-off has passed.
#[test]
fn unanswered_release_is_retried_before_any_other_step() {
    let start = Instant::now();
    let mut leadership_transfer = LeadershipTransfer::default();
    assert!(!leadership_transfer.backs_off(start) && leadership_transfer.lease_to_release().is_none());
    assert!(leadership_transfer.start_if_due(40, LEASE, start));
    for second in 0..30 {
        assert_eq!(leadership_transfer.lease_to_release(), Some(LEASE));
        assert!(leadership_transfer.backs_off(at(start, second)), "at second {second}");
        assert!(!leadership_transfer.start_if_due(40, LEASE, at(start, second)), "at second {second}");
    }
    leadership_transfer.record_release(at(start, 30));
    assert!(leadership_transfer.lease_to_release().is_none());
    assert!(leadership_transfer.backs_off(at(start, 39)) && !leadership_transfer.backs_off(at(start, 40)));
}
