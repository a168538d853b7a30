//! The cancellations that a leader confirms: up to a watermark, which never passes the cancellation of a task that an
//! earlier leader's machines may still run, and beyond it except for those that are held.

use super::*;
use crate::jobs::record::StoredTask;
use crate::jobs::{End, JobId};
use crate::records::leadership::{ConfirmationStatus, ConfirmedCancellations, Watermark};

const FENCING_TOKEN: u64 = 50;

/// Returns a successor whose store holds job 1 with a task that an earlier leader has bound to `m1`. If the job has
/// ended, it did so after revision 40.
fn successor(ended: Option<End>, now: Instant) -> ClusterState {
    let mut cluster = ClusterState::new(FENCING_TOKEN, example(), Properties::default(), now);
    let mut job = spec();
    job.id = "run-000001".into();
    let record = Arc::new(JobRecord { spec: job, accepted_ms: time_of_day_ms() });
    cluster.load_job(record, vec![(0, 30, vec![StoredTask::Bound(1, "m1".into())])], now);
    if ended.is_some() {
        cluster.end_job(&"run-000001".into(), ended, now);
        cluster.set_ended_after(&"run-000001".into(), 40);
    }
    cluster.finish_load(now);
    cluster.record_known_ends(Some(60));
    cluster
}

/// Delivers a heartbeat of `m1` that shows the task running.
fn report_running(cluster: &mut ClusterState, fencing_token: u64, seq: u64, now: Instant) {
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

/// Regression test for a fault found in review: a successor confirmed a cancellation as soon as it had loaded the store,
/// and failed. Machines that it had not reached went on obeying the earlier leader, and an outage longer than the
/// cancellation deadline let their tasks run on.
#[test]
fn cancellation_is_not_confirmed_while_an_earlier_leaders_machine_may_run_the_task() {
    type Events = fn(&mut ClusterState, Instant);
    // (name, end of the job before the takeover, events, watermark, whether the cancellation has taken effect)
    let cases: [(&str, Option<End>, Events, u64, bool); 9] = [
        ("cancelled before, its machine not heard from", Some(End::Cancelled), |_, _| (), 40, false),
        (
            "reported only with a token below this leader's",
            Some(End::Cancelled),
            |cluster, now| report_running(cluster, FENCING_TOKEN - 1, 1, now),
            40,
            false,
        ),
        (
            "its machine has seen the token",
            Some(End::Cancelled),
            |cluster, now| report_running(cluster, FENCING_TOKEN, 1, now),
            60,
            true,
        ),
        (
            "reported, and the token raised since",
            Some(End::Cancelled),
            |cluster, now| {
                report_running(cluster, FENCING_TOKEN, 1, now);
                cluster.raise_fencing_token(FENCING_TOKEN + 9);
            },
            60,
            true,
        ),
        (
            "its machine was terminated",
            Some(End::Cancelled),
            |cluster, now| cluster.remove_machine(&"m1".into(), now),
            60,
            true,
        ),
        ("done, so that nothing of it runs", Some(End::Done), |_, _| (), 60, false),
        ("open", None, |_, _| (), 60, false),
        (
            "cancelled since, its machine not heard from",
            None,
            |cluster, now| {
                cluster.end_job(&"run-000001".into(), Some(End::Cancelled), now);
                cluster.record_known_ends(Some(70));
            },
            60,
            false,
        ),
        (
            "cancelled since, its machine has seen the token",
            None,
            |cluster, now| {
                report_running(cluster, FENCING_TOKEN, 1, now);
                cluster.end_job(&"run-000001".into(), Some(End::Cancelled), now);
                cluster.record_known_ends(Some(70));
            },
            70,
            true,
        ),
    ];
    for (name, ended, apply_events, expected_watermark, effective) in cases {
        let now = Instant::now();
        let mut cluster = successor(ended, now);
        let before = cluster.advance_watermark();
        apply_events(&mut cluster, now);
        assert_eq!(cluster.advance_watermark(), expected_watermark, "{name}");
        assert_eq!(cluster.cancellation_effective(&"run-000001".into()), effective, "{name}");
        assert!(cluster.advance_watermark() >= before, "{name}: the watermark went back");
    }
}

/// A cancellation that cannot be confirmed yet holds back no cancellation that was stored before it. Otherwise a stream
/// of cancellations on unreachable machines would leave the first of them unconfirmed for as long as the stream lasts.
#[test]
fn unconfirmed_cancellation_holds_back_only_those_stored_after_it() {
    let now = Instant::now();
    let mut cluster = successor(None, now);
    add_job(&mut cluster, 2, now, |_| ());
    cluster.end_job(&"run-000002".into(), Some(End::Cancelled), now);
    cluster.record_known_ends(Some(65));
    assert_eq!(cluster.advance_watermark(), 65, "no task of job 2 was ever started");
    cluster.end_job(&"run-000001".into(), Some(End::Cancelled), now);
    cluster.record_known_ends(Some(90));
    assert_eq!(cluster.advance_watermark(), 65, "job 1 is on a machine that was not heard from");
    report_running(&mut cluster, FENCING_TOKEN, 1, now);
    assert_eq!(cluster.advance_watermark(), 90);
}

/// Guards against a successor that takes back what an earlier leader has confirmed, whose users were told of it, and
/// against one that confirms what the earlier leader did not.
#[test]
fn successor_confirms_what_earlier_leaders_have_confirmed_and_no_more() {
    let now = Instant::now();
    let id: JobId = "run-000001".into();
    for (name, status, expected) in [
        ("confirmed before", ConfirmationStatus::Confirmed, Some(60)),
        ("not confirmed before", ConfirmationStatus::Unconfirmed, Some(40)),
        ("unknown whether it was", ConfirmationStatus::Undetermined, None),
    ] {
        let mut cluster = successor(Some(End::Cancelled), now);
        cluster.inherit_confirmation(&id, status);
        let confirmed = cluster.confirmable_cancellations(None);
        assert_eq!(confirmed.map(|confirmed| confirmed.watermark.revision), expected, "{name}");
        report_running(&mut cluster, FENCING_TOKEN, 1, now);
        let confirmed = cluster.confirmable_cancellations(None).expect("loaded");
        assert_eq!(confirmed.watermark.revision, 60, "{name}, after the machine was heard from");
        let confirmed = cluster.confirmable_cancellations(Some(&ConfirmedCancellations {
            watermark: Watermark { fencing_token: FENCING_TOKEN, revision: 70 },
            ..confirmed
        }));
        assert_eq!(confirmed.map(|confirmed| confirmed.watermark.revision), Some(70), "nothing is taken back");
    }
    let mut cluster = ClusterState::new(FENCING_TOKEN, example(), Properties::default(), now);
    assert_eq!(cluster.confirmable_cancellations(None), None, "nothing is confirmed before the load");
}
