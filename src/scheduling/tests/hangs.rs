//! A cancelled task goes on after its machine hung.

use super::simulation::*;
use super::world::*;

/// It hangs before, at or after the cancellation, with the stop lying there or refused, and goes on within its lease:
/// the task is stopped or its machine returned in time, whether or not the cloud answers and whoever leads by then.
#[test]
fn a_cancelled_task_that_goes_on_after_a_hang_is_gone_in_time() {
    for (hangs_at, hang_s) in
        [-10.0, -1.0, 0.0, 0.5, 1.0].into_iter().flat_map(|at| [2.0, 8.0, 15.0, 22.0].map(|s| (at, s)))
    {
        for (stop_lies, cloud, successor) in
            [(true, true, false), (true, false, false), (false, false, true), (true, false, true), (false, true, true)]
        {
            let name = format!(
                "hangs at {hangs_at} for {hang_s} s, stop lies: {stop_lies}, cloud {cloud}, successor {successor}"
            );
            let mut simulation = Simulation::new(&[("m1", "a"), ("m2", "a")], |_| ());
            simulation.world.bind_waiting(&mut simulation.cluster, "m1");
            simulation.exchange_heartbeat("m1");
            simulation.exchange_heartbeat("m1");
            (simulation.cloud_available, simulation.places_tasks) = (cloud, true);
            simulation.commands_refused = if stop_lies { vec![] } else { vec!["m1"] };
            for step in -24..140 {
                let t = f64::from(step) * STEP_S;
                if t == hangs_at {
                    simulation.paused = vec!["m1"];
                }
                if t == 0.0 {
                    simulation.cancel_job(&JOB.into());
                }
                if t == 6.0 && successor {
                    simulation.fail_over();
                }
                if t == hangs_at + hang_s {
                    simulation.paused.clear();
                }
                simulation.step();
            }
            assert_eq!(simulation.live_tasks(&JOB.into()), [], "{name}");
            assert!(!simulation.cluster.has_job(&JOB.into()) || !cloud, "{name}: proven gone");
            assert!(!simulation.world.workers["m2"].terminated, "{name}");
        }
    }
}
