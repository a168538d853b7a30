//! The world that the controllers see: state service, cloud and machines on loopback, and the record of a run.

use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Timing, Worker};
use crate::http::{self, Answer, Request};
use crate::msgpack::{Value, encode};
use crate::store::{Limits, Store};

#[derive(Debug, Clone)]
pub struct MachineType {
    pub name: &'static str,
    pub cpus: f64,
    pub mem: f64,
    pub rate: f64,
    pub startup_s: f64,
    /// How many machines of the type there are in each zone.
    pub capacity: usize,
}

struct Rental {
    fleet: String,
    yard: String,
    borrowed: bool,
    rented: Instant,
    up: bool,
    gone: Option<Instant>,
}

/// How the state service treats one controller.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StoreLink {
    /// 503 to every request of this controller; its open watches wait.
    pub refused: bool,
    /// Every answer is delayed by this time.
    pub delay: Duration,
    /// Nothing is answered.
    pub silent: bool,
    /// Transactions with changes are carried out, and not answered.
    pub answers_lost: bool,
    /// Transactions with changes are not answered, and carried out after this time.
    pub late_by: Option<Duration>,
}

pub struct Settings {
    pub report: Duration,
    pub list_lag: Duration,
    pub zones: Vec<&'static str>,
    pub types: Vec<MachineType>,
}

pub struct State {
    pub store: Store,
    pub fleet: Fleet,
    rentals: BTreeMap<String, Rental>,
    charters: HashMap<String, (u16, Value)>,
    next_machine: u64,
    pub links: Vec<StoreLink>,
    /// Names and addresses of the controllers, for the workers.
    pub nodes: Vec<(String, String)>,
    /// Controllers that no worker can reach.
    pub unreachable_nodes: Vec<usize>,
    /// The number of the zone that is cut off from everything; controllers are spread over the zones in turn.
    pub cut_zone: Option<usize>,
    /// Direct commands that were carried out are carried out once more after this time.
    pub repeat_commands_after: Option<Duration>,
    /// Direct commands are not answered, and carried out after this time; one in so many.
    pub hold_commands: Option<(Duration, u64)>,
    /// Copies of reports reach every controller after this time; of one report in so many.
    pub copy_reports: Option<(Duration, u64)>,
    counter: u64,
    written: usize,
}

pub struct World {
    pub settings: Settings,
    pub state: Mutex<State>,
    changed: Condvar,
    pub started: Instant,
    record: Mutex<std::fs::File>,
}

/// How long a worker waits for the answer to a report.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(20);

