//! A rollout by cases; `model` simulates them with failing controllers.

mod cluster;
mod model;

use std::collections::BTreeSet;

use super::intents::replica_intents;
use super::observation::{JobPresence, ObservedJob, ObservedReplica, RolloutObservation};
use super::spec::tests::spec;
use super::spec::{RolloutGoal, RolloutSpec};
use super::status::{FailedMachine, FailureCounts, ReplicaIndexes, RolloutPhase, RolloutStatus};
use super::step::decide;

fn failed_on(machine: String, type_name: &str) -> FailedMachine {
    FailedMachine { machine, type_name: type_name.to_owned(), faulty: false }
}

fn running(ran_s: f64, zone: &str) -> ObservedReplica {
    let heard = ObservedReplica {
        machine: format!("m-{zone}-{ran_s}"),
        zone: zone.into(),
        heard: true,
        ..ObservedReplica::default()
    };
    ObservedReplica { running: true, sure: true, ran_s, bound_s: ran_s, ..heard }
}

/// Replicas by number, each `zone` and seconds run; 0: it has a machine and does not run.
fn side(tasks: u32, replicas: &[(u32, &str, f64)]) -> ObservedJob {
    let replica = |(index, zone, ran): &(u32, &str, f64)| {
        let mut replica = running(*ran, zone);
        replica.machine = format!("m-{zone}-{index}");
        (replica.running, replica.sure) = (*ran > 0.0, *ran > 0.0);
        (*index, replica)
    };
    ObservedJob {
        known: JobPresence::Open,
        tasks,
        replicas: replicas.iter().map(replica).collect(),
        ..ObservedJob::default()
    }
}

const OLD: [(u32, &str, f64); 4] = [(0, "a", 900.0), (1, "b", 900.0), (2, "a", 900.0), (3, "b", 900.0)];

