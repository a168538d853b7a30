//! Meetings of troubles (issue 34, section 3: 2, 3, 6, 7 and 8): each a simulation of fixed steps with the cluster
//! state, a store that keeps what it was given, and workers that do as the protocol says and check the rules at every
//! start. What may come late is tried at every step of its simulation.

use super::world::*;
use super::*;
use crate::jobs::End;
use crate::jobs::record::Stored;
use crate::scheduling::plan::Placement;
use crate::wire::workers::{Cause, Order};

// Meeting 6: a command or its answer held up for seconds, then the machine goes on.

/// A launch that was given up is carried out minutes later, at each step of what follows: its task is stopped, the
/// token is raised, the worker learns it, and the task goes elsewhere.
#[test]
fn a_launch_held_up_is_void_before_its_task_goes_elsewhere() {
    for late_at in 0..8 {
        let mut world = World::new(&["m1", "m2"], |_| ());
        let mut cluster = world.owner();
        world.turn(&mut cluster, "m1");
        world.turn(&mut cluster, "m2");
        world.now += s(10.0);
        world.place(&mut cluster, "m1");
        let held = world.command(&mut cluster, "m1").unwrap();
        assert_eq!(launches(&held.orders), 1);
        let mut started = false;
        for step in 0..8 {
            if step == late_at {
                started = held.token >= world.workers["m1"].token;
                // Whoever sent it waits no longer after the first step.
                let reply = world.arrives(&held).unwrap();
                if step == 0 {
                    world.replied(&mut cluster, &held, reply);
                }
            }
            if step == 0 {
                if late_at != 0 {
                    world.given_up(&mut cluster, &held);
                }
                cluster.halt(&task(0), 0, world.now);
            }
            if step == 3 {
                assert_eq!(world.raise(&mut cluster), late_at != 0 && on(&cluster, 0).is_some(), "late at {late_at}");
            }
            world.turn(&mut cluster, "m1");
            if step < 4 && !started {
                // Absent from every report so far, and yet it may start there.
                bound(&cluster, 0, 1, "m1");
            }
            world.place(&mut cluster, "m2");
            world.turn(&mut cluster, "m2");
        }
        bound(&cluster, 0, 2, "m2");
        assert!(world.workers["m2"].live(&task(0)) && !world.workers["m1"].live(&task(0)), "late at {late_at}");
    }
}

/// Two ways at once: the answer starts the task, and the same launch is held up on its way as a command. The task
/// ends, and is not reaped while that launch could start it once more.
#[test]
fn a_reap_waits_until_no_launch_can_come_by_the_other_way() {
    for (cause, late_at) in [Cause::Done, Cause::Stopped].into_iter().flat_map(|c| (0..7).map(move |at| (c, at))) {
        let mut world = World::new(&["m1"], |j| j.tasks = 2);
        let mut cluster = world.owner();
        world.turn(&mut cluster, "m1");
        world.now += s(10.0);
        // Its answer launches; a moment later something else is stored, which is told directly.
        world.place_these(&mut cluster, &[0], "m1");
        let answer = world.asks(&mut cluster, "m1");
        assert_eq!(launches(&answer.orders), 1);
        world.place_these(&mut cluster, &[1], "m1");
        let held = world.command(&mut cluster, "m1").unwrap();
        assert_eq!(launches(&held.orders), 2, "nothing has shown the first");
        world.hears(&answer);
        world.exits("m1", 0, 1, cause);
        for step in 0..7 {
            if step == late_at {
                let reply = world.arrives(&held).unwrap();
                if step < 2 {
                    world.replied(&mut cluster, &held, reply);
                }
            }
            match step {
                1 => assert!(world.asks(&mut cluster, "m1").orders.is_empty() || late_at < 2, "one way at a time"),
                2 if late_at >= 2 => {
                    world.given_up(&mut cluster, &held);
                    world.store(&mut cluster);
                    let orders = world.asks(&mut cluster, "m1").orders;
                    assert_eq!(reaps(&orders), 0, "it may yet start again");
                }
                4 => drop(world.raise(&mut cluster)),
                _ => {}
            }
            world.turn(&mut cluster, "m1");
            world.store(&mut cluster);
        }
        world.turn(&mut cluster, "m1");
        assert!(world.workers["m1"].reaped.contains(&(task(0), 1)), "{cause:?}, late at {late_at}: reaped in the end");
    }
}

