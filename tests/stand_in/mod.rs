//! Stand-ins for the state service, the cloud and its workers, over HTTP on loopback, and what it
//! takes to run real controllers against them. Every port is the system's choice.

// A stand-in that panics fails its test, as it should; not every test uses all of it.
#![allow(clippy::unwrap_used, dead_code)]

use std::collections::{BTreeMap, HashMap, HashSet};
use std::future::Future;
use std::ops::Bound;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hollylanding::node::Node;
use hollylanding::settings::{Properties, Settings};
use hollylanding::wire::{self, Http};
use hyper::Method;
use salvo::conn::tcp::TcpListener;
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde_json::{Value, json};
use tokio::runtime::Runtime;

pub const LONG: Duration = Duration::from_secs(60);

/// A key's value as it travels, its stamp, and the lease that it hangs on.
pub type Kept = (Vec<u8>, u64, Option<u64>);

/// The state service: keys with stamps, leases, a log to follow, and a limit on requests.
pub struct State {
    pub revision: u64,
    pub keys: BTreeMap<String, Kept>,
    leases: HashMap<u64, (Instant, Duration)>,
    log: Vec<(u64, String, Option<Value>)>,
    /// Keys of a page at the most, whatever is asked.
    pub page_most: usize,
    /// Requests a second; those above it get 429 and are counted.
    pub rps: f64,
    held: f64,
    at: Instant,
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
            revision: 0,
            keys: BTreeMap::new(),
            leases: HashMap::new(),
            log: Vec::new(),
            // Pages of two, so that reading on is always tried.
            page_most: 2,
            rps: 1e9,
            held: 0.0,
            at: Instant::now(),
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
    /// What is in the store before the test begins, without a trace in the log.
    pub fn put(&mut self, key: String, value: &Value) {
        self.revision += 1;
        self.keys.insert(key, (wire::encode(value), self.revision, None));
    }

    pub fn value(&self, key: &str) -> Option<Value> {
        self.keys.get(key).map(|(value, ..)| wire::decode(value).unwrap_or_default())
    }

    /// The same as changes that watches tell of, all under one lock.
    pub fn write_all(&mut self, items: impl Iterator<Item = (String, Value)>) {
        for (key, value) in items {
            self.put(key.clone(), &value);
            self.log.push((self.revision, key, Some(value)));
        }
    }

    /// How many keys there are under a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        self.keys.range(prefix.to_owned()..).take_while(|(k, _)| k.starts_with(prefix)).count()
    }

    fn admit(&mut self) -> bool {
        let now = Instant::now();
        self.held = (self.held + now.duration_since(self.at).as_secs_f64() * self.rps).min(self.rps);
        self.at = now;
        self.requests += 1;
        if self.held < 1.0 {
            self.refused += 1;
            return false;
        }
        self.held -= 1.0;
        true
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self.leases.iter().filter(|(_, (at, _))| *at < now).map(|(id, _)| *id).collect();
        for lease in over {
            self.leases.remove(&lease);
            let keys: Vec<String> =
                self.keys.iter().filter(|(_, (.., l))| *l == Some(lease)).map(|(k, _)| k.clone()).collect();
            for key in keys {
                self.revision += 1;
                self.keys.remove(&key);
                self.log.push((self.revision, key, None));
            }
        }
    }

    fn txn(&mut self, body: &Value) -> (u16, Value) {
        let stamp = |key: &str| self.keys.get(key).map_or(0, |(_, s, _)| *s);
        let conditions = body["if"].as_array().cloned().unwrap_or_default();
        let wrong = |c: &&Value| stamp(c["path"].as_str().unwrap_or("")) != c["stamp"].as_u64().unwrap_or(0);
        let failed: Vec<Value> = conditions.iter().filter(wrong).map(|c| c["path"].clone()).collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ledgerRev": self.revision}));
        }
        let changes = body["apply"].as_array().cloned().unwrap_or_default();
        let dead = |c: &Value| c["permit"].as_u64().is_some_and(|l| !self.leases.contains_key(&l));
        if changes.iter().any(dead) {
            return (400, json!({"error": "no such lease"}));
        }
        if let Some(left) = self.writes_left.as_mut().filter(|_| !changes.is_empty()) {
            if *left == 0 {
                return (503, json!({"error": "trouble"}));
            }
            *left -= 1;
        }
        self.revision += u64::from(!changes.is_empty());
        for change in changes {
            if let Some(key) = change["write"].as_str() {
                let value = change["value"].clone();
                let kept = (wire::encode(&value), self.revision, change["permit"].as_u64());
                self.keys.insert(key.to_owned(), kept);
                self.log.push((self.revision, key.to_owned(), Some(value)));
            } else if let Some(key) = change["drop"].as_str() {
                self.keys.remove(key);
                self.log.push((self.revision, key.to_owned(), None));
            }
        }
        (200, json!({"ledgerRev": self.revision}))
    }

    fn since(&self, prefix: &str, since: u64) -> Vec<Value> {
        let news = self.log.iter().skip(self.log.partition_point(|(at, ..)| *at <= since));
        news.filter(|(_, key, _)| key.starts_with(prefix))
            .map(|(at, key, value)| match value {
                Some(value) => json!({"write": key, "value": value, "stamp": at}),
                None => json!({"drop": key, "stamp": at}),
            })
            .collect()
    }

    fn page(&self, prefix: &str, since: &str, most: usize) -> Value {
        let after = Bound::Excluded(since.max(prefix).to_owned());
        let mut keys = self.keys.range((after, Bound::Unbounded)).take_while(|(k, _)| k.starts_with(prefix));
        let mut items = Vec::new();
        let mut bytes = 0;
        for (key, (value, stamp, _)) in keys.by_ref().take(most.min(self.page_most)) {
            bytes += value.len() + key.len() + 30;
            let value: Value = rmp_serde::from_slice(value).unwrap();
            items.push(json!({"path": key, "value": value, "stamp": stamp}));
            if bytes > 400 * 1024 {
                break;
            }
        }
        json!({"items": items, "more": keys.next().is_some(), "ledgerRev": self.revision})
    }
}

