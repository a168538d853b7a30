//! A slow state service carries out what it is asked at once, and answers later.

#![allow(clippy::unwrap_used, clippy::too_many_lines)]

use std::time::{Duration, Instant};

use hollylanding_emulator::driver::{Params, World, lock};
use hollylanding_emulator::world::cloud::{self, BootMode};
use hollylanding_emulator::world::fleet;
use hollylanding_emulator::world::store::Limits;
use hollylanding_protocol::{self as protocol, Http};
use hyper::Method;
use serde_json::json;

fn params() -> Params {
    let s = Duration::from_secs;
    Params {
        limits: Limits::default(),
        cloud: cloud::Params::default(),
        fleet: fleet::Params { lease: s(24), gang_wait: s(30), gang_peer: s(5) },
        boots: BootMode::Usual,
        heartbeat: s(1),
        max_page_items: 100,
        seed: 1,
        judged: false,
    }
}

#[tokio::test]
async fn answers_come_late_and_what_they_tell_of_is_done_at_once() {
    let slow = Duration::from_millis(400);
    let world = World::open(params());
    let (addr, http) = (world.serve_controller(0).await, Http::default());
    let body = protocol::encode(&json!({"if": [], "apply": [{"write": "k", "value": 1}]}));
    let write = |within| http.call(Method::POST, &addr, "/txn", Some(body.clone()), within);
    assert_eq!(write(Duration::from_secs(10)).await.unwrap().0, 200);
    let first = lock(&world.state).store.revision();

    lock(&world.state).faults.response_delay = slow;
    let begun = Instant::now();
    assert_eq!(write(Duration::from_secs(10)).await.unwrap().0, 200);
    assert!(begun.elapsed() >= slow, "{:?}", begun.elapsed());
    assert!(write(slow / 2).await.is_err(), "who waits for less hears nothing");
    assert_eq!(lock(&world.state).store.revision(), first + 2, "and it is carried out");
}
