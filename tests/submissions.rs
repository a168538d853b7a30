//! Submissions over HTTP: malformed jobs and jobs that can never run are rejected, possible jobs are accepted, and a
//! write whose answer is late or lost has one defined result.

// A panic in the test harness fails its test, as intended.
#![allow(clippy::unwrap_used, clippy::too_many_lines)]

mod stand_in;

use std::io::Write;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use hollylanding::protocol::cloud::MachineType;
use hollylanding::protocol::{self, Http};
use hollylanding_emulator::driver::state::Faults;
use hollylanding_emulator::world::cloud::Capacity;
use hyper::Method;
use serde::ser::{Serialize, SerializeMap, Serializer};
use serde_json::{Value, json};
use stand_in::{
    ControllerProcess, ENDLESS, SHORT, WAIT_TIMEOUT, World, job, params, send_request, settings, upload, wait_until,
};
use tokio::runtime::Runtime;

/// A value of a MessagePack body, including those that JSON cannot represent.
#[derive(Clone)]
enum Item {
    Json(Value),
    Number(f64),
    Binary(&'static [u8]),
}

impl Serialize for Item {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Self::Json(value) => value.serialize(serializer),
            Self::Number(number) => serializer.serialize_f64(*number),
            Self::Binary(bytes) => serializer.serialize_bytes(bytes),
        }
    }
}

/// The fields of a body in order. A field may occur twice or have a key that is not text.
#[derive(Clone)]
struct Body(Vec<(Item, Item)>);

impl Serialize for Body {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(self.0.len()))?;
        for (field, item) in &self.0 {
            map.serialize_entry(field, item)?;
        }
        map.end()
    }
}

impl Body {
    fn of(job: &Value) -> Self {
        let fields = job.as_object().unwrap().iter();
        Self(fields.map(|(field, value)| (Item::Json(json!(field)), Item::Json(value.clone()))).collect())
    }

    fn without(mut self, name: &str) -> Self {
        self.0.retain(|(field, _)| !matches!(field, Item::Json(field) if field == name));
        self
    }

    fn with(self, name: &str, item: Item) -> Self {
        let mut body = self.without(name);
        body.0.push((Item::Json(json!(name)), item));
        body
    }
}

/// The status codes of the two kinds of permanent rejection.
const MALFORMED: u16 = 400;
const IMPOSSIBLE: u16 = 422;

/// A body that must be rejected, built for the number of a job.
struct Case {
    name: String,
    status: u16,
    body: Box<dyn Fn(u64) -> Vec<u8>>,
    /// Whether the body is readable and has the job's id, so that a repeated submission with it reports the job's status.
    names_its_job: bool,
}

/// Returns a job of one task that fits a machine.
fn plain(n: u64) -> Value {
    job(n, 1)
}

fn case(name: String, status: u16, change: impl Fn(Body) -> Body + 'static) -> Case {
    let names_its_job = !name.starts_with("uid");
    Case { name, status, body: Box::new(move |n| protocol::encode(&change(Body::of(&plain(n))))), names_its_job }
}

fn field_case(field: &'static str, problem: &str, item: Item) -> Case {
    case(format!("{field} {problem}"), MALFORMED, move |body| body.with(field, item.clone()))
}

const TEXTS: [&str; 4] = ["uid", "jobFamily", "desk", "kit"];
const NAMES: [&str; 2] = ["shape", "urgency"];
const AMOUNTS: [&str; 7] = ["cpus", "accelerators", "memGb", "imageGb", "expectedS", "milestoneS", "stowS"];
const FLAGS: [&str; 3] = ["samePlace", "scatter", "borrowed"];

