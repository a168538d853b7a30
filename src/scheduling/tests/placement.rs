//! Placement by cases: what fits where, in which order, and how much work a plan is.

use super::*;
use crate::fleet::scale_out::{CapacityRefusals, plan_scale_out};
use crate::scheduling::reservations;

#[test]
fn placement_by_cases() {
    type Case = (
        &'static str,
        &'static [(&'static str, &'static str, &'static str, bool)],
        fn(&mut JobSpec),
        &'static [&'static str],
    );
    const TWO: &[(&str, &str, &str, bool)] = &[("m1", "c8", "a", false), ("m2", "c8", "b", false)];
    const ODD: &[(&str, &str, &str, bool)] = &[("m1", "g2", "a", false), ("m2", "c8", "b", true)];
    let cases: [Case; 13] = [
        ("one task fits", TWO, |_| (), &["m1"]),
        ("an array as far as it fits", TWO, |j| (j.tasks, j.cpus) = (5, 4.0), &["m1", "m1", "m2", "m2"]),
        ("a gang that fits", TWO, |j| (j.shape, j.tasks, j.cpus) = (Shape::Gang, 2, 8.0), &["m1", "m2"]),
        ("a gang is all or nothing", TWO, |j| (j.shape, j.tasks, j.cpus) = (Shape::Gang, 3, 8.0), &[]),
        ("a gang in one zone", TWO, |j| (j.shape, j.tasks, j.cpus, j.same_zone) = (Shape::Gang, 2, 8.0, true), &[]),
        ("half in one zone", TWO, |j| (j.tasks, j.spread) = (3, true), &["m1", "m1", "m2"]),
        ("only one zone allowed", TWO, |j| (j.tasks, j.zone) = (2, Some("b".into())), &["m2", "m2"]),
        ("only one type allowed", ODD, |j| j.types = Some(vec!["g2".into()]), &["m1"]),
        ("no spot", ODD, |j| j.spot = false, &["m1"]),
        ("no accelerator wanted", ODD, |j| j.cpus = 8.0, &["m2"]),
        ("an accelerator wanted", ODD, |j| j.gpus = 1.0, &["m1"]),
        ("memory", TWO, |j| (j.tasks, j.memory_gb) = (3, 60.0), &["m1", "m2"]),
        ("the team's limit", TWO, |j| (j.team, j.tasks, j.cpus) = ("red".into(), 2, 8.0), &["m1", "m2"]),
    ];
    for (name, machines, change, want) in cases {
        let now = Instant::now();
        let mut cluster = cluster_with(machines, now);
        add_job(&mut cluster, 1, now, change);
        let got: Vec<String> = plan_placements(&mut cluster, now).into_iter().map(|(_, m)| m).collect();
        assert_eq!(got, want, "{name}");
    }
    // The limit of 20 holds over several jobs and plans.
    let now = Instant::now();
    let mut cluster =
        cluster_with(&[("m1", "c8", "a", false), ("m2", "c8", "a", false), ("m3", "c8", "a", false)], now);
    add_job(&mut cluster, 1, now, |j| (j.team, j.tasks, j.cpus) = ("red".into(), 2, 8.0));
    add_job(&mut cluster, 2, now, |j| (j.team, j.tasks, j.cpus) = ("red".into(), 2, 4.0));
    let first = plan::place(&mut cluster, &catalog(), now);
    cluster.bind_placements(first, now);
    assert_eq!(cluster.team_usage["red"].cpus, 20.0);
    assert!(plan::place(&mut cluster, &catalog(), now).is_empty());
}

#[test]
fn starts_follow_the_return_and_hopeless_work_its_age() {
    let now = Instant::now();
    let mut cluster = cluster_with(&[("m1", "c8", "a", false)], now);
    add_job(&mut cluster, 1, now, |j| j.estimate_s = 100.0);
    add_job(&mut cluster, 2, now, |j| j.estimate_s = 10.0);
    add_job(&mut cluster, 3, now, |j| (j.estimate_s, j.urgency) = (100.0, Urgency::Prod));
    // The team within its guarantee of 8 goes before any return.
    add_job(&mut cluster, 4, now, |j| (j.estimate_s, j.team) = (1000.0, "red".into()));
    let order: Vec<String> = plan::queue(&cluster, now).into_iter().map(|t| t.id.to_string()).collect();
    assert_eq!(order, ["run-000004", "run-000003", "run-000002", "run-000001"]);
    let late = now + Duration::from_secs(1_000_000);
    let order: Vec<String> = plan::queue(&cluster, late).into_iter().map(|t| t.id.to_string()).collect();
    assert_eq!(order[0], "run-000004");
    assert!(plan::queue(&cluster, late).len() == 4, "nothing is dropped for having no return left");
}

/// The grown deployments: a plan at 1,000 machines with thousands of waiting tasks took most of
/// the leader's processor time. Counted in rooms looked at, not in time.
#[test]
fn the_work_of_a_plan_is_bounded() {
    let now = Instant::now();
    let mut cluster = cluster_of_c8(1000, now);
    for n in 0..100 {
        add_job(&mut cluster, n, now, |j| (j.tasks, j.cpus) = (100, 1.0));
    }
    for n in 100..300 {
        add_job(&mut cluster, n, now, |j| (j.shape, j.tasks, j.cpus, j.same_zone) = (Shape::Gang, 6, 8.0, true));
    }
    let (first, looked) = plan::place_counting_examined(&mut cluster, &catalog(), now);
    assert_eq!(first.len(), 1000, "a plan stops at what can be stored");
    assert!(looked < 500_000, "{looked}");
    cluster.bind_placements(first, now);
    let mut looks = Vec::new();
    loop {
        let (more, looked) = plan::place_counting_examined(&mut cluster, &catalog(), now);
        looks.push(looked);
        if more.is_empty() {
            break;
        }
        cluster.bind_placements(more, now);
    }
    assert!(looks.iter().all(|l| *l < 500_000), "{looks:?}");
    let full = looks.last().copied().unwrap_or(0);
    assert!(full < 10_000, "with nothing free hardly anything is looked at: {full}");
}

