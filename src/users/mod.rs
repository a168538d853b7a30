//! The API that users, workers and health checks call.

use std::sync::Arc;
use std::time::{Duration, Instant};

use salvo::conn::tcp::{TcpAcceptor, TcpListener};
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde::Deserialize;
use tracing::{debug, info};

use crate::history::desk::Verdict;
use crate::history::moves::{self, end_among};
use crate::history::visibility::Visible;
use crate::jobs::limits::can_hold;
use crate::jobs::record::{ASSIGNMENT, ENDED_EXTRA, JobRecord, time_of_day_ms};
use crate::jobs::{End, JobId, JobSpec, well_formed_id};
use crate::kinds::Catalog;
use crate::node::Node;
use crate::settings::Settings;
use crate::store::audit::Held;
use crate::store::budget::Urgent;
use crate::store::{StoreError, TxnOutcome};
use crate::sync::lock;
use crate::traffic::Passage;
use crate::wire::users::{JobAnswer, Status};
use crate::wire::{self, BODY_LIMIT};
use crate::workers::{self, Answer};

/// When to come again, after a refusal that should soon be over, in seconds.
const COME_AGAIN_S: u64 = 1;
/// The same where work has to end first.
const COME_AGAIN_LATER_S: u64 = 15;
/// Tries at a write that the limits refused, before its user is told to come again.
const RETRIES: u32 = 2;
const RETRY_PAUSE: Duration = Duration::from_millis(120);

/// An answer to a user, without the framework.
enum Reply {
    Job(u16, JobAnswer),
    Problem(u16, String),
    /// 503: what cannot be answered now, and after how many seconds to come again.
    Later(String, u64),
}

impl Reply {
    fn later(why: &str) -> Self {
        Self::Later(why.to_owned(), COME_AGAIN_S)
    }
}

/// Stored, and hidden until the owner is known to have it (`history::visibility`).
const UNCONFIRMED: &str = "the job is being withdrawn: its owner has not confirmed that yet";

/// An end as its users may hear it: a withdrawal only once the owner has it. Every path that tells of an end
/// goes through here.
async fn tell_end(node: &Node, id: &JobId, end: End) -> Reply {
    node.watermark();
    let mut visible = node.history.visible(id, end);
    if visible == Visible::Unknown {
        let stamp = lock(&node.mirror).ended_by(id);
        match stamp {
            Some(stamp) => node.history.note_withdrawal(id, stamp),
            None => {
                if let Err(error) = node.history.learn_stamp(&node.store, id).await {
                    debug!(%error, job = %id, "asking when it was withdrawn");
                }
            }
        }
        visible = node.history.visible(id, end);
    }
    match visible {
        Visible::Yes => ended(id, end),
        Visible::NotYet | Visible::Unknown => Reply::later(UNCONFIRMED),
    }
}

fn ended(id: &str, end: End) -> Reply {
    let status = match end {
        End::Done => Status::Done,
        End::Withdrawn => Status::Withdrawn,
    };
    Reply::Job(200, JobAnswer { id: id.to_owned(), status, done: 0, running: 0 })
}

/// An open job; its counts are for display and may run ahead of what is stored.
fn open(node: &Node, id: &JobId, tasks: u64) -> Reply {
    let counts = node.counts(id);
    let status = if counts.running > 0 { Status::Running } else { Status::Pending };
    Reply::Job(200, JobAnswer { id: id.to_string(), status, done: counts.done.min(tasks), running: counts.running })
}

fn open_tasks(node: &Node, id: &str) -> Option<u64> {
    lock(&node.mirror).open(id).map(|record| record.spec.tasks)
}