pub struct Machine {
    pub legs: Vec<(String, u64, Option<Instant>, bool)>,
    tally: u64,
    baton: u64,
}

/// Everything outside the controllers, in one process and behind one listener a machine.
pub struct World {
    pub state: Mutex<State>,
    pub machines: Mutex<BTreeMap<String, (String, Machine)>>,
    pub nodes: Mutex<Vec<(String, String)>>,
    pub starts: Mutex<Vec<String>>,
    pub next: AtomicU64,
    /// Jobs whose tasks run until they are stopped.
    pub endless: Mutex<HashSet<String>>,
    pub http: Http,
}

fn param(req: &Request, name: &str) -> String {
    req.query::<String>(name).unwrap_or_default()
}

impl World {
    /// What the worker of a machine does with its orders.
    fn execute(&self, machine: &mut Machine, orders: &Value) {
        for order in orders.as_array().into_iter().flatten() {
            let (leg, attempt) = (order["leg"].as_str().unwrap_or("").to_owned(), order["try"].as_u64().unwrap_or(0));
            let at = machine.legs.iter().position(|l| l.0 == leg && l.1 == attempt);
            match (order["verb"].as_str(), at) {
                (Some("launch"), None) => {
                    let endless = self.endless.lock().unwrap().iter().any(|job| leg.starts_with(job.as_str()));
                    let ends = (!endless).then(|| Instant::now() + Duration::from_millis(50));
                    self.starts.lock().unwrap().push(leg.clone());
                    machine.legs.push((leg, attempt, ends, false));
                }
                (Some("halt"), Some(at)) => machine.legs[at].3 = true,
                (Some("reap"), Some(at)) => drop(machine.legs.remove(at)),
                _ => {}
            }
        }
    }

    fn report(name: &str, addr: &str, machine: &mut Machine) -> Value {
        machine.tally += 1;
        let now = Instant::now();
        let legs: Vec<Value> = machine
            .legs
            .iter()
            .map(|(leg, attempt, ends, halted)| {
                let cause = if *halted { Some("halted") } else { ends.filter(|at| *at <= now).map(|_| "done") };
                let status = if cause.is_some() { "ended" } else { "running" };
                json!({"leg": leg, "try": attempt, "status": status, "cause": cause})
            })
            .collect();
        json!({"berth": name, "endpoint": addr, "fleet": "c8", "yard": "a", "borrowed": false, "shift": 1,
               "tally": machine.tally, "baton": machine.baton, "recallS": null, "legs": legs})
    }