/// Numbers that are not valid amounts.
fn bad_numbers() -> [(&'static str, Item); 5] {
    [
        ("negative", Item::Json(json!(-1.0))),
        ("NaN", Item::Number(f64::NAN)),
        ("infinite", Item::Number(f64::INFINITY)),
        ("negative infinite", Item::Number(f64::NEG_INFINITY)),
        ("too large", Item::Number(1e300)),
    ]
}

/// Values of the wrong type for a required field.
fn wrong_types(field: &str) -> Vec<(&'static str, Item)> {
    let text = ("a text", Item::Json(json!("1")));
    let number = ("a number", Item::Json(json!(0)));
    let mut wrong = vec![
        ("null", Item::Json(Value::Null)),
        ("a list", Item::Json(json!(["sweep"]))),
        ("a map", Item::Json(json!({"sweep": null}))),
        ("binary", Item::Binary(b"sweep")),
    ];
    if !AMOUNTS.contains(&field) && field != "legs" {
        wrong.push(number);
    }
    if !TEXTS.contains(&field) {
        wrong.push(text);
    }
    if !FLAGS.contains(&field) {
        wrong.push(("a boolean", Item::Json(json!(true))));
    }
    wrong
}

fn field_cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for field in TEXTS.into_iter().chain(NAMES).chain(AMOUNTS).chain(FLAGS).chain(["legs"]) {
        cases.push(case(format!("{field} missing"), MALFORMED, move |body| body.without(field)));
        cases.extend(wrong_types(field).into_iter().map(|(what, item)| field_case(field, what, item)));
    }
    for field in AMOUNTS.into_iter().chain(["legs", "dueS"]) {
        cases.extend(bad_numbers().into_iter().map(|(what, item)| field_case(field, what, item)));
    }
    let others = [
        ("uid", "of another form", json!("job-1")),
        ("uid", "a path", json!("run-1/2")),
        ("uid", "without digits", json!("run-")),
        ("uid", "too long", json!("run-000000000000000000001")),
        ("shape", "unknown", json!("gang")),
        ("urgency", "unknown", json!("urgent")),
        ("legs", "none", json!(0)),
        ("legs", "too many", json!(100_001)),
        ("legs", "far too many", json!(u64::MAX)),
        ("legs", "no count", json!(1.5)),
        ("fleets", "a text", json!("c8")),
        ("fleets", "a number", json!(8)),
        ("fleets", "a list of numbers", json!([8])),
        ("fleets", "a list with null", json!(["c8", null])),
        ("yard", "a number", json!(1)),
        ("yard", "a list", json!(["a"])),
        ("dueS", "a text", json!("900")),
        ("dueS", "a boolean", json!(true)),
        ("kit", "larger than can be kept", json!("i".repeat(9000))),
    ];
    cases.extend(others.into_iter().map(|(field, what, value)| field_case(field, what, Item::Json(value))));
    cases.push(field_case("yard", "binary", Item::Binary(b"a")));
    cases
}

fn raw_case(name: &str, names_its_job: bool, change: impl Fn(Vec<u8>, &Body) -> Vec<u8> + 'static) -> Case {
    let body = move |n| {
        let body = Body::of(&plain(n));
        change(protocol::encode(&body), &body)
    };
    Case { name: name.into(), status: MALFORMED, body: Box::new(body), names_its_job }
}

