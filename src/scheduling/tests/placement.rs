//! Tests of placement: which tasks fit where, in which order jobs are considered, and how much work a plan takes.

use super::*;
use crate::fleet::scale_out::{CapacityRefusals, plan_scale_out};
use crate::scheduling::reservations;
use crate::store::TransactionLimits;

#[test]
fn tasks_are_placed_where_capacity_zones_types_and_limits_allow() {
    type Case = (
        &'static str,
        &'static [(&'static str, &'static str, &'static str, bool)],
        fn(&mut JobSpec),
        &'static [&'static str],
    );
    const TWO_ZONES: &[(&str, &str, &str, bool)] = &[("m1", "c8", "a", false), ("m2", "c8", "b", false)];
    const GPU_AND_SPOT: &[(&str, &str, &str, bool)] = &[("m1", "g2", "a", false), ("m2", "c8", "b", true)];
    let cases: [Case; 13] = [
        ("one task fits", TWO_ZONES, |_| (), &["m1"]),
        (
            "an array is placed as far as it fits",
            TWO_ZONES,
            |j| (j.tasks, j.cpus) = (5, 4.0),
            &["m1", "m1", "m2", "m2"],
        ),
        ("a gang that fits", TWO_ZONES, |j| (j.shape, j.tasks, j.cpus) = (Shape::Gang, 2, 8.0), &["m1", "m2"]),
        ("a gang is all or nothing", TWO_ZONES, |j| (j.shape, j.tasks, j.cpus) = (Shape::Gang, 3, 8.0), &[]),
        (
            "a gang in one zone",
            TWO_ZONES,
            |j| (j.shape, j.tasks, j.cpus, j.same_zone) = (Shape::Gang, 2, 8.0, true),
            &[],
        ),
        (
            "a spread job has half of its tasks in one zone",
            TWO_ZONES,
            |j| (j.tasks, j.spread) = (3, true),
            &["m1", "m1", "m2"],
        ),
        ("only one zone allowed", TWO_ZONES, |j| (j.tasks, j.zone) = (2, Some("b".into())), &["m2", "m2"]),
        ("only one type allowed", GPU_AND_SPOT, |j| j.types = Some(vec!["g2".into()]), &["m1"]),
        ("no spot machine allowed", GPU_AND_SPOT, |j| j.spot = false, &["m1"]),
        ("no accelerator requested", GPU_AND_SPOT, |j| j.cpus = 8.0, &["m2"]),
        ("an accelerator requested", GPU_AND_SPOT, |j| j.gpus = 1.0, &["m1"]),
        ("memory", TWO_ZONES, |j| (j.tasks, j.memory_gb) = (3, 60.0), &["m1", "m2"]),
        ("the team's limit", TWO_ZONES, |j| (j.team, j.tasks, j.cpus) = ("red".into(), 2, 8.0), &["m1", "m2"]),
    ];
    for (name, machines, change, expected) in cases {
        let now = Instant::now();
        let mut cluster = cluster_with(machines, now);
        add_job(&mut cluster, 1, now, change);
        let placed_on: Vec<String> = plan_placements(&mut cluster, now).into_iter().map(|(_, m)| m).collect();
        assert_eq!(placed_on, expected, "{name}");
    }
    // The team's limit of 20 CPUs holds across jobs and plans.
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

/// Jobs are ordered by the return of their tasks, behind teams that are below their guarantee. Jobs that are too late to
/// have any return stay in the queue.
#[test]
fn queue_orders_jobs_by_return_and_keeps_those_without_return() {
    let now = Instant::now();
    let mut cluster = cluster_with(&[("m1", "c8", "a", false)], now);
    add_job(&mut cluster, 1, now, |j| j.estimate_s = 100.0);
    add_job(&mut cluster, 2, now, |j| j.estimate_s = 10.0);
    add_job(&mut cluster, 3, now, |j| (j.estimate_s, j.urgency) = (100.0, Urgency::Prod));
    // A team within its guarantee of 8 CPUs goes first, whatever the returns are.
    add_job(&mut cluster, 4, now, |j| (j.estimate_s, j.team) = (1000.0, "red".into()));
    let order: Vec<String> = plan::queue(&cluster, now).into_iter().map(|t| t.id.to_string()).collect();
    assert_eq!(order, ["run-000004", "run-000003", "run-000002", "run-000001"]);
    let late = now + Duration::from_secs(1_000_000);
    let order: Vec<String> = plan::queue(&cluster, late).into_iter().map(|t| t.id.to_string()).collect();
    assert_eq!(order[0], "run-000004");
    assert!(plan::queue(&cluster, late).len() == 4, "no job is dropped for having no return left");
}

