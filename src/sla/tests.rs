use super::*;
use crate::jobs::tests::spec;

fn s(x: f64) -> Duration {
    Duration::from_secs_f64(x)
}

#[test]
fn utility_and_return_by_worked_cases() {
    // (name, estimate, due, cpus, finish, utility, return)
    let cases = [
        ("on time", 100.0, Some(200.0), 2.0, 150.0, 2000.0, 0.1),
        ("at the deadline", 100.0, Some(200.0), 2.0, 200.0, 2000.0, 0.1),
        ("late by half", 100.0, Some(200.0), 2.0, 300.0, 1000.0, 0.05),
        ("utility at zero", 100.0, Some(200.0), 2.0, 400.0, 0.0, 0.0),
        ("utility below zero", 100.0, Some(200.0), 2.0, 600.0, -2000.0, 0.0),
        ("no deadline", 100.0, None, 2.0, 400.0, 2000.0, 0.05),
        ("zero estimate", 0.0, Some(10.0), 1.0, 5.0, 10.0, 1.0),
    ];
    for (name, estimate, due, cpus, finish, utility, ret) in cases {
        let mut job = spec();
        (job.cpus, job.due_s) = (cpus, due);
        let a = Agreement::of(&job, s(estimate), 4.0);
        assert!((a.utility(s(finish)) - utility).abs() < 1e-6, "{name}: {a:?}");
        assert!((a.task_return(s(finish)) - ret).abs() < 1e-9, "{name}");
    }
}

#[test]
fn shares_and_remaining_by_worked_cases() {
    // (name, remaining, remaining deadline, cores, share)
    let cases = [
        ("half way", 50.0, 100.0, 4.0, 2.0),
        ("clamped", 50.0, 10.0, 4.0, 4.0),
        ("past its deadline", 50.0, 0.0, 4.0, 4.0),
    ];
    for (name, rest, left, cores, want) in cases {
        assert!((deadline_share(s(rest), s(left), cores) - want).abs() < 1e-9, "{name}");
    }
    for (name, estimate, ran, want) in [
        ("fresh", 100.0, 0.0, 100.0),
        ("under way", 100.0, 60.0, 40.0),
        ("overrun", 100.0, 140.0, 70.0),
        ("nothing known", 0.0, 0.0, 1.0),
    ] {
        assert_eq!(remaining_run_time(s(estimate), s(ran)), s(want), "{name}");
    }
}

#[test]
fn admission_and_reach() {
    let load = Load { share: 6.0, total_return: 1.0 };
    for (name, share, ret, want) in [
        ("fits", 2.0, 0.5, Some(1.5)),
        ("share sum exceeded", 2.5, 0.5, None),
        ("zero return goes anywhere", 9.0, 0.0, Some(1.0)),
        ("return would fall", 1.0, -0.5, None),
    ] {
        assert_eq!(admit(load, 8.0, share, ret), want, "{name}");
    }
    let mut job = spec();
    job.due_s = Some(100.0);
    let a = Agreement::of(&job, s(60.0), 4.0);
    assert!(a.can_meet_hard_deadline(s(40.0)));
    assert!(!a.can_meet_hard_deadline(s(41.0)), "a hard job past reach becomes soft");
}
