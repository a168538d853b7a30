//! Jobs bound to one zone, arrays too, lose machines.

use super::simulation::*;
use super::world::*;
use super::*;

/// Four tasks, then machines of theirs hang, are cut off, or a successor has never heard them and is told no list: the
/// others are placed only where the rule allows by all that is not proven gone, which the simulation checks at each
/// step; and in the end all run, in the other zone where the first has no room left.
#[test]
fn what_was_lost_is_replaced_only_where_the_rest_allows() {
    type Change = fn(&mut JobSpec);
    // How many run in the end: nothing is left in the first zone.
    let jobs: [(&str, Change, usize); 4] = [
        ("an array in one zone", |j| j.same_zone = true, 4),
        ("a gang in one zone", |j| (j.shape, j.same_zone) = (Shape::Gang, true), 4),
        ("scattered", |j| j.spread = true, 2),
        ("one zone allowed", |j| j.zone = Some("a".into()), 0),
    ];
    for (name, change, left) in jobs {
        for (trouble, successor, listed) in
            ["hang", "cut", "gone"].into_iter().flat_map(|t| [(t, false, true), (t, true, true), (t, true, false)])
        {
            let name = format!("{name}: {trouble}, successor {successor}, listed {listed}");
            let machines = [("m1", "a"), ("m2", "a"), ("m3", "b"), ("m4", "b"), ("m5", "b"), ("m6", "b")];
            let mut simulation = Simulation::new(&machines, |j| {
                (j.tasks, j.cpus, j.estimate_s) = (4, 4.0, 600.0);
                change(j);
            });
            // Room for it in one zone alone, at first.
            let full = simulation.world.accept_job(&mut simulation.cluster, 2, |j| {
                (j.tasks, j.cpus, j.zone, j.shape, j.estimate_s) = (4, 8.0, Some("b".into()), Shape::Service, 0.0);
            });
            let scattered = simulation.world.record.spec.spread;
            simulation.places_tasks = true;
            if scattered {
                simulation.cancel_job(&full);
            }
            simulation.run(6.0);
            assert_eq!(simulation.live_tasks(&JOB.into()).len(), 4, "{name}");
            if !scattered {
                simulation.cancel_job(&full);
            }
            simulation.run(4.0);
            let lost = ["m1", "m2"];
            match trouble {
                "hang" => simulation.paused = lost.into(),
                "cut" => (simulation.outbound_lost, simulation.commands_refused) = (lost.into(), lost.into()),
                _ => lost.iter().for_each(|m| {
                    // Died, and nobody has told the leader.
                    simulation.world.workers.get_mut(m).unwrap().attempts.clear();
                    simulation.paused = lost.into();
                }),
            }
            if successor {
                simulation.cluster = simulation.world.elect_leader();
                if listed {
                    simulation.load_machine_list();
                }
            }
            // One of its tasks that are well ends up stopped, and waits again: so something is to be placed meanwhile.
            simulation.run(4.0);
            if let Some((index, _)) = simulation.live_tasks(&JOB.into()).into_iter().find(|(_, m)| !lost.contains(m)) {
                simulation.cluster.halt_task_or_gang(&task_key(index), 0, simulation.world.now);
            }
            simulation.run(80.0);
            let live = simulation.live_tasks(&JOB.into());
            assert_eq!(live.len(), left, "{name}: {live:?}");
        }
    }
}

/// A successor is not told yet in which zone a machine is that holds half of a scattered job, nor has it heard it: it
/// may be the zone of those that it has heard. The same for an array in one zone.
#[test]
fn where_an_inherited_task_is_has_to_be_known() {
    // (its zone, scattered or in one zone, placed once it is known)
    for (zone, scattered, want) in [("a", true, 0), ("b", true, 2), ("a", false, 2), ("b", false, 0)] {
        let mut simulation = Simulation::new(&[("m1", zone), ("m2", "a")], |j| {
            (j.tasks, j.same_zone, j.spread, j.estimate_s) = (4, !scattered, scattered, 600.0);
        });
        simulation.world.bind_tasks(&mut simulation.cluster, &[0, 1], "m1");
        simulation.exchange_heartbeat("m1");
        assert_eq!(simulation.live_tasks(&JOB.into()).len(), 2);
        (simulation.outbound_lost, simulation.commands_refused) = (vec!["m1"], vec!["m1"]);
        simulation.cluster = simulation.world.elect_leader();
        simulation.exchange_heartbeat("m2");
        simulation.exchange_heartbeat("m2");
        simulation.places_tasks = true;
        simulation.run(4.0);
        assert_eq!(
            simulation.live_tasks(&JOB.into()).len(),
            2,
            "zone {zone}, scattered {scattered}: nothing is known yet"
        );
        simulation.load_machine_list();
        simulation.run(4.0);
        assert_eq!(simulation.live_tasks(&JOB.into()).len(), 2 + want, "zone {zone}, scattered {scattered}");
    }
}