fn raw_cases() -> Vec<Case> {
    let deep = |depth: usize| [vec![0x91; depth], vec![0xc0]].concat();
    vec![
        raw_case("empty", false, |_, _| Vec::new()),
        raw_case("JSON", false, |_, body| serde_json::to_vec(body).unwrap_or_default()),
        raw_case("cut short", false, |mut bytes, _| {
            bytes.pop();
            bytes
        }),
        raw_case("a reserved byte", false, |_, _| vec![0xc1]),
        raw_case("null", false, |_, _| vec![0xc0]),
        raw_case("a list of maps", false, |bytes, _| [vec![0x91], bytes].concat()),
        raw_case("an empty map", false, |_, _| vec![0x80]),
        raw_case("nested without end", false, move |_, body| {
            let mut bytes = protocol::encode(body);
            // A map header with one field more than the original map.
            let header = [0xde, 0, (body.0.len() + 1) as u8];
            let fields = bytes.split_off(if bytes[0] == 0xde { 3 } else { 1 });
            [header.to_vec(), fields, protocol::encode(&"more"), deep(50_000)].concat()
        }),
        raw_case("above the limit", false, |_, body| {
            protocol::encode(&body.clone().with("more", Item::Json(json!("x".repeat(70_000)))))
        }),
        raw_case("with bytes after it", true, |bytes, _| [bytes, vec![0xc0]].concat()),
        raw_case("twice", true, |bytes, _| [bytes.clone(), bytes].concat()),
        raw_case("keyed by numbers", false, |_, body| {
            let order =
                ["uid", "jobFamily", "desk", "shape", "urgency", "legs", "cpus", "accelerators", "memGb", "kit"];
            let order = order.into_iter().chain(["imageGb", "fleets", "yard", "samePlace", "scatter", "borrowed"]);
            let order = order.chain(["expectedS", "milestoneS", "stowS", "dueS"]);
            let of = |name: &str| body.0.iter().find(|(field, _)| matches!(field, Item::Json(f) if f == name));
            let items = order.map(|name| of(name).unwrap().1.clone());
            protocol::encode(&Body((0u64..).map(|at| Item::Json(json!(at))).zip(items).collect()))
        }),
    ]
}

/// A case of a job that can never run because of the values of these fields.
fn impossible(name: &str, fields: Value) -> Case {
    case(name.into(), IMPOSSIBLE, move |body| {
        let fields = fields.as_object().unwrap().iter();
        fields.fold(body, |body, (field, value)| body.with(field, Item::Json(value.clone())))
    })
}

/// Jobs that can never run. The teams are `blue` without limits and `red` with 20 cores and one accelerator; the machine
/// types are `c8` in zone `a`, `c32` in both zones and `g2` in zone `b`.
fn impossible_cases() -> Vec<Case> {
    vec![
        impossible("an unknown team", json!({"desk": "green"})),
        impossible("a team without a name", json!({"desk": ""})),
        impossible("an unknown type", json!({"fleets": ["x"]})),
        impossible("no type", json!({"fleets": []})),
        impossible("an unknown zone", json!({"yard": "c"})),
        impossible("types that the zone does not have", json!({"fleets": ["c8"], "yard": "b"})),
        impossible("more cores than any type", json!({"cpus": 33.0})),
        impossible("more memory than any type", json!({"memGb": 999.0})),
        impossible("more accelerators than any type", json!({"accelerators": 3.0})),
        impossible("accelerators beside more cores than their type has", json!({"accelerators": 1.0, "cpus": 9.0})),
        impossible("more cores than the allowed type", json!({"fleets": ["c8"], "cpus": 9.0})),
        impossible("a type that fits, elsewhere only", json!({"yard": "a", "accelerators": 1.0})),
        impossible("one task above the team's cores", json!({"desk": "red", "cpus": 21.0})),
        impossible("one task above the team's accelerators", json!({"desk": "red", "accelerators": 2.0})),
        impossible("a gang above the team's cores", json!({"desk": "red", "shape": "group", "legs": 21})),
        impossible("a service above the team's cores", json!({"desk": "red", "shape": "service", "legs": 21})),
        impossible(
            "a gang above the team's accelerators",
            json!({"desk": "red", "shape": "group", "legs": 2, "accelerators": 1.0}),
        ),
        impossible(
            "a gang both together and apart",
            json!({"shape": "group", "legs": 2, "samePlace": true, "scatter": true}),
        ),
        impossible(
            "a service both together and apart",
            json!({"shape": "service", "legs": 2, "samePlace": true, "scatter": true}),
        ),
        impossible("a gang apart in one zone", json!({"shape": "group", "legs": 5, "scatter": true, "yard": "a"})),
        impossible("a service apart in one zone", json!({"shape": "service", "legs": 5, "scatter": true, "yard": "a"})),
        impossible(
            "a gang apart by a type of one zone",
            json!({"shape": "group", "legs": 2, "scatter": true, "fleets": ["c8"]}),
        ),
        impossible(
            "a gang apart where its tasks fit in one zone only",
            json!({"shape": "group", "legs": 2, "scatter": true, "accelerators": 1.0}),
        ),
    ]
}

