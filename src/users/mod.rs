//! The API that users, workers and health checks call.

use std::sync::Arc;
use std::time::Duration;

use salvo::conn::tcp::TcpListener;
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde::{Deserialize, Serialize};
use tracing::{debug, info};

use crate::fleet::Catalog;
use crate::jobs::record::{EndRecord, JobRecord, end_key, job_key, time_of_day_ms};
use crate::jobs::{End, JobId, JobSpec, well_formed_id};
use crate::node::{Node, lock};
use crate::settings::Settings;
use crate::store::budget::Urgent;
use crate::store::mirror::Known;
use crate::store::{Change, Condition, StoreError, TxnOutcome};
use crate::wire::{self, BODY_LIMIT};
use crate::workers::{self, Answer};

/// When to come again, after a refusal that should soon be over.
const COME_AGAIN_S: u64 = 1;
/// Tries at a write that the limits refused, before its user is told to come again.
const RETRIES: u32 = 2;
const RETRY_PAUSE: Duration = Duration::from_millis(120);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    Pending,
    Running,
    Done,
    Withdrawn,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct JobAnswer {
    #[serde(rename = "uid")]
    pub id: String,
    pub status: Status,
    pub done: u64,
    pub running: u64,
}

/// An answer to a user, without the framework.
enum Reply {
    Job(u16, JobAnswer),
    Problem(u16, String),
}

impl Reply {
    fn later(why: &str) -> Self {
        Self::Problem(503, why.to_owned())
    }
}

fn answer(node: &Node, id: &JobId, known: &Known) -> JobAnswer {
    let (status, counts) = match known {
        Known::Ended(End::Done) => (Status::Done, Default::default()),
        Known::Ended(End::Withdrawn) => (Status::Withdrawn, Default::default()),
        Known::Open(record) => {
            let counts = node.counts(id);
            // Counts may run ahead of what is stored; the status must not.
            let done = counts.done.min(record.spec.tasks);
            let status = if counts.running > 0 { Status::Running } else { Status::Pending };
            (status, crate::membership::mesh::Counts { done, ..counts })
        }
    };
    JobAnswer { id: id.to_string(), status, done: counts.done, running: counts.running }
}

fn known(node: &Node, id: &str) -> Option<Known> {
    lock(&node.mirror).job(id).cloned()
}

/// The state of a job, no older than the moment of asking. Ends are final and told from memory.
async fn look_up(node: &Node, id: &str) -> Reply {
    if let Some(ended @ Known::Ended(_)) = known(node, id) {
        return Reply::Job(200, answer(node, &id.into(), &ended));
    }
    if !well_formed_id(id) {
        return Reply::Problem(404, "no such job".into());
    }
    if !node.fresh.wait().await {
        return Reply::later("the state service cannot be asked");
    }
    match known(node, id) {
        Some(known) => Reply::Job(200, answer(node, &id.into(), &known)),
        None => Reply::Problem(404, "no such job".into()),
    }
}

/// Whether the job could ever run: its team, its limits, and some type that holds a task.
fn can_ever_run(spec: &JobSpec, settings: &Settings, catalog: &Catalog) -> Result<(), String> {
    let Some(team) = settings.team(&spec.team) else {
        return Err(format!("desk: {:?} is no known team", spec.team));
    };
    // An array runs with one task at a time if it must; a gang and a service need all.
    let n = if spec.shape == crate::jobs::Shape::Array { 1.0 } else { spec.tasks as f64 };
    for (field, limit, needs) in [("cpus", team.cpus_max, spec.cpus), ("accelerators", team.gpus_max, spec.gpus)] {
        if limit > 0.0 && n * needs > limit + 1e-6 {
            return Err(format!("{field}: {} is above the team's limit of {limit}", n * needs));
        }
    }
    let zone_known = |zones: &[String]| spec.zone.as_ref().is_none_or(|z| zones.contains(z));
    let fits = catalog.types.iter().any(|t| {
        spec.types.as_ref().is_none_or(|names| names.contains(&t.name))
            && zone_known(&t.zones)
            && spec.cpus <= t.cpus + 1e-6
            && spec.gpus <= t.gpus + 1e-6
            && spec.memory_gb <= t.memory_gb + 1e-6
    });
    if fits { Ok(()) } else { Err("a task fits no allowed machine type".into()) }
}

