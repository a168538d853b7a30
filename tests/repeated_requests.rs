//! Requests of controllers that were carried out and answered, and arrive once more later, over HTTP: the repeats must
//! change nothing.

// A panic in the test harness fails its test, as intended.
#![allow(clippy::unwrap_used)]

mod stand_in;

use std::collections::BTreeMap;
use std::sync::Arc;

use hollylanding::protocol::{self, Http};
use hollylanding_emulator::driver::request_log::RequestLog;
use hyper::Method;
use serde_json::Value;
use stand_in::{ControllerProcess, ENDLESS, SHORT, World, job, open_world, send_request, settings, upload, wait_until};
use tokio::runtime::Runtime;

/// A job with short tasks and one with tasks that run until they are stopped.
const SHORT_JOB: u64 = 1;
const ENDLESS_JOB: u64 = 2;
const TASKS: u64 = 20;
/// Prefix of the keys of cloud orders.
const ORDER_PREFIX: &str = "d/";
/// The leader's stored watermark, which a repeat may set back: what was confirmed stays confirmed.
const WATERMARK_KEY: &str = "c/watermark";

/// Whether the store has a cloud order that is still to be carried out.
fn has_open_order(world: &World) -> bool {
    let state = world.state.lock().unwrap();
    state.store.entries_with_prefix(ORDER_PREFIX).any(|(_, order, _)| order["what"] != "done")
}

/// Everything that is stored, without the watermark.
fn stored_values(world: &World) -> BTreeMap<String, Value> {
    let state = world.state.lock().unwrap();
    let entries = state.store.entries_with_prefix("").filter(|(key, ..)| *key != WATERMARK_KEY);
    entries.map(|(key, value, _)| (key.to_owned(), value.clone())).collect()
}

/// Submits both jobs, cancels the endless one while its tasks run, and waits until nothing is left to be done: all
/// attempts are reaped and all cloud orders completed and cleaned up.
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
    wait_until("no order left to be carried out", async || !has_open_order(world)).await;
}

/// A world in which a controller has run both jobs and ended.
struct FinishedRun {
    world: Arc<World>,
    /// The requests that the controller sent and the world carried out.
    carried_out: RequestLog,
    /// Runs the world for as long as it exists.
    _outside: Runtime,
}

impl FinishedRun {
    fn new() -> Self {
        let outside = Runtime::new().unwrap();
        let (world, door) = outside.block_on(open_world());
        upload(&world, &job(SHORT_JOB, TASKS), SHORT);
        upload(&world, &job(ENDLESS_JOB, TASKS), ENDLESS);
        world.request_log.lock().unwrap().enable();
        let controller = ControllerProcess::start(&world, &settings("node-a", &[], &door));
        outside.block_on(run_jobs(&world, &controller));
        drop(controller);
        let carried_out = std::mem::take(&mut *world.request_log.lock().unwrap());
        Self { world, carried_out, _outside: outside }
    }
}

/// Guards against launches that stay valid after the reap of their attempt (issue 50, `ran_twice`, starts after a
/// confirmed cancellation): every direct command is delivered once more when all attempts were reaped.
#[test]
fn repeated_commands_start_no_task() {
    let FinishedRun { world, carried_out, .. } = &FinishedRun::new();
    assert!(!carried_out.commands.is_empty(), "tasks were launched by direct commands");
    for repeat in &carried_out.commands {
        world.with_fleet(|fleet, now| fleet.command(&repeat.machine, &repeat.commands, now));
        let attempts = world.with_fleet(|fleet, _| fleet.count_attempts());
        assert_eq!(attempts, 0, "{repeat:?} starts a task again");
    }
}

/// Guards against writes that are taken for void because they were answered: every transaction is delivered once more
/// when its effect has been superseded. An order to the cloud used to be stored again as an open one, and the next
/// leader carried it out a second time.
#[test]
fn repeated_transactions_change_nothing() {
    let FinishedRun { world, carried_out, .. } = &FinishedRun::new();
    assert!(carried_out.transactions.len() > 5, "{carried_out:?}");
    let stored = stored_values(world);
    for repeat in &carried_out.transactions {
        let now = world.now();
        let _ = world.state.lock().unwrap().store.compare_and_swap(repeat, now);
        assert_eq!(stored_values(world), stored, "changed by {repeat:?}");
    }
}
