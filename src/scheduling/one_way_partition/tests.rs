use super::*;
use crate::protocol::workers::{AttemptReport, AttemptStatus};

const LEASE: Duration = Duration::from_secs(24);

#[test]
fn verdict_follows_from_unacknowledged_answers_and_expired_leases() {
    let s = Duration::from_secs;
    for (name, unacknowledged, expired_leases, unacknowledged_for, many_affected, want) in [
        ("no evidence", 0, 0, s(0), false, InboundVerdict::Reached),
        ("one expired lease, acknowledged since", 0, 1, s(0), false, InboundVerdict::Reached),
        ("one unacknowledged answer", 1, 0, s(3), false, InboundVerdict::Unclear),
        (
            "two unacknowledged answers and an expired lease, as after a short outage",
            2,
            1,
            s(30),
            false,
            InboundVerdict::Unclear,
        ),
        ("three unacknowledged answers in a row", 3, 0, s(10), false, InboundVerdict::InboundLost),
        ("lease expired while heartbeats were answered", 4, 1, s(0), false, InboundVerdict::InboundLost),
        ("second expired lease", 8, 2, s(24), false, InboundVerdict::GivenUp),
        ("unacknowledged too long, no lease seen to expire", 5, 0, s(51), false, InboundVerdict::GivenUp),
        ("many machines affected, however long", 40, 9, s(600), true, InboundVerdict::InboundLost),
    ] {
        assert_eq!(
            inbound_verdict(
                PartitionEvidence { unacknowledged, expired_leases, unacknowledged_for, many_affected },
                LEASE
            ),
            want,
            "{name}"
        );
    }
}

/// Runs messages and answers of one leader with fencing token 7 through a detector, given as (seconds, step). `r` is a
/// heartbeat, `R` one of the next agent epoch, `c` a reply to a command, `o` an old copy, which is not recorded. `+` is
/// followed by the answer: `l` launches a task, `t` goes to a worker that does not know the fencing token. In a
/// message, `l` reports the launch and `t` the fencing token. Returns the unacknowledged answers and the expired
/// leases.
fn simulate(steps: &[(f64, &str)]) -> (u32, u32) {
    let start = Instant::now();
    let mut detector = PartitionDetector::new(start);
    let task = TaskKey { job: "run-1".into(), index: 0 };
    let (mut agent_epoch, mut seq) = (1, 0);
    for (at_s, step) in steps {
        let now = start + Duration::from_secs_f64(*at_s);
        let (message, answer) = step.split_once('+').map_or((*step, None), |(m, a)| (m, Some(a)));
        agent_epoch += u64::from(message.starts_with('R'));
        seq += 1;
        let attempt_report =
            AttemptReport { task: task.clone(), attempt: 1, status: AttemptStatus::Fetching, cause: None, saved: None };
        let heartbeat = Heartbeat {
            machine: "m".into(),
            addr: "127.0.0.1:9".into(),
            type_name: "t".into(),
            zone: "a".into(),
            spot: false,
            agent_epoch,
            seq,
            fencing_token: if message.contains('t') { 7 } else { 3 },
            notice_s: None,
            attempts: if message.contains('l') { vec![attempt_report] } else { Vec::new() },
        };
        let kind = if message.starts_with('c') { MessageKind::CommandReply } else { MessageKind::Heartbeat };
        if !message.starts_with('o') {
            detector.record_message(&heartbeat, kind, LEASE, now);
        }
        if let Some(answer) = answer {
            let launch = [WorkerCommand::Launch { task: task.clone(), attempt: 1 }];
            let commands: &[WorkerCommand] = if answer.contains('l') { &launch } else { &[] };
            detector.record_answer(7, if answer.contains('t') { 3 } else { 7 }, commands, now);
        }
    }
    let evidence = detector.evidence(false, start);
    (evidence.unacknowledged, evidence.expired_leases)
}

#[test]
fn evidence_counts_answers_and_leases_that_had_no_effect() {
    type Case<'a> = (&'a str, &'a [(f64, &'a str)], (u32, u32));
    let cases: [Case; 13] = [
        ("launch reported", &[(0.0, "r+l"), (3.0, "rl+"), (6.0, "rl+")], (0, 0)),
        ("answers without expected effect", &[(0.0, "r+"), (5.0, "r+"), (10.0, "r+")], (0, 0)),
        ("launches never reported", &[(0.0, "r+l"), (5.0, "r+l"), (10.0, "r+l"), (15.0, "r+l")], (3, 0)),
        ("fencing token never learned", &[(0.0, "r+t"), (5.0, "r+t"), (10.0, "r+t"), (15.0, "r+t")], (3, 0)),
        ("fencing token learned at last", &[(0.0, "r+t"), (5.0, "r+t"), (10.0, "r+t"), (15.0, "rt+")], (0, 0)),
        ("one of two expected effects suffices", &[(0.0, "r+lt"), (5.0, "r+lt"), (10.0, "rt+l")], (0, 0)),
        (
            "lease expires while heartbeats are answered",
            &[(0.0, "r+"), (5.0, "r+"), (10.0, "r+"), (15.0, "r+"), (20.0, "r+"), (25.0, "R+")],
            (4, 1),
        ),
        ("lease expires while the worker hangs", &[(0.0, "r+"), (3.0, "r+"), (28.0, "R+")], (0, 0)),
        (
            "heartbeats delayed by an outage arrive in a burst, then the next epoch",
            &[(0.0, "r+"), (35.0, "r+"), (35.0, "r+"), (35.1, "r+"), (35.9, "R+")],
            (1, 1),
        ),
        (
            "command reply received",
            &[(0.0, "r+l"), (5.0, "r+l"), (10.0, "r+l"), (15.0, "r+l"), (16.0, "c"), (17.0, "r+")],
            (0, 0),
        ),
        (
            "epoch lasts longer than a lease",
            &[(0.0, "r+l"), (5.0, "r+l"), (10.0, "r+l"), (15.0, "r+"), (28.0, "r+"), (32.0, "r+")],
            (0, 0),
        ),
        (
            "commands arrive, answers never do",
            &[
                (0.0, "r+"),
                (9.0, "r+"),
                (20.0, "r+"),
                (25.0, "R+"),
                (26.0, "c"),
                (30.0, "r+"),
                (35.0, "r+"),
                (40.0, "r+"),
                (49.0, "R+"),
            ],
            (3, 2),
        ),
        ("answers to old copies are no evidence", &[(0.0, "r+"), (1.0, "o+l"), (2.0, "o+l"), (9.0, "r+")], (0, 0)),
    ];
    for (name, steps, want) in cases {
        assert_eq!(simulate(steps), want, "{name}");
    }
}
