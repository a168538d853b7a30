//! End to end over HTTP: two real controllers against the emulator. The test waits only for conditions, never for fixed
//! times.

// A panic in the test harness fails its test, as intended.
#![allow(clippy::unwrap_used, clippy::too_many_lines)]

mod stand_in;

use std::collections::HashSet;

use hollylanding::protocol::{self, Http};
use hollylanding_emulator::driver::state::State;
use hyper::Method;
use serde_json::{Value, json};
use stand_in::{ControllerProcess, ENDLESS, SHORT, job, open_world, send_request, settings, upload, wait_until};
use tokio::runtime::Runtime;

#[test]
fn jobs_are_placed_completed_taken_over_and_cancelled() {
    let outside = Runtime::new().unwrap();
    let (world, door) = outside.block_on(open_world());
    for (job, run) in [(job(1, 300), SHORT), (job(2, 100_000), SHORT), (job(3, 3), ENDLESS)] {
        upload(&world, &job, run);
    }
    let a = ControllerProcess::start(&world, &settings("node-a", &["node-b"], &door));
    outside.block_on(async {
        let http = Http::default();
        wait_until("the first controller is healthy and leads", || async {
            send_request(&http, Method::GET, &a.addr, "/healthz", None).await.0 == 200
                && world.state.lock().unwrap().store.has("c/owner/0")
        })
        .await;
    });
    let b = ControllerProcess::start(&world, &settings("node-b", &["node-a"], &door));
    let (api_a, api_b) = (a.addr.clone(), b.addr.clone());
    outside.block_on(async {
        let http = Http::default();
        let submit = |addr: String, job: Value| {
            let http = http.clone();
            async move { send_request(&http, Method::POST, &addr, "/work", Some(protocol::encode(&job))).await }
        };
        let status = |addr: String, n: u64| {
            let http = http.clone();
            async move { send_request(&http, Method::GET, &addr, &format!("/work/run-{n:06}"), None).await }
        };
        wait_until("the second controller is healthy", || async {
            send_request(&http, Method::GET, &api_b, "/healthz", None).await.0 == 200
        })
        .await;

        // Invalid submissions are rejected immediately.
        for (name, body, want) in [
            ("not MessagePack", vec![0xc1, 1, 2], 400),
            ("over the limit", vec![0x80; 70_000], 400),
            (
                "no such team",
                protocol::encode(&{
                    let mut j = job(90, 1);
                    j["desk"] = json!("green");
                    j
                }),
                422,
            ),
            (
                "never fits",
                protocol::encode(&{
                    let mut j = job(91, 1);
                    j["cpus"] = json!(9);
                    j
                }),
                422,
            ),
        ] {
            assert_eq!(send_request(&http, Method::POST, &api_b, "/work", Some(body)).await.0, want, "{name}");
        }
        for set in [|s: &mut State, on| s.faults.refuse_writes = on, |s: &mut State, on| s.faults.garble_writes = on] {
            set(&mut world.state.lock().unwrap(), true);
            let (refused, _) = submit(api_b.clone(), job(1, 300)).await;
            set(&mut world.state.lock().unwrap(), false);
            assert_eq!(refused, 503);
        }
        assert_eq!(status(api_a.clone(), 1).await.0, 404, "a refused submission must not be accepted");

        // A job is submitted at one controller, completed by the other, and looked up at both.
        wait_until("accepted once the store serves requests", || async {
            submit(api_b.clone(), job(1, 300)).await.0 / 100 == 2
        })
        .await;
        assert_eq!(submit(api_a.clone(), job(1, 300)).await.0, 200, "a retry must find the accepted job");
        for addr in [&api_a, &api_b] {
            wait_until("done", || async { status(addr.clone(), 1).await.1["status"] == "done" }).await;
        }
        let starts = world.starts.lock().unwrap().clone();
        let distinct: HashSet<&String> = starts.iter().collect();
        assert_eq!((starts.len(), distinct.len()), (300, 300), "every task must be started once");

        // A job of the largest size is accepted at once; its tasks are started as capacity allows.
        assert_eq!(submit(api_b.clone(), job(2, 100_000)).await.0, 201);
        let path = "/work/run-000002/withdraw";
        wait_until("withdrawn", || async {
            send_request(&http, Method::POST, &api_b, path, None).await.1["status"] == "withdrawn"
        })
        .await;

        // The leader ends; running tasks continue under its successor and are not started again.
        assert_eq!(submit(api_b.clone(), job(3, 3)).await.0, 201);
        let started = || world.starts.lock().unwrap().iter().filter(|l| l.starts_with("run-000003/")).count();
        wait_until("running", || async { started() == 3 }).await;
    });
    drop(a);
    outside.block_on(async {
        let http = Http::default();
        let path = "/work/run-000003";
        wait_until("taken over", || async {
            let leader = world.state.lock().unwrap().store.value("c/owner/0").cloned();
            let (_, answer) = send_request(&http, Method::GET, &api_b, path, None).await;
            leader.is_some_and(|v| v["node"] == "node-b") && answer["running"] == 3
        })
        .await;
        let started = world.starts.lock().unwrap().iter().filter(|l| l.starts_with("run-000003/")).count();
        assert_eq!(started, 3, "no task may be started twice");
        let (code, answer) = send_request(&http, Method::POST, &api_b, "/work/run-000003/withdraw", None).await;
        assert_eq!((code, &answer["status"]), (200, &json!("withdrawn")));
        wait_until("all tasks stopped", || async { world.fleet.lock().unwrap().count_live_tasks("run-000003") == 0 })
            .await;
        assert_eq!(send_request(&http, Method::GET, &api_b, "/work/run-000001", None).await.1["status"], "done");
        assert_eq!(send_request(&http, Method::GET, &api_b, "/work/run-000003", None).await.1["status"], "withdrawn");
    });
    drop(b);
    outside.shutdown_background();
}
