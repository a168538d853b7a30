//! Requests and answers match the fixtures: a controller's requests to the state service and the cloud, the requests of
//! users and workers to it, and the output of the command line.

// A panic in the test harness fails its test, as intended.
#![allow(clippy::unwrap_used, clippy::too_many_lines)]

mod fixtures;
mod stand_in;

use std::process::Command;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hollylanding::fleet::cloud::{CloudClient, CloudError};
use hollylanding::protocol::state::KeyVersionPage;
use hollylanding::protocol::{self, Http};
use hollylanding::settings::{Settings, StateParams};
use hollylanding::store::budget::{RequestPriority, TokenBucket};
use hollylanding::store::transaction_limits::LimitTracker;
use hollylanding::store::{Change, CompareAndSwapOutcome, Condition, StateClient, StoreError};
use serde::Serialize;
use serde_json::{Value, json};
use stand_in::{ControllerProcess, WAIT_TIMEOUT, World, job, params, settings, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;

/// An HTTP message.
struct Message {
    head: String,
    body: Vec<u8>,
}

impl Message {
    /// Reads the next message of a connection, or `None` if the connection has ended.
    async fn read(stream: &mut TcpStream) -> Option<Self> {
        let mut bytes = Vec::new();
        loop {
            if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
                let head = String::from_utf8(bytes[..end].to_vec()).unwrap();
                let mut message = Self { head, body: bytes[end + 4..].to_vec() };
                let length = message.header("content-length").map_or(0, |text| text.parse::<usize>().unwrap());
                let have = message.body.len();
                message.body.resize(length.max(have), 0);
                stream.read_exact(&mut message.body[have..]).await.unwrap();
                return Some(message);
            }
            if stream.read_buf(&mut bytes).await.ok()? == 0 {
                return None;
            }
        }
    }

    fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines.filter(|(header, _)| header.eq_ignore_ascii_case(name)).map(|(_, value)| value).next()
    }

    /// Returns the method and path of a request.
    fn request(&self) -> String {
        self.head.split(' ').take(2).collect::<Vec<_>>().join(" ")
    }

    /// Returns the status code of an answer.
    fn status(&self) -> u64 {
        self.head.split(' ').nth(1).unwrap().parse().unwrap()
    }

    /// Returns the decoded body, or null if there is none. The HTTP framework fills the empty body of an error with a page,
    /// which is not MessagePack.
    fn value(&self) -> Value {
        match self.body.as_slice() {
            [] => Value::Null,
            body => protocol::decode_whole(body).unwrap_or_else(|_| json!("NO MAP")),
        }
    }
}

/// Starts a server that answers the exchanges of a fixture in order, if the requests match. Returns the remaining exchanges
/// and the server's address.
async fn start_scripted_server(file: &str) -> (Arc<Mutex<Vec<Value>>>, String) {
    let mut exchanges = fixtures::entries(file);
    exchanges.reverse();
    let left = Arc::new(Mutex::new(exchanges));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let script = left.clone();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let script = script.clone();
            tokio::spawn(async move {
                while let Some(message) = Message::read(&mut stream).await {
                    let answer = answer(&script, &message);
                    stream.write_all(&answer).await.unwrap();
                }
            });
        }
    });
    (left, addr)
}

/// Returns the next answer of the script. A request that does not match the next exchange is answered with 500, and the
/// exchange stays the next one.
fn answer(script: &Mutex<Vec<Value>>, asked: &Message) -> Vec<u8> {
    let mut script = script.lock().unwrap();
    let matches_fixture = |next: &Value| next["request"] == asked.request().as_str() && next["body"] == asked.value();
    let next = script.last().filter(|next| matches_fixture(next)).cloned();
    let (status, body) = match next {
        Some(next) => {
            script.pop();
            let body = next.get("answer").map(protocol::encode).unwrap_or_default();
            (next["status"].as_u64().unwrap(), body)
        }
        None => {
            eprintln!("request: {} {}, fixture: {:?}", asked.request(), asked.value(), script.last());
            (500, Vec::new())
        }
    };
    let mut answer = format!("HTTP/1.1 {status} -\r\ncontent-length: {}\r\n\r\n", body.len()).into_bytes();
    answer.extend(body);
    answer
}

