//! The emulator's world as these tests run it, and what it takes to run real controllers against it
//! in the tests' own process. Every port is the system's choice.

// A stand-in that panics fails its test, as it should; not every test uses all of it.
#![allow(clippy::unwrap_used, dead_code)]

pub mod observer;

use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hollylanding::controller::Controller;
use hollylanding::protocol::cloud::MachineType;
use hollylanding::protocol::jobs::JobSpec;
use hollylanding::protocol::{self, Http};
use hollylanding::settings::{Properties, Settings};
pub use hollylanding_emulator::driver::World;
use hollylanding_emulator::driver::{self, listen};
use hollylanding_emulator::world::cloud::{self, BootMode, Capacity};
use hollylanding_emulator::world::fleet::{self, Upload};
use hollylanding_emulator::world::store::Limits;
use hyper::Method;
use serde_json::{Value, json};
use tokio::runtime::Runtime;

const LEASE: Duration = Duration::from_secs(24);
pub const LONG: Duration = Duration::from_secs(60);

/// One type in one zone, up at once; pages of two, so that reading on is always tried.
pub fn params() -> driver::Params {
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
    driver::Params {
        limits: Limits::default(),
        cloud: cloud::Params {
            types: vec![of],
            capacity: vec![Capacity { type_name: "c8".into(), zone: "a".into(), on_demand: 200, spot: 0 }],
            requests_per_second: 1e6,
            list_lag: Duration::from_millis(200),
            notice: Duration::from_secs(20),
            silent: 0.0,
            never_up: 0.0,
            slow_up: 0.0,
        },
        fleet: fleet::Params { lease: LEASE, gang_wait: Duration::from_secs(35), gang_peer: Duration::from_secs(8) },
        boots: BootMode::AtOnce,
        heartbeat: Duration::from_millis(60),
        page_most: 2,
        seed: 1,
        judged: false,
    }
}

/// The world, and the address of the state service and the cloud.
pub async fn open_world() -> (Arc<World>, String) {
    let world = World::open(params());
    let door = world.serve_controller(0).await;
    (world, door)
}

/// A user uploads a job for the workers, each task running so long; endless if for no time.
pub fn upload(world: &World, job: &Value, run: Duration) {
    let spec: JobSpec = serde_json::from_value(job.clone()).unwrap();
    world.upload(Upload { spec, run, broken: false });
}

/// How long a task runs that soon ends.
pub const SHORT: Duration = Duration::from_millis(50);
/// One that runs until it is stopped.
pub const ENDLESS: Duration = Duration::ZERO;

/// A controller in a runtime of its own, which ends it with all that it has open.
pub struct ControllerProcess {
    world: Arc<World>,
    pub addr: String,
    pub controller: Arc<Controller>,
    runtime: Option<Runtime>,
}

impl ControllerProcess {
    /// Workers turn to it from now on, until it ends.
    pub fn start(world: &Arc<World>, settings: &Value) -> Self {
        Self::start_with(world, settings, "")
    }

    /// The same, with more properties than an election lease of a second.
    pub fn start_with(world: &Arc<World>, settings: &Value, properties: &str) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
        let settings = Settings::parse(&settings.to_string()).unwrap();
        let properties = Properties::parse(format!("leader.lease.seconds=1\n{properties}").as_bytes()).unwrap();
        let (controller, addr) = runtime.block_on(async {
            let controller = Controller::new(settings, properties);
            controller.start();
            let addr = listen(hollylanding::users::router(&controller.users)).await;
            (controller, addr)
        });
        let name = controller.settings.node.clone();
        world.nodes.lock().unwrap().push(driver::Node { name, addr: addr.clone() });
        Self { world: world.clone(), addr, controller, runtime: Some(runtime) }
    }

    /// What it holds of one thing that could grow; 0 if it holds none.
    pub fn held(&self, what: &str) -> usize {
        self.controller.entry_counts().into_iter().find(|(name, _)| *name == what).map_or(0, |(_, n)| n)
    }
}

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        self.world.nodes.lock().unwrap().retain(|n| n.addr != self.addr);
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Settings of a controller among `others`, which it cannot reach: nothing may depend on that.
pub fn settings(me: &str, others: &[&str], door: &str) -> Value {
    let peers: Vec<Value> =
        others.iter().map(|n| json!({"host_name": n, "area": "a", "endpoint": "127.0.0.1:1"})).collect();
    json!({"host_name": me, "area": "a", "api_addr": "127.0.0.1:0", "mesh_addr": "127.0.0.1:0",
        "peers": peers, "endpoints": {"cloud": door, "state": door},
        "params": {"size": others.len() + 1, "zones": ["a"], "teams": [{"name": "blue"}], "objectives": [],
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
        Ok((status, body)) => (status, protocol::decode(&body).unwrap_or_default()),
        Err(_) => (0, Value::Null),
    }
}

pub fn job(n: u64, tasks: u64) -> Value {
    json!({"uid": format!("run-{n:06}"), "jobFamily": "f", "desk": "blue", "shape": "sweep", "urgency": "normal",
        "legs": tasks, "cpus": 1.0, "accelerators": 0.0, "memGb": 1.0, "kit": "i", "imageGb": 0.1, "fleets": null,
        "yard": null, "samePlace": false, "scatter": false, "borrowed": true, "expectedS": 1.0, "milestoneS": 0.0,
        "stowS": 0.0, "dueS": null})
}
