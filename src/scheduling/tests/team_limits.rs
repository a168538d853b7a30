//! Teams at their limits while jobs are cancelled whose machines are cut off or hang, and the leader changes.

use super::simulation::*;
use super::world::*;
use super::*;
use crate::jobs::JobId;

/// A team of 20 cores has five tasks of four on three machines: one is well, one hangs, one is cut off. They are
/// cancelled under the leader, or under its successor while the two can't be asked; the next five of the team wait. The
/// simulation checks at every step that never more than 20 cores of it run, wherever. In the end all five do.
#[test]
fn a_cancelled_task_counts_for_its_team_until_it_is_proven_gone() {
    // Seconds from the fault's begin to the cancellation, and to the changes of leaders.
    let orders: [(f64, &[f64]); 6] =
        [(0.0, &[]), (0.0, &[0.5]), (3.0, &[0.5]), (10.0, &[2.0]), (6.0, &[2.0, 4.0, 7.0]), (15.0, &[1.0, 14.5, 15.5])];
    for (cancelled_at, changes) in orders {
        for (cloud, back_at) in [(true, 1000.0), (true, 15.0), (false, 15.0), (false, 40.0)] {
            let name = format!("withdrawn {cancelled_at}, changes {changes:?}, cloud {cloud}, back {back_at}");
            let machines = [("m1", "a"), ("m2", "a"), ("m3", "a"), ("m4", "a"), ("m5", "a")];
            let mut simulation =
                Simulation::new(&machines, |j| (j.tasks, j.cpus, j.team, j.estimate_s) = (5, 4.0, "red".into(), 600.0));
            for (indices, m) in [([0, 1].as_slice(), "m1"), (&[2, 3], "m2"), (&[4], "m3")] {
                simulation.world.bind_tasks(&mut simulation.cluster, indices, m);
                simulation.exchange_heartbeat(m);
                simulation.exchange_heartbeat(m);
            }
            let next = |j: &mut JobSpec| (j.tasks, j.cpus, j.team, j.estimate_s) = (5, 4.0, "red".into(), 600.0);
            let next = simulation.world.accept_job(&mut simulation.cluster, 2, next);
            (simulation.places_tasks, simulation.cloud_available) = (true, cloud);
            simulation.run(3.0);
            assert_eq!((simulation.cores_in_use("red"), simulation.live_tasks(&next).len()), (20.0, 0), "{name}");
            (simulation.paused, simulation.outbound_lost, simulation.commands_refused) =
                (vec!["m1"], vec!["m2"], vec!["m2"]);
            let mut most = 0;
            for step in 0..160 {
                let t = f64::from(step) * STEP_S;
                if changes.contains(&t) {
                    simulation.fail_over();
                }
                if t == cancelled_at {
                    simulation.cancel_job(&JOB.into());
                }
                if t == back_at {
                    (simulation.paused, simulation.outbound_lost, simulation.commands_refused) =
                        (vec![], vec![], vec![]);
                }
                simulation.step();
                assert!(simulation.cluster.team_usage["red"].cpus <= 20.0, "{name}: at {t}");
                most = most.max(simulation.live_tasks(&next).len());
                // Only the well one's task is proven gone while the others can't be asked.
                if t < cancelled_at + 18.0 && t < back_at && t < 11.0 {
                    assert!(most <= 1, "{name}: at {t} s {most} of the next run");
                }
            }
            assert_eq!(simulation.live_tasks(&next).len(), 5, "{name}: the room is used");
        }
    }
}

/// The successor knows of a job that is over by its end alone: its shard names what is bound, and the record is read
/// for it. Until it is, nothing is decided; then it counts, and no record means that nothing of its team starts.
#[test]
fn what_a_successor_reads_of_ended_jobs_counts_before_anything_is_placed() {
    let mut simulation = Simulation::new(&[("m1", "a"), ("m2", "a"), ("m3", "a"), ("m4", "a"), ("m5", "a")], |j| {
        (j.tasks, j.cpus, j.team) = (5, 4.0, "red".into());
    });
    for (indices, m) in [([0, 1].as_slice(), "m1"), (&[2, 3], "m2"), (&[4], "m3")] {
        simulation.world.bind_tasks(&mut simulation.cluster, indices, m);
        simulation.exchange_heartbeat(m);
    }
    simulation.cancel_job(&JOB.into());
    simulation.cluster = simulation.world.elect_unloaded_leader();
    let next =
        simulation.world.accept_job(&mut simulation.cluster, 2, |j| (j.tasks, j.cpus, j.team) = (5, 4.0, "red".into()));
    simulation.places_tasks = true;
    (simulation.outbound_lost, simulation.commands_refused) = (vec!["m1", "m2", "m3"], vec!["m1", "m2", "m3"]);
    simulation.load_machine_list();
    // Heartbeats come before everything is read, and are answered with nothing to start.
    for m in ["m1", "m2", "m3", "m4", "m5"] {
        let answer = simulation.world.send_heartbeat(&mut simulation.cluster, m);
        assert!(answer.commands.is_empty());
    }
    assert_eq!(plan_placements(&mut simulation.cluster, simulation.world.now), [], "not read yet");
    simulation.world.load_stored_jobs(&mut simulation.cluster);
    assert_eq!(simulation.cluster.team_usage["red"].cpus, 20.0);
    for _ in 0..20 {
        simulation.step();
        assert_eq!(simulation.live_tasks(&next), [], "all count that nobody has proven gone");
    }
    (simulation.outbound_lost, simulation.commands_refused) = (vec![], vec![]);
    simulation.run(20.0);
    assert_eq!((simulation.live_tasks(&JOB.into()).len(), simulation.live_tasks(&next).len()), (0, 5));
}

