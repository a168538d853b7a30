//! Takeovers while machines with long tasks are unreachable or receive nothing from the successor (issue 34, section 3,
//! case 2).

use super::world::*;
use super::*;
use crate::jobs::record::StoredTask;
use crate::scheduling::cluster::Placement;

/// A takeover with five machines that run long tasks: one is healthy, one receives nothing from the successor, one is
/// paused with a command of the old leader queued, one loses its lease, and one is lost. Only tasks that are proven gone
/// are placed again.
#[test]
fn successor_adopts_running_tasks_and_replaces_only_those_proven_gone() {
    let names = ["m0", "m1", "m2", "m3", "m4", "m5"];
    let mut world = World::new(&names, |j| j.tasks = 5);
    let mut old = world.elect_leader();
    for m in names {
        world.exchange_heartbeat(&mut old, m);
    }
    for index in 0..5 {
        world.bind_tasks(&mut old, &[index], names[index as usize]);
    }
    for m in ["m0", "m1", "m3", "m4"] {
        world.exchange_heartbeat(&mut old, m);
    }
    let delayed = world.next_command_to(&mut old, "m2").unwrap();
    assert_eq!(count_launches(&delayed.commands), 1);
    drop(old);
    let mut cluster = world.elect_leader();
    for t in 0..40 {
        world.exchange_heartbeat(&mut cluster, "m0");
        world.exchange_heartbeat(&mut cluster, "m5");
        // Heartbeats of the next two machines arrive, but the answers are lost.
        drop(world.send_heartbeat(&mut cluster, "m1"));
        if t < 20 {
            drop(world.send_heartbeat(&mut cluster, "m2"));
        }
        if t == 10 {
            world.expire_lease("m3");
        }
        if t != 10 {
            let answer = world.send_heartbeat(&mut cluster, "m3");
            assert_eq!(count_launches(&answer.commands), 0, "an inherited task is never launched again");
        }
        for index in 0..3 {
            assert_bound(&cluster, index, 1, names[index as usize]);
        }
        let attempt_after_lost_lease = [Some(1), None, Some(2)][usize::from(t > 10) + usize::from(t > 11)];
        assert_eq!(binding_of(&cluster, 3).map(|(attempt, _)| attempt), attempt_after_lost_lease, "at step {t}");
        assert_bound(&cluster, 4, 1, "m4");
        world.bind_waiting(&mut cluster, "m5");
        world.exchange_heartbeat(&mut cluster, "m5");
        assert_eq!(cluster.team_usage["blue"].cpus, 5.0, "all tasks count for the team, reported or not");
        cluster.tick(world.now);
        world.now += secs(0.1);
        if t == 20 {
            // The paused machine resumes and executes the old leader's launch, which matches the stored binding.
            drop(world.deliver_command(&delayed));
        }
    }
    // After twelve seconds of silence the lost machine is terminated, which proves its task gone.
    assert!(terminating_machines(&cluster).contains(&"m4"));
    world.terminate_machine(&mut cluster, "m4");
    world.bind_waiting(&mut cluster, "m5");
    world.exchange_heartbeat(&mut cluster, "m5");
    assert_bound(&cluster, 4, 2, "m5");
    assert_eq!(names.map(|m| world.workers[m].attempts.len()), [1, 1, 1, 0, 1, 2]);
}

/// A successor learns that one machine of a gang has lost its lease, and cannot reach the other machine. The next
/// attempt of the gang, in one zone or in several, must not be placed until the other task is proven gone as well.
#[test]
fn gang_restarts_only_when_its_task_on_an_unreachable_machine_is_proven_gone() {
    for same_zone in [true, false] {
        let names = ["m0", "m1", "m2", "m3"];
        let mut world =
            World::new(&names, |j| (j.shape, j.tasks, j.cpus, j.same_zone) = (Shape::Gang, 2, 8.0, same_zone));
        let mut old = world.elect_leader();
        for m in names {
            world.exchange_heartbeat(&mut old, m);
        }
        let places =
            [(0, "m0"), (1, "m1")].map(|(i, m)| Placement { task: task_key(i), attempt: 1, machine: m.into() });
        old.bind_placements(places.into(), world.now);
        world.store_all(&mut old);
        world.exchange_heartbeat(&mut old, "m0");
        world.exchange_heartbeat(&mut old, "m1");
        drop(old);
        let mut cluster = world.elect_leader();
        world.expire_lease("m0");
        for step in 0..6 {
            for m in ["m0", "m2", "m3"] {
                world.exchange_heartbeat(&mut cluster, m);
            }
            world.store_all(&mut cluster);
            assert_eq!(binding_of(&cluster, 0).is_none(), step > 0, "proven gone once its worker knows the successor");
            assert_bound(&cluster, 1, 1, "m1");
            assert_eq!(plan_placements(&mut cluster, world.now), [], "at step {step}, in one zone: {same_zone}");
        }
        // Once its machine is reachable, the task is stopped, since a part of a gang's attempt is of no use.
        world.exchange_heartbeat(&mut cluster, "m1");
        assert!(!world.workers["m1"].has_live_attempt(&task_key(1)));
        world.exchange_heartbeat(&mut cluster, "m1");
        assert_eq!(plan_placements(&mut cluster, world.now).len(), 2);
    }
}

/// Two of four tasks of a spread job are on a machine that the successor has not heard from, so that their zone is
/// unknown. No task is placed where it might be the third in one zone. Once the machine reports, the rest goes to the
/// other zone.
#[test]
fn task_on_a_machine_not_heard_from_counts_in_every_zone() {
    let now = Instant::now();
    for (zone, other) in [("a", "m3"), ("b", "m2")] {
        let mut cluster = ClusterState::new(7, example(), Properties::default(), now);
        let mut job = spec();
        job.id = JOB.into();
        (job.tasks, job.spread) = (4, true);
        let stored =
            (0..4).map(|i| if i < 2 { StoredTask::Bound(1, "m1".into()) } else { StoredTask::Untouched }).collect();
        cluster.load_job(Arc::new(JobRecord { spec: job, accepted_ms: time_of_day_ms() }), vec![(0, 5, stored)], now);
        cluster.finish_load(now);
        cluster.take_heartbeat(heartbeat("m2", "c8", "a", false, 1, vec![]), MessageKind::Heartbeat, None, now);
        cluster.take_heartbeat(heartbeat("m3", "c8", "b", false, 1, vec![]), MessageKind::Heartbeat, None, now);
        assert_eq!(plan_placements(&mut cluster, now), [], "m1 in {zone} has not reported");
        let attempts = (0..2)
            .map(|i| AttemptReport {
                task: task_key(i),
                attempt: 1,
                status: AttemptStatus::Running,
                cause: None,
                saved: None,
            })
            .collect();
        cluster.take_heartbeat(heartbeat("m1", "c8", zone, false, 1, attempts), MessageKind::Heartbeat, None, now);
        assert_eq!(plan_placements(&mut cluster, now), [(2, other.into()), (3, other.into())], "m1 is in {zone}");
    }
}
