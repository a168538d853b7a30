//! Values in the store that cannot be decoded, under every prefix: a controller reads the rest, becomes the leader and
//! runs the jobs submitted to it.

// A panic in the test harness fails its test, as intended.
#![allow(clippy::unwrap_used, clippy::too_many_lines)]

mod stand_in;

use hollylanding::protocol::state::Change;
use hollylanding::protocol::{self, Http};
use hollylanding_emulator::driver::World;
use hyper::Method;
use serde_json::{Value, json};
use stand_in::{ControllerProcess, ENDLESS, job, open_world, send_request, settings, upload, wait_until};
use tokio::runtime::Runtime;

fn write(world: &World, path: &str, value: Value) {
    let change = [Change::write(path, value)];
    world.state.lock().unwrap().store.apply_if(&[], &change).unwrap();
}

/// Writes a value that cannot be decoded under each prefix, and keys that this build does not recognize.
fn write_undecodable_values(world: &World) {
    for path in [
        "c/o/run-000007",
        "c/o/x",
        "c/owner/0",
        "c/owner/later",
        "c/leader",
        "c/plea",
        "c/watermark",
        "c/upgraded",
        "c/s/window/x",
        "c/s/later/x",
        "c/t/heat/x",
        "c/j/run-000006",
        "c/e/run-000005",
        "h/d/run-000008",
        "h/w/a.b",
        "d/x",
        "d/a-b",
        "t/run-000001/00000",
        "t/run-000001/later",
        "t/x",
    ] {
        write(world, path, json!({"what": ["nobody", 7]}));
    }
    // Readable task shards of jobs that were never submitted.
    write(world, "t/a.b/00000", json!([[1, "m1"]]));
    write(world, "t/run-000009/99999999999", json!([[1, "m1"], 5, -1]));
}

#[test]
fn undecodable_stored_values_do_not_stop_the_leader_from_running_jobs() {
    let outside = Runtime::new().unwrap();
    let (world, door) = outside.block_on(open_world());
    write_undecodable_values(&world);
    for n in 1..=2 {
        upload(&world, &job(n, 3), ENDLESS);
    }
    let a = ControllerProcess::start(&world, &settings("node-a", &[], &door));
    let http = Http::default();
    outside.block_on(async {
        let submit = async |n: u64| {
            wait_until("healthy", || async {
                send_request(&http, Method::GET, &a.addr, "/healthz", None).await.0 == 200
            })
            .await;
            let body = protocol::encode(&job(n, 3));
            assert_eq!(send_request(&http, Method::POST, &a.addr, "/work", Some(body)).await.0, 201);
            let path = format!("/work/run-{n:06}");
            wait_until("all tasks running", || async {
                send_request(&http, Method::GET, &a.addr, &path, None).await.1["running"] == json!(3)
            })
            .await;
        };
        submit(1).await;
        // The leader's own keys become unreadable while it leads: it overwrites them and starts no task again.
        write(&world, "c/leader", json!("x"));
        write(&world, "c/owner/0", json!(["x"]));
        let readable = |path: &str| {
            let state = world.state.lock().unwrap();
            state.store.value(path).is_some_and(|value| value["node"] == json!("node-a"))
        };
        wait_until("leader keys readable again", || async { readable("c/leader") && readable("c/owner/0") }).await;
        submit(2).await;
        assert_eq!(world.starts.lock().unwrap().len(), 6, "no task may be started twice");
        // An undecodable value affects only its own job, which is known and does not run.
        let (status, _) = send_request(&http, Method::GET, &a.addr, "/work/run-000007", None).await;
        assert!(matches!(status, 200 | 503), "{status}");
    });
    drop(a);
    outside.shutdown_background();
}
