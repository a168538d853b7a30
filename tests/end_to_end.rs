//! End to end over HTTP: two real controllers against stand-ins for the state service, the cloud
//! and its workers. Waits on conditions only; every port is the system's choice.

// A stand-in that panics fails its test, as it should.
#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, HashMap, HashSet};
use std::future::Future;
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

const LONG: Duration = Duration::from_secs(60);

/// The state service: keys with stamps, leases, a log to follow.
#[derive(Default)]
struct State {
    revision: u64,
    keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    leases: HashMap<u64, (Instant, Duration)>,
    log: Vec<(u64, String, Option<Value>)>,
    refuse_writes: bool,
    garble_writes: bool,
}

impl State {
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
        self.revision += u64::from(!changes.is_empty());
        for change in changes {
            if let Some(key) = change["write"].as_str() {
                let value = change["value"].clone();
                self.keys.insert(key.to_owned(), (value.clone(), self.revision, change["permit"].as_u64()));
                self.log.push((self.revision, key.to_owned(), Some(value)));
            } else if let Some(key) = change["drop"].as_str() {
                self.keys.remove(key);
                self.log.push((self.revision, key.to_owned(), None));
            }
        }
        (200, json!({"ledgerRev": self.revision}))
    }

    fn since(&self, prefix: &str, since: u64) -> Vec<Value> {
        let news = self.log.iter().filter(|(at, key, _)| *at > since && key.starts_with(prefix));
        news.map(|(at, key, value)| match value {
            Some(value) => json!({"write": key, "value": value, "stamp": at}),
            None => json!({"drop": key, "stamp": at}),
        })
        .collect()
    }

    /// Pages of two, so that reading on is always tried.
    fn page(&self, prefix: &str, since: &str) -> Value {
        let mut keys = self.keys.iter().filter(|(k, _)| k.starts_with(prefix) && k.as_str() > since);
        let items: Vec<Value> =
            keys.by_ref().take(2).map(|(k, (v, s, _))| json!({"path": k, "value": v, "stamp": s})).collect();
        json!({"items": items, "more": keys.next().is_some(), "ledgerRev": self.revision})
    }
}

struct Machine {
    legs: Vec<(String, u64, Option<Instant>, bool)>,
    tally: u64,
    baton: u64,
}

/// Everything outside the controllers, in one process and behind one listener a machine.
struct World {
    state: Mutex<State>,
    machines: Mutex<BTreeMap<String, (String, Machine)>>,
    nodes: Mutex<Vec<(String, String)>>,
    starts: Mutex<Vec<String>>,
    next: AtomicU64,
    /// Jobs whose tasks run until they are stopped.
    endless: Mutex<HashSet<String>>,
    http: Http,
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
            let to = &nodes[at % nodes.len()].1;
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
            ("/keys", _) => (200, state.page(&param(req, "prefix"), &param(req, "since"))),
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
                Some((value, stamp, _)) => (200, json!({"path": key, "value": value, "stamp": stamp})),
                None => (404, json!({"ledgerRev": state.revision})),
            },
        }
    }
}

/// One listener: of a machine's worker, or of the state service and the cloud.
struct Door {
    world: Arc<World>,
    machine: Option<String>,
}

#[async_trait]
impl Handler for Door {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let (status, body) = self.world.answer(self.machine.as_deref(), req).await;
        res.status_code(StatusCode::from_u16(status).unwrap());
        let _ = res.write_body(wire::encode(&body));
    }
}

async fn serve(door: Door) -> String {
    listen(Router::with_path("{**rest}").goal(door)).await
}

/// Serves on whatever port the system gives.
async fn listen(router: Router) -> String {
    let acceptor = TcpListener::new("127.0.0.1:0").bind().await;
    let addr = acceptor.inner().local_addr().unwrap().to_string();
    tokio::spawn(Server::new(acceptor).serve(router));
    addr
}

