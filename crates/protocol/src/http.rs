//! The HTTP client that every outgoing call uses.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Maximum size of an answer. Watch answers have no limit of their own, and a decoded answer takes about ten times its
/// size in memory. Pages of listings stay below half of this limit.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// Time limit for opening a connection; it counts towards the deadline of the call.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum number of idle connections kept per host.
const MAX_IDLE_PER_HOST: usize = 4;
/// Time after which an idle connection is closed: with one connection per machine there would be too many to keep.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a call has no answer. After [`NotSent`](CallError::NotSent) alone it is certain that the request was not carried
/// out.
#[derive(Debug, thiserror::Error, PartialEq, Eq, Clone, Copy)]
pub enum CallError {
    /// The request was never sent: the connection failed or the request could not be built.
    #[error("could not connect")]
    NotSent,
    /// The request may have been sent, but no complete answer arrived before the deadline.
    #[error("no answer; it may have been, or may yet be, carried out")]
    Unanswered,
    /// The request was carried out, but the answer exceeds the size limit.
    #[error("carried out, but the answer is larger than can be read")]
    TooLarge,
}

/// An HTTP/1.1 client with a connection pool. Clones share the pool.
#[derive(Clone)]
pub struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Http {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_PER_HOST)
            .build(connector);
        Self { client }
    }
}

impl Http {
    /// Sends one request and returns status and body of the answer. `timeout` covers connecting, sending and receiving
    /// the whole answer.
    pub async fn call(
        &self,
        method: Method,
        addr: &str,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<(u16, Bytes), CallError> {
        let mut request = Request::builder().method(method).uri(format!("http://{addr}{path}"));
        if body.is_some() {
            request = request.header("content-type", "application/msgpack");
        }
        let request = request.body(Full::new(Bytes::from(body.unwrap_or_default()))).map_err(|_| CallError::NotSent)?;
        let exchange = async {
            let answer = self
                .client
                .request(request)
                .await
                .map_err(|e| if e.is_connect() { CallError::NotSent } else { CallError::Unanswered })?;
            let status = answer.status().as_u16();
            let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES).collect().await;
            let body =
                body.map_err(|e| if e.is::<LengthLimitError>() { CallError::TooLarge } else { CallError::Unanswered })?;
            let body = body.to_bytes();
            Ok((status, body))
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(outcome) => outcome,
            Err(_) => Err(CallError::Unanswered),
        }
    }
}