impl World {
    pub fn new(
        settings: Settings,
        limits: Limits,
        timing: Timing,
        controllers: usize,
        record: &std::path::Path,
    ) -> Arc<Self> {
        let state = State {
            store: Store::new(limits),
            fleet: Fleet::new(timing),
            rentals: BTreeMap::new(),
            charters: HashMap::new(),
            next_machine: 0,
            links: vec![StoreLink::default(); controllers],
            nodes: Vec::new(),
            unreachable_nodes: Vec::new(),
            cut_zone: None,
            repeat_commands_after: None,
            hold_commands: None,
            copy_reports: None,
            counter: 0,
            written: 0,
        };
        let record = std::fs::File::create(record).expect("the record can be written");
        let world = Arc::new(Self {
            settings,
            state: Mutex::new(state),
            changed: Condvar::new(),
            started: Instant::now(),
            record: Mutex::new(record),
        });
        let ticking = world.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(STEP);
                ticking.tick();
            }
        });
        world
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Writes one line to the record, with the seconds since the start.
    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.started.elapsed().as_secs_f64(), text.as_ref());
        let mut record = self.record.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = record.write_all(line.as_bytes());
    }

    fn tick(self: &Arc<Self>) {
        let now = Instant::now();
        let mut state = self.lock();
        let revision = state.store.revision;
        state.store.expire_leases(now);
        if state.store.revision != revision {
            self.changed.notify_all();
        }
        state.fleet.tick(now);
        let boot = |fleet: &str| {
            let startup = self.settings.types.iter().find(|t| t.name == fleet).map_or(1.0, |t| t.startup_s);
            Duration::from_secs_f64(startup)
        };
        let booted: Vec<String> = state
            .rentals
            .iter()
            .filter(|(_, r)| !r.up && r.gone.is_none() && now - r.rented >= boot(&r.fleet))
            .map(|(name, _)| name.clone())
            .collect();
        let events: Vec<_> = state.fleet.events[state.written..].to_vec();
        state.written = state.fleet.events.len();
        drop(state);
        for event in events {
            self.note(format!("task {} try {} on {}: {}", event.leg, event.attempt, event.machine, event.what));
        }
        booted.iter().for_each(|name| self.boot(name));
    }

    /// Starts a machine's worker.
    fn boot(self: &Arc<Self>, name: &str) {
        let (world, machine) = (self.clone(), name.to_owned());
        let endpoint = http::serve(move |request| world.worker_request(&machine, request));
        let mut state = self.lock();
        let now = Instant::now();
        let Some(rental) = state.rentals.get_mut(name) else { return };
        rental.up = true;
        let of = self.settings.types.iter().find(|t| t.name == rental.fleet);
        let worker = Worker {
            name: name.to_owned(),
            endpoint,
            fleet: rental.fleet.clone(),
            yard: rental.yard.clone(),
            borrowed: rental.borrowed,
            cpus: of.map_or(0.0, |t| t.cpus),
            mem: of.map_or(0.0, |t| t.mem),
            shift: 1,
            tally: 0,
            baton: 0,
            renewed: now,
            tasks: Vec::new(),
            alive: true,
            died: None,
            hangs_until: now,
            mute_until: now,
            deaf_until: now,
            images: Default::default(),
        };
        state.fleet.workers.insert(name.to_owned(), worker);
        drop(state);
        self.note(format!("machine {name} is up"));
        let (world, machine) = (self.clone(), name.to_owned());
        std::thread::spawn(move || world.report_loop(&machine));
    }

    /// Answers `/do` and `/inspect`.
    fn worker_request(self: &Arc<Self>, name: &str, request: Request) -> Answer {
        let mut state = self.lock();
        let now = Instant::now();
        if request.path == "/inspect" {
            return state.fleet.workers.get_mut(name).filter(|w| w.hears(now)).map(|w| (200, w.report()));
        }
        // Commands from outside do not reach a zone that is cut off.
        let zone = state.cut_zone.and_then(|zone| self.settings.zones.get(zone));
        if zone.is_some_and(|zone| state.fleet.workers.get(name).is_some_and(|w| w.yard == **zone)) {
            return None;
        }
        state.counter += 1;
        if let Some((after, one_in)) = state.hold_commands
            && state.counter % one_in == 0
            && state.fleet.workers.get(name).is_some_and(|w| w.hears(now))
        {
            let (world, name) = (self.clone(), name.to_owned());
            std::thread::spawn(move || {
                std::thread::sleep(after);
                world.lock().fleet.command(&name, &request.body, Instant::now());
            });
            return None;
        }
        let answer = state.fleet.command(name, &request.body, now);
        if let (Some(after), Some((200, _))) = (state.repeat_commands_after, &answer)
            && !request.body.get("orders").items().is_empty()
        {
            let (world, name) = (self.clone(), name.to_owned());
            std::thread::spawn(move || {
                std::thread::sleep(after);
                let answer = world.lock().fleet.command(&name, &request.body, Instant::now());
                let status = answer.map_or(0, |(status, _)| status);
                world.note(format!("repeated command to {name}: {status} {}", request.body.json()));
            });
        }
        answer
    }

    /// Sends a worker's reports for as long as the machine is there.
    fn report_loop(&self, name: &str) {
        let (mut node, mut last, mut last_digest, mut n) = (0usize, None::<Instant>, None, 0u32);
        loop {
            std::thread::sleep(STEP);
            let now = Instant::now();
            let (report, shift, addr) = {
                let mut state = self.lock();
                let count = state.nodes.len();
                let Some(worker) = state.fleet.workers.get_mut(name).filter(|w| w.alive) else { return };
                if !worker.awake(now) || count == 0 {
                    continue;
                }
                let since = last.map_or(Duration::from_secs(3600), |at| now - at);
                // Plus or minus a quarter.
                let interval = self.settings.report.mul_f64([0.8, 1.0, 1.2, 0.9, 1.1][n as usize % 5]);
                let digest = Some(worker.digest());
                if since < Duration::from_millis(500) || (since < interval && digest == last_digest) {
                    continue;
                }
                (last, last_digest) = (Some(now), digest);
                n += 1;
                let mute = worker.mute_until > now;
                let (report, shift) = (worker.report(), worker.shift);
                let zones = &self.settings.zones;
                let own_zone = state.fleet.workers.get(name).and_then(|w| zones.iter().position(|z| *z == w.yard));
                let node_zone = Some(node % count % zones.len());
                let parted = state.cut_zone.is_some()
                    && own_zone != node_zone
                    && [own_zone, node_zone].contains(&state.cut_zone);
                let cut = mute || parted || state.unreachable_nodes.contains(&(node % count));
                (report, shift, (!cut).then(|| state.nodes[node % count].1.clone()))
            };
            let bytes = encode(&report).len();
            {
                let mut state = self.lock();
                state.counter += 1;
                if let Some((after, one_in)) = state.copy_reports
                    && state.counter % one_in == 0
                {
                    let (nodes, copy) = (state.nodes.clone(), report.clone());
                    std::thread::spawn(move || {
                        std::thread::sleep(after);
                        for (_, addr) in nodes {
                            http::call(&addr, "POST", "/v1/report", Some(&copy), RESPONSE_TIMEOUT);
                        }
                    });
                }
                state.fleet.largest_report = state.fleet.largest_report.max(bytes);
            }
            let answer = match &addr {
                Some(addr) => http::call(addr, "POST", "/v1/report", Some(&report), RESPONSE_TIMEOUT),
                None => {
                    std::thread::sleep(RESPONSE_TIMEOUT);
                    None
                }
            };
            let mut state = self.lock();
            let answered = Instant::now();
            let named = match &answer {
                Some((200, body)) => {
                    state.fleet.answer(name, shift, now, body, answered);
                    continue;
                }
                Some((421, body)) => {
                    let dispatcher = body.get("dispatcher").as_str();
                    state.nodes.iter().position(|(n, _)| Some(n.as_str()) == dispatcher)
                }
                _ => None,
            };
            let count = state.nodes.len();
            drop(state);
            if let Some((status, _)) = answer.filter(|(status, _)| *status != 421 && *status != 503) {
                self.note(format!(
                    "report of {name}, {} tasks, {bytes} bytes: {status}",
                    report.get("legs").items().len()
                ));
            }
            match named {
                Some(named) if named != node % count => node = named,
                _ => {
                    node += 1;
                    std::thread::sleep(Duration::from_secs(1));
                }
            }
            // The next report goes out at once.
            last = last.map(|at| at - Duration::from_secs(3600));
        }
    }

    /// Serves the state service and the cloud to one controller, and returns the address.
    pub fn serve_controller(self: &Arc<Self>, controller: usize) -> String {
        let world = self.clone();
        http::serve(move |request| {
            if request.path.starts_with("/rentals") || request.path == "/catalog" {
                if world.lock().links[controller].silent {
                    return None;
                }
                return world.cloud_request(&request);
            }
            world.store_request(controller, &request)
        })
    }

    fn store_request(self: &Arc<Self>, controller: usize, request: &Request) -> Answer {
        let link = self.lock().links[controller];
        std::thread::sleep(link.delay);
        if link.silent {
            return None;
        }
        if request.path == "/follow" {
            return self.follow(controller, request);
        }
        let mut state = self.lock();
        if state.store.down || state.links[controller].refused {
            return Some((503, Value::map([("error", Value::text("outage"))])));
        }
        let answer = match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/txn") => {
                if let Some(after) = state.links[controller].late_by
                    && !request.body.get("apply").items().is_empty()
                {
                    let (world, body) = (self.clone(), request.body.clone());
                    std::thread::spawn(move || {
                        std::thread::sleep(after);
                        world.lock().store.transact(&body);
                        world.changed.notify_all();
                    });
                    return None;
                }
                let answer = state.store.transact(&request.body);
                self.changed.notify_all();
                if answer.0 == 400 {
                    self.note(format!("state service: 400 for {} changes", request.body.get("apply").items().len()));
                }
                let changes = !request.body.get("apply").items().is_empty();
                if changes && state.links[controller].answers_lost && answer.0 == 200 {
                    return None;
                }
                answer
            }
            ("POST", "/grants") => {
                let life = Duration::from_millis(request.body.get("lifeMs").as_u64().unwrap_or(1000));
                (200, Value::map([("permit", Value::Uint(state.store.grant(life)))]))
            }
            (method, path) if path.starts_with("/grants/") => {
                let id = path.split('/').nth(2).and_then(|id| id.parse().ok()).unwrap_or(0);
                if method == "DELETE" {
                    state.store.end_lease(id);
                    self.changed.notify_all();
                    (200, Value::map([]))
                } else if state.store.renew(id) {
                    (200, Value::map([("permit", Value::Uint(id))]))
                } else {
                    (404, Value::map([]))
                }
            }
            (_, "/keys") => {
                let (prefix, since) = (request.param("prefix"), request.param("since"));
                let most = request.param("most").and_then(|n| n.parse().ok()).unwrap_or(1000);
                (200, state.store.list(&prefix.unwrap_or_default(), &since.unwrap_or_default(), most))
            }
            (_, path) => match path.strip_prefix("/keys/") {
                Some(key) => match state.store.get(key) {
                    Some((value, version)) => (
                        200,
                        Value::map([
                            ("path", Value::text(key)),
                            ("value", value.clone()),
                            ("stamp", Value::Uint(version)),
                        ]),
                    ),
                    None => (404, Value::map([("ledgerRev", Value::Uint(state.store.revision))])),
                },
                None => (400, Value::Null),
            },
        };
        Some(answer)
    }

    fn follow(&self, controller: usize, request: &Request) -> Answer {
        let prefix = request.param("prefix").unwrap_or_default();
        let since = request.param("since").and_then(|n| n.parse().ok()).unwrap_or(0);
        let wait = request.param("waitMs").and_then(|n| n.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        if wait == 0 && (state.store.down || state.links[controller].refused) {
            return Some((503, Value::map([("error", Value::text("outage"))])));
        }
        loop {
            let now = Instant::now();
            if !(state.store.down || state.links[controller].refused || state.links[controller].silent) {
                let Some(changes) = state.store.changes_since(&prefix, since) else { return Some((410, Value::Null)) };
                if !changes.is_empty() || now >= until {
                    let revision = Value::Uint(state.store.revision);
                    return Some((200, Value::map([("ledgerRev", revision), ("log", Value::List(changes))])));
                }
            } else if now > until + Duration::from_secs(60) {
                return None;
            }
            let wait = until.saturating_duration_since(now).clamp(Duration::from_millis(5), Duration::from_millis(200));
            state = self.changed.wait_timeout(state, wait).map(|(state, _)| state).unwrap_or_else(|p| p.into_inner().0);
        }
    }

    fn cloud_request(&self, request: &Request) -> Answer {
        let now = Instant::now();
        let mut state = self.lock();
        Some(match (request.method.as_str(), request.path.as_str()) {
            (_, "/catalog") => {
                let zones = Value::List(self.settings.zones.iter().map(|z| Value::text(*z)).collect());
                let types = self.settings.types.iter().map(|t| {
                    Value::map([
                        ("name", Value::text(t.name)),
                        ("cpus", Value::Float(t.cpus)),
                        ("accelerators", Value::Float(0.0)),
                        ("memGb", Value::Float(t.mem)),
                        ("localGb", Value::Float(100.0)),
                        ("pullGbPerS", Value::Float(1.0)),
                        ("rate", Value::Float(t.rate)),
                        ("spotPrice", Value::Float(t.rate / 2.0)),
                        ("startupS", Value::Float(t.startup_s)),
                        ("yards", zones.clone()),
                    ])
                });
                (200, Value::map([("fleets", Value::List(types.collect()))]))
            }
            ("POST", "/rentals") => self.rent(&mut state, &request.body, now),
            ("POST", "/rentals/return") => {
                let names: Vec<String> =
                    request.body.get("berths").items().iter().filter_map(|n| n.as_str()).map(str::to_owned).collect();
                for name in &names {
                    state.fleet.remove(name, now);
                    if let Some(rental) = state.rentals.get_mut(name) {
                        rental.gone.get_or_insert(now);
                    }
                }
                self.note(format!("machines returned: {}", names.join(" ")));
                (200, Value::map([]))
            }
            _ => {
                let since = request.param("since").unwrap_or_default();
                let lag = self.settings.list_lag;
                let listed = state.rentals.iter().filter(|(name, r)| {
                    name.as_str() > since.as_str() && now - r.rented >= lag && r.gone.is_none_or(|at| now - at < lag)
                });
                let berths = listed.take(500).map(|(name, r)| {
                    // "A machine that dies still appears as `running` for about 30 s."
                    let died = state.fleet.workers.get(name).and_then(|w| w.died);
                    let status = match (r.up, died) {
                        (false, _) => "starting",
                        (_, Some(at)) if now - at > Duration::from_secs(30) => "failed",
                        _ => "running",
                    };
                    let endpoint = state.fleet.workers.get(name).map_or(Value::Null, |w| Value::text(&w.endpoint));
                    Value::map([
                        ("uid", Value::text(name)),
                        ("endpoint", endpoint),
                        ("fleet", Value::text(&r.fleet)),
                        ("yard", Value::text(&r.yard)),
                        ("borrowed", Value::Bool(r.borrowed)),
                        ("status", Value::text(status)),
                        ("heldS", Value::Float((now - r.rented).saturating_sub(lag).as_secs_f64())),
                    ])
                });
                (200, Value::map([("berths", Value::List(berths.collect())), ("more", Value::Bool(false))]))
            }
        })
    }

    fn rent(&self, state: &mut State, body: &Value, now: Instant) -> (u16, Value) {
        let charter = body.get("charter").as_str().unwrap_or("").to_owned();
        if let Some(answer) = state.charters.get(&charter) {
            return answer.clone();
        }
        let (fleet, yard) = (body.get("fleet").as_str().unwrap_or(""), body.get("yard").as_str().unwrap_or(""));
        let borrowed = body.get("borrowed").as_bool() == Some(true);
        let capacity = self.settings.types.iter().find(|t| t.name == fleet).map_or(0, |t| t.capacity);
        let held = state.rentals.values().filter(|r| r.gone.is_none() && r.fleet == fleet && r.yard == yard).count();
        let count = (body.get("count").as_u64().unwrap_or(0) as usize).min(capacity.saturating_sub(held));
        if count == 0 {
            return (503, Value::map([("error", Value::text("no capacity"))]));
        }
        let mut names = Vec::new();
        for _ in 0..count {
            state.next_machine += 1;
            let name = format!("host-{:06}", state.next_machine);
            let (fleet, yard) = (fleet.to_owned(), yard.to_owned());
            state.rentals.insert(name.clone(), Rental { fleet, yard, borrowed, rented: now, up: false, gone: None });
            names.push(Value::Text(name));
        }
        self.note(format!("{count} machines rented: {fleet} in {yard}, borrowed {borrowed}"));
        let answer = (200, Value::map([("berths", Value::List(names))]));
        state.charters.insert(charter, answer.clone());
        answer
    }

    /// A machine stops with all that is on it, without notice.
    pub fn kill_machine(&self, name: &str) {
        self.note(format!("machine {name} stops"));
        let (mut state, now) = (self.lock(), Instant::now());
        state.fleet.remove(name, now);
        if let Some(worker) = state.fleet.workers.get_mut(name) {
            worker.died = Some(now);
        }
    }
}
