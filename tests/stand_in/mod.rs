//! Stand-ins for the state service, the cloud and its workers, over HTTP on loopback, and what it
//! takes to run real controllers against them. Every port is the system's choice.

// A stand-in that panics fails its test, as it should; not every test uses all of it.
#![allow(clippy::unwrap_used, dead_code)]

use std::future::Future;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hollylanding::node::Node;
use hollylanding::settings::{Properties, Settings};
use hollylanding::wire::cloud::{MachineType, Names, Rental};
use hollylanding::wire::jobs::JobSpec;
use hollylanding::wire::state::{Change, Txn};
use hollylanding::wire::workers::Orders;
use hollylanding::wire::{self, Http};
use hollylanding_emulator::world::cloud::{self, Boots, Capacity, Cloud, Event, Params};
use hollylanding_emulator::world::fleet::{self, Fleet, Happening, Upload};
use hollylanding_emulator::world::store::{Limits, Refusal, Store};
use hyper::Method;
use salvo::conn::tcp::TcpListener;
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde_json::{Value, json};
use tokio::runtime::Runtime;

const LEASE: Duration = Duration::from_secs(24);
pub const LONG: Duration = Duration::from_secs(60);

/// The emulated state service, and what a test asks of it besides.
pub struct State {
    pub store: Store,
    begun: Instant,
    /// Keys of a page at the most, whatever is asked.
    pub page_most: usize,
    pub requests: u64,
    pub refused: u64,
    pub largest: usize,
    pub refuse_writes: bool,
    pub garble_writes: bool,
    /// Writes still served; all later ones are refused.
    pub writes_left: Option<u64>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            store: Store::default(),
            begun: Instant::now(),
            // Pages of two, so that reading on is always tried.
            page_most: 2,
            requests: 0,
            refused: 0,
            largest: 0,
            refuse_writes: false,
            garble_writes: false,
            writes_left: None,
        }
    }
}

impl State {
    /// Begins afresh, with limits.
    pub fn limit(&mut self, limits: Limits) {
        self.store = Store::new(limits);
    }

    /// What watches are told of, too.
    pub fn put(&mut self, key: String, value: &Value) {
        self.store.apply_if(&[], &[Change::write(key, value.clone())]).unwrap();
    }

    /// How many keys there are under a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        self.store.under(prefix).count()
    }

    fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    fn admit(&mut self) -> Result<(), Refusal> {
        let now = self.now();
        self.requests += 1;
        let admitted = self.store.admit("any", now);
        self.refused += u64::from(admitted == Err(Refusal::TooMany));
        admitted
    }

    /// One request but for watches.
    fn answer(&mut self, path: &str, method: &str, req: &mut Request, body: Value) -> Result<Value, Refusal> {
        let now = self.now();
        match (path, method) {
            ("/txn", _) => {
                let txn: Txn = serde_json::from_value(body).map_err(|_| Refusal::Malformed("no transaction"))?;
                if self.refuse_writes || (!txn.apply.is_empty() && self.writes_left == Some(0)) {
                    return Err(Refusal::Unavailable);
                }
                if let Some(left) = self.writes_left.as_mut().filter(|_| !txn.apply.is_empty()) {
                    *left -= 1;
                }
                self.store.txn(&txn, now).map(|done| match done {
                    Ok(revision) => json!({"ledgerRev": revision}),
                    Err(refused) => json!({"failed": refused.failed, "ledgerRev": refused.revision}),
                })
            }
            ("/grants", _) => Ok(json!({"permit": self.store.grant(body["lifeMs"].as_u64().unwrap_or(0), now)?})),
            ("/keys", _) => {
                let most = param(req, "most").parse().unwrap_or(usize::MAX).min(self.page_most);
                let page = self.store.page(&param(req, "prefix"), &param(req, "since"), most);
                Ok(serde_json::to_value(page).unwrap())
            }
            (grant, _) if grant.starts_with("/grants/") => {
                let permit = grant.split('/').nth(2).and_then(|id| id.parse().ok()).unwrap_or(0);
                if method == "DELETE" {
                    self.store.release(permit)?
                } else {
                    self.store.renew(permit, now)?
                }
                Ok(json!({}))
            }
            (key, _) => Ok(serde_json::to_value(self.store.get(key.trim_start_matches("/keys/"))?).unwrap()),
        }
    }
}

