//! Runs the emulated world in real time and serves it over HTTP on free ports of the loopback interface. Each
//! controller has a listener of its own for the state service and the cloud, and each worker has one.

mod machines;
pub mod relay;
pub mod request_log;
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
use relay::LinkSwitch;
use request_log::RequestLog;
pub use server::listen;
use state::State;

/// Interval at which the world advances.
const STEP: Duration = Duration::from_millis(20);
/// Prefix of the keys under which the controllers store open jobs.
const OPEN_JOB_PREFIX: &str = "c/o/";

/// Locks a mutex. A poisoned lock means a panic elsewhere; the state itself is consistent.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// The parameters of an emulated world.
pub struct Params {
    /// Rate and size limits of the state service.
    pub limits: Limits,
    /// Types, capacity and behaviour of the cloud.
    pub cloud: cloud::Params,
    /// Timeouts of the workers.
    pub fleet: fleet::Params,
    /// How new machines boot.
    pub boots: BootMode,
    /// Mean interval between two heartbeats of a worker; each interval varies by up to a quarter.
    pub heartbeat: Duration,
    /// Maximum number of keys or machines on one page of a listing, whatever the request asks for.
    pub max_page_items: usize,
    /// Seed of all random draws.
    pub seed: u64,
    /// Whether events are recorded for the judge.
    pub judged: bool,
}

/// One of a controller's network links.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Link {
    /// The link to the state service.
    Store,
    /// The link to the cloud.
    Cloud,
    /// The link to and from the workers.
    Workers,
    /// The link from the users.
    Users,
    /// The link to the controller of this number.
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
    /// Requests that were carried out, if they are recorded.
    pub request_log: Mutex<RequestLog>,
    /// Events for the judge; empty unless [`Params::judged`].
    pub record: Mutex<Vec<Entry>>,
    /// The addresses of each machine's worker, by controller; a single address if no controller's link has a switch.
    worker_addrs: Mutex<HashMap<String, Vec<String>>>,
    link_switches: Mutex<HashMap<(usize, Link), Arc<LinkSwitch>>>,
    cloud_calls: Mutex<u64>,
    params: Params,
    started: Instant,
    http: Http,
}

impl World {
    /// Starts a world whose time runs from now on. Must be called within a Tokio runtime.
    pub fn open(params: Params) -> Arc<Self> {
        let mut cloud = Cloud::new(params.cloud.clone(), params.seed);
        cloud.set_boots(params.boots);
        let world = Arc::new(Self {
            state: Mutex::new(State::new(params.limits, params.max_page_items)),
            cloud: Mutex::new(cloud),
            fleet: Mutex::new(Fleet::new(params.fleet)),
            nodes: Mutex::default(),
            starts: Mutex::default(),
            request_log: Mutex::default(),
            record: Mutex::default(),
            worker_addrs: Mutex::default(),
            link_switches: Mutex::default(),
            cloud_calls: Mutex::default(),
            params,
            started: Instant::now(),
            http: Http::default(),
        });
        tokio::spawn(world.clone().run());
        world
    }

    /// Time since the start of the world.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Number of requests that the cloud has received so far.
    pub fn cloud_calls(&self) -> u64 {
        *lock(&self.cloud_calls)
    }

    /// The switch of one link of a controller.
    pub fn link_switch(&self, controller: usize, link: Link) -> Arc<LinkSwitch> {
        lock(&self.link_switches).entry((controller, link)).or_default().clone()
    }

    /// Records an event for the judge, if [`Params::judged`] is set.
    pub fn record_event(&self, event: Event) {
        if self.params.judged {
            lock(&self.record).push(Entry { at: self.now(), event });
        }
    }

    /// Runs an action on the workers, and records the events that it caused before the lock is released.
    pub fn with_fleet<T>(&self, action: impl FnOnce(&mut Fleet, Duration) -> T) -> T {
        // Time is rounded down to whole steps, so that for the workers all actions within a step are simultaneous.
        let steps = self.now().as_millis() / STEP.as_millis();
        let now = STEP * u32::try_from(steps).unwrap_or(u32::MAX);
        let mut fleet = lock(&self.fleet);
        let outcome = action(&mut fleet, now);
        for event in fleet.drain_events() {
            if let AttemptEvent::Started { task, .. } = &event {
                lock(&self.starts).push(format!("{}/{}", task.job, task.index));
            }
            self.record_event(Event::Machine(event));
        }
        outcome
    }

    /// Makes a job's description available to the workers.
    pub fn upload(&self, upload: Upload) {
        self.with_fleet(|fleet, _| fleet.upload(upload));
    }

    /// Uploads the descriptions of jobs that the controllers store, for worlds in which users do not upload them. Each
    /// task runs for as long as its user estimates, or for `default_run` without an estimate.
    pub fn upload_stored_jobs(self: &Arc<Self>, default_run: Duration) {
        let world = self.clone();
        tokio::spawn(async move {
            let mut revision = 0;
            loop {
                revision = world.upload_jobs_since(revision, default_run);
                tokio::time::sleep(STEP).await;
            }
        });
    }

    /// Uploads the jobs stored after a revision. Returns the revision up to which all jobs are uploaded.
    fn upload_jobs_since(&self, revision: u64, default_run: Duration) -> u64 {
        let changes = lock(&self.state).store.watch(OPEN_JOB_PREFIX, revision);
        let Ok(changes) = changes else { return revision };
        for event in changes.log.into_iter().filter(|event| event.write.is_some()) {
            let Ok(spec) = serde_json::from_value::<JobSpec>(event.value["spec"].clone()) else { continue };
            let run = match spec.shape {
                Shape::Service => Duration::ZERO,
                _ if spec.estimate_s > 0.0 => spec.estimate(),
                _ => default_run,
            };
            self.upload(Upload { spec, run, broken: false });
        }
        changes.revision
    }

    /// Advances the world: machines boot, receive interruption notices and are interrupted, and heartbeat copies are
    /// delivered.
    async fn run(self: Arc<Self>) {
        loop {
            let now = self.now();
            let events = lock(&self.cloud).tick(now);
            for event in events {
                match event {
                    cloud::Event::Up(name) => self.start_machine(&name).await,
                    cloud::Event::Notice(name, left) => self.notify_interruption(&name, left),
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
