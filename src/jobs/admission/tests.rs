//! Tests of admission control.

use super::*;
use crate::jobs::tests::spec;

fn submission(class: &str, team: &str) -> JobSpec {
    let mut job = spec();
    (job.class, job.team) = (class.into(), team.into());
    job
}

#[test]
fn admission_depends_on_expected_wait_and_on_share_of_class_and_team() {
    let ms = Duration::from_millis;
    // (name, waiting submissions as (class, team, count), class and team of the next submission, its wait, admitted)
    type Case = (&'static str, &'static [(&'static str, &'static str, usize)], (&'static str, &'static str), u64, bool);
    let cases: [Case; 8] = [
        ("nothing waits", &[], ("a", "red"), 0, true),
        ("a flood with a short wait", &[("a", "red", 50)], ("a", "red"), 700, true),
        ("a flood without other classes", &[("a", "red", 50)], ("a", "red"), 900, false),
        ("another class and team beside a flood", &[("a", "red", 50)], ("b", "blue"), 900, true),
        ("the flood beside another class", &[("a", "red", 50), ("b", "blue", 2)], ("a", "red"), 900, false),
        ("another class of the team of the flood", &[("a", "red", 50), ("b", "blue", 2)], ("c", "red"), 900, false),
        (
            "equal shares, and a class that does not wait yet",
            &[("a", "red", 5), ("b", "blue", 5)],
            ("c", "green"),
            900,
            true,
        ),
        ("a wait above the maximum", &[("a", "red", 50)], ("b", "blue"), 1900, false),
    ];
    for (name, waiting, (class, team), wait, admitted) in cases {
        let now = Instant::now();
        let mut admission = Admission::new(now);
        for (class, team, count) in waiting {
            (0..*count).for_each(|_| admission.admit(&submission(class, team), ms(0), 10.0, 0.5, now).unwrap());
        }
        assert_eq!(admission.admit(&submission(class, team), ms(wait), 10.0, 0.5, now).is_ok(), admitted, "{name}");
    }
}

#[test]
fn retries_of_refused_submissions_are_spread_and_released_submissions_leave_no_counts() {
    let now = Instant::now();
    let mut admission = Admission::new(now);
    let long_wait = Duration::from_secs(3);
    let mut seconds: Vec<u64> = (0..200)
        .map(|n| admission.admit(&submission("a", "red"), long_wait, 10.0, f64::from(n % 20) / 19.0, now).unwrap_err())
        .collect();
    assert_eq!(seconds[0], 1, "a single refused submission retries soon");
    seconds.sort_unstable();
    seconds.dedup();
    assert_eq!(seconds, (1..=12).collect::<Vec<_>>(), "retries of a flood are spread over the allowed range");
    for _ in 0..100 {
        admission.admit(&submission("a", "red"), Duration::ZERO, 10.0, 0.0, now).unwrap();
    }
    (0..100).for_each(|_| admission.release(&submission("a", "red")));
    assert_eq!((admission.waiting_count(), admission.class_counts.len(), admission.team_counts.len()), (0, 0, 0));
}