/// The answer with a launch is on its way, for less than 4 s; a command overtakes it, and its reply is newer than the
/// report that is being answered. It proves nothing of what that answer brings.
#[test]
fn the_reply_to_a_command_proves_nothing_of_an_answer_on_its_way() {
    for heard in [true, false] {
        let mut world = World::new(&["m1", "m2"], |j| j.tasks = 2);
        let mut cluster = world.owner();
        world.turn(&mut cluster, "m1");
        world.turn(&mut cluster, "m2");
        world.turn(&mut cluster, "m1");
        world.place_these(&mut cluster, &[0], "m1");
        let answer = world.asks(&mut cluster, "m1");
        assert_eq!(launches(&answer.orders), 1);
        cluster.halt(&task(0), 0, world.now);
        world.place_these(&mut cluster, &[1], "m1");
        let direct = world.command(&mut cluster, "m1").unwrap();
        assert!(direct.orders.iter().all(|o| matches!(o, Order::Launch { task, .. } if task.index == 1)));
        let reply = world.arrives(&direct).unwrap();
        world.replied(&mut cluster, &direct, reply);
        bound(&cluster, 0, 1, "m1");
        world.place(&mut cluster, "m2");
        world.turn(&mut cluster, "m2");
        if heard {
            world.hears(&answer);
            assert!(world.workers["m1"].live(&task(0)));
        }
        // The next report was made once that answer was heard or dropped.
        for _ in 0..3 {
            world.turn(&mut cluster, "m1");
            world.place_these(&mut cluster, &[0], "m2");
            world.turn(&mut cluster, "m2");
        }
        assert!(world.workers["m2"].live(&task(0)) && world.workers["m1"].live(&task(1)));
    }
}

/// The reply to a command comes after a newer report: what it shows running has ended, and what it does not show
/// runs. Neither goes back.
#[test]
fn a_reply_older_than_the_newest_report_changes_nothing() {
    let mut world = World::new(&["m1", "m2"], |j| j.tasks = 2);
    let mut cluster = world.owner();
    world.turn(&mut cluster, "m1");
    world.turn(&mut cluster, "m2");
    world.place_these(&mut cluster, &[0], "m1");
    let direct = world.command(&mut cluster, "m1").unwrap();
    let reply = world.arrives(&direct).unwrap();
    assert_eq!(reply.legs[0].status, LegStatus::Running);
    world.exits("m1", 0, 1, Cause::Done);
    let answer = world.asks(&mut cluster, "m1");
    assert_eq!((answer.orders.len(), cluster.counts(&JOB.into()).done), (0, 1), "known, and reaped by no answer yet");
    world.store(&mut cluster);
    world.replied(&mut cluster, &direct, reply);
    assert_eq!(cluster.counts(&JOB.into()).done, 1);
    let answer = world.asks(&mut cluster, "m1");
    assert_eq!(reaps(&answer.orders), 1);
    // An older reply, which shows nothing, comes after a report that shows the second task running.
    world.hears(&answer);
    let old = world.report("m1");
    world.place(&mut cluster, "m1");
    let direct = world.command(&mut cluster, "m1").unwrap();
    drop(world.arrives(&direct).unwrap());
    world.turn(&mut cluster, "m1");
    cluster.halt(&task(1), 0, world.now);
    world.replied(&mut cluster, &direct, old);
    bound(&cluster, 1, 1, "m1");
    world.place(&mut cluster, "m2");
    world.turn(&mut cluster, "m2");
    assert!(world.workers["m1"].live(&task(1)));
}

