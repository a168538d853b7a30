//! The HTTP listeners: one per worker, and one per controller for the state service and the cloud.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hollylanding_protocol as protocol;
use hollylanding_protocol::cloud::{MachineNames, ProvisioningRequest};
use hollylanding_protocol::workers::WorkerCommands;
use salvo::conn::tcp::TcpListener;
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde_json::{Value, json};

use super::state::Outcome;
use super::{World, lock};
use crate::world::cloud;
use crate::world::store::Refusal;

/// Time for which an unanswered request is kept open, which is longer than any client waits.
const UNANSWERED_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which an open watch checks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The status and the body of a response.
struct Answer {
    status: u16,
    body: Value,
}

impl Answer {
    fn new(status: u16, body: Value) -> Self {
        Self { status, body }
    }

    /// A response without a body.
    fn empty(status: u16) -> Self {
        Self::new(status, Value::Null)
    }
}

impl From<Refusal> for Answer {
    fn from(refusal: Refusal) -> Self {
        Self::new(refusal.status(), json!({"error": format!("{refusal:?}")}))
    }
}

impl From<cloud::Refusal> for Answer {
    fn from(refusal: cloud::Refusal) -> Self {
        let (status, why) = refusal.status_and_text();
        Self::new(status, json!({"error": why}))
    }
}

/// A query parameter of a request; empty if it is missing.
fn param(req: &Request, name: &str) -> String {
    req.query::<String>(name).unwrap_or_default()
}

/// The body of a request; null if there is none or it is malformed.
async fn body(req: &mut Request) -> Value {
    match req.payload().await {
        Ok(body) if !body.is_empty() => protocol::decode(body).unwrap_or_default(),
        _ => Value::Null,
    }
}

/// Interval at which a delayed response checks whether its delay was ended.
const DELAY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Serves a router on a free port of the loopback interface, and returns its address.
pub async fn listen(router: Router) -> String {
    let acceptor = TcpListener::new("127.0.0.1:0").bind().await;
    let addr = acceptor.inner().local_addr().map(|a| a.to_string()).unwrap_or_default();
    tokio::spawn(Server::new(acceptor).serve(router));
    addr
}

/// A router that passes all requests to one handler.
fn router(handler: impl Handler) -> Router {
    Router::with_path("{**rest}").goal(handler)
}

/// Starts the listener of a machine's worker, and returns its address.
pub(super) async fn serve_worker(world: &Arc<World>, machine: &str) -> String {
    listen(router(WorkerEndpoint { world: world.clone(), machine: machine.to_owned() })).await
}

impl World {
    /// Starts a listener that serves the state service and the cloud to the controller of this number, and returns its
    /// address.
    pub async fn serve_controller(self: &Arc<Self>, controller: usize) -> String {
        listen(router(ControllerEndpoint { world: self.clone(), controller, node: controller.to_string() })).await
    }
}

/// Writes the status and the body of a response.
fn write_response(res: &mut Response, status: u16, body: Vec<u8>) {
    res.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    let _ = res.write_body(body);
}

/// The listener of a machine's worker.
struct WorkerEndpoint {
    world: Arc<World>,
    machine: String,
}

impl WorkerEndpoint {
    /// Answers direct commands of a controller.
    async fn answer(&self, req: &mut Request) -> Answer {
        let Ok(orders) = serde_json::from_value::<WorkerCommands>(body(req).await) else { return Answer::empty(400) };
        let outcome = self.world.with_fleet(|fleet, now| fleet.command(&self.machine, &orders, now));
        match outcome {
            Some((accepted, heartbeat)) => {
                let status = if accepted { 200 } else { 409 };
                if accepted {
                    lock(&self.world.request_log).record_commands(&self.machine, orders);
                }
                Answer::new(status, serde_json::to_value(heartbeat).unwrap_or_default())
            }
            None => {
                // A worker that hangs, is partitioned or is gone does not answer.
                tokio::time::sleep(UNANSWERED_TIMEOUT).await;
                Answer::empty(503)
            }
        }
    }
}

#[async_trait]
impl Handler for WorkerEndpoint {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let answer = self.answer(req).await;
        write_response(res, answer.status, protocol::encode(&answer.body));
    }
}

/// The listener of the state service and the cloud for one controller.
struct ControllerEndpoint {
    world: Arc<World>,
    controller: usize,
    /// The controller's number as the state service knows it.
    node: String,
}

impl ControllerEndpoint {
    /// Answers a request to the cloud or to the state service.
    async fn answer(&self, req: &mut Request) -> Answer {
        let path = req.uri().path().to_owned();
        let body = body(req).await;
        if path.starts_with("/rentals") || path == "/catalog" {
            return match self.cloud(&path, req, body) {
                Ok(answer) => Answer::new(200, answer),
                Err(refusal) => refusal.into(),
            };
        }
        let answer = self.state(&path, req, body).await;
        let delay = lock(&self.world.state).faults.response_delay;
        tokio::time::sleep(delay).await;
        self.delay_response(&path).await;
        answer
    }

