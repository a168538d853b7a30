//! Tests of rollout decisions. `cluster` runs them on the cluster state, `model` simulates failing controllers.

mod cluster;
mod model;

use std::collections::BTreeSet;

use super::intents::replica_intents;
use super::observation::{JobPresence, ObservedJob, ObservedReplica, RolloutObservation};
use super::spec::tests::spec;
use super::spec::{RolloutGoal, RolloutSpec};
use super::status::{FailedMachine, FailureCounts, ReplicaIndexes, RolloutPhase, RolloutStatus};
use super::step::decide_rollout;

fn failed_on(machine: String, type_name: &str) -> FailedMachine {
    FailedMachine { machine, type_name: type_name.to_owned(), faulty: false }
}

fn running(running_s: f64, zone: &str) -> ObservedReplica {
    let responsive = ObservedReplica {
        machine: format!("m-{zone}-{running_s}"),
        zone: zone.into(),
        machine_responsive: true,
        ..ObservedReplica::default()
    };
    ObservedReplica { running: true, confirmed_running: true, running_s, bound_s: running_s, ..responsive }
}

/// Returns an open job with the given replicas as (index, zone, seconds running). With 0 seconds the replica is bound
/// but not running.
fn observed_job(tasks: u32, replicas: &[(u32, &str, f64)]) -> ObservedJob {
    let replica = |(index, zone, ran): &(u32, &str, f64)| {
        let mut replica = running(*ran, zone);
        replica.machine = format!("m-{zone}-{index}");
        (replica.running, replica.confirmed_running) = (*ran > 0.0, *ran > 0.0);
        (*index, replica)
    };
    ObservedJob {
        presence: JobPresence::Open,
        tasks,
        replicas: replicas.iter().map(replica).collect(),
        ..ObservedJob::default()
    }
}

const OLD: [(u32, &str, f64); 4] = [(0, "a", 900.0), (1, "b", 900.0), (2, "a", 900.0), (3, "b", 900.0)];

fn observed(old: &[(u32, &str, f64)], new: &[(u32, &str, f64)]) -> RolloutObservation {
    RolloutObservation {
        old: observed_job(4, old),
        new: observed_job(4, new),
        now_ms: 1_000_000,
        fencing_token: 7,
        ..RolloutObservation::default()
    }
}

fn status(phase: RolloutPhase, step: u32, stopping_old: &[u32], allowed_new: &[u32]) -> RolloutStatus {
    let set = |of: &[u32]| ReplicaIndexes(of.iter().copied().collect());
    let jobs = (Some("run-1".into()), Some("run-2".into()));
    let (stopping_old, allowed_new) = (set(stopping_old), set(allowed_new));
    RolloutStatus {
        phase,
        old: jobs.0,
        new: jobs.1,
        step,
        since_ms: 990_000,
        stopping_old,
        allowed_new,
        ..RolloutStatus::default()
    }
}

fn replica_sets(status: &RolloutStatus) -> (Vec<u32>, Vec<u32>) {
    (status.stopping_old.0.iter().copied().collect(), status.allowed_new.0.iter().copied().collect())
}

