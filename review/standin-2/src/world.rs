//! The platform on loopback: sizes of a small deployment, cloud, workers, and the controllers as processes.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::map;
use crate::state::{Bucket, State};
use crate::value::Value;

pub struct MachineType {
    pub name: &'static str,
    pub cpus: f64,
    pub gpus: f64,
    pub mem_gb: f64,
    pub rate: f64,
    pub spot: f64,
    /// Usual boot time as the catalog states it.
    pub startup_s: f64,
    /// Boot time of the machines here; machines may be up within a second or two.
    pub boot_s: f64,
    pub pull: f64,
    /// Machines in each zone.
    pub most: usize,
}

/// Sizes of a small deployment, as the settings and the catalog state them.
pub struct Sizes {
    /// Machines of a type in a zone, where it differs from the type's number.
    pub capacity: Vec<(&'static str, &'static str, usize)>,
    pub zones: Vec<&'static str>,
    pub types: Vec<MachineType>,
    pub teams: Vec<(&'static str, f64)>,
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
    pub cores: f64,
    pub memory_mb: f64,
    pub sockets: u64,
}

fn machine_type(
    name: &'static str,
    (cpus, gpus, mem_gb): (f64, f64, f64),
    (rate, spot): (f64, f64),
    startup_s: f64,
    pull: f64,
    most: usize,
) -> MachineType {
    MachineType { name, cpus, gpus, mem_gb, rate, spot, startup_s, boot_s: 1.5, pull, most }
}

impl Sizes {
    /// `fa-lima` as it has grown, with the number of machines of the first site file.
    pub fn fa_lima() -> Self {
        let types = vec![
            machine_type("trocha", (16.0, 0.0, 64.0), (0.96, 0.33), 25.0, 0.3, 20),
            machine_type("cumbre", (16.0, 2.0, 128.0), (4.61, 1.45), 50.0, 0.25, 14),
        ];
        let teams = ["rutas", "tripulacion", "vagones", "demanda", "depositos", "minera-sur"];
        Self {
            capacity: vec![],
            zones: vec!["costa", "sierra"],
            types,
            teams: teams.map(|name| (name, 0.0)).to_vec(),
            rps: 100.0,
            write_rps: 40.0,
            value_kb: 8.0,
            txn_ops: 24,
            cloud_rps: 8.0,
            list_lag_s: 8.0,
            report_s: 5.0,
            lease_s: 24.0,
            gang_wait_s: 35.0,
            gang_peer_s: 8.0,
            cancel_s: 49.0,
            cores: 0.16,
            memory_mb: 136.0,
            sockets: 3000,
        }
    }

