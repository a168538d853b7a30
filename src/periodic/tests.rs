use std::time::{Duration, Instant};

use super::Periodic;

const EVERY: Duration = Duration::from_secs(2);

#[test]
fn step_is_due_again_after_its_interval() {
    let now = Instant::now();
    let mut step = Periodic::due_at_once(EVERY, now);
    assert!(step.take_due(now));
    assert!(!step.take_due(now + EVERY / 2));
    assert!(step.take_due(now + EVERY));
    assert!(!Periodic::due_after_interval(EVERY, now).is_due(now));
}

#[test]
fn longer_pause_delays_step_and_shorter_one_does_not() {
    let now = Instant::now();
    let mut step = Periodic::due_at_once(EVERY, now);
    step.restart_after(now, EVERY * 3);
    assert!(!step.is_due(now + EVERY * 2) && step.is_due(now + EVERY * 3));
    step.restart_after(now, EVERY / 2);
    assert!(!step.is_due(now + EVERY / 2) && step.is_due(now + EVERY));
}
