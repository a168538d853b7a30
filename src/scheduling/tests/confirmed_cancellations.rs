//! Guarantees of a confirmed cancellation: no task of the job starts by any path, and under all settings that `check`
//! accepts a stop command or the end of the worker's lease ends the running tasks within `cancel_s`.

use super::simulation::*;
use super::world::*;
use super::*;
use crate::jobs::{End, JobId};
use crate::scheduling::cluster::DirectCommand;
use crate::settings::tests::EXAMPLE;
use crate::settings::{Settings, WorkerParams};

/// Largest drift between the monotonic clocks of two machines that the protocol allows, as a part of the time.
const MAX_CLOCK_DRIFT_RATIO: f64 = 0.0005;

/// Greatest age of a heartbeat at which the worker still accepts the answer, by the protocol.
const ANSWER_TIMEOUT_S: f64 = 4.0;

/// Returns the example settings with these worker parameters, if `check` accepts them.
fn accepted_params(report_s: f64, lease_s: f64, cancel_s: f64) -> Option<WorkerParams> {
    let text = EXAMPLE
        .replacen("\"report_s\":3", &format!("\"report_s\":{report_s}"), 1)
        .replacen("\"lease_s\":24", &format!("\"lease_s\":{lease_s}"), 1)
        .replacen("\"cancel_s\":49", &format!("\"cancel_s\":{cancel_s}"), 1);
    let workers = Settings::parse(&text).ok()?.params.workers;
    let same = |parsed: f64, expected: f64| (parsed - expected).abs() <= expected * 1e-12;
    assert!(same(workers.report_s, report_s) && same(workers.lease_s, lease_s) && same(workers.cancel_s, cancel_s));
    Some(workers)
}

/// Finds the least `cancel_s` that `check` accepts, to a relative precision of 1e-6.
fn least_accepted_cancel_s(report_s: f64, lease_s: f64) -> Option<f64> {
    let (mut rejected, mut accepted) = (0.0, 1e6);
    accepted_params(report_s, lease_s, accepted)?;
    while accepted - rejected > 1e-6 * accepted {
        let middle = (rejected + accepted) / 2.0;
        match accepted_params(report_s, lease_s, middle) {
            Some(_) => accepted = middle,
            None => rejected = middle,
        }
    }
    Some(accepted)
}

/// No controller has a loaded cluster state. The last heartbeat that is answered without a stop command was sent at the
/// cancellation, or up to `cancellation_slack` after it if a leader that has read nothing yet answers. The worker's
/// clock is the slowest that the protocol allows, and the machine hangs from then on. Covers many accepted settings,
/// among them the least accepted `cancel_s` for each pair of heartbeat interval and lease.
#[test]
fn lease_ends_unstopped_tasks_within_the_cancellation_deadline_under_all_accepted_settings() {
    let mut checked_settings = 0;
    for report_s in [0.01, 0.5, 3.0, 6.0, 30.0, 1000.0, 1e5] {
        for lease_s in [0.1, 5.0, 24.0, 36.0, 300.0, 1990.0, 2010.0, 1e4, 1e5, 9e5] {
            let Some(least) = least_accepted_cancel_s(report_s, lease_s) else { continue };
            for cancel_s in [least, least + 1.0, least * 1.3, least * 20.0, 1e6] {
                let Some(workers) = accepted_params(report_s, lease_s, cancel_s) else { continue };
                let on_slowest_clock = |time: Duration| time.as_secs_f64() * (1.0 + MAX_CLOCK_DRIFT_RATIO);
                let name = format!("report_s {report_s}, lease_s {lease_s}, cancel_s {cancel_s}");
                let unstopped_s = on_slowest_clock(workers.lease());
                assert!(unstopped_s + ANSWER_TIMEOUT_S <= cancel_s, "{name}: the lease ends after {unstopped_s} s");
                let held_s = on_slowest_clock(workers.cancellation_slack())
                    + if workers.cancellation_slack().is_zero() { 0.0 } else { on_slowest_clock(workers.lease()) };
                assert!(
                    held_s + ANSWER_TIMEOUT_S <= cancel_s + 1e-6,
                    "{name}: a leader without cluster state keeps the lease for {held_s} s"
                );
                checked_settings += 1;
            }
        }
    }
    assert!(checked_settings > 150, "only {checked_settings} settings were accepted");
}

