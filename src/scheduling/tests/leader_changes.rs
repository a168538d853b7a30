//! Leaders change again and again, and old heartbeats meet a new leader.

use super::simulation::*;
use super::world::*;
use super::*;
use crate::protocol::workers::ExitCause;

// Leaders change ten times in two minutes, also inside an outage.

/// The machine of a cancelled task hangs while leaders come and go, with or without the store between: it is gone in
/// time by the first cancellation, and what runs on the others goes on.
#[test]
fn ten_leaders_in_two_minutes_begin_no_patience_anew_and_lose_nothing() {
    for (gap_s, outage) in [(12.0, false), (12.0, true), (5.0, false), (2.0, true)] {
        for goes_on_at in [8.0, 20.0, 1000.0] {
            let name = format!("every {gap_s} s, outage {outage}, the machine goes on at {goes_on_at} s");
            let mut simulation = Simulation::new(&[("m1", "a"), ("m2", "a"), ("m3", "a"), ("m4", "a")], |_| ());
            simulation.world.bind_waiting(&mut simulation.cluster, "m1");
            simulation.exchange_heartbeat("m1");
            simulation.exchange_heartbeat("m1");
            let long = simulation
                .world
                .accept_job(&mut simulation.cluster, 2, |j| (j.tasks, j.cpus, j.estimate_s) = (3, 8.0, 900.0));
            simulation.places_tasks = true;
            simulation.run(5.0);
            assert_eq!(simulation.live_tasks(&long).len(), 3, "{name}");
            simulation.cancel_job(&JOB.into());
            simulation.paused = vec!["m1"];
            for step in 0..240 {
                let t = f64::from(step) * STEP_S;
                if t == goes_on_at {
                    simulation.paused.clear();
                }
                if step > 0 && t % gap_s == 0.0 && t <= gap_s * 10.0 {
                    simulation.fail_over();
                }
                simulation.store_available = !outage || !(10.0..30.0).contains(&t);
                simulation.step();
            }
            let attempts: Vec<u64> = simulation.cluster.job(&long).unwrap().tasks.iter().map(|t| t.attempt).collect();
            assert_eq!((simulation.live_tasks(&long).len(), attempts), (3, vec![1, 1, 1]), "{name}");
            assert!(simulation.terminated.iter().all(|m| *m == "m1"), "{name}: {:?}", simulation.terminated);
            assert_eq!(simulation.live_tasks(&JOB.into()), [], "{name}");
        }
    }
}

// An old heartbeat reaches every controller just as a new leader begins.