    /// `deti-klima` by its first site file, with the guest team of the later pages.
    pub fn deti_klima() -> Self {
        let types = vec![
            machine_type("mikro", (32.0, 0.0, 128.0), (1.92, 0.84), 40.0, 0.6, 12),
            machine_type("megalo", (64.0, 0.0, 128.0), (3.49, 1.46), 30.0, 0.2, 4),
            machine_type("ilios", (96.0, 8.0, 384.0), (29.31, 12.63), 50.0, 0.8, 23),
        ];
        Self {
            capacity: vec![],
            zones: vec!["messara"],
            types,
            teams: vec![("klimatismos", 0.0), ("agro-lab", 0.0)],
            rps: 80.0,
            write_rps: 20.0,
            value_kb: 16.0,
            txn_ops: 16,
            cloud_rps: 3.0,
            list_lag_s: 3.0,
            report_s: 3.0,
            lease_s: 36.0,
            gang_wait_s: 50.0,
            gang_peer_s: 4.0,
            cancel_s: 56.0,
            cores: 0.08,
            memory_mb: 56.0,
            sockets: 700,
        }
    }
}

/// An attempt on a worker.
pub struct Attempt {
    status: &'static str,
    cause: Option<&'static str>,
    /// When the present phase ends.
    until: Instant,
    run: Duration,
    cpus: f64,
    fails: bool,
    /// The job if the task belongs to a gang, and the number of tasks of the gang.
    gang: Option<(String, u64)>,
}

struct Agent {
    shift: u64,
    tally: u64,
    baton: u64,
    attempts: BTreeMap<(String, u64), Attempt>,
    answered: Instant,
    changed: bool,
}

pub struct Machine {
    pub name: String,
    kind: usize,
    zone: &'static str,
    spot: bool,
    rented: Instant,
    addr: Mutex<String>,
    agent: Mutex<Agent>,
    /// Stopped with all that is on it: says nothing any more.
    pub dead: AtomicBool,
    /// Given back; its worker is gone.
    gone: AtomicBool,
    pub starts: AtomicU64,
    pub killed_by_lease: AtomicU64,
    pub reports_refused: AtomicU64,
    pub reports_answered: AtomicU64,
    pub largest_report_json: AtomicU64,
    pub largest_report: AtomicU64,
}

pub struct World {
    pub sizes: Sizes,
    pub began: Instant,
    pub state: State,
    pub cloud_out: AtomicBool,
    pub cloud_refused: AtomicU64,
    cloud_budget: Mutex<Bucket>,
    charters: Mutex<HashMap<String, Vec<String>>>,
    machines: Mutex<BTreeMap<String, Arc<Machine>>>,
    pub jobs: Mutex<HashMap<String, Value>>,
    starts: Mutex<HashMap<String, u64>>,
    rented: Mutex<HashMap<&'static str, usize>>,
    pub run_s: Mutex<HashMap<String, f64>>,
    pub nodes: Mutex<Vec<(String, String)>>,
    /// The tasks of each attempt of a gang that have their image, and since when.
    gangs: Mutex<HashMap<(String, u64), HashMap<String, Instant>>>,
    record: Mutex<File>,
    folder: PathBuf,
    children: Mutex<Vec<Child>>,
    /// The next machine that receives a launch stops with all that is on it.
    pub die_at_launch: AtomicBool,
    pub died: Mutex<Option<String>>,
    /// Until then machines fail every task that they start.
    pub sick_until: Mutex<Option<Instant>>,
    /// The controller that last answered a report with 200.
    pub leader: Mutex<Option<usize>>,
}

/// Finds free ports for the controllers below the range from which the system takes ports by itself, so that nothing else
/// takes them before a controller listens there.
struct FreePorts {
    at: u16,
}

impl FreePorts {
    fn new() -> Self {
        Self { at: 12_000 + (std::process::id() % 1500) as u16 * 10 }
    }

    fn next(&mut self) -> Result<String, String> {
        for _ in 0..4000 {
            self.at = if self.at > 31_000 { 12_000 } else { self.at + 1 };
            let addr = format!("127.0.0.1:{}", self.at);
            if std::net::TcpListener::bind(&addr).is_ok() {
                return Ok(addr);
            }
        }
        Err("no free port".into())
    }
}

pub fn lock<T>(m: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

impl Machine {
    pub fn kind_name(&self, world: &World) -> &'static str {
        world.sizes.types[self.kind].name
    }
}

impl World {
    pub fn new(sizes: Sizes, record: File, folder: PathBuf) -> Arc<Self> {
        let state = State::new(sizes.rps, sizes.write_rps, sizes.value_kb, sizes.txn_ops);
        Arc::new(Self {
            state,
            cloud_budget: Mutex::new(Bucket::new(sizes.cloud_rps, 2.0)),
            sizes,
            began: Instant::now(),
            cloud_out: AtomicBool::new(false),
            cloud_refused: AtomicU64::new(0),
            charters: Mutex::default(),
            machines: Mutex::default(),
            jobs: Mutex::default(),
            starts: Mutex::default(),
            rented: Mutex::default(),
            run_s: Mutex::default(),
            nodes: Mutex::default(),
            gangs: Mutex::default(),
            record: Mutex::new(record),
            folder,
            children: Mutex::default(),
            die_at_launch: AtomicBool::new(false),
            died: Mutex::default(),
            sick_until: Mutex::default(),
            leader: Mutex::default(),
        })
    }

