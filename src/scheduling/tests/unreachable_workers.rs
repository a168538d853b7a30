//! Workers whose heartbeats reach no controller, while direct commands still reach them.

use super::simulation::*;
use super::world::*;

/// A machine's heartbeats begin to be lost, and its task is cancelled at once or later, with or without a takeover,
/// whether or not commands reach it and the cloud is available. By a command, by the machine's termination or by the end
/// of its lease, the task must be gone by its deadline, which the simulation checks at every step.
#[test]
fn cancelled_task_on_a_machine_whose_heartbeats_are_lost_is_gone_in_time() {
    for (commands, cloud) in [(true, true), (true, false), (false, true), (false, false)] {
        for (after_s, successor) in
            [0.0, 4.0, 11.0, 20.0].into_iter().flat_map(|t| (0..3).map(move |successor| (t, successor)))
        {
            let name = format!(
                "commands arrive {commands}, cloud available {cloud}, after {after_s} s, successor {successor}"
            );
            let mut simulation = Simulation::new(&[("m1", "a"), ("m2", "a")], |_| ());
            simulation.world.bind_waiting(&mut simulation.cluster, "m1");
            simulation.exchange_heartbeat("m1");
            // In the other case no heartbeat has shown the task, so that no command can stop it.
            let reported = after_s > 0.0;
            if reported {
                simulation.exchange_heartbeat("m1");
            }
            assert_eq!(simulation.live_tasks(&JOB.into()), [(0, "m1")], "{name}");
            simulation.outbound_lost = vec!["m1"];
            simulation.commands_refused = if commands { vec![] } else { vec!["m1"] };
            simulation.cloud_available = cloud;
            simulation.run(after_s);
            if successor == 1 {
                simulation.fail_over();
                simulation.run(0.5);
            }
            let runs = !simulation.live_tasks(&JOB.into()).is_empty();
            simulation.cancel_job(&JOB.into());
            simulation.run(1.5);
            // A machine that is to be terminated is sent no direct commands, only answers.
            if commands && reported && successor == 0 && (cloud || after_s < 12.0) {
                assert_eq!(simulation.live_tasks(&JOB.into()), [], "{name}: stopped by a command at once");
            }
            if successor == 2 {
                simulation.fail_over();
            }
            simulation.run(60.0);
            assert_eq!(simulation.live_tasks(&JOB.into()), [], "{name}");
            // Otherwise the machine is terminated for its cancelled task if the cloud is available, and it alone.
            assert!(
                !runs || !cloud || (commands && successor == 0) || simulation.world.workers["m1"].terminated,
                "{name}"
            );
            assert!(!simulation.world.workers["m2"].terminated, "{name}");
        }
    }
}

/// Commands start tasks on a machine whose heartbeats are lost, and their replies look like signs of life although they
/// renew no lease. The tasks started there are lost with the lease once, and then the machine gets no more.
#[test]
fn machine_whose_heartbeats_are_lost_does_not_lose_tasks_again_and_again() {
    let mut simulation = Simulation::new(&[("m1", "a"), ("m2", "a")], |j| (j.tasks, j.cpus) = (1, 8.0));
    simulation.world.bind_waiting(&mut simulation.cluster, "m2");
    simulation.exchange_heartbeat("m2");
    simulation.places_tasks = true;
    simulation.outbound_lost = vec!["m1"];
    // One small job after the other, each cancelled soon, so that commands and their replies go on. And long tasks.
    simulation.world.accept_job(&mut simulation.cluster, 2, |j| (j.tasks, j.cpus, j.estimate_s) = (4, 1.0, 600.0));
    let mut small = None;
    for n in 0..300 {
        if n % 4 == 0 {
            small = Some(simulation.world.accept_job(&mut simulation.cluster, 100 + n, |j| j.estimate_s = 1.0));
        }
        simulation.step();
        if n % 4 == 2 {
            small.take().iter().for_each(|id| simulation.cancel_job(id));
        }
    }
    assert!(
        simulation.tasks_lost_with_leases <= 8,
        "{} tasks were lost with leases that nothing renewed",
        simulation.tasks_lost_with_leases
    );
    assert!(
        simulation.world.workers["m1"].terminated,
        "the machine is terminated as silent once no commands are due to it"
    );
}

/// Raised fencing tokens are announced by commands again and again, so that a machine whose heartbeats are lost is never
/// silent. It must still be terminated after two leases, and get no new work once its heartbeats are missed.
#[test]
fn machine_whose_heartbeats_are_lost_but_answers_commands_is_terminated_after_two_leases() {
    let mut simulation = Simulation::new(&[("m1", "a"), ("m2", "a")], |j| (j.tasks, j.cpus) = (1, 8.0));
    simulation.world.bind_waiting(&mut simulation.cluster, "m2");
    simulation.exchange_heartbeat("m2");
    (simulation.places_tasks, simulation.outbound_lost) = (true, vec!["m1"]);
    for t in 1..60 {
        if t == 9 {
            simulation.world.accept_job(&mut simulation.cluster, 2, |j| (j.tasks, j.cpus) = (1, 1.0));
        }
        if t % 5 == 0 {
            simulation.world.version += 1;
            let fencing_token = simulation.world.version;
            simulation.cluster.raise_fencing_token(fencing_token);
        }
        simulation.run(1.0);
        let m1 = &simulation.world.workers["m1"];
        assert!(
            m1.terminated || m1.fencing_token + 2 >= simulation.cluster.fencing_token,
            "at {t} s: commands reach it"
        );
        assert_eq!(m1.terminated, t >= 51, "at {t} s");
    }
    assert_eq!((simulation.tasks_lost_with_leases, simulation.live_tasks(&"run-000002".into())), (0, vec![]));
}
