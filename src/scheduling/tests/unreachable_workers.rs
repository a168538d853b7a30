//! Workers that cannot open connections to any controller, while direct commands still reach them.

use super::simulation::*;
use super::world::*;

/// A task of a machine whose reports have just begun to be lost is cancelled at once or later, with and without a
/// takeover, whether or not commands reach it and the cloud answers. By command, by return or by the end of its lease
/// it is gone in time, which the simulation checks at every step.
#[test]
fn what_is_cancelled_on_a_machine_whose_reports_are_lost_is_gone_in_time() {
    for (commands, cloud) in [(true, true), (true, false), (false, true), (false, false)] {
        for (after_s, successor) in
            [0.0, 4.0, 11.0, 20.0].into_iter().flat_map(|t| (0..3).map(move |successor| (t, successor)))
        {
            let name = format!("commands {commands}, cloud {cloud}, after {after_s} s, successor {successor}");
            let mut simulation = Simulation::new(&[("m1", "a"), ("m2", "a")], |_| ());
            simulation.world.bind_waiting(&mut simulation.cluster, "m1");
            simulation.exchange_heartbeat("m1");
            // Or it has never shown the task, which then no command can name.
            let shown = after_s > 0.0;
            if shown {
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
            // One that is to be returned is told by answers alone.
            if commands && shown && successor == 0 && (cloud || after_s < 12.0) {
                assert_eq!(simulation.live_tasks(&JOB.into()), [], "{name}: by command, at once");
            }
            if successor == 2 {
                simulation.fail_over();
            }
            simulation.run(60.0);
            assert_eq!(simulation.live_tasks(&JOB.into()), [], "{name}");
            // All that is to be gone was cancelled: the machine goes alone, if the cloud answers.
            assert!(
                !runs || !cloud || (commands && successor == 0) || simulation.world.workers["m1"].terminated,
                "{name}"
            );
            assert!(!simulation.world.workers["m2"].terminated, "{name}");
        }
    }
}

/// Commands start work on a machine that cannot report, and their replies look like signs of life. They renew no
/// lease: what was started there is lost once, and then it gets no more.
#[test]
fn a_machine_whose_reports_are_lost_gets_no_work_that_it_loses_without_end() {
    let mut simulation = Simulation::new(&[("m1", "a"), ("m2", "a")], |j| (j.tasks, j.cpus) = (1, 8.0));
    simulation.world.bind_waiting(&mut simulation.cluster, "m2");
    simulation.exchange_heartbeat("m2");
    simulation.places_tasks = true;
    simulation.outbound_lost = vec!["m1"];
    // One small job after the other, soon cancelled: each a command, and each reply a heartbeat. And long ones.
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
    assert!(simulation.world.workers["m1"].terminated, "silent, once it has no more to be told");
}

/// Higher fencing tokens are told by commands again and again, and so a machine whose reports are lost is never silent:
/// it is returned after two leases all the same, and has no new work from the time at which its heartbeats are missed.
#[test]
fn a_machine_whose_reports_are_lost_that_answers_commands_is_returned_after_two_leases() {
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