fn cases() -> Vec<Case> {
    [field_cases(), raw_cases(), impossible_cases()].into_iter().flatten().collect()
}

/// Jobs that can run: a name and the fields that differ from the plain job.
fn possible_jobs() -> Vec<(&'static str, Value)> {
    vec![
        ("plain", json!({})),
        ("amounts as integers", json!({"cpus": 1, "accelerators": 0, "memGb": 1, "expectedS": 1, "dueS": 900})),
        ("more than is known", json!({"more": {"a": [1, null]}, "less": null})),
        ("nothing at all of its machine", json!({"cpus": 0.0, "memGb": 0.0, "imageGb": 0.0, "expectedS": 0.0})),
        ("one of its types is unknown", json!({"fleets": ["x", "c8"]})),
        ("ordinary machines only", json!({"borrowed": false})),
        ("due at once", json!({"dueS": 0.0})),
        ("an array above the limit in sum", json!({"desk": "red", "legs": 30})),
        ("a gang at the limit", json!({"desk": "red", "legs": 4, "shape": "group", "cpus": 5.0})),
        ("one task both together and apart", json!({"shape": "group", "samePlace": true, "scatter": true})),
        ("one task apart in one zone", json!({"shape": "group", "scatter": true, "yard": "a"})),
        ("a gang apart in two zones", json!({"shape": "group", "legs": 5, "scatter": true, "fleets": ["c32"]})),
        ("a gang together", json!({"shape": "group", "legs": 3, "samePlace": true})),
        ("an array apart in one zone", json!({"legs": 5, "scatter": true, "yard": "a"})),
        ("an array both together and apart", json!({"legs": 5, "scatter": true, "samePlace": true})),
    ]
}

fn machine_type(name: &str, cpus: f64, gpus: f64, zones: &[&str]) -> MachineType {
    let zones = zones.iter().map(|zone| zone.to_string()).collect();
    MachineType { name: name.into(), cpus, gpus, zones, ..params().cloud.types.remove(0) }
}

/// The delay of a late write, long after its controller has stopped waiting for the answer.
const WRITE_DELAY: Duration = Duration::from_secs(4);

/// The number of a job that is never submitted.
const UNKNOWN_JOB: u64 = 999_999;

/// The emulator's world and an HTTP client for users' requests.
struct Deployment {
    outside: Runtime,
    world: Arc<World>,
    http: Http,
}

fn id(n: u64) -> String {
    format!("run-{n:06}")
}

fn start_deployment() -> Deployment {
    let mut params = params();
    params.cloud.types = vec![
        machine_type("c8", 8.0, 0.0, &["a"]),
        machine_type("c32", 32.0, 0.0, &["a", "b"]),
        machine_type("g2", 8.0, 2.0, &["b"]),
    ];
    let offered = params.cloud.types.iter().flat_map(|of| of.zones.iter().map(|zone| (of.name.clone(), zone.clone())));
    params.cloud.capacity =
        offered.map(|(type_name, zone)| Capacity { type_name, zone, on_demand: 200, spot: 0 }).collect();
    let outside = Runtime::new().unwrap();
    let world = outside.block_on(async { World::open(params) });
    Deployment { outside, world, http: Http::default() }
}

