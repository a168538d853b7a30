//! What the judge takes for the moment from which a cancelled job's tasks must be gone.

#![allow(clippy::unwrap_used, clippy::too_many_lines)]

use std::sync::Arc;
use std::time::Duration;

use hollylanding_emulator::judge::{Ask, Entry, Event, Rule, Terms, judge};
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

fn answer(ask: Ask, status: Option<Status>) -> Event {
    Event::Answered { job: "run-1".into(), ask, code: Some(if status.is_some() { 200 } else { 503 }), status }
}

/// Whether `ran_cancelled` is found where the only task, started at 2 s, leaves its machine at this second.
fn found(answers: &[(u64, Ask, Option<Status>)], gone: u64) -> bool {
    let task = TaskKey { job: "run-1".into(), index: 0 };
    let mut history = vec![
        (0, Event::Submitted(Arc::new(spec()))),
        (1, answer(Ask::Submit, Some(Status::Pending))),
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
    let verdict = judge(&history, &Terms { cancellation_deadline: Duration::from_secs(20), ..Terms::default() });
    assert!(verdict.breaks.iter().all(|b| b.rule == Rule::RanCancelled), "{:?}", verdict.breaks);
    !verdict.breaks.is_empty()
}

#[test]
fn a_cancellation_counts_from_the_first_time_that_any_user_heard_of_it_by_any_path() {
    use Ask::{Cancel, Status as LookUp, Submit};
    let heard = Some(Status::Cancelled);
    type Row = (&'static str, &'static [(u64, Ask, Option<Status>)]);
    let rows: [Row; 5] = [
        ("the withdrawal", &[(6, Cancel, Some(Status::Cancelled)), (20, Cancel, Some(Status::Cancelled))]),
        (
            "its retry, after a refusal",
            &[(5, Cancel, None), (6, Cancel, Some(Status::Cancelled)), (20, LookUp, Some(Status::Cancelled))],
        ),
        ("a look-up", &[(6, LookUp, Some(Status::Cancelled)), (20, Cancel, Some(Status::Cancelled))]),
        ("a repeated submission", &[(6, Submit, Some(Status::Cancelled)), (20, Cancel, Some(Status::Cancelled))]),
        (
            "a look-up while the withdrawal is refused",
            &[
                (5, Cancel, None),
                (6, LookUp, Some(Status::Cancelled)),
                (7, Cancel, None),
                (20, LookUp, Some(Status::Cancelled)),
            ],
        ),
    ];
    for (path, answers) in rows {
        assert!(!found(answers, 26), "{path}: gone in time");
        assert!(found(answers, 27), "{path}: gone too late");
    }
    assert!(!found(&[(5, Cancel, None), (30, LookUp, Some(Status::Running)), (40, LookUp, heard)], 45), "unheard");
}