async fn submit(node: &Node, body: &[u8]) -> Reply {
    let spec = match wire::decode::<JobSpec>(body) {
        Ok(spec) => spec,
        Err(error) => return Reply::Problem(400, error.to_string()),
    };
    if let Err(problem) = spec.check() {
        return Reply::Problem(400, problem);
    }
    if !lock(&node.mirror).ready {
        return Reply::later("the state service has not been read yet");
    }
    let id = spec.id.clone();
    if known(node, &id).is_some() {
        return look_up(node, &id).await;
    }
    let Some(catalog) = node.catalog() else {
        return Reply::later("the machine types are not known yet");
    };
    if let Err(problem) = can_ever_run(&spec, &node.settings, &catalog) {
        // What was accepted once stays accepted, whoever accepted it.
        return match look_up(node, &id).await {
            Reply::Problem(404, _) => Reply::Problem(422, problem),
            other => other,
        };
    }
    accept(node, spec).await
}

async fn accept(node: &Node, spec: JobSpec) -> Reply {
    let id = spec.id.clone();
    let record = JobRecord { spec, at_ms: time_of_day_ms() };
    let value = serde_json::to_value(&record).unwrap_or_default();
    if value.to_string().len() as f64 > node.settings.params.state.value_kb * 1024.0 {
        return Reply::Problem(400, "the job is larger than can be kept".into());
    }
    let change = [Change::write(job_key(&id), value)];
    let condition = [Condition::absent(job_key(&id))];
    for _ in 0..RETRIES {
        match node.store.txn(&condition, &change, Urgent::First).await {
            Ok(TxnOutcome::Applied(_)) => {
                info!(job = %id, class = record.spec.class, tasks = record.spec.tasks, "accepted");
                let news = lock(&node.mirror).note_job(record);
                node.spread(news);
                let job = JobAnswer { id: id.to_string(), status: Status::Pending, done: 0, running: 0 };
                return Reply::Job(201, job);
            }
            Ok(_) => return look_up(node, &id).await,
            Err(StoreError::Unavailable(429)) => tokio::time::sleep(RETRY_PAUSE).await,
            Err(error) => {
                debug!(%error, job = %id, "accepting");
                return Reply::later("the state service cannot be written");
            }
        }
    }
    Reply::later("too many changes at once")
}

async fn withdraw(node: &Node, id: &str) -> Reply {
    let found = look_up(node, id).await;
    let Reply::Job(_, JobAnswer { status: Status::Pending | Status::Running, .. }) = &found else {
        return found;
    };
    let id: JobId = id.into();
    let end = EndRecord { end: End::Withdrawn, at_ms: time_of_day_ms() };
    let change = [Change::write(end_key(&id), serde_json::to_value(end).unwrap_or_default())];
    match node.store.txn(&[Condition::absent(end_key(&id))], &change, Urgent::First).await {
        Ok(TxnOutcome::Applied(_)) => {
            info!(job = %id, "withdrawn");
            let news = lock(&node.mirror).note_end(&id, End::Withdrawn);
            node.spread(news);
            Reply::Job(200, JobAnswer { id: id.to_string(), status: Status::Withdrawn, done: 0, running: 0 })
        }
        Ok(_) => look_up(node, &id).await,
        Err(error) => {
            debug!(%error, job = %id, "withdrawing");
            Reply::later("the state service cannot be written")
        }
    }
}

/// The framework's side: one handler per path.
struct Handle {
    node: Arc<Node>,
    path: Path,
}

#[derive(Clone, Copy)]
enum Path {
    Submit,
    LookUp,
    Withdraw,
    Health,
    Report,
}

fn render(res: &mut Response, status: u16, body: Vec<u8>) {
    res.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    if status == 503 || status == 429 {
        let _ = res.add_header("retry-after", COME_AGAIN_S.to_string(), true);
    }
    if !body.is_empty() {
        let _ = res.add_header("content-type", "application/msgpack", true);
        let _ = res.write_body(body);
    }
}

