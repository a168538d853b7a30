//! Shared test harness: configures the emulator's world and runs real controllers against it inside the test
//! process. The operating system chooses every port.

// A panic in the harness fails its test, as intended; not every test uses all of the harness.
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

/// The lease of a worker's tasks.
const LEASE: Duration = Duration::from_secs(24);
/// How long a test waits for a condition before it fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns the emulator's parameters: one machine type in one zone, which boots immediately. A page holds two entries,
/// so that every test reads beyond the first page.
pub fn params() -> driver::Params {
    let machine_type = MachineType {
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
            types: vec![machine_type],
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
        max_page_items: 2,
        seed: 1,
        judged: false,
    }
}

/// Opens a world, and returns it with the address at which the first controller reaches the state service and the cloud.
pub async fn open_world() -> (Arc<World>, String) {
    let world = World::open(params());
    let door = world.serve_controller(0).await;
    (world, door)
}

/// Uploads a job whose tasks each run for `run`, or without end if `run` is zero.
pub fn upload(world: &World, job: &Value, run: Duration) {
    let spec: JobSpec = serde_json::from_value(job.clone()).unwrap();
    world.upload(Upload { spec, run, broken: false });
}

/// The run time of a short task.
pub const SHORT: Duration = Duration::from_millis(50);
/// The run time of a task that runs until it is stopped.
pub const ENDLESS: Duration = Duration::ZERO;

/// A controller in a runtime of its own. Dropping it ends the controller's tasks and closes its connections.
pub struct ControllerProcess {
    world: Arc<World>,
    pub addr: String,
    pub controller: Arc<Controller>,
    runtime: Option<Runtime>,
}

impl ControllerProcess {
    /// Starts a controller and makes it known to the workers until it is dropped.
    pub fn start(world: &Arc<World>, settings: &Value) -> Self {
        Self::start_with(world, settings, "")
    }

    /// Starts a controller with `properties` in addition to an election lease of one second.
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

    /// Returns how many entries the controller holds in the collection `collection`, or 0 if it reports no such collection.
    pub fn count_held(&self, collection: &str) -> usize {
        self.controller.entry_counts().into_iter().find(|(name, _)| *name == collection).map_or(0, |(_, n)| n)
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

/// Returns the settings of a controller with the peers `others`. Nobody listens at the peers' addresses, because
/// correctness may not depend on connections between controllers.
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

/// Waits until the condition holds, and fails the test after [`WAIT_TIMEOUT`].
pub async fn wait_until<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    let started_at = Instant::now();
    while !condition().await {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "timed out waiting for: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Sends a request, and returns the status code and the decoded body; without a response the status code is 0.
pub async fn send_request(http: &Http, method: Method, addr: &str, path: &str, body: Option<Vec<u8>>) -> (u16, Value) {
    match http.call(method, addr, path, body, Duration::from_secs(5)).await {
        Ok((status, body)) => (status, protocol::decode(&body).unwrap_or_default()),
        Err(_) => (0, Value::Null),
    }
}

/// Returns the description of job `n` with so many tasks.
pub fn job(n: u64, tasks: u64) -> Value {
    json!({"uid": format!("run-{n:06}"), "jobFamily": "f", "desk": "blue", "shape": "sweep", "urgency": "normal",
        "legs": tasks, "cpus": 1.0, "accelerators": 0.0, "memGb": 1.0, "kit": "i", "imageGb": 0.1, "fleets": null,
        "yard": null, "samePlace": false, "scatter": false, "borrowed": true, "expectedS": 1.0, "milestoneS": 0.0,
        "stowS": 0.0, "dueS": null})
}
