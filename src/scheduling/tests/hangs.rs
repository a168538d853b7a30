//! Cancelled tasks on machines that hang and then continue.

use super::simulation::*;
use super::world::*;

/// A machine hangs before, at or after the cancellation and continues within its lease; the stop command is buffered
/// until then or its connection is refused. The task is stopped or its machine terminated in time, whether or not the
/// cloud answers and the leader changes.
#[test]
fn cancelled_task_on_a_machine_that_hangs_is_gone_in_time() {
    for (hang_start_s, hang_s) in [-10.0, -1.0, 0.0, 0.5, 1.0]
        .into_iter()
        .flat_map(|start_s| [2.0, 8.0, 15.0, 22.0].map(|hang_s| (start_s, hang_s)))
    {
        for (stop_buffered, cloud_available, leader_changes) in
            [(true, true, false), (true, false, false), (false, false, true), (true, false, true), (false, true, true)]
        {
            let name = format!(
                "hangs at {hang_start_s} s for {hang_s} s, stop buffered: {stop_buffered}, \
                 cloud available: {cloud_available}, leader changes: {leader_changes}"
            );
            let mut simulation = Simulation::new(&[("m1", "a"), ("m2", "a")], |_| ());
            simulation.world.bind_waiting(&mut simulation.cluster, "m1");
            simulation.exchange_heartbeat("m1");
            simulation.exchange_heartbeat("m1");
            (simulation.cloud_available, simulation.places_tasks) = (cloud_available, true);
            simulation.commands_refused = if stop_buffered { vec![] } else { vec!["m1"] };
            for step in -24..140 {
                let t = f64::from(step) * STEP_S;
                if t == hang_start_s {
                    simulation.paused = vec!["m1"];
                }
                if t == 0.0 {
                    simulation.cancel_job(&JOB.into());
                }
                if t == 6.0 && leader_changes {
                    simulation.fail_over();
                }
                if t == hang_start_s + hang_s {
                    simulation.paused.clear();
                }
                simulation.step();
            }
            assert_eq!(simulation.live_tasks(&JOB.into()), [], "{name}");
            assert!(!simulation.cluster.has_job(&JOB.into()) || !cloud_available, "{name}: proven gone");
            assert!(!simulation.world.workers["m2"].terminated, "{name}");
        }
    }
}
