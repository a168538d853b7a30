//! Commands, answers and replies that are held up for seconds and come after something newer (issue 34, section 3,
//! case 6). What may come late is tried at every step of its simulation.

use super::world::*;
use super::*;
use crate::protocol::workers::{ExitCause, WorkerCommand};

/// A launch that was given up is carried out minutes later, at each step of what follows: its task is stopped, the
/// fencing token is raised, the worker learns it, and the task goes elsewhere.
#[test]
fn a_launch_held_up_is_void_before_its_task_goes_elsewhere() {
    for late_at in 0..8 {
        let mut world = World::new(&["m1", "m2"], |_| ());
        let mut cluster = world.elect_leader();
        world.exchange_heartbeat(&mut cluster, "m1");
        world.exchange_heartbeat(&mut cluster, "m2");
        world.now += secs(10.0);
        world.bind_waiting(&mut cluster, "m1");
        let held = world.next_command_to(&mut cluster, "m1").unwrap();
        assert_eq!(count_launches(&held.commands), 1);
        let mut started = false;
        for step in 0..8 {
            if step == late_at {
                started = held.fencing_token >= world.workers["m1"].fencing_token;
                // Whoever sent it waits no longer after the first step.
                let reply = world.deliver_command(&held).unwrap();
                if step == 0 {
                    world.deliver_reply(&mut cluster, &held, reply);
                }
            }
            if step == 0 {
                if late_at != 0 {
                    world.time_out_command(&mut cluster, &held);
                }
                cluster.halt_task_or_gang(&task_key(0), 0, world.now);
            }
            if step == 3 {
                assert_eq!(
                    world.raise_fencing_token_if_needed(&mut cluster),
                    late_at != 0 && binding_of(&cluster, 0).is_some(),
                    "late at {late_at}"
                );
            }
            world.exchange_heartbeat(&mut cluster, "m1");
            if step < 4 && !started {
                // Absent from every report so far, and yet it may start there.
                assert_bound(&cluster, 0, 1, "m1");
            }
            world.bind_waiting(&mut cluster, "m2");
            world.exchange_heartbeat(&mut cluster, "m2");
        }
        assert_bound(&cluster, 0, 2, "m2");
        assert!(
            world.workers["m2"].has_live_attempt(&task_key(0)) && !world.workers["m1"].has_live_attempt(&task_key(0)),
            "late at {late_at}"
        );
    }
}

/// Two ways at once: the answer starts the task, and the same launch is held up on its way as a command. The task
/// ends, and is not reaped while that launch could start it once more.
#[test]
fn a_reap_waits_until_no_launch_can_come_by_the_other_way() {
    for (cause, late_at) in
        [ExitCause::Done, ExitCause::Stopped].into_iter().flat_map(|c| (0..7).map(move |at| (c, at)))
    {
        let mut world = World::new(&["m1"], |j| j.tasks = 2);
        let mut cluster = world.elect_leader();
        world.exchange_heartbeat(&mut cluster, "m1");
        world.now += secs(10.0);
        // Its answer launches; a moment later something else is stored, which is told directly.
        world.bind_tasks(&mut cluster, &[0], "m1");
        let answer = world.send_heartbeat(&mut cluster, "m1");
        assert_eq!(count_launches(&answer.commands), 1);
        world.bind_tasks(&mut cluster, &[1], "m1");
        let held = world.next_command_to(&mut cluster, "m1").unwrap();
        assert_eq!(count_launches(&held.commands), 2, "nothing has shown the first");
        world.receive_answer(&answer);
        world.exit_task("m1", 0, 1, cause);
        for step in 0..7 {
            if step == late_at {
                let reply = world.deliver_command(&held).unwrap();
                if step < 2 {
                    world.deliver_reply(&mut cluster, &held, reply);
                }
            }
            match step {
                1 => assert!(
                    world.send_heartbeat(&mut cluster, "m1").commands.is_empty() || late_at < 2,
                    "one way at a time"
                ),
                2 if late_at >= 2 => {
                    world.time_out_command(&mut cluster, &held);
                    world.store_all(&mut cluster);
                    let orders = world.send_heartbeat(&mut cluster, "m1").commands;
                    assert_eq!(count_reaps(&orders), 0, "it may yet start again");
                }
                4 => drop(world.raise_fencing_token_if_needed(&mut cluster)),
                _ => {}
            }
            world.exchange_heartbeat(&mut cluster, "m1");
            world.store_all(&mut cluster);
        }
        world.exchange_heartbeat(&mut cluster, "m1");
        assert!(
            world.workers["m1"].reaped.contains(&(task_key(0), 1)),
            "{cause:?}, late at {late_at}: reaped in the end"
        );
    }
}

/// The answer with a launch is on its way, for less than 4 s; a command overtakes it, and its reply is newer than the
/// report that is being answered. It proves nothing of what that answer brings.
#[test]
fn the_reply_to_a_command_proves_nothing_of_an_answer_on_its_way() {
    for heard in [true, false] {
        let mut world = World::new(&["m1", "m2"], |j| j.tasks = 2);
        let mut cluster = world.elect_leader();
        world.exchange_heartbeat(&mut cluster, "m1");
        world.exchange_heartbeat(&mut cluster, "m2");
        world.exchange_heartbeat(&mut cluster, "m1");
        world.bind_tasks(&mut cluster, &[0], "m1");
        let answer = world.send_heartbeat(&mut cluster, "m1");
        assert_eq!(count_launches(&answer.commands), 1);
        cluster.halt_task_or_gang(&task_key(0), 0, world.now);
        world.bind_tasks(&mut cluster, &[1], "m1");
        let direct = world.next_command_to(&mut cluster, "m1").unwrap();
        assert!(direct.commands.iter().all(|o| matches!(o, WorkerCommand::Launch { task, .. } if task.index == 1)));
        let reply = world.deliver_command(&direct).unwrap();
        world.deliver_reply(&mut cluster, &direct, reply);
        assert_bound(&cluster, 0, 1, "m1");
        world.bind_waiting(&mut cluster, "m2");
        world.exchange_heartbeat(&mut cluster, "m2");
        if heard {
            world.receive_answer(&answer);
            assert!(world.workers["m1"].has_live_attempt(&task_key(0)));
        }
        // The next heartbeat was made once that answer was heard or dropped.
        for _ in 0..3 {
            world.exchange_heartbeat(&mut cluster, "m1");
            world.bind_tasks(&mut cluster, &[0], "m2");
            world.exchange_heartbeat(&mut cluster, "m2");
        }
        assert!(
            world.workers["m2"].has_live_attempt(&task_key(0)) && world.workers["m1"].has_live_attempt(&task_key(1))
        );
    }
}