/// Tokens are raised at most every 5 s. Until then nothing is reaped or believed gone where a launch may still come,
/// and the others go on.
#[test]
fn while_a_raise_of_the_token_is_put_off_only_the_others_are_reaped() {
    let mut world = World::new(&["m1", "m2", "m3"], |j| j.tasks = 3);
    let mut cluster = world.owner();
    for m in ["m1", "m2", "m3"] {
        world.turn(&mut cluster, m);
    }
    world.now += s(1.2);
    let mut held = Vec::new();
    for (index, m) in [(0, "m1"), (1, "m2")] {
        world.place_these(&mut cluster, &[index], m);
        let direct = world.command(&mut cluster, m).unwrap();
        world.given_up(&mut cluster, &direct);
        held.push(direct);
        if index == 0 {
            assert!(world.raise(&mut cluster));
        }
    }
    // The first is void once its worker knows; the second was given under the raised token.
    let (first, second) = (held.remove(0), held.remove(0));
    assert!(second.token > first.token);
    let mut waited = 0;
    while !cluster.raise_wanted(world.now) {
        cluster.halt(&task(1), 0, world.now);
        world.turn(&mut cluster, "m2");
        bound(&cluster, 1, 1, "m2");
        world.place_these(&mut cluster, &[2], "m3");
        world.turn(&mut cluster, "m3");
        world.exits("m3", 2, 1, Cause::Done);
        world.turn(&mut cluster, "m3");
        world.store(&mut cluster);
        world.turn(&mut cluster, "m3");
        waited += 1;
        assert!(waited < 20, "raised in the end");
    }
    assert!(waited > 0 && world.workers["m3"].reaped.contains(&(task(2), 1)), "the others go on");
    world.raise(&mut cluster);
    world.turn(&mut cluster, "m2");
    bound(&cluster, 1, 1, "m2");
    // It has heard the token now: the launch that was held up is refused, and then its task goes elsewhere.
    drop(world.arrives(&second));
    assert!(!world.workers["m2"].live(&task(1)));
    world.turn(&mut cluster, "m2");
    assert_eq!(on(&cluster, 1), None);
    world.place_these(&mut cluster, &[1], "m3");
    world.turn(&mut cluster, "m3");
    assert!(world.workers["m3"].live(&task(1)));
}

// Meeting 8: controllers hand over and back, all end and one returns, within a second too.

/// A controller that owns again within the time of a command: what became of a command of its first time comes to the
/// second cluster state while that has a launch of its own on its way, and settles nothing of it.
#[test]
fn what_became_of_an_earlier_command_settles_none_of_a_later_cluster_state() {
    for (name, given_up) in [("given up", true), ("answered", false)] {
        for late_at in 0..8 {
            let mut world = World::new(&["m1", "m2"], |_| ());
            let mut first = world.owner();
            world.turn(&mut first, "m1");
            let before = world.owner_greets(&mut first, "m1");
            // Deposed, and owner again within a second.
            drop(first);
            let mut cluster = world.owner();
            world.turn(&mut cluster, "m1");
            world.turn(&mut cluster, "m2");
            world.place(&mut cluster, "m1");
            let held = world.command(&mut cluster, "m1").unwrap();
            assert_eq!(launches(&held.orders), 1);
            if given_up {
                cluster.command_over(&before.machine, before.token, false, world.now);
            } else {
                let reply = world.arrives(&before).unwrap();
                world.replied(&mut cluster, &before, reply);
            }
            assert!(world.asks(&mut cluster, "m1").orders.is_empty(), "{name}: a command is on its way");
            cluster.halt(&task(0), 0, world.now);
            let mut started = false;
            for step in 0..8 {
                if step == late_at {
                    started = held.token >= world.workers["m1"].token;
                    drop(world.arrives(&held).unwrap());
                }
                world.turn(&mut cluster, "m1");
                if !started && step < 4 {
                    bound(&cluster, 0, 1, "m1");
                }
                if step == 3 {
                    world.given_up(&mut cluster, &held);
                    world.now += s(5.0);
                    world.raise(&mut cluster);
                }
                world.place(&mut cluster, "m2");
                world.turn(&mut cluster, "m2");
            }
            assert!(world.workers["m2"].live(&task(0)), "{name}, late at {late_at}");
        }
    }
}

