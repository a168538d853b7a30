//! Commands, answers and replies that are delayed by seconds and arrive after newer messages (issue 34, section 3,
//! case 6). A message that may be delayed is delivered at each step of its simulation in turn.

use super::world::*;
use super::*;
use crate::protocol::workers::{ExitCause, WorkerCommand};

/// A launch that timed out at the leader is executed minutes later, at each step of what follows: its task is stopped,
/// the fencing token is raised, the worker learns the new token, and the task is placed on another machine. The launch
/// must be void before its task is placed again.
#[test]
fn delayed_launch_is_void_before_its_task_is_placed_elsewhere() {
    for late_at in 0..8 {
        let mut world = World::new(&["m1", "m2"], |_| ());
        let mut cluster = world.elect_leader();
        world.exchange_heartbeat(&mut cluster, "m1");
        world.exchange_heartbeat(&mut cluster, "m2");
        world.now += secs(10.0);
        world.bind_waiting(&mut cluster, "m1");
        let delayed = world.next_command_to(&mut cluster, "m1").unwrap();
        assert_eq!(count_launches(&delayed.commands), 1);
        let mut started = false;
        for step in 0..8 {
            if step == late_at {
                started = delayed.fencing_token >= world.workers["m1"].fencing_token;
                // The leader waits for the reply in the first step only.
                let reply = world.deliver_command(&delayed).unwrap();
                if step == 0 {
                    world.deliver_reply(&mut cluster, &delayed, reply);
                }
            }
            if step == 0 {
                if late_at != 0 {
                    world.time_out_command(&mut cluster, &delayed);
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
                // No report has shown the task so far, but the launch may still start it there.
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

/// The same launch is sent by an answer, which starts the task, and by a direct command, which is delayed. The task
/// exits, and must not be reaped while the delayed launch could start it again.
#[test]
fn exited_task_is_not_reaped_while_a_delayed_launch_could_restart_it() {
    for (cause, late_at) in
        [ExitCause::Done, ExitCause::Stopped].into_iter().flat_map(|c| (0..7).map(move |at| (c, at)))
    {
        let mut world = World::new(&["m1"], |j| j.tasks = 2);
        let mut cluster = world.elect_leader();
        world.exchange_heartbeat(&mut cluster, "m1");
        world.now += secs(10.0);
        // The answer launches the first task. Then the second is stored, and a direct command launches both.
        world.bind_tasks(&mut cluster, &[0], "m1");
        let answer = world.send_heartbeat(&mut cluster, "m1");
        assert_eq!(count_launches(&answer.commands), 1);
        world.bind_tasks(&mut cluster, &[1], "m1");
        let delayed = world.next_command_to(&mut cluster, "m1").unwrap();
        assert_eq!(count_launches(&delayed.commands), 2, "no report has shown the first task");
        world.receive_answer(&answer);
        world.exit_task("m1", 0, 1, cause);
        for step in 0..7 {
            if step == late_at {
                let reply = world.deliver_command(&delayed).unwrap();
                if step < 2 {
                    world.deliver_reply(&mut cluster, &delayed, reply);
                }
            }
            match step {
                1 => assert!(
                    world.send_heartbeat(&mut cluster, "m1").commands.is_empty() || late_at < 2,
                    "no answer carries commands while a direct command is in flight"
                ),
                2 if late_at >= 2 => {
                    world.time_out_command(&mut cluster, &delayed);
                    world.store_all(&mut cluster);
                    let commands = world.send_heartbeat(&mut cluster, "m1").commands;
                    assert_eq!(count_reaps(&commands), 0, "the delayed launch may start the task again");
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
            "{cause:?}, late at {late_at}: the task is reaped at last"
        );
    }
}

/// An answer with a launch is in transit for less than 4 s. A direct command overtakes it, and the reply to that
/// command is newer than the heartbeat being answered. The reply must not count as proof that the answer started
/// nothing.
#[test]
fn reply_to_a_command_does_not_prove_that_an_answer_in_transit_starts_nothing() {
    for answer_arrives in [true, false] {
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
        assert!(
            direct
                .commands
                .iter()
                .all(|command| matches!(command, WorkerCommand::Launch { task, .. } if task.index == 1))
        );
        let reply = world.deliver_command(&direct).unwrap();
        world.deliver_reply(&mut cluster, &direct, reply);
        assert_bound(&cluster, 0, 1, "m1");
        world.bind_waiting(&mut cluster, "m2");
        world.exchange_heartbeat(&mut cluster, "m2");
        if answer_arrives {
            world.receive_answer(&answer);
            assert!(world.workers["m1"].has_live_attempt(&task_key(0)));
        }
        // The worker makes its next heartbeat only after that answer was received or discarded.
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

/// The reply to a command arrives after a newer heartbeat. A task that the reply shows running has ended since, and a
/// task that it does not show runs by now. The old reply must undo neither.
#[test]
fn reply_older_than_the_newest_report_changes_nothing() {
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
        "the exit is known, and no answer reaps the task yet"
    );
    world.store_all(&mut cluster);
    world.deliver_reply(&mut cluster, &direct, reply);
    assert_eq!(cluster.task_counts(&JOB.into()).done, 1);
    let answer = world.send_heartbeat(&mut cluster, "m1");
    assert_eq!(count_reaps(&answer.commands), 1);
    // An older reply, which shows no task, arrives after a heartbeat that shows the second task running.
    world.receive_answer(&answer);
    let old_reply = world.next_heartbeat("m1");
    world.bind_waiting(&mut cluster, "m1");
    let direct = world.next_command_to(&mut cluster, "m1").unwrap();
    drop(world.deliver_command(&direct).unwrap());
    world.exchange_heartbeat(&mut cluster, "m1");
    cluster.halt_task_or_gang(&task_key(1), 0, world.now);
    world.deliver_reply(&mut cluster, &direct, old_reply);
    assert_bound(&cluster, 1, 1, "m1");
    world.bind_waiting(&mut cluster, "m2");
    world.exchange_heartbeat(&mut cluster, "m2");
    assert!(world.workers["m1"].has_live_attempt(&task_key(1)));
}

/// The fencing token is raised at most every 5 s. Until the raise, no task is reaped or treated as gone on a machine
/// where a delayed launch may still arrive, while tasks on other machines are reaped as usual.
#[test]
fn while_a_token_raise_is_delayed_only_machines_without_delayed_launches_reap() {
    let mut world = World::new(&["m1", "m2", "m3"], |j| j.tasks = 3);
    let mut cluster = world.elect_leader();
    for m in ["m1", "m2", "m3"] {
        world.exchange_heartbeat(&mut cluster, m);
    }
    world.now += secs(1.2);
    let mut delayed = Vec::new();
    for (index, m) in [(0, "m1"), (1, "m2")] {
        world.bind_tasks(&mut cluster, &[index], m);
        let direct = world.next_command_to(&mut cluster, m).unwrap();
        world.time_out_command(&mut cluster, &direct);
        delayed.push(direct);
        if index == 0 {
            assert!(world.raise_fencing_token_if_needed(&mut cluster));
        }
    }
    // The first launch is void once its worker knows the raised fencing token, under which the second was sent.
    let (first, second) = (delayed.remove(0), delayed.remove(0));
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
        assert!(waited < 20, "the token is never raised");
    }
    assert!(waited > 0 && world.workers["m3"].reaped.contains(&(task_key(2), 1)), "m3 is not held up");
    world.raise_fencing_token_if_needed(&mut cluster);
    world.exchange_heartbeat(&mut cluster, "m2");
    assert_bound(&cluster, 1, 1, "m2");
    // The worker knows the new fencing token by now: it refuses the delayed launch, and the task is placed elsewhere.
    drop(world.deliver_command(&second));
    assert!(!world.workers["m2"].has_live_attempt(&task_key(1)));
    world.exchange_heartbeat(&mut cluster, "m2");
    assert_eq!(binding_of(&cluster, 1), None);
    world.bind_tasks(&mut cluster, &[1], "m3");
    world.exchange_heartbeat(&mut cluster, "m3");
    assert!(world.workers["m3"].has_live_attempt(&task_key(1)));
}

/// How an attempt that was launched by a direct command comes to its end.
#[derive(Debug, Clone, Copy, PartialEq)]
enum AttemptEnd {
    /// Stopped by its leader, as by preemption; the task continues on another machine.
    Halted,
    /// Failed; the task continues on another machine.
    Failed,
    /// Done.
    Done,
    /// Stopped since its job was cancelled.
    Cancelled,
}

/// Guards against a repeated launch that starts a reaped attempt again (issue 50, `ran_twice`): the launch was carried
/// out and answered, and arrives once more at each step after its attempt was reaped or was about to be.
#[test]
fn repeated_launch_starts_no_attempt_that_was_reaped() {
    for (end, repeated_at) in [AttemptEnd::Halted, AttemptEnd::Failed, AttemptEnd::Done, AttemptEnd::Cancelled]
        .into_iter()
        .flat_map(|end| (0..8).map(move |at| (end, at)))
    {
        let mut world = World::new(&["m1", "m2"], |j| j.tasks = 2);
        let mut cluster = world.elect_leader();
        world.exchange_heartbeat(&mut cluster, "m1");
        world.exchange_heartbeat(&mut cluster, "m2");
        world.bind_tasks(&mut cluster, &[0], "m1");
        let launch = world.next_command_to(&mut cluster, "m1").unwrap();
        assert_eq!(count_launches(&launch.commands), 1);
        let reply = world.deliver_command(&launch).unwrap();
        world.deliver_reply(&mut cluster, &launch, reply);
        match end {
            AttemptEnd::Halted => cluster.halt_task_or_gang(&task_key(0), 0, world.now),
            AttemptEnd::Failed => world.exit_task("m1", 0, 1, ExitCause::Error),
            AttemptEnd::Done => world.exit_task("m1", 0, 1, ExitCause::Done),
            AttemptEnd::Cancelled => world.cancel_job(&mut cluster, &JOB.into()),
        }
        for step in 0..8 {
            world.exchange_heartbeat(&mut cluster, "m1");
            world.store_all(&mut cluster);
            world.drop_ended_shards(&mut cluster);
            if matches!(end, AttemptEnd::Halted | AttemptEnd::Failed) {
                world.bind_tasks(&mut cluster, &[0], "m2");
            }
            // A direct command with new work may come between the exit and the reap, as it does under load.
            if let Some(direct) = world.next_command_to(&mut cluster, "m1") {
                let reply = world.deliver_command(&direct).unwrap();
                world.deliver_reply(&mut cluster, &direct, reply);
            }
            world.exchange_heartbeat(&mut cluster, "m2");
            if step == repeated_at {
                drop(world.deliver_command(&launch));
            }
        }
        let case = format!("{end:?}, repeated at {repeated_at}");
        assert!(world.workers["m1"].reaped.contains(&(task_key(0), 1)), "{case}: the attempt is reaped at last");
        assert!(!world.workers["m1"].has_live_attempt(&task_key(0)), "{case}");
        let continues = matches!(end, AttemptEnd::Halted | AttemptEnd::Failed);
        assert_eq!(world.workers["m2"].has_live_attempt(&task_key(0)), continues, "{case}");
    }
}

/// A fencing token that a leader raised for one machine is its own: the worker's report does not depose it. A later
/// leader's is higher than each of them, so the worker refuses the earlier leader's commands, and its report deposes it.
#[test]
fn raised_token_of_one_machine_is_below_every_later_leaders() {
    let mut world = World::new(&["m1"], |j| j.tasks = 2);
    let mut old = world.elect_leader();
    world.exchange_heartbeat(&mut old, "m1");
    world.bind_tasks(&mut old, &[0], "m1");
    let launch = world.next_command_to(&mut old, "m1").unwrap();
    let reply = world.deliver_command(&launch).unwrap();
    world.deliver_reply(&mut old, &launch, reply);
    world.exit_task("m1", 0, 1, ExitCause::Done);
    for _ in 0..3 {
        world.exchange_heartbeat(&mut old, "m1");
        world.store_all(&mut old);
    }
    let raised = world.workers["m1"].fencing_token;
    assert!(world.workers["m1"].reaped.contains(&(task_key(0), 1)) && raised > launch.fencing_token);
    assert!(raised > old.fencing_token && raised == old.command_token("m1"), "raised for this machine alone");
    assert!(!old.is_superseded_by(raised));
    world.bind_tasks(&mut old, &[1], "m1");
    let late = world.next_command_to(&mut old, "m1").unwrap();
    let mut successor = world.elect_leader();
    assert!(!successor.is_superseded_by(raised));
    world.exchange_heartbeat(&mut successor, "m1");
    let seen = world.workers["m1"].fencing_token;
    assert!(old.is_superseded_by(seen) && late.fencing_token < seen);
    drop(world.deliver_command(&late));
    assert!(!world.workers["m1"].has_live_attempt(&task_key(1)), "the earlier leader's command is refused");
}
