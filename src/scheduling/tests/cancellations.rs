//! Cancelled tasks on machines that are silent, given up or inherited: they are stopped or proven gone in the time
//! that is allowed (issue 34, section 3, cases 2 and 7).

use super::world::*;
use super::*;
use crate::jobs::End;

/// Cancelled while many machines cannot be reached at once: for silence they would get two leases, but for a cancelled
/// task that is not proven gone each is returned within 45% of the time allowed, and those that hear are told at once.
#[test]
fn cancelled_tasks_on_machines_that_a_successor_never_hears_are_returned_in_time() {
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
    let told = world.now;
    let mut returned_after = None;
    while world.now - told < cancellation_deadline {
        world.exchange_heartbeat(&mut cluster, "m0");
        assert!(!world.workers["m0"].has_live_attempt(&task_key(0)), "told with its first answer");
        cluster.tick(world.now);
        if !terminating_machines(&cluster).is_empty() {
            returned_after.get_or_insert(world.now - told);
        }
    }
    assert_eq!(terminating_machines(&cluster), ["m1", "m2", "m3", "m4", "m5"], "all, though silent together");
    assert!(returned_after.unwrap() < cancellation_deadline.mul_f64(0.45) + secs(1.0), "{returned_after:?}");
}

/// A machine is to be returned, and the cloud answers nobody. It speaks again: its answers keep its lease, so they
/// stop what is cancelled there, and launch nothing.
#[test]
fn a_machine_to_be_returned_is_still_told_to_stop_what_is_cancelled() {
    for (name, cancelled_first) in [("withdrawn after it was given up", false), ("given up for the withdrawal", true)] {
        let mut world = World::new(&["m1", "m2"], |j| j.tasks = 2);
        let mut cluster = world.elect_leader();
        world.exchange_heartbeat(&mut cluster, "m1");
        world.bind_tasks(&mut cluster, &[0], "m1");
        world.exchange_heartbeat(&mut cluster, "m1");
        // Another was placed there, and not told yet.
        world.bind_tasks(&mut cluster, &[1], "m1");
        let cancel = |world: &mut World, cluster: &mut ClusterState| {
            world.ended = Some(End::Cancelled);
            cluster.end_job(&JOB.into(), world.ended, world.now);
        };
        if cancelled_first {
            cancel(&mut world, &mut cluster);
        }
        // It hangs, within its lease, until it is given up.
        for _ in 0..23 {
            world.now += secs(1.0);
            cluster.tick(world.now);
        }
        assert_eq!(terminating_machines(&cluster), ["m1"], "{name}");
        if !cancelled_first {
            assert_eq!(world.send_heartbeat(&mut cluster, "m1").commands, [], "nothing starts there");
            cancel(&mut world, &mut cluster);
        }
        // No return is answered.
        world.exchange_heartbeat(&mut cluster, "m1");
        assert!(!world.workers["m1"].has_live_attempt(&task_key(0)), "{name}: stopped with its first answer");
    }
}

/// Each takeover began the patience with a cancelled task anew: two within it, and a machine that hangs held the
/// task past `cancel_s`. A successor counts from when the end was stored, as far as it knows, and gives machines two
/// reports' time to prove to it what they have proven to the one before, unless hardly any time is left.
#[test]
fn a_successor_begins_no_new_patience_with_what_was_cancelled_before_it() {
    for (name, ended_before, after, due) in [
        ("withdrawn under it, within its patience", 0.0, 21.0, false),
        ("withdrawn under it, past its patience", 0.0, 23.0, true),
        ("within the patience", 15.0, 6.5, false),
        ("past it, and the successor has hardly listened", 20.0, 3.0, false),
        ("past it, and machines had time to tell", 20.0, 6.5, true),
        ("just told, and just taken over", 0.0, 0.5, false),
        ("nearly all the time is gone", 37.0, 0.5, true),
    ] {
        let mut world = World::new(&["m1"], |j| j.tasks = 1);
        let mut old = world.elect_leader();
        world.exchange_heartbeat(&mut old, "m1");
        world.bind_tasks(&mut old, &[0], "m1");
        world.exchange_heartbeat(&mut old, "m1");
        let mut cluster = world.elect_leader();
        let ended = world.now - secs(ended_before);
        cluster.end_job(&JOB.into(), Some(End::Cancelled), ended);
        assert_eq!(cluster.overdue_machines(world.now + secs(after)).len(), usize::from(due), "{name}");
    }
}