    /// Adds a line to the record.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.2} {text}\n", self.began.elapsed().as_secs_f64());
        let _ = lock(&self.record).write_all(line.as_bytes());
    }

    pub fn machines(&self) -> Vec<Arc<Machine>> {
        lock(&self.machines).values().cloned().collect()
    }

    /// Starts the controllers with the command of the deploy file, and returns the addresses for users.
    pub fn start_controllers(self: &Arc<Self>) -> Result<Vec<String>, String> {
        let deploy = std::fs::read_to_string("deploy/service.toml").map_err(|e| format!("deploy/service.toml: {e}"))?;
        let run = deploy.lines().find_map(|l| l.strip_prefix("run = \"")).and_then(|l| l.strip_suffix('"'));
        let words: Vec<&str> = run.ok_or("no run line")?.split(' ').collect();
        let this = self.clone();
        let state = http::serve(move |r| this.state.handle(&r));
        let this = self.clone();
        let cloud = http::serve(move |r| this.cloud(&r));
        let mut ports = FreePorts::new();
        let (mut api, mut mesh) = (Vec::new(), Vec::new());
        for _ in 0..3 {
            api.push(ports.next()?);
            mesh.push(ports.next()?);
        }
        let zone = |i: usize| self.sizes.zones[i % self.sizes.zones.len()];
        let name = |i: usize| format!("stathmos-{i}");
        *lock(&self.nodes) = (0..3).map(|i| (name(i), api[i].clone())).collect();
        for i in 0..3 {
            let peers: Vec<Value> = (0..3)
                .filter(|j| *j != i)
                .map(|j| map! {"host_name" => name(j), "area" => zone(j), "endpoint" => mesh[j].as_str()})
                .collect();
            let settings = map! {
                "host_name" => name(i), "area" => zone(i), "api_addr" => api[i].as_str(), "mesh_addr" => mesh[i].as_str(),
                "peers" => peers,
                "endpoints" => map!{"cloud" => cloud.as_str(), "state" => state.as_str()},
                "params" => self.params(),
            };
            let file = self.folder.join(format!("{}.json", name(i)));
            std::fs::write(&file, settings.json()).map_err(|e| e.to_string())?;
            let log = File::create(self.folder.join(format!("{}.log", name(i)))).map_err(|e| e.to_string())?;
            let child = Command::new(words[0])
                .args(&words[1..])
                .arg(&file)
                .env("LOG_LEVEL", std::env::var("LOG_LEVEL").unwrap_or("info".into()))
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(log)
                .spawn()
                .map_err(|e| format!("{}: {e}", words[0]))?;
            // run.sh ends these processes if this program is stopped from outside.
            if let Ok(mut pids) = File::options().append(true).create(true).open(self.folder.join("pids")) {
                let _ = writeln!(pids, "{}", child.id());
            }
            lock(&self.children).push(child);
        }
        self.note("three controllers started");
        Ok(api)
    }

    fn params(&self) -> Value {
        let s = &self.sizes;
        let team = |(name, cpus_max): &(&str, f64)| map! {"name" => *name, "cpus" => 0.0, "cpus_max" => *cpus_max, "gpus" => 0.0, "gpus_max" => 0.0};
        map! {
            "size" => 3, "zones" => s.zones.clone(), "teams" => s.teams.iter().map(team).collect::<Vec<_>>(),
            "objectives" => Value::List(vec![]),
            "workers" => map!{"report_s" => s.report_s, "lease_s" => s.lease_s, "gang_wait_s" => s.gang_wait_s,
                "gang_peer_s" => s.gang_peer_s, "cancel_s" => s.cancel_s},
            "state" => map!{"rps" => s.rps, "write_rps" => s.write_rps, "value_kb" => s.value_kb, "txn_ops" => s.txn_ops},
            "cloud" => map!{"rps" => s.cloud_rps, "list_lag_s" => s.list_lag_s},
            "resources" => map!{"cores" => s.cores, "memory_mb" => s.memory_mb, "max_sockets" => s.sockets},
            "skew_ms" => 25.0,
        }
    }