/// It owned, lost and owns again. A launch of its first time is still on its way; the one between never heard of the
/// machine. Nothing is kept from one cluster state to the next, so the task stays bound until the worker has heard the
/// newest token, or its session is over, or the machine was returned.
#[test]
fn who_owns_again_believes_nothing_gone_that_its_first_time_may_yet_start() {
    for (proof, late_at) in
        ["token", "session", "return"].into_iter().flat_map(|proof| (0..6).map(move |at| (proof, at)))
    {
        let mut world = World::new(&["m1", "m2"], |_| ());
        let mut first = world.owner();
        world.turn(&mut first, "m1");
        world.place(&mut first, "m1");
        let held = world.command(&mut first, "m1").unwrap();
        assert_eq!(launches(&held.orders), 1);
        drop(first);
        let mut between = world.owner();
        bound(&between, 0, 1, "m1");
        world.turn(&mut between, "m2");
        assert_eq!(world.command(&mut between, "m1").map(|d| d.orders.len()), None, "no address to send it to");
        drop(between);
        let mut cluster = world.owner();
        assert!(cluster.first_token > held.token + 10);
        let late = |world: &mut World, step: usize| {
            if step == late_at {
                drop(world.arrives(&held));
            }
        };
        // Its reports come, answers to it are lost: its token is the first.
        for step in 0..3 {
            late(&mut world, step);
            drop(world.asks(&mut cluster, "m1"));
            bound(&cluster, 0, 1, "m1");
            world.place(&mut cluster, "m2");
            world.turn(&mut cluster, "m2");
        }
        match proof {
            "token" => world.turn(&mut cluster, "m1"),
            "session" => {
                world.lease_ends("m1");
                // What was shown in the last session is over with it; what never was needs the token still.
                drop(world.asks(&mut cluster, "m1"));
                assert_eq!(on(&cluster, 0).is_none(), late_at < 3);
                world.turn(&mut cluster, "m1");
            }
            _ => world.returned(&mut cluster, "m1"),
        }
        for step in 3..6 {
            late(&mut world, step);
            if proof != "return" {
                world.turn(&mut cluster, "m1");
            }
            // Inherited and shown, it is adopted; stopped here, so that it goes elsewhere.
            cluster.halt(&task(0), 0, world.now);
            world.place(&mut cluster, "m2");
            world.turn(&mut cluster, "m2");
        }
        for _ in 0..3 {
            if proof != "return" {
                world.turn(&mut cluster, "m1");
            }
            world.place(&mut cluster, "m2");
            world.turn(&mut cluster, "m2");
        }
        assert!(world.workers["m2"].live(&task(0)), "{proof}, late at {late_at}");
    }
}

/// The timers of the one that owns again begin anew: a machine is as old as its last cluster state, so that nothing is
/// returned for a silence in which nobody listened, and what is withdrawn is stopped with the first answer whoever
/// owns.
#[test]
fn who_owns_again_counts_no_silence_of_before() {
    let mut world = World::new(&["m1", "m2"], |j| j.tasks = 2);
    let mut cluster = world.owner();
    world.turn(&mut cluster, "m1");
    world.turn(&mut cluster, "m2");
    world.place_these(&mut cluster, &[0], "m1");
    world.place_these(&mut cluster, &[1], "m2");
    world.turn(&mut cluster, "m1");
    world.turn(&mut cluster, "m2");
    for hand_over in 0..4 {
        world.now += s(11.0);
        cluster.tick(world.now);
        assert_eq!(condemned(&cluster), Vec::<&str>::new(), "hand-over {hand_over}");
        cluster = world.owner();
    }
    // Withdrawn under this one, and handed over once more before it was told.
    world.ended = Some(End::Withdrawn);
    cluster = world.owner();
    world.turn(&mut cluster, "m1");
    assert!(!world.workers["m1"].live(&task(0)), "stopped with the first answer");
    // The other one says nothing: alone it is returned after 12 s of this cluster state, however old its silence is.
    world.now += s(10.8);
    world.turn(&mut cluster, "m1");
    cluster.tick(world.now);
    assert_eq!(condemned(&cluster), Vec::<&str>::new());
    world.now += s(0.4);
    cluster.tick(world.now);
    assert_eq!(condemned(&cluster), ["m2"]);
}

// Meeting 2: an owner ends while machines with long tasks are unreachable, or do not hear the successor.

/// Five machines with long tasks at a takeover: one is well, one hears nothing of the successor, one hangs with a
/// command of the old owner before it, one loses its lease, one is gone. Only what is proven gone is placed again.
#[test]
fn a_successor_adopts_what_runs_and_places_again_only_what_is_proven_gone() {
    let names = ["m0", "m1", "m2", "m3", "m4", "m5"];
    let mut world = World::new(&names, |j| j.tasks = 5);
    let mut old = world.owner();
    for m in names {
        world.turn(&mut old, m);
    }
    for index in 0..5 {
        world.place_these(&mut old, &[index], names[index as usize]);
    }
    for m in ["m0", "m1", "m3", "m4"] {
        world.turn(&mut old, m);
    }
    let held = world.command(&mut old, "m2").unwrap();
    assert_eq!(launches(&held.orders), 1);
    drop(old);
    let mut cluster = world.owner();
    for t in 0..40 {
        world.turn(&mut cluster, "m0");
        world.turn(&mut cluster, "m5");
        // Reports of the next two come; what they are told is lost.
        drop(world.asks(&mut cluster, "m1"));
        if t < 20 {
            drop(world.asks(&mut cluster, "m2"));
        }
        if t == 10 {
            world.lease_ends("m3");
        }
        if t != 10 {
            let answer = world.asks(&mut cluster, "m3");
            assert_eq!(launches(&answer.orders), 0, "what is inherited is never launched again");
        }
        for index in 0..3 {
            bound(&cluster, index, 1, names[index as usize]);
        }
        let lost_its_lease = [Some(1), None, Some(2)][usize::from(t > 10) + usize::from(t > 11)];
        assert_eq!(on(&cluster, 3).map(|(attempt, _)| attempt), lost_its_lease, "at step {t}");
        bound(&cluster, 4, 1, "m4");
        world.place(&mut cluster, "m5");
        world.turn(&mut cluster, "m5");
        assert_eq!(cluster.usage["blue"].0, 5.0, "all of it counts for the team, heard of or not");
        cluster.tick(world.now);
        world.now += s(0.1);
        if t == 20 {
            // It goes on: the launch of the old owner is carried out, and that is what was stored.
            drop(world.arrives(&held));
        }
    }
    // Twelve seconds without a word: the last is returned, which proves its task gone.
    assert!(condemned(&cluster).contains(&"m4"));
    world.returned(&mut cluster, "m4");
    world.place(&mut cluster, "m5");
    world.turn(&mut cluster, "m5");
    bound(&cluster, 4, 2, "m5");
    assert_eq!(names.map(|m| world.workers[m].legs.len()), [1, 1, 1, 0, 1, 2]);
}