/// Each answer renews the lease, so each answer must contain the stop command, also while a direct command is in
/// transit.
#[test]
fn each_answer_that_renews_a_lease_contains_the_stop_command() {
    for command_in_transit in [false, true] {
        let mut simulation = Simulation::new(&[("m1", "a"), ("m2", "a")], |_| ());
        simulation.world.bind_waiting(&mut simulation.cluster, "m1");
        simulation.exchange_heartbeat("m1");
        simulation.exchange_heartbeat("m1");
        simulation.cancel_job(&JOB.into());
        let delayed_command = command_in_transit
            .then(|| simulation.world.next_command_to(&mut simulation.cluster, "m1").expect("a stop command is due"));
        let answer = simulation.world.send_heartbeat(&mut simulation.cluster, "m1");
        assert_eq!(count_launches(&answer.commands), 0);
        simulation.world.receive_answer(&answer);
        assert_eq!(simulation.live_tasks(&JOB.into()), [], "command in transit: {command_in_transit}");
        // The delayed command still arrives, and changes nothing.
        delayed_command.iter().for_each(|direct| drop(simulation.world.deliver_command(direct)));
        assert_eq!(simulation.live_tasks(&JOB.into()), [], "command in transit: {command_in_transit}");
    }
}

/// How a launch is sent that is still in transit when its job is cancelled.
#[derive(Debug, Clone, Copy)]
enum Launch {
    /// By a delayed direct command.
    DirectCommand,
    /// In a delayed answer to a heartbeat.
    HeartbeatAnswer,
}

/// A cancellation is stored while a launch is in transit: a direct command that is delayed by 2 to 16 s, or an answer
/// that is delayed by less than 4 s. The cancellation may be confirmed only once that launch can start no task any
/// more, so a launch that arrives after the confirmation starts nothing.
#[test]
fn no_task_starts_after_its_cancellation_is_confirmed() {
    for (launch, delay_s) in [
        (Launch::DirectCommand, 2.0),
        (Launch::DirectCommand, 4.0),
        (Launch::DirectCommand, 9.0),
        (Launch::DirectCommand, 16.0),
        (Launch::HeartbeatAnswer, 0.5),
        (Launch::HeartbeatAnswer, 3.5),
    ] {
        let name = format!("{launch:?}, delayed by {delay_s} s");
        let id: JobId = JOB.into();
        let mut simulation = Simulation::new(&[("m1", "a")], |_| ());
        simulation.cluster.record_known_ends(Some(1000));
        simulation.world.now += secs(10.0);
        let mut delayed_command: Option<DirectCommand> = None;
        let mut delayed_answer = None;
        simulation.world.bind_waiting(&mut simulation.cluster, "m1");
        match launch {
            Launch::DirectCommand => delayed_command = simulation.world.next_command_to(&mut simulation.cluster, "m1"),
            Launch::HeartbeatAnswer => {
                delayed_answer = Some(simulation.world.send_heartbeat(&mut simulation.cluster, "m1"))
            }
        }
        let orders = delayed_command.as_ref().map(|d| &d.commands).or(delayed_answer.as_ref().map(|a| &a.commands));
        assert_eq!(orders.map(|orders| count_launches(orders)), Some(1), "{name}");
        let sent_at = simulation.world.now;
        // Stored at revision 1001. The cluster state alone decides when the cancellation is confirmed, so the world,
        // which checks that nothing starts after it, learns of it only then.
        simulation.cluster.end_job(&id, Some(End::Cancelled), simulation.world.now);
        simulation.cluster.record_known_ends(Some(1001));
        let mut confirmed_after_s = None;
        for _ in 0..120 {
            simulation.world.now += secs(0.5);
            let elapsed_s = (simulation.world.now - sent_at).as_secs_f64();
            if elapsed_s == 2.5
                && let Some(direct) = &delayed_command
            {
                simulation.cluster.finish_direct_command(
                    &direct.machine,
                    direct.fencing_token,
                    false,
                    simulation.world.now,
                );
            }
            if elapsed_s >= delay_s {
                delayed_command.take().iter().for_each(|direct| drop(simulation.world.deliver_command(direct)));
                delayed_answer.take().iter().for_each(|answer| simulation.world.receive_answer(answer));
            }
            if confirmed_after_s.is_none() && simulation.cluster.cancellation_effective(&id) {
                assert!(simulation.cluster.advance_watermark() >= 1001, "{name}: the watermark confirms it too");
                confirmed_after_s = Some(elapsed_s);
                simulation.cancel_job(&id);
            }
            // A worker sends no heartbeat while it waits for an answer.
            if delayed_answer.is_none() && elapsed_s % 1.5 == 0.0 {
                simulation.exchange_heartbeat("m1");
            }
            simulation.cluster.tick(simulation.world.now);
            simulation.world.raise_fencing_token_if_needed(&mut simulation.cluster);
        }
        let confirmed_after_s = confirmed_after_s.unwrap_or_else(|| panic!("{name}: never confirmed"));
        assert!(confirmed_after_s <= 12.0, "{name}: confirmed only after {confirmed_after_s} s");
        assert_eq!(simulation.live_tasks(&id), [], "{name}");
    }
}
