use super::verdict::{JobResult, summarize_largest};
use super::*;
use hollylanding_protocol::jobs::{Shape, Urgency};
use hollylanding_protocol::workers::{ExitCause, TaskKey};
use serde_json::json;

fn spec(id: &str) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "c".into(),
        team: "blue".into(),
        shape: Shape::Array,
        urgency: Urgency::Normal,
        tasks: 2,
        cpus: 2.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 0.1,
        types: Some(vec!["c8".into()]),
        zone: None,
        same_zone: true,
        spread: false,
        spot: false,
        estimate_s: 5.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        due_s: None,
    }
}

fn entry(at: f64, event: Event) -> Entry {
    Entry { at: Duration::from_secs_f64(at), event }
}

fn answered(at: f64, job: &str, ask: RequestKind, code: u16, status: Status) -> Entry {
    entry(at, Event::Answered { job: job.into(), ask, code: Some(code), status: Some(status) })
}

fn task(job: &str, index: u32) -> TaskKey {
    TaskKey { job: job.into(), index }
}

fn started(at: f64, job: &str, index: u32, attempt: u64, machine: &str) -> Entry {
    entry(at, Event::Machine(AttemptEvent::Started { task: task(job, index), attempt, machine: machine.into() }))
}

fn ended(at: f64, job: &str, index: u32, attempt: u64, machine: &str, cause: ExitCause) -> Entry {
    let task = task(job, index);
    entry(at, Event::Machine(AttemptEvent::Ended { task, attempt, machine: machine.into(), cause }))
}

fn lost(at: f64, index: u32, machine: &str) -> Entry {
    entry(at, Event::Machine(AttemptEvent::Lost { task: task("run-1", index), attempt: 1, machine: machine.into() }))
}

fn up(machine: &str, type_name: &str, zone: &str, spot: bool) -> Entry {
    let (machine, type_name, zone) = (machine.into(), type_name.into(), zone.into());
    entry(0.0, Event::Up { machine, type_name, zone, spot })
}

fn declared(kind: &str, status: Value) -> Entry {
    let spec = json!({"classes": ["vent"]});
    entry(60.5, Event::Declared { kind: kind.into(), name: "x".into(), spec, status })
}

fn terms() -> RuleParams {
    RuleParams {
        quotas: [("blue".to_owned(), (6.0, 0.0))].into(),
        cancellation_deadline: Duration::from_secs(20),
        capacity: vec![(vec!["run-1".into(), "run-3".into()], 2)],
        start_ms: 0,
    }
}

/// A history without violations: one job is completed although a machine is lost, and one is cancelled.
fn valid_history() -> Vec<Entry> {
    vec![
        up("m1", "c8", "a", false),
        up("m2", "c8", "a", false),
        up("m3", "c8", "b", false),
        up("m4", "c8", "a", true),
        up("m5", "g2", "a", false),
        entry(1.0, Event::Submitted(Arc::new(spec("run-1")))),
        entry(1.1, Event::Answered { job: "run-1".into(), ask: RequestKind::Submit, code: Some(503), status: None }),
        answered(2.0, "run-1", RequestKind::Submit, 201, Status::Pending),
        started(3.0, "run-1", 0, 1, "m1"),
        started(3.0, "run-1", 1, 1, "m2"),
        lost(3.5, 1, "m2"),
        started(4.0, "run-1", 1, 2, "m1"),
        answered(5.0, "run-1", RequestKind::Status, 200, Status::Running),
        ended(8.0, "run-1", 0, 1, "m1", ExitCause::Done),
        ended(9.0, "run-1", 1, 2, "m1", ExitCause::Done),
        answered(10.0, "run-1", RequestKind::Status, 200, Status::Done),
        entry(11.0, Event::Submitted(Arc::new(spec("run-2")))),
        answered(12.0, "run-2", RequestKind::Submit, 201, Status::Pending),
        started(13.0, "run-2", 0, 1, "m1"),
        entry(14.0, Event::CancellationAsked("run-2".into())),
        answered(15.0, "run-2", RequestKind::Cancel, 200, Status::Cancelled),
        ended(16.0, "run-2", 0, 1, "m1", ExitCause::Stopped),
        entry(17.0, Event::Answered { job: "run-9".into(), ask: RequestKind::Status, code: Some(404), status: None }),
        answered(60.0, "run-2", RequestKind::Status, 200, Status::Cancelled),
    ]
}

