//! A leader that loses the state service and the other controllers, but not its workers: the workers find its successor,
//! no task is started again, and the isolated controller fails its health check, so that no user is routed to it.

// A panic in the test harness fails its test, as intended.
#![allow(clippy::unwrap_used, clippy::too_many_lines)]

mod stand_in;

use hollylanding::protocol::{self, Http};
use hollylanding_emulator::driver::Link;
use hollylanding_emulator::driver::relay::LinkState;
use hyper::Method;
use serde_json::json;
use stand_in::{ControllerProcess, ENDLESS, job, open_world, send_request, settings, upload, wait_until};
use tokio::runtime::Runtime;

#[test]
fn workers_of_an_isolated_leader_find_its_successor() {
    let outside = Runtime::new().unwrap();
    let (world, door) = outside.block_on(open_world());
    let other_door = outside.block_on(world.serve_controller(1));
    // The successor cannot connect to workers, so they have to find it.
    world.link_switch(1, Link::Workers).set(LinkState::Reset);
    upload(&world, &job(1, 3), ENDLESS);
    let http = Http::default();
    let healthy = |addr: String| {
        let http = http.clone();
        async move { send_request(&http, Method::GET, &addr, "/healthz", None).await.0 == 200 }
    };
    // The controllers are not connected: each other's address in their settings has no listener.
    let a = ControllerProcess::start(&world, &settings("node-a", &["node-b"], &door));
    outside.block_on(wait_until("the first is healthy", || healthy(a.addr.clone())));
    let b = ControllerProcess::start(&world, &settings("node-b", &["node-a"], &other_door));
    outside.block_on(async {
        wait_until("the second is healthy", || healthy(b.addr.clone())).await;
        let body = protocol::encode(&job(1, 3));
        assert_eq!(send_request(&http, Method::POST, &a.addr, "/work", Some(body)).await.0, 201);
        let running = |addr: String| {
            let http = http.clone();
            async move { send_request(&http, Method::GET, &addr, "/work/run-000001", None).await.1["running"] == json!(3) }
        };
        wait_until("running", || running(a.addr.clone())).await;
        world.state.lock().unwrap().store.set_refused("0", true);
        wait_until("the successor knows of every running task", || running(b.addr.clone())).await;
        wait_until("the isolated leader is unhealthy", || async { !healthy(a.addr.clone()).await }).await;
        assert!(
            healthy(b.addr.clone()).await,
            "the successor is not connected to its peer either, but can prove that its answers are current"
        );
        assert_eq!(world.starts.lock().unwrap().len(), 3, "no task may be started again");
        assert_eq!(world.fleet.lock().unwrap().count_live_tasks("run-000001"), 3, "no task may be lost");
        world.state.lock().unwrap().store.set_refused("0", false);
        wait_until("the former leader is healthy", || healthy(a.addr.clone())).await;
        assert_eq!(a.count_held("let_go"), 0, "the present leader is known again");
        assert_eq!(a.count_held("book_jobs"), 0, "the former leader has stepped down");
    });
    drop((a, b));
    outside.shutdown_background();
}