    /// Waits for as long as the response is delayed by an injected fault.
    async fn delay_response(&self, path: &str) {
        let Some(max_delay) = lock(&self.world.state).faults.delay_response(&self.node, path) else { return };
        let until = Instant::now() + max_delay;
        while Instant::now() < until && lock(&self.world.state).faults.is_delayed(&self.node, path) {
            tokio::time::sleep(DELAY_POLL_INTERVAL).await;
        }
    }

    /// Handles a request to the cloud.
    fn cloud(&self, path: &str, req: &Request, body: Value) -> Result<Value, cloud::Refusal> {
        let world = &self.world;
        let now = world.now();
        *lock(&world.cloud_calls) += 1;
        let mut cloud = lock(&world.cloud);
        cloud.admit(now)?;
        let malformed = |_| cloud::Refusal::Malformed("not in its form");
        let answer = match (path, req.method().as_str()) {
            ("/catalog", _) => serde_json::to_value(cloud.catalog(now)),
            ("/rentals", "POST") => {
                let rental: ProvisioningRequest = serde_json::from_value(body).map_err(malformed)?;
                serde_json::to_value(MachineNames { machines: cloud.provision(&rental, now)? })
            }
            ("/rentals/return", _) => {
                let names: MachineNames = serde_json::from_value(body).map_err(malformed)?;
                let held = cloud.terminate(&names.machines, now)?;
                drop(cloud);
                world.with_fleet(|fleet, now| held.iter().for_each(|name| fleet.remove_machine(name, now)));
                serde_json::to_value(MachineNames { machines: held })
            }
            _ => {
                let most = param(req, "most").parse().unwrap_or(usize::MAX).min(world.params.max_page_items);
                let mut page = cloud.list(&param(req, "since"), most, now);
                drop(cloud);
                for machine in &mut page.machines {
                    machine.addr = world.addr_for(&machine.id, self.controller);
                }
                serde_json::to_value(page)
            }
        };
        answer.map_err(malformed)
    }

    /// Handles a request to the state service.
    async fn state(&self, path: &str, req: &Request, body: Value) -> Answer {
        let admitted = lock(&self.world.state).admit(&self.node);
        if let Err(refusal) = admitted {
            return refusal.into();
        }
        if path == "/follow" {
            return self.watch(req).await;
        }
        let answered = if path == "/txn" {
            self.transact(body).await
        } else {
            let method = req.method().to_string();
            lock(&self.world.state).answer(path, &method, |name| param(req, name), &body)
        };
        match answered {
            Ok(answer) if answer.get("failed").is_some() => Answer::new(409, answer),
            Ok(answer) => Answer::new(200, answer),
            Err(refusal) => refusal.into(),
        }
    }

    /// Answers a watch when there are changes or when its wait is over.
    async fn watch(&self, req: &Request) -> Answer {
        let wait: u64 = param(req, "waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let (prefix, since) = (param(req, "prefix"), param(req, "since").parse().unwrap_or(0));
        loop {
            {
                let mut state = lock(&self.world.state);
                // During an outage open watches wait. A refused node receives no changes.
                let quiet = state.faults.quiet_watches && Instant::now() < until;
                if state.store.serves(&self.node) && !quiet {
                    match state.follow(&prefix, since) {
                        Some(Ok(changes)) => return Answer::new(200, changes),
                        Some(Err(refusal)) => return Answer::empty(refusal.status()),
                        None => {}
                    }
                    if Instant::now() >= until {
                        return Answer::new(200, state.empty_watch_response());
                    }
                }
            }
            tokio::time::sleep(WATCH_POLL_INTERVAL).await;
        }
    }

    /// Handles a transaction, subject to the injected faults.
    async fn transact(&self, body: Value) -> Result<Value, Refusal> {
        // A separate statement, so that the lock is not held during the waits below.
        let outcome = lock(&self.world.state).compare_and_swap(&body);
        match outcome {
            Outcome::Answer(answer) => {
                if answer.as_ref().is_ok_and(|answer| answer.get("failed").is_none()) {
                    lock(&self.world.request_log).record_transaction(&body);
                }
                return answer;
            }
            Outcome::Silence => {}
            Outcome::Later(delay) => {
                let world = self.world.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    lock(&world.state).apply_late(&body);
                });
            }
        }
        tokio::time::sleep(UNANSWERED_TIMEOUT).await;
        Err(Refusal::Unavailable)
    }
}

#[async_trait]
impl Handler for ControllerEndpoint {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let answer = self.answer(req).await;
        let body = protocol::encode(&answer.body);
        let mut state = lock(&self.world.state);
        state.largest = state.largest.max(body.len());
        drop(state);
        write_response(res, answer.status, body);
    }
}
