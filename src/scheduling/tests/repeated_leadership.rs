//! Controllers that hand over leadership and lead again, also within a second (issue 34, section 3, case 8). Nothing is
//! kept from one cluster state of a controller to its next.

use super::world::*;
use crate::jobs::End;

/// A controller leads again before a direct command of its first term has finished. The outcome of that command reaches
/// the second cluster state while a launch of the second term is in transit, and must not count as the outcome of that
/// launch.
#[test]
fn outcome_of_an_earlier_terms_command_does_not_settle_a_later_terms_launch() {
    for (name, timed_out) in [("timed out", true), ("answered", false)] {
        for late_at in 0..8 {
            let mut world = World::new(&["m1", "m2"], |_| ());
            let mut first = world.elect_leader();
            world.exchange_heartbeat(&mut first, "m1");
            let earlier = world.announce_fencing_token(&mut first, "m1");
            // The controller is deposed and leads again within a second.
            drop(first);
            let mut cluster = world.elect_leader();
            world.exchange_heartbeat(&mut cluster, "m1");
            world.exchange_heartbeat(&mut cluster, "m2");
            world.bind_waiting(&mut cluster, "m1");
            let delayed = world.next_command_to(&mut cluster, "m1").unwrap();
            assert_eq!(count_launches(&delayed.commands), 1);
            if timed_out {
                cluster.finish_direct_command(&earlier.machine, earlier.fencing_token, false, world.now);
            } else {
                let reply = world.deliver_command(&earlier).unwrap();
                world.deliver_reply(&mut cluster, &earlier, reply);
            }
            assert!(world.send_heartbeat(&mut cluster, "m1").commands.is_empty(), "{name}: a command is in transit");
            cluster.halt_task_or_gang(&task_key(0), 0, world.now);
            let mut started = false;
            for step in 0..8 {
                if step == late_at {
                    started = delayed.fencing_token >= world.workers["m1"].fencing_token;
                    drop(world.deliver_command(&delayed).unwrap());
                }
                world.exchange_heartbeat(&mut cluster, "m1");
                if !started && step < 4 {
                    assert_bound(&cluster, 0, 1, "m1");
                }
                if step == 3 {
                    world.time_out_command(&mut cluster, &delayed);
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

/// A controller leads, loses leadership and leads again. A launch of its first term is still in transit, and the leader
/// in between never heard from the machine. Nothing is kept from one cluster state to the next, so the task must stay
/// bound until the worker has seen the newest fencing token, its agent epoch has ended, or its machine was terminated.
#[test]
fn leader_of_a_second_term_keeps_a_task_bound_that_its_first_term_may_still_start() {
    for (proof, late_at) in
        ["token", "agent epoch", "termination"].into_iter().flat_map(|proof| (0..6).map(move |at| (proof, at)))
    {
        let mut world = World::new(&["m1", "m2"], |_| ());
        let mut first = world.elect_leader();
        world.exchange_heartbeat(&mut first, "m1");
        world.bind_waiting(&mut first, "m1");
        let delayed = world.next_command_to(&mut first, "m1").unwrap();
        assert_eq!(count_launches(&delayed.commands), 1);
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
        assert!(cluster.first_fencing_token > delayed.fencing_token + 10);
        let deliver_if_due = |world: &mut World, step: usize| {
            if step == late_at {
                drop(world.deliver_command(&delayed));
            }
        };
        // Heartbeats of the worker arrive, but answers to it are lost: it still has the first fencing token.
        for step in 0..3 {
            deliver_if_due(&mut world, step);
            drop(world.send_heartbeat(&mut cluster, "m1"));
            assert_bound(&cluster, 0, 1, "m1");
            world.bind_waiting(&mut cluster, "m2");
            world.exchange_heartbeat(&mut cluster, "m2");
        }
        match proof {
            "token" => world.exchange_heartbeat(&mut cluster, "m1"),
            "agent epoch" => {
                world.expire_lease("m1");
                // A task that was reported in the last agent epoch ended with it. A task that was never reported still
                // needs the fencing token as proof.
                drop(world.send_heartbeat(&mut cluster, "m1"));
                assert_eq!(binding_of(&cluster, 0).is_none(), late_at < 3);
                world.exchange_heartbeat(&mut cluster, "m1");
            }
            _ => world.terminate_machine(&mut cluster, "m1"),
        }
        for step in 3..6 {
            deliver_if_due(&mut world, step);
            if proof != "termination" {
                world.exchange_heartbeat(&mut cluster, "m1");
            }
            // An inherited task that is reported is adopted. It is stopped here, so that it is placed elsewhere.
            cluster.halt_task_or_gang(&task_key(0), 0, world.now);
            world.bind_waiting(&mut cluster, "m2");
            world.exchange_heartbeat(&mut cluster, "m2");
        }
        for _ in 0..3 {
            if proof != "termination" {
                world.exchange_heartbeat(&mut cluster, "m1");
            }
            world.bind_waiting(&mut cluster, "m2");
            world.exchange_heartbeat(&mut cluster, "m2");
        }
        assert!(world.workers["m2"].has_live_attempt(&task_key(0)), "{proof}, late at {late_at}");
    }
}

/// The timers of a controller that leads again begin anew: silence counts from the start of its cluster state, so that
/// no machine is terminated for a time in which nobody listened. Cancelled tasks are stopped with the first answer,
/// whoever leads.
#[test]
fn leader_of_a_second_term_counts_no_silence_from_before() {
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
    // The job is cancelled, and leadership is handed over once more before the worker is told.
    world.ended = Some(End::Cancelled);
    cluster = world.elect_leader();
    world.exchange_heartbeat(&mut cluster, "m1");
    assert!(!world.workers["m1"].has_live_attempt(&task_key(0)), "the task is stopped with the first answer");
    // The other worker is silent. It alone is terminated after 12 s of this cluster state, however long its silence.
    world.now += secs(10.8);
    world.exchange_heartbeat(&mut cluster, "m1");
    cluster.tick(world.now);
    assert_eq!(terminating_machines(&cluster), Vec::<&str>::new());
    world.now += secs(0.4);
    cluster.tick(world.now);
    assert_eq!(terminating_machines(&cluster), ["m2"]);
}
