//! Copies of old heartbeats that arrive after newer ones (issue 34, section 3, case 7).

use super::world::*;
use super::*;
use crate::protocol::workers::ExitCause;

/// An old heartbeat reaches the leader, a successor, or a leader that has led before. The attempt that the store names
/// stays bound to its machine, unless the copy proves that it is gone.
#[test]
fn copy_of_an_old_report_removes_no_binding_that_it_does_not_disprove() {
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum Reader {
        Leader,
        Successor,
        LeaderAgain,
    }
    use Reader::*;
    // (what the copy shows, its index in `copies`, who reads it, whether the task stays bound)
    let cases = [
        ("before the launch", 0, Leader, true),
        ("before the launch", 0, Successor, true),
        ("before the launch", 0, LeaderAgain, true),
        ("an earlier attempt runs", 1, Leader, true),
        ("an earlier attempt runs", 1, Successor, true),
        ("an earlier attempt runs", 1, LeaderAgain, true),
        ("an earlier attempt failed", 2, Leader, true),
        ("an earlier attempt failed", 2, Successor, true),
        ("an earlier attempt failed", 2, LeaderAgain, true),
        ("an earlier attempt was reaped", 3, Successor, true),
        ("an earlier agent epoch", 4, Leader, true),
        ("an earlier agent epoch", 4, Successor, true),
        ("an earlier agent epoch", 4, LeaderAgain, true),
    ];
    for (name, copy, reader, stays_bound) in cases {
        let mut world = World::new(&["m1", "m2"], |_| ());
        let mut cluster = world.elect_leader();
        let mut copies = Vec::new();
        world.exchange_heartbeat(&mut cluster, "m1");
        copies.push(world.next_heartbeat("m1"));
        world.bind_waiting(&mut cluster, "m1");
        world.exchange_heartbeat(&mut cluster, "m1");
        copies.push(world.next_heartbeat("m1"));
        world.exit_task("m1", 0, 1, ExitCause::Error);
        copies.push(world.next_heartbeat("m1"));
        world.exchange_heartbeat(&mut cluster, "m1");
        world.exchange_heartbeat(&mut cluster, "m1");
        copies.push(world.next_heartbeat("m1"));
        // The second attempt is lost with the lease, and the third runs there in the next agent epoch.
        world.bind_waiting(&mut cluster, "m1");
        world.exchange_heartbeat(&mut cluster, "m1");
        copies.push(world.next_heartbeat("m1"));
        world.expire_lease("m1");
        world.exchange_heartbeat(&mut cluster, "m1");
        world.bind_waiting(&mut cluster, "m1");
        world.exchange_heartbeat(&mut cluster, "m1");
        world.exchange_heartbeat(&mut cluster, "m1");
        assert_bound(&cluster, 0, 3, "m1");
        assert!(world.workers["m1"].has_live_attempt(&task_key(0)));
        match reader {
            Leader => {}
            Successor => cluster = world.elect_leader(),
            LeaderAgain => {
                drop(world.elect_leader());
                cluster = world.elect_leader();
            }
        }
        // The machine is unreachable for a while, and copies arrive one after the other.
        for n in 0..3 {
            cluster.take_heartbeat(copies[copy].clone(), MessageKind::Heartbeat, None, world.now);
            drop(cluster.heartbeat_response_commands("m1", world.now));
            if n == 1 {
                cluster.halt_task_or_gang(&task_key(0), 0, world.now);
            }
            assert_eq!(binding_of(&cluster, 0).is_some(), stays_bound, "{name}, read by {reader:?}");
            world.bind_waiting(&mut cluster, "m2");
            world.exchange_heartbeat(&mut cluster, "m2");
            world.now += secs(2.0);
        }
        assert!(!world.workers["m2"].has_live_attempt(&task_key(0)));
        // Once the machine is reachable again, the task is stopped there and placed elsewhere.
        for _ in 0..4 {
            world.exchange_heartbeat(&mut cluster, "m1");
            world.bind_waiting(&mut cluster, "m2");
            world.exchange_heartbeat(&mut cluster, "m2");
        }
        assert!(world.workers["m2"].has_live_attempt(&task_key(0)), "{name}, read by {reader:?}");
    }
}

/// A controller terminates a machine while it leads, and leads again later with a cluster state that knows nothing of
/// it. A copy of a heartbeat that was made under the first fencing token must not make the machine available for work;
/// only one made under the newest token could.
#[test]
fn machine_terminated_in_an_earlier_term_gets_no_work_by_a_copied_heartbeat() {
    let mut world = World::new(&["m1", "m2"], |_| ());
    let mut first = world.elect_leader();
    world.exchange_heartbeat(&mut first, "m1");
    world.exchange_heartbeat(&mut first, "m1");
    let copy = world.next_heartbeat("m1");
    assert_eq!(copy.fencing_token, first.fencing_token);
    world.terminate_machine(&mut first, "m1");
    drop(first);
    drop(world.elect_leader());
    let mut cluster = world.elect_leader();
    for raised in [false, true] {
        if raised {
            // The same leader goes on under a raised fencing token.
            world.version += 1;
            cluster.raise_fencing_token(world.version);
        }
        cluster.take_heartbeat(
            Heartbeat { seq: copy.seq + u64::from(raised), ..copy.clone() },
            MessageKind::Heartbeat,
            None,
            world.now,
        );
        drop(cluster.heartbeat_response_commands("m1", world.now));
        assert_eq!(plan_placements(&mut cluster, world.now), [], "raised: {raised}");
    }
    // A machine that has seen the first fencing token of this cluster state is available, also after later raises.
    let known = Heartbeat { fencing_token: cluster.first_fencing_token, ..world.next_heartbeat("m2") };
    cluster.take_heartbeat(known, MessageKind::Heartbeat, None, world.now);
    assert_eq!(plan_placements(&mut cluster, world.now), [(0, "m2".to_owned())]);
}
