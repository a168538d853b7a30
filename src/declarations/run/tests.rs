use super::*;

/// Behind everything else, yet a leader that never has an idle moment stores what is declared.
#[test]
fn writes_go_once_a_second_and_do_not_starve() {
    let t = Instant::now();
    let at = |s: f64| t + Duration::from_secs_f64(s);
    let (idle, busy) = (
        |_: RequestPriority| 24,
        |priority: RequestPriority| if priority == RequestPriority::Placement { 3 } else { 0 },
    );
    let mut pacer = WritePacer::new(t);
    assert_eq!(pacer.allowed_writes(false, t, idle), 0);
    assert_eq!((pacer.allowed_writes(true, t, idle), pacer.mark_sent(t)), (24, RequestPriority::Background));
    assert_eq!(pacer.allowed_writes(true, at(0.9), idle), 0, "not within a second");
    assert_eq!(pacer.allowed_writes(true, at(1.0), busy), 0, "the others first");
    assert_eq!(pacer.allowed_writes(true, at(5.9), busy), 0);
    assert_eq!((pacer.allowed_writes(true, at(6.0), busy), pacer.mark_sent(at(6.0))), (3, RequestPriority::Placement));
    assert_eq!(pacer.allowed_writes(true, at(7.0), busy), 3, "until all that waits is through");
    assert_eq!(pacer.allowed_writes(true, at(7.0), |_| 0), 1, "however small the share");
    pacer.mark_settled();
    assert_eq!(pacer.allowed_writes(true, at(8.0), busy), 0);
}
