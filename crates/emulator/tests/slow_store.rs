//! A slow state service applies writes at once and delays its responses.

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
async fn slow_store_delays_responses_and_applies_writes_at_once() {
    let delay = Duration::from_millis(400);
    let world = World::open(params());
    let (addr, http) = (world.serve_controller(0).await, Http::default());
    let body = protocol::encode(&json!({"if": [], "apply": [{"write": "k", "value": 1}]}));
    let write = |timeout| http.call(Method::POST, &addr, "/txn", Some(body.clone()), timeout);
    assert_eq!(write(Duration::from_secs(10)).await.unwrap().0, 200);
    let first = lock(&world.state).store.revision();

    lock(&world.state).faults.response_delay = delay;
    let started = Instant::now();
    assert_eq!(write(Duration::from_secs(10)).await.unwrap().0, 200);
    assert!(started.elapsed() >= delay, "{:?}", started.elapsed());
    assert!(write(delay / 2).await.is_err(), "a client with a shorter timeout must get no response");
    assert_eq!(lock(&world.state).store.revision(), first + 2, "both writes must be applied");
}
