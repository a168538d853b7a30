//! From the moment at which a cancellation is confirmed: no task of it starts by any path, and whatever the settings
//! that `check` accepts, a stop or the end of the worker's lease ends what runs within `cancel_s`.

use super::simulation::*;
use super::world::*;
use super::*;
use crate::jobs::{End, JobId};
use crate::scheduling::cluster::DirectCommand;
use crate::settings::tests::EXAMPLE;
use crate::settings::{Settings, WorkerParams};

/// How far the steady clocks of two machines drift apart, by the protocol.
const DRIFT: f64 = 0.0005;

/// A worker takes no answer later than this after its heartbeat, by the protocol.
const ANSWER_TAKEN_S: f64 = 4.0;

fn accepted(report_s: f64, lease_s: f64, cancel_s: f64) -> Option<WorkerParams> {
    let text = EXAMPLE
        .replacen("\"report_s\":3", &format!("\"report_s\":{report_s}"), 1)
        .replacen("\"lease_s\":24", &format!("\"lease_s\":{lease_s}"), 1)
        .replacen("\"cancel_s\":49", &format!("\"cancel_s\":{cancel_s}"), 1);
    let workers = Settings::parse(&text).ok()?.params.workers;
    let same = |read: f64, meant: f64| (read - meant).abs() <= meant * 1e-12;
    assert!(same(workers.report_s, report_s) && same(workers.lease_s, lease_s) && same(workers.cancel_s, cancel_s));
    Some(workers)
}

/// The least `cancel_s` that `check` accepts, to a millionth.
fn least_cancellation_deadline(report_s: f64, lease_s: f64) -> Option<f64> {
    let (mut refused, mut taken) = (0.0, 1e6);
    accepted(report_s, lease_s, taken)?;
    while taken - refused > 1e-6 * taken {
        let middle = (refused + taken) / 2.0;
        match accepted(report_s, lease_s, middle) {
            Some(_) => taken = middle,
            None => refused = middle,
        }
    }
    Some(taken)
}

/// No controller has a loaded cluster state. The last heartbeat that is answered without a stop was sent at the
/// cancellation, or by a leader that has read nothing yet up to `spare` after it; the worker's clock is the slowest
/// that the protocol allows, and the machine hangs from then on. Over all settings that are accepted, the tightest of
/// each kind among them.
#[test]
fn the_lease_ends_what_nobody_stops_in_time_whatever_the_settings() {
    let mut tried = 0;
    for report_s in [0.01, 0.5, 3.0, 6.0, 30.0, 1000.0, 1e5] {
        for lease_s in [0.1, 5.0, 24.0, 36.0, 300.0, 1990.0, 2010.0, 1e4, 1e5, 9e5] {
            let Some(least) = least_cancellation_deadline(report_s, lease_s) else { continue };
            for cancel_s in [least, least + 1.0, least * 1.3, least * 20.0, 1e6] {
                let Some(workers) = accepted(report_s, lease_s, cancel_s) else { continue };
                let slow = |time: Duration| time.as_secs_f64() * (1.0 + DRIFT);
                let name = format!("report_s {report_s}, lease_s {lease_s}, cancel_s {cancel_s}");
                let unstopped = slow(workers.lease());
                assert!(unstopped + ANSWER_TAKEN_S <= cancel_s, "{name}: the lease ends after {unstopped} s");
                let held = slow(workers.spare()) + if workers.spare().is_zero() { 0.0 } else { slow(workers.lease()) };
                assert!(held + ANSWER_TAKEN_S <= cancel_s + 1e-6, "{name}: held for {held} s");
                tried += 1;
            }
        }
    }
    assert!(tried > 150, "only {tried} settings were accepted");
}