/// The reply to a command comes after a newer heartbeat: what it shows running has ended, and what it does not show
/// runs. Neither goes back.
#[test]
fn a_reply_older_than_the_newest_report_changes_nothing() {
    let mut world = World::new(&["m1", "m2"], |j| j.tasks = 2);
    let mut cluster = world.elect_leader();
    world.exchange_heartbeat(&mut cluster, "m1");
    world.exchange_heartbeat(&mut cluster, "m2");
    world.bind_tasks(&mut cluster, &[0], "m1");
    let direct = world.next_command_to(&mut cluster, "m1").unwrap();
    let reply = world.deliver_command(&direct).unwrap();
    assert_eq!(reply.attempts[0].status, AttemptStatus::Running);
    world.exit_task("m1", 0, 1, ExitCause::Done);
    let answer = world.send_heartbeat(&mut cluster, "m1");
    assert_eq!(
        (answer.commands.len(), cluster.task_counts(&JOB.into()).done),
        (0, 1),
        "known, and reaped by no answer yet"
    );
    world.store_all(&mut cluster);
    world.deliver_reply(&mut cluster, &direct, reply);
    assert_eq!(cluster.task_counts(&JOB.into()).done, 1);
    let answer = world.send_heartbeat(&mut cluster, "m1");
    assert_eq!(count_reaps(&answer.commands), 1);
    // An older reply, which shows nothing, comes after a heartbeat that shows the second task running.
    world.receive_answer(&answer);
    let old = world.next_heartbeat("m1");
    world.bind_waiting(&mut cluster, "m1");
    let direct = world.next_command_to(&mut cluster, "m1").unwrap();
    drop(world.deliver_command(&direct).unwrap());
    world.exchange_heartbeat(&mut cluster, "m1");
    cluster.halt_task_or_gang(&task_key(1), 0, world.now);
    world.deliver_reply(&mut cluster, &direct, old);
    assert_bound(&cluster, 1, 1, "m1");
    world.bind_waiting(&mut cluster, "m2");
    world.exchange_heartbeat(&mut cluster, "m2");
    assert!(world.workers["m1"].has_live_attempt(&task_key(1)));
}

/// Tokens are raised at most every 5 s. Until then nothing is reaped or believed gone where a launch may still come,
/// and the others go on.
#[test]
fn while_a_raise_of_the_token_is_put_off_only_the_others_are_reaped() {
    let mut world = World::new(&["m1", "m2", "m3"], |j| j.tasks = 3);
    let mut cluster = world.elect_leader();
    for m in ["m1", "m2", "m3"] {
        world.exchange_heartbeat(&mut cluster, m);
    }
    world.now += secs(1.2);
    let mut held = Vec::new();
    for (index, m) in [(0, "m1"), (1, "m2")] {
        world.bind_tasks(&mut cluster, &[index], m);
        let direct = world.next_command_to(&mut cluster, m).unwrap();
        world.time_out_command(&mut cluster, &direct);
        held.push(direct);
        if index == 0 {
            assert!(world.raise_fencing_token_if_needed(&mut cluster));
        }
    }
    // The first is void once its worker knows; the second was given under the raised fencing token.
    let (first, second) = (held.remove(0), held.remove(0));
    assert!(second.fencing_token > first.fencing_token);
    let mut waited = 0;
    while !cluster.token_raise_needed(world.now) {
        cluster.halt_task_or_gang(&task_key(1), 0, world.now);
        world.exchange_heartbeat(&mut cluster, "m2");
        assert_bound(&cluster, 1, 1, "m2");
        world.bind_tasks(&mut cluster, &[2], "m3");
        world.exchange_heartbeat(&mut cluster, "m3");
        world.exit_task("m3", 2, 1, ExitCause::Done);
        world.exchange_heartbeat(&mut cluster, "m3");
        world.store_all(&mut cluster);
        world.exchange_heartbeat(&mut cluster, "m3");
        waited += 1;
        assert!(waited < 20, "raised in the end");
    }
    assert!(waited > 0 && world.workers["m3"].reaped.contains(&(task_key(2), 1)), "the others go on");
    world.raise_fencing_token_if_needed(&mut cluster);
    world.exchange_heartbeat(&mut cluster, "m2");
    assert_bound(&cluster, 1, 1, "m2");
    // It has heard the fencing token now: the launch that was held up is refused, and then its task goes elsewhere.
    drop(world.deliver_command(&second));
    assert!(!world.workers["m2"].has_live_attempt(&task_key(1)));
    world.exchange_heartbeat(&mut cluster, "m2");
    assert_eq!(binding_of(&cluster, 1), None);
    world.bind_tasks(&mut cluster, &[1], "m3");
    world.exchange_heartbeat(&mut cluster, "m3");
    assert!(world.workers["m3"].has_live_attempt(&task_key(1)));
}
