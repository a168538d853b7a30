//! Cancelled tasks on machines that are silent, terminating or inherited by a successor are stopped or proven gone
//! within the cancellation deadline (issue 34, section 3, cases 2 and 7).

use super::world::*;
use super::*;
use crate::jobs::End;

/// A job is cancelled while many of its machines are silent at the same time. For silence alone they would be kept for
/// two leases; because of cancelled tasks that are not proven gone, each is terminated within 45% of the cancellation
/// deadline. A machine that sends heartbeats is told to stop with its first answer.
#[test]
fn machines_with_cancelled_tasks_that_a_successor_never_hears_are_terminated_in_time() {
    let names = ["m0", "m1", "m2", "m3", "m4", "m5"];
    let mut world = World::new(&names, |j| j.tasks = 6);
    let mut old = world.elect_leader();
    for (index, m) in (0..).zip(names) {
        world.exchange_heartbeat(&mut old, m);
        world.bind_tasks(&mut old, &[index], m);
        world.exchange_heartbeat(&mut old, m);
    }
    drop(old);
    let mut cluster = world.elect_leader();
    let cancellation_deadline = cluster.settings.params.workers.cancellation_deadline();
    world.ended = Some(End::Cancelled);
    cluster.end_job(&JOB.into(), world.ended, world.now);
    let cancelled_at = world.now;
    let mut terminated_after = None;
    while world.now - cancelled_at < cancellation_deadline {
        world.exchange_heartbeat(&mut cluster, "m0");
        assert!(!world.workers["m0"].has_live_attempt(&task_key(0)), "stopped with its first answer");
        cluster.tick(world.now);
        if !terminating_machines(&cluster).is_empty() {
            terminated_after.get_or_insert(world.now - cancelled_at);
        }
    }
    assert_eq!(
        terminating_machines(&cluster),
        ["m1", "m2", "m3", "m4", "m5"],
        "all silent machines, though they are silent together"
    );
    assert!(terminated_after.unwrap() < cancellation_deadline.mul_f64(0.45) + secs(1.0), "{terminated_after:?}");
}

/// A machine is scheduled for termination, the cloud answers nobody, and the machine sends heartbeats again. Answers to
/// them renew its lease, so they must stop its cancelled tasks, and they launch nothing.
#[test]
fn terminating_machine_is_told_to_stop_its_cancelled_tasks() {
    for (name, cancelled_first) in
        [("cancelled after the machine is terminating", false), ("terminating because of the cancellation", true)]
    {
        let mut world = World::new(&["m1", "m2"], |j| j.tasks = 2);
        let mut cluster = world.elect_leader();
        world.exchange_heartbeat(&mut cluster, "m1");
        world.bind_tasks(&mut cluster, &[0], "m1");
        world.exchange_heartbeat(&mut cluster, "m1");
        // Another task was placed there, but its launch is not sent yet.
        world.bind_tasks(&mut cluster, &[1], "m1");
        let cancel = |world: &mut World, cluster: &mut ClusterState| {
            world.ended = Some(End::Cancelled);
            cluster.end_job(&JOB.into(), world.ended, world.now);
        };
        if cancelled_first {
            cancel(&mut world, &mut cluster);
        }
        // The machine hangs, within its lease, until it is scheduled for termination.
        for _ in 0..23 {
            world.now += secs(1.0);
            cluster.tick(world.now);
        }
        assert_eq!(terminating_machines(&cluster), ["m1"], "{name}");
        if !cancelled_first {
            assert_eq!(
                world.send_heartbeat(&mut cluster, "m1").commands,
                [],
                "no task starts on a terminating machine"
            );
            cancel(&mut world, &mut cluster);
        }
        // The cloud does not answer the termination request.
        world.exchange_heartbeat(&mut cluster, "m1");
        assert!(!world.workers["m1"].has_live_attempt(&task_key(0)), "{name}: stopped with its first answer");
    }
}

/// If each takeover restarted the wait for a cancelled task, two takeovers within that wait would let a hanging machine
/// hold the task past `cancel_s`. A successor counts from when the end was stored, as far as it knows. It leaves
/// machines two heartbeat intervals to prove again what they have proven to its predecessor, unless hardly any time is
/// left.
#[test]
fn takeover_does_not_restart_the_wait_for_a_cancelled_task() {
    for (name, ended_before_s, checked_after_s, overdue) in [
        ("cancelled under the successor, within the wait", 0.0, 21.0, false),
        ("cancelled under the successor, past the wait", 0.0, 23.0, true),
        ("cancelled before the takeover, within the wait", 15.0, 6.5, false),
        ("past the wait, but machines had no time to report to the successor", 20.0, 3.0, false),
        ("past the wait, and machines had time to report", 20.0, 6.5, true),
        ("cancelled just before the takeover", 0.0, 0.5, false),
        ("hardly any time is left", 37.0, 0.5, true),
    ] {
        let mut world = World::new(&["m1"], |j| j.tasks = 1);
        let mut old = world.elect_leader();
        world.exchange_heartbeat(&mut old, "m1");
        world.bind_tasks(&mut old, &[0], "m1");
        world.exchange_heartbeat(&mut old, "m1");
        let mut cluster = world.elect_leader();
        let ended = world.now - secs(ended_before_s);
        cluster.end_job(&JOB.into(), Some(End::Cancelled), ended);
        assert_eq!(cluster.overdue_machines(world.now + secs(checked_after_s)).len(), usize::from(overdue), "{name}");
    }
}