    /// A machine reports for as long as it is rented, to whichever controller takes it.
    async fn work(self: Arc<Self>, name: String, addr: String) {
        let mut at = 0;
        loop {
            let nodes = self.nodes.lock().unwrap().clone();
            let report = match self.machines.lock().unwrap().get_mut(&name) {
                Some((_, machine)) => Self::report(&name, &addr, machine),
                None => return,
            };
            let Some((_, to)) = nodes.get(at % nodes.len().max(1)) else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            let body = Some(wire::encode(&report));
            let answer = self.http.call(Method::POST, to, "/v1/report", body, Duration::from_secs(2)).await;
            match answer {
                Ok((200, body)) => {
                    let answer: Value = wire::decode(&body).unwrap();
                    if let Some((_, machine)) = self.machines.lock().unwrap().get_mut(&name) {
                        let baton = answer["baton"].as_u64().unwrap();
                        if baton >= machine.baton {
                            machine.baton = baton;
                            self.execute(machine, &answer["orders"]);
                        }
                    }
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

    async fn rent(self: &Arc<Self>, count: u64) -> Value {
        let mut names = Vec::new();
        for _ in 0..count {
            let name = format!("host-{:06}", self.next.fetch_add(1, SeqCst));
            let addr = serve(Door { world: self.clone(), machine: Some(name.clone()) }).await;
            let machine = Machine { legs: Vec::new(), tally: 0, baton: 0 };
            self.machines.lock().unwrap().insert(name.clone(), (addr.clone(), machine));
            tokio::spawn(self.clone().work(name.clone(), addr));
            names.push(name);
        }
        json!({"berths": names})
    }

    async fn answer(self: &Arc<Self>, machine: Option<&str>, req: &mut Request) -> (u16, Value) {
        let path = req.uri().path().to_owned();
        let body: Value = match req.payload().await {
            Ok(body) if !body.is_empty() => wire::decode(body).unwrap_or_default(),
            _ => Value::Null,
        };
        if let Some(name) = machine {
            let mut machines = self.machines.lock().unwrap();
            let Some((addr, machine)) = machines.get_mut(name) else { return (503, Value::Null) };
            let token = body["baton"].as_u64().unwrap_or(0);
            let status = if token < machine.baton || body["shift"] != 1 { 409 } else { 200 };
            if status == 200 {
                machine.baton = token;
                self.execute(machine, &body["orders"]);
            }
            return (status, Self::report(name, &addr.clone(), machine));
        }
        let of_state = !path.starts_with("/rentals") && path != "/catalog";
        if of_state && !self.state.lock().unwrap().admit() {
            return (429, json!({"error": "too many requests"}));
        }
        if path == "/follow" {
            let until = Instant::now() + Duration::from_millis(param(req, "waitMs").parse().unwrap_or(0));
            loop {
                {
                    let mut state = self.state.lock().unwrap();
                    state.end_leases();
                    let log = state.since(&param(req, "prefix"), param(req, "since").parse().unwrap());
                    if !log.is_empty() || Instant::now() >= until {
                        return (200, json!({"ledgerRev": state.revision, "log": log}));
                    }
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        match (path.as_str(), req.method().as_str()) {
            ("/catalog", _) => {
                return (
                    200,
                    json!({"fleets": [{"name": "c8", "cpus": 8, "accelerators": 0, "memGb": 64, "localGb": 20,
                    "pullGbPerS": 1.0, "rate": 1.0, "spotPrice": 0.5, "startupS": 1, "yards": ["a"]}]}),
                );
            }
            ("/rentals", "POST") if body["borrowed"] == true => return (503, json!({"error": "no capacity"})),
            ("/rentals", "POST") => return (200, self.rent(body["count"].as_u64().unwrap()).await),
            ("/rentals", _) => {
                let since = param(req, "since");
                let machines = self.machines.lock().unwrap();
                let mut later = machines.iter().filter(|(name, _)| **name > since);
                let page: Vec<Value> = later
                    .by_ref()
                    .take(2)
                    .map(|(name, (addr, _))| {
                        json!({"uid": name, "endpoint": addr, "fleet": "c8", "yard": "a",
                           "borrowed": false, "status": "running", "heldS": 5.0})
                    })
                    .collect();
                return (200, json!({"berths": page, "more": later.next().is_some()}));
            }
            ("/rentals/return", _) => {
                let mut machines = self.machines.lock().unwrap();
                for name in body["berths"].as_array().into_iter().flatten() {
                    machines.remove(name.as_str().unwrap());
                }
                return (200, json!({"berths": []}));
            }
            _ => {}
        }
        let mut state = self.state.lock().unwrap();
        state.end_leases();
        match (path.as_str(), req.method().as_str()) {
            ("/txn", _) if state.refuse_writes => (503, json!({"error": "trouble"})),
            ("/txn", _) if state.garble_writes => (200, json!("what is this")),
            ("/txn", _) => state.txn(&body),
            ("/grants", _) => {
                let life = Duration::from_millis(body["lifeMs"].as_u64().unwrap());
                let id = self.next.fetch_add(1, SeqCst) + 1;
                state.leases.insert(id, (Instant::now() + life, life));
                (200, json!({"permit": id}))
            }
            ("/keys", _) => {
                let most = param(req, "most").parse().unwrap_or(1000);
                (200, state.page(&param(req, "prefix"), &param(req, "since"), most))
            }
            (renewal, "POST") if renewal.ends_with("/renew") => {
                let id: u64 = renewal.split('/').nth(2).unwrap().parse().unwrap();
                match state.leases.get_mut(&id) {
                    Some((at, life)) => {
                        *at = Instant::now() + *life;
                        (200, json!({}))
                    }
                    None => (404, json!({})),
                }
            }
            (key, _) => match state.keys.get(key.trim_start_matches("/keys/")) {
                Some((value, stamp, _)) => {
                    let value: Value = rmp_serde::from_slice(value).unwrap();
                    (200, json!({"path": key, "value": value, "stamp": stamp}))
                }
                None => (404, json!({"ledgerRev": state.revision})),
            },
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
        let world = Arc::new(Self {
            state: Mutex::default(),
            machines: Mutex::default(),
            nodes: Mutex::default(),
            starts: Mutex::default(),
            next: AtomicU64::new(1),
            endless: Mutex::default(),
            http: Http::default(),
        });
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
