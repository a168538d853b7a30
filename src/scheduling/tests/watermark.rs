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

/// Returns what the leader may confirm: the watermark, the last revision and the held jobs.
fn confirmable(cluster: &mut ClusterState, stored: Option<&ConfirmedCancellations>) -> Option<(u64, u64, Vec<JobId>)> {
    let confirmed = cluster.confirmable_cancellations(stored, usize::MAX)?;
    Some((confirmed.watermark.revision, confirmed.through, confirmed.held.into_iter().collect()))
}

fn stored(revision: u64, through: u64, held: &[&str]) -> ConfirmedCancellations {
    let held = held.iter().map(|id| JobId::from(*id)).collect();
    ConfirmedCancellations { watermark: Watermark { fencing_token: FENCING_TOKEN - 1, revision }, through, held }
}

/// Guards against cancellations that wait for one another: one that cannot be confirmed, since a machine was not heard
/// from, is held alone.
#[test]
fn cancellation_that_cannot_be_confirmed_is_held_alone() {
    let now = Instant::now();
    let mut cluster = successor(Some(End::Cancelled), now);
    add_job(&mut cluster, 2, now, |_| ());
    cluster.end_job(&"run-000002".into(), Some(End::Cancelled), now);
    cluster.record_known_ends(Some(65));
    assert_eq!(confirmable(&mut cluster, None), Some((40, 65, vec!["run-000001".into()])));
    report_running(&mut cluster, FENCING_TOKEN, 1, now);
    assert_eq!(confirmable(&mut cluster, None), Some((65, 65, vec![])));
    assert_eq!(confirmable(&mut cluster, Some(&stored(70, 80, &[]))), Some((70, 80, vec![])), "nothing is taken back");
}

/// Guards against a successor that takes back what an earlier leader has confirmed, whose users were told of it, and
/// against one that confirms what the earlier leader held.
#[test]
fn successor_holds_what_no_earlier_leader_has_confirmed() {
    let now = Instant::now();
    let id: JobId = "run-000001".into();
    let held = vec![id.clone()];
    for (name, status, expected) in [
        ("confirmed before", ConfirmationStatus::Confirmed, Some((60, 60, vec![]))),
        ("not confirmed before", ConfirmationStatus::Unconfirmed, Some((40, 60, held))),
        ("unknown whether it was", ConfirmationStatus::Undetermined, None),
    ] {
        let mut cluster = successor(Some(End::Cancelled), now);
        cluster.inherit_confirmation(&id, status);
        assert_eq!(confirmable(&mut cluster, None), expected, "{name}");
        report_running(&mut cluster, FENCING_TOKEN, 1, now);
        assert_eq!(confirmable(&mut cluster, None), Some((60, 60, vec![])), "{name}, after the machine was heard from");
    }
    let mut cluster = ClusterState::new(FENCING_TOKEN, example(), Properties::default(), now);
    assert_eq!(confirmable(&mut cluster, None), None, "nothing is confirmed before the load");
}

/// Guards against a value that the store refuses for its size: where the ids of held cancellations do not fit, later
/// cancellations are held back with the first that does not, and none that is stored as held is forgotten.
#[test]
fn held_cancellations_that_do_not_fit_hold_back_later_ones() {
    let now = Instant::now();
    let mut cluster = ClusterState::new(FENCING_TOKEN, example(), Properties::default(), now);
    for n in 1..=3u64 {
        let job = JobSpec { id: format!("run-00000{n}").into(), ..spec() };
        let record = Arc::new(JobRecord { spec: job.clone(), accepted_ms: time_of_day_ms() });
        cluster.load_job(record, vec![(0, 30, vec![StoredTask::Bound(1, format!("m{n}"))])], now);
        cluster.end_job(&job.id, Some(End::Cancelled), now);
        cluster.set_ended_after(&job.id, 40 + n);
    }
    cluster.finish_load(now);
    cluster.record_known_ends(Some(60));
    let bytes_of = |ids: usize| ids * ("run-000001".len() + 3);
    let mut confirm = |stored: Option<&ConfirmedCancellations>, ids: usize| {
        let confirmed = cluster.confirmable_cancellations(stored, bytes_of(ids)).expect("loaded");
        (confirmed.through, confirmed.held.iter().map(|id| id.to_string()).collect::<Vec<_>>().join(" "))
    };
    assert_eq!(confirm(None, 3), (60, "run-000001 run-000002 run-000003".into()));
    assert_eq!(confirm(None, 2), (43, "run-000001 run-000002".into()));
    assert_eq!(confirm(None, 0), (41, String::new()));
    let all_held = stored(41, 55, &["run-000001", "run-000002", "run-000003"]);
    assert_eq!(confirm(Some(&all_held), 1), (60, "run-000001 run-000002 run-000003".into()), "none is forgotten");
    let last_held = stored(43, 55, &["run-000003"]);
    assert_eq!(confirm(Some(&last_held), 1).0, 55, "what is confirmed stays so");
}
