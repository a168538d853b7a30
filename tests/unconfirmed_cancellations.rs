//! Cancellations that the leader has not heard of: no user is told by any path, and nothing told runs on.

// A panic in the test harness fails its test, as intended.
#![allow(clippy::unwrap_used, clippy::too_many_lines)]

mod stand_in;

use hollylanding::protocol::{self, Http};
use hyper::Method;
use serde_json::json;
use stand_in::{ControllerProcess, ENDLESS, World, ask, job, params, settings, until, upload};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

struct Stage {
    outside: Runtime,
    world: Arc<World>,
    http: Http,
    a: ControllerProcess,
    b: ControllerProcess,
}

/// Two controllers that do not hear each other, and a job of three endless tasks that the first leads and runs.
/// An election lease of ten seconds: nobody else comes to lead within these tests unless its holder ends.
fn stage() -> Stage {
    let outside = Runtime::new().unwrap();
    // Workers' leases outlast these tests: what is gone was stopped.
    let mut params = params();
    params.fleet.lease = Duration::from_secs(3600);
    let (world, door) = outside.block_on(async {
        let world = World::open(params);
        let door = world.serve_controller(0).await;
        (world, door)
    });
    let other_door = outside.block_on(world.serve_controller(1));
    upload(&world, &job(1, 3), ENDLESS);
    let http = Http::default();
    let lease = "leader.lease.seconds=10";
    let a = ControllerProcess::start_with(&world, &settings("node-a", &["node-b"], &door), lease);
    outside.block_on(until("the first leads", || async {
        a.held("open_jobs") == 0 && a.controller.membership.watermark().is_some()
    }));
    let b = ControllerProcess::start_with(&world, &settings("node-b", &["node-a"], &other_door), lease);
    outside.block_on(async {
        let body = protocol::encode(&job(1, 3));
        until("accepted", || async {
            ask(&http, Method::POST, &b.addr, "/work", Some(body.clone())).await.0 / 100 == 2
        })
        .await;
        until("running", || async {
            ask(&http, Method::GET, &a.addr, "/work/run-000001", None).await.1["running"] == json!(3)
        })
        .await;
    });
    Stage { outside, world, http, a, b }
}

impl Stage {
    async fn cancel(&self, at: &ControllerProcess) -> (u16, serde_json::Value) {
        ask(&self.http, Method::POST, &at.addr, "/work/run-000001/withdraw", None).await
    }

    fn live(&self) -> usize {
        self.world.fleet.lock().unwrap().count_live_tasks("run-000001")
    }

    fn stored(&self) -> bool {
        self.world.state.lock().unwrap().store.has("h/w/run-000001")
    }

    /// Every path by which a user may hear of an end.
    async fn told(&self, at: &ControllerProcess) -> bool {
        let body = protocol::encode(&job(1, 3));
        let answers = [
            self.cancel(at).await,
            ask(&self.http, Method::GET, &at.addr, "/work/run-000001", None).await,
            ask(&self.http, Method::POST, &at.addr, "/work", Some(body)).await,
        ];
        let told = answers.iter().any(|(_, answer)| answer["status"] == json!("withdrawn"));
        assert!(told || answers.iter().all(|(status, _)| *status == 503), "{answers:?}");
        told
    }

    fn end(self) {
        drop((self.a, self.b));
        self.outside.shutdown_background();
    }
}

/// The operators' first meeting. The state service refuses the leader alone; the other controller stores the
/// cancellation; then it is out for all. It was told "cancelled" at once, and ran on for the whole outage.
#[test]
fn nobody_hears_of_a_cancellation_that_the_leader_cannot_know() {
    let stage = stage();
    stage.outside.block_on(async {
        stage.world.state.lock().unwrap().store.set_refused("0", true);
        let (status, answer) = stage.cancel(&stage.b).await;
        assert_eq!((status, stage.stored()), (503, true), "stored and not told: {answer}");
        assert!(!stage.told(&stage.b).await, "by no path");
        let now = stage.world.now();
        stage.world.state.lock().unwrap().store.set_outage(true, now);
        assert!(!stage.told(&stage.b).await && !stage.told(&stage.a).await, "nor in the outage");
        assert_eq!(stage.live(), 3, "the leader cannot know");
        let now = stage.world.now();
        stage.world.state.lock().unwrap().store.set_outage(false, now);
        stage.world.state.lock().unwrap().store.set_refused("0", false);
        until("told once the leader knows", || stage.told(&stage.b)).await;
        until("gone", || async { stage.live() == 0 }).await;
        until("the leader's users hear the same", || stage.told(&stage.a)).await;
    });
    stage.end();
}

/// Controllers that do not hear each other while all else is well: the watermark goes through the store.
#[test]
fn cancellations_are_told_where_controllers_do_not_hear_each_other() {
    let stage = stage();
    stage.outside.block_on(async {
        until("told", || stage.told(&stage.b)).await;
        until("gone", || async { stage.live() == 0 }).await;
        assert!(stage.world.state.lock().unwrap().store.has("c/watermark"));
        assert_eq!(stage.b.held("hidden"), 0);
    });
    stage.end();
}

/// The leader's own users hear at once, whoever hears whom.
#[test]
fn the_leader_tells_of_a_cancellation_at_once() {
    let stage = stage();
    stage.outside.block_on(async {
        let (status, answer) = stage.cancel(&stage.a).await;
        assert_eq!((status, &answer["status"]), (200, &json!("withdrawn")));
        until("gone", || async { stage.live() == 0 }).await;
    });
    stage.end();
}

/// Told by the leader while the machine hangs, and then the store is out for all: the leader has to go on stopping
/// what it has told is cancelled, though it can prove nothing by then. It held such machines without a word.
#[test]
fn a_leader_that_can_prove_nothing_goes_on_stopping_what_was_cancelled() {
    let stage = stage();
    stage.outside.block_on(async {
        let names: Vec<String> = stage.world.with_fleet(|fleet, _| fleet.machine_names().cloned().collect());
        let hang = |until| stage.world.with_fleet(|fleet, _| names.iter().for_each(|name| fleet.hang(name, until)));
        hang(stage.world.now() + Duration::from_secs(20));
        let (status, answer) = stage.cancel(&stage.a).await;
        assert_eq!((status, &answer["status"]), (200, &json!("withdrawn")));
        let now = stage.world.now();
        stage.world.state.lock().unwrap().store.set_outage(true, now);
        until("it cannot prove anything", || async { !stage.a.controller.membership.knows_leader(Instant::now()) })
            .await;
        assert_eq!(stage.live(), 3);
        hang(Duration::ZERO);
        until("gone in the midst of the outage", || async { stage.live() == 0 }).await;
        let left: Vec<String> = stage.world.with_fleet(|fleet, _| fleet.machine_names().cloned().collect());
        assert_eq!(left, names, "stopped, and no machine returned for it");
        assert!(!stage.world.state.lock().unwrap().store.serves("0"));
    });
    stage.end();
}