/// Returns the answer of an exchange in a fixture, by its index.
fn recorded(file: &str, number: usize) -> Value {
    fixtures::entries(file)[number]["answer"].clone()
}

fn value(of: &impl Serialize) -> Value {
    serde_json::to_value(of).unwrap()
}

#[tokio::test]
async fn state_service_requests_match_the_fixture_and_answers_are_decoded() {
    const FILE: &str = "state-exchanges.json";
    let (left, addr) = start_scripted_server(FILE).await;
    let ample = || TokenBucket::new(1e6, 1e6, Instant::now());
    let limits = StateParams { rps: 1e6, write_rps: 1e6, value_kb: 64.0, txn_ops: 100, next: None };
    let limits = LimitTracker::new(&limits);
    let client = StateClient::new(Http::default(), addr, ample(), ample(), limits, Default::default());
    let first = RequestPriority::Critical;
    let conditions = [Condition::absent("a/b")];
    let written = Change::Write { write: "a/b".into(), value: json!({"x": 1}), permit: Some(7) };
    let changes = [written, Change::Drop { drop: "c/d".into() }];
    let failed = CompareAndSwapOutcome::Failed(vec!["a/b".into()]);
    for wanted in [CompareAndSwapOutcome::Applied(432), failed, CompareAndSwapOutcome::LeaseExpired] {
        assert_eq!(client.compare_and_swap(&conditions, &changes, first).await, Ok(wanted));
    }
    client.reserve(first).await.unwrap();
    assert_eq!(client.compare_reserved(&conditions).await, Ok(vec!["a/b".to_owned()]));
    let item = client.get("c/o/run-000412", first).await.unwrap().unwrap();
    assert_eq!(value(&item), json!({"path": "c/o/run-000412", "value": {"a": 1}, "stamp": 412}));
    assert_eq!(client.get("c/o/run-000499", first).await.unwrap(), None);
    let mut pages = client.pages("c/", None);
    for number in [6, 7] {
        assert_eq!(value(&pages.next().await.unwrap().unwrap()), recorded(FILE, number));
    }
    assert!(pages.next().await.unwrap().is_none());
    let KeyVersionPage { items: names, more } =
        client.key_versions("h/", Some("h/d/run-000001"), 2, first).await.unwrap();
    let names: Vec<_> = names.iter().map(|name| (name.path.as_str(), name.version)).collect();
    assert_eq!((names, more), (vec![("c/o/run-000412", 412), ("c/o/run-000413", 413)], true));
    let followed = client.watch("c/", 431, Duration::from_secs(10)).await.unwrap();
    assert_eq!(value(&followed), recorded(FILE, 9));
    assert_eq!(client.watch("c/", 1, Duration::ZERO).await.unwrap_err(), StoreError::RevisionTooOld);
    assert_eq!(client.grant_lease(Duration::from_secs(5)).await, Ok(7));
    assert_eq!(client.renew_lease(7).await, Ok(true));
    assert_eq!(client.renew_lease(8).await, Ok(false));
    assert_eq!(client.revoke_lease(7).await, Ok(()));
    assert_eq!(client.get("a", first).await, Err(StoreError::Unavailable(503)));
    assert!(left.lock().unwrap().is_empty());
}