fn seen(old: &[(u32, &str, f64)], new: &[(u32, &str, f64)]) -> RolloutObservation {
    RolloutObservation {
        old: side(4, old),
        new: side(4, new),
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

fn sets(status: &RolloutStatus) -> (Vec<u32>, Vec<u32>) {
    (status.stopping_old.0.iter().copied().collect(), status.allowed_new.0.iter().copied().collect())
}

#[test]
fn next_status_by_cases() {
    use RolloutPhase::*;
    type Change = fn(&mut RolloutSpec, &mut RolloutObservation, &mut RolloutStatus);
    type Replicas = &'static [(u32, &'static str, f64)];
    // (name, phase, step, meant to go, may run, old, new, change, then: phase, meant to go, may run)
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
        ("it begins", (Planned, 0, &[], &[]), (&OLD, NONE), |_, _, _| (), (Growing, &[], &[])),
        (
            "the new job is not there",
            (Planned, 0, &[], &[]),
            (&OLD, NONE),
            |_, s, _| s.new.known = JobPresence::Unknown,
            (Planned, &[], &[]),
        ),
        (
            "the old job is over",
            (Planned, 0, &[], &[]),
            (&OLD, NONE),
            |_, s, _| s.old.known = JobPresence::Ended,
            (Refused, &[], &[]),
        ),
        (
            "another has one of its jobs",
            (Planned, 0, &[], &[]),
            (&OLD, NONE),
            |_, s, _| s.conflict = Some("x".into()),
            (Refused, &[], &[]),
        ),
        (
            "the surge has no room",
            (Planned, 0, &[], &[]),
            (&OLD, NONE),
            |_, s, _| s.quota_shortage = Some("x".into()),
            (Planned, &[], &[]),
        ),
        (
            "paused before it begins",
            (Planned, 0, &[], &[]),
            (&OLD, NONE),
            |p, _, _| p.goal = RolloutGoal::Paused,
            (Planned, &[], &[]),
        ),
        ("a first one may run", (Growing, 0, &[], &[]), (&OLD, NONE), |_, _, _| (), (Growing, &[], &[0])),
        ("it fetches", (Growing, 0, &[], &[0]), (&OLD, &[(0, "a", 0.0)]), |_, _, _| (), (Fetching, &[], &[0])),
        (
            "it has not run for long enough",
            (Fetching, 0, &[], &[0]),
            (&OLD, &[(0, "a", 9.0)]),
            |_, _, _| (),
            (Growing, &[], &[0]),
        ),
        (
            "an old one is meant to go",
            (Growing, 0, &[], &[0]),
            (&OLD, &[(0, "a", 10.0)]),
            |_, _, _| (),
            (Shrinking, &[3], &[0]),
        ),
        (
            "more old ones than asked, that without a machine first",
            (Growing, 0, &[], &[0]),
            (THREE, &[(0, "a", 10.0)]),
            |p, _, _| p.replicas = 3,
            (Shrinking, &[2, 3], &[0]),
        ),
        (
            "not the last of its zone",
            (Growing, 0, &[], &[0]),
            (&[(0, "a", 9.0), (1, "a", 9.0), (2, "a", 9.0), (3, "b", 9.0)], &[(0, "a", 10.0)]),
            |_, _, _| (),
            (Shrinking, &[2], &[0]),
        ),
        (
            "it is still there",
            (Shrinking, 0, &[3], &[0]),
            (&OLD, &[(0, "a", 20.0)]),
            |_, _, _| (),
            (Shrinking, &[3], &[0]),
        ),
        (
            "the step is whole",
            (Shrinking, 0, &[3], &[0]),
            (THREE, &[(0, "a", 20.0)]),
            |_, _, _| (),
            (Holding, &[3], &[0]),
        ),
        ("it holds", (Holding, 0, &[3], &[0]), (THREE, &[(0, "a", 20.0)]), |_, _, _| (), (Holding, &[3], &[0])),
        (
            "it has held",
            (Holding, 0, &[3], &[0]),
            (THREE, &[(0, "a", 20.0)]),
            |_, s, _| s.now_ms += 10_000,
            (Growing, &[3], &[0]),
        ),
        (
            "it holds on under a new leader, which has heard of nothing yet",
            (Holding, 0, &[3], &[0]),
            (THREE, &[(0, "a", 20.0)]),
            |_, s, _| {
                let new = s.new.replicas.get_mut(&0).unwrap();
                (new.heard, new.running, new.sure) = (false, false, false);
                s.old.replicas.values_mut().for_each(|r| (r.heard, r.running, r.sure) = (false, false, false));
                s.now_ms += 10_000;
            },
            (Holding, &[3], &[0]),
        ),
        (
            "a clock was set back",
            (Holding, 0, &[3], &[0]),
            (THREE, &[(0, "a", 20.0)]),
            |_, s, _| s.now_ms = 5,
            (Holding, &[3], &[0]),
        ),
        ("the next one", (Growing, 1, &[3], &[0]), (THREE, &[(0, "a", 50.0)]), |_, _, _| (), (Growing, &[3], &[0, 1])),
        (
            "a new one is lost: an old one comes back",
            (Growing, 1, &[3], &[0, 1]),
            (THREE, NONE),
            |_, _, _| (),
            (Growing, &[], &[0, 1]),
        ),
        (
            "one that still runs comes back first",
            (Growing, 1, &[2, 3], &[0, 1]),
            (THREE, &[(0, "a", 50.0)]),
            |_, _, _| (),
            (Growing, &[3], &[0, 1]),
        ),
        (
            "the last step has held",
            (Holding, 2, &[0, 1, 2, 3], &[0, 1, 2, 3]),
            (NONE, &OLD),
            |_, s, _| s.now_ms += 10_000,
            (Done, &[0, 1, 2, 3], &[0, 1, 2, 3]),
        ),
        (
            "paused: nothing more goes",
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
            "back by hand",
            (Growing, 1, &[3], &[0, 1]),
            (THREE, &[(0, "a", 50.0)]),
            |p, _, _| p.goal = RolloutGoal::Back,
            (GoingBack, &[], &[0]),
        ),
        (
            "a new one goes once the old one has run",
            (GoingBack, 1, &[], &[0]),
            (&OLD, &[(0, "a", 50.0)]),
            |_, _, _| (),
            (Back, &[], &[]),
        ),
        (
            "but not before",
            (GoingBack, 1, &[], &[0]),
            (&[(0, "a", 9.0), (1, "b", 90.0), (2, "a", 90.0), (3, "b", 90.0)], &[(0, "a", 50.0)]),
            |_, _, _| (),
            (GoingBack, &[], &[0]),
        ),
        (
            "what does not run is not waited for",
            (GoingBack, 1, &[2, 3], &[0, 1]),
            (TWO, &[(0, "a", 0.0)]),
            |_, _, _| (),
            (GoingBack, &[], &[]),
        ),
        ("it stays back", (Back, 1, &[], &[]), (&OLD, NONE), |_, _, _| (), (Back, &[], &[])),
        (
            "until it is resumed, from the first step",
            (Back, 1, &[], &[]),
            (&OLD, NONE),
            |p, _, _| p.request_no = 2,
            (Growing, &[], &[0]),
        ),
        (
            "resumed half-way back, where it has come to",
            (GoingBack, 2, &[1, 2, 3], &[0, 1]),
            (&[(0, "a", 90.0)], &[(0, "a", 90.0), (1, "b", 90.0)]),
            |p, _, _| p.request_no = 2,
            (Holding, &[2, 3], &[0, 1]),
        ),
        (
            "more of it runs than the step has: old ones come back first",
            (Growing, 0, &[1, 2, 3], &[0, 1, 2]),
            (&[(0, "a", 90.0)], &[(0, "a", 90.0), (1, "b", 90.0), (2, "b", 90.0)]),
            |_, _, _| (),
            (Growing, &[2, 3], &[0, 1, 2]),
        ),
        (
            "back from done",
            (Done, 2, &[0, 1, 2, 3], &[0, 1, 2, 3]),
            (NONE, &OLD),
            |p, _, _| p.goal = RolloutGoal::Back,
            (GoingBack, &[1, 2, 3], &[0, 1, 2, 3]),
        ),
        (
            "the new job is withdrawn",
            (Growing, 1, &[3], &[0]),
            (THREE, NONE),
            |_, s, _| s.new = ObservedJob { known: JobPresence::Ended, ..ObservedJob::default() },
            (GoingBack, &[], &[]),
        ),
        (
            "the old job is withdrawn",
            (Growing, 1, &[3], &[0]),
            (THREE, &[(0, "a", 50.0)]),
            |_, s, _| s.old = ObservedJob { known: JobPresence::Ended, ..ObservedJob::default() },
            (Growing, &[3], &[0, 1, 2, 3]),
        ),
        (
            "both are",
            (Growing, 1, &[3], &[0]),
            (THREE, NONE),
            |_, s, _| (s.old.known, s.new.known) = (JobPresence::Ended, JobPresence::Ended),
            (Ended, &[3], &[0]),
        ),
        (
            "the old job is withdrawn once it is done",
            (Done, 2, &[0, 1, 2, 3], &[0, 1, 2, 3]),
            (NONE, &OLD),
            |_, s, _| s.old = ObservedJob { known: JobPresence::Ended, ..ObservedJob::default() },
            (Done, &[0, 1, 2, 3], &[0, 1, 2, 3]),
        ),
    ];
    for (name, (phase, step, go, may), (old, new), change, (then, then_go, then_may)) in cases {
        let (mut spec, mut seen, mut status) = (spec(), seen(old, new), status(phase, step, go, may));
        change(&mut spec, &mut seen, &mut status);
        let next = decide(&spec, &status, &seen).unwrap_or(status);
        assert_eq!((next.phase, sets(&next)), (then, (then_go.to_vec(), then_may.to_vec())), "{name}: {}", next.reason);
    }
}

