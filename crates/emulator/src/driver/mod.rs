//! Drives the world in real time and serves it over HTTP on loopback, on whatever ports the system
//! gives: the state service and the cloud to each controller by itself, and a listener a worker.

pub mod relay;
pub mod state;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use hollylanding_wire::cloud::{Names, Rental};
use hollylanding_wire::jobs::{JobSpec, Shape};
use hollylanding_wire::workers::{Orders, Report};
use hollylanding_wire::{self as wire, Http};
use hyper::Method;
use salvo::conn::tcp::TcpListener;
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde_json::{Value, json};

use crate::judge::{Entry, Event};
use crate::world::cloud::{self, Boots, Cloud};
use crate::world::fleet::{self, Fleet, Happening, Upload};
use crate::world::store::{Limits, Refusal};
use relay::{Gate, relay};
use state::{Outcome, State};

/// How often time goes by.
const STEP: Duration = Duration::from_millis(20);
/// What is never answered is held for this long: longer than anybody waits.
const SILENCE: Duration = Duration::from_secs(20);
/// How soon an answer that was held back goes on once it may.
const HELD_BACK_STEP: Duration = Duration::from_millis(5);
/// Workers report a change no sooner than this after the last report, and turn to the next
/// controller after this long.
const CHANGE_GAP: Duration = Duration::from_millis(500);
const NEXT_AFTER: Duration = Duration::from_secs(1);
const ANSWER_WITHIN: Duration = Duration::from_secs(4);

/// A poisoned lock means a panic elsewhere; the state itself is whole.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

pub struct Params {
    pub limits: Limits,
    pub cloud: cloud::Params,
    pub fleet: fleet::Params,
    pub boots: Boots,
    /// Between two reports of a worker; a quarter more or less.
    pub report: Duration,
    /// Keys of a listing and machines of a list at the most, whatever is asked.
    pub page_most: usize,
    pub seed: u64,
    /// Whether everything that happens is kept for the judge.
    pub judged: bool,
}

/// Which of a controller's links.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Link {
    Store,
    Cloud,
    Workers,
    Users,
    /// To the controller of this number.
    Peer(usize),
}

/// A controller, as workers turn to it.
#[derive(Debug, Clone)]
pub struct Node {
    pub name: String,
    pub addr: String,
}

