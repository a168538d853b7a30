use super::*;

/// Behind everything else, yet a leader that never has an idle moment stores what is declared.
#[test]
fn one_transaction_a_second_and_none_waits_for_ever() {
    let t = Instant::now();
    let at = |s: f64| t + Duration::from_secs_f64(s);
    let (idle, busy) =
        (|_: RequestPriority| 24, |urgent: RequestPriority| if urgent == RequestPriority::Placement { 3 } else { 0 });
    let mut pace = WritePacer::new(t);
    assert_eq!(pace.most(false, t, idle), 0);
    assert_eq!((pace.most(true, t, idle), pace.sent(t)), (24, RequestPriority::Background));
    assert_eq!(pace.most(true, at(0.9), idle), 0, "not within a second");
    assert_eq!(pace.most(true, at(1.0), busy), 0, "the others first");
    assert_eq!(pace.most(true, at(5.9), busy), 0);
    assert_eq!((pace.most(true, at(6.0), busy), pace.sent(at(6.0))), (3, RequestPriority::Placement));
    assert_eq!(pace.most(true, at(7.0), busy), 3, "until all that waits is through");
    assert_eq!(pace.most(true, at(7.0), |_| 0), 1, "however small the share");
    pace.settled();
    assert_eq!(pace.most(true, at(8.0), busy), 0);
}
