//! Users who look closely: what any node tells them is held against what is stored before and after its answer.

use std::future::Future;
use std::sync::Arc;
use std::task::Poll;
use std::time::{Duration, Instant};

use hollylanding::protocol::{self, Http};
use hollylanding_emulator::driver::state::{Faults, HeldBack};
use hyper::Method;
use serde_json::{Value, json};
use tokio::runtime::Runtime;

use super::{ControllerProcess, LONG, World, ask, job, params, settings, until, upload};

/// How far a job is, by what is stored of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stands {
    Nowhere,
    Open,
    Done,
    Cancelled,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum How {
    LookUp,
    Submit,
    Cancel,
}

pub const LOOKS: [How; 2] = [How::LookUp, How::Submit];
pub const ALL: [How; 3] = [How::LookUp, How::Submit, How::Cancel];

/// Answers of one kind by one node, where all are asked at once.
const ANSWERS: usize = 3;
const BETWEEN_LOOKS: Duration = Duration::from_millis(5);

pub struct Stage {
    pub outside: Runtime,
    pub world: Arc<World>,
    pub http: Http,
}

pub fn id(n: u64) -> String {
    format!("run-{n:06}")
}

/// Three tasks, of which a machine holds many.
pub fn small(n: u64) -> Value {
    let mut job = job(n, 3);
    (job["cpus"], job["memGb"]) = (json!(0.1), json!(0.1));
    job
}

/// The leader and another controller, which do not hear each other, and how long an election lease is.
pub fn stage(lease_s: u64) -> (Stage, ControllerProcess, ControllerProcess) {
    stage_among(&["node-a", "node-b"], lease_s)
}

/// The first two of these controllers, none of which hears another; the first leads.
pub fn stage_among(names: &[&str], lease_s: u64) -> (Stage, ControllerProcess, ControllerProcess) {
    let outside = Runtime::new().unwrap();
    // Workers' leases outlast these tests: what is gone was stopped.
    let mut params = params();
    params.fleet.lease = Duration::from_secs(3600);
    let world = outside.block_on(async { World::open(params) });
    let stage = Stage { outside, world, http: Http::default() };
    let a = stage.starts(names, 0, lease_s);
    stage.outside.block_on(until("the first leads", || async { a.controller.membership.watermark().is_some() }));
    let b = stage.starts(names, 1, lease_s);
    stage.outside.block_on(until("the second is healthy", || stage.healthy(&b)));
    (stage, a, b)
}

impl Stage {
    /// The controller of this number among these.
    pub fn starts(&self, names: &[&str], at: usize, lease_s: u64) -> ControllerProcess {
        let others: Vec<&str> = names.iter().copied().filter(|name| *name != names[at]).collect();
        let door = self.outside.block_on(self.world.door(at));
        let lease = format!("leader.lease.seconds={lease_s}");
        ControllerProcess::start_with(&self.world, &settings(names[at], &others, &door), &lease)
    }

    pub async fn healthy(&self, at: &ControllerProcess) -> bool {
        ask(&self.http, Method::GET, &at.addr, "/healthz", None).await.0 == 200
    }

