use super::*;

#[test]
fn whose_fault_by_cases() {
    let seen = |job_failed_on, job_does_well, task_failed_on, class_fails, machine_row| Observations {
        job_failed_machines: job_failed_on,
        job_succeeds: job_does_well,
        task_failed_machines: task_failed_on,
        class_faulty: class_fails,
        machine_failures: machine_row,
    };
    for (name, seen, want) in [
        ("a first failure", seen(1, false, 1, false, 1), Attribution::Unclear),
        ("many tasks of a new job on one machine", seen(1, false, 1, false, 1), Attribution::Unclear),
        ("a second machine", seen(2, false, 1, false, 1), Attribution::Unclear),
        ("a third machine", seen(3, false, 1, false, 1), Attribution::Job),
        ("a third machine, on which others have failed", seen(3, false, 1, false, 2), Attribution::Job),
        ("two jobs on one machine", seen(1, false, 1, false, 2), Attribution::Machine),
        ("a job that does well elsewhere, once", seen(1, true, 1, false, 1), Attribution::Unclear),
        ("a job that does well elsewhere, twice here", seen(1, true, 1, false, 2), Attribution::Machine),
        ("a bad task of a good array", seen(3, true, 3, false, 1), Attribution::Task),
        ("a bad task on a machine where another failed", seen(3, true, 3, false, 2), Attribution::Task),
        ("a good array on three faulty machines", seen(3, true, 1, false, 2), Attribution::Machine),
        ("the first failure of a job of a bad class", seen(1, false, 1, true, 1), Attribution::Job),
        ("a good job of a bad class", seen(1, true, 1, true, 2), Attribution::Machine),
    ] {
        assert_eq!(attribute_failure(seen, 2), want, "{name}");
    }
    let pauses: Vec<u64> = (0..6).map(|round| retry_pause(round, MAX_PROBE_TASKS).as_secs()).collect();
    assert_eq!(pauses, [5, 10, 20, 40, 60, 60]);
    assert_eq!(retry_pause(0, 16).as_secs(), 40, "a gang of sixteen costs eight times as much to try");
}

/// Feeds failures and ends on named machines: `x3@m1` fails, `+x3@m1` is done, `?x3@m1` fails while
/// the job runs well elsewhere. Gives the machines given up and the jobs suspected at the end.
fn simulate(steps: &str) -> (Vec<String>, Vec<String>) {
    let start = Instant::now();
    let mut attribution = FailureAttribution::default();
    let mut out = Vec::new();
    let mut jobs = std::collections::BTreeSet::new();
    for step in steps.split_whitespace() {
        let mark = step.chars().next().filter(|c| !c.is_alphanumeric());
        let (task, machine) = step.trim_start_matches(['+', '?']).split_once('@').unwrap();
        let (job, index) = task.split_at(1);
        let task = TaskKey { job: job.into(), index: index.parse().unwrap() };
        let machine: MachineId = machine.into();
        jobs.insert(job.to_owned());
        if mark == Some('+') {
            attribution.record_success(&task, job, &machine);
        } else {
            let failure = Failure {
                task: &task,
                class: job,
                machine: &machine,
                job_succeeds: mark == Some('?'),
                tasks_per_try: 1,
            };
            attribution.record_failure(&failure, 2, start);
        }
    }
    let decided = attribution.end_quarantines(2, start + QUARANTINE_TIME);
    out.extend(decided.into_iter().filter(|(_, out)| *out).map(|(id, _)| id.to_string()));
    out.sort();
    (out, jobs.into_iter().filter(|j| attribution.is_job_quarantined(&j.as_str().into())).collect())
}

