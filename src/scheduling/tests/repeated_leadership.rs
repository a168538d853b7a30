//! Controllers that hand over and lead again, within a second too (issue 34, section 3, case 8): nothing is kept from
//! one cluster state of a leader to its next.

use super::world::*;
use crate::jobs::End;

/// A controller that leads again within the time of a command: what became of a command of its first time comes to the
/// second cluster state while that has a launch of its own on its way, and settles nothing of it.
#[test]
fn what_became_of_an_earlier_command_settles_none_of_a_later_cluster_state() {
    for (name, given_up) in [("given up", true), ("answered", false)] {
        for late_at in 0..8 {
            let mut world = World::new(&["m1", "m2"], |_| ());
            let mut first = world.elect_leader();
            world.exchange_heartbeat(&mut first, "m1");
            let before = world.announce_fencing_token(&mut first, "m1");
            // Deposed, and leader again within a second.
            drop(first);
            let mut cluster = world.elect_leader();
            world.exchange_heartbeat(&mut cluster, "m1");
            world.exchange_heartbeat(&mut cluster, "m2");
            world.bind_waiting(&mut cluster, "m1");
            let held = world.next_command_to(&mut cluster, "m1").unwrap();
            assert_eq!(count_launches(&held.commands), 1);
            if given_up {
                cluster.finish_direct_command(&before.machine, before.fencing_token, false, world.now);
            } else {
                let reply = world.deliver_command(&before).unwrap();
                world.deliver_reply(&mut cluster, &before, reply);
            }
            assert!(world.send_heartbeat(&mut cluster, "m1").commands.is_empty(), "{name}: a command is on its way");
            cluster.halt_task_or_gang(&task_key(0), 0, world.now);
            let mut started = false;
            for step in 0..8 {
                if step == late_at {
                    started = held.fencing_token >= world.workers["m1"].fencing_token;
                    drop(world.deliver_command(&held).unwrap());
                }
                world.exchange_heartbeat(&mut cluster, "m1");
                if !started && step < 4 {
                    assert_bound(&cluster, 0, 1, "m1");
                }
                if step == 3 {
                    world.time_out_command(&mut cluster, &held);
                    world.now += secs(5.0);
                    world.raise_fencing_token_if_needed(&mut cluster);
                }
                world.bind_waiting(&mut cluster, "m2");
                world.exchange_heartbeat(&mut cluster, "m2");
            }
            assert!(world.workers["m2"].has_live_attempt(&task_key(0)), "{name}, late at {late_at}");
        }
    }
}

/// It led, lost and leads again. A launch of its first time is still on its way; the one between never heard of the
/// machine. Nothing is kept from one cluster state to the next, so the task stays bound until the worker has heard the
/// newest fencing token, or its agent epoch is over, or the machine was returned.
#[test]
fn who_owns_again_believes_nothing_gone_that_its_first_time_may_yet_start() {
    for (proof, late_at) in
        ["token", "session", "return"].into_iter().flat_map(|proof| (0..6).map(move |at| (proof, at)))
    {
        let mut world = World::new(&["m1", "m2"], |_| ());
        let mut first = world.elect_leader();
        world.exchange_heartbeat(&mut first, "m1");
        world.bind_waiting(&mut first, "m1");
        let held = world.next_command_to(&mut first, "m1").unwrap();
        assert_eq!(count_launches(&held.commands), 1);
        drop(first);
        let mut between = world.elect_leader();
        assert_bound(&between, 0, 1, "m1");
        world.exchange_heartbeat(&mut between, "m2");
        assert_eq!(
            world.next_command_to(&mut between, "m1").map(|d| d.commands.len()),
            None,
            "no address to send it to"
        );
        drop(between);
        let mut cluster = world.elect_leader();
        assert!(cluster.first_fencing_token > held.fencing_token + 10);
        let late = |world: &mut World, step: usize| {
            if step == late_at {
                drop(world.deliver_command(&held));
            }
        };
        // Its heartbeats come, answers to it are lost: its fencing token is the first.
        for step in 0..3 {
            late(&mut world, step);
            drop(world.send_heartbeat(&mut cluster, "m1"));
            assert_bound(&cluster, 0, 1, "m1");
            world.bind_waiting(&mut cluster, "m2");
            world.exchange_heartbeat(&mut cluster, "m2");
        }
        match proof {
            "token" => world.exchange_heartbeat(&mut cluster, "m1"),
            "session" => {
                world.expire_lease("m1");
                // What was shown in the last agent epoch is over with it; what never was needs the fencing token still.
                drop(world.send_heartbeat(&mut cluster, "m1"));
                assert_eq!(binding_of(&cluster, 0).is_none(), late_at < 3);
                world.exchange_heartbeat(&mut cluster, "m1");
            }
            _ => world.terminate_machine(&mut cluster, "m1"),
        }
        for step in 3..6 {
            late(&mut world, step);
            if proof != "return" {
                world.exchange_heartbeat(&mut cluster, "m1");
            }
            // Inherited and shown, it is adopted; stopped here, so that it goes elsewhere.
            cluster.halt_task_or_gang(&task_key(0), 0, world.now);
            world.bind_waiting(&mut cluster, "m2");
            world.exchange_heartbeat(&mut cluster, "m2");
        }
        for _ in 0..3 {
            if proof != "return" {
                world.exchange_heartbeat(&mut cluster, "m1");
            }
            world.bind_waiting(&mut cluster, "m2");
            world.exchange_heartbeat(&mut cluster, "m2");
        }
        assert!(world.workers["m2"].has_live_attempt(&task_key(0)), "{proof}, late at {late_at}");
    }
}

/// The timers of the one that leads again begin anew: a machine is as old as its last cluster state, so that nothing is
/// returned for a silence in which nobody listened, and what is cancelled is stopped with the first answer whoever
/// leads.
#[test]
fn who_owns_again_counts_no_silence_of_before() {
    let mut world = World::new(&["m1", "m2"], |j| j.tasks = 2);
    let mut cluster = world.elect_leader();
    world.exchange_heartbeat(&mut cluster, "m1");
    world.exchange_heartbeat(&mut cluster, "m2");
    world.bind_tasks(&mut cluster, &[0], "m1");
    world.bind_tasks(&mut cluster, &[1], "m2");
    world.exchange_heartbeat(&mut cluster, "m1");
    world.exchange_heartbeat(&mut cluster, "m2");
    for hand_over in 0..4 {
        world.now += secs(11.0);
        cluster.tick(world.now);
        assert_eq!(terminating_machines(&cluster), Vec::<&str>::new(), "hand-over {hand_over}");
        cluster = world.elect_leader();
    }
    // Cancelled under this one, and handed over once more before it was told.
    world.ended = Some(End::Cancelled);
    cluster = world.elect_leader();
    world.exchange_heartbeat(&mut cluster, "m1");
    assert!(!world.workers["m1"].has_live_attempt(&task_key(0)), "stopped with the first answer");
    // The other one says nothing: alone it is returned after 12 s of this cluster state, however old its silence is.
    world.now += secs(10.8);
    world.exchange_heartbeat(&mut cluster, "m1");
    cluster.tick(world.now);
    assert_eq!(terminating_machines(&cluster), Vec::<&str>::new());
    world.now += secs(0.4);
    cluster.tick(world.now);
    assert_eq!(terminating_machines(&cluster), ["m2"]);
}