/// What speaks against the version, against machines, or against both versions.
#[test]
fn version_verdict_by_cases() {
    use RolloutPhase::{GoingBack, Growing, Paused};
    let on = |n: u32, t: &str| failed_on(format!("m{n}"), t);
    // (name, failures of new and old, on these, suspected machines, change, phase, in the reason)
    type Case<'a> =
        (&'a str, (u64, u64), &'a [(u32, &'a str)], &'a [u32], fn(&mut RolloutObservation), RolloutPhase, &'a str);
    let three: &[(u32, &str)] = &[(1, "g8"), (2, "g8"), (3, "g4")];
    let one_type: &[(u32, &str)] = &[(1, "g8"), (2, "g8"), (3, "g8")];
    let cases: [Case; 12] = [
        ("nothing failed", (0, 0), &[], &[], |_| (), Growing, ""),
        ("on two machines", (2, 0), &three[..2], &[], |_| (), Growing, ""),
        ("on three", (3, 0), three, &[], |_| (), GoingBack, "3 different machines"),
        ("on three of one type", (3, 0), one_type, &[], |_| (), GoingBack, "all of type g8"),
        ("on three, one of them faulty", (3, 0), three, &[2], |_| (), Growing, ""),
        ("again and again on one machine", (40, 0), &three[..1], &[], |_| (), Growing, ""),
        ("again and again on two", (10, 0), &three[..2], &[], |_| (), GoingBack, "10 times"),
        ("the old one fails as well", (4, 2), three, &[], |_| (), Paused, "both versions"),
        ("the old one fails now and then", (9, 2), three, &[], |_| (), GoingBack, "3 different"),
        ("wherever it was tried", (2, 0), &three[..2], &[], |s| s.new.quarantined = true, GoingBack, "wherever"),
        ("never runs", (0, 0), &[], &[], |s| s.new = side(4, &[(0, "a", 0.0)]), Growing, ""),
        (
            "never runs within its time",
            (0, 0),
            &[],
            &[],
            |s| {
                s.new = side(4, &[(0, "a", 0.0)]);
                s.new.replicas.get_mut(&0).unwrap().bound_s = 1800.0;
            },
            GoingBack,
            "within 1800 s",
        ),
    ];
    for (name, (failures, old), machines, quarantined, change, want, reason) in cases {
        let mut seen = seen(&OLD, &[(0, "a", 5.0)]);
        (seen.new.failures, seen.old.failures) = (failures, old);
        let lately = machines.iter().map(|(n, t)| on(*n, t));
        // The same few machines again, as the latest failures are listed.
        seen.new.failed_lately = lately.cycle().take((failures as usize).min(16)).collect();
        seen.quarantined = quarantined.iter().map(|n| format!("m{n}")).collect();
        change(&mut seen);
        let before = status(Growing, 0, &[], &[0]);
        let next = decide(&spec(), &before, &seen).unwrap_or(before);
        let alike = |phase| if phase == RolloutPhase::Fetching { Growing } else { phase };
        // The old version is whole: it is back at once.
        let fits = alike(next.phase) == want || (want, next.phase) == (GoingBack, RolloutPhase::Back);
        assert!(fits && next.reason.contains(reason), "{name}: {:?} {}", next.phase, next.reason);
    }
}

/// A successor counts from none and must not count twice what was stored, nor again on each look.
#[test]
fn failures_are_counted_once() {
    let mut seen = seen(&OLD, &[]);
    seen.new.failures = 3;
    let mut failure_counts = FailureCounts::start_counting(&seen);
    failure_counts.add_failures(&seen);
    assert_eq!(failure_counts.new, 0, "failures of before the step");
    seen.new.failures = 5;
    (0..2).for_each(|_| failure_counts.add_failures(&seen));
    assert_eq!(failure_counts.new, 2);
    (seen.fencing_token, seen.new.failures) = (8, 1);
    (0..2).for_each(|_| failure_counts.add_failures(&seen));
    assert_eq!(failure_counts.new, 3, "another leader's own");
}

#[test]
fn replica_intents_by_cases() {
    let stop = |status: &RolloutStatus, seen: &RolloutObservation| {
        replica_intents(&spec(), status, seen).map(|a| a.map(|a| (a.max_bound, a.stop)))
    };
    let set = |of: &[u32]| of.iter().copied().collect::<BTreeSet<u32>>();
    let new = [(0, "a", 50.0)];
    let growing = status(RolloutPhase::Growing, 0, &[3], &[0]);
    assert_eq!(stop(&growing, &seen(&OLD, &new)), [Some((3, set(&[3]))), Some((1, set(&[1, 2, 3])))]);
    // Lost after it was decided: what still runs is left alone, what does not is not placed again.
    assert_eq!(stop(&growing, &seen(&OLD, &[]))[0], Some((4, set(&[]))));
    assert_eq!(stop(&growing, &seen(&OLD[..3], &[]))[0], Some((3, set(&[3]))));
    assert_eq!(stop(&status(RolloutPhase::Paused, 0, &[3], &[0]), &seen(&OLD, &new))[0], Some((4, set(&[]))));
    let planned = status(RolloutPhase::Planned, 0, &[], &[]);
    assert_eq!(stop(&planned, &seen(&OLD, &[])), [None, Some((0, set(&[])))], "nothing of it is placed yet");
    assert_eq!(stop(&status(RolloutPhase::Refused, 0, &[], &[]), &seen(&OLD, &[])), [None, None]);
    let done = status(RolloutPhase::Done, 2, &[0, 1, 2, 3], &[0, 1, 2, 3]);
    let asked = replica_intents(&spec(), &done, &seen(&[], &OLD));
    assert!(
        asked.into_iter().flatten().all(|a| !a.keep_in_place && !a.prioritized),
        "over: its machines can be spared as any"
    );
}