fn render_reply(res: &mut Response, reply: Reply) {
    match reply {
        Reply::Job(status, job) => render(res, status, wire::encode(&job)),
        Reply::Problem(status, problem) => render(res, status, wire::encode(&serde_json::json!({"error": problem}))),
    }
}

#[async_trait]
impl Handler for Handle {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let node = &self.node;
        let id = req.param::<String>("id").unwrap_or_default();
        let body = match self.path {
            Path::Submit | Path::Report => match req.payload_with_max_size(BODY_LIMIT).await {
                Ok(body) => body.clone(),
                Err(error) => {
                    return render_reply(res, Reply::Problem(400, error.to_string()));
                }
            },
            _ => Default::default(),
        };
        match self.path {
            Path::Submit => render_reply(res, submit(node, &body).await),
            Path::LookUp => render_reply(res, look_up(node, &id).await),
            Path::Withdraw => render_reply(res, withdraw(node, &id).await),
            Path::Health => render(res, if node.healthy() { 200 } else { 503 }, Vec::new()),
            Path::Report => match workers::take_report(node, &body) {
                Answer::Orders(orders) => render(res, 200, wire::encode(&orders)),
                Answer::Elsewhere(owner) => {
                    render(res, 421, wire::encode(&serde_json::json!({"dispatcher": owner})));
                }
                Answer::Nobody => render(res, 503, Vec::new()),
                Answer::Malformed => render(res, 400, Vec::new()),
            },
        }
    }
}

pub fn router(node: &Arc<Node>) -> Router {
    let handle = |path| Handle { node: node.clone(), path };
    Router::new()
        .push(
            Router::with_path("work").post(handle(Path::Submit)).push(
                Router::with_path("{id}")
                    .get(handle(Path::LookUp))
                    .push(Router::with_path("withdraw").post(handle(Path::Withdraw))),
            ),
        )
        .push(Router::with_path("healthz").get(handle(Path::Health)))
        .push(Router::with_path("v1/report").post(handle(Path::Report)))
}

/// Listens and serves until the process is killed.
pub async fn serve(node: Arc<Node>) -> std::io::Result<()> {
    let router = router(&node);
    let acceptor = TcpListener::new(node.settings.listen.clone()).try_bind().await.map_err(std::io::Error::other)?;
    info!(addr = node.settings.listen, "serving");
    Server::new(acceptor).serve(router).await;
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::MachineType;
    use crate::jobs::Shape;
    use crate::jobs::tests::spec;
    use crate::settings::tests::example;

    #[test]
    fn what_can_never_run() {
        let of = MachineType {
            name: "c8".into(),
            cpus: 8.0,
            gpus: 0.0,
            memory_gb: 64.0,
            fetch_gb_per_s: 1.0,
            cache_gb: None,
            price: 1.0,
            spot_price: 0.5,
            boot_s: 30.0,
            zones: vec!["a".into()],
        };
        let catalog = Catalog { types: vec![of] };
        type Case = (&'static str, fn(&mut JobSpec), bool);
        let cases: [Case; 10] = [
            ("fits", |_| (), true),
            ("unknown team", |j| j.team = "green".into(), false),
            ("too many cores for any type", |j| j.cpus = 9.0, false),
            ("accelerators nobody has", |j| j.gpus = 1.0, false),
            ("a type that does not exist", |j| j.types = Some(vec!["x".into()]), false),
            ("a zone without the type", |j| j.zone = Some("b".into()), false),
            ("an array above the limit in sum", |j| (j.team, j.cpus, j.tasks) = ("red".into(), 8.0, 9), true),
            (
                "a gang above the limit",
                |j| (j.team, j.cpus, j.tasks, j.shape) = ("red".into(), 8.0, 3, Shape::Gang),
                false,
            ),
            (
                "a service above the limit",
                |j| (j.team, j.cpus, j.tasks, j.shape) = ("red".into(), 8.0, 3, Shape::Service),
                false,
            ),
            ("a gang at the limit", |j| (j.team, j.cpus, j.tasks, j.shape) = ("red".into(), 5.0, 4, Shape::Gang), true),
        ];
        for (name, change, good) in cases {
            let mut job = spec();
            change(&mut job);
            assert_eq!(can_ever_run(&job, &example(), &catalog).is_ok(), good, "{name}");
        }
    }
}
