//! Drives the world in real time and serves it over HTTP on the loopback interface, on whatever ports the system gives:
//! the state service and the cloud to each controller by itself, and a listener for each worker.

mod machines;
pub mod relay;
mod server;
pub mod state;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use hollylanding_protocol::Http;
use hollylanding_protocol::jobs::{JobSpec, Shape};

use crate::judge::{Entry, Event};
use crate::world::cloud::{self, BootMode, Cloud};
use crate::world::fleet::{self, AttemptEvent, Fleet, Upload};
use crate::world::store::Limits;
use relay::Gate;
pub use server::listen;
use state::State;

/// Interval at which the world advances.
const STEP: Duration = Duration::from_millis(20);
/// Prefix of the keys under which the controllers store jobs.
const JOBS: &str = "c/o/";

/// Locks a mutex. A poisoned lock means a panic elsewhere; the state itself is consistent.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// The parameters of an emulated world.
pub struct Params {
    /// Limits of the state service.
    pub limits: Limits,
    /// Types, capacity and behaviour of the cloud.
    pub cloud: cloud::Params,
    /// Timeouts of the workers.
    pub fleet: fleet::Params,
    /// How new machines boot.
    pub boots: BootMode,
    /// Interval between two heartbeats of a worker; each one varies by up to a quarter.
    pub heartbeat: Duration,
    /// The most keys or machines on one page of a listing, whatever the request asks for.
    pub page_most: usize,
    /// Seed of all randomness.
    pub seed: u64,
    /// Whether events are recorded for the judge.
    pub judged: bool,
}

/// One of a controller's network links.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Link {
    /// To the state service.
    Store,
    /// To the cloud.
    Cloud,
    /// To and from the workers.
    Workers,
    /// From the users.
    Users,
    /// To the controller of this number.
    Peer(usize),
}

/// A controller as workers address it.
#[derive(Debug, Clone)]
pub struct Node {
    /// The controller's name.
    pub name: String,
    /// The address (`host:port`) to which workers report.
    pub addr: String,
}

/// Everything outside the controllers: the state service, the cloud and the workers.
pub struct World {
    /// The state service.
    pub state: Mutex<State>,
    /// The cloud.
    pub cloud: Mutex<Cloud>,
    /// The workers.
    pub fleet: Mutex<Fleet>,
    /// The controllers that workers report to.
    pub nodes: Mutex<Vec<Node>>,
    /// Tasks (`job/index`) in the order in which they were started.
    pub starts: Mutex<Vec<String>>,
    /// Events for the judge; empty unless [`Params::judged`].
    pub record: Mutex<Vec<Entry>>,
    /// Where each machine's worker listens, by controller; once for all where there are no gates.
    addrs: Mutex<HashMap<String, Vec<String>>>,
    gates: Mutex<HashMap<(usize, Link), Arc<Gate>>>,
    calls: Mutex<u64>,
    params: Params,
    begun: Instant,
    http: Http,
}

impl World {
    /// Starts a world whose time runs from now on. It must be called within a Tokio runtime.
    pub fn open(params: Params) -> Arc<Self> {
        let mut cloud = Cloud::new(params.cloud.clone(), params.seed);
        cloud.set_boots(params.boots);
        let world = Arc::new(Self {
            state: Mutex::new(State::new(params.limits, params.page_most)),
            cloud: Mutex::new(cloud),
            fleet: Mutex::new(Fleet::new(params.fleet)),
            nodes: Mutex::default(),
            starts: Mutex::default(),
            record: Mutex::default(),
            addrs: Mutex::default(),
            gates: Mutex::default(),
            calls: Mutex::default(),
            params,
            begun: Instant::now(),
            http: Http::default(),
        });
        tokio::spawn(world.clone().run());
        world
    }

    /// Time since the world began.
    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Number of requests that the cloud has received so far.
    pub fn cloud_calls(&self) -> u64 {
        *lock(&self.calls)
    }

    /// The switch of one link of a controller.
    pub fn gate(&self, controller: usize, link: Link) -> Arc<Gate> {
        lock(&self.gates).entry((controller, link)).or_default().clone()
    }

    /// Records an event, if anybody judges.
    pub fn note(&self, event: Event) {
        if self.params.judged {
            lock(&self.record).push(Entry { at: self.now(), event });
        }
    }

    /// Runs an action on the workers, and records what it brought about before anybody else sees it.
    pub fn with_fleet<T>(&self, act: impl FnOnce(&mut Fleet, Duration) -> T) -> T {
        // In whole steps, so that what comes within one is one moment to the workers.
        let steps = self.now().as_millis() / STEP.as_millis();
        let now = STEP * u32::try_from(steps).unwrap_or(u32::MAX);
        let mut fleet = lock(&self.fleet);
        let outcome = act(&mut fleet, now);
        for happening in fleet.drain_events() {
            if let AttemptEvent::Started { task, .. } = &happening {
                lock(&self.starts).push(format!("{}/{}", task.job, task.index));
            }
            self.note(Event::Machine(happening));
        }
        outcome
    }

    /// Makes a job's description available to the workers.
    pub fn upload(&self, upload: Upload) {
        self.with_fleet(|fleet, _| fleet.upload(upload));
    }

    /// Workers fetch a job's description by themselves. Where nobody uploads it, it is taken from what the controllers
    /// store, and each task then runs for as long as its user estimates, or for `usual`.
    pub fn learn_uploads(self: &Arc<Self>, usual: Duration) {
        let world = self.clone();
        tokio::spawn(async move {
            let mut revision = 0;
            loop {
                revision = world.learn_since(revision, usual);
                tokio::time::sleep(STEP).await;
            }
        });
    }

    /// Uploads the jobs stored after a revision. Returns the revision up to which they are known.
    fn learn_since(&self, revision: u64, usual: Duration) -> u64 {
        let changes = lock(&self.state).store.watch(JOBS, revision);
        let Ok(changes) = changes else { return revision };
        for event in changes.log.into_iter().filter(|event| event.write.is_some()) {
            let Ok(spec) = serde_json::from_value::<JobSpec>(event.value["spec"].clone()) else { continue };
            let run = match spec.shape {
                Shape::Service => Duration::ZERO,
                _ if spec.estimate_s > 0.0 => spec.estimate(),
                _ => usual,
            };
            self.upload(Upload { spec, run, broken: false });
        }
        changes.revision
    }

    /// Advances the world: machines come up, receive notice that they will be taken, and are taken.
    async fn run(self: Arc<Self>) {
        loop {
            let now = self.now();
            let events = lock(&self.cloud).tick(now);
            for event in events {
                match event {
                    cloud::Event::Up(name) => self.up(&name).await,
                    cloud::Event::Notice(name, left) => self.notice(&name, left),
                    cloud::Event::Interrupted(name) => self.with_fleet(|fleet, now| fleet.remove_machine(&name, now)),
                }
            }
            let copies = self.with_fleet(|fleet, now| {
                fleet.tick(now);
                fleet.copies_due(now)
            });
            copies.into_iter().for_each(|heartbeat| self.deliver_copy(heartbeat));
            tokio::time::sleep(STEP).await;
        }
    }
}
