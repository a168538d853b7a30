//! Cancellations that the leader does not know of, or that it cannot confirm: no response reports them to a user, polls
//! are answered nevertheless, and the tasks of a reported cancellation are stopped.

// A panic in the test harness fails its test, as intended.
#![allow(clippy::unwrap_used, clippy::too_many_lines)]

mod stand_in;

use hollylanding::protocol::{self, Http};
use hyper::Method;
use serde_json::json;
use stand_in::observer::{TestDeployment, UserRequest, id, start_leader_and_follower};
use stand_in::{ControllerProcess, ENDLESS, World, job, params, send_request, settings, upload, wait_until};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

/// Two controllers with the emulator's world, and an HTTP client for users' requests.
struct Deployment {
    outside: Runtime,
    world: Arc<World>,
    http: Http,
    a: ControllerProcess,
    b: ControllerProcess,
}

/// Starts two controllers that are not connected to each other, and a job of three endless tasks under the leadership of
/// the first. With an election lease of ten seconds the leadership does not change within these tests unless its holder
/// ends.
fn start_deployment() -> Deployment {
    let outside = Runtime::new().unwrap();
    // Workers' leases outlast the tests, so that a task that is gone was stopped and did not expire.
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
    outside.block_on(wait_until("the first leads", || async {
        a.count_held("open_jobs") == 0 && a.controller.membership.watermark().is_some()
    }));
    let b = ControllerProcess::start_with(&world, &settings("node-b", &["node-a"], &other_door), lease);
    outside.block_on(async {
        let body = protocol::encode(&job(1, 3));
        wait_until("accepted", || async {
            send_request(&http, Method::POST, &b.addr, "/work", Some(body.clone())).await.0 / 100 == 2
        })
        .await;
        wait_until("running", || async {
            send_request(&http, Method::GET, &a.addr, "/work/run-000001", None).await.1["running"] == json!(3)
        })
        .await;
    });
    Deployment { outside, world, http, a, b }
}

impl Deployment {
    /// Cancels the job at a controller.
    async fn cancel(&self, at: &ControllerProcess) -> (u16, serde_json::Value) {
        send_request(&self.http, Method::POST, &at.addr, "/work/run-000001/withdraw", None).await
    }

    /// Returns the number of the job's tasks that are running on workers.
    fn count_live_tasks(&self) -> usize {
        self.world.fleet.lock().unwrap().count_live_tasks("run-000001")
    }

    /// Returns whether the cancellation is stored.
    fn is_cancellation_stored(&self) -> bool {
        self.world.state.lock().unwrap().store.has("h/w/run-000001")
    }

    /// Sends each request by which a user may learn of a job's end: a cancellation, a poll and a repeated submission.
    async fn ask_in_each_way(&self, at: &ControllerProcess) -> [(u16, serde_json::Value); 3] {
        let body = protocol::encode(&job(1, 3));
        [
            self.cancel(at).await,
            send_request(&self.http, Method::GET, &at.addr, "/work/run-000001", None).await,
            send_request(&self.http, Method::POST, &at.addr, "/work", Some(body)).await,
        ]
    }

    /// Returns whether any request by which a user may learn of a job's end reports the cancellation. As long as none
    /// does, a request to cancel is not answered, and the others are not answered or report the job as open.
    async fn is_cancellation_reported(&self, at: &ControllerProcess) -> bool {
        let answers = self.ask_in_each_way(at).await;
        let reported = answers.iter().any(|(_, answer)| answer["status"] == json!("withdrawn"));
        let is_open = |(status, answer): &(u16, serde_json::Value)| {
            *status == 200 && (answer["status"] == json!("pending") || answer["status"] == json!("running"))
        };
        let [cancellation, others @ ..] = &answers;
        let none_reports = cancellation.0 == 503 && others.iter().all(|answer| answer.0 == 503 || is_open(answer));
        assert!(reported || none_reports, "{answers:?}");
        reported
    }

    fn end(self) {
        drop((self.a, self.b));
        self.outside.shutdown_background();
    }
}

