//! Teams at their limits while jobs are cancelled whose machines are cut off or paused, and the leader changes.

use super::simulation::*;
use super::world::*;
use super::*;
use crate::jobs::JobId;

/// A team with a limit of 20 cores runs five tasks of four cores on three machines: one is healthy, one is paused, and
/// one is cut off. The tasks are cancelled under the leader, or under its successor while the two machines cannot be
/// reached, and five more tasks of the team wait. The simulation checks at every step that at most 20 cores of the team
/// are in use anywhere. In the end all five run.
#[test]
fn cancelled_task_counts_for_its_team_until_it_is_proven_gone() {
    // Seconds from the start of the faults to the cancellation, and to the leader changes.
    let schedules: [(f64, &[f64]); 6] =
        [(0.0, &[]), (0.0, &[0.5]), (3.0, &[0.5]), (10.0, &[2.0]), (6.0, &[2.0, 4.0, 7.0]), (15.0, &[1.0, 14.5, 15.5])];
    for (cancelled_at, changes) in schedules {
        for (cloud, back_at) in [(true, 1000.0), (true, 15.0), (false, 15.0), (false, 40.0)] {
            let name = format!(
                "cancelled at {cancelled_at} s, leader changes {changes:?}, cloud available {cloud}, faults end at \
                 {back_at} s"
            );
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
            let mut most_live = 0;
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
                most_live = most_live.max(simulation.live_tasks(&next).len());
                // While the other two machines cannot be reached, only the tasks on the healthy one are proven gone.
                if t < cancelled_at + 18.0 && t < back_at && t < 11.0 {
                    assert!(most_live <= 1, "{name}: at {t} s, {most_live} tasks of the next job run");
                }
            }
            assert_eq!(simulation.live_tasks(&next).len(), 5, "{name}: the freed capacity is used");
        }
    }
}

/// A successor knows of an ended job only by its stored end. The job's shard names its bound tasks, and the job's record
/// is read for them. Until it has been read, nothing is placed, and without a record nothing of its team starts; then
/// the bound tasks count for their team.
#[test]
fn bound_tasks_of_ended_jobs_count_before_a_successor_places_anything() {
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
    // Heartbeats that arrive before everything is loaded are answered without launches.
    for m in ["m1", "m2", "m3", "m4", "m5"] {
        let answer = simulation.world.send_heartbeat(&mut simulation.cluster, m);
        assert!(answer.commands.is_empty());
    }
    assert_eq!(plan_placements(&mut simulation.cluster, simulation.world.now), [], "the store is not loaded yet");
    simulation.world.load_stored_jobs(&mut simulation.cluster);
    assert_eq!(simulation.cluster.team_usage["red"].cpus, 20.0);
    for _ in 0..20 {
        simulation.step();
        assert_eq!(simulation.live_tasks(&next), [], "all tasks that are not proven gone count");
    }
    (simulation.outbound_lost, simulation.commands_refused) = (vec![], vec![]);
    simulation.run(20.0);
    assert_eq!((simulation.live_tasks(&JOB.into()).len(), simulation.live_tasks(&next).len()), (0, 5));
}

/// Both teams are at their limits on machines that are healthy, paused, cut off, or cut off together with a deposed
/// leader that goes on answering them and does not know of the cancellation. All their jobs are cancelled around leader
/// changes. The simulation checks at every step that no team is above its limit and that cancelled tasks are gone by
/// their deadline. In the end the next jobs of both teams run.
#[test]
fn teams_stay_within_limits_while_their_cancelled_tasks_cannot_be_stopped() {
    let schedules: [(f64, &[f64]); 4] = [
        (0.0, &[]),
        (1.0, &[0.5, 6.0]),
        (3.0, &[0.5, 2.5, 3.5, 9.0]),
        (2.0, &[1.0, 6.0, 11.0, 16.0, 21.0, 26.0, 31.0]),
    ];
    for (cancelled_at, changes) in schedules {
        for back_at in [12.0, 70.0] {
            let name = format!("cancelled at {cancelled_at} s, leader changes {changes:?}, faults end at {back_at} s");
            let job_at_limit = |team: &'static str| {
                move |j: &mut JobSpec| (j.tasks, j.cpus, j.team, j.estimate_s) = (5, 4.0, team.into(), 9000.0)
            };
            let machines = ["m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", "m9"].map(|m| (m, "a"));
            let mut simulation = Simulation::new(&machines, job_at_limit("red"));
            for team in
                simulation.world.settings.params.teams.iter_mut().chain(&mut simulation.cluster.settings.params.teams)
            {
                team.cpus_max = 20.0;
            }
            let blue = simulation.world.accept_job(&mut simulation.cluster, 2, job_at_limit("blue"));
            simulation.places_tasks = true;
            simulation.run(6.0);
            let (red, mut cancelled) = (JobId::from(JOB), false);
            let next = [(3, "red"), (4, "blue")]
                .map(|(n, team)| simulation.world.accept_job(&mut simulation.cluster, n, job_at_limit(team)));
            assert_eq!((simulation.cores_in_use("red"), simulation.cores_in_use("blue")), (20.0, 20.0), "{name}");
            let mut used: Vec<&'static str> = simulation.live_tasks(&red).into_iter().map(|(_, m)| m).collect();
            used.extend(simulation.live_tasks(&blue).into_iter().map(|(_, m)| m));
            used.sort_unstable();
            used.dedup();
            assert_eq!(used.len(), 5, "{name}: two tasks on each machine");
            simulation.paused = vec![used[0]];
            (simulation.outbound_lost, simulation.commands_refused) = (used[1..4].to_vec(), used[1..4].to_vec());
            let reached_by_deposed = &used[2..4];
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
                    simulation.exchange_heartbeats_with_deposed(&mut deposed, reached_by_deposed);
                }
                simulation.step();
                let counted = |team: &str| simulation.cluster.team_usage.get(team).map_or(0.0, |used| used.cpus);
                assert!(counted("red") <= 20.0 && counted("blue") <= 20.0, "{name}: at {t} s");
            }
            assert!(cancelled, "{name}");
            assert_eq!(next.map(|id| simulation.live_tasks(&id).len()), [5, 5], "{name}: the freed capacity is used");
        }
    }
}
