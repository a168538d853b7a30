//! A leader that loses the state service and the other controllers, but not its workers: they find whoever
//! leads next, nothing is started again, and no user is sent to it.

// A stand-in that panics fails its test, as it should.
#![allow(clippy::unwrap_used, clippy::too_many_lines)]

mod stand_in;

use hollylanding::protocol::{self, Http};
use hollylanding_emulator::driver::Link;
use hollylanding_emulator::driver::relay::Passing;
use hyper::Method;
use serde_json::json;
use stand_in::{ControllerProcess, ENDLESS, ask, job, open_world, settings, until, upload};
use tokio::runtime::Runtime;

#[test]
fn workers_of_a_lone_leader_find_its_successor() {
    let outside = Runtime::new().unwrap();
    let (world, door) = outside.block_on(open_world());
    let other_door = outside.block_on(world.door(1));
    // The successor cannot turn to workers by itself: they have to find it.
    world.gate(1, Link::Workers).set(Passing::Reset);
    upload(&world, &job(1, 3), ENDLESS);
    let http = Http::default();
    let healthy = |addr: String| {
        let http = http.clone();
        async move { ask(&http, Method::GET, &addr, "/healthz", None).await.0 == 200 }
    };
    // Neither hears the other: their settings name an address where nobody listens.
    let a = ControllerProcess::start(&world, &settings("node-a", &["node-b"], &door));
    outside.block_on(until("the first is healthy", || healthy(a.addr.clone())));
    let b = ControllerProcess::start(&world, &settings("node-b", &["node-a"], &other_door));
    outside.block_on(async {
        until("the second is healthy", || healthy(b.addr.clone())).await;
        let body = protocol::encode(&job(1, 3));
        assert_eq!(ask(&http, Method::POST, &a.addr, "/work", Some(body)).await.0, 201);
        let running = |addr: String| {
            let http = http.clone();
            async move { ask(&http, Method::GET, &addr, "/work/run-000001", None).await.1["running"] == json!(3) }
        };
        until("running", || running(a.addr.clone())).await;
        world.state.lock().unwrap().store.set_refused("0", true);
        until("the successor has heard of every task", || running(b.addr.clone())).await;
        until("nobody is sent to the lone one", || async { !healthy(a.addr.clone()).await }).await;
        assert!(healthy(b.addr.clone()).await, "the successor hears nobody either, but can prove what it says");
        assert_eq!(world.starts.lock().unwrap().len(), 3, "nothing was started again");
        assert_eq!(world.fleet.lock().unwrap().count_live_tasks("run-000001"), 3, "and nothing was lost");
        world.state.lock().unwrap().store.set_refused("0", false);
        until("back", || healthy(a.addr.clone())).await;
        assert_eq!(a.held("let_go"), 0, "who leads is known again");
        assert_eq!(a.held("book_jobs"), 0, "it has stepped down");
    });
    drop((a, b));
    outside.shutdown_background();
}
