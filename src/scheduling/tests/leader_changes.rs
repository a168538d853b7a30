//! Repeated changes of the leader, and old heartbeats that reach a new leader.

use super::simulation::*;
use super::world::*;
use super::*;
use crate::protocol::workers::ExitCause;

// Leaders change ten times in two minutes, also inside an outage.

/// The machine of a cancelled task is paused while leaders change, with or without a store outage. The task must be
/// gone by the deadline that began with the cancellation, not one that begins again with each leader, and tasks on
/// other machines go on.
#[test]
fn ten_leaders_in_two_minutes_restart_no_cancellation_deadline_and_lose_no_task() {
    for (gap_s, outage) in [(12.0, false), (12.0, true), (5.0, false), (2.0, true)] {
        for resumes_at in [8.0, 20.0, 1000.0] {
            let name = format!("every {gap_s} s, outage {outage}, the machine resumes at {resumes_at} s");
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
                if t == resumes_at {
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

/// A copy of a heartbeat from each phase of a task's life reaches the leader, its successor before and after loading
/// the store and after the worker has reported to it, and the successor of that one. The task runs exactly once, and a
/// task that is done stays done.
#[test]
fn old_report_to_every_controller_as_a_new_leader_begins_changes_nothing() {
    for (copied_at, restarted_on) in (0..5).flat_map(|at| ["m1", "m2"].map(|m| (at, m))) {
        for done in [false, true] {
            let name = format!("copied at {copied_at}, restarted on {restarted_on}, done: {done}");
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
            // The first attempt ends, stopped or with its lease, and the task runs again on either machine.
            if copied_at == 3 {
                simulation.world.expire_lease("m1");
            } else {
                simulation.cluster.halt_task_or_gang(&task_key(0), 0, simulation.world.now);
            }
            for _ in 0..3 {
                simulation.exchange_heartbeat("m1");
                copy(&mut simulation, 2);
            }
            simulation.world.bind_tasks(&mut simulation.cluster, &[0], restarted_on);
            for m in ["m1", "m2", "m1", "m2"] {
                simulation.exchange_heartbeat(m);
            }
            copy(&mut simulation, 3);
            assert_bound(&simulation.cluster, 0, 2, restarted_on);
            assert_eq!(simulation.live_tasks(&JOB.into()), [(0, restarted_on)], "{name}");
            if done {
                simulation.world.exit_task(restarted_on, 0, 2, ExitCause::Done);
                simulation.exchange_heartbeat(restarted_on);
                simulation.world.store_all(&mut simulation.cluster);
            }
            copy(&mut simulation, 4);
            let deliver_copies = |simulation: &mut Simulation| {
                for copy in &copies {
                    simulation.cluster.take_heartbeat(copy.clone(), MessageKind::Heartbeat, None, simulation.world.now);
                    // No worker waits for the answer to a copy.
                    drop(simulation.cluster.heartbeat_response_commands("m1", simulation.world.now));
                }
            };
            deliver_copies(&mut simulation);
            simulation.places_tasks = true;
            for successor in 0..2 {
                simulation.cluster = simulation.world.elect_unloaded_leader();
                deliver_copies(&mut simulation);
                simulation.world.load_stored_jobs(&mut simulation.cluster);
                simulation.load_machine_list();
                deliver_copies(&mut simulation);
                simulation.step();
                deliver_copies(&mut simulation);
                simulation.run(8.0);
                deliver_copies(&mut simulation);
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
                assert_eq!(
                    attempt,
                    if done { 0 } else { 2 },
                    "{name}, successor {successor}: a done task has no attempt"
                );
                assert_eq!(simulation.terminated.len(), 0, "{name}, successor {successor}");
            }
        }
    }
}

/// The machine of a cancelled task is reached only by a deposed leader, which renews its lease and does not know of the
/// cancellation, while ten leaders follow each other and none reaches the machine. It must be terminated by the deadline
/// that began with the cancellation, which the simulation checks at every step.
#[test]
fn cancelled_task_is_gone_in_time_across_ten_leaders_while_a_deposed_one_renews_its_lease() {
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
        // Each new leader terminates the machine again until the cloud's list, which lags, no longer names it.
        assert!(
            simulation.terminated.iter().all(|m| *m == "m1") && simulation.world.workers["m1"].terminated,
            "{name}"
        );
        assert_eq!(simulation.tasks_lost_with_leases, 0, "{name}: its lease never ended");
        let attempts: Vec<u64> = simulation.cluster.job(&long).unwrap().tasks.iter().map(|t| t.attempt).collect();
        assert_eq!((simulation.live_tasks(&long).len(), attempts), (3, vec![1, 1, 1]), "{name}");
    }
}
