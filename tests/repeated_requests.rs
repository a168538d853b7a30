//! Requests of controllers that were carried out and answered, and arrive once more later, over HTTP: the repeats must
//! change nothing.

// A panic in the test harness fails its test, as intended.
#![allow(clippy::unwrap_used)]

mod stand_in;

use hollylanding::protocol::{self, Http};
use hollylanding_emulator::driver::request_log::RequestLog;
use hyper::Method;
use stand_in::{ControllerProcess, ENDLESS, SHORT, World, job, open_world, send_request, settings, upload, wait_until};
use tokio::runtime::Runtime;

/// A job with short tasks and one with tasks that run until they are stopped.
const SHORT_JOB: u64 = 1;
const ENDLESS_JOB: u64 = 2;
const TASKS: u64 = 20;

/// Takes the requests that were recorded so far; what is carried out from now on is not recorded.
fn take_request_log(world: &World) -> RequestLog {
    std::mem::take(&mut *world.request_log.lock().unwrap())
}

/// Submits both jobs, cancels the endless one while its tasks run, and waits until all attempts are reaped.
async fn run_jobs(world: &World, controller: &ControllerProcess) {
    let http = Http::default();
    let post = async |path: &str, body: Option<Vec<u8>>| {
        send_request(&http, Method::POST, &controller.addr, path, body).await.0 / 100 == 2
    };
    for n in [SHORT_JOB, ENDLESS_JOB] {
        wait_until("accepted", || post("/work", Some(protocol::encode(&job(n, TASKS))))).await;
    }
    let started = || world.starts.lock().unwrap().len() as u64;
    wait_until("all tasks started", async || started() == 2 * TASKS).await;
    let cancellation = format!("/work/run-{ENDLESS_JOB:06}/withdraw");
    wait_until("cancelled", || post(&cancellation, None)).await;
    let is_reaped = || world.with_fleet(|fleet, _| fleet.count_attempts() == 0);
    wait_until("all attempts reaped", async || is_reaped()).await;
}

/// Guards against launches that stay valid after the reap of their attempt (issue 50, `ran_twice`, starts after a
/// confirmed cancellation): every direct command is delivered once more when all attempts were reaped.
#[test]
fn repeated_commands_start_no_task() {
    let outside = Runtime::new().unwrap();
    let (world, door) = outside.block_on(open_world());
    upload(&world, &job(SHORT_JOB, TASKS), SHORT);
    upload(&world, &job(ENDLESS_JOB, TASKS), ENDLESS);
    world.request_log.lock().unwrap().enable();
    let controller = ControllerProcess::start(&world, &settings("node-a", &[], &door));
    outside.block_on(run_jobs(&world, &controller));
    let commands = take_request_log(&world).commands;
    assert!(!commands.is_empty(), "tasks were launched by direct commands");
    for repeat in commands {
        world.with_fleet(|fleet, now| fleet.command(&repeat.machine, &repeat.commands, now));
        let attempts = world.with_fleet(|fleet, _| fleet.count_attempts());
        assert_eq!(attempts, 0, "{repeat:?} starts a task again");
    }
    drop(controller);
    outside.shutdown_background();
}
