//! All controllers are away, or a zone is cut off, for longer than a lease.

use super::simulation::*;
use super::world::*;
use super::*;

// All controllers are away for longer than a lease.

/// The workers have killed their tasks and go on with the next agent epoch, all at once or one long after. What each
/// had is placed again once it has heard the new leader, and none that heartbeats is returned. Away for less, all goes
/// on.
#[test]
fn after_all_controllers_were_away_past_the_lease_nothing_is_lost_or_returned() {
    for (shape, away_s, late) in [
        (Shape::Array, 20.0, false),
        (Shape::Array, 30.0, false),
        (Shape::Array, 30.0, true),
        (Shape::Gang, 20.0, false),
        (Shape::Gang, 30.0, true),
        (Shape::Gang, 300.0, false),
    ] {
        let name = format!("{shape:?}, away {away_s} s, one late: {late}");
        let names = ["m1", "m2", "m3"];
        let mut simulation = Simulation::new(&names.map(|m| (m, "a")), |j| {
            (j.shape, j.tasks, j.cpus, j.estimate_s) = (shape, 3, 8.0, 900.0);
        });
        simulation.places_tasks = true;
        simulation.run(6.0);
        assert_eq!(simulation.live_tasks(&JOB.into()).len(), 3, "{name}");
        // Nobody answers, commands, or takes anything in.
        let lease = simulation.cluster.settings.params.workers.lease();
        for _ in 0..(away_s / STEP_S) as usize {
            simulation.world.now += secs(STEP_S);
            let now = simulation.world.now;
            for m in names {
                if now - simulation.world.workers[m].lease_renewed_at.unwrap() > lease {
                    simulation.world.expire_lease(m);
                }
            }
        }
        simulation.fail_over();
        if late {
            simulation.outbound_lost = vec!["m3"];
            simulation.commands_refused = vec!["m3"];
            simulation.run(9.0);
            (simulation.outbound_lost, simulation.commands_refused) = (vec![], vec![]);
        }
        simulation.run(15.0);
        let live = simulation.live_tasks(&JOB.into());
        assert_eq!(
            (live.len(), simulation.terminated.len()),
            (3, 0),
            "{name}: {live:?}, returned {:?}",
            simulation.terminated
        );
        let attempts: Vec<u64> = (0..3).map(|i| binding_of(&simulation.cluster, i).unwrap().0).collect();
        let want = if away_s < 24.0 { 1 } else { 2 };
        assert!(attempts.iter().all(|a| *a == want), "{name}: {attempts:?}");
    }
}

// A zone with workers and a controller is cut off for longer than a lease.

/// The leader outside goes on; within, workers find nobody who may act, or the deposed one goes on answering for a
/// while. The zone comes back before or after its machines are given up; the cancelled task in it is gone in time.
#[test]
fn a_zone_that_is_cut_off_past_the_lease_comes_back_and_runs_nothing_twice() {
    for (cut_s, inside_s, changes) in [
        (20.0, 0.0, false),
        (30.0, 0.0, false),
        (40.0, 0.0, false),
        (40.0, 20.0, false),
        (70.0, 0.0, false),
        (70.0, 40.0, false),
        (70.0, 70.0, false),
        (70.0, 70.0, true),
    ] {
        let name = format!("cut for {cut_s} s, the old leader within answers for {inside_s} s, changes: {changes}");
        let (within, outside) = (["m1", "m2", "m3", "m4"], ["m5", "m6", "m7"]);
        let machines: Vec<(&str, &str)> =
            within.iter().map(|m| (*m, "a")).chain(outside.iter().map(|m| (*m, "b"))).collect();
        let mut simulation = Simulation::new(&machines, |j| (j.tasks, j.cpus, j.estimate_s) = (6, 8.0, 900.0));
        // Of the seven one, within, runs what is cancelled.
        let first = |j: &mut JobSpec| (j.zone, j.cpus, j.estimate_s) = (Some("a".into()), 8.0, 900.0);
        let called_off = simulation.world.accept_job(&mut simulation.cluster, 2, first);
        let key = TaskKey { job: called_off.clone(), index: 0 };
        simulation.cluster.bind_placements(
            vec![crate::scheduling::cluster::Placement { task: key, attempt: 1, machine: "m1".into() }],
            simulation.world.now,
        );
        simulation.places_tasks = true;
        simulation.run(6.0);
        assert_eq!(
            (simulation.live_tasks(&JOB.into()).len(), simulation.live_tasks(&called_off).len()),
            (6, 1),
            "{name}"
        );
        let mut old = None;
        if inside_s > 0.0 {
            // Within is the old leader, without the store: it acts for its zone until it lets go.
            let successor = simulation.world.elect_leader();
            old = Some(std::mem::replace(&mut simulation.cluster, successor));
            simulation.load_machine_list();
        }
        (simulation.outbound_lost, simulation.commands_refused) = (within.into(), within.into());
        for step in 0..(cut_s / STEP_S) as usize {
            let t = step as f64 * STEP_S;
            if t == 0.5 {
                simulation.cancel_job(&called_off);
            }
            if changes && t > 0.0 && t % 12.0 == 0.0 {
                simulation.fail_over();
            }
            if let Some(old) = old.as_mut().filter(|_| t < inside_s && step % HEARTBEAT_INTERVAL_STEPS == 0) {
                for m in within {
                    if simulation.world.workers[m].terminated {
                        continue;
                    }
                    let answer = simulation.world.send_heartbeat(old, m);
                    assert_eq!(count_launches(&answer.commands), 0, "{name}");
                    simulation.world.receive_answer(&answer);
                }
            }
            simulation.step();
        }
        (simulation.outbound_lost, simulation.commands_refused) = (vec![], vec![]);
        let before = simulation.terminated.len();
        simulation.run(30.0);
        let live = simulation.live_tasks(&JOB.into());
        let left = simulation.world.workers.values().filter(|w| !w.terminated).count();
        assert_eq!(live.len(), left.min(6), "{name}: {live:?}, returned {:?}", simulation.terminated);
        let back = &simulation.terminated[before..];
        assert!(back.iter().all(|m| *m == "m1"), "{name}: none that is back, but for what was withdrawn: {back:?}");
        assert!(
            cut_s > 45.0 || left >= 6,
            "{name}: at most the one with what was withdrawn: {:?}",
            simulation.terminated
        );
    }
}
