//! HTTP routes for users, workers and health checks, on the web framework.

use std::sync::Arc;

use salvo::conn::tcp::{TcpAcceptor, TcpListener};
use salvo::http::StatusCode;
use salvo::prelude::*;
use tracing::info;

use super::cancellation::cancel_job;
use super::lookup::look_up_job;
use super::response::{RETRY_SOON_S, RequestError, UserResponse};
use super::service::UserService;
use super::submission::submit_job;
use super::write_tracker::WriteTracker;
use crate::protocol::{self, MAX_BODY_BYTES};
use crate::traffic::CallKind;
use crate::workers::{HeartbeatResponse, handle_heartbeat};

/// Handles the requests to one endpoint.
struct RequestHandler {
    service: Arc<UserService>,
    write_tracker: Arc<WriteTracker>,
    endpoint: Endpoint,
}

/// The endpoints of the API.
#[derive(Clone, Copy)]
enum Endpoint {
    Submit,
    LookUp,
    Cancel,
    Health,
    Heartbeat,
}

/// Sets the `Retry-After` header.
fn set_retry_after(res: &mut Response, after_s: u64) {
    let _ = res.add_header("retry-after", after_s.to_string(), true);
}

/// Writes a response with a MessagePack body, if there is one; a 503 gets a `Retry-After` header.
fn write_response(res: &mut Response, status: u16, body: Vec<u8>) {
    res.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    if status == 503 {
        set_retry_after(res, RETRY_SOON_S);
    }
    if !body.is_empty() {
        let _ = res.add_header("content-type", "application/msgpack", true);
        let _ = res.write_body(body);
    }
}

/// Writes a response to a user.
fn write_user_response(service: &UserService, res: &mut Response, response: UserResponse) {
    let retry_later = matches!(response, UserResponse::RetryLater { .. });
    service.traffic.count(if retry_later { CallKind::Later } else { CallKind::Answered });
    match response {
        UserResponse::Found(job) => write_response(res, 200, protocol::encode(&job)),
        UserResponse::Created(job) => write_response(res, 201, protocol::encode(&job)),
        UserResponse::Rejected(error) => {
            let body = serde_json::json!({"error": error.to_string()});
            write_response(res, error.status(), protocol::encode(&body));
        }
        UserResponse::RetryLater { reason, after_s } => {
            write_response(res, 503, protocol::encode(&serde_json::json!({"error": reason})));
            set_retry_after(res, after_s);
        }
    }
}

/// Writes the response to a worker's heartbeat.
fn write_heartbeat_response(service: &UserService, res: &mut Response, response: HeartbeatResponse) {
    match response {
        HeartbeatResponse::Commands(commands) => {
            service.traffic.count(CallKind::Heartbeat);
            write_response(res, 200, protocol::encode(&commands));
        }
        HeartbeatResponse::Redirect(leader) => {
            service.traffic.count(CallKind::HeartbeatElsewhere);
            write_response(res, 421, protocol::encode(&serde_json::json!({"dispatcher": leader})));
        }
        HeartbeatResponse::Unavailable => {
            service.traffic.count(CallKind::HeartbeatElsewhere);
            write_response(res, 503, Vec::new());
        }
        HeartbeatResponse::Malformed => write_response(res, 400, Vec::new()),
    }
}

#[async_trait]
impl Handler for RequestHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let service = &self.service;
        let id = req.param::<String>("id").unwrap_or_default();
        let body = match self.endpoint {
            Endpoint::Submit | Endpoint::Heartbeat => match req.payload_with_max_size(MAX_BODY_BYTES).await {
                Ok(body) => body.clone(),
                Err(error) => {
                    return write_user_response(
                        service,
                        res,
                        UserResponse::Rejected(RequestError::UnreadableBody(error.into())),
                    );
                }
            },
            _ => Default::default(),
        };
        match self.endpoint {
            Endpoint::Submit => {
                write_user_response(service, res, submit_job(service, &self.write_tracker, &body).await)
            }
            // Its user has most likely given up waiting during a process pause and retries, so it is not looked up.
            Endpoint::LookUp if service.membership.is_stale_request() => {
                write_user_response(service, res, UserResponse::retry_soon("this controller was paused"))
            }
            Endpoint::LookUp => write_user_response(service, res, look_up_job(service, &id).await),
            Endpoint::Cancel => write_user_response(service, res, cancel_job(service, &self.write_tracker, &id).await),
            Endpoint::Health => write_response(res, if service.membership.healthy() { 200 } else { 503 }, Vec::new()),
            Endpoint::Heartbeat => write_heartbeat_response(service, res, handle_heartbeat(&service.workers, &body)),
        }
    }
}

/// Creates the router with all routes of one controller.
pub fn router(service: &Arc<UserService>) -> Router {
    let write_tracker = WriteTracker::new(service.clone());
    let handle = |endpoint| RequestHandler { service: service.clone(), write_tracker: write_tracker.clone(), endpoint };
    Router::new()
        .push(
            Router::with_path("work").post(handle(Endpoint::Submit)).push(
                Router::with_path("{id}")
                    .get(handle(Endpoint::LookUp))
                    .push(Router::with_path("withdraw").post(handle(Endpoint::Cancel))),
            ),
        )
        .push(Router::with_path("healthz").get(handle(Endpoint::Health)))
        .push(Router::with_path("v1/report").post(handle(Endpoint::Heartbeat)))
}

/// Binds the API listener's address, which no other process can bind while the listener is open.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn bind(service: &UserService) -> std::io::Result<TcpAcceptor> {
    TcpListener::new(service.settings.listen.clone()).try_bind().await.map_err(std::io::Error::other)
}

/// Serves requests until the process is killed.
pub async fn serve(service: Arc<UserService>, acceptor: TcpAcceptor) -> std::io::Result<()> {
    let router = router(&service);
    info!(address = service.settings.listen, "API listener started");
    Server::new(acceptor).serve(router).await;
    Ok(())
}
