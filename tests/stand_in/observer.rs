//! Sends users' requests and compares each response with the stored state before and after the request.

use std::collections::HashSet;
use std::future::Future;
use std::sync::{Arc, Mutex};
use std::task::Poll;
use std::time::{Duration, Instant};

use hollylanding::protocol::{self, Http};
use hollylanding::records::leadership::ConfirmedCancellations;
use hollylanding_emulator::driver::state::{Faults, HeldResponses};
use hyper::Method;
use serde_json::{Value, json};
use tokio::runtime::Runtime;

use super::{ControllerProcess, WAIT_TIMEOUT, World, job, params, send_request, settings, upload, wait_until};

/// The status of a job according to its stored keys, in the order in which the status changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoredStatus {
    Absent,
    Open,
    Done,
    Cancelled,
}

/// A user's request about one job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UserRequest {
    LookUp,
    Submit,
    Cancel,
}

/// The requests that leave the status of an accepted job unchanged.
pub const REPEATABLE_REQUESTS: [UserRequest; 2] = [UserRequest::LookUp, UserRequest::Submit];
pub const ALL_REQUESTS: [UserRequest; 3] = [UserRequest::LookUp, UserRequest::Submit, UserRequest::Cancel];

/// The number of answers to each request that concurrent requests wait for from each controller.
const ANSWERS_PER_REQUEST: usize = 3;
/// The pause between two concurrent requests of one kind to one controller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// The emulator's world, the runtime that it runs in and an HTTP client for users' requests.
pub struct TestDeployment {
    pub outside: Runtime,
    pub world: Arc<World>,
    pub http: Http,
    /// Jobs that some controller has reported as cancelled.
    reported_cancelled: Mutex<HashSet<u64>>,
}

impl TestDeployment {
    /// Creates a deployment without controllers.
    pub fn new(outside: Runtime, world: Arc<World>) -> Self {
        Self { outside, world, http: Http::default(), reported_cancelled: Mutex::default() }
    }
}

/// Returns the id of job `n`.
pub fn id(n: u64) -> String {
    format!("run-{n:06}")
}

/// Returns a job of three tasks that are small enough for many of them to share a machine.
pub fn small_job(n: u64) -> Value {
    let mut job = job(n, 3);
    (job["cpus"], job["memGb"]) = (json!(0.1), json!(0.1));
    job
}

/// Starts the leader and a follower that are not connected to each other, with an election lease of `lease_s` seconds.
pub fn start_leader_and_follower(lease_s: u64) -> (TestDeployment, ControllerProcess, ControllerProcess) {
    start_deployment(&["node-a", "node-b"], lease_s)
}

/// Starts the first two of the controllers `names`, which are not connected to each other; the first becomes the leader.
pub fn start_deployment(names: &[&str], lease_s: u64) -> (TestDeployment, ControllerProcess, ControllerProcess) {
    let outside = Runtime::new().unwrap();
    // Workers' leases outlast the tests, so that a task that is gone was stopped and did not expire.
    let mut params = params();
    params.fleet.lease = Duration::from_secs(3600);
    let world = outside.block_on(async { World::open(params) });
    let deployment = TestDeployment::new(outside, world);
    let a = deployment.start_controller(names, 0, lease_s);
    deployment
        .outside
        .block_on(wait_until("the first leads", || async { a.controller.membership.watermark().is_some() }));
    let b = deployment.start_controller(names, 1, lease_s);
    deployment.outside.block_on(wait_until("the second is healthy", || deployment.healthy(&b)));
    (deployment, a, b)
}

impl TestDeployment {
    /// Starts the controller with the index `at` in `names`.
    pub fn start_controller(&self, names: &[&str], at: usize, lease_s: u64) -> ControllerProcess {
        let others: Vec<&str> = names.iter().copied().filter(|name| *name != names[at]).collect();
        let door = self.outside.block_on(self.world.serve_controller(at));
        let lease = format!("leader.lease.seconds={lease_s}");
        ControllerProcess::start_with(&self.world, &settings(names[at], &others, &door), &lease)
    }

    /// Returns whether the controller's health check succeeds.
    pub async fn healthy(&self, at: &ControllerProcess) -> bool {
        send_request(&self.http, Method::GET, &at.addr, "/healthz", None).await.0 == 200
    }

