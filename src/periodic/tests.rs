use std::time::{Duration, Instant};

use super::Periodic;

const INTERVAL: Duration = Duration::from_secs(2);

#[test]
fn step_is_due_again_after_its_interval() {
    let now = Instant::now();
    let mut step = Periodic::due_at_once(INTERVAL, now);
    assert!(step.take_due(now));
    assert!(!step.take_due(now + INTERVAL / 2));
    assert!(step.take_due(now + INTERVAL));
    assert!(!Periodic::due_after_interval(INTERVAL, now).is_due(now));
}

#[test]
fn longer_pause_delays_step_and_shorter_one_does_not() {
    let now = Instant::now();
    let mut step = Periodic::due_at_once(INTERVAL, now);
    step.restart_after(now, INTERVAL * 3);
    assert!(!step.is_due(now + INTERVAL * 2) && step.is_due(now + INTERVAL * 3));
    step.restart_after(now, INTERVAL / 2);
    assert!(!step.is_due(now + INTERVAL / 2) && step.is_due(now + INTERVAL));
}