#[test]
fn who_is_left_standing_by_cases() {
    let none: &[&str] = &[];
    let cases: [(&str, &str, &[&str], &[&str]); 10] = [
        ("a bad array floods one machine, then two more", "a0@m1 a1@m1 a2@m1 a3@m2 a4@m3", none, &["a"]),
        (
            "two bad jobs meet on one machine",
            "a0@m1 b0@m1 a0@m2 b0@m2 a0@m3 a1@m4 a2@m5 b0@m6 b1@m7 b2@m8",
            none,
            &["a", "b"],
        ),
        ("a faulty machine, single tasks", "a0@m1 b0@m1 +a0@m2 +b0@m3", &["m1"], none),
        ("a faulty machine, a job that runs elsewhere", "?a0@m1 ?a1@m1", &["m1"], none),
        ("a machine on which something was done since", "a0@m1 +c0@m1 b0@m1", none, none),
        ("one bad task among hundreds", "+a0@m1 ?a7@m1 ?a7@m2 ?a7@m3 ?a7@m4", none, none),
        ("a bad job and a faulty machine at once", "a0@m1 ?g0@m1 ?g1@m1 a0@m2 a0@m3 a0@m4", &["m1"], &["a"]),
        ("a bad gang on all its machines", "a0@m1 a1@m2 a2@m3 a3@m4 a4@m5 a5@m6", none, &["a"]),
        ("one success clears at once", "a0@m1 a0@m2 a0@m3 +a0@m4", none, none),
        ("failures that are mended before they convict", "a0@m1 a0@m2 +a1@m4 ?a2@m3", none, none),
    ];
    for (name, steps, out, quarantined) in cases {
        let got = simulate(steps);
        assert_eq!((got.0, got.1), (strings(out), strings(quarantined)), "{name}");
    }
}

fn strings(of: &[&str]) -> Vec<String> {
    of.iter().map(|s| (*s).to_owned()).collect()
}

/// A class of tiny jobs that all fail would take machine after machine for faulty, each job being new.
#[test]
fn a_bad_class_is_known_after_a_few_jobs() {
    let now = Instant::now();
    let mut attribution = FailureAttribution::default();
    let mut fail = |job: usize, machine: usize| {
        let task = TaskKey { job: format!("run-{job}").into(), index: 0 };
        let machine: MachineId = format!("m{machine}").into();
        let failure = Failure { task: &task, class: "tiny", machine: &machine, job_succeeds: false, tasks_per_try: 1 };
        attribution.record_failure(&failure, 2, now)
    };
    (0..3).for_each(|job| (0..3).for_each(|m| drop(fail(job, job * 3 + m))));
    for job in 10..60 {
        let response = fail(job, 50 + job / 10);
        assert!(response.job_not_before.is_some() && !response.machine_quarantined, "job {job}");
    }
    for job in 0..60 {
        attribution.forget_job(&format!("run-{job}").into());
    }
    assert_eq!(attribution.counts(), [0, 0, 0], "nothing is kept of what is over");
    assert!(attribution.machines.is_empty());
}

/// Failures of one round are one pause, or a large array would wait a minute after its first try.
#[test]
fn a_round_of_failures_is_one_pause() {
    let now = Instant::now();
    let mut attribution = FailureAttribution::default();
    let mut fail = |index: u32, at: Instant| {
        let task = TaskKey { job: "run-1".into(), index };
        let machine: MachineId = format!("m{index}").into();
        let failure = Failure { task: &task, class: "c", machine: &machine, job_succeeds: false, tasks_per_try: 1 };
        attribution.record_failure(&failure, 2, at).job_not_before
    };
    let pauses: Vec<_> = (0..100).map(|index| fail(index, now)).collect();
    assert_eq!((pauses[1], pauses[2], pauses[99]), (None, Some(now + MIN_RETRY_PAUSE), Some(now + MIN_RETRY_PAUSE)));
    let later = now + MIN_RETRY_PAUSE;
    assert_eq!(fail(200, later), Some(later + MIN_RETRY_PAUSE * 2));
    assert_eq!(fail(201, later), Some(later + MIN_RETRY_PAUSE * 2));
}