/// Everything outside the controllers, in one process and behind one listener a machine.
pub struct World {
    pub state: Mutex<State>,
    cloud: Mutex<Cloud>,
    pub fleet: Mutex<Fleet>,
    pub nodes: Mutex<Vec<(String, String)>>,
    /// Tasks in the order in which they were started.
    pub starts: Mutex<Vec<String>>,
    begun: Instant,
    http: Http,
}

fn param(req: &Request, name: &str) -> String {
    req.query::<String>(name).unwrap_or_default()
}

fn params() -> Params {
    let of = MachineType {
        name: "c8".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 64.0,
        fetch_gb_per_s: 2.0,
        cache_gb: Some(20.0),
        price: 1.0,
        spot_price: 0.5,
        boot_s: 1.0,
        zones: vec!["a".into()],
    };
    Params {
        types: vec![of],
        capacity: vec![Capacity { type_name: "c8".into(), zone: "a".into(), ordinary: 200, spot: 0 }],
        requests_per_second: 1e6,
        list_lag: Duration::from_millis(200),
        notice: Duration::from_secs(20),
        silent: 0.0,
        never_up: 0.0,
        slow_up: 0.0,
    }
}

impl World {
    fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// A user uploads a job for the workers, each task running so long; endless if for no time.
    pub fn upload(&self, job: &Value, run: Duration) {
        let spec: JobSpec = serde_json::from_value(job.clone()).unwrap();
        self.fleet.lock().unwrap().upload(Upload { spec, run, broken: false });
    }