/// The operators' first combination of faults: the state service refuses only the leader, the other controller stores a
/// cancellation, and then the state service is out for all. The user was told "cancelled" at once, while the job ran on
/// for the whole outage.
#[test]
fn cancellation_unknown_to_the_leader_is_not_reported() {
    let deployment = start_deployment();
    deployment.outside.block_on(async {
        deployment.world.state.lock().unwrap().store.set_refused("0", true);
        let (status, answer) = deployment.cancel(&deployment.b).await;
        assert_eq!(
            (status, deployment.is_cancellation_stored()),
            (503, true),
            "the cancellation must be stored and not confirmed: {answer}"
        );
        assert!(!deployment.is_cancellation_reported(&deployment.b).await, "no request may report the cancellation");
        let statuses = deployment.ask_in_each_way(&deployment.b).await.map(|(status, _)| status);
        assert_eq!(statuses, [503, 200, 200], "a poll and a repeated submission are answered, a cancellation is not");
        let now = deployment.world.now();
        deployment.world.state.lock().unwrap().store.set_outage(true, now);
        assert!(
            !deployment.is_cancellation_reported(&deployment.b).await
                && !deployment.is_cancellation_reported(&deployment.a).await,
            "no request may report the cancellation during the outage"
        );
        assert_eq!(deployment.count_live_tasks(), 3, "the leader does not know of the cancellation");
        let now = deployment.world.now();
        deployment.world.state.lock().unwrap().store.set_outage(false, now);
        deployment.world.state.lock().unwrap().store.set_refused("0", false);
        wait_until("reported once the leader knows of it", || deployment.is_cancellation_reported(&deployment.b)).await;
        wait_until("all tasks stopped", || async { deployment.count_live_tasks() == 0 }).await;
        wait_until("reported by the leader", || deployment.is_cancellation_reported(&deployment.a)).await;
    });
    deployment.end();
}

/// Controllers that are not connected to each other, without other faults: they exchange the watermark through the store.
#[test]
fn cancellation_is_reported_without_connections_between_controllers() {
    let deployment = start_deployment();
    deployment.outside.block_on(async {
        wait_until("status reported", || deployment.is_cancellation_reported(&deployment.b)).await;
        wait_until("all tasks stopped", || async { deployment.count_live_tasks() == 0 }).await;
        assert!(deployment.world.state.lock().unwrap().store.has("c/watermark"));
        assert_eq!(deployment.b.count_held("hidden"), 0);
    });
    deployment.end();
}

/// The leader confirms a cancellation in its first response, without connections between controllers.
#[test]
fn leader_confirms_a_cancellation_immediately() {
    let deployment = start_deployment();
    deployment.outside.block_on(async {
        let (status, answer) = deployment.cancel(&deployment.a).await;
        assert_eq!((status, &answer["status"]), (200, &json!("withdrawn")));
        wait_until("all tasks stopped", || async { deployment.count_live_tasks() == 0 }).await;
    });
    deployment.end();
}

/// The leader confirms a cancellation while the job's machine hangs, and then the store is out for all. The leader has to
/// keep stopping the cancelled tasks although it can no longer prove its leadership; it once held such machines without
/// sending them commands.
#[test]
fn leader_with_unproven_leadership_keeps_stopping_cancelled_tasks() {
    let deployment = start_deployment();
    deployment.outside.block_on(async {
        let names: Vec<String> = deployment.world.with_fleet(|fleet, _| fleet.machine_names().cloned().collect());
        let hang =
            |until| deployment.world.with_fleet(|fleet, _| names.iter().for_each(|name| fleet.hang(name, until)));
        hang(deployment.world.now() + Duration::from_secs(20));
        let (status, answer) = deployment.cancel(&deployment.a).await;
        assert_eq!((status, &answer["status"]), (200, &json!("withdrawn")));
        let now = deployment.world.now();
        deployment.world.state.lock().unwrap().store.set_outage(true, now);
        wait_until("leadership unproven", || async {
            !deployment.a.controller.membership.knows_leader(Instant::now())
        })
        .await;
        assert_eq!(deployment.count_live_tasks(), 3);
        hang(Duration::ZERO);
        wait_until("all tasks stopped during the outage", || async { deployment.count_live_tasks() == 0 }).await;
        let left: Vec<String> = deployment.world.with_fleet(|fleet, _| fleet.machine_names().cloned().collect());
        assert_eq!(left, names, "the tasks must be stopped without returning a machine");
        assert!(!deployment.world.state.lock().unwrap().store.serves("0"));
    });
    deployment.end();
}

/// Job that a healthy machine runs alone.
const ON_HEALTHY_MACHINE: u64 = 1;
/// Job whose launches are on their way to a machine that hangs.
const ON_HANGING_MACHINE: u64 = 2;