/// A successor hears that one machine of a gang has lost its lease, and cannot reach the other: the next attempt, in
/// one zone or in several, is placed nowhere until that one is proven gone as well.
#[test]
fn a_gang_begins_anew_only_when_the_machine_that_a_successor_cannot_reach_is_gone() {
    for same_zone in [true, false] {
        let names = ["m0", "m1", "m2", "m3"];
        let mut world =
            World::new(&names, |j| (j.shape, j.tasks, j.cpus, j.same_zone) = (Shape::Gang, 2, 8.0, same_zone));
        let mut old = world.owner();
        for m in names {
            world.turn(&mut old, m);
        }
        let places = [(0, "m0"), (1, "m1")].map(|(i, m)| Placement { task: task(i), attempt: 1, machine: m.into() });
        old.bind_all(places.into(), world.now);
        world.store(&mut old);
        world.turn(&mut old, "m0");
        world.turn(&mut old, "m1");
        drop(old);
        let mut cluster = world.owner();
        world.lease_ends("m0");
        for step in 0..6 {
            for m in ["m0", "m2", "m3"] {
                world.turn(&mut cluster, m);
            }
            world.store(&mut cluster);
            assert_eq!(on(&cluster, 0).is_none(), step > 0, "gone once its worker knows the successor");
            bound(&cluster, 1, 1, "m1");
            assert_eq!(placed(&mut cluster, world.now), [], "at step {step}, in one zone: {same_zone}");
        }
        // Reached again, it is stopped: part of an attempt is of no use.
        world.turn(&mut cluster, "m1");
        assert!(!world.workers["m1"].live(&task(1)));
        world.turn(&mut cluster, "m1");
        assert_eq!(placed(&mut cluster, world.now).len(), 2);
    }
}

/// Withdrawn while many machines cannot be reached at once: for silence they would get two leases, but for a withdrawn
/// task that is not proven gone each is returned within 45% of the time allowed, and those that hear are told at once.
#[test]
fn withdrawn_tasks_on_machines_that_a_successor_never_hears_are_returned_in_time() {
    let names = ["m0", "m1", "m2", "m3", "m4", "m5"];
    let mut world = World::new(&names, |j| j.tasks = 6);
    let mut old = world.owner();
    for (index, m) in (0..).zip(names) {
        world.turn(&mut old, m);
        world.place_these(&mut old, &[index], m);
        world.turn(&mut old, m);
    }
    drop(old);
    let mut cluster = world.owner();
    let cancel = cluster.settings.params.workers.cancel();
    world.ended = Some(End::Withdrawn);
    cluster.end_job(&JOB.into(), world.ended, world.now);
    let told = world.now;
    let mut returned_after = None;
    while world.now - told < cancel {
        world.turn(&mut cluster, "m0");
        assert!(!world.workers["m0"].live(&task(0)), "told with its first answer");
        cluster.tick(world.now);
        if !condemned(&cluster).is_empty() {
            returned_after.get_or_insert(world.now - told);
        }
    }
    assert_eq!(condemned(&cluster), ["m1", "m2", "m3", "m4", "m5"], "all, though silent together");
    assert!(returned_after.unwrap() < cancel.mul_f64(0.45) + s(1.0), "{returned_after:?}");
}