#[tokio::test]
async fn cloud_requests_match_the_fixture_and_answers_are_decoded() {
    const FILE: &str = "cloud-exchanges.json";
    let (left, addr) = start_scripted_server(FILE).await;
    let settings = Settings::parse(&settings("node-a", &[], &addr).to_string()).unwrap();
    let client = CloudClient::new(Http::default(), &settings, Default::default(), Instant::now());
    assert_eq!(value(&client.fetch_catalog().await.unwrap()), recorded(FILE, 0));
    let rental = serde_json::from_value(fixtures::entries(FILE)[1]["body"].clone()).unwrap();
    let names = vec!["host-000231".to_owned(), "host-000232".to_owned()];
    assert_eq!(client.provision(&rental).await.unwrap(), names);
    assert!(matches!(client.provision(&rental).await, Err(CloudError::NoCapacity)));
    assert!(matches!(client.provision(&rental).await, Err(CloudError::Refused(503))));
    client.terminate(names).await.unwrap();
    let listed = value(&client.list_machines().await.unwrap());
    let pages = [5, 6].map(|number| recorded(FILE, number)["berths"].as_array().unwrap().clone());
    assert_eq!(listed, json!(pages.concat()));
    assert!(left.lock().unwrap().is_empty());
}

/// Sends one request of a user or a worker, and returns the exchange in the form of the fixtures.
async fn exchange(addr: &str, name: &str, request: &str, body: Option<&Value>) -> Value {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let bytes = body.map(protocol::encode).unwrap_or_default();
    let head = format!("{request} HTTP/1.1\r\nhost: {addr}\r\ncontent-length: {}\r\n\r\n", bytes.len());
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&bytes).await.unwrap();
    let answer = Message::read(&mut stream).await.unwrap();
    let mut exchange = json!({"name": name, "request": request, "status": answer.status(), "answer": answer.value(),
        "type": answer.header("content-type"), "retry after": answer.header("retry-after")});
    if let Some(body) = body {
        exchange["body"] = body.clone();
    }
    // A fencing token is a revision of the store, which differs from run to run.
    if let Some(fencing_token) = exchange["answer"].get_mut("baton") {
        assert!(fencing_token.as_u64().is_some_and(|fencing_token| fencing_token > 0), "{fencing_token}");
        *fencing_token = json!("TOKEN");
    }
    exchange
}

