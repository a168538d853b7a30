use super::*;
use crate::jobs::tests::spec;

fn of(class: &str, team: &str) -> JobSpec {
    let mut job = spec();
    (job.class, job.team) = (class.into(), team.into());
    job
}

#[test]
fn who_is_admitted_by_cases() {
    let ms = Duration::from_millis;
    // (name, who waits as (class, team, how many), who comes, wait, admitted)
    type Case = (&'static str, &'static [(&'static str, &'static str, usize)], (&'static str, &'static str), u64, bool);
    let cases: [Case; 8] = [
        ("nobody waits", &[], ("a", "red"), 0, true),
        ("a flood that is soon written", &[("a", "red", 50)], ("a", "red"), 700, true),
        ("a flood alone", &[("a", "red", 50)], ("a", "red"), 900, false),
        ("another class beside it", &[("a", "red", 50)], ("b", "blue"), 900, true),
        ("the flood beside another", &[("a", "red", 50), ("b", "blue", 2)], ("a", "red"), 900, false),
        ("another class of the flooding team", &[("a", "red", 50), ("b", "blue", 2)], ("c", "red"), 900, false),
        ("all alike and short", &[("a", "red", 5), ("b", "blue", 5)], ("c", "green"), 900, true),
        ("too late for anybody", &[("a", "red", 50)], ("b", "blue"), 1900, false),
    ];
    for (name, waiting, (class, team), wait, admitted) in cases {
        let now = Instant::now();
        let mut admission = Admission::new(now);
        for (class, team, n) in waiting {
            (0..*n).for_each(|_| admission.admit(&of(class, team), ms(0), 10.0, 0.5, now).unwrap());
        }
        assert_eq!(admission.admit(&of(class, team), ms(wait), 10.0, 0.5, now).is_ok(), admitted, "{name}");
    }
}

#[test]
fn the_refused_come_again_spread_out_and_nothing_is_left_behind() {
    let now = Instant::now();
    let mut admission = Admission::new(now);
    let late = Duration::from_secs(3);
    let mut seconds: Vec<u64> = (0..200)
        .map(|n| admission.admit(&of("a", "red"), late, 10.0, f64::from(n % 20) / 19.0, now).unwrap_err())
        .collect();
    assert_eq!(seconds[0], 1, "a single one comes soon");
    seconds.sort_unstable();
    seconds.dedup();
    assert_eq!(seconds, (1..=12).collect::<Vec<_>>(), "a flood spreads, within what users wait");
    for _ in 0..100 {
        admission.admit(&of("a", "red"), Duration::ZERO, 10.0, 0.0, now).unwrap();
    }
    (0..100).for_each(|_| admission.leave(&of("a", "red")));
    assert_eq!((admission.waiting(), admission.waiting.len(), admission.teams.len()), (0, 0, 0));
}