/// A machine is to be returned, and the cloud answers nobody. It speaks again: its answers keep its lease, so they
/// stop what is withdrawn there, and launch nothing.
#[test]
fn a_machine_to_be_returned_is_still_told_to_stop_what_is_withdrawn() {
    for (name, withdrawn_first) in [("withdrawn after it was given up", false), ("given up for the withdrawal", true)] {
        let mut world = World::new(&["m1", "m2"], |j| j.tasks = 2);
        let mut cluster = world.owner();
        world.turn(&mut cluster, "m1");
        world.place_these(&mut cluster, &[0], "m1");
        world.turn(&mut cluster, "m1");
        // Another was placed there, and not told yet.
        world.place_these(&mut cluster, &[1], "m1");
        let withdraw = |world: &mut World, cluster: &mut ClusterState| {
            world.ended = Some(End::Withdrawn);
            cluster.end_job(&JOB.into(), world.ended, world.now);
        };
        if withdrawn_first {
            withdraw(&mut world, &mut cluster);
        }
        // It hangs, within its lease, until it is given up.
        for _ in 0..23 {
            world.now += s(1.0);
            cluster.tick(world.now);
        }
        assert_eq!(condemned(&cluster), ["m1"], "{name}");
        if !withdrawn_first {
            assert_eq!(world.asks(&mut cluster, "m1").orders, [], "nothing starts there");
            withdraw(&mut world, &mut cluster);
        }
        // No return is answered.
        world.turn(&mut cluster, "m1");
        assert!(!world.workers["m1"].live(&task(0)), "{name}: stopped with its first answer");
    }
}

// Meeting 3: the tasks of a job end far apart across a takeover.

/// Arrays of two and three: the first exit is stored or not yet when the owner ends. It is known to the successor
/// either way, its task never runs again, and the job is done with the last exit, neither before nor never.
#[test]
fn the_first_of_ends_far_apart_survives_a_takeover() {
    for (tasks, stored, known) in
        [2, 3].into_iter().flat_map(|n| [(n, true, true), (n, false, true), (n, false, false)])
    {
        let names = ["m0", "m1", "m2"];
        let mut world = World::new(&names, |j| j.tasks = tasks);
        let mut old = world.owner();
        for (index, m) in (0..tasks as u32).zip(names) {
            world.turn(&mut old, m);
            world.place_these(&mut old, &[index], m);
            world.turn(&mut old, m);
        }
        let running = world.report("m0");
        world.exits("m0", 0, 1, Cause::Done);
        if known {
            world.turn(&mut old, "m0");
        }
        if stored {
            world.store(&mut old);
            world.turn(&mut old, "m0");
            assert!(world.workers["m0"].reaped.contains(&(task(0), 1)));
        } else {
            assert!(world.workers["m0"].reaped.is_empty(), "what is not stored is not reaped");
        }
        drop(old);
        for takeover in 0..3 {
            let mut cluster = world.owner();
            assert_eq!(cluster.counts(&JOB.into()).done, u64::from(stored || takeover > 0));
            // An old copy shows it running; it makes nothing of it go back.
            cluster.take_report(running.clone(), Via::Report, None, world.now);
            drop(cluster.orders_in_answer("m0", world.now));
            for _ in 0..3 {
                world.turn(&mut cluster, "m0");
                world.store(&mut cluster);
                assert_eq!((cluster.counts(&JOB.into()).done, world.ended), (1, None), "{tasks} tasks, {takeover}");
                assert_eq!(placed(&mut cluster, world.now), [], "none waits");
            }
            world.now += s(100.0);
        }
        // The others end one after the other, each under another owner.
        for (index, m) in (1..tasks as u32).zip(&names[1..]) {
            assert_eq!(world.ended, None);
            let mut cluster = world.owner();
            world.exits(m, index, 1, Cause::Done);
            world.turn(&mut cluster, m);
            world.store(&mut cluster);
        }
        assert_eq!(world.ended, Some(End::Done), "{tasks} tasks");
    }
}

