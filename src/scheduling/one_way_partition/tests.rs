use super::*;
use crate::protocol::workers::{AttemptReport, AttemptStatus};

const LEASE: Duration = Duration::from_secs(24);

#[test]
fn who_hears_by_cases() {
    let s = Duration::from_secs;
    for (name, unacknowledged, expired_leases, for_, many, want) in [
        ("nothing speaks against it", 0, 0, s(0), false, InboundVerdict::Reached),
        ("a lease lost long ago, and well since", 0, 1, s(0), false, InboundVerdict::Reached),
        ("a lost answer", 1, 0, s(3), false, InboundVerdict::Unclear),
        ("two, and a lease, as after a short cut", 2, 1, s(30), false, InboundVerdict::Unclear),
        ("three in a row", 3, 0, s(10), false, InboundVerdict::InboundLost),
        ("a lease that ended while it was answered", 4, 1, s(0), false, InboundVerdict::InboundLost),
        ("a second one", 8, 2, s(24), false, InboundVerdict::GivenUp),
        ("too long, though its lease was not seen to end", 5, 0, s(51), false, InboundVerdict::GivenUp),
        ("many, however long", 40, 9, s(600), true, InboundVerdict::InboundLost),
    ] {
        assert_eq!(
            inbound_verdict(
                PartitionEvidence { unacknowledged, expired_leases, unacknowledged_for: for_, many_affected: many },
                LEASE
            ),
            want,
            "{name}"
        );
    }
}

/// Feeds messages to and answers of one leader with fencing token 7, as (seconds, what): `r` a heartbeat, `R` one of
/// the next agent epoch, `c` the reply to a command, `o` a copy that changes nothing; `+l` and `+t` answer it with a
/// launch and to a worker that does not know the fencing token, `+` without either; `l` and `t` show them.
fn simulate(steps: &[(f64, &str)]) -> (u32, u32) {
    let start = Instant::now();
    let mut one_way_partition = PartitionDetector::new(start);
    let task = TaskKey { job: "run-1".into(), index: 0 };
    let (mut agent_epoch, mut seq) = (1, 0);
    for (at, what) in steps {
        let now = start + Duration::from_secs_f64(*at);
        let (message, answer) = what.split_once('+').map_or((*what, None), |(m, a)| (m, Some(a)));
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
        let via = if message.starts_with('c') { MessageKind::CommandReply } else { MessageKind::Heartbeat };
        if !message.starts_with('o') {
            one_way_partition.record_message(&heartbeat, via, LEASE, now);
        }
        if let Some(answer) = answer {
            let launch = [WorkerCommand::Launch { task: task.clone(), attempt: 1 }];
            let orders: &[WorkerCommand] = if answer.contains('l') { &launch } else { &[] };
            one_way_partition.record_answer(7, if answer.contains('t') { 3 } else { 7 }, orders, now);
        }
    }
    let evidence = one_way_partition.evidence(false, start);
    (evidence.unacknowledged, evidence.expired_leases)
}

#[test]
fn what_speaks_against_a_machine_by_cases() {
    type Case<'a> = (&'a str, &'a [(f64, &'a str)], (u32, u32));
    let cases: [Case; 13] = [
        ("well", &[(0.0, "r+l"), (3.0, "rl+"), (6.0, "rl+")], (0, 0)),
        ("nothing to show, nothing to tell", &[(0.0, "r+"), (5.0, "r+"), (10.0, "r+")], (0, 0)),
        ("launches without effect", &[(0.0, "r+l"), (5.0, "r+l"), (10.0, "r+l"), (15.0, "r+l")], (3, 0)),
        ("a token it never learns", &[(0.0, "r+t"), (5.0, "r+t"), (10.0, "r+t"), (15.0, "r+t")], (3, 0)),
        ("it learns it after all", &[(0.0, "r+t"), (5.0, "r+t"), (10.0, "r+t"), (15.0, "rt+")], (0, 0)),
        ("one of two is enough", &[(0.0, "r+lt"), (5.0, "r+lt"), (10.0, "rt+l")], (0, 0)),
        (
            "a lease ends though it is answered",
            &[(0.0, "r+"), (5.0, "r+"), (10.0, "r+"), (15.0, "r+"), (20.0, "r+"), (25.0, "R+")],
            (4, 1),
        ),
        ("a lease ends while it hangs", &[(0.0, "r+"), (3.0, "r+"), (28.0, "R+")], (0, 0)),
        (
            "reports held back by a cut come in a burst, then the next session",
            &[(0.0, "r+"), (35.0, "r+"), (35.0, "r+"), (35.1, "r+"), (35.9, "R+")],
            (1, 1),
        ),
        (
            "a command reaches it",
            &[(0.0, "r+l"), (5.0, "r+l"), (10.0, "r+l"), (15.0, "r+l"), (16.0, "c"), (17.0, "r+")],
            (0, 0),
        ),
        (
            "its session lasts for more than a lease",
            &[(0.0, "r+l"), (5.0, "r+l"), (10.0, "r+l"), (15.0, "r+"), (28.0, "r+"), (32.0, "r+")],
            (0, 0),
        ),
        (
            "commands reach it, answers never",
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
        ("answers to old copies prove nothing", &[(0.0, "r+"), (1.0, "o+l"), (2.0, "o+l"), (9.0, "r+")], (0, 0)),
    ];
    for (name, steps, want) in cases {
        assert_eq!(simulate(steps), want, "{name}");
    }
}