/// Both teams are at their limits on machines that are well, hang, are cut off, or are cut off with a deposed leader
/// that goes on answering them and knows of no cancellation. All their jobs are cancelled around changes of leaders;
/// the simulation checks at every step that no team is above its limit and that what is cancelled is gone in time. In
/// the end the next jobs of both teams run.
#[test]
fn every_team_at_its_limit_while_its_cancelled_tasks_cannot_be_stopped() {
    let orders: [(f64, &[f64]); 4] = [
        (0.0, &[]),
        (1.0, &[0.5, 6.0]),
        (3.0, &[0.5, 2.5, 3.5, 9.0]),
        (2.0, &[1.0, 6.0, 11.0, 16.0, 21.0, 26.0, 31.0]),
    ];
    for (cancelled_at, changes) in orders {
        for back_at in [12.0, 70.0] {
            let name = format!("withdrawn at {cancelled_at} s, changes {changes:?}, back at {back_at} s");
            let full = |team: &'static str| {
                move |j: &mut JobSpec| (j.tasks, j.cpus, j.team, j.estimate_s) = (5, 4.0, team.into(), 9000.0)
            };
            let machines = ["m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", "m9"].map(|m| (m, "a"));
            let mut simulation = Simulation::new(&machines, full("red"));
            for team in
                simulation.world.settings.params.teams.iter_mut().chain(&mut simulation.cluster.settings.params.teams)
            {
                team.cpus_max = 20.0;
            }
            let blue = simulation.world.accept_job(&mut simulation.cluster, 2, full("blue"));
            simulation.places_tasks = true;
            simulation.run(6.0);
            let (red, mut cancelled) = (JobId::from(JOB), false);
            let next = [(3, "red"), (4, "blue")]
                .map(|(n, team)| simulation.world.accept_job(&mut simulation.cluster, n, full(team)));
            assert_eq!((simulation.cores_in_use("red"), simulation.cores_in_use("blue")), (20.0, 20.0), "{name}");
            let mut used: Vec<&'static str> = simulation.live_tasks(&red).into_iter().map(|(_, m)| m).collect();
            used.extend(simulation.live_tasks(&blue).into_iter().map(|(_, m)| m));
            used.sort_unstable();
            used.dedup();
            assert_eq!(used.len(), 5, "{name}: two tasks on each");
            simulation.paused = vec![used[0]];
            (simulation.outbound_lost, simulation.commands_refused) = (used[1..4].to_vec(), used[1..4].to_vec());
            let held_by_deposed = &used[2..4];
            let successor = simulation.world.elect_leader();
            let mut deposed = std::mem::replace(&mut simulation.cluster, successor);
            simulation.load_machine_list();
            for step in 0..200 {
                let t = f64::from(step) * STEP_S;
                if changes.contains(&t) {
                    simulation.fail_over();
                }
                if t == cancelled_at {
                    cancelled = true;
                    simulation.cancel_job(&red);
                    simulation.cancel_job(&blue);
                }
                if t == back_at {
                    (simulation.paused, simulation.outbound_lost, simulation.commands_refused) =
                        (vec![], vec![], vec![]);
                }
                if t < back_at && step % HEARTBEAT_INTERVAL_STEPS as i32 == 0 {
                    simulation.exchange_heartbeats_with_deposed(&mut deposed, held_by_deposed);
                }
                simulation.step();
                let counted = |team: &str| simulation.cluster.team_usage.get(team).map_or(0.0, |used| used.cpus);
                assert!(counted("red") <= 20.0 && counted("blue") <= 20.0, "{name}: at {t} s");
            }
            assert!(cancelled, "{name}");
            assert_eq!(next.map(|id| simulation.live_tasks(&id).len()), [5, 5], "{name}: the room is used");
        }
    }
}
