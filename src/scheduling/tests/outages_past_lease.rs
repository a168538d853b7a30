//! Outages that outlast worker leases: all controllers are down, or a zone is partitioned.

use super::simulation::*;
use super::world::*;
use super::*;

/// While no controller answers for longer than the lease, the workers kill their tasks and continue in the next agent
/// epoch, all at the same time or one of them much later. Each worker's tasks are placed again once it has heard the
/// new leader, and no machine that sends heartbeats is terminated. After a shorter outage the tasks still run.
#[test]
fn controller_outage_past_the_lease_loses_no_task_and_terminates_no_machine() {
    for (shape, outage_s, one_late) in [
        (Shape::Array, 20.0, false),
        (Shape::Array, 30.0, false),
        (Shape::Array, 30.0, true),
        (Shape::Gang, 20.0, false),
        (Shape::Gang, 30.0, true),
        (Shape::Gang, 300.0, false),
    ] {
        let name = format!("{shape:?}, controllers down for {outage_s} s, one machine late: {one_late}");
        let names = ["m1", "m2", "m3"];
        let mut simulation = Simulation::new(&names.map(|m| (m, "a")), |j| {
            (j.shape, j.tasks, j.cpus, j.estimate_s) = (shape, 3, 8.0, 900.0);
        });
        simulation.places_tasks = true;
        simulation.run(6.0);
        assert_eq!(simulation.live_tasks(&JOB.into()).len(), 3, "{name}");
        // No controller answers heartbeats, sends commands or processes anything.
        let lease = simulation.cluster.settings.params.workers.lease();
        for _ in 0..(outage_s / STEP_S) as usize {
            simulation.world.now += secs(STEP_S);
            let now = simulation.world.now;
            for m in names {
                if now - simulation.world.workers[m].lease_renewed_at.unwrap() > lease {
                    simulation.world.expire_lease(m);
                }
            }
        }
        simulation.fail_over();
        if one_late {
            simulation.outbound_lost = vec!["m3"];
            simulation.commands_refused = vec!["m3"];
            simulation.run(9.0);
            (simulation.outbound_lost, simulation.commands_refused) = (vec![], vec![]);
        }
        simulation.run(15.0);
        let live = simulation.live_tasks(&JOB.into());
        assert_eq!(
            (live.len(), simulation.terminated.len()),
            (3, 0),
            "{name}: live {live:?}, terminated {:?}",
            simulation.terminated
        );
        let attempts: Vec<u64> = (0..3).map(|i| binding_of(&simulation.cluster, i).unwrap().0).collect();
        let expected_attempt = if outage_s < 24.0 { 1 } else { 2 };
        assert!(attempts.iter().all(|a| *a == expected_attempt), "{name}: {attempts:?}");
    }
}

/// A zone with workers and a controller is partitioned for longer than the lease. The leader outside continues; inside,
/// workers either find no controller that may act, or the deposed leader still answers them for a while. The partition
/// heals before or after the machines are scheduled for termination. No task runs twice, and the cancelled task in the
/// zone is stopped in time.
#[test]
fn zone_partition_past_the_lease_heals_without_running_a_task_twice() {
    for (partition_s, deposed_answers_s, leader_changes) in [
        (20.0, 0.0, false),
        (30.0, 0.0, false),
        (40.0, 0.0, false),
        (40.0, 20.0, false),
        (70.0, 0.0, false),
        (70.0, 40.0, false),
        (70.0, 70.0, false),
        (70.0, 70.0, true),
    ] {
        let name = format!(
            "partitioned for {partition_s} s, deposed leader inside answers for {deposed_answers_s} s, \
             leader changes: {leader_changes}"
        );
        let (inside, outside) = (["m1", "m2", "m3", "m4"], ["m5", "m6", "m7"]);
        let machines: Vec<(&str, &str)> =
            inside.iter().map(|m| (*m, "a")).chain(outside.iter().map(|m| (*m, "b"))).collect();
        let mut simulation = Simulation::new(&machines, |j| (j.tasks, j.cpus, j.estimate_s) = (6, 8.0, 900.0));
        // One of the seven machines, inside the zone, runs the job that is cancelled.
        let cancelled_spec = |j: &mut JobSpec| (j.zone, j.cpus, j.estimate_s) = (Some("a".into()), 8.0, 900.0);
        let cancelled_job = simulation.world.accept_job(&mut simulation.cluster, 2, cancelled_spec);
        let key = TaskKey { job: cancelled_job.clone(), index: 0 };
        simulation.cluster.bind_placements(
            vec![crate::scheduling::cluster::Placement { task: key, attempt: 1, machine: "m1".into() }],
            simulation.world.now,
        );
        simulation.places_tasks = true;
        simulation.run(6.0);
        assert_eq!(
            (simulation.live_tasks(&JOB.into()).len(), simulation.live_tasks(&cancelled_job).len()),
            (6, 1),
            "{name}"
        );
        let mut deposed = None;
        if deposed_answers_s > 0.0 {
            // The old leader is inside the zone and has no store: it acts for the zone until it steps down.
            let successor = simulation.world.elect_leader();
            deposed = Some(std::mem::replace(&mut simulation.cluster, successor));
            simulation.load_machine_list();
        }
        (simulation.outbound_lost, simulation.commands_refused) = (inside.into(), inside.into());
        for step in 0..(partition_s / STEP_S) as usize {
            let t = step as f64 * STEP_S;
            if t == 0.5 {
                simulation.cancel_job(&cancelled_job);
            }
            if leader_changes && t > 0.0 && t % 12.0 == 0.0 {
                simulation.fail_over();
            }
            if let Some(deposed) =
                deposed.as_mut().filter(|_| t < deposed_answers_s && step % HEARTBEAT_INTERVAL_STEPS == 0)
            {
                for m in inside {
                    if simulation.world.workers[m].terminated {
                        continue;
                    }
                    let answer = simulation.world.send_heartbeat(deposed, m);
                    assert_eq!(count_launches(&answer.commands), 0, "{name}");
                    simulation.world.receive_answer(&answer);
                }
            }
            simulation.step();
        }
        (simulation.outbound_lost, simulation.commands_refused) = (vec![], vec![]);
        let terminated_before = simulation.terminated.len();
        simulation.run(30.0);
        let live = simulation.live_tasks(&JOB.into());
        let remaining = simulation.world.workers.values().filter(|w| !w.terminated).count();
        assert_eq!(live.len(), remaining.min(6), "{name}: live {live:?}, terminated {:?}", simulation.terminated);
        let terminated_after_healing = &simulation.terminated[terminated_before..];
        assert!(
            terminated_after_healing.iter().all(|m| *m == "m1"),
            "{name}: after healing only the machine with the cancelled task may be terminated: \
             {terminated_after_healing:?}"
        );
        assert!(
            partition_s > 45.0 || remaining >= 6,
            "{name}: at most the machine with the cancelled task may be terminated: {:?}",
            simulation.terminated
        );
    }
}