/// A copy of a heartbeat of each moment of a task's life comes to the leader, to its successor before it has read the
/// store, after that, and once the worker has reported to it, and to the successor of that one: the task runs once,
/// wherever, and what was done stays done.
#[test]
fn an_old_report_to_every_controller_as_a_new_leader_begins_changes_nothing() {
    for (copied_at, again_on) in (0..5).flat_map(|at| ["m1", "m2"].map(|m| (at, m))) {
        for done in [false, true] {
            let name = format!("copied at {copied_at}, again on {again_on}, done: {done}");
            let mut simulation = Simulation::new(&[("m1", "a"), ("m2", "a")], |j| j.tasks = 2);
            let mut copies = Vec::new();
            let mut copy = |simulation: &mut Simulation, step: usize| {
                if step == copied_at {
                    copies.push(simulation.world.next_heartbeat("m1"));
                }
            };
            copy(&mut simulation, 0);
            simulation.world.bind_tasks(&mut simulation.cluster, &[0], "m1");
            simulation.exchange_heartbeat("m1");
            copy(&mut simulation, 1);
            simulation.exchange_heartbeat("m1");
            // Its first attempt ends, by a stop or by the end of a lease, and it runs again, here or there.
            if copied_at == 3 {
                simulation.world.expire_lease("m1");
            } else {
                simulation.cluster.halt_task_or_gang(&task_key(0), 0, simulation.world.now);
            }
            for _ in 0..3 {
                simulation.exchange_heartbeat("m1");
                copy(&mut simulation, 2);
            }
            simulation.world.bind_tasks(&mut simulation.cluster, &[0], again_on);
            for m in ["m1", "m2", "m1", "m2"] {
                simulation.exchange_heartbeat(m);
            }
            copy(&mut simulation, 3);
            assert_bound(&simulation.cluster, 0, 2, again_on);
            assert_eq!(simulation.live_tasks(&JOB.into()), [(0, again_on)], "{name}");
            if done {
                simulation.world.exit_task(again_on, 0, 2, ExitCause::Done);
                simulation.exchange_heartbeat(again_on);
                simulation.world.store_all(&mut simulation.cluster);
            }
            copy(&mut simulation, 4);
            let arrive = |simulation: &mut Simulation| {
                for copy in &copies {
                    simulation.cluster.take_heartbeat(copy.clone(), MessageKind::Heartbeat, None, simulation.world.now);
                    // Whoever sent it waits for no answer.
                    drop(simulation.cluster.heartbeat_response_commands("m1", simulation.world.now));
                }
            };
            arrive(&mut simulation);
            simulation.places_tasks = true;
            for successor in 0..2 {
                simulation.cluster = simulation.world.elect_unloaded_leader();
                arrive(&mut simulation);
                simulation.world.load_stored_jobs(&mut simulation.cluster);
                simulation.load_machine_list();
                arrive(&mut simulation);
                simulation.step();
                arrive(&mut simulation);
                simulation.run(8.0);
                arrive(&mut simulation);
                simulation.run(8.0);
                let live = simulation.live_tasks(&JOB.into());
                let runs: Vec<u32> = live.iter().map(|(index, _)| *index).collect();
                assert_eq!(runs, if done { vec![1] } else { vec![0, 1] }, "{name}, successor {successor}");
                assert_eq!(
                    simulation.cluster.job(&JOB.into()).unwrap().done,
                    u64::from(done),
                    "{name}, successor {successor}"
                );
                let attempt = simulation.cluster.job(&JOB.into()).unwrap().tasks[0].attempt;
                assert_eq!(attempt, if done { 0 } else { 2 }, "{name}, successor {successor}: what is done has none");
                assert_eq!(simulation.terminated.len(), 0, "{name}, successor {successor}");
            }
        }
    }
}

/// The machine of a cancelled task hears a deposed leader alone, which renews its lease and knows of no cancellation,
/// while ten others lead one after the other and nobody reaches it: it is returned in time by the first cancellation,
/// which the simulation checks at every step.
#[test]
fn ten_leaders_while_a_deposed_one_renews_a_lease_stop_the_cancelled_in_time() {
    for gap_s in [12.0, 6.0, 5.0, 4.0, 2.0] {
        let name = format!("every {gap_s} s");
        let mut simulation = Simulation::new(&[("m1", "a"), ("m2", "a"), ("m3", "a"), ("m4", "a")], |_| ());
        simulation.world.bind_waiting(&mut simulation.cluster, "m1");
        simulation.exchange_heartbeat("m1");
        simulation.exchange_heartbeat("m1");
        let long = simulation
            .world
            .accept_job(&mut simulation.cluster, 2, |j| (j.tasks, j.cpus, j.estimate_s) = (3, 8.0, 9000.0));
        simulation.places_tasks = true;
        simulation.run(6.0);
        assert_eq!((simulation.live_tasks(&JOB.into()).len(), simulation.live_tasks(&long).len()), (1, 3), "{name}");
        let successor = simulation.world.elect_leader();
        let mut deposed = std::mem::replace(&mut simulation.cluster, successor);
        simulation.load_machine_list();
        (simulation.outbound_lost, simulation.commands_refused) = (vec!["m1"], vec!["m1"]);
        simulation.cancel_job(&JOB.into());
        for step in 0..240 {
            let t = f64::from(step) * STEP_S;
            if step > 0 && t % gap_s == 0.0 && t <= gap_s * 10.0 {
                simulation.fail_over();
            }
            if step % HEARTBEAT_INTERVAL_STEPS as i32 == 0 {
                simulation.exchange_heartbeats_with_deposed(&mut deposed, &["m1"]);
            }
            simulation.step();
        }
        // Each successor returns it again until the cloud's list, which lags, does not name it any more.
        assert!(
            simulation.terminated.iter().all(|m| *m == "m1") && simulation.world.workers["m1"].terminated,
            "{name}"
        );
        assert_eq!(simulation.tasks_lost_with_leases, 0, "{name}: its lease never ended");
        let attempts: Vec<u64> = simulation.cluster.job(&long).unwrap().tasks.iter().map(|t| t.attempt).collect();
        assert_eq!((simulation.live_tasks(&long).len(), attempts), (3, vec![1, 1, 1]), "{name}");
    }
}