impl Deployment {
    fn start(&self, at: usize, change: impl FnOnce(&mut Value)) -> ControllerProcess {
        let names = ["node-a", "node-b", "node-c"];
        let others: Vec<&str> = names.into_iter().filter(|name| *name != names[at]).collect();
        let door = self.outside.block_on(self.world.serve_controller(at));
        let mut settings = settings(names[at], &others, &door);
        settings["params"]["zones"] = json!(["a", "b"]);
        settings["params"]["teams"] = json!([{"name": "blue"}, {"name": "red", "cpus_max": 20.0, "gpus_max": 1.0}]);
        change(&mut settings);
        let controller = ControllerProcess::start_with(&self.world, &settings, "leader.lease.seconds=10");
        // Waits for an answer and not for the health check, which fails while the machine types are unknown.
        self.outside
            .block_on(wait_until("store loaded", || async { self.look_up(&controller, UNKNOWN_JOB).await.0 == 404 }));
        controller
    }

    /// Submits a body until the response is not 503: rate limits and freshness checks may delay any response.
    async fn submit(&self, at: &ControllerProcess, body: Vec<u8>) -> (u16, Value) {
        let begun = Instant::now();
        loop {
            let answer = self.submit_once(at, body.clone()).await;
            if answer.0 != 503 {
                return answer;
            }
            assert!(begun.elapsed() < WAIT_TIMEOUT, "always answered with 503: {}", answer.1);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn submit_once(&self, at: &ControllerProcess, body: Vec<u8>) -> (u16, Value) {
        send_request(&self.http, Method::POST, &at.addr, "/work", Some(body)).await
    }

    async fn look_up(&self, at: &ControllerProcess, n: u64) -> (u16, Value) {
        send_request(&self.http, Method::GET, &at.addr, &format!("/work/{}", id(n)), None).await
    }

    fn has(&self, prefix: &str, n: u64) -> bool {
        self.world.state.lock().unwrap().store.has(&format!("{prefix}{}", id(n)))
    }

    fn version(&self, prefix: &str, n: u64) -> u64 {
        self.world.state.lock().unwrap().store.version(&format!("{prefix}{}", id(n)))
    }

    fn count_starts(&self, n: u64) -> usize {
        let task = format!("{}/", id(n));
        self.world.starts.lock().unwrap().iter().filter(|started| started.starts_with(&task)).count()
    }

    fn end(self, controllers: impl IntoIterator<Item = ControllerProcess>) {
        controllers.into_iter().for_each(drop);
        self.outside.shutdown_background();
    }
}

/// Malformed bodies and jobs that can never run, at a controller that knows the machine types: each is rejected with the
/// status code of the protocol, and nothing is stored.
#[test]
fn malformed_and_impossible_jobs_are_rejected() {
    let deployment = start_deployment();
    let a = deployment.start(0, |_| ());
    let wrong: Vec<String> = deployment.outside.block_on(async {
        wait_until("machine types are known", || async { a.controller.catalog.get().is_some() }).await;
        let mut wrong = Vec::new();
        for (n, case) in (1u64..).zip(cases()) {
            let (code, answer) = deployment.submit(&a, (case.body)(n)).await;
            let explained = answer["error"].as_str().is_some_and(|problem| !problem.is_empty());
            if code != case.status || !explained || deployment.has("c/o/", n) {
                wrong.push(format!("{}: {code} {answer}, not {}", case.name, case.status));
            }
        }
        wrong
    });
    assert!(wrong.is_empty(), "{} cases: {wrong:#?}", wrong.len());
    deployment.end([a]);
}

/// The same bodies at a controller that does not know the machine types: malformed bodies are rejected, and the others
/// are answered with 503.
#[test]
fn well_formed_jobs_are_not_decided_while_machine_types_are_unknown() {
    let deployment = start_deployment();
    // This address has no listener.
    let a = deployment.start(0, |settings| settings["endpoints"]["cloud"] = json!("127.0.0.1:1"));
    let wrong: Vec<String> = deployment.outside.block_on(async {
        let mut wrong = Vec::new();
        let possible = case("plain".into(), IMPOSSIBLE, |body| body);
        for (n, case) in (1u64..).zip(cases().into_iter().chain([possible])) {
            let body = (case.body)(n);
            // A job that is too large to store is detected only when it is about to be stored.
            let undecided = case.status == IMPOSSIBLE || case.name.ends_with("can be kept");
            let (code, answer) =
                if undecided { deployment.submit_once(&a, body).await } else { deployment.submit(&a, body).await };
            if code != if undecided { 503 } else { MALFORMED } || deployment.has("c/o/", n) {
                wrong.push(format!("{}: {code} {answer}", case.name));
            }
        }
        wrong
    });
    assert!(a.controller.catalog.get().is_none());
    assert!(wrong.is_empty(), "{} cases: {wrong:#?}", wrong.len());
    deployment.end([a]);
}

/// A repeated submission of an accepted job reports the job's status at every controller, whatever else its body says.
#[test]
fn repeated_submission_reports_the_job_status_whatever_its_body() {
    let deployment = start_deployment();
    let (a, b) = (deployment.start(0, |_| ()), deployment.start(1, |_| ()));
    let wrong: Vec<String> = deployment.outside.block_on(async {
        let mut wrong = Vec::new();
        upload(&deployment.world, &plain(1), SHORT);
        assert_eq!(deployment.submit(&a, protocol::encode(&plain(1))).await.0, 201);
        wait_until("done", || async { deployment.look_up(&a, 1).await.1["status"] == "done" }).await;
        for at in [&a, &b] {
            for case in cases().into_iter().filter(|case| case.names_its_job) {
                let (code, answer) = deployment.submit(at, (case.body)(1)).await;
                if (code, &answer["status"]) != (200, &json!("done")) {
                    wrong.push(format!("{} at {}: {code} {answer}", case.name, at.controller.settings.node));
                }
            }
        }
        wrong
    });
    assert!(wrong.is_empty(), "{} cases: {wrong:#?}", wrong.len());
    deployment.end([a, b]);
}

/// Jobs with null or omitted optional fields, with unusual values, or that only look impossible are accepted and completed.
#[test]
fn possible_jobs_are_accepted_and_completed() {
    let deployment = start_deployment();
    let a = deployment.start(0, |_| ());
    deployment.outside.block_on(async {
        let mut jobs: Vec<(String, Value)> = Vec::new();
        for (name, fields) in possible_jobs() {
            let mut job = plain(0);
            job.as_object_mut().unwrap().extend(fields.as_object().unwrap().clone());
            jobs.push((name.into(), job));
        }
        for field in ["fleets", "yard", "dueS"] {
            let mut job = plain(0);
            job.as_object_mut().unwrap().remove(field);
            jobs.push((format!("{field} omitted"), job));
        }
        for (n, (name, job)) in (1u64..).zip(&mut jobs) {
            job["uid"] = json!(id(n));
            upload(&deployment.world, job, SHORT);
            let (code, answer) = deployment.submit(&a, protocol::encode(job)).await;
            assert_eq!(code, 201, "{name}: {answer}");
        }
        for (n, (name, job)) in (1u64..).zip(&jobs) {
            wait_until(name, || async { deployment.look_up(&a, n).await.1["status"] == "done" }).await;
            assert_eq!(deployment.count_starts(n), job["legs"].as_u64().unwrap() as usize, "{name}");
        }
    });
    deployment.end([a]);
}

/// The lines that all controllers of this process log.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<Vec<u8>>>);

impl Write for Log {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Log {
    /// Captures all lines that are logged from now on, by any test; each test looks for its own jobs.
    fn capture() -> Self {
        static LOG: OnceLock<Log> = OnceLock::new();
        let begin = || {
            let log = Log::default();
            let writer = log.clone();
            tracing_subscriber::fmt().with_writer(move || writer.clone()).init();
            log
        };
        LOG.get_or_init(begin).clone()
    }

    /// Returns how many lines consist of exactly this text after the name of the module.
    fn count(&self, line: &str) -> usize {
        let bytes = self.0.lock().unwrap().clone();
        let text = String::from_utf8(bytes).unwrap();
        text.lines().filter(|logged| logged.ends_with(&format!(": {line}"))).count()
    }
}

fn accepted_line(n: u64) -> String {
    format!("job accepted job={} team=blue class=f tasks=1", id(n))
}

fn cancelled_line(n: u64) -> String {
    format!("job cancelled job={}", id(n))
}

impl Deployment {
    fn faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.world.state.lock().unwrap().faults);
    }

    /// Makes the state service carry out the next write under this prefix without answering it.
    fn lose_an_answer(&self, prefix: &'static str) {
        self.faults(|faults| (faults.unanswered_writes, faults.key_prefix) = (1, Some(prefix)));
    }

    /// Makes the state service carry out the next write under this prefix only after `WRITE_DELAY`, without answering it.
    fn delay_a_write(&self, prefix: &'static str) {
        self.faults(|faults| (faults.late_writes, faults.key_prefix) = ((1, WRITE_DELAY), Some(prefix)));
    }

    /// Waits until so many late writes have been carried out.
    async fn wait_for_late_writes(&self, count: u32) {
        wait_until("late writes carried out", || async {
            self.world.state.lock().unwrap().faults.finished_late_writes == count
        })
        .await;
    }

    async fn cancel(&self, at: &ControllerProcess, n: u64) -> (u16, Value) {
        send_request(&self.http, Method::POST, &at.addr, &format!("/work/{}/withdraw", id(n)), None).await
    }

    /// Cancels a job until the cancellation is reported.
    async fn cancel_until_reported(&self, at: &ControllerProcess, n: u64) {
        wait_until("withdrawn", || async { self.cancel(at, n).await.1["status"] == "withdrawn" }).await;
    }
}

/// Writes whose answer is lost or late, and whose user retries or does not: the log has exactly one line for each write
/// that was carried out.
#[test]
fn every_stored_acceptance_and_cancellation_is_logged_once() {
    let log = Log::capture();
    let deployment = start_deployment();
    let (a, b) = (deployment.start(0, |_| ()), deployment.start(1, |_| ()));
    deployment.outside.block_on(async {
        let submit_plain = |at, n| deployment.submit(at, protocol::encode(&plain(n)));
        for n in 101..=108 {
            upload(&deployment.world, &plain(n), ENDLESS);
        }
        for (n, at) in [(101, &a), (102, &b)] {
            assert_eq!(submit_plain(at, n).await.0, 201);
            deployment.cancel_until_reported(at, n).await;
        }
        // The user does not retry.
        for (n, at) in [(103, &a), (104, &b)] {
            deployment.lose_an_answer("c/o/");
            assert_eq!(deployment.submit_once(at, protocol::encode(&plain(n))).await.0, 503);
            wait_until("accepted", || async { log.count(&accepted_line(n)) > 0 }).await;
            deployment.lose_an_answer("h/w/");
            assert_eq!(deployment.cancel(at, n).await.0, 503);
            wait_until("withdrawn", || async { log.count(&cancelled_line(n)) > 0 }).await;
        }
        // The user retries at the other controller.
        for (n, at, other) in [(105, &a, &b), (106, &b, &a)] {
            deployment.lose_an_answer("c/o/");
            assert_eq!(deployment.submit_once(at, protocol::encode(&plain(n))).await.0, 503);
            assert_eq!(submit_plain(other, n).await.0, 200);
            deployment.lose_an_answer("h/w/");
            assert_eq!(deployment.cancel(at, n).await.0, 503);
            deployment.cancel_until_reported(other, n).await;
        }
        // The writes are carried out late.
        for (n, at, late) in [(107, &a, 1), (108, &b, 3)] {
            deployment.delay_a_write("c/o/");
            assert_eq!(deployment.submit_once(at, protocol::encode(&plain(n))).await.0, 503);
            deployment.wait_for_late_writes(late).await;
            wait_until("accepted", || async { deployment.look_up(at, n).await.0 == 200 }).await;
            deployment.delay_a_write("h/w/");
            assert_eq!(deployment.cancel(at, n).await.0, 503);
            assert!(deployment.has("c/o/", n), "the cancellation must still be in flight");
            assert_eq!(log.count(&cancelled_line(n)), 0, "logged before it is stored");
            deployment.wait_for_late_writes(late + 1).await;
        }
        for n in 101..=108 {
            assert!(deployment.has("h/w/", n));
            for line in [accepted_line(n), cancelled_line(n)] {
                wait_until(&line, || async { log.count(&line) > 0 }).await;
                assert_eq!(log.count(&line), 1, "{line}");
            }
        }
    });
    deployment.end([a, b]);
}

/// A submission that was answered with 503 and is carried out only later. Until then no controller knows the job; from
/// then on all controllers do, and it runs once. Its user may have retried meanwhile at any controller, and the job may
/// have been cancelled or completed: then the late write changes nothing.
#[test]
fn submission_carried_out_late_creates_one_job() {
    let deployment = start_deployment();
    let (a, b) = (deployment.start(0, |_| ()), deployment.start(1, |_| ()));
    let both = [&a, &b];
    deployment.outside.block_on(async {
        let mut late = 0;
        for (n, run) in [(201, ENDLESS), (202, ENDLESS), (203, SHORT), (204, ENDLESS)] {
            upload(&deployment.world, &plain(n), run);
        }
        let submit_late = async |n: u64| {
            deployment.delay_a_write("c/o/");
            let (code, answer) = deployment.submit_once(&a, protocol::encode(&plain(n))).await;
            assert_eq!(code, 503, "{answer}");
            for at in both {
                assert_eq!(deployment.look_up(at, n).await.0, 404, "the job must not be accepted yet");
                assert_eq!(deployment.cancel(at, n).await.0, 404, "there must be nothing to cancel");
            }
        };
        let stored_keys = |n: u64| ["c/o/", "h/d/", "h/w/"].map(|prefix| deployment.has(prefix, n));

        // The user does not retry: the job runs like any other, and can be cancelled.
        submit_late(201).await;
        late += 1;
        deployment.wait_for_late_writes(late).await;
        for at in both {
            assert_eq!(deployment.look_up(at, 201).await.0, 200, "a stored job must be known");
        }
        wait_until("running", || async { deployment.count_starts(201) == 1 }).await;
        for at in both {
            assert_eq!(deployment.submit(at, protocol::encode(&plain(201))).await.0, 200);
        }

        // The user retries, and then the job stays open, is done or is cancelled.
        for (n, want) in [(202, [true, false, false]), (203, [false, true, false]), (204, [false, false, true])] {
            submit_late(n).await;
            assert_eq!(deployment.submit(&b, protocol::encode(&plain(n))).await.0, 201);
            if want[2] {
                deployment.cancel_until_reported(&a, n).await;
            }
            if want[1] {
                wait_until("done", || async { deployment.look_up(&a, n).await.1["status"] == "done" }).await;
            }
            assert_eq!(stored_keys(n), want);
            let version = deployment.version("c/o/", n);
            late += 1;
            deployment.wait_for_late_writes(late).await;
            assert_eq!(
                (stored_keys(n), deployment.version("c/o/", n)),
                (want, version),
                "the late write must not change anything"
            );
            for at in both {
                let (code, answer) = deployment.submit(at, protocol::encode(&plain(n))).await;
                assert_eq!(code, 200, "{answer}");
                assert_eq!(answer["status"] == "withdrawn", want[2], "{answer}");
                assert_eq!(answer["status"] == "done", want[1], "{answer}");
            }
        }
        deployment.cancel_until_reported(&b, 201).await;
        wait_until("all tasks stopped", || async {
            deployment.world.fleet.lock().unwrap().count_live_tasks(&id(201)) == 0
        })
        .await;
        let started = [201, 202, 203, 204].map(|n| deployment.count_starts(n));
        assert!(started[..3] == [1, 1, 1] && started[3] <= 1, "{started:?}");
    });
    deployment.end([a, b]);
}