/// The state of a job, no older than the moment of asking. Ends are final and told from memory;
/// an open job is told from the mirror once that is proven fresh; all else the store is asked for,
/// which looks at every key that the job may have at one moment.
async fn look_up(node: &Node, id: &str) -> Reply {
    if !well_formed_id(id) {
        return Reply::Problem(404, "no such job".into());
    }
    let id: JobId = id.into();
    if let Some(end) = node.history.ended(&id) {
        return tell_end(node, &id, end).await;
    }
    if !lock(&node.mirror).ready {
        return Reply::later("the state service has not been read yet");
    }
    if open_tasks(node, &id).is_some() {
        if !node.fresh.wait().await {
            return Reply::later("the state service cannot be asked");
        }
        if let Some(tasks) = open_tasks(node, &id) {
            return open(node, &id, tasks);
        }
        // It has ended in between: how, the store says.
    }
    match node.history.ask(&id).await {
        Verdict::Ended(end) => tell_end(node, &id, end).await,
        Verdict::Never => Reply::Problem(404, "no such job".into()),
        // Accepted so lately that the mirror has not heard.
        Verdict::Open => open(node, &id, u64::MAX),
        Verdict::Later => Reply::later("the state service cannot be asked, or too much is asked at once"),
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

/// Which job a submission speaks of, whatever else is wrong with it.
#[derive(Deserialize)]
struct Named {
    #[serde(rename = "uid")]
    id: String,
}

/// A submission that is refused for good, unless its job was accepted: that stays so, whoever accepted it and
/// whatever its repeat says.
async fn unless_accepted(node: &Node, id: &str, status: u16, problem: String) -> Reply {
    match look_up(node, id).await {
        Reply::Problem(404, _) => Reply::Problem(status, problem),
        other => other,
    }
}

async fn submit(node: &Node, body: &[u8]) -> Reply {
    let read = wire::decode::<JobSpec>(body).map_err(|e| e.to_string());
    let spec = match read.and_then(|spec| spec.check().map(|()| spec)) {
        Ok(spec) => spec,
        Err(problem) => {
            let Ok(named) = wire::decode::<Named>(body) else { return Reply::Problem(400, problem) };
            return unless_accepted(node, &named.id, 400, problem).await;
        }
    };
    if !lock(&node.mirror).ready {
        return Reply::later("the state service has not been read yet");
    }
    let id = spec.id.clone();
    if open_tasks(node, &id).is_some() || node.history.ended(&id).is_some() {
        return look_up(node, &id).await;
    }
    let Some(catalog) = node.catalog() else {
        return Reply::later("the machine types are not known yet");
    };
    if let Err(problem) = can_ever_run(&spec, &node.settings, &catalog) {
        return unless_accepted(node, &id, 422, problem).await;
    }
    accept(node, spec).await
}

/// A transaction found the job further on; an end among the failed keys needs no question.
async fn moved_on(node: &Node, id: &JobId, keys: &[String]) -> Reply {
    if let Some(end) = end_among(keys, id) {
        node.history.note_end(id, end);
    }
    look_up(node, id).await
}

async fn accept(node: &Node, spec: JobSpec) -> Reply {
    let id = spec.id.clone();
    let limits = &node.settings.params;
    let (open, old_kept) = {
        let mirror = lock(&node.mirror);
        (mirror.held(), mirror.old_kept())
    };
    let record = JobRecord { spec, at_ms: time_of_day_ms() };
    let size = serde_json::to_vec(&record).map_or(usize::MAX, |v| v.len().saturating_add(ENDED_EXTRA));
    if size as f64 > limits.state.value_kb * 1024.0 {
        return unless_accepted(node, &id, 400, "the job is larger than can be kept".into()).await;
    }
    if !can_hold(&record.spec, open, limits.limits.memory_mb) {
        // A retry of a job that is already held must not be told so.
        return match look_up(node, &id).await {
            Reply::Problem(404, _) => Reply::Later("more work is open than can be held".into(), COME_AGAIN_LATER_S),
            other => other,
        };
    }
    let outcome = {
        let mut admission = lock(&node.admission);
        let (wait, per_second) = node.store.wait_for_writes(admission.waiting() as f64 + 1.0);
        admission.admit(&record.spec, wait, per_second, rand::random(), Instant::now())
    };
    if let Err(after_s) = outcome {
        // At once, without a question to the store; a retry of a job that is held is told later.
        return Reply::Later("too many jobs are submitted at once".into(), after_s);
    }
    let admitted = Admitted { node, spec: record.spec.clone() };
    let reply = write_acceptance(node, record, old_kept).await;
    drop(admitted);
    reply
}

/// Leaves admission control whatever becomes of the request.
struct Admitted<'a> {
    node: &'a Node,
    spec: JobSpec,
}

impl Drop for Admitted<'_> {
    fn drop(&mut self) {
        lock(&self.node.admission).leave(&self.spec);
    }
}

