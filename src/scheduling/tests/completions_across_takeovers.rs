//! Tasks of one job that end far apart across a takeover (issue 34, section 3, case 3).

use super::world::*;
use super::*;
use crate::jobs::End;
use crate::protocol::workers::ExitCause;
use crate::scheduling::cluster::Placement;

/// Arrays of two and three: the first exit is stored or not yet when the leader ends. It is known to the successor
/// either way, its task never runs again, and the job is done with the last exit, neither before nor never.
#[test]
fn the_first_of_ends_far_apart_survives_a_takeover() {
    for (tasks, stored, known) in
        [2, 3].into_iter().flat_map(|n| [(n, true, true), (n, false, true), (n, false, false)])
    {
        let names = ["m0", "m1", "m2"];
        let mut world = World::new(&names, |j| j.tasks = tasks);
        let mut old = world.elect_leader();
        for (index, m) in (0..tasks as u32).zip(names) {
            world.exchange_heartbeat(&mut old, m);
            world.bind_tasks(&mut old, &[index], m);
            world.exchange_heartbeat(&mut old, m);
        }
        let running = world.next_heartbeat("m0");
        world.exit_task("m0", 0, 1, ExitCause::Done);
        if known {
            world.exchange_heartbeat(&mut old, "m0");
        }
        if stored {
            world.store_all(&mut old);
            world.exchange_heartbeat(&mut old, "m0");
            assert!(world.workers["m0"].reaped.contains(&(task_key(0), 1)));
        } else {
            assert!(world.workers["m0"].reaped.is_empty(), "what is not stored is not reaped");
        }
        drop(old);
        for takeover in 0..3 {
            let mut cluster = world.elect_leader();
            assert_eq!(cluster.task_counts(&JOB.into()).done, u64::from(stored || takeover > 0));
            // An old copy shows it running; it makes nothing of it go back.
            cluster.take_heartbeat(running.clone(), MessageKind::Heartbeat, None, world.now);
            drop(cluster.heartbeat_response_commands("m0", world.now));
            for _ in 0..3 {
                world.exchange_heartbeat(&mut cluster, "m0");
                world.store_all(&mut cluster);
                assert_eq!(
                    (cluster.task_counts(&JOB.into()).done, world.ended),
                    (1, None),
                    "{tasks} tasks, {takeover}"
                );
                assert_eq!(plan_placements(&mut cluster, world.now), [], "none waits");
            }
            world.now += secs(100.0);
        }
        // The others end one after the other, each under another leader.
        for (index, m) in (1..tasks as u32).zip(&names[1..]) {
            assert_eq!(world.ended, None);
            let mut cluster = world.elect_leader();
            world.exit_task(m, index, 1, ExitCause::Done);
            world.exchange_heartbeat(&mut cluster, m);
            world.store_all(&mut cluster);
        }
        assert_eq!(world.ended, Some(End::Done), "{tasks} tasks");
    }
}

/// A gang of which one task is reported done is done. The end is not stored when the leader ends; the successor hears
/// of it from the first machine, which reaped nothing, and never hears the other one.
#[test]
fn a_gang_is_done_by_the_one_exit_that_the_successor_hears() {
    for heard in ["by the old leader", "by the successor alone", "as a late copy"] {
        let mut world = World::new(&["m0", "m1"], |j| (j.shape, j.tasks) = (Shape::Gang, 2));
        let mut old = world.elect_leader();
        for m in ["m0", "m1"] {
            world.exchange_heartbeat(&mut old, m);
        }
        let waiting: Vec<Placement> =
            [(0, "m0"), (1, "m1")].map(|(i, m)| Placement { task: task_key(i), attempt: 1, machine: m.into() }).into();
        old.bind_placements(waiting, world.now);
        world.store_all(&mut old);
        for m in ["m0", "m1"] {
            world.exchange_heartbeat(&mut old, m);
        }
        world.exit_task("m0", 0, 1, ExitCause::Done);
        world.exit_task("m1", 1, 1, ExitCause::Done);
        if heard == "by the old leader" {
            world.exchange_heartbeat(&mut old, "m0");
            // Its other machine is lost before the end is stored: the gang is not begun anew for that.
            old.remove_machine(&"m1".into(), world.now);
            assert_eq!(plan_placements(&mut old, world.now), []);
            world.exchange_heartbeat(&mut old, "m0");
            assert!(world.workers["m0"].reaped.is_empty(), "its end is not stored");
        }
        drop(old);
        let mut cluster = world.elect_leader();
        assert_eq!(world.ended, None);
        if heard == "as a late copy" {
            let copy = world.next_heartbeat("m0");
            world.workers.get_mut("m0").unwrap().terminated = true;
            cluster.take_heartbeat(copy, MessageKind::Heartbeat, None, world.now);
        } else {
            world.exchange_heartbeat(&mut cluster, "m0");
        }
        world.store_all(&mut cluster);
        assert_eq!(world.ended, Some(End::Done), "{heard}");
        // What is left is on a machine that nobody hears. It is none of a cancellation's, and starts nowhere.
        world.now += secs(40.0);
        assert!(cluster.overdue_machines(world.now).is_empty());
        assert_eq!(plan_placements(&mut cluster, world.now), []);
        let mut successor = world.elect_leader();
        assert_eq!(plan_placements(&mut successor, world.now), []);
    }
}