#[test]
fn decide_rollout_returns_the_next_status() {
    use RolloutPhase::*;
    type Change = fn(&mut RolloutSpec, &mut RolloutObservation, &mut RolloutStatus);
    type Replicas = &'static [(u32, &'static str, f64)];
    // (name, (phase, step, old replicas to stop, new replicas allowed), (bound old replicas, bound new replicas),
    // change, expected (phase, old replicas to stop, new replicas allowed))
    type Case = (
        &'static str,
        (RolloutPhase, u32, &'static [u32], &'static [u32]),
        (Replicas, Replicas),
        Change,
        (RolloutPhase, &'static [u32], &'static [u32]),
    );
    const NONE: Replicas = &[];
    const THREE: Replicas = &[(0, "a", 900.0), (1, "b", 900.0), (2, "a", 900.0)];
    const TWO: Replicas = &[(0, "a", 900.0), (1, "b", 900.0)];
    let cases: [Case; 37] = [
        ("the rollout begins", (Planned, 0, &[], &[]), (&OLD, NONE), |_, _, _| (), (Growing, &[], &[])),
        (
            "the new job is unknown",
            (Planned, 0, &[], &[]),
            (&OLD, NONE),
            |_, s, _| s.new.presence = JobPresence::Unknown,
            (Planned, &[], &[]),
        ),
        (
            "the old job has ended",
            (Planned, 0, &[], &[]),
            (&OLD, NONE),
            |_, s, _| s.old.presence = JobPresence::Ended,
            (Refused, &[], &[]),
        ),
        (
            "another rollout holds one of the jobs",
            (Planned, 0, &[], &[]),
            (&OLD, NONE),
            |_, s, _| s.conflict = Some("x".into()),
            (Refused, &[], &[]),
        ),
        (
            "the quota is too low for the surge",
            (Planned, 0, &[], &[]),
            (&OLD, NONE),
            |_, s, _| s.quota_shortage = Some("x".into()),
            (Planned, &[], &[]),
        ),
        (
            "paused before the rollout begins",
            (Planned, 0, &[], &[]),
            (&OLD, NONE),
            |p, _, _| p.goal = RolloutGoal::Paused,
            (Planned, &[], &[]),
        ),
        ("the first new replica is allowed", (Growing, 0, &[], &[]), (&OLD, NONE), |_, _, _| (), (Growing, &[], &[0])),
        (
            "the new replica is fetching",
            (Growing, 0, &[], &[0]),
            (&OLD, &[(0, "a", 0.0)]),
            |_, _, _| (),
            (Fetching, &[], &[0]),
        ),
        (
            "the new replica has not run for ready_s",
            (Fetching, 0, &[], &[0]),
            (&OLD, &[(0, "a", 9.0)]),
            |_, _, _| (),
            (Growing, &[], &[0]),
        ),
        (
            "an old replica is chosen to stop",
            (Growing, 0, &[], &[0]),
            (&OLD, &[(0, "a", 10.0)]),
            |_, _, _| (),
            (Shrinking, &[3], &[0]),
        ),
        (
            "surplus old replicas: unbound ones stop first",
            (Growing, 0, &[], &[0]),
            (THREE, &[(0, "a", 10.0)]),
            |p, _, _| p.replicas = 3,
            (Shrinking, &[2, 3], &[0]),
        ),
        (
            "the last replica of a zone is kept",
            (Growing, 0, &[], &[0]),
            (&[(0, "a", 9.0), (1, "a", 9.0), (2, "a", 9.0), (3, "b", 9.0)], &[(0, "a", 10.0)]),
            |_, _, _| (),
            (Shrinking, &[2], &[0]),
        ),
        (
            "the stopping old replica is still bound",
            (Shrinking, 0, &[3], &[0]),
            (&OLD, &[(0, "a", 20.0)]),
            |_, _, _| (),
            (Shrinking, &[3], &[0]),
        ),
        (
            "the step is complete",
            (Shrinking, 0, &[3], &[0]),
            (THREE, &[(0, "a", 20.0)]),
            |_, _, _| (),
            (Holding, &[3], &[0]),
        ),
        (
            "the hold time has not elapsed",
            (Holding, 0, &[3], &[0]),
            (THREE, &[(0, "a", 20.0)]),
            |_, _, _| (),
            (Holding, &[3], &[0]),
        ),
        (
            "the hold time has elapsed",
            (Holding, 0, &[3], &[0]),
            (THREE, &[(0, "a", 20.0)]),
            |_, s, _| s.now_ms += 10_000,
            (Growing, &[3], &[0]),
        ),
        (
            "a new leader without heartbeats keeps holding",
            (Holding, 0, &[3], &[0]),
            (THREE, &[(0, "a", 20.0)]),
            |_, s, _| {
                let new = s.new.replicas.get_mut(&0).unwrap();
                (new.machine_responsive, new.running, new.confirmed_running) = (false, false, false);
                s.old
                    .replicas
                    .values_mut()
                    .for_each(|r| (r.machine_responsive, r.running, r.confirmed_running) = (false, false, false));
                s.now_ms += 10_000;
            },
            (Holding, &[3], &[0]),
        ),
        (
            "the clock was set back",
            (Holding, 0, &[3], &[0]),
            (THREE, &[(0, "a", 20.0)]),
            |_, s, _| s.now_ms = 5,
            (Holding, &[3], &[0]),
        ),
        (
            "the next step allows another new replica",
            (Growing, 1, &[3], &[0]),
            (THREE, &[(0, "a", 50.0)]),
            |_, _, _| (),
            (Growing, &[3], &[0, 1]),
        ),
        (
            "a new replica is lost: an old one is restored",
            (Growing, 1, &[3], &[0, 1]),
            (THREE, NONE),
            |_, _, _| (),
            (Growing, &[], &[0, 1]),
        ),
        (
            "a running old replica is restored first",
            (Growing, 1, &[2, 3], &[0, 1]),
            (THREE, &[(0, "a", 50.0)]),
            |_, _, _| (),
            (Growing, &[3], &[0, 1]),
        ),
        (
            "the hold time of the last step has elapsed",
            (Holding, 2, &[0, 1, 2, 3], &[0, 1, 2, 3]),
            (NONE, &OLD),
            |_, s, _| s.now_ms += 10_000,
            (Done, &[0, 1, 2, 3], &[0, 1, 2, 3]),
        ),
        (
            "paused: no further replica stops",
            (Growing, 0, &[], &[0]),
            (&OLD, &[(0, "a", 10.0)]),
            |p, _, _| p.goal = RolloutGoal::Paused,
            (Paused, &[], &[0]),
        ),
        (
            "resumed",
            (Paused, 0, &[], &[0]),
            (&OLD, &[(0, "a", 10.0)]),
            |p, _, _| p.request_no = 2,
            (Shrinking, &[3], &[0]),
        ),
        (
            "rollback requested by the operator",
            (Growing, 1, &[3], &[0, 1]),
            (THREE, &[(0, "a", 50.0)]),
            |p, _, _| p.goal = RolloutGoal::Back,
            (GoingBack, &[], &[0]),
        ),
        (
            "rollback: the new replica stops once the old ones are ready",
            (GoingBack, 1, &[], &[0]),
            (&OLD, &[(0, "a", 50.0)]),
            |_, _, _| (),
            (Back, &[], &[]),
        ),
        (
            "rollback: the new replica stays until the old ones are ready",
            (GoingBack, 1, &[], &[0]),
            (&[(0, "a", 9.0), (1, "b", 90.0), (2, "a", 90.0), (3, "b", 90.0)], &[(0, "a", 50.0)]),
            |_, _, _| (),
            (GoingBack, &[], &[0]),
        ),
        (
            "rollback: new replicas that are not running are dropped",
            (GoingBack, 1, &[2, 3], &[0, 1]),
            (TWO, &[(0, "a", 0.0)]),
            |_, _, _| (),
            (GoingBack, &[], &[]),
        ),
        ("a rolled-back rollout stays so", (Back, 1, &[], &[]), (&OLD, NONE), |_, _, _| (), (Back, &[], &[])),
        (
            "resumed after a rollback: starts at the first step",
            (Back, 1, &[], &[]),
            (&OLD, NONE),
            |p, _, _| p.request_no = 2,
            (Growing, &[], &[0]),
        ),
        (
            "resumed during a rollback: continues at the matching step",
            (GoingBack, 2, &[1, 2, 3], &[0, 1]),
            (&[(0, "a", 90.0)], &[(0, "a", 90.0), (1, "b", 90.0)]),
            |p, _, _| p.request_no = 2,
            (Holding, &[2, 3], &[0, 1]),
        ),
        (
            "more new replicas than the step's target: old ones are restored first",
            (Growing, 0, &[1, 2, 3], &[0, 1, 2]),
            (&[(0, "a", 90.0)], &[(0, "a", 90.0), (1, "b", 90.0), (2, "b", 90.0)]),
            |_, _, _| (),
            (Growing, &[2, 3], &[0, 1, 2]),
        ),
        (
            "rollback after completion",
            (Done, 2, &[0, 1, 2, 3], &[0, 1, 2, 3]),
            (NONE, &OLD),
            |p, _, _| p.goal = RolloutGoal::Back,
            (GoingBack, &[1, 2, 3], &[0, 1, 2, 3]),
        ),
        (
            "the new job is cancelled",
            (Growing, 1, &[3], &[0]),
            (THREE, NONE),
            |_, s, _| s.new = ObservedJob { presence: JobPresence::Ended, ..ObservedJob::default() },
            (GoingBack, &[], &[]),
        ),
        (
            "the old job is cancelled",
            (Growing, 1, &[3], &[0]),
            (THREE, &[(0, "a", 50.0)]),
            |_, s, _| s.old = ObservedJob { presence: JobPresence::Ended, ..ObservedJob::default() },
            (Growing, &[3], &[0, 1, 2, 3]),
        ),
        (
            "both jobs have ended",
            (Growing, 1, &[3], &[0]),
            (THREE, NONE),
            |_, s, _| (s.old.presence, s.new.presence) = (JobPresence::Ended, JobPresence::Ended),
            (Ended, &[3], &[0]),
        ),
        (
            "the old job is cancelled after completion",
            (Done, 2, &[0, 1, 2, 3], &[0, 1, 2, 3]),
            (NONE, &OLD),
            |_, s, _| s.old = ObservedJob { presence: JobPresence::Ended, ..ObservedJob::default() },
            (Done, &[0, 1, 2, 3], &[0, 1, 2, 3]),
        ),
    ];
    for (
        name,
        (phase, step, stopping_old, allowed_new),
        (old, new),
        change,
        (want_phase, want_stopping, want_allowed),
    ) in cases
    {
        let (mut spec, mut observed, mut status) =
            (spec(), observed(old, new), status(phase, step, stopping_old, allowed_new));
        change(&mut spec, &mut observed, &mut status);
        let next = decide_rollout(&spec, &status, &observed).unwrap_or(status);
        assert_eq!(
            (next.phase, replica_sets(&next)),
            (want_phase, (want_stopping.to_vec(), want_allowed.to_vec())),
            "{name}: {}",
            next.reason
        );
    }
}