    /// The controllers that have ended by themselves.
    pub fn ended_controllers(&self) -> usize {
        lock(&self.children).iter_mut().filter_map(|c| c.try_wait().ok().flatten()).count()
    }

    pub fn end_controllers(&self) {
        for child in lock(&self.children).iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn cloud(self: &Arc<Self>, r: &Request) -> Answer {
        if self.cloud_out.load(Ordering::Relaxed) {
            self.cloud_refused.fetch_add(1, Ordering::Relaxed);
            return Some((503, map! {"error" => "trouble"}));
        }
        if !lock(&self.cloud_budget).take(1.0) {
            return Some((429, Value::Null));
        }
        let zones = || Value::from(self.sizes.zones.clone());
        Some(match (r.method.as_str(), r.path.as_str()) {
            ("GET", "/catalog") => {
                let fleet = |t: &MachineType| {
                    map! {"name" => t.name, "cpus" => t.cpus, "accelerators" => t.gpus, "memGb" => t.mem_gb, "localGb" => 100.0,
                    "pullGbPerS" => t.pull, "rate" => t.rate, "spotPrice" => t.spot, "startupS" => t.startup_s, "yards" => zones()}
                };
                (200, map! {"fleets" => self.sizes.types.iter().map(fleet).collect::<Vec<_>>()})
            }
            ("POST", "/rentals") => self.rent(&r.body),
            ("POST", "/rentals/return") => {
                for name in r.body.get("berths").list() {
                    if let Some(m) = lock(&self.machines).remove(name.text()) {
                        m.gone.store(true, Ordering::Relaxed);
                        lock(&m.agent).attempts.clear();
                        self.note(&format!("machine {} returned by the controllers", m.name));
                    }
                }
                (200, map! {"berths" => r.body.get("berths").clone()})
            }
            ("GET", "/rentals") => {
                let (since, most) = (r.param("since"), r.param("most").parse().unwrap_or(500_usize).min(500));
                let lag = Duration::from_secs_f64(self.sizes.list_lag_s);
                let machines = lock(&self.machines);
                let listed = machines.values().filter(|m| m.rented.elapsed() >= lag && m.name > since);
                let berths: Vec<Value> = listed
                    .take(most)
                    .map(|m| {
                        let t = &self.sizes.types[m.kind];
                        let (age, addr) = (m.rented.elapsed() - lag, lock(&m.addr).clone());
                        let up = age.as_secs_f64() > t.boot_s && !addr.is_empty();
                        map! {"uid" => m.name.as_str(), "endpoint" => if up { addr.into() } else { Value::Null }, "fleet" => t.name,
                        "yard" => m.zone, "borrowed" => m.spot, "status" => if up { "running" } else { "starting" },
                        "heldS" => age.as_secs_f64()}
                    })
                    .collect();
                (200, map! {"berths" => berths, "more" => false})
            }
            _ => (400, Value::Null),
        })
    }

    fn rent(self: &Arc<Self>, body: &Value) -> (u16, Value) {
        let charter = body.get("charter").text().to_owned();
        let mut charters = lock(&self.charters);
        if let Some(names) = charters.get(&charter) {
            return (200, map! {"berths" => names.clone()});
        }
        let kind = self.sizes.types.iter().position(|t| t.name == body.get("fleet").text());
        let zone = self.sizes.zones.iter().find(|z| **z == body.get("yard").text());
        let (Some(kind), Some(zone)) = (kind, zone) else { return (400, Value::Null) };
        let spot = *body.get("borrowed") == Value::Bool(true);
        let mut machines = lock(&self.machines);
        let held = machines.values().filter(|m| m.kind == kind && m.zone == *zone).count();
        let name = self.sizes.types[kind].name;
        let most = self.sizes.capacity.iter().find(|(t, z, _)| *t == name && z == zone).map(|(.., most)| *most);
        let most = most.unwrap_or(self.sizes.types[kind].most);
        // There are no spot machines here.
        let room = if spot { 0 } else { most.saturating_sub(held) };
        let count = (body.get("count").int() as usize).min(room);
        if count == 0 {
            self.note(&format!("no capacity of {name} in {zone}, spot {spot}"));
            return (503, map! {"error" => "no capacity"});
        }
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let mut names = Vec::new();
        for _ in 0..count {
            let name = format!("host-{:06}", NEXT.fetch_add(1, Ordering::Relaxed));
            let now = Instant::now();
            let agent = Agent { shift: 1, tally: 0, baton: 0, attempts: BTreeMap::new(), answered: now, changed: true };
            let machine = Arc::new(Machine {
                name: name.clone(),
                kind,
                zone,
                spot,
                rented: now,
                addr: Mutex::default(),
                agent: Mutex::new(agent),
                dead: AtomicBool::new(false),
                gone: AtomicBool::new(false),
                starts: AtomicU64::new(0),
                killed_by_lease: AtomicU64::new(0),
                reports_refused: AtomicU64::new(0),
                reports_answered: AtomicU64::new(0),
                largest_report_json: AtomicU64::new(0),
                largest_report: AtomicU64::new(0),
            });
            machines.insert(name.clone(), machine.clone());
            let this = self.clone();
            thread::spawn(move || this.run_machine(&machine));
            names.push(name);
        }
        self.note(&format!("rented {names:?} of type {} in {zone}", self.sizes.types[kind].name));
        *lock(&self.rented).entry(self.sizes.types[kind].name).or_default() += count;
        charters.insert(charter, names.clone());
        (200, map! {"berths" => names})
    }

    /// The life of a machine: boot, then reports until it is gone.
    fn run_machine(self: &Arc<Self>, m: &Arc<Machine>) {
        thread::sleep(Duration::from_secs_f64(self.sizes.types[m.kind].boot_s));
        let (this, machine) = (self.clone(), m.clone());
        *lock(&m.addr) = http::serve(move |r| this.direct(&machine, &r));
        lock(&m.agent).answered = Instant::now();
        let (mut node, mut due, mut earliest) =
            (m.name.bytes().map(usize::from).sum::<usize>(), Instant::now(), Instant::now());
        let report = Duration::from_secs_f64(self.sizes.report_s);
        while !m.gone.load(Ordering::Relaxed) && !m.dead.load(Ordering::Relaxed) {
            self.advance(m);
            let now = Instant::now();
            if now < earliest || (now < due && !lock(&m.agent).changed) {
                thread::sleep(Duration::from_millis(20));
                continue;
            }
            let (body, shift) = {
                let mut agent = lock(&m.agent);
                agent.changed = false;
                (self.report(m, &mut agent), agent.shift)
            };
            m.largest_report_json.fetch_max(body.json().len() as u64, Ordering::Relaxed);
            m.largest_report.fetch_max(body.pack().len() as u64, Ordering::Relaxed);
            earliest = now + Duration::from_millis(500);
            due = now + report;
            let nodes = lock(&self.nodes).clone();
            let answer = http::call(&nodes[node % 3].1, "POST", "/v1/report", Some(&body), Duration::from_secs(4));
            match answer {
                Some((200, body)) => {
                    m.reports_answered.fetch_add(1, Ordering::Relaxed);
                    *lock(&self.leader) = Some(node % 3);
                    let mut agent = lock(&m.agent);
                    if agent.shift == shift && !body.get("baton").is_null() && body.get("baton").int() >= agent.baton {
                        agent.changed |= body.get("baton").int() > agent.baton;
                        agent.baton = body.get("baton").int();
                        agent.answered = agent.answered.max(now);
                        self.execute(m, &mut agent, body.get("orders").list());
                    }
                }
                Some((421, body)) => {
                    let named = nodes.iter().position(|(name, _)| name == body.get("dispatcher").text());
                    match named.filter(|n| *n != node % 3) {
                        Some(named) => (node, due, earliest) = (named, now, now),
                        None => (node, due, earliest) = (node + 1, now, Instant::now() + Duration::from_secs(1)),
                    }
                }
                other => {
                    if let Some((status, answer)) = other {
                        m.reports_refused.fetch_add(1, Ordering::Relaxed);
                        if status != 503 {
                            self.note(&format!(
                                "report of {} ({} bytes) to {} answered {status} {}",
                                m.name,
                                body.pack().len(),
                                nodes[node % 3].0,
                                answer.json()
                            ));
                        }
                    }
                    (node, due, earliest) = (node + 1, now, Instant::now() + Duration::from_secs(1));
                }
            }
        }
    }

    /// Moves attempts on, and ends the session when the lease has run out.
    fn advance(&self, m: &Machine) {
        let (now, mut agent) = (Instant::now(), lock(&m.agent));
        if now - agent.answered > Duration::from_secs_f64(self.sizes.lease_s) {
            let live = agent.attempts.values().filter(|a| a.status != "ended").count();
            m.killed_by_lease.fetch_add(live as u64, Ordering::Relaxed);
            self.note(&format!("lease of {} ran out in session {}: {live} live tasks killed", m.name, agent.shift));
            agent.attempts.clear();
            agent.shift += 1;
            agent.answered = now;
            agent.changed = true;
        }
        let mut changed = false;
        for ((leg, attempt), a) in &mut agent.attempts {
            if a.status == "fetching" && now >= a.until {
                if let Some((job, _)) = &a.gang {
                    lock(&self.gangs).entry((job.clone(), *attempt)).or_default().insert(leg.clone(), now);
                    (a.status, changed) = ("gathering", true);
                } else {
                    (a.status, a.until, changed) = ("running", now + a.run, true);
                }
            } else if a.status == "gathering"
                && let Some((job, legs)) = &a.gang
                && let Some(ready) = lock(&self.gangs).get(&(job.clone(), *attempt))
                && ready.len() as u64 == *legs
            {
                // All tasks of the gang begin when the last one has its image.
                let began = ready.values().max().copied().unwrap_or(now);
                (a.status, a.until, changed) = ("running", began + a.run, true);
            } else if a.status == "running" && now >= a.until {
                (a.status, a.cause, changed) = ("ended", Some(if a.fails { "error" } else { "done" }), true);
            }
        }
        agent.changed |= changed;
    }

    fn report(&self, m: &Machine, agent: &mut Agent) -> Value {
        agent.tally += 1;
        let legs: Vec<Value> = agent
            .attempts
            .iter()
            .map(|((leg, attempt), a)| match a.cause {
                Some(cause) => map! {"leg" => leg.as_str(), "try" => *attempt, "status" => a.status, "cause" => cause},
                None => map! {"leg" => leg.as_str(), "try" => *attempt, "status" => a.status},
            })
            .collect();
        map! {"berth" => m.name.as_str(), "endpoint" => lock(&m.addr).clone(), "fleet" => self.sizes.types[m.kind].name, "yard" => m.zone,
        "borrowed" => m.spot, "shift" => agent.shift, "tally" => agent.tally, "baton" => agent.baton, "recallS" => Value::Null, "legs" => legs}
    }

    /// Commands sent directly to a worker.
    fn direct(&self, m: &Arc<Machine>, r: &Request) -> Answer {
        if m.gone.load(Ordering::Relaxed) || m.dead.load(Ordering::Relaxed) {
            return None;
        }
        self.advance(m);
        let orders = r.body.get("orders").list();
        let launches = orders.iter().any(|o| o.get("verb").text() == "launch");
        if launches && self.die_at_launch.swap(false, Ordering::Relaxed) {
            m.dead.store(true, Ordering::Relaxed);
            *lock(&self.died) = Some(m.name.clone());
            self.note(&format!(
                "machine {} stops with all that is on it, as a launch arrives: {}",
                m.name,
                r.body.json()
            ));
            return None;
        }
        let mut agent = lock(&m.agent);
        if r.path == "/do" {
            if r.body.get("baton").is_null() || r.body.get("shift").is_null() {
                return Some((400, Value::Null));
            }
            if r.body.get("baton").int() < agent.baton || r.body.get("shift").int() != agent.shift {
                return Some((409, self.report(m, &mut agent)));
            }
            agent.changed |= r.body.get("baton").int() > agent.baton;
            agent.baton = r.body.get("baton").int();
            self.execute(m, &mut agent, orders);
        }
        Some((200, self.report(m, &mut agent)))
    }

    fn execute(&self, m: &Machine, agent: &mut Agent, orders: &[Value]) {
        let now = Instant::now();
        for order in orders {
            let key = (order.get("leg").text().to_owned(), order.get("try").int());
            match order.get("verb").text() {
                "launch" if !agent.attempts.contains_key(&key) => {
                    let id = key.0.split('/').next().unwrap_or("").to_owned();
                    let spec = lock(&self.jobs).get(&id).cloned();
                    let used: f64 = agent.attempts.values().filter(|a| a.status != "ended").map(|a| a.cpus).sum();
                    let busy = agent.attempts.iter().any(|((leg, _), a)| *leg == key.0 && a.status != "ended");
                    let cpus = spec.as_ref().map_or(0.0, |s| s.get("cpus").float());
                    let refused = match &spec {
                        None => Some("no_such"),
                        _ if busy => Some("busy"),
                        _ if used + cpus > self.sizes.types[m.kind].cpus + 1e-6 => Some("full"),
                        _ => None,
                    };
                    let run = lock(&self.run_s).get(&id).copied().unwrap_or(1.0);
                    let fails = lock(&self.sick_until).is_some_and(|until| now < until);
                    let attempt = Attempt {
                        status: if refused.is_some() { "ended" } else { "fetching" },
                        cause: refused,
                        until: now + Duration::from_millis(300),
                        run: if fails { Duration::from_millis(500) } else { Duration::from_secs_f64(run) },
                        cpus,
                        fails,
                        gang: spec
                            .as_ref()
                            .filter(|s| s.get("shape").text() == "group")
                            .map(|s| (s.get("uid").text().to_owned(), s.get("legs").int())),
                    };
                    self.note(&format!(
                        "{} try {} on {}: {}",
                        key.0,
                        key.1,
                        m.name,
                        refused.unwrap_or(if fails { "starts, and will fail" } else { "starts" })
                    ));
                    if refused.is_none() {
                        m.starts.fetch_add(1, Ordering::Relaxed);
                        *lock(&self.starts).entry(id).or_default() += 1;
                    }
                    agent.attempts.insert(key, attempt);
                    agent.changed = true;
                }
                // The tasks here have no checkpoints, so that every one exits at once.
                "halt" => {
                    if let Some(a) = agent.attempts.get_mut(&key).filter(|a| a.status != "ended") {
                        (a.status, a.cause) = ("ended", Some("halted"));
                        self.note(&format!("{} try {} on {}: halted", key.0, key.1, m.name));
                        agent.changed = true;
                    }
                }
                "reap" => {
                    if agent.attempts.get(&key).is_some_and(|a| a.status == "ended") {
                        agent.attempts.remove(&key);
                        agent.changed = true;
                    }
                }
                _ => {}
            }
        }
    }

    /// How many tasks of the job were started.
    pub fn starts(&self, id: &str) -> u64 {
        lock(&self.starts).get(id).copied().unwrap_or(0)
    }

    /// How many machines of the type were rented.
    pub fn rented(&self, name: &str) -> usize {
        lock(&self.rented).get(name).copied().unwrap_or(0)
    }

    /// The machine on which a task of the job runs.
    pub fn machine_of(&self, id: &str) -> Option<String> {
        let prefix = format!("{id}/");
        let runs = |m: &&Arc<Machine>| {
            lock(&m.agent).attempts.iter().any(|((leg, _), a)| leg.starts_with(&prefix) && a.status == "running")
        };
        self.machines().iter().find(runs).map(|m| m.name.clone())
    }
}