/// Every answer renews the lease, so every answer has the stop, also while a direct command is under way.
#[test]
fn no_answer_renews_a_lease_without_the_stop() {
    for under_way in [false, true] {
        let mut simulation = Simulation::new(&[("m1", "a"), ("m2", "a")], |_| ());
        simulation.world.bind_waiting(&mut simulation.cluster, "m1");
        simulation.exchange_heartbeat("m1");
        simulation.exchange_heartbeat("m1");
        simulation.cancel_job(&JOB.into());
        let held = under_way
            .then(|| simulation.world.next_command_to(&mut simulation.cluster, "m1").expect("the stop is news"));
        let answer = simulation.world.send_heartbeat(&mut simulation.cluster, "m1");
        assert_eq!(count_launches(&answer.commands), 0);
        simulation.world.receive_answer(&answer);
        assert_eq!(simulation.live_tasks(&JOB.into()), [], "a command is under way: {under_way}");
        // The command comes all the same, and changes nothing.
        held.iter().for_each(|direct| drop(simulation.world.deliver_command(direct)));
        assert_eq!(simulation.live_tasks(&JOB.into()), [], "a command is under way: {under_way}");
    }
}

/// How a launch is on its way when its job is cancelled.
#[derive(Debug, Clone, Copy)]
enum Launch {
    /// By a direct command, which is held up.
    DirectCommand,
    /// In the answer to a heartbeat, which is held up.
    InAnswer,
}

/// The cancellation is stored while a launch is held up: by a direct command for 2 to 16 s, or in an answer for less
/// than 4 s. It may be told only once that launch can start nothing more; the launch is executed then, and starts
/// nothing that was told.
#[test]
fn nothing_starts_once_its_cancellation_is_confirmed() {
    for (launch, late_s) in [
        (Launch::DirectCommand, 2.0),
        (Launch::DirectCommand, 4.0),
        (Launch::DirectCommand, 9.0),
        (Launch::DirectCommand, 16.0),
        (Launch::InAnswer, 0.5),
        (Launch::InAnswer, 3.5),
    ] {
        let name = format!("{launch:?}, {late_s} s late");
        let id: JobId = JOB.into();
        let mut simulation = Simulation::new(&[("m1", "a")], |_| ());
        simulation.cluster.record_known_ends(Some(1000));
        simulation.world.now += secs(10.0);
        let mut held: Option<DirectCommand> = None;
        let mut answer = None;
        simulation.world.bind_waiting(&mut simulation.cluster, "m1");
        match launch {
            Launch::DirectCommand => held = simulation.world.next_command_to(&mut simulation.cluster, "m1"),
            Launch::InAnswer => answer = Some(simulation.world.send_heartbeat(&mut simulation.cluster, "m1")),
        }
        let orders = held.as_ref().map(|d| &d.commands).or(answer.as_ref().map(|a| &a.commands));
        assert_eq!(orders.map(|orders| count_launches(orders)), Some(1), "{name}");
        let begun = simulation.world.now;
        // Stored at revision 1001; whether it is told is the cluster state's word alone, so the world is not told yet.
        simulation.cluster.end_job(&id, Some(End::Cancelled), simulation.world.now);
        simulation.cluster.record_known_ends(Some(1001));
        let mut told = None;
        for _ in 0..120 {
            simulation.world.now += secs(0.5);
            let age = (simulation.world.now - begun).as_secs_f64();
            if age == 2.5
                && let Some(direct) = &held
            {
                simulation.cluster.finish_direct_command(
                    &direct.machine,
                    direct.fencing_token,
                    false,
                    simulation.world.now,
                );
            }
            if age >= late_s {
                held.take().iter().for_each(|direct| drop(simulation.world.deliver_command(direct)));
                answer.take().iter().for_each(|answer| simulation.world.receive_answer(answer));
            }
            if told.is_none() && simulation.cluster.cancellation_effective(&id) {
                assert!(simulation.cluster.advance_watermark() >= 1001, "{name}: both say the same");
                told = Some(age);
                simulation.cancel_job(&id);
            }
            // One heartbeat at a time.
            if answer.is_none() && age % 1.5 == 0.0 {
                simulation.exchange_heartbeat("m1");
            }
            simulation.cluster.tick(simulation.world.now);
            simulation.world.raise_fencing_token_if_wanted(&mut simulation.cluster);
        }
        let told = told.unwrap_or_else(|| panic!("{name}: never told"));
        assert!(told <= 12.0, "{name}: told only after {told} s");
        assert_eq!(simulation.live_tasks(&id), [], "{name}");
    }
}