/// Regression test: on large deployments, a plan for 1,000 machines and thousands of waiting tasks took most of the
/// leader's processor time. The work is counted in machines examined, not in time.
#[test]
fn work_of_a_plan_is_bounded_with_1000_machines_and_thousands_of_tasks() {
    let now = Instant::now();
    let mut cluster = cluster_of_c8(1000, now);
    for n in 0..100 {
        add_job(&mut cluster, n, now, |j| (j.tasks, j.cpus) = (100, 1.0));
    }
    for n in 100..300 {
        add_job(&mut cluster, n, now, |j| (j.shape, j.tasks, j.cpus, j.same_zone) = (Shape::Gang, 6, 8.0, true));
    }
    let (first, examined) = plan::place_counting_examined(&mut cluster, &catalog(), now);
    assert_eq!(first.len(), 1000, "a plan stops at what can be stored");
    assert!(examined < 500_000, "{examined}");
    cluster.bind_placements(first, now);
    let mut examined_by_plan = Vec::new();
    loop {
        let (more, examined) = plan::place_counting_examined(&mut cluster, &catalog(), now);
        examined_by_plan.push(examined);
        if more.is_empty() {
            break;
        }
        cluster.bind_placements(more, now);
    }
    assert!(examined_by_plan.iter().all(|examined| *examined < 500_000), "{examined_by_plan:?}");
    let examined_when_full = examined_by_plan.last().copied().unwrap_or(0);
    assert!(examined_when_full < 10_000, "machines examined without free capacity: {examined_when_full}");
}

/// Regression test: a gang of six waited for minutes, since smaller jobs took each machine as it came free. Machines are
/// reserved for the gang, and only jobs that end in time or are near their deadline may use them.
#[test]
fn capacity_is_reserved_for_a_gang_except_from_jobs_near_their_deadline() {
    let start = Instant::now();
    let now = start + Duration::from_secs(10);
    let placements_with_reservation = |due_s: Option<f64>, estimate_s: f64| {
        let mut cluster = cluster_of_c8(6, start);
        // Half of the machines are busy for another 20 s or so.
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
        cluster.reservations = reservations::choose_reservations(&cluster, &catalog(), now);
        add_job(&mut cluster, 20, now, |j| (j.cpus, j.estimate_s, j.due_s) = (2.0, estimate_s, due_s));
        plan::place(&mut cluster, &catalog(), now).len()
    };
    for (name, due_s, estimate_s, expected) in [
        ("a job that would run too long waits", None, 100.0, 0),
        ("a job that ends in time is placed", None, 5.0, 1),
        ("a job with a distant deadline waits", Some(500.0), 100.0, 0),
        ("a job near its deadline is placed", Some(110.0), 100.0, 1),
    ] {
        assert_eq!(placements_with_reservation(due_s, estimate_s), expected, "{name}");
    }
}

/// Regression test for incidents 2c19 and 8ad0: jobs that failed on every machine took 15 and 42 healthy machines out of
/// service, and all of their tasks were retried at once, with machines rented for them.
#[test]
fn job_that_fails_everywhere_is_quarantined_and_takes_no_machine_from_others() {
    let now = Instant::now();
    let machines: Vec<_> = ["m1", "m2", "m3", "m4"].iter().map(|n| (*n, "c8", "a", false)).collect();
    let mut cluster = cluster_with(&machines, now);
    add_job(&mut cluster, 1, now, |j| (j.tasks, j.cpus, j.estimate_s) = (12, 4.0, 100.0));
    let first = plan::place(&mut cluster, &catalog(), now);
    assert_eq!(first.len(), 8);
    cluster.bind_placements(first.clone(), now);
    let (_, shards) = cluster.next_writes(&TransactionLimits::of_changes(10), now);
    cluster.record_stored_shards(&shards, 1);
    for machine in ["m1", "m2", "m3", "m4"] {
        cluster.heartbeat_response_commands(machine, now);
    }
    for (seq, placement) in (2..).zip(&first) {
        report_failure(&mut cluster, 1, placement.task.index, &placement.machine, seq, now);
    }
    assert_eq!(cluster.attribution.counts(), [0, 1, 1], "the job is quarantined, and no machine is");
    assert!(cluster.machines.values().all(|m| m.state == MachineState::Up && !m.quarantined));
    let later = now + Duration::from_secs(6);
    // It comes behind other jobs, with a few tasks at a time.
    add_job(&mut cluster, 2, now, |j| (j.cpus, j.estimate_s) = (1.0, 1000.0));
    let order: Vec<String> = plan::queue(&cluster, later).into_iter().map(|t| t.id.to_string()).collect();
    assert_eq!(order, ["run-000002", "run-000001"]);
    for machine in ["m1", "m2", "m3", "m4"] {
        cluster.take_heartbeat(heartbeat(machine, "c8", "a", false, 50, vec![]), MessageKind::Heartbeat, None, later);
    }
    let again = plan::place(&mut cluster, &catalog(), later);
    assert_eq!(again.iter().filter(|p| &*p.task.job == "run-000001").count(), 2);
    // With all machines full, no machine is rented for it.
    cluster.bind_placements(again, later);
    add_job(&mut cluster, 3, now, |j| (j.tasks, j.cpus, j.zone) = (7, 4.0, Some("a".into())));
    let placements = plan::place(&mut cluster, &catalog(), later);
    cluster.bind_placements(placements, later);
    let late = later + Duration::from_secs(3600);
    let rented = plan_scale_out(&cluster, &catalog(), &CapacityRefusals::default(), &Default::default(), late);
    assert!(rented.iter().map(|demand| demand.count).sum::<u64>() <= 1, "{rented:?}");
}

/// Delivers a heartbeat in which the first attempt of a task has failed.
fn report_failure(cluster: &mut ClusterState, job: u32, index: u32, machine: &str, seq: u64, now: Instant) {
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
