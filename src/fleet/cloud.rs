//! Client of the cloud's API for the catalog, provisioning, termination and the list of machines.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper::Method;

#[cfg(doc)]
use crate::cloud_orders::MAX_MACHINES_PER_TERMINATION;
use crate::machine_kinds::Catalog;
pub use crate::protocol::cloud::{CloudMachine, ProvisioningRequest};
use crate::protocol::cloud::{MachineNames, MachinePage};
use crate::protocol::{self, DecodeError, Http};
use crate::settings::Settings;
use crate::store::budget::{RequestPriority, TokenBucket};
use crate::sync::lock;
use crate::traffic::{CallKind, Traffic};

/// Timeout of a call. A call that timed out may still be carried out.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of machines in one page of the list.
const MAX_MACHINES_PER_PAGE: u64 = 500;

/// Failure of a call to the cloud.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// The cloud has no capacity of this machine kind now. Nothing was provisioned.
    #[error("no capacity")]
    NoCapacity,
    /// The call was rejected for now with this HTTP status, or not sent (status 0). It was not carried out.
    #[error("the cloud answered with status {0}")]
    Refused(u16),
    /// No answer was received. The call may have been carried out, or may be carried out later.
    #[error("the cloud did not answer")]
    Unanswered,
    /// The body of the answer cannot be decoded. The call may have been carried out.
    #[error("the cloud's answer cannot be decoded: {0}")]
    Malformed(#[from] DecodeError),
    /// The catalog lists no machine type.
    #[error("the cloud's catalog lists no machine type")]
    EmptyCatalog,
}

/// Client of the cloud's API. Calls wait until the rate limit allows them, and time out after a few seconds without an
/// answer.
pub struct CloudClient {
    http: Http,
    addr: String,
    budget: Mutex<TokenBucket>,
    traffic: Arc<Traffic>,
}

impl CloudClient {
    /// Creates a client that uses at most 0.8 of the cloud's request rate, since the other controllers read the catalog
    /// as well.
    pub fn new(http: Http, settings: &Settings, traffic: Arc<Traffic>, now: Instant) -> Self {
        // Nearly all calls are the leader's: the other controllers only read the catalog at intervals.
        let rps = settings.params.cloud.rps * 0.8;
        let budget = Mutex::new(TokenBucket::new(rps, rps, now));
        Self { http, addr: settings.endpoints.cloud.clone(), budget, traffic }
    }

    /// Sends a call once the rate limit allows it, and returns the status and body of the answer.
    async fn call_cloud(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<(u16, bytes::Bytes), CloudError> {
        loop {
            let wait = match lock(&self.budget).take(1.0, RequestPriority::Critical, Instant::now()) {
                Ok(()) => break,
                Err(wait) => wait,
            };
            tokio::time::sleep(wait).await;
        }
        self.traffic.count(CallKind::CloudCall);
        match self.http.call(method, &self.addr, path, body, CALL_TIMEOUT).await {
            Ok(answer) => Ok(answer),
            Err(protocol::CallError::NotSent) => Err(CloudError::Refused(0)),
            Err(protocol::CallError::Unanswered | protocol::CallError::TooLarge) => Err(CloudError::Unanswered),
        }
    }

    /// Reads the catalog of machine types. A catalog without types is an error.
    pub async fn fetch_catalog(&self) -> Result<Catalog, CloudError> {
        match self.call_cloud(Method::GET, "/catalog", None).await? {
            (200, body) => {
                let catalog: Catalog = decode_body(&body)?;
                if catalog.types.is_empty() {
                    return Err(CloudError::EmptyCatalog);
                }
                Ok(catalog)
            }
            (status, _) => Err(CloudError::Refused(status)),
        }
    }

    /// Provisions machines and returns their names, which may be fewer than requested. Requests are idempotent by their
    /// name ([`ProvisioningRequest::request`]), so an unanswered call can be repeated.
    pub async fn provision(&self, request: &ProvisioningRequest) -> Result<Vec<String>, CloudError> {
        match self.call_cloud(Method::POST, "/rentals", Some(protocol::encode(request))).await? {
            (200, body) => Ok(decode_body::<MachineNames>(&body)?.machines),
            (503, body) if decode_body::<serde_json::Value>(&body).is_ok_and(|v| v["error"] == "no capacity") => {
                Err(CloudError::NoCapacity)
            }
            (status, _) => Err(CloudError::Refused(status)),
        }
    }

    /// Terminates machines, at most [`MAX_MACHINES_PER_TERMINATION`] in one call. An unanswered call can be repeated.
    pub async fn terminate(&self, machines: Vec<String>) -> Result<(), CloudError> {
        match self
            .call_cloud(Method::POST, "/rentals/return", Some(protocol::encode(&MachineNames { machines })))
            .await?
        {
            (200, _) => Ok(()),
            (status, _) => Err(CloudError::Refused(status)),
        }
    }

    /// Lists all machines that are held now, page by page. Machines that are added or removed meanwhile may or may not
    /// be included.
    pub async fn list_machines(&self) -> Result<Vec<CloudMachine>, CloudError> {
        let mut all: Vec<CloudMachine> = Vec::new();
        loop {
            let since = all.last().map(|m| format!("&since={}", m.id)).unwrap_or_default();
            let path = format!("/rentals?most={MAX_MACHINES_PER_PAGE}{since}");
            match self.call_cloud(Method::GET, &path, None).await? {
                (200, body) => {
                    let page: MachinePage = decode_body(&body)?;
                    let empty = page.machines.is_empty();
                    all.extend(page.machines);
                    if !page.more || empty {
                        return Ok(all);
                    }
                }
                (status, _) => return Err(CloudError::Refused(status)),
            }
        }
    }
}

/// Decodes the body of an answer.
fn decode_body<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, CloudError> {
    Ok(protocol::decode(body)?)
}