    pub fn faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.world.state.lock().unwrap().faults);
    }

    /// Mirrors learn by proofs of freshness alone: what just happened is not in them by itself.
    pub fn quiet_watches(&self) {
        self.faults(|faults| faults.quiet_watches = true);
    }

    pub fn has(&self, key: &str) -> bool {
        self.world.state.lock().unwrap().store.has(key)
    }

    pub fn version(&self, key: &str) -> u64 {
        self.world.state.lock().unwrap().store.version(key)
    }

    pub fn stands(&self, n: u64) -> Stands {
        let (state, id) = (self.world.state.lock().unwrap(), id(n));
        let has = |prefix: &str| state.store.has(&format!("{prefix}{id}"));
        let (open, done, cancelled) = (has("c/o/"), has("h/d/"), has("h/w/"));
        assert!(u8::from(open) + u8::from(done) + u8::from(cancelled) <= 1, "{id} stands twice");
        match (open, done, cancelled) {
            (true, ..) => Stands::Open,
            (_, true, _) => Stands::Done,
            (.., true) => Stands::Cancelled,
            _ => Stands::Nowhere,
        }
    }

    pub fn live(&self, n: u64) -> usize {
        self.world.fleet.lock().unwrap().live(&id(n))
    }

    pub fn started(&self, n: u64) -> usize {
        let task = format!("{}/", id(n));
        self.world.starts.lock().unwrap().iter().filter(|started| started.starts_with(&task)).count()
    }

    pub async fn ask(&self, at: &ControllerProcess, n: u64, how: How) -> (u16, Value) {
        let path = format!("/work/{}", id(n));
        match how {
            How::LookUp => ask(&self.http, Method::GET, &at.addr, &path, None).await,
            How::Submit => self.submit(at, &small(n)).await,
            How::Cancel => ask(&self.http, Method::POST, &at.addr, &format!("{path}/withdraw"), None).await,
        }
    }

    pub async fn submit(&self, at: &ControllerProcess, job: &Value) -> (u16, Value) {
        ask(&self.http, Method::POST, &at.addr, "/work", Some(protocol::encode(job))).await
    }

    /// Asks once, and holds the answer against what is stored before and after it. What was told, if anything.
    pub async fn look(&self, at: &ControllerProcess, n: u64, how: How) -> Option<String> {
        let before = self.stands(n);
        let (code, answer) = self.ask(at, n, how).await;
        let after = self.stands(n);
        let (node, status) = (&at.controller.settings.node, answer["status"].as_str());
        let may = match (code, status) {
            (503, None) => true,
            (404, None) => before == Stands::Nowhere && how != How::Submit,
            (201, Some("pending")) => before == Stands::Nowhere && how == How::Submit,
            (200, Some("pending" | "running")) => before <= Stands::Open && after >= Stands::Open && how != How::Cancel,
            (200, Some("done")) => after == Stands::Done,
            (200, Some("withdrawn")) => after == Stands::Cancelled,
            _ => false,
        };
        assert!(may, "{how:?} of {n} at {node}: {code} {answer}, which stood {before:?} before and {after:?} after");
        status.map(str::to_owned)
    }

    /// All nodes one after another, in all these ways, so often. How many were answered.
    pub async fn looks<const N: usize>(
        &self,
        nodes: [&ControllerProcess; N],
        n: u64,
        ways: &[How],
        rounds: usize,
    ) -> usize {
        let mut told = 0;
        for _ in 0..rounds {
            for how in ways {
                for at in nodes {
                    told += usize::from(self.look(at, n, *how).await.is_some());
                }
            }
        }
        told
    }

    /// All nodes at once, in all these ways, within milliseconds, until each has answered each a few times.
    pub async fn all_answer(&self, nodes: &[&ControllerProcess], n: u64, ways: &[How]) {
        let each = nodes.iter().flat_map(|at| ways.iter().map(|how| self.answers(at, n, *how)));
        join_all(each.collect()).await;
    }

    async fn answers(&self, at: &ControllerProcess, n: u64, how: How) {
        let (begun, mut answered) = (Instant::now(), 0);
        while answered < ANSWERS {
            assert!(begun.elapsed() < LONG, "{how:?} of {n} at {}: not answered", at.controller.settings.node);
            answered += usize::from(self.look(at, n, how).await.is_some());
            tokio::time::sleep(BETWEEN_LOOKS).await;
        }
    }

    /// From now on answers of this path to the controller of this number come so much later, but for the next few.
    pub fn hold_back(&self, controller: usize, path: &'static str, passing: u32, by: Duration) {
        let held = HeldBack { controller: controller.to_string(), path, passing, by };
        self.faults(|faults| faults.held_back.push(held));
    }

    /// They come at once again, also those that are on their way.
    pub fn let_go(&self, controller: usize, path: &str) {
        let controller = controller.to_string();
        self.faults(|faults| faults.held_back.retain(|held| held.controller != controller || held.path != path));
    }

    /// How many of the answers that may pass have not been asked for.
    pub fn still_passing(&self, controller: usize, path: &str) -> u32 {
        let (state, controller) = (self.world.state.lock().unwrap(), controller.to_string());
        let mut of = state.faults.held_back.iter().filter(|held| held.controller == controller && held.path == path);
        of.next().map_or(0, |held| held.passing)
    }

    /// Somebody's loaded cluster state has the cancellation of this job.
    pub fn some_cluster_has(&self, nodes: &[&ControllerProcess], n: u64) -> bool {
        let version = self.version(&format!("h/w/{}", id(n)));
        // What was stored under its own fencing token a leader has put into its cluster state itself, ahead of its
        // watch.
        let has = |at: &&ControllerProcess| {
            at.controller
                .membership
                .watermark()
                .is_some_and(|cluster| cluster.fencing_token < version || cluster.revision >= version)
        };
        version > 0 && nodes.iter().any(has)
    }

    /// Everybody says so, in every way, again and again.
    pub async fn all_say<const N: usize>(&self, nodes: [&ControllerProcess; N], n: u64, want: &str) {
        for at in nodes {
            until(want, || async { self.look(at, n, How::LookUp).await.as_deref() == Some(want) }).await;
        }
        for _ in 0..5 {
            for how in ALL {
                for at in nodes {
                    let told = self.look(at, n, how).await;
                    assert_eq!(told.as_deref(), Some(want), "{how:?} of {n} at {}", at.controller.settings.node);
                }
            }
        }
    }

    /// Submitted at this node until accepted.
    pub async fn accepted(&self, at: &ControllerProcess, n: u64, run: Duration) {
        upload(&self.world, &small(n), run);
        until("accepted", || async { self.look(at, n, How::Submit).await.is_some() }).await;
    }

    pub async fn running(&self, n: u64) {
        until("running", || async { self.started(n) == 3 }).await;
    }

    pub fn end(self, controllers: impl IntoIterator<Item = ControllerProcess>) {
        controllers.into_iter().for_each(drop);
        self.outside.shutdown_background();
    }
}

/// All of them at once, in their order.
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