/// Starts two controllers, a job on a machine of its own, and another one on a machine that hangs just as the launches
/// arrive. The cloud is out, so that this machine cannot be terminated.
fn start_with_launch_in_flight() -> (TestDeployment, ControllerProcess, ControllerProcess) {
    let (deployment, a, b) = start_leader_and_follower(10);
    deployment.outside.block_on(async {
        let mut whole_machine = job(ON_HEALTHY_MACHINE, 1);
        whole_machine["cpus"] = json!(8.0);
        upload(&deployment.world, &whole_machine, ENDLESS);
        upload(&deployment.world, &job(3, 1), ENDLESS);
        for job in [whole_machine, job(3, 1)] {
            wait_until("accepted", || async { deployment.submit(&b, &job).await.0 / 100 == 2 }).await;
        }
        wait_until("both run", || async { deployment.world.fleet.lock().unwrap().count_all_live_tasks() == 2 }).await;
        deployment.world.cloud.lock().unwrap().set_outage(true);
        let hanging = deployment.machine_running(3);
        deployment.world.with_fleet(|fleet, _| fleet.hang(&hanging, Duration::from_secs(3600)));
        deployment.submit_until_accepted(&b, ON_HANGING_MACHINE, ENDLESS).await;
        let shard = format!("t/{}/00000", id(ON_HANGING_MACHINE));
        wait_until("bound to the hanging machine", || async { deployment.has(&shard) }).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(deployment.count_starts(ON_HANGING_MACHINE), 0);
    });
    (deployment, a, b)
}

/// Asks in turn for this long, and checks that each poll and each repeated submission is answered, as open.
async fn expect_answers_as_open(deployment: &TestDeployment, nodes: &[&ControllerProcess], time: Duration) {
    let started_at = Instant::now();
    while started_at.elapsed() < time {
        for at in nodes {
            for how in [UserRequest::LookUp, UserRequest::Submit] {
                let status = deployment.request_and_check(at, ON_HANGING_MACHINE, how).await;
                assert_eq!(status.as_deref(), Some("pending"), "{how:?} at {}", at.controller.settings.node);
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against polls that fail for as long as a cancellation is unconfirmed, and against cancellations that wait for
/// one another: a machine hangs as a launch arrives, and the cloud that could terminate it is out.
#[test]
fn polls_are_answered_and_other_cancellations_confirmed_while_one_cannot_be() {
    let (deployment, a, b) = start_with_launch_in_flight();
    deployment.outside.block_on(async {
        let cancel = |at, n| deployment.request_and_check(at, n, UserRequest::Cancel);
        assert_eq!(cancel(&b, ON_HANGING_MACHINE).await, None, "a launch may still start a task");
        let started_at = Instant::now();
        wait_until("the other cancellation is confirmed", || async { cancel(&b, ON_HEALTHY_MACHINE).await.is_some() })
            .await;
        assert!(started_at.elapsed() < Duration::from_secs(5), "it took {:?}", started_at.elapsed());
        deployment.all_report([&a, &b], ON_HEALTHY_MACHINE, "withdrawn").await;
        expect_answers_as_open(&deployment, &[&a, &b], Duration::from_secs(8)).await;
        assert_eq!(cancel(&a, ON_HANGING_MACHINE).await, None, "a launch may still start a task");
        deployment.world.cloud.lock().unwrap().set_outage(false);
        deployment.all_report([&a, &b], ON_HANGING_MACHINE, "withdrawn").await;
        assert_eq!(deployment.count_starts(ON_HANGING_MACHINE), 0);
    });
    deployment.end([a, b]);
}

/// The same while the leader changes: the successor neither confirms the cancellation nor leaves polls unanswered.
#[test]
fn polls_for_an_unconfirmed_cancellation_are_answered_by_a_successor() {
    let (deployment, a, b) = start_with_launch_in_flight();
    deployment.outside.block_on(async {
        assert_eq!(deployment.request_and_check(&a, ON_HANGING_MACHINE, UserRequest::Cancel).await, None);
        drop(a);
        wait_until("the second leads", || async { b.controller.membership.watermark().is_some() }).await;
        expect_answers_as_open(&deployment, &[&b], Duration::from_secs(5)).await;
        assert_eq!(deployment.request_and_check(&b, ON_HANGING_MACHINE, UserRequest::Cancel).await, None);
        deployment.world.cloud.lock().unwrap().set_outage(false);
        deployment.all_report([&b], ON_HANGING_MACHINE, "withdrawn").await;
        assert_eq!(deployment.count_starts(ON_HANGING_MACHINE), 0);
    });
    deployment.end([b]);
}
