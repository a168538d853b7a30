//! Completions of one job's tasks that lie far apart, with a takeover in between (issue 34, section 3, case 3).

use super::world::*;
use super::*;
use crate::jobs::End;
use crate::protocol::workers::ExitCause;
use crate::scheduling::cluster::Placement;

/// The first exit of an array of two or three tasks is stored or not when the leader fails. Either way the successor
/// learns of it, the task never runs again, and the job is done with the last exit and not before.
#[test]
fn first_completion_of_an_array_survives_takeovers() {
    for (tasks, stored, reported) in
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
        if reported {
            world.exchange_heartbeat(&mut old, "m0");
        }
        if stored {
            world.store_all(&mut old);
            world.exchange_heartbeat(&mut old, "m0");
            assert!(world.workers["m0"].reaped.contains(&(task_key(0), 1)));
        } else {
            assert!(world.workers["m0"].reaped.is_empty(), "an exit that is not stored is not reaped");
        }
        drop(old);
        for takeover in 0..3 {
            let mut cluster = world.elect_leader();
            assert_eq!(cluster.task_counts(&JOB.into()).done, u64::from(stored || takeover > 0));
            // A late copy of an old heartbeat shows the task running and must not undo its completion.
            cluster.take_heartbeat(running.clone(), MessageKind::Heartbeat, None, world.now);
            drop(cluster.heartbeat_response_commands("m0", world.now));
            for _ in 0..3 {
                world.exchange_heartbeat(&mut cluster, "m0");
                world.store_all(&mut cluster);
                assert_eq!(
                    (cluster.task_counts(&JOB.into()).done, world.ended),
                    (1, None),
                    "{tasks} tasks, takeover {takeover}"
                );
                assert_eq!(plan_placements(&mut cluster, world.now), [], "no task waits");
            }
            world.now += secs(100.0);
        }
        // The other tasks exit one after the other, each under another leader.
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

/// A gang is done once one of its tasks is reported done. Its end is not stored when the leader fails; the successor
/// learns of it from the first machine, which has reaped nothing, and never hears the second machine.
#[test]
fn gang_is_done_once_the_successor_hears_of_one_completion() {
    for reported in ["by the old leader", "by the successor alone", "as a late copy"] {
        let mut world = World::new(&["m0", "m1"], |j| (j.shape, j.tasks) = (Shape::Gang, 2));
        let mut old = world.elect_leader();
        for m in ["m0", "m1"] {
            world.exchange_heartbeat(&mut old, m);
        }
        let placements: Vec<Placement> =
            [(0, "m0"), (1, "m1")].map(|(i, m)| Placement { task: task_key(i), attempt: 1, machine: m.into() }).into();
        old.bind_placements(placements, world.now);
        world.store_all(&mut old);
        for m in ["m0", "m1"] {
            world.exchange_heartbeat(&mut old, m);
        }
        world.exit_task("m0", 0, 1, ExitCause::Done);
        world.exit_task("m1", 1, 1, ExitCause::Done);
        if reported == "by the old leader" {
            world.exchange_heartbeat(&mut old, "m0");
            // Losing the other machine before the end is stored must not restart the gang.
            old.remove_machine(&"m1".into(), world.now);
            assert_eq!(plan_placements(&mut old, world.now), []);
            world.exchange_heartbeat(&mut old, "m0");
            assert!(world.workers["m0"].reaped.is_empty(), "an exit that is not stored is not reaped");
        }
        drop(old);
        let mut cluster = world.elect_leader();
        assert_eq!(world.ended, None);
        if reported == "as a late copy" {
            let copy = world.next_heartbeat("m0");
            world.workers.get_mut("m0").unwrap().terminated = true;
            cluster.take_heartbeat(copy, MessageKind::Heartbeat, None, world.now);
        } else {
            world.exchange_heartbeat(&mut cluster, "m0");
        }
        world.store_all(&mut cluster);
        assert_eq!(world.ended, Some(End::Done), "{reported}");
        // The other task remains on a machine that no leader hears. It belongs to no cancellation, so its machine is
        // not overdue, and the task is not started elsewhere.
        world.now += secs(40.0);
        assert!(cluster.overdue_machines(world.now).is_empty());
        assert_eq!(plan_placements(&mut cluster, world.now), []);
        let mut successor = world.elect_leader();
        assert_eq!(plan_placements(&mut successor, world.now), []);
    }
}