async fn write_acceptance(node: &Node, record: JobRecord, old_kept: bool) -> Reply {
    let id = record.spec.id.clone();
    let accept = moves::accept(&record, old_kept);
    for _ in 0..RETRIES {
        match node.store.txn(&accept.conditions, &accept.changes, Urgent::First).await {
            Ok(TxnOutcome::Applied(_)) => {
                info!(job = %id, team = record.spec.team, class = record.spec.class, tasks = record.spec.tasks, "accepted");
                lock(&node.audit).note(Held::Accepted(Arc::new(record)));
                let job = JobAnswer { id: id.to_string(), status: Status::Pending, done: 0, running: 0 };
                return Reply::Job(201, job);
            }
            Ok(TxnOutcome::Failed(keys)) => return moved_on(node, &id, &keys).await,
            Err(StoreError::Unavailable(429)) => tokio::time::sleep(RETRY_PAUSE).await,
            outcome => {
                debug!(?outcome, job = %id, "accepting");
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
    // It may have been found open before the mirror heard of it.
    if open_tasks(node, &id).is_none() {
        node.fresh.wait().await;
    }
    let record = lock(&node.mirror).open(&id).cloned();
    let Some(record) = record else {
        return match look_up(node, &id).await {
            Reply::Job(_, JobAnswer { status: Status::Pending | Status::Running, .. }) => {
                Reply::later("the job has not been read yet")
            }
            other => other,
        };
    };
    let owner = node.withdraws_under();
    let withdrawal = moves::withdraw(&record, owner, time_of_day_ms());
    match node.store.txn(&withdrawal.conditions, &withdrawal.changes, Urgent::First).await {
        Ok(TxnOutcome::Applied(stamp)) => {
            info!(job = %id, "withdrawn");
            lock(&node.audit).note(Held::Ended(record, End::Withdrawn));
            if owner.is_some_and(|token| node.withdrew(&id, token)) {
                return ended(&id, End::Withdrawn);
            }
            node.history.note_withdrawal(&id, stamp);
            tell_end(node, &id, End::Withdrawn).await
        }
        Ok(TxnOutcome::Failed(keys)) if keys == [ASSIGNMENT] => {
            // Another owns by now: the mirror is about to hear it.
            node.fresh.wanted.notify_one();
            Reply::later("who owns has just changed")
        }
        Ok(TxnOutcome::Failed(keys)) => moved_on(node, &id, &keys).await,
        outcome => {
            debug!(?outcome, job = %id, "withdrawing");
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

fn come_again(res: &mut Response, after_s: u64) {
    let _ = res.add_header("retry-after", after_s.to_string(), true);
}

fn render(res: &mut Response, status: u16, body: Vec<u8>) {
    res.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    if status == 503 {
        come_again(res, COME_AGAIN_S);
    }
    if !body.is_empty() {
        let _ = res.add_header("content-type", "application/msgpack", true);
        let _ = res.write_body(body);
    }
}

fn render_reply(node: &Node, res: &mut Response, reply: Reply) {
    let later = matches!(reply, Reply::Later(..));
    node.traffic.count(if later { Passage::Later } else { Passage::Answered });
    match reply {
        Reply::Job(status, job) => render(res, status, wire::encode(&job)),
        Reply::Problem(status, problem) => render(res, status, wire::encode(&serde_json::json!({"error": problem}))),
        Reply::Later(why, after_s) => {
            render(res, 503, wire::encode(&serde_json::json!({"error": why})));
            come_again(res, after_s);
        }
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
                    return render_reply(node, res, Reply::Problem(400, error.to_string()));
                }
            },
            _ => Default::default(),
        };
        match self.path {
            Path::Submit => render_reply(node, res, submit(node, &body).await),
            // Its user has given up and asks again: told so without work for it.
            Path::LookUp if node.stale_question() => {
                render_reply(node, res, Reply::later("this controller stood still"))
            }
            Path::LookUp => render_reply(node, res, look_up(node, &id).await),
            Path::Withdraw => render_reply(node, res, withdraw(node, &id).await),
            Path::Health => render(res, if node.healthy() { 200 } else { 503 }, Vec::new()),
            Path::Report => match workers::take_report(node, &body) {
                Answer::Orders(orders) => {
                    node.traffic.count(Passage::Report);
                    render(res, 200, wire::encode(&orders));
                }
                Answer::Elsewhere(owner) => {
                    node.traffic.count(Passage::ReportElsewhere);
                    render(res, 421, wire::encode(&serde_json::json!({"dispatcher": owner})));
                }
                Answer::Nobody => {
                    node.traffic.count(Passage::ReportElsewhere);
                    render(res, 503, Vec::new());
                }
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

/// Takes the address, which no other process has from then on.
pub async fn bind(node: &Node) -> std::io::Result<TcpAcceptor> {
    TcpListener::new(node.settings.listen.clone()).try_bind().await.map_err(std::io::Error::other)
}

/// Serves until the process is killed.
pub async fn serve(node: Arc<Node>, acceptor: TcpAcceptor) -> std::io::Result<()> {
    let router = router(&node);
    info!(addr = node.settings.listen, "serving");
    Server::new(acceptor).serve(router).await;
    Ok(())
}

#[cfg(test)]
mod tests;