/// Failures are attributed to the new version, to machines, or to both versions.
#[test]
fn failures_are_attributed_to_version_machines_or_both() {
    use RolloutPhase::{GoingBack, Growing, Paused};
    let failed_machine = |n: u32, t: &str| failed_on(format!("m{n}"), t);
    // (name, (new failures, old failures), machines with types, quarantined machines, change, expected phase, text
    // expected in the reason)
    type Case<'a> =
        (&'a str, (u64, u64), &'a [(u32, &'a str)], &'a [u32], fn(&mut RolloutObservation), RolloutPhase, &'a str);
    let three: &[(u32, &str)] = &[(1, "g8"), (2, "g8"), (3, "g4")];
    let one_type: &[(u32, &str)] = &[(1, "g8"), (2, "g8"), (3, "g8")];
    let cases: [Case; 12] = [
        ("no failures", (0, 0), &[], &[], |_| (), Growing, ""),
        ("failures on two machines", (2, 0), &three[..2], &[], |_| (), Growing, ""),
        ("failures on three machines", (3, 0), three, &[], |_| (), GoingBack, "3 different machines"),
        ("failures on three machines of one type", (3, 0), one_type, &[], |_| (), GoingBack, "all of type g8"),
        ("failures on three machines, one of them faulty", (3, 0), three, &[2], |_| (), Growing, ""),
        ("repeated failures on one machine", (40, 0), &three[..1], &[], |_| (), Growing, ""),
        ("repeated failures on two machines", (10, 0), &three[..2], &[], |_| (), GoingBack, "10 times"),
        ("the old version fails as well", (4, 2), three, &[], |_| (), Paused, "both versions"),
        ("the old version fails occasionally", (9, 2), three, &[], |_| (), GoingBack, "3 different"),
        ("fails on every machine", (2, 0), &three[..2], &[], |s| s.new.quarantined = true, GoingBack, "wherever"),
        ("not running yet", (0, 0), &[], &[], |s| s.new = observed_job(4, &[(0, "a", 0.0)]), Growing, ""),
        (
            "not running within the time limit",
            (0, 0),
            &[],
            &[],
            |s| {
                s.new = observed_job(4, &[(0, "a", 0.0)]);
                s.new.replicas.get_mut(&0).unwrap().bound_s = 1800.0;
            },
            GoingBack,
            "within 1800 s",
        ),
    ];
    for (name, (failures, old), machines, quarantined, change, want, reason) in cases {
        let mut observed = observed(&OLD, &[(0, "a", 5.0)]);
        (observed.new.failures, observed.old.failures) = (failures, old);
        let recent_failures = machines.iter().map(|(n, t)| failed_machine(*n, t));
        // The machines repeat, as in the list of recent failures.
        observed.new.recent_failures = recent_failures.cycle().take((failures as usize).min(16)).collect();
        observed.quarantined = quarantined.iter().map(|n| format!("m{n}")).collect();
        change(&mut observed);
        let before = status(Growing, 0, &[], &[0]);
        let next = decide_rollout(&spec(), &before, &observed).unwrap_or(before);
        let without_fetching = |phase| if phase == RolloutPhase::Fetching { Growing } else { phase };
        // All old replicas are running, so a rollback may complete at once.
        let is_expected = without_fetching(next.phase) == want || (want, next.phase) == (GoingBack, RolloutPhase::Back);
        assert!(is_expected && next.reason.contains(reason), "{name}: {:?} {}", next.phase, next.reason);
    }
}

/// A new leader's count starts at zero. It must not count stored failures twice, nor the same failures at each
/// evaluation.
#[test]
fn failures_are_counted_once_across_leaders() {
    let mut observed = observed(&OLD, &[]);
    observed.new.failures = 3;
    let mut failure_counts = FailureCounts::start_counting(&observed);
    failure_counts.add_failures(&observed);
    assert_eq!(failure_counts.new, 0, "failures before the step must not count");
    observed.new.failures = 5;
    (0..2).for_each(|_| failure_counts.add_failures(&observed));
    assert_eq!(failure_counts.new, 2);
    (observed.fencing_token, observed.new.failures) = (8, 1);
    (0..2).for_each(|_| failure_counts.add_failures(&observed));
    assert_eq!(failure_counts.new, 3, "a new leader's failures must be added");
}

#[test]
fn replica_intents_follow_status_and_observation() {
    let intents = |status: &RolloutStatus, observed: &RolloutObservation| {
        replica_intents(&spec(), status, observed).map(|intent| intent.map(|intent| (intent.max_bound, intent.stop)))
    };
    let set = |of: &[u32]| of.iter().copied().collect::<BTreeSet<u32>>();
    let new = [(0, "a", 50.0)];
    let growing = status(RolloutPhase::Growing, 0, &[3], &[0]);
    assert_eq!(intents(&growing, &observed(&OLD, &new)), [Some((3, set(&[3]))), Some((1, set(&[1, 2, 3])))]);
    // Replicas were lost after the decision: those to stop keep running if they still do, and are not placed again if
    // not.
    assert_eq!(intents(&growing, &observed(&OLD, &[]))[0], Some((4, set(&[]))));
    assert_eq!(intents(&growing, &observed(&OLD[..3], &[]))[0], Some((3, set(&[3]))));
    assert_eq!(intents(&status(RolloutPhase::Paused, 0, &[3], &[0]), &observed(&OLD, &new))[0], Some((4, set(&[]))));
    let planned = status(RolloutPhase::Planned, 0, &[], &[]);
    assert_eq!(
        intents(&planned, &observed(&OLD, &[])),
        [None, Some((0, set(&[])))],
        "no new replica may be placed before the rollout begins"
    );
    assert_eq!(intents(&status(RolloutPhase::Refused, 0, &[], &[]), &observed(&OLD, &[])), [None, None]);
    let done = status(RolloutPhase::Done, 2, &[0, 1, 2, 3], &[0, 1, 2, 3]);
    let done_intents = replica_intents(&spec(), &done, &observed(&[], &OLD));
    assert!(
        done_intents.into_iter().flatten().all(|intent| !intent.keep_in_place && !intent.prioritized),
        "after completion the replicas must be treated like any other"
    );
}