/// A gang of six waited for minutes, since smaller work took each machine as it came free.
#[test]
fn room_is_held_for_a_gang_and_pressed_work_goes_before() {
    let start = Instant::now();
    let now = start + Duration::from_secs(10);
    let full = |due_s: Option<f64>, estimate_s: f64| {
        let mut cluster = cluster_of_c8(6, start);
        // Half of the machines are taken for some 20 s more.
        for n in 0..3 {
            add_job(&mut cluster, n, start, |j| (j.cpus, j.estimate_s) = (8.0, 30.0));
        }
        let first = plan::place(&mut cluster, &catalog(), start);
        cluster.bind_placements(first, start);
        add_job(&mut cluster, 9, start, |j| (j.shape, j.tasks, j.cpus, j.estimate_s) = (Shape::Gang, 6, 8.0, 300.0));
        for i in 0..6 {
            let name = format!("m{i:04}");
            cluster.take_heartbeat(heartbeat(&name, "c8", "a", false, 2, vec![]), MessageKind::Heartbeat, None, now);
        }
        cluster.reservations = reservations::choose(&cluster, &catalog(), now);
        add_job(&mut cluster, 20, now, |j| (j.cpus, j.estimate_s, j.due_s) = (2.0, estimate_s, due_s));
        plan::place(&mut cluster, &catalog(), now).len()
    };
    for (name, due_s, estimate_s, want) in [
        ("what would stay too long waits", None, 100.0, 0),
        ("what ends in time may go", None, 5.0, 1),
        ("hard work with time to spare waits", Some(500.0), 100.0, 0),
        ("hard work that is pressed may go", Some(110.0), 100.0, 1),
    ] {
        assert_eq!(full(due_s, estimate_s), want, "{name}");
    }
}

/// Incidents 2c19 and 8ad0: jobs that fail on every machine took 15 and 42 well machines out, and all of
/// their tasks were tried again at once, with machines rented for them.
#[test]
fn a_job_that_fails_everywhere_costs_the_others_nothing() {
    let now = Instant::now();
    let machines: Vec<_> = ["m1", "m2", "m3", "m4"].iter().map(|n| (*n, "c8", "a", false)).collect();
    let mut cluster = cluster_with(&machines, now);
    add_job(&mut cluster, 1, now, |j| (j.tasks, j.cpus, j.estimate_s) = (12, 4.0, 100.0));
    let first = plan::place(&mut cluster, &catalog(), now);
    assert_eq!(first.len(), 8);
    cluster.bind_placements(first.clone(), now);
    let (_, shards) = cluster.next_writes(10, now);
    cluster.record_stored_shards(&shards, 1);
    for machine in ["m1", "m2", "m3", "m4"] {
        cluster.heartbeat_response_commands(machine, now);
    }
    for (seq, placement) in (2..).zip(&first) {
        fail(&mut cluster, 1, placement.task.index, &placement.machine, seq, now);
    }
    assert_eq!(cluster.attribution.counts(), [0, 1, 1], "the job is suspected, no machine is");
    assert!(cluster.machines.values().all(|m| m.state == MachineState::Up && !m.quarantined));
    let later = now + Duration::from_secs(6);
    // Beside work that ends, it comes last, a few tasks at a time.
    add_job(&mut cluster, 2, now, |j| (j.cpus, j.estimate_s) = (1.0, 1000.0));
    let order: Vec<String> = plan::queue(&cluster, later).into_iter().map(|t| t.id.to_string()).collect();
    assert_eq!(order, ["run-000002", "run-000001"]);
    for machine in ["m1", "m2", "m3", "m4"] {
        cluster.take_heartbeat(heartbeat(machine, "c8", "a", false, 50, vec![]), MessageKind::Heartbeat, None, later);
    }
    let again = plan::place(&mut cluster, &catalog(), later);
    assert_eq!(again.iter().filter(|p| &*p.task.job == "run-000001").count(), 2);
    // With every machine full, none is rented for it.
    cluster.bind_placements(again, later);
    add_job(&mut cluster, 3, now, |j| (j.tasks, j.cpus, j.zone) = (7, 4.0, Some("a".into())));
    let placements = plan::place(&mut cluster, &catalog(), later);
    cluster.bind_placements(placements, later);
    let late = later + Duration::from_secs(3600);
    let rented = plan_scale_out(&cluster, &catalog(), &CapacityRefusals::default(), &Default::default(), late);
    assert!(rented.iter().map(|demand| demand.count).sum::<u64>() <= 1, "{rented:?}");
}

fn fail(cluster: &mut ClusterState, job: u32, index: u32, machine: &str, seq: u64, now: Instant) {
    let task = TaskKey { job: format!("run-{job:06}").into(), index };
    let attempt_report = AttemptReport {
        task,
        attempt: 1,
        status: AttemptStatus::Exited,
        cause: Some(crate::protocol::workers::ExitCause::Error),
        saved: None,
    };
    cluster.take_heartbeat(
        heartbeat(machine, "c8", "a", false, seq, vec![attempt_report]),
        MessageKind::Heartbeat,
        None,
        now,
    );
}