/// A controller in a runtime of its own, which ends it with all that it has open.
fn controller(settings: &Value) -> (Runtime, String) {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
    let settings = Settings::parse(&settings.to_string()).unwrap();
    let properties = Properties::parse(b"leader.lease.seconds=1\n").unwrap();
    let addr = runtime.block_on(async {
        let node = Node::new(settings, properties);
        node.start();
        listen(hollylanding::users::router(&node)).await
    });
    (runtime, addr)
}

async fn until<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    let begun = Instant::now();
    while !holds().await {
        assert!(begun.elapsed() < LONG, "never: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn ask(http: &Http, method: Method, addr: &str, path: &str, body: Option<Vec<u8>>) -> (u16, Value) {
    match http.call(method, addr, path, body, Duration::from_secs(5)).await {
        Ok((status, body)) => (status, wire::decode(&body).unwrap_or_default()),
        Err(_) => (0, Value::Null),
    }
}

fn job(n: u64, tasks: u64) -> Value {
    json!({"uid": format!("run-{n:06}"), "jobFamily": "f", "desk": "blue", "shape": "sweep", "urgency": "normal",
        "legs": tasks, "cpus": 1.0, "accelerators": 0.0, "memGb": 1.0, "kit": "i", "imageGb": 0.1, "fleets": null,
        "yard": null, "samePlace": false, "scatter": false, "borrowed": true, "expectedS": 1.0, "milestoneS": 0.0,
        "stowS": 0.0, "dueS": null})
}

#[test]
fn submitted_placed_done_taken_over_and_withdrawn() {
    let outside = Runtime::new().unwrap();
    let world = Arc::new(World {
        state: Mutex::default(),
        machines: Mutex::default(),
        nodes: Mutex::default(),
        starts: Mutex::default(),
        next: AtomicU64::new(1),
        endless: Mutex::default(),
        http: Http::default(),
    });
    let door = outside.block_on(serve(Door { world: world.clone(), machine: None }));
    // They cannot reach one another, which nothing may depend on.
    let settings = |me: &str, other: &str| {
        json!({"host_name": me, "area": "a", "api_addr": "127.0.0.1:0", "mesh_addr": "127.0.0.1:0",
            "peers": [{"host_name": other, "area": "a", "endpoint": "127.0.0.1:1"}],
            "endpoints": {"cloud": door, "state": door},
            "params": {"size": 2, "zones": ["a"], "teams": [{"name": "blue"}], "objectives": [],
                "workers": {"report_s": 1, "lease_s": 24, "cancel_s": 49},
                "state": {"rps": 2000, "write_rps": 2000, "value_kb": 8, "txn_ops": 24},
                "cloud": {"rps": 100}, "resources": {"max_sockets": 700}}})
    };
    let (a, api_a) = controller(&settings("node-a", "node-b"));
    outside.block_on(async {
        let http = Http::default();
        until("the first controller is healthy and owns", || async {
            ask(&http, Method::GET, &api_a, "/healthz", None).await.0 == 200
                && world.state.lock().unwrap().keys.contains_key("c/owner/0")
        })
        .await;
    });
    let (b, api_b) = controller(&settings("node-b", "node-a"));
    *world.nodes.lock().unwrap() = vec![("node-a".into(), api_a.clone()), ("node-b".into(), api_b.clone())];
    outside.block_on(async {
        let http = Http::default();
        let submit = |addr: String, job: Value| {
            let http = http.clone();
            async move { ask(&http, Method::POST, &addr, "/work", Some(wire::encode(&job))).await }
        };
        let status = |addr: String, n: u64| {
            let http = http.clone();
            async move { ask(&http, Method::GET, &addr, &format!("/work/run-{n:06}"), None).await }
        };
        until("the second controller is healthy", || async {
            ask(&http, Method::GET, &api_b, "/healthz", None).await.0 == 200
        })
        .await;

        // What the service cannot take is answered at once.
        for (name, body, want) in [
            ("not MessagePack", vec![0xc1, 1, 2], 400),
            ("over the limit", vec![0x80; 70_000], 400),
            (
                "no such team",
                wire::encode(&{
                    let mut j = job(90, 1);
                    j["desk"] = json!("green");
                    j
                }),
                422,
            ),
            (
                "never fits",
                wire::encode(&{
                    let mut j = job(91, 1);
                    j["cpus"] = json!(9);
                    j
                }),
                422,
            ),
        ] {
            assert_eq!(ask(&http, Method::POST, &api_b, "/work", Some(body)).await.0, want, "{name}");
        }
        for set in [|s: &mut State, on| s.refuse_writes = on, |s: &mut State, on| s.garble_writes = on] {
            set(&mut world.state.lock().unwrap(), true);
            let (refused, _) = submit(api_b.clone(), job(1, 300)).await;
            set(&mut world.state.lock().unwrap(), false);
            assert_eq!(refused, 503);
        }
        assert_eq!(status(api_a.clone(), 1).await.0, 404, "refused is not accepted");

        // Submitted at one controller, done by the other, asked at both.
        until("accepted once the store serves", || async { submit(api_b.clone(), job(1, 300)).await.0 / 100 == 2 })
            .await;
        assert_eq!(submit(api_a.clone(), job(1, 300)).await.0, 200, "a retry is known");
        for addr in [&api_a, &api_b] {
            until("done", || async { status(addr.clone(), 1).await.1["status"] == "done" }).await;
        }
        let starts = world.starts.lock().unwrap().clone();
        let distinct: HashSet<&String> = starts.iter().collect();
        assert_eq!((starts.len(), distinct.len()), (300, 300), "every task started once");

        // A job of the largest size is taken at once; its tasks go as room allows.
        world.endless.lock().unwrap().insert("run-000003/".into());
        assert_eq!(submit(api_b.clone(), job(2, 100_000)).await.0, 201);
        let path = "/work/run-000002/withdraw";
        until("withdrawn", || async { ask(&http, Method::POST, &api_b, path, None).await.1["status"] == "withdrawn" })
            .await;

        // The owner ends; what runs goes on under its successor, and is not started again.
        assert_eq!(submit(api_b.clone(), job(3, 3)).await.0, 201);
        let started = || world.starts.lock().unwrap().iter().filter(|l| l.starts_with("run-000003/")).count();
        until("running", || async { started() == 3 }).await;
    });
    a.shutdown_background();
    outside.block_on(async {
        let http = Http::default();
        let path = "/work/run-000003";
        until("taken over", || async {
            let owner = world.state.lock().unwrap().keys.get("c/owner/0").cloned();
            let (_, answer) = ask(&http, Method::GET, &api_b, path, None).await;
            owner.is_some_and(|(v, ..)| v["node"] == "node-b") && answer["running"] == 3
        })
        .await;
        let started = world.starts.lock().unwrap().iter().filter(|l| l.starts_with("run-000003/")).count();
        assert_eq!(started, 3, "nothing was started twice");
        let (code, answer) = ask(&http, Method::POST, &api_b, "/work/run-000003/withdraw", None).await;
        assert_eq!((code, &answer["status"]), (200, &json!("withdrawn")));
        until("all of it is gone", || async {
            let machines = world.machines.lock().unwrap();
            let live = |m: &Machine| m.legs.iter().any(|l| l.0.starts_with("run-000003/") && !l.3);
            !machines.values().any(|(_, m)| live(m))
        })
        .await;
        assert_eq!(ask(&http, Method::GET, &api_b, "/work/run-000001", None).await.1["status"], "done");
        assert_eq!(ask(&http, Method::GET, &api_b, "/work/run-000003", None).await.1["status"], "withdrawn");
    });
    b.shutdown_background();
    outside.shutdown_background();
}
