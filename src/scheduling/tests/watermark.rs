//! Up to where a leader tells cancellations: never past one that an earlier leader's machines may still run.

use super::*;
use crate::jobs::End;
use crate::jobs::record::StoredTask;

const FENCING_TOKEN: u64 = 50;

/// A successor whose store holds job 1 with a task on `m1`, bound by an earlier leader; ended, if it is, after revision
/// 40.
fn successor(ended: Option<End>, now: Instant) -> ClusterState {
    let mut cluster = ClusterState::new(FENCING_TOKEN, example(), Properties::default(), now);
    let mut job = spec();
    job.id = "run-000001".into();
    let record = Arc::new(JobRecord { spec: job, at_ms: time_of_day_ms() });
    cluster.load_job(record, vec![(0, 30, vec![StoredTask::Bound(1, "m1".into())])], now);
    if ended.is_some() {
        cluster.end_job(&"run-000001".into(), ended, now);
        cluster.set_ended_after(&"run-000001".into(), 40);
    }
    cluster.finish_load(now);
    cluster.record_known_ends(Some(60));
    cluster
}

fn says(cluster: &mut ClusterState, fencing_token: u64, seq: u64, now: Instant) {
    let attempt_report = AttemptReport {
        task: TaskKey { job: "run-000001".into(), index: 0 },
        attempt: 1,
        status: AttemptStatus::Running,
        cause: None,
        saved: None,
    };
    let heartbeat = Heartbeat { fencing_token, ..heartbeat("m1", "c8", "a", false, seq, vec![attempt_report]) };
    cluster.take_heartbeat(heartbeat, MessageKind::Heartbeat, None, now);
}

/// Found by reading: a successor told a cancellation as soon as it had loaded, and ended; machines that it had not
/// reached yet went on obeying the leader of before, and an outage longer than the time allowed let their tasks run on.
#[test]
fn what_an_earlier_leaders_machines_may_run_is_not_told_by_cases() {
    type Then = fn(&mut ClusterState, Instant);
    let cases: [(&str, Option<End>, Then, u64, bool); 9] = [
        ("withdrawn before, its machine not heard of", Some(End::Cancelled), |_, _| (), 40, false),
        (
            "only heard below this leader's token",
            Some(End::Cancelled),
            |b, now| says(b, FENCING_TOKEN - 1, 1, now),
            40,
            false,
        ),
        ("its machine has seen the token", Some(End::Cancelled), |b, now| says(b, FENCING_TOKEN, 1, now), 60, true),
        (
            "heard, and the token raised since",
            Some(End::Cancelled),
            |b, now| {
                says(b, FENCING_TOKEN, 1, now);
                b.raise_fencing_token(FENCING_TOKEN + 9);
            },
            60,
            true,
        ),
        ("its machine was returned", Some(End::Cancelled), |b, now| b.remove_machine(&"m1".into(), now), 60, true),
        ("done: nothing of it runs", Some(End::Done), |_, _| (), 60, false),
        ("open", None, |_, _| (), 60, false),
        (
            "withdrawn since, its machine not heard of",
            None,
            |b, now| {
                b.end_job(&"run-000001".into(), Some(End::Cancelled), now);
                b.record_known_ends(Some(70));
            },
            60,
            false,
        ),
        (
            "withdrawn since, its machine has seen the token",
            None,
            |b, now| {
                says(b, FENCING_TOKEN, 1, now);
                b.end_job(&"run-000001".into(), Some(End::Cancelled), now);
                b.record_known_ends(Some(70));
            },
            70,
            true,
        ),
    ];
    for (name, ended, then, want, obeyed) in cases {
        let now = Instant::now();
        let mut cluster = successor(ended, now);
        let before = cluster.advance_watermark();
        then(&mut cluster, now);
        assert_eq!(cluster.advance_watermark(), want, "{name}");
        assert_eq!(cluster.cancellation_effective(&"run-000001".into()), obeyed, "{name}");
        assert!(cluster.advance_watermark() >= before, "{name}: it went back");
    }
}

/// What one job waits for keeps back nothing that was stored before: else a stream of cancellations on machines that
/// cannot be reached would keep the first of them untold for as long as the stream lasts.
#[test]
fn one_that_waits_keeps_back_only_what_was_stored_since() {
    let now = Instant::now();
    let mut cluster = successor(None, now);
    add_job(&mut cluster, 2, now, |_| ());
    cluster.end_job(&"run-000002".into(), Some(End::Cancelled), now);
    cluster.record_known_ends(Some(65));
    assert_eq!(cluster.advance_watermark(), 65, "nothing of it was ever started");
    cluster.end_job(&"run-000001".into(), Some(End::Cancelled), now);
    cluster.record_known_ends(Some(90));
    assert_eq!(cluster.advance_watermark(), 65, "the one on the machine that was not heard of");
    says(&mut cluster, FENCING_TOKEN, 1, now);
    assert_eq!(cluster.advance_watermark(), 90);
}