    /// Changes the faults of the emulated state service.
    pub fn faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.world.state.lock().unwrap().faults);
    }

    /// Stops watch events, so that only read barriers bring the controllers' watch caches up to date.
    pub fn quiet_watches(&self) {
        self.faults(|faults| faults.quiet_watches = true);
    }

    /// Returns whether `key` is stored.
    pub fn has(&self, key: &str) -> bool {
        self.world.state.lock().unwrap().store.has(key)
    }

    /// Returns the version of `key` in the store.
    pub fn version(&self, key: &str) -> u64 {
        self.world.state.lock().unwrap().store.version(key)
    }

    /// Returns the stored status of a job, and fails the test if the job is stored with more than one status.
    pub fn stored_status(&self, n: u64) -> StoredStatus {
        let (state, id) = (self.world.state.lock().unwrap(), id(n));
        let has = |prefix: &str| state.store.has(&format!("{prefix}{id}"));
        let (open, done, cancelled) = (has("c/o/"), has("h/d/"), has("h/w/"));
        assert!(u8::from(open) + u8::from(done) + u8::from(cancelled) <= 1, "{id} is stored with more than one status");
        match (open, done, cancelled) {
            (true, ..) => StoredStatus::Open,
            (_, true, _) => StoredStatus::Done,
            (.., true) => StoredStatus::Cancelled,
            _ => StoredStatus::Absent,
        }
    }

    /// Returns the number of the job's tasks that are running on workers.
    pub fn count_live_tasks(&self, n: u64) -> usize {
        self.world.fleet.lock().unwrap().count_live_tasks(&id(n))
    }

    /// Returns how often tasks of the job have been started.
    pub fn count_starts(&self, n: u64) -> usize {
        let task = format!("{}/", id(n));
        self.world.starts.lock().unwrap().iter().filter(|started| started.starts_with(&task)).count()
    }

    /// Returns a machine on which a task of the job runs.
    pub fn machine_running(&self, n: u64) -> String {
        let fleet = self.world.fleet.lock().unwrap();
        let machine = fleet.machine_names().find(|name| fleet.count_live_tasks_on(name, &id(n)) > 0).cloned();
        machine.unwrap()
    }

    /// Sends one request about job `n` to a controller.
    pub async fn send(&self, at: &ControllerProcess, n: u64, how: UserRequest) -> (u16, Value) {
        let path = format!("/work/{}", id(n));
        match how {
            UserRequest::LookUp => send_request(&self.http, Method::GET, &at.addr, &path, None).await,
            UserRequest::Submit => self.submit(at, &small_job(n)).await,
            UserRequest::Cancel => {
                send_request(&self.http, Method::POST, &at.addr, &format!("{path}/withdraw"), None).await
            }
        }
    }

    /// Submits a job description to a controller.
    pub async fn submit(&self, at: &ControllerProcess, job: &Value) -> (u16, Value) {
        send_request(&self.http, Method::POST, &at.addr, "/work", Some(protocol::encode(job))).await
    }

    /// Returns whether the store holds the confirmation of the job's cancellation.
    pub fn is_confirmation_stored(&self, n: u64) -> bool {
        let (state, id) = (self.world.state.lock().unwrap(), id(n));
        let cancelled_at = state.store.version(&format!("h/w/{id}"));
        let confirmed = state.store.value("c/watermark");
        let confirmed: Option<ConfirmedCancellations> =
            confirmed.map(|value| serde_json::from_value(value.clone()).unwrap());
        cancelled_at > 0 && confirmed.is_some_and(|confirmed| cancelled_at <= confirmed.limit_for(&id))
    }

    /// Sends one request, and compares the response with the stored status before and after it. A cancelled job may be
    /// reported as open only if, when the request was sent, no controller had reported the cancellation and none could
    /// have; and it may be reported as cancelled only if the confirmation is stored. Returns the reported status.
    pub async fn request_and_check(&self, at: &ControllerProcess, n: u64, how: UserRequest) -> Option<String> {
        let before = self.stored_status(n);
        let was_confirmed = self.is_confirmation_stored(n) || self.reported_cancelled.lock().unwrap().contains(&n);
        let (code, answer) = self.send(at, n, how).await;
        let after = self.stored_status(n);
        let is_confirmed = self.is_confirmation_stored(n);
        let (node, status) = (&at.controller.settings.node, answer["status"].as_str());
        let is_unconfirmed = before == StoredStatus::Cancelled && !was_confirmed;
        let allowed = match (code, status) {
            (503, None) => true,
            (404, None) => before == StoredStatus::Absent && how != UserRequest::Submit,
            (201, Some("pending")) => before == StoredStatus::Absent && how == UserRequest::Submit,
            (200, Some("pending" | "running")) => {
                (before <= StoredStatus::Open || is_unconfirmed)
                    && after >= StoredStatus::Open
                    && how != UserRequest::Cancel
            }
            (200, Some("done")) => after == StoredStatus::Done,
            (200, Some("withdrawn")) => after == StoredStatus::Cancelled && is_confirmed,
            _ => false,
        };
        assert!(
            allowed,
            "{how:?} of {n} at {node}: {code} {answer}; stored as {before:?} before and {after:?} after, confirmed \
             before: {was_confirmed}, after: {is_confirmed}"
        );
        if status == Some("withdrawn") {
            self.reported_cancelled.lock().unwrap().insert(n);
        }
        status.map(str::to_owned)
    }

    /// Sends these requests to all controllers one after another, in so many rounds. Returns the number of statuses
    /// reported.
    pub async fn request_in_turn<const N: usize>(
        &self,
        nodes: [&ControllerProcess; N],
        n: u64,
        ways: &[UserRequest],
        rounds: usize,
    ) -> usize {
        let mut reported = 0;
        for _ in 0..rounds {
            for how in ways {
                for at in nodes {
                    reported += usize::from(self.request_and_check(at, n, *how).await.is_some());
                }
            }
        }
        reported
    }

    /// Sends these requests to all controllers concurrently, until each controller has answered each a few times.
    pub async fn request_concurrently(&self, nodes: &[&ControllerProcess], n: u64, ways: &[UserRequest]) {
        let each = nodes.iter().flat_map(|at| ways.iter().map(|how| self.request_until_answered(at, n, *how)));
        join_all(each.collect()).await;
    }

    /// Repeats one request until the controller has reported a status [`ANSWERS_PER_REQUEST`] times.
    async fn request_until_answered(&self, at: &ControllerProcess, n: u64, how: UserRequest) {
        let (started_at, mut answered) = (Instant::now(), 0);
        while answered < ANSWERS_PER_REQUEST {
            assert!(
                started_at.elapsed() < WAIT_TIMEOUT,
                "{how:?} of {n} at {}: not answered",
                at.controller.settings.node
            );
            answered += usize::from(self.request_and_check(at, n, how).await.is_some());
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    }

    /// Delays the state service's answers on `path` to the controller with this number, except the next `passing` ones.
    pub fn delay_answers(&self, controller: usize, path: &'static str, passing: u32, by: Duration) {
        let held = HeldResponses { controller: controller.to_string(), path, undelayed: passing, max_delay: by };
        self.faults(|faults| faults.held_responses.push(held));
    }

    /// Ends the delay of answers on `path`, also for answers in flight.
    pub fn stop_delaying_answers(&self, controller: usize, path: &str) {
        let controller = controller.to_string();
        self.faults(|faults| faults.held_responses.retain(|held| held.controller != controller || held.path != path));
    }

    /// Returns how many of the undelayed answers on `path` have not been requested yet.
    pub fn remaining_undelayed_answers(&self, controller: usize, path: &str) -> u32 {
        let (state, controller) = (self.world.state.lock().unwrap(), controller.to_string());
        let mut of =
            state.faults.held_responses.iter().filter(|held| held.controller == controller && held.path == path);
        of.next().map_or(0, |held| held.undelayed)
    }

    /// Returns whether the loaded cluster state of one of these controllers has the cancellation of job `n`.
    pub fn some_cluster_has(&self, nodes: &[&ControllerProcess], n: u64) -> bool {
        let version = self.version(&format!("h/w/{}", id(n)));
        // A leader applies what it stored under its own fencing token to its cluster state itself, ahead of its watch.
        let has = |at: &&ControllerProcess| {
            at.controller
                .membership
                .watermark()
                .is_some_and(|cluster| cluster.fencing_token < version || cluster.revision >= version)
        };
        version > 0 && nodes.iter().any(has)
    }

    /// Checks that all controllers report this status for every request, repeatedly.
    pub async fn all_report<const N: usize>(&self, nodes: [&ControllerProcess; N], n: u64, want: &str) {
        for at in nodes {
            wait_until(want, || async {
                self.request_and_check(at, n, UserRequest::LookUp).await.as_deref() == Some(want)
            })
            .await;
        }
        for _ in 0..5 {
            for how in ALL_REQUESTS {
                for at in nodes {
                    let reported = self.request_and_check(at, n, how).await;
                    assert_eq!(reported.as_deref(), Some(want), "{how:?} of {n} at {}", at.controller.settings.node);
                }
            }
        }
    }

    /// Submits a job at this controller until it is accepted.
    pub async fn submit_until_accepted(&self, at: &ControllerProcess, n: u64, run: Duration) {
        upload(&self.world, &small_job(n), run);
        wait_until("accepted", || async { self.request_and_check(at, n, UserRequest::Submit).await.is_some() }).await;
    }

    /// Waits until the three tasks of the job have been started.
    pub async fn wait_until_running(&self, n: u64) {
        wait_until("running", || async { self.count_starts(n) == 3 }).await;
    }

    /// Ends the controllers and the emulator.
    pub fn end(self, controllers: impl IntoIterator<Item = ControllerProcess>) {
        controllers.into_iter().for_each(drop);
        self.outside.shutdown_background();
    }
}

/// Runs all futures concurrently, and returns their results in the same order.
pub async fn join_all<T>(all: Vec<impl Future<Output = T>>) -> Vec<T> {
    let mut all: Vec<_> = all.into_iter().map(|one| (Box::pin(one), None)).collect();
    std::future::poll_fn(|context| {
        for (one, done) in all.iter_mut().filter(|(_, done)| done.is_none()) {
            if let Poll::Ready(value) = one.as_mut().poll(context) {
                *done = Some(value);
            }
        }
        if all.iter().all(|(_, done)| done.is_some()) { Poll::Ready(()) } else { Poll::Pending }
    })
    .await;
    all.into_iter().filter_map(|(_, done)| done).collect()
}