    /// Time goes by: machines come up, and what they start is noted.
    async fn play(self: Arc<Self>) {
        loop {
            let now = self.now();
            let events = self.cloud.lock().unwrap().tick(now);
            for event in events {
                if let Event::Up(name) = event {
                    let addr = serve(Door { world: self.clone(), machine: Some(name.clone()) }).await;
                    self.cloud.lock().unwrap().set_addr(&name, addr.clone());
                    let of = params().types.remove(0);
                    let machine = fleet::Machine { addr, of, zone: "a".into(), spot: false, speed: 1.0 };
                    self.fleet.lock().unwrap().up(&name, machine, now);
                    tokio::spawn(self.clone().work(name));
                }
            }
            let happened = {
                let mut fleet = self.fleet.lock().unwrap();
                fleet.tick(now);
                fleet.happened()
            };
            let started = happened.into_iter().filter_map(|h| match h {
                Happening::Started { task, .. } => Some(format!("{}/{}", task.job, task.index)),
                Happening::Ended { .. } => None,
            });
            self.starts.lock().unwrap().extend(started);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// A machine reports for as long as it is rented, to whichever controller takes it.
    async fn work(self: Arc<Self>, name: String) {
        let mut at = 0;
        loop {
            let nodes = self.nodes.lock().unwrap().clone();
            let sent = self.now();
            let Some(report) = self.fleet.lock().unwrap().report(&name, sent) else { return };
            let Some((_, to)) = nodes.get(at % nodes.len().max(1)) else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            let body = Some(wire::encode(&report));
            let answer = self.http.call(Method::POST, to, "/v1/report", body, Duration::from_secs(2)).await;
            match answer {
                Ok((200, body)) => {
                    let orders: Orders = wire::decode(&body).unwrap();
                    let now = self.now();
                    self.fleet.lock().unwrap().answer(&name, report.session, sent, &orders, now);
                }
                Ok((421, body)) => {
                    let answer: Value = wire::decode(&body).unwrap();
                    at = nodes.iter().position(|(n, _)| answer["dispatcher"] == n.as_str()).unwrap_or(at + 1);
                }
                _ => at += 1,
            }
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
    }

    /// What the cloud answers.
    fn of_cloud(&self, path: &str, req: &mut Request, body: Value) -> Result<Value, cloud::Refusal> {
        let now = self.now();
        let mut cloud = self.cloud.lock().unwrap();
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
                let mut fleet = self.fleet.lock().unwrap();
                held.iter().for_each(|name| fleet.gone(name, now));
                serde_json::to_value(Names { machines: held })
            }
            // Pages of two, so that reading on is always tried.
            _ => serde_json::to_value(cloud.list(&param(req, "since"), 2, now)),
        };
        answer.map_err(malformed)
    }

    async fn answer(self: &Arc<Self>, machine: Option<&str>, req: &mut Request) -> (u16, Value) {
        let path = req.uri().path().to_owned();
        let body: Value = match req.payload().await {
            Ok(body) if !body.is_empty() => wire::decode(body).unwrap_or_default(),
            _ => Value::Null,
        };
        if let Some(name) = machine {
            let Ok(orders) = serde_json::from_value::<Orders>(body) else { return (400, Value::Null) };
            let now = self.now();
            return match self.fleet.lock().unwrap().command(name, &orders, now) {
                Some((taken, report)) => (if taken { 200 } else { 409 }, serde_json::to_value(report).unwrap()),
                None => (503, Value::Null),
            };
        }
        if path.starts_with("/rentals") || path == "/catalog" {
            return match self.of_cloud(&path, req, body) {
                Ok(answer) => (200, answer),
                Err(refusal) => {
                    let (status, why) = refusal.wire();
                    (status, json!({"error": why}))
                }
            };
        }
        if let Err(refusal) = self.state.lock().unwrap().admit() {
            return (refusal.status(), json!({"error": format!("{refusal:?}")}));
        }
        if path == "/follow" {
            let until = Instant::now() + Duration::from_millis(param(req, "waitMs").parse().unwrap_or(0));
            loop {
                {
                    let mut state = self.state.lock().unwrap();
                    let now = state.now();
                    state.store.end_leases(now);
                    match state.store.follow(&param(req, "prefix"), param(req, "since").parse().unwrap()) {
                        Ok(told) if !told.log.is_empty() || Instant::now() >= until => {
                            return (200, serde_json::to_value(told).unwrap());
                        }
                        Ok(_) => {}
                        Err(refusal) => return (refusal.status(), Value::Null),
                    }
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        let mut state = self.state.lock().unwrap();
        if path == "/txn" && state.garble_writes {
            return (200, json!("what is this"));
        }
        let method = req.method().to_string();
        match state.answer(&path, &method, req, body) {
            Ok(answer) if answer.get("failed").is_some() => (409, answer),
            Ok(answer) => (200, answer),
            Err(refusal) => (refusal.status(), json!({"error": format!("{refusal:?}")})),
        }
    }
}

/// One listener: of a machine's worker, or of the state service and the cloud.
pub struct Door {
    pub world: Arc<World>,
    pub machine: Option<String>,
}

#[async_trait]
impl Handler for Door {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let (status, body) = self.world.answer(self.machine.as_deref(), req).await;
        res.status_code(StatusCode::from_u16(status).unwrap());
        let body = wire::encode(&body);
        if self.machine.is_none() {
            let mut state = self.world.state.lock().unwrap();
            state.largest = state.largest.max(body.len());
        }
        let _ = res.write_body(body);
    }
}

pub async fn serve(door: Door) -> String {
    listen(Router::with_path("{**rest}").goal(door)).await
}

/// Serves on whatever port the system gives.
pub async fn listen(router: Router) -> String {
    let acceptor = TcpListener::new("127.0.0.1:0").bind().await;
    let addr = acceptor.inner().local_addr().unwrap().to_string();
    tokio::spawn(Server::new(acceptor).serve(router));
    addr
}

/// How long a task runs that soon ends.
pub const SHORT: Duration = Duration::from_millis(50);
/// One that runs until it is stopped.
pub const ENDLESS: Duration = Duration::ZERO;

/// A controller in a runtime of its own, which ends it with all that it has open.
pub struct Controller {
    world: Arc<World>,
    pub addr: String,
    pub node: Arc<Node>,
    runtime: Option<Runtime>,
}

impl Controller {
    /// Workers turn to it from now on, until it ends.
    pub fn start(world: &Arc<World>, settings: &Value) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
        let settings = Settings::parse(&settings.to_string()).unwrap();
        let properties = Properties::parse(b"leader.lease.seconds=1\n").unwrap();
        let (node, addr) = runtime.block_on(async {
            let node = Node::new(settings, properties);
            node.start();
            let addr = listen(hollylanding::users::router(&node)).await;
            (node, addr)
        });
        world.nodes.lock().unwrap().push((node.settings.node.clone(), addr.clone()));
        Self { world: world.clone(), addr, node, runtime: Some(runtime) }
    }

    /// What it holds of one thing that could grow; 0 if it holds none.
    pub fn held(&self, what: &str) -> usize {
        self.node.held().into_iter().find(|(name, _)| *name == what).map_or(0, |(_, n)| n)
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        self.world.nodes.lock().unwrap().retain(|(_, addr)| *addr != self.addr);
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl World {
    /// The stand-ins, and the address of the state service and the cloud.
    pub async fn open() -> (Arc<Self>, String) {
        let mut cloud = Cloud::new(params(), 1);
        cloud.set_boots(Boots::AtOnce);
        let leases =
            fleet::Params { lease: LEASE, gang_wait: Duration::from_secs(35), gang_peer: Duration::from_secs(8) };
        let world = Arc::new(Self {
            state: Mutex::default(),
            cloud: Mutex::new(cloud),
            fleet: Mutex::new(Fleet::new(leases)),
            nodes: Mutex::default(),
            starts: Mutex::default(),
            begun: Instant::now(),
            http: Http::default(),
        });
        tokio::spawn(world.clone().play());
        let door = serve(Door { world: world.clone(), machine: None }).await;
        (world, door)
    }
}

/// Settings of a controller among `others`, which it cannot reach: nothing may depend on that.
pub fn settings(me: &str, others: &[&str], door: &str) -> Value {
    let peers: Vec<Value> =
        others.iter().map(|n| json!({"host_name": n, "area": "a", "endpoint": "127.0.0.1:1"})).collect();
    json!({"host_name": me, "area": "a", "api_addr": "127.0.0.1:0", "mesh_addr": "127.0.0.1:0",
        "peers": peers, "endpoints": {"cloud": door, "state": door},
        "params": {"size": 2, "zones": ["a"], "teams": [{"name": "blue"}], "objectives": [],
            "workers": {"report_s": 1, "lease_s": 24, "cancel_s": 49},
            "state": {"rps": 2000, "write_rps": 2000, "value_kb": 8, "txn_ops": 24},
            "cloud": {"rps": 100}, "resources": {"max_sockets": 700}}})
}

pub async fn until<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    let begun = Instant::now();
    while !holds().await {
        assert!(begun.elapsed() < LONG, "never: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

pub async fn ask(http: &Http, method: Method, addr: &str, path: &str, body: Option<Vec<u8>>) -> (u16, Value) {
    match http.call(method, addr, path, body, Duration::from_secs(5)).await {
        Ok((status, body)) => (status, wire::decode(&body).unwrap_or_default()),
        Err(_) => (0, Value::Null),
    }
}

pub fn job(n: u64, tasks: u64) -> Value {
    json!({"uid": format!("run-{n:06}"), "jobFamily": "f", "desk": "blue", "shape": "sweep", "urgency": "normal",
        "legs": tasks, "cpus": 1.0, "accelerators": 0.0, "memGb": 1.0, "kit": "i", "imageGb": 0.1, "fleets": null,
        "yard": null, "samePlace": false, "scatter": false, "borrowed": true, "expectedS": 1.0, "milestoneS": 0.0,
        "stowS": 0.0, "dueS": null})
}