/// Sends a request until its answer is not 503, and returns that exchange.
async fn exchange_until_settled(addr: &str, name: &str, request: &str, body: Option<&Value>) -> Value {
    let begun = Instant::now();
    loop {
        let exchange = exchange(addr, name, request, body).await;
        if exchange["status"] != 503 {
            return exchange;
        }
        assert!(begun.elapsed() < WAIT_TIMEOUT, "never settled: {exchange}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn heartbeat() -> Value {
    json!({"berth": "host-000231", "endpoint": "127.0.0.1:9", "fleet": "c8", "yard": "a", "borrowed": true,
        "shift": 1, "tally": 1, "baton": 0, "recallS": null, "legs": []})
}

fn with(mut value: Value, field: &str, holds: Value) -> Value {
    value[field] = holds;
    value
}

/// Opens a world in which jobs wait, since the cloud has no machines.
fn world_without_machines(outside: &Runtime) -> (Arc<World>, String) {
    let mut params = params();
    params.cloud.capacity.clear();
    outside.block_on(async {
        let world = World::open(params);
        let door = world.serve_controller(0).await;
        (world, door)
    })
}

async fn until_healthy(addr: &str) {
    wait_until("healthy", || async { exchange(addr, "", "GET /healthz", None).await["status"] == 200 }).await;
}

#[test]
fn answers_to_users_and_workers_match_the_fixture() {
    let outside = Runtime::new().unwrap();
    let (world, door) = world_without_machines(&outside);
    let owner = ControllerProcess::start(&world, &settings("node-a", &[], &door));
    let addr = owner.addr.as_str();
    let mut exchanges = outside.block_on(async {
        until_healthy(addr).await;
        let no_team = with(job(2, 1), "desk", json!("green"));
        let too_large = with(job(3, 1), "cpus", json!(9.0));
        let no_tasks = with(job(4, 1), "legs", json!(0));
        let mut no_image = job(5, 1);
        no_image.as_object_mut().unwrap().remove("kit");
        vec![
            exchange(addr, "healthy", "GET /healthz", None).await,
            exchange_until_settled(addr, "accepted", "POST /work", Some(&job(1, 3))).await,
            exchange_until_settled(addr, "accepted before", "POST /work", Some(&job(1, 3))).await,
            exchange_until_settled(addr, "state of a job", "GET /work/run-000001", None).await,
            exchange_until_settled(addr, "no such job", "GET /work/run-000099", None).await,
            exchange_until_settled(addr, "no id of a job", "GET /work/run-x", None).await,
            exchange_until_settled(addr, "unknown team", "POST /work", Some(&no_team)).await,
            exchange_until_settled(addr, "fits no machine", "POST /work", Some(&too_large)).await,
            exchange_until_settled(addr, "a field that is out of its bounds", "POST /work", Some(&no_tasks)).await,
            exchange_until_settled(addr, "a field is missing", "POST /work", Some(&no_image)).await,
            exchange_until_settled(addr, "withdrawn", "POST /work/run-000001/withdraw", None).await,
            exchange_until_settled(addr, "state of a withdrawn job", "GET /work/run-000001", None).await,
            exchange_until_settled(addr, "nothing to withdraw", "POST /work/run-000099/withdraw", None).await,
            exchange_until_settled(addr, "heartbeat to the owner", "POST /v1/report", Some(&heartbeat())).await,
            exchange_until_settled(
                addr,
                "malformed heartbeat",
                "POST /v1/report",
                Some(&json!({"berth": "host-000231"})),
            )
            .await,
        ]
    });
    drop(owner);
    let (world, door) = world_without_machines(&outside);
    for (key, value) in [
        ("c/leader", json!({"node": "node-b", "incarnation": "4f2a"})),
        ("c/owner/0", json!({"node": "node-b", "incarnation": "4f2a", "teams": ["blue"]})),
    ] {
        world.state.lock().unwrap().put(key.to_owned(), &value);
    }
    let other = ControllerProcess::start(&world, &settings("node-a", &["node-b"], &door));
    let cut_off = ControllerProcess::start(&world, &settings("node-c", &["node-b"], "127.0.0.1:1"));
    exchanges.extend(outside.block_on(async {
        until_healthy(&other.addr).await;
        vec![
            exchange_until_settled(&other.addr, "heartbeat to another", "POST /v1/report", Some(&heartbeat())).await,
            exchange(&cut_off.addr, "not healthy", "GET /healthz", None).await,
            exchange(&cut_off.addr, "nothing read yet: submission", "POST /work", Some(&job(1, 3))).await,
            exchange(&cut_off.addr, "nothing read yet: question", "GET /work/run-000001", None).await,
            exchange(&cut_off.addr, "nothing read yet: withdrawal", "POST /work/run-000001/withdraw", None).await,
            exchange(&cut_off.addr, "nothing read yet: heartbeat", "POST /v1/report", Some(&heartbeat())).await,
        ]
    }));
    fixtures::assert_recorded("users-exchanges.json", &Value::Array(exchanges));
}

/// The leader assigns a waiting task to a running machine by a command that it sends directly to the worker.
#[test]
fn commands_to_a_worker_match_the_fixture() {
    let outside = Runtime::new().unwrap();
    let (world, door) = world_without_machines(&outside);
    let owner = ControllerProcess::start(&world, &settings("node-a", &[], &door));
    let addr = owner.addr.as_str();
    let asked = outside.block_on(async {
        until_healthy(addr).await;
        let worker = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let endpoint = json!(worker.local_addr().unwrap().to_string());
        exchange_until_settled(addr, "", "POST /work", Some(&job(1, 1))).await;
        exchange_until_settled(addr, "", "POST /v1/report", Some(&with(heartbeat(), "endpoint", endpoint.clone())))
            .await;
        let (mut stream, _) = tokio::time::timeout(WAIT_TIMEOUT, worker.accept()).await.unwrap().unwrap();
        let mut asked = Vec::new();
        // The first command has the fencing token, the second one the task.
        for tally in 2..4 {
            let message = tokio::time::timeout(WAIT_TIMEOUT, Message::read(&mut stream)).await.unwrap().unwrap();
            let mut body = message.value();
            let fencing_token = body["baton"].take();
            assert!(fencing_token.as_u64().is_some_and(|fencing_token| fencing_token > 0), "{fencing_token}");
            body["baton"] = json!("TOKEN");
            asked.push(json!({"request": message.request(), "type": message.header("content-type"), "body": body}));
            let report = with(with(heartbeat(), "tally", json!(tally)), "baton", fencing_token);
            let report = protocol::encode(&with(report, "endpoint", endpoint.clone()));
            let head = format!("HTTP/1.1 200 -\r\ncontent-length: {}\r\n\r\n", report.len());
            stream.write_all(&[head.into_bytes(), report].concat()).await.unwrap();
        }
        Value::Array(asked)
    });
    fixtures::assert_recorded("worker-exchanges.json", &asked);
}

/// A directory of files for the command line, which is removed when dropped.
struct Files(std::path::PathBuf);

impl Files {
    fn new() -> Self {
        let folder = std::env::temp_dir().join(format!("hollylanding-formats-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Self(folder)
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.0.join(name), text).unwrap();
    }

    /// Runs one command, and returns its arguments, exit status, standard output and standard error in the form of the
    /// fixtures.
    fn run(&self, node: &str, door: &str, arguments: &str) -> Value {
        let mut command = Command::new(env!("CARGO_BIN_EXE_hollylanding"));
        let words = arguments.split(' ').map(|word| if word == "NODE" { node } else { word });
        let output = command.current_dir(&self.0).args(words).output().unwrap();
        let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap().replace(node, "NODE").replace(door, "DOOR");
        let (printed, complaint) = (text(output.stdout), text(output.stderr));
        let printed = match serde_json::from_str(&printed) {
            Ok(value) => without_times(value),
            Err(_) => json!(printed),
        };
        json!({"arguments": arguments, "status": output.status.code(), "printed": printed, "complaint": complaint})
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Replaces times of day and the texts that contain them, which differ from run to run.
fn without_times(mut value: Value) -> Value {
    match &mut value {
        Value::Object(fields) => {
            for (field, value) in fields.iter_mut() {
                *value = match field.as_str() {
                    "declared_ms" | "at_ms" => json!("TIME"),
                    "lines" => json!("LINES"),
                    _ => without_times(value.take()),
                };
            }
        }
        Value::Array(items) => items.iter_mut().for_each(|item| *item = without_times(item.take())),
        _ => {}
    }
    value
}

#[test]
fn command_line_output_matches_the_fixture() {
    let outside = Runtime::new().unwrap();
    let (world, door) = world_without_machines(&outside);
    // Another node is stored as the leader, so that no controller acts on the declarations.
    for key in ["c/leader", "c/owner/0"] {
        let value = json!({"node": "node-b", "incarnation": "4f2a", "teams": ["blue"]});
        world.state.lock().unwrap().put(key.to_owned(), &value);
    }
    let controller = ControllerProcess::start(&world, &settings("node-a", &["node-b"], &door));
    let node = controller.addr.as_str();
    outside.block_on(until_healthy(node));
    let files = Files::new();
    files.write("settings.json", &settings("node-a", &[], &door).to_string());
    files.write("bad-settings.json", "{}");
    files.write("properties", "served.floor=0.5\n");
    files.write("bad-properties", "served.flour=0.5\n");
    files.write("job.json", &job(1, 3).to_string());
    files.write("bad-job.json", &job(1, 0).to_string());
    files.write("windows.json", r#"[{"name":"dawn","team":"blue","classes":["f"],"opens":"06:00","closes":"09:30"}]"#);
    files.write("rule.json", r#"{"name":"noon","teams":["blue"],"from":"11:00","to":"17:00","sensors":["roof"],"hot_above":38,"over_below":36,"assume":"not","longest_s":3600,"most_part":0.5}"#);
    files.write(
        "rollout.json",
        r#"{"name":"web","old":"run-000001","new":"run-000002","replicas":4,"hold_s":60,"surge":1}"#,
    );
    let commands = [
        "check --config settings.json",
        "check --config settings.json --properties properties",
        "check --config settings.json --properties bad-properties",
        "check --config bad-settings.json",
        "check",
        "--config bad-settings.json",
        "serve --config nowhere.json",
        "submit --node NODE job.json",
        "submit --node NODE bad-job.json",
        "submit --node here job.json",
        "status --node NODE run-000001",
        "status --node NODE run-000099",
        "status --node 127.0.0.1:1 run-000001",
        "withdraw --node NODE run-000099",
        "withdraw --node NODE run-000001",
        "declare window windows.json --check --config settings.json",
        "declare window windows.json --check --config settings.json --json",
        "declare window windows.json --config settings.json --json",
        "declare window windows.json --config settings.json",
        "declare heat rule.json --config settings.json --json",
        "declare rollout rollout.json --config settings.json",
        "declare rollout windows.json --config settings.json",
        "declare reading nowhere.json --config settings.json",
        "reading roof 39.5 --at 2026-07-01T12:30:00+02:00 --config settings.json --json",
        "reading roof 39.5 --at 2026-07-01T12:30:00+02:00 --config settings.json",
        "rollout pause web --config settings.json --json",
        "rollout resume web --config settings.json --json",
        "rollout back web --config settings.json --json",
        "rollout finish web --config settings.json",
        "confirm window dawn --config settings.json --json",
        "show --config settings.json --json",
        "show window dawn --config settings.json --json",
        "show window dusk --config settings.json",
        "remove window dawn --config settings.json --json",
        "remove window dawn --config settings.json --json",
        "remove heat noon --config settings.json",
        "remove reading roof --config settings.json",
        "show reading --config settings.json --json",
    ];
    let ran: Vec<Value> = commands.iter().map(|arguments| files.run(node, &door, arguments)).collect();
    fixtures::assert_recorded("cli.json", &Value::Array(ran));
    let operators = world.state.lock().unwrap().store.value("c/declared").cloned().unwrap();
    let fields: Vec<&String> = operators.as_object().unwrap().keys().collect();
    assert_eq!(fields, ["at_ms", "by"], "fields under the key that all writes of operators share");
}

/// The first line of a connection between controllers has the fields of the fixture in the same order.
#[test]
fn lines_between_controllers_have_the_fields_of_the_fixture() {
    let outside = Runtime::new().unwrap();
    let (world, door) = world_without_machines(&outside);
    let listener = outside.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let mut settings = settings("node-a", &["node-b"], &door);
    settings["peers"][0]["endpoint"] = json!(listener.local_addr().unwrap().to_string());
    let _controller = ControllerProcess::start(&world, &settings);
    let line = outside.block_on(async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut line = Vec::new();
        while line.last() != Some(&b'\n') {
            line.push(stream.read_u8().await.unwrap());
        }
        line
    });
    let recorded = fixtures::entries("peers.json")[1]["line"].as_str().unwrap().to_owned();
    let shape = |text: &str| -> String {
        let quoted: Vec<&str> = text.split('"').collect();
        quoted.iter().skip(1).step_by(2).filter(|word| **word != "node-a").copied().collect::<Vec<_>>().join(" ")
    };
    assert_eq!(shape(&String::from_utf8(line).unwrap()), shape(&recorded));
}