/// A gang of which one task is reported done is done. The end is not stored when the owner ends; the successor hears of
/// it from the first machine, which reaped nothing, and never hears the other one.
#[test]
fn a_gang_is_done_by_the_one_exit_that_the_successor_hears() {
    for heard in ["by the old owner", "by the successor alone", "as a late copy"] {
        let mut world = World::new(&["m0", "m1"], |j| (j.shape, j.tasks) = (Shape::Gang, 2));
        let mut old = world.owner();
        for m in ["m0", "m1"] {
            world.turn(&mut old, m);
        }
        let waiting: Vec<Placement> =
            [(0, "m0"), (1, "m1")].map(|(i, m)| Placement { task: task(i), attempt: 1, machine: m.into() }).into();
        old.bind_all(waiting, world.now);
        world.store(&mut old);
        for m in ["m0", "m1"] {
            world.turn(&mut old, m);
        }
        world.exits("m0", 0, 1, Cause::Done);
        world.exits("m1", 1, 1, Cause::Done);
        if heard == "by the old owner" {
            world.turn(&mut old, "m0");
            // Its other machine is lost before the end is stored: the gang is not begun anew for that.
            old.machine_gone(&"m1".into(), world.now);
            assert_eq!(placed(&mut old, world.now), []);
            world.turn(&mut old, "m0");
            assert!(world.workers["m0"].reaped.is_empty(), "its end is not stored");
        }
        drop(old);
        let mut cluster = world.owner();
        assert_eq!(world.ended, None);
        if heard == "as a late copy" {
            let copy = world.report("m0");
            world.workers.get_mut("m0").unwrap().gone = true;
            cluster.take_report(copy, Via::Report, None, world.now);
        } else {
            world.turn(&mut cluster, "m0");
        }
        world.store(&mut cluster);
        assert_eq!(world.ended, Some(End::Done), "{heard}");
        // What is left is on a machine that nobody hears. It is none of a withdrawal's, and starts nowhere.
        world.now += s(40.0);
        assert!(cluster.overdue(world.now).is_empty());
        assert_eq!(placed(&mut cluster, world.now), []);
        let mut successor = world.owner();
        assert_eq!(placed(&mut successor, world.now), []);
    }
}

// Meeting 7: old reports after newer ones.

/// What a report of an earlier time says to the owner, to a successor, and to one that owned before, by cases: the
/// task's attempt on the machine that the store names stays bound to it, or is gone because the copy proves just that.
#[test]
fn old_reports_by_cases() {
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum Reader {
        Owner,
        Successor,
        OwnerAgain,
    }
    use Reader::*;
    // (what the copy is, when it was made, who reads it, whether the binding stands after it)
    let cases = [
        ("before the launch", 0, Owner, true),
        ("before the launch", 0, Successor, true),
        ("before the launch", 0, OwnerAgain, true),
        ("an earlier attempt runs", 1, Owner, true),
        ("an earlier attempt runs", 1, Successor, true),
        ("an earlier attempt runs", 1, OwnerAgain, true),
        ("an earlier attempt failed", 2, Owner, true),
        ("an earlier attempt failed", 2, Successor, true),
        ("an earlier attempt failed", 2, OwnerAgain, true),
        ("an earlier attempt was reaped", 3, Successor, true),
        ("an earlier session", 4, Owner, true),
        ("an earlier session", 4, Successor, true),
        ("an earlier session", 4, OwnerAgain, true),
    ];
    for (name, made, reader, stands) in cases {
        let mut world = World::new(&["m1", "m2"], |_| ());
        let mut cluster = world.owner();
        let mut copies = Vec::new();
        world.turn(&mut cluster, "m1");
        copies.push(world.report("m1"));
        world.place(&mut cluster, "m1");
        world.turn(&mut cluster, "m1");
        copies.push(world.report("m1"));
        world.exits("m1", 0, 1, Cause::Error);
        copies.push(world.report("m1"));
        world.turn(&mut cluster, "m1");
        world.turn(&mut cluster, "m1");
        copies.push(world.report("m1"));
        // The second attempt is lost with the lease, and the third runs there in the next session.
        world.place(&mut cluster, "m1");
        world.turn(&mut cluster, "m1");
        copies.push(world.report("m1"));
        world.lease_ends("m1");
        world.turn(&mut cluster, "m1");
        world.place(&mut cluster, "m1");
        world.turn(&mut cluster, "m1");
        world.turn(&mut cluster, "m1");
        bound(&cluster, 0, 3, "m1");
        assert!(world.workers["m1"].live(&task(0)));
        match reader {
            Owner => {}
            Successor => cluster = world.owner(),
            OwnerAgain => {
                drop(world.owner());
                cluster = world.owner();
            }
        }
        // The machine itself can't be reached for a while; copies come, one after the other.
        for n in 0..3 {
            cluster.take_report(copies[made].clone(), Via::Report, None, world.now);
            drop(cluster.orders_in_answer("m1", world.now));
            if n == 1 {
                cluster.halt(&task(0), 0, world.now);
            }
            assert_eq!(on(&cluster, 0).is_some(), stands, "{name}, read by {reader:?}");
            world.place(&mut cluster, "m2");
            world.turn(&mut cluster, "m2");
            world.now += s(2.0);
        }
        assert!(!world.workers["m2"].live(&task(0)));
        // It is reached again: stopped, and on its way elsewhere.
        for _ in 0..4 {
            world.turn(&mut cluster, "m1");
            world.place(&mut cluster, "m2");
            world.turn(&mut cluster, "m2");
        }
        assert!(world.workers["m2"].live(&task(0)), "{name}, read by {reader:?}");
    }
}

