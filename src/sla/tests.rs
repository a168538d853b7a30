//! Tests of utility, return, deadline shares and admission, by worked cases.

use super::*;
use crate::jobs::tests::spec;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn utility_and_return_fall_with_the_delay() {
    // (name, estimate, due, cpus, finish, utility, return)
    let cases = [
        ("on time", 100.0, Some(200.0), 2.0, 150.0, 2000.0, 0.1),
        ("at the deadline", 100.0, Some(200.0), 2.0, 200.0, 2000.0, 0.1),
        ("late by half", 100.0, Some(200.0), 2.0, 300.0, 1000.0, 0.05),
        ("utility at zero", 100.0, Some(200.0), 2.0, 400.0, 0.0, 0.0),
        ("utility below zero", 100.0, Some(200.0), 2.0, 600.0, -2000.0, 0.0),
        ("no deadline", 100.0, None, 2.0, 400.0, 2000.0, 0.05),
        ("estimate of zero", 0.0, Some(10.0), 1.0, 5.0, 10.0, 1.0),
    ];
    for (name, estimate, due, cpus, finish, utility, task_return) in cases {
        let mut job = spec();
        (job.cpus, job.due_s) = (cpus, due);
        let agreement = Agreement::of(&job, s(estimate), 4.0);
        assert!((agreement.utility(s(finish)) - utility).abs() < 1e-6, "{name}: {agreement:?}");
        assert!((agreement.task_return(s(finish)) - task_return).abs() < 1e-9, "{name}");
    }
}

#[test]
fn shares_are_clamped_and_overrun_tasks_keep_remaining_time() {
    // (name, remaining run time, remaining deadline, cores, share)
    let cases = [
        ("deadline twice the run time", 50.0, 100.0, 4.0, 2.0),
        ("deadline before the run time ends", 50.0, 10.0, 4.0, 4.0),
        ("deadline has passed", 50.0, 0.0, 4.0, 4.0),
    ];
    for (name, run_time, deadline, cores, want) in cases {
        assert!((deadline_share(s(run_time), s(deadline), cores) - want).abs() < 1e-9, "{name}");
    }
    // (name, estimate, elapsed, remaining run time)
    for (name, estimate, elapsed, want) in [
        ("not started", 100.0, 0.0, 100.0),
        ("running", 100.0, 60.0, 40.0),
        ("estimate overrun", 100.0, 140.0, 70.0),
        ("no estimate", 0.0, 0.0, 1.0),
    ] {
        assert_eq!(remaining_run_time(s(estimate), s(elapsed)), s(want), "{name}");
    }
}

#[test]
fn admission_keeps_shares_and_return_and_hard_jobs_become_soft_when_late() {
    let load = Load { share: 6.0, total_return: 1.0 };
    // (name, share, return of the task, new return of the machine)
    for (name, share, task_return, want) in [
        ("fits", 2.0, 0.5, Some(1.5)),
        ("sum of shares above the cores", 2.5, 0.5, None),
        ("zero return is admitted anywhere", 9.0, 0.0, Some(1.0)),
        ("return would fall", 1.0, -0.5, None),
    ] {
        assert_eq!(admit(load, 8.0, share, task_return), want, "{name}");
    }
    let mut job = spec();
    job.due_s = Some(100.0);
    let agreement = Agreement::of(&job, s(60.0), 4.0);
    assert!(agreement.can_meet_hard_deadline(s(40.0)));
    assert!(!agreement.can_meet_hard_deadline(s(41.0)), "a hard job that cannot meet its deadline becomes soft");
}