#[test]
fn valid_history_has_no_violations() {
    let verdict = judge(&valid_history(), &terms());
    assert!(verdict.is_clean(), "{:?}", verdict.violations);
    assert_eq!(
        verdict.summary_line(),
        "results: 2 of 2, each once; rules: none broken; largest: 1 of 1 done, 1 begun within 240 s"
    );
}

/// Violates each rule in a copy of the valid history, and checks that exactly this violation is found.
#[test]
fn violation_of_each_rule_is_found_and_no_other() {
    type Damage = fn(&mut Vec<Entry>);
    let rows: [(&str, Damage, Rule); 19] = [
        ("on two machines", |h| h.insert(10, started(3.2, "run-1", 1, 7, "m1")), Rule::RanTwice),
        ("above the quota", |h| (2..5).for_each(|n| h.insert(13, started(5.5, "run-1", n, 1, "m1"))), Rule::Quota),
        ("machine of another type", |h| h[8] = started(3.0, "run-1", 0, 1, "m5"), Rule::WrongPlace),
        ("spot machine", |h| h[8] = started(3.0, "run-1", 0, 1, "m4"), Rule::WrongPlace),
        ("two zones", |h| (h[9], h[10]) = (started(3.0, "run-1", 1, 1, "m3"), lost(3.5, 1, "m3")), Rule::WrongPlace),
        ("start after the cancellation deadline", |h| h.push(started(61.0, "run-2", 1, 1, "m1")), Rule::RanCancelled),
        ("end after the cancellation deadline", |h| drop(h.remove(21)), Rule::RanCancelled),
        (
            "accepted job answered with 404",
            |h| h[12] = answered(5.0, "run-1", RequestKind::Status, 404, Status::Pending),
            Rule::Forgotten,
        ),
        (
            "repeated submission refused",
            |h| h.push(answered(62.0, "run-1", RequestKind::Submit, 422, Status::Done)),
            Rule::Forgotten,
        ),
        (
            "unknown job answered",
            |h| h[22] = answered(17.0, "run-9", RequestKind::Status, 200, Status::Pending),
            Rule::Invented,
        ),
        (
            "done before its tasks",
            |h| h.insert(14, answered(8.5, "run-1", RequestKind::Status, 200, Status::Done)),
            Rule::NotDone,
        ),
        (
            "running after done",
            |h| h.push(answered(62.0, "run-1", RequestKind::Status, 200, Status::Running)),
            Rule::WentBack,
        ),
        ("cancelled without a request", |h| drop(h.remove(19)), Rule::WentBack),
        (
            "done after cancelled",
            |h| h[23] = answered(60.0, "run-2", RequestKind::Status, 200, Status::Done),
            Rule::WentBack,
        ),
        (
            "replica stopped with too few left",
            |h| h.insert(13, ended(5.5, "run-1", 0, 1, "m1", ExitCause::Stopped)),
            Rule::Gap,
        ),
        (
            "unanswered for 80 s after the faults",
            |h| {
                h.push(entry(61.0, Event::FaultsOver));
                (62..=142).step_by(5).for_each(|at| {
                    let (job, ask) = ("run-1".into(), RequestKind::Status);
                    h.push(entry(f64::from(at), Event::Answered { job, ask, code: Some(503), status: None }));
                });
            },
            Rule::Unanswered,
        ),
        (
            "window with two outcomes",
            |h| {
                ["met", "missed"].iter().for_each(|how| {
                    h.push(declared("window", json!({"last": {"day": 1, "outcome": how}})));
                })
            },
            Rule::Window,
        ),
        (
            "prioritized jobs wait while others start",
            |h| {
                h.insert(5, declared("heat", json!({"on": true})));
                let vents = JobSpec { class: "vent".into(), ..spec("run-3") };
                h.insert(6, entry(0.5, Event::Submitted(Arc::new(vents))));
                h.insert(7, answered(0.6, "run-3", RequestKind::Submit, 201, Status::Pending));
                (0..24).for_each(|n| {
                    h.push(started(61.0, "run-1", 9, 9 + n, "m1"));
                    h.push(ended(61.0, "run-1", 9, 9 + n, "m1", ExitCause::Error));
                });
            },
            Rule::Vents,
        ),
        ("no task started", |h| h.retain(|e| !matches!(e.event, Event::Machine(_))), Rule::NothingRan),
    ];
    for (name, damage, rule) in rows {
        let mut history = valid_history();
        damage(&mut history);
        let verdict = judge(&history, &terms());
        let found = verdict.first_violation(rule).unwrap_or_else(|| panic!("{name}: {:?}", verdict.violations));
        assert!(!found.what.is_empty(), "{name}");
        // A history in which no task ran also reports a job as done too early.
        assert!(rule == Rule::NothingRan || verdict.violations.iter().all(|b| b.rule == rule), "{name}: {verdict:?}");
        assert!(!verdict.is_clean());
    }
    assert_eq!(
        Rule::ALL.iter().filter(|r| rows.iter().any(|(_, _, rule)| rule == *r)).count(),
        13,
        "every rule must have a case"
    );
}

