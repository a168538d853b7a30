//! The moment from which the judge measures the cancellation deadline of a job.

#![allow(clippy::unwrap_used, clippy::too_many_lines)]

use std::sync::Arc;
use std::time::Duration;

use hollylanding_emulator::judge::{Entry, Event, RequestKind, Rule, RuleParams, judge};
use hollylanding_emulator::world::fleet::AttemptEvent;
use hollylanding_protocol::jobs::JobSpec;
use hollylanding_protocol::users::Status;
use hollylanding_protocol::workers::{ExitCause, TaskKey};
use serde_json::json;

fn spec() -> JobSpec {
    serde_json::from_value(json!({"uid": "run-1", "jobFamily": "c", "desk": "t", "shape": "sweep", "urgency": "normal",
        "legs": 1, "cpus": 1.0, "accelerators": 0.0, "memGb": 1.0, "kit": "i", "imageGb": 0.0, "samePlace": false,
        "scatter": false, "borrowed": true, "expectedS": 10.0, "milestoneS": 0.0, "stowS": 0.0}))
    .unwrap()
}

fn answer(ask: RequestKind, status: Option<Status>) -> Event {
    Event::Answered { job: "run-1".into(), ask, code: Some(if status.is_some() { 200 } else { 503 }), status }
}

/// Whether a violation of `ran_cancelled` is found if the only task, started at 2 s, leaves its machine at `gone` s.
fn violates_deadline(answers: &[(u64, RequestKind, Option<Status>)], gone: u64) -> bool {
    let task = TaskKey { job: "run-1".into(), index: 0 };
    let mut history = vec![
        (0, Event::Submitted(Arc::new(spec()))),
        (1, answer(RequestKind::Submit, Some(Status::Pending))),
        (2, Event::Machine(AttemptEvent::Started { task: task.clone(), attempt: 1, machine: "m".into() })),
        (5, Event::CancellationAsked("run-1".into())),
        (
            gone,
            Event::Machine(AttemptEvent::Ended { task, attempt: 1, machine: "m".into(), cause: ExitCause::Stopped }),
        ),
    ];
    history.extend(answers.iter().map(|(at, ask, status)| (*at, answer(*ask, *status))));
    history.sort_by_key(|(at, _)| *at);
    let history: Vec<Entry> =
        history.into_iter().map(|(at, event)| Entry { at: Duration::from_secs(at), event }).collect();
    let verdict =
        judge(&history, &RuleParams { cancellation_deadline: Duration::from_secs(20), ..RuleParams::default() });
    assert!(verdict.violations.iter().all(|b| b.rule == Rule::RanCancelled), "{:?}", verdict.violations);
    !verdict.violations.is_empty()
}

#[test]
fn cancellation_deadline_counts_from_the_first_response_that_reports_the_cancellation() {
    use RequestKind::{Cancel, Status as LookUp, Submit};
    let cancelled = Some(Status::Cancelled);
    type Row = (&'static str, &'static [(u64, RequestKind, Option<Status>)]);
    let rows: [Row; 5] = [
        ("cancellation request", &[(6, Cancel, Some(Status::Cancelled)), (20, Cancel, Some(Status::Cancelled))]),
        (
            "retry of a refused cancellation request",
            &[(5, Cancel, None), (6, Cancel, Some(Status::Cancelled)), (20, LookUp, Some(Status::Cancelled))],
        ),
        ("status query", &[(6, LookUp, Some(Status::Cancelled)), (20, Cancel, Some(Status::Cancelled))]),
        ("repeated submission", &[(6, Submit, Some(Status::Cancelled)), (20, Cancel, Some(Status::Cancelled))]),
        (
            "status query while the cancellation request is refused",
            &[
                (5, Cancel, None),
                (6, LookUp, Some(Status::Cancelled)),
                (7, Cancel, None),
                (20, LookUp, Some(Status::Cancelled)),
            ],
        ),
    ];
    for (path, answers) in rows {
        assert!(!violates_deadline(answers, 26), "{path}: the task ended in time");
        assert!(violates_deadline(answers, 27), "{path}: the task ended too late");
    }
    assert!(
        !violates_deadline(&[(5, Cancel, None), (30, LookUp, Some(Status::Running)), (40, LookUp, cancelled)], 45),
        "the deadline must not count before a response reports the cancellation"
    );
}
