//! The routes that users, workers and health checks call: the framework's side.

use std::sync::Arc;

use salvo::conn::tcp::{TcpAcceptor, TcpListener};
use salvo::http::StatusCode;
use salvo::prelude::*;
use tracing::info;

use super::cancellation::cancel;
use super::follow_ups::FollowUps;
use super::lookup::look_up;
use super::reply::{COME_AGAIN_S, Refusal, Reply};
use super::service::UserService;
use super::submission::submit;
use crate::protocol::{self, BODY_LIMIT};
use crate::traffic::Passage;
use crate::workers::{HeartbeatResponse, handle_heartbeat};

/// The framework's side: one handler per path.
struct Handle {
    service: Arc<UserService>,
    follow_ups: Arc<FollowUps>,
    path: Path,
}

/// What a handler serves.
#[derive(Clone, Copy)]
enum Path {
    Submit,
    LookUp,
    Cancel,
    Health,
    Heartbeat,
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

/// The answer to a user.
fn render_reply(service: &UserService, res: &mut Response, reply: Reply) {
    let later = matches!(reply, Reply::Later { .. });
    service.traffic.count(if later { Passage::Later } else { Passage::Answered });
    match reply {
        Reply::Job(status, job) => render(res, status, protocol::encode(&job)),
        Reply::Refused(refusal) => {
            let problem = serde_json::json!({"error": refusal.to_string()});
            render(res, refusal.status(), protocol::encode(&problem));
        }
        Reply::Later { why, after_s } => {
            render(res, 503, protocol::encode(&serde_json::json!({"error": why})));
            come_again(res, after_s);
        }
    }
}

/// The answer to a worker's heartbeat.
fn render_heartbeat_response(service: &UserService, res: &mut Response, response: HeartbeatResponse) {
    match response {
        HeartbeatResponse::Commands(commands) => {
            service.traffic.count(Passage::Heartbeat);
            render(res, 200, protocol::encode(&commands));
        }
        HeartbeatResponse::Redirect(leader) => {
            service.traffic.count(Passage::HeartbeatElsewhere);
            render(res, 421, protocol::encode(&serde_json::json!({"dispatcher": leader})));
        }
        HeartbeatResponse::Unavailable => {
            service.traffic.count(Passage::HeartbeatElsewhere);
            render(res, 503, Vec::new());
        }
        HeartbeatResponse::Malformed => render(res, 400, Vec::new()),
    }
}

#[async_trait]
impl Handler for Handle {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let service = &self.service;
        let id = req.param::<String>("id").unwrap_or_default();
        let body = match self.path {
            Path::Submit | Path::Heartbeat => match req.payload_with_max_size(BODY_LIMIT).await {
                Ok(body) => body.clone(),
                Err(error) => {
                    return render_reply(service, res, Reply::Refused(Refusal::Unreadable(error.to_string())));
                }
            },
            _ => Default::default(),
        };
        match self.path {
            Path::Submit => render_reply(service, res, submit(service, &self.follow_ups, &body).await),
            // Its user has given up and asks again: told so without work for it.
            Path::LookUp if service.membership.stale_question() => {
                render_reply(service, res, Reply::later("this controller was paused"))
            }
            Path::LookUp => render_reply(service, res, look_up(service, &id).await),
            Path::Cancel => render_reply(service, res, cancel(service, &self.follow_ups, &id).await),
            Path::Health => render(res, if service.membership.healthy() { 200 } else { 503 }, Vec::new()),
            Path::Heartbeat => render_heartbeat_response(service, res, handle_heartbeat(&service.workers, &body)),
        }
    }
}

/// All routes of one controller.
pub fn router(service: &Arc<UserService>) -> Router {
    let follow_ups = FollowUps::new(service.clone());
    let handle = |path| Handle { service: service.clone(), follow_ups: follow_ups.clone(), path };
    Router::new()
        .push(
            Router::with_path("work").post(handle(Path::Submit)).push(
                Router::with_path("{id}")
                    .get(handle(Path::LookUp))
                    .push(Router::with_path("withdraw").post(handle(Path::Cancel))),
            ),
        )
        .push(Router::with_path("healthz").get(handle(Path::Health)))
        .push(Router::with_path("v1/report").post(handle(Path::Heartbeat)))
}

/// Takes the address, which no other process has from then on.
pub async fn bind(service: &UserService) -> std::io::Result<TcpAcceptor> {
    TcpListener::new(service.settings.listen.clone()).try_bind().await.map_err(std::io::Error::other)
}

/// Serves until the process is killed.
pub async fn serve(service: Arc<UserService>, acceptor: TcpAcceptor) -> std::io::Result<()> {
    let router = router(&service);
    info!(addr = service.settings.listen, "serving");
    Server::new(acceptor).serve(router).await;
    Ok(())
}
