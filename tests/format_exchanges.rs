//! Requests and answers as the fixtures have them: those that a controller sends to the state service and to the cloud,
//! those that users and workers send to it, and what the command line says.

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
use hollylanding::settings::Settings;
use hollylanding::store::budget::{RequestPriority, TokenBucket};
use hollylanding::store::{Change, CompareAndSwapOutcome, Condition, StateClient, StoreError};
use serde::Serialize;
use serde_json::{Value, json};
use stand_in::{ControllerProcess, WAIT_TIMEOUT, World, job, params, settings, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;

/// A head with its lines, and a body.
struct Message {
    head: String,
    body: Vec<u8>,
}

impl Message {
    /// The next message of a connection; none where it has ended.
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

    /// `METHOD PATH` of a request.
    fn request(&self) -> String {
        self.head.split(' ').take(2).collect::<Vec<_>>().join(" ")
    }

    /// The status of an answer.
    fn status(&self) -> u64 {
        self.head.split(' ').nth(1).unwrap().parse().unwrap()
    }

    /// The body as it reads; null where there is none. The framework fills an empty body of an error with a page.
    fn value(&self) -> Value {
        match self.body.as_slice() {
            [] => Value::Null,
            body => protocol::decode_whole(body).unwrap_or_else(|_| json!("NO MAP")),
        }
    }
}

/// Answers as the fixture says, one exchange after the other, if it is asked as the fixture says.
async fn scripted(file: &str) -> (Arc<Mutex<Vec<Value>>>, String) {
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

/// The next answer of the script; 500 to a request that is not the next one of it, which stays the next one.
fn answer(script: &Mutex<Vec<Value>>, asked: &Message) -> Vec<u8> {
    let mut script = script.lock().unwrap();
    let as_recorded = |next: &Value| next["request"] == asked.request().as_str() && next["body"] == asked.value();
    let next = script.last().filter(|next| as_recorded(next)).cloned();
    let (status, body) = match next {
        Some(next) => {
            script.pop();
            let body = next.get("answer").map(protocol::encode).unwrap_or_default();
            (next["status"].as_u64().unwrap(), body)
        }
        None => {
            eprintln!("asked: {} {}, recorded: {:?}", asked.request(), asked.value(), script.last());
            (500, Vec::new())
        }
    };
    let mut answer = format!("HTTP/1.1 {status} -\r\ncontent-length: {}\r\n\r\n", body.len()).into_bytes();
    answer.extend(body);
    answer
}

/// The recorded answer of an exchange, by its number.
fn recorded(file: &str, number: usize) -> Value {
    fixtures::entries(file)[number]["answer"].clone()
}

fn value(of: &impl Serialize) -> Value {
    serde_json::to_value(of).unwrap()
}

#[tokio::test]
async fn the_state_service_is_asked_as_recorded_and_its_answers_are_understood() {
    const FILE: &str = "state-exchanges.json";
    let (left, addr) = scripted(FILE).await;
    let ample = || TokenBucket::new(1e6, 1e6, Instant::now());
    let client = StateClient::new(Http::default(), addr, ample(), ample(), Default::default());
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
async fn the_cloud_is_asked_as_recorded_and_its_answers_are_understood() {
    const FILE: &str = "cloud-exchanges.json";
    let (left, addr) = scripted(FILE).await;
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

/// One request of a user or a worker and its answer, as it is recorded.
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

/// The same, again while it is answered with 503 for now.
async fn settled(addr: &str, name: &str, request: &str, body: Option<&Value>) -> Value {
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

/// A world in which jobs wait, since the cloud has no machines.
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
fn users_and_workers_are_answered_as_recorded() {
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
            settled(addr, "accepted", "POST /work", Some(&job(1, 3))).await,
            settled(addr, "accepted before", "POST /work", Some(&job(1, 3))).await,
            settled(addr, "state of a job", "GET /work/run-000001", None).await,
            settled(addr, "no such job", "GET /work/run-000099", None).await,
            settled(addr, "no id of a job", "GET /work/run-x", None).await,
            settled(addr, "unknown team", "POST /work", Some(&no_team)).await,
            settled(addr, "fits no machine", "POST /work", Some(&too_large)).await,
            settled(addr, "a field that is out of its bounds", "POST /work", Some(&no_tasks)).await,
            settled(addr, "a field is missing", "POST /work", Some(&no_image)).await,
            settled(addr, "withdrawn", "POST /work/run-000001/withdraw", None).await,
            settled(addr, "state of a withdrawn job", "GET /work/run-000001", None).await,
            settled(addr, "nothing to withdraw", "POST /work/run-000099/withdraw", None).await,
            settled(addr, "heartbeat to the owner", "POST /v1/report", Some(&heartbeat())).await,
            settled(addr, "malformed heartbeat", "POST /v1/report", Some(&json!({"berth": "host-000231"}))).await,
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
            settled(&other.addr, "heartbeat to another", "POST /v1/report", Some(&heartbeat())).await,
            exchange(&cut_off.addr, "not healthy", "GET /healthz", None).await,
            exchange(&cut_off.addr, "nothing read yet: submission", "POST /work", Some(&job(1, 3))).await,
            exchange(&cut_off.addr, "nothing read yet: question", "GET /work/run-000001", None).await,
            exchange(&cut_off.addr, "nothing read yet: withdrawal", "POST /work/run-000001/withdraw", None).await,
            exchange(&cut_off.addr, "nothing read yet: heartbeat", "POST /v1/report", Some(&heartbeat())).await,
        ]
    }));
    fixtures::assert_recorded("users-exchanges.json", &Value::Array(exchanges));
}

/// A machine that is up is given a task that waits, by a command sent straight to its worker.
#[test]
fn a_worker_is_commanded_directly_as_recorded() {
    let outside = Runtime::new().unwrap();
    let (world, door) = world_without_machines(&outside);
    let owner = ControllerProcess::start(&world, &settings("node-a", &[], &door));
    let addr = owner.addr.as_str();
    let asked = outside.block_on(async {
        until_healthy(addr).await;
        let worker = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let endpoint = json!(worker.local_addr().unwrap().to_string());
        settled(addr, "", "POST /work", Some(&job(1, 1))).await;
        settled(addr, "", "POST /v1/report", Some(&with(heartbeat(), "endpoint", endpoint.clone()))).await;
        let (mut stream, _) = tokio::time::timeout(WAIT_TIMEOUT, worker.accept()).await.unwrap().unwrap();
        let mut asked = Vec::new();
        // First the worker is told the fencing token, then its task.
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

/// Files that the command line is given, gone with the test.
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

    /// One command as it is recorded: arguments, exit status, what it prints and what it complains of.
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

/// Times of day and what is told by them differ from run to run.
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
fn the_command_line_says_what_is_recorded() {
    let outside = Runtime::new().unwrap();
    let (world, door) = world_without_machines(&outside);
    // Nobody owns, so that nothing is carried out of what is declared.
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
    assert_eq!(fields, ["at_ms", "by"], "what operators' writes leave under the key that is common to all of them");
}

/// The first lines of a connection between controllers, as they come: keys in their order.
#[test]
fn a_controller_tells_the_others_lines_of_the_recorded_fields() {
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
