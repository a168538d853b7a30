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
    let mut yielding = Yielding::default();
    let mut yields = 0;
    for second in 0..600 {
        if !yielding.stands_back(at(start, second)) && yielding.begins(40, LEASE, at(start, second)) {
            yields += 1;
            yielding.released(at(start, second));
        }
    }
    assert_eq!(yields, 1);
}

/// Takeover requests go on every 3 s while nobody else holds the lease: a yield a minute at the most, and the election
/// lease is held between.
#[test]
fn takeover_requests_that_go_on_cost_a_yield_a_minute() {
    let start = Instant::now();
    let mut yielding = Yielding::default();
    let (mut yields, mut away) = (Vec::new(), 0);
    for second in 0..180 {
        away += usize::from(yielding.stands_back(at(start, second)));
        if yielding.begins(40 + second / 3, LEASE, at(start, second)) {
            yields.push(second);
            yielding.released(at(start, second));
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
    let mut yielding = Yielding::default();
    assert!(!yielding.stands_back(start) && yielding.to_release().is_none());
    assert!(yielding.begins(40, LEASE, start));
    for second in 0..30 {
        assert_eq!(yielding.to_release(), Some(LEASE));
        assert!(yielding.stands_back(at(start, second)), "{second}");
        assert!(!yielding.begins(40, LEASE, at(start, second)), "{second}");
    }
    yielding.released(at(start, 30));
    assert!(yielding.to_release().is_none());
    assert!(yielding.stands_back(at(start, 39)) && !yielding.stands_back(at(start, 40)));
}