/// Everything outside the controllers.
pub struct World {
    pub state: Mutex<State>,
    pub cloud: Mutex<Cloud>,
    pub fleet: Mutex<Fleet>,
    pub nodes: Mutex<Vec<Node>>,
    /// Tasks in the order in which they were started.
    pub starts: Mutex<Vec<String>>,
    /// What the judge sees, if anybody judges.
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
        tokio::spawn(world.clone().play());
        world
    }

    /// Time since the world began.
    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Requests that came to the cloud so far.
    pub fn cloud_calls(&self) -> u64 {
        *lock(&self.calls)
    }

    pub fn gate(&self, controller: usize, link: Link) -> Arc<Gate> {
        lock(&self.gates).entry((controller, link)).or_default().clone()
    }

    /// Keeps what happened, if anybody judges.
    pub fn note(&self, event: Event) {
        if self.params.judged {
            lock(&self.record).push(Entry { at: self.now(), event });
        }
    }

    /// Does something to the workers, and keeps what came of it before anybody hears.
    pub fn with_fleet<T>(&self, act: impl FnOnce(&mut Fleet, Duration) -> T) -> T {
        // In whole steps, so that what comes within one is one moment to the workers.
        let steps = self.now().as_millis() / STEP.as_millis();
        let now = STEP * u32::try_from(steps).unwrap_or(u32::MAX);
        let mut fleet = lock(&self.fleet);
        let outcome = act(&mut fleet, now);
        for happening in fleet.happened() {
            if let Happening::Started { task, .. } = &happening {
                lock(&self.starts).push(format!("{}/{}", task.job, task.index));
            }
            self.note(Event::Machine(happening));
        }
        outcome
    }

    /// A user uploads a job for the workers.
    pub fn upload(&self, upload: Upload) {
        self.with_fleet(|fleet, _| fleet.upload(upload));
    }

    /// Workers fetch a job's description by themselves. Where nobody uploads, it is taken from what the
    /// controllers store, and each task then runs for as long as its owner expects, or for `usual`.
    pub fn learn_uploads(self: &Arc<Self>, usual: Duration) {
        let world = self.clone();
        tokio::spawn(async move {
            let mut seen = 0;
            loop {
                let told = lock(&world.state).store.follow("c/o/", seen);
                let log = match told {
                    Ok(told) => {
                        seen = told.revision;
                        told.log
                    }
                    Err(_) => Vec::new(),
                };
                for event in log.into_iter().filter(|e| e.write.is_some()) {
                    if let Ok(spec) = serde_json::from_value::<JobSpec>(event.value["spec"].clone()) {
                        let run = if spec.estimate_s > 0.0 { spec.estimate() } else { usual };
                        let run = if spec.shape == Shape::Service { Duration::ZERO } else { run };
                        world.upload(Upload { spec, run, broken: false });
                    }
                }
                tokio::time::sleep(STEP).await;
            }
        });
    }

    /// The state service and the cloud as one listener, for the controller of this number.
    pub async fn door(self: &Arc<Self>, controller: usize) -> String {
        listen(router(Door { world: self.clone(), machine: None, node: controller.to_string() })).await
    }

    /// Time goes by: machines come up, are told that they will be taken, and are.
    async fn play(self: Arc<Self>) {
        loop {
            let now = self.now();
            let events = lock(&self.cloud).tick(now);
            for event in events {
                match event {
                    cloud::Event::Up(name) => self.up(&name).await,
                    cloud::Event::Notice(name, left) => self.notice(&name, left),
                    cloud::Event::Taken(name) => self.with_fleet(|fleet, now| fleet.gone(&name, now)),
                }
            }
            let copies = self.with_fleet(|fleet, now| {
                fleet.tick(now);
                fleet.copies_due(now)
            });
            copies.into_iter().for_each(|report| self.deliver_copy(report));
            tokio::time::sleep(STEP).await;
        }
    }

    /// A late copy comes to every controller, whoever leads by now; what they answer reaches nobody.
    fn deliver_copy(self: &Arc<Self>, mut report: Report) {
        for (at, node) in lock(&self.nodes).clone().into_iter().enumerate() {
            report.addr = self.addr_for(&report.machine, at).unwrap_or(report.addr);
            let (world, body) = (self.clone(), Some(wire::encode(&report)));
            tokio::spawn(
                async move { world.http.call(Method::POST, &node.addr, "/v1/report", body, ANSWER_WITHIN).await },
            );
        }
    }

    pub fn notice(&self, machine: &str, left: Duration) {
        self.with_fleet(|fleet, now| fleet.recall(machine, now + left));
    }

    /// A machine stops with all that is on it, unnoticed by the cloud for a while.
    pub fn kill(&self, machine: &str) {
        self.with_fleet(|fleet, now| fleet.gone(machine, now));
        lock(&self.cloud).kill(machine, self.now());
    }

    async fn up(self: &Arc<Self>, name: &str) {
        let Some(rented) = lock(&self.cloud).machine(name) else { return };
        let addr =
            listen(router(Door { world: self.clone(), machine: Some(name.to_owned()), node: String::new() })).await;
        let gated: Vec<usize> =
            lock(&self.gates).keys().filter(|(_, link)| *link == Link::Workers).map(|(n, _)| *n).collect();
        let mut addrs = vec![addr.clone(); gated.iter().max().map_or(1, |n| n + 1)];
        for controller in gated {
            if let Ok(behind) = relay(addr.clone(), self.gate(controller, Link::Workers)).await {
                addrs[controller] = behind;
            }
        }
        lock(&self.addrs).insert(name.to_owned(), addrs);
        lock(&self.cloud).set_addr(name, addr.clone());
        let (of, zone, spot) = rented;
        self.note(Event::Up { machine: name.to_owned(), type_name: of.name.clone(), zone: zone.clone(), spot });
        let machine = fleet::Machine { addr, of, zone, spot, speed: 1.0 };
        self.with_fleet(|fleet, now| fleet.up(name, machine, now));
        tokio::spawn(self.clone().work(name.to_owned()));
    }

    /// The address of a machine's worker as the controller of this number reaches it.
    fn addr_for(&self, machine: &str, controller: usize) -> Option<String> {
        let addrs = lock(&self.addrs);
        let of = addrs.get(machine)?;
        of.get(controller).or(of.first()).cloned()
    }

    /// A machine reports for as long as it is rented, to whichever controller takes it.
    async fn work(self: Arc<Self>, name: String) {
        let report_every = self.params.report;
        let (gap, next_after) = (CHANGE_GAP.min(report_every), NEXT_AFTER.min(report_every));
        let mut turn = name.bytes().map(usize::from).sum::<usize>();
        let (mut told, mut due, mut earliest) = (None, self.now(), self.now());
        loop {
            let Some(digest) = lock(&self.fleet).digest(&name) else { return };
            let sent = self.now();
            if sent < earliest || (sent < due && told == Some(digest)) {
                tokio::time::sleep(STEP).await;
                continue;
            }
            // A hanging machine says nothing, and goes on later.
            let Some(mut report) = self.with_fleet(|fleet, now| fleet.report(&name, now)) else {
                tokio::time::sleep(STEP * 5).await;
                continue;
            };
            (told, earliest) = (Some(digest), sent + gap);
            let part = f64::from(digest as u8) / 255.0;
            due = sent + report_every.mul_f64(0.75 + part / 2.0);
            let nodes = lock(&self.nodes).clone();
            let at = turn % nodes.len().max(1);
            let Some(node) = nodes.get(at) else {
                tokio::time::sleep(STEP).await;
                continue;
            };
            report.addr = self.addr_for(&name, at).unwrap_or(report.addr);
            let body = Some(wire::encode(&report));
            let answer = self.http.call(Method::POST, &node.addr, "/v1/report", body, ANSWER_WITHIN).await;
            // What does not hear waits as long as for no answer, and turns to the next.
            let hears = lock(&self.fleet).hears(&name, self.now());
            if !hears {
                tokio::time::sleep((sent + ANSWER_WITHIN).saturating_sub(self.now())).await;
            }
            match answer {
                _ if !hears => {
                    turn += 1;
                    (told, earliest) = (None, self.now() + next_after);
                }
                Ok((200, body)) => {
                    if let Ok(orders) = wire::decode::<Orders>(&body) {
                        self.with_fleet(|fleet, now| fleet.answer(&name, report.session, sent, &orders, now));
                    }
                }
                Ok((421, body)) => {
                    let answer: Value = wire::decode(&body).unwrap_or_default();
                    let named = nodes.iter().position(|n| answer["dispatcher"] == n.name.as_str());
                    match named.filter(|n| *n != at) {
                        Some(owner) => (turn, due, earliest) = (owner, sent, sent),
                        None => {
                            turn += 1;
                            (told, earliest) = (None, self.now() + next_after);
                        }
                    }
                }
                _ => {
                    turn += 1;
                    (told, earliest) = (None, self.now() + next_after);
                }
            }
        }
    }

    /// What the cloud answers.
    fn of_cloud(&self, node: usize, path: &str, req: &mut Request, body: Value) -> Result<Value, cloud::Refusal> {
        let now = self.now();
        *lock(&self.calls) += 1;
        let mut cloud = lock(&self.cloud);
        cloud.admit(now)?;
        let malformed = |_| cloud::Refusal::Malformed("not in its form");
        let answer = match (path, req.method().as_str()) {
            ("/catalog", _) => serde_json::to_value(cloud.catalog(now)),
            ("/rentals", "POST") => {
                let rental: Rental = serde_json::from_value(body).map_err(malformed)?;
                serde_json::to_value(Names { machines: cloud.rent(&rental, now)? })
            }
            ("/rentals/return", _) => {
                let names: Names = serde_json::from_value(body).map_err(malformed)?;
                let held = cloud.give_back(&names.machines, now)?;
                drop(cloud);
                self.with_fleet(|fleet, now| held.iter().for_each(|name| fleet.gone(name, now)));
                serde_json::to_value(Names { machines: held })
            }
            _ => {
                let most = param(req, "most").parse().unwrap_or(usize::MAX).min(self.params.page_most);
                let mut page = cloud.list(&param(req, "since"), most, now);
                drop(cloud);
                for machine in &mut page.machines {
                    machine.addr = self.addr_for(&machine.id, node);
                }
                serde_json::to_value(page)
            }
        };
        answer.map_err(malformed)
    }

    /// A watch is answered when there is something to tell, or when its time is over.
    async fn watch(&self, node: &str, req: &mut Request) -> (u16, Value) {
        let wait: u64 = param(req, "waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let (prefix, since) = (param(req, "prefix"), param(req, "since").parse().unwrap_or(0));
        loop {
            {
                let mut state = lock(&self.state);
                // During an outage open watches wait; the store tells nothing to one it refuses.
                let quiet = state.faults.quiet_watches && Instant::now() < until;
                if state.store.serves(node) && !quiet {
                    match state.follow(&prefix, since) {
                        Some(Ok(told)) => return (200, told),
                        Some(Err(refusal)) => return (refusal.status(), Value::Null),
                        None => {}
                    }
                    if Instant::now() >= until {
                        return (200, state.nothing_new());
                    }
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    async fn transact(self: &Arc<Self>, body: Value) -> Result<Value, Refusal> {
        // Taken apart from the waiting: no lock is held over it.
        let outcome = lock(&self.state).txn(&body);
        match outcome {
            Outcome::Answer(answer) => return answer,
            Outcome::Silence => {}
            Outcome::Later(after) => {
                let world = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(after).await;
                    lock(&world.state).apply_late(&body);
                });
            }
        }
        tokio::time::sleep(SILENCE).await;
        Err(Refusal::Unavailable)
    }

    async fn answer(self: &Arc<Self>, door: &Door, req: &mut Request) -> (u16, Value) {
        let path = req.uri().path().to_owned();
        let body: Value = match req.payload().await {
            Ok(body) if !body.is_empty() => wire::decode(body).unwrap_or_default(),
            _ => Value::Null,
        };
        if let Some(name) = &door.machine {
            let Ok(orders) = serde_json::from_value::<Orders>(body) else { return (400, Value::Null) };
            return match self.with_fleet(|fleet, now| fleet.command(name, &orders, now)) {
                Some((taken, report)) => {
                    (if taken { 200 } else { 409 }, serde_json::to_value(report).unwrap_or_default())
                }
                None => {
                    // It hangs, or it is gone: either way it says nothing.
                    tokio::time::sleep(SILENCE).await;
                    (503, Value::Null)
                }
            };
        }
        if path.starts_with("/rentals") || path == "/catalog" {
            return match self.of_cloud(door.node.parse().unwrap_or(0), &path, req, body) {
                Ok(answer) => (200, answer),
                Err(refusal) => {
                    let (status, why) = refusal.wire();
                    (status, json!({"error": why}))
                }
            };
        }
        let answer = self.of_state(door, &path, req, body).await;
        let slow = lock(&self.state).faults.slow;
        tokio::time::sleep(slow).await;
        self.hold_back(&door.node, &path).await;
        answer
    }

    /// Waits for as long as this answer is held back.
    async fn hold_back(&self, controller: &str, path: &str) {
        let Some(by) = lock(&self.state).faults.hold_back(controller, path) else { return };
        let until = Instant::now() + by;
        while Instant::now() < until && lock(&self.state).faults.holds_back(controller, path) {
            tokio::time::sleep(HELD_BACK_STEP).await;
        }
    }

    async fn of_state(self: &Arc<Self>, door: &Door, path: &str, req: &mut Request, body: Value) -> (u16, Value) {
        if let Err(refusal) = lock(&self.state).admit(&door.node) {
            return (refusal.status(), json!({"error": format!("{refusal:?}")}));
        }
        if path == "/follow" {
            return self.watch(&door.node, req).await;
        }
        let answered = if path == "/txn" {
            self.transact(body).await
        } else {
            let method = req.method().to_string();
            lock(&self.state).answer(path, &method, |name| param(req, name), &body)
        };
        match answered {
            Ok(answer) if answer.get("failed").is_some() => (409, answer),
            Ok(answer) => (200, answer),
            Err(refusal) => (refusal.status(), json!({"error": format!("{refusal:?}")})),
        }
    }
}

fn param(req: &Request, name: &str) -> String {
    req.query::<String>(name).unwrap_or_default()
}

/// One listener: of a machine's worker, or of the state service and the cloud for one controller.
struct Door {
    world: Arc<World>,
    machine: Option<String>,
    node: String,
}

fn router(door: Door) -> Router {
    Router::with_path("{**rest}").goal(door)
}

#[async_trait]
impl Handler for Door {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let (status, body) = self.world.answer(self, req).await;
        res.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
        let body = wire::encode(&body);
        if self.machine.is_none() {
            let mut state = lock(&self.world.state);
            state.largest = state.largest.max(body.len());
        }
        let _ = res.write_body(body);
    }
}

/// Serves on whatever port of loopback the system gives.
pub async fn listen(router: Router) -> String {
    let acceptor = TcpListener::new("127.0.0.1:0").bind().await;
    let addr = acceptor.inner().local_addr().map(|a| a.to_string()).unwrap_or_default();
    tokio::spawn(Server::new(acceptor).serve(router));
    addr
}
