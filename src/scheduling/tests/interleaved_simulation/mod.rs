//! Seeded interleavings: the real cluster state, placement and transactions in a small model of store,
//! workers and cloud where messages and transactions come late, twice or are lost, leaders go on after
//! being deposed, lose the store alone or are back at once, machines hang or hear nothing, and jobs are cancelled. The
//! model checks the rules itself.

mod combined_faults;
mod deliveries;
mod faults;
mod jobs;
mod leaders;
mod messages;
mod steps;
mod store;
mod users;
mod workers;
mod world;

use std::time::Duration;

use world::World;

const STEP: Duration = Duration::from_millis(100);
const LEASE: Duration = Duration::from_secs(24);
const CANCEL: Duration = Duration::from_secs(49);
const ANSWER_TAKEN: Duration = Duration::from_secs(4);
/// After this long without a sign of life another leads.
const LEADER_LEASE: Duration = Duration::from_secs(3);
const COMMAND_WAITED: Duration = Duration::from_millis(2500);

#[test]
fn rules_hold_in_any_interleaving() {
    let (mut starts, mut process_pauses, mut failures, mut faults) = (0, 0, 0, [0; 4]);
    for seed in 0..40 {
        let mut world = World::new(seed, 6);
        world.simulate(1200);
        starts += world.starts;
        process_pauses += world.process_pauses;
        failures += world.failures;
        let of_world = [world.copies, world.inbound_lost, world.cuts, world.restarts];
        faults.iter_mut().zip(of_world).for_each(|(all, n)| *all += n);
    }
    assert!(starts > 5000, "the model has hardly worked: {starts} starts");
    assert!(process_pauses > 50 && failures > 100, "{process_pauses} process pauses, {failures} failures");
    assert!(faults.iter().all(|n| *n > 20), "copies, partitioned one way, cut off, restarted: {faults:?}");
}

/// The same at a size where plans, shards and commands no longer fit one turn.
#[test]
fn rules_hold_with_hundreds_of_machines() {
    let mut world = World::new(7, 200);
    world.simulate(300);
    assert!(world.starts > 5000, "the model has hardly worked: {} starts", world.starts);
}