/// A machine that was returned in its first time as owner: a cluster state of its second time knows nothing of that. A
/// copy of a report made under the first token makes it no machine to place on; one under the newest could.
#[test]
fn what_was_returned_in_an_earlier_time_takes_no_work_by_a_copy() {
    let mut world = World::new(&["m1", "m2"], |_| ());
    let mut first = world.owner();
    world.turn(&mut first, "m1");
    world.turn(&mut first, "m1");
    let copy = world.report("m1");
    assert_eq!(copy.token, first.token);
    world.returned(&mut first, "m1");
    drop(first);
    drop(world.owner());
    let mut cluster = world.owner();
    for raised in [false, true] {
        if raised {
            // Under a token that it raises the same owner goes on.
            world.stamp += 1;
            cluster.raise_token(world.stamp);
        }
        cluster.take_report(Report { seq: copy.seq + u64::from(raised), ..copy.clone() }, Via::Report, None, world.now);
        drop(cluster.orders_in_answer("m1", world.now));
        assert_eq!(placed(&mut cluster, world.now), [], "raised: {raised}");
    }
    // A machine that is there learns the first token of this cluster state and counts, whatever was raised since.
    let known = Report { token: cluster.first_token, ..world.report("m2") };
    cluster.take_report(known, Via::Report, None, world.now);
    assert_eq!(placed(&mut cluster, world.now), [(0, "m2".to_owned())]);
}

/// Each takeover began the patience with a withdrawn task anew: two within it, and a machine that hangs held the
/// task past `cancel_s`. A successor counts from when the end was stored, as far as it knows, and gives machines two
/// reports' time to prove to it what they have proven to the one before, unless hardly any time is left.
#[test]
fn a_successor_begins_no_new_patience_with_what_was_withdrawn_before_it() {
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
        let mut old = world.owner();
        world.turn(&mut old, "m1");
        world.place_these(&mut old, &[0], "m1");
        world.turn(&mut old, "m1");
        let mut cluster = world.owner();
        let ended = world.now - s(ended_before);
        cluster.end_job(&JOB.into(), Some(End::Withdrawn), ended);
        assert_eq!(cluster.overdue(world.now + s(after)).len(), usize::from(due), "{name}");
    }
}

// Meeting 2 again, for jobs that are scattered over zones.

/// Two of four tasks are on a machine that the successor has not heard of, in a zone that it does not know: nothing of
/// the job is placed where it might make three, and the rest goes to the other zone once it is heard where they are.
#[test]
fn what_a_successor_has_not_heard_of_counts_in_every_zone() {
    let now = Instant::now();
    for (zone, other) in [("a", "m3"), ("b", "m2")] {
        let mut cluster = ClusterState::new(7, example(), Properties::default(), now);
        let mut job = spec();
        job.id = JOB.into();
        (job.tasks, job.spread) = (4, true);
        let stored = (0..4).map(|i| if i < 2 { Stored::Bound(1, "m1".into()) } else { Stored::Untouched }).collect();
        cluster.load_job(Arc::new(JobRecord { spec: job, at_ms: time_of_day_ms() }), vec![(0, 5, stored)], now);
        cluster.finish_load(now);
        cluster.take_report(report("m2", "c8", "a", false, 1, vec![]), Via::Report, None, now);
        cluster.take_report(report("m3", "c8", "b", false, 1, vec![]), Via::Report, None, now);
        assert_eq!(placed(&mut cluster, now), [], "m1 in {zone} is not heard of");
        let legs = (0..2)
            .map(|i| Leg { task: task(i), attempt: 1, status: LegStatus::Running, cause: None, saved: None })
            .collect();
        cluster.take_report(report("m1", "c8", zone, false, 1, legs), Via::Report, None, now);
        assert_eq!(placed(&mut cluster, now), [(2, other.into()), (3, other.into())], "m1 is in {zone}");
    }
}
