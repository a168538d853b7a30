//! Jobs with zone constraints, arrays included, lose machines.

use super::simulation::*;
use super::world::*;
use super::*;

/// Machines with tasks of a job are paused, cut off or lost, also when a successor has neither heard from them nor got
/// the cloud's machine list. Tasks are placed only where the job's zone constraint allows it, counting all tasks that
/// are not proven gone, which the simulation checks at every step. In the end as many tasks run as the constraint
/// allows, in the other zone, since no machine is left in the first.
#[test]
fn lost_tasks_are_replaced_only_where_the_remaining_tasks_allow() {
    type Change = fn(&mut JobSpec);
    // The last number is how many tasks run in the end, when no machine is left in the first zone.
    let jobs: [(&str, Change, usize); 4] = [
        ("an array in one zone", |j| j.same_zone = true, 4),
        ("a gang in one zone", |j| (j.shape, j.same_zone) = (Shape::Gang, true), 4),
        ("a spread job", |j| j.spread = true, 2),
        ("one zone allowed", |j| j.zone = Some("a".into()), 0),
    ];
    for (name, change, expected_live) in jobs {
        for (fault, successor, listed) in ["paused", "cut off", "lost"]
            .into_iter()
            .flat_map(|t| [(t, false, true), (t, true, true), (t, true, false)])
        {
            let name = format!("{name}: {fault}, successor {successor}, listed {listed}");
            let machines = [("m1", "a"), ("m2", "a"), ("m3", "b"), ("m4", "b"), ("m5", "b"), ("m6", "b")];
            let mut simulation = Simulation::new(&machines, |j| {
                (j.tasks, j.cpus, j.estimate_s) = (4, 4.0, 600.0);
                change(j);
            });
            // At first, a service leaves capacity for the job in one zone only.
            let service = simulation.world.accept_job(&mut simulation.cluster, 2, |j| {
                (j.tasks, j.cpus, j.zone, j.shape, j.estimate_s) = (4, 8.0, Some("b".into()), Shape::Service, 0.0);
            });
            let spread = simulation.world.record.spec.spread;
            simulation.places_tasks = true;
            if spread {
                simulation.cancel_job(&service);
            }
            simulation.run(6.0);
            assert_eq!(simulation.live_tasks(&JOB.into()).len(), 4, "{name}");
            if !spread {
                simulation.cancel_job(&service);
            }
            simulation.run(4.0);
            let lost = ["m1", "m2"];
            match fault {
                "paused" => simulation.paused = lost.into(),
                "cut off" => (simulation.outbound_lost, simulation.commands_refused) = (lost.into(), lost.into()),
                _ => lost.iter().for_each(|m| {
                    // The machine is lost, and the leader is not told.
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
            // A task on a healthy machine is stopped and waits again, so that there is something to place meanwhile.
            simulation.run(4.0);
            if let Some((index, _)) = simulation.live_tasks(&JOB.into()).into_iter().find(|(_, m)| !lost.contains(m)) {
                simulation.cluster.halt_task_or_gang(&task_key(index), 0, simulation.world.now);
            }
            simulation.run(80.0);
            let live = simulation.live_tasks(&JOB.into());
            assert_eq!(live.len(), expected_live, "{name}: {live:?}");
        }
    }
}

/// A machine holds half of a spread job, or of an array in one zone, and a successor has neither heard from the machine
/// nor been told its zone, which may be the zone of the machines that it has heard from. Nothing is placed until the
/// zone is known.
#[test]
fn nothing_is_placed_until_the_zone_of_inherited_tasks_is_known() {
    // (the machine's zone, whether the job is spread or in one zone, tasks placed once the zone is known)
    for (zone, spread, expected) in [("a", true, 0), ("b", true, 2), ("a", false, 2), ("b", false, 0)] {
        let mut simulation = Simulation::new(&[("m1", zone), ("m2", "a")], |j| {
            (j.tasks, j.same_zone, j.spread, j.estimate_s) = (4, !spread, spread, 600.0);
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
            "zone {zone}, spread {spread}: the zone is not known yet"
        );
        simulation.load_machine_list();
        simulation.run(4.0);
        assert_eq!(simulation.live_tasks(&JOB.into()).len(), 2 + expected, "zone {zone}, spread {spread}");
    }
}
