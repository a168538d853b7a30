use super::*;

const LEASE: u64 = 7;

fn at(start: Instant, second: u64) -> Instant {
    start + Duration::from_secs(second)
}

/// Nobody else holds the lease after a yield, and the takeover request stays: it was yielded to again every few
/// seconds, for ever.
#[test]
fn a_takeover_request_that_stays_is_answered_once() {
    let start = Instant::now();
    let mut leadership_transfer = LeadershipTransfer::default();
    let mut yields = 0;
    for second in 0..600 {
        if !leadership_transfer.stands_back(at(start, second))
            && leadership_transfer.begins(40, LEASE, at(start, second))
        {
            yields += 1;
            leadership_transfer.released(at(start, second));
        }
    }
    assert_eq!(yields, 1);
}

/// Takeover requests go on every 3 s while nobody else holds the lease: a yield a minute at the most, and the election
/// lease is held between.
#[test]
fn takeover_requests_that_go_on_cost_a_yield_a_minute() {
    let start = Instant::now();
    let mut leadership_transfer = LeadershipTransfer::default();
    let (mut yields, mut away) = (Vec::new(), 0);
    for second in 0..180 {
        away += usize::from(leadership_transfer.stands_back(at(start, second)));
        if leadership_transfer.begins(40 + second / 3, LEASE, at(start, second)) {
            yields.push(second);
            leadership_transfer.released(at(start, second));
        }
    }
    assert_eq!(yields, [0, 60, 120]);
    assert!(away <= 30, "{away} s of 180 without it");
}

/// A release without an answer may have been carried out: the election lease is not taken up again before an answer
/// and the time of the others after it.
#[test]
fn a_release_without_an_answer_is_asked_for_again_and_nothing_else() {
    let start = Instant::now();
    let mut leadership_transfer = LeadershipTransfer::default();
    assert!(!leadership_transfer.stands_back(start) && leadership_transfer.to_release().is_none());
    assert!(leadership_transfer.begins(40, LEASE, start));
    for second in 0..30 {
        assert_eq!(leadership_transfer.to_release(), Some(LEASE));
        assert!(leadership_transfer.stands_back(at(start, second)), "{second}");
        assert!(!leadership_transfer.begins(40, LEASE, at(start, second)), "{second}");
    }
    leadership_transfer.released(at(start, 30));
    assert!(leadership_transfer.to_release().is_none());
    assert!(leadership_transfer.stands_back(at(start, 39)) && !leadership_transfer.stands_back(at(start, 40)));
}