#[test]
fn job_without_answered_polls_is_forgotten_only_while_others_are_answered() {
    for (others, want) in [(Some(200), true), (None, false)] {
        let mut history = valid_history();
        for n in 0..50 {
            let at = 70.0 + f64::from(n) * 4.0;
            let answer = |job: &str, code| Event::Answered {
                job: job.into(),
                ask: RequestKind::Status,
                code,
                status: code.map(|_| Status::Done),
            };
            history.push(entry(at, answer("run-1", others)));
            history.push(entry(at, answer("run-2", None)));
        }
        let verdict = judge(&history, &terms());
        assert_eq!(verdict.first_violation(Rule::Forgotten).is_some(), want, "{others:?}");
    }
}

#[test]
fn largest_jobs_of_a_class_are_summarized() {
    type Row = (&'static [(u64, bool, bool)], (usize, usize, usize), bool);
    let rows: [Row; 4] = [
        (&[(3, true, true), (9, false, true), (3, true, true)], (1, 0, 1), false),
        (&[(9, true, true), (9, false, true), (3, false, false)], (2, 1, 2), true),
        (&[(9, true, false), (9, true, false), (3, true, true)], (2, 2, 0), false),
        (&[], (0, 0, 0), true),
    ];
    for (jobs, want, served) in rows {
        let results = jobs.iter().map(|(tasks, done, begun)| JobResult { tasks: *tasks, done: *done, begun: *begun });
        let largest = summarize_largest("c", results.collect());
        assert_eq!((largest.jobs, largest.done, largest.begun), want, "{jobs:?}");
        let verdict = Verdict { largest: vec![largest], ..Verdict::default() };
        assert_eq!(
            (verdict.is_clean(), verdict.summary_line().contains("under half: c")),
            (served, !served),
            "{jobs:?}"
        );
    }
}

#[test]
fn missing_result_is_counted_as_lost() {
    let mut history = valid_history();
    history.retain(|e| !matches!(&e.event, Event::Machine(AttemptEvent::Ended { attempt: 2, .. })));
    history.retain(|e| !matches!(&e.event, Event::Answered { status: Some(Status::Done), .. }));
    let verdict = judge(&history, &terms());
    assert_eq!((verdict.delivered, verdict.expected), (1, 2));
    assert_eq!(verdict.lost, [task("run-1", 1)]);
    assert!(!verdict.is_clean() && verdict.violations.is_empty());
}
