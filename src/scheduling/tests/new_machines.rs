//! New machines come up within two seconds and get work at once, while store writes lag and the leader fails.

use super::world::*;
use super::*;
use crate::scheduling::cluster::DirectCommand;
use crate::store::TransactionLimits;

/// The write of a binding is unacknowledged: it is applied at once, or never (a late one is refused, since another
/// leads by then). Until its success is known, neither the leader nor the same one deposed launches the tasks. The
/// successor knows every stored binding and starts nothing that the deposed leader may still start.
#[test]
fn no_launch_before_its_binding_is_known_to_be_stored() {
    for (stored, answered_at) in [true, false].into_iter().flat_map(|stored| (0..8).map(move |at| (stored, at))) {
        let name = format!("stored {stored}, answered at {answered_at}");
        let mut world = World::new(&["m1", "m2"], |j| (j.tasks, j.cpus) = (2, 4.0));
        let mut old = world.elect_leader();
        // A machine that was just rented comes up and gets work at once.
        let kind = MachineKind { type_name: "c8".into(), zone: "a".into(), spot: false };
        old.expect_machine("m1", &kind, None, secs(2.0), world.now);
        drop(world.send_heartbeat(&mut old, "m1"));
        let decisions = plan::place(&mut old, &catalog(), world.now);
        assert_eq!(decisions.len(), 2, "{name}");
        old.bind_placements(decisions, world.now);
        let (_, writes) = old.next_writes(&TransactionLimits::of_changes(99), world.now);
        assert_eq!(writes.len(), 1, "{name}");
        let mut delayed: Vec<DirectCommand> = Vec::new();
        if stored {
            world.version += 1;
            world.shard = Some((world.version, writes[0].shard.tasks.clone()));
        }
        let mut successor = None;
        for step in 0..16 {
            world.now += secs(0.5);
            if step == answered_at && stored {
                let version = world.shard.as_ref().unwrap().0;
                old.record_stored_shards(&writes, version);
            }
            if step == 4 {
                successor = Some(world.elect_leader());
            }
            // The deposed leader does not learn that it was deposed. It goes on until the machine has seen a higher
            // fencing token than its own.
            let known = step >= answered_at && stored;
            if world.workers["m1"].fencing_token <= old.fencing_token {
                let answer = world.send_heartbeat(&mut old, "m1");
                assert!(known || count_launches(&answer.commands) == 0, "{name}, step {step}");
                if step % 2 == 0 {
                    world.receive_answer(&answer);
                }
            }
            for direct in old.direct_commands(world.now) {
                assert!(known || count_launches(&direct.commands) == 0, "{name}, step {step}");
                old.finish_direct_command(&direct.machine, direct.fencing_token, false, world.now);
                delayed.push(direct);
            }
            if let Some(successor) = &mut successor {
                if step == 4 {
                    let usage = successor.team_usage.get("blue").copied().unwrap_or_default().cpus;
                    assert_eq!(usage, if stored { 8.0 } else { 0.0 }, "{name}: the successor counts what is stored");
                }
                if step >= 6 {
                    world.exchange_heartbeat(successor, "m1");
                    world.exchange_heartbeat(successor, "m2");
                }
                let decisions = plan::place(successor, &catalog(), world.now);
                successor.bind_placements(decisions, world.now);
                world.store_all(successor);
            }
            // Delayed commands arrive again at every later step. The world checks what they start.
            if step >= 5 {
                delayed.iter().for_each(|direct| drop(world.deliver_command(direct)));
            }
        }
        let mut successor = successor.unwrap();
        for _ in 0..8 {
            world.exchange_heartbeat(&mut successor, "m1");
            world.exchange_heartbeat(&mut successor, "m2");
            let decisions = plan::place(&mut successor, &catalog(), world.now);
            successor.bind_placements(decisions, world.now);
            world.store_all(&mut successor);
        }
        for index in 0..2 {
            let live = world.workers.values().filter(|w| w.has_live_attempt(&task_key(index))).count();
            assert_eq!(live, 1, "{name}: task {index} runs exactly once");
        }
    }
}
