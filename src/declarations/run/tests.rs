use super::*;

/// Status writes have the lowest priority. They still have to be stored by a leader whose background budget is always
/// used up.
#[test]
fn writes_are_sent_once_per_second_and_do_not_starve() {
    let t = Instant::now();
    let at = |s: f64| t + Duration::from_secs_f64(s);
    let (idle, busy) = (
        |_: RequestPriority| 24,
        |priority: RequestPriority| if priority == RequestPriority::Placement { 3 } else { 0 },
    );
    let mut pacer = WritePacer::new(t);
    assert_eq!(pacer.allowed_writes(false, t, idle), 0);
    assert_eq!((pacer.allowed_writes(true, t, idle), pacer.mark_sent(t)), (24, RequestPriority::Background));
    assert_eq!(pacer.allowed_writes(true, at(0.9), idle), 0, "at most one transaction per second");
    assert_eq!(pacer.allowed_writes(true, at(1.0), busy), 0, "the background budget is used up");
    assert_eq!(pacer.allowed_writes(true, at(5.9), busy), 0);
    assert_eq!((pacer.allowed_writes(true, at(6.0), busy), pacer.mark_sent(at(6.0))), (3, RequestPriority::Placement));
    assert_eq!(pacer.allowed_writes(true, at(7.0), busy), 3, "escalated until no write is waiting");
    assert_eq!(pacer.allowed_writes(true, at(7.0), |_| 0), 1, "at least one change with an exhausted budget");
    pacer.mark_settled();
    assert_eq!(pacer.allowed_writes(true, at(8.0), busy), 0);
}
