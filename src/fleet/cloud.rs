//! Client of the cloud's API: the catalog, provisioning, termination and the list of machines.

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

/// A call that is not answered within this may still be carried out.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Most machines in one page of the list.
const MOST_LISTED: u64 = 500;

/// Why a call to the cloud has no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// The cloud has no machine of the kind now. Nothing was provisioned.
    #[error("no capacity")]
    NoCapacity,
    /// Refused for now: not carried out.
    #[error("the cloud answered {0}")]
    Refused(u16),
    /// May have been, or may yet be, carried out.
    #[error("the cloud did not answer")]
    Unanswered,
    /// The call was answered, so it may have been carried out, but the body cannot be decoded.
    #[error("the cloud answered what cannot be read: {0}")]
    Malformed(#[from] DecodeError),
    /// The catalog has no machine types.
    #[error("the cloud answered what cannot be read: a catalog without types")]
    EmptyCatalog,
}

/// Client of the cloud's API. Calls wait until the rate limit allows them, and each waits a few seconds for its
/// answer.
pub struct CloudClient {
    http: Http,
    addr: String,
    budget: Mutex<TokenBucket>,
    traffic: Arc<Traffic>,
}

impl CloudClient {
    /// A client that keeps to 0.8 of the cloud's request rate, since the other controllers read the catalog as well.
    pub fn new(http: Http, settings: &Settings, traffic: Arc<Traffic>, now: Instant) -> Self {
        // The leader calls nearly alone; the others only ask for the catalog now and then.
        let rps = settings.params.cloud.rps * 0.8;
        let budget = Mutex::new(TokenBucket::new(rps, rps, now));
        Self { http, addr: settings.endpoints.cloud.clone(), budget, traffic }
    }

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
        match self.http.call(method, &self.addr, path, body, ANSWER_TIMEOUT).await {
            Ok(answer) => Ok(answer),
            Err(protocol::CallError::NotSent) => Err(CloudError::Refused(0)),
            Err(protocol::CallError::Unanswered | protocol::CallError::TooLarge) => Err(CloudError::Unanswered),
        }
    }

    /// The machine types on offer. A catalog without types is an error.
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

    /// Provisions machines and returns their names, which may be fewer than asked for. The cloud answers a request name
    /// (`ProvisioningRequest`) alike however often it is sent, so an unanswered call can be repeated.
    pub async fn provision(&self, request: &ProvisioningRequest) -> Result<Vec<String>, CloudError> {
        match self.call_cloud(Method::POST, "/rentals", Some(protocol::encode(request))).await? {
            (200, body) => Ok(decode_body::<MachineNames>(&body)?.machines),
            (503, body) if decode_body::<serde_json::Value>(&body).is_ok_and(|v| v["error"] == "no capacity") => {
                Err(CloudError::NoCapacity)
            }
            (status, _) => Err(CloudError::Refused(status)),
        }
    }

    /// Terminates machines, at most [`MAX_MACHINES_PER_TERMINATION`] in one call. May be repeated when it was not answered.
    pub async fn terminate(&self, machines: Vec<String>) -> Result<(), CloudError> {
        match self
            .call_cloud(Method::POST, "/rentals/return", Some(protocol::encode(&MachineNames { machines })))
            .await?
        {
            (200, _) => Ok(()),
            (status, _) => Err(CloudError::Refused(status)),
        }
    }

    /// All machines that are held now, read page by page; machines that change meanwhile may or may not be included.
    pub async fn list_machines(&self) -> Result<Vec<CloudMachine>, CloudError> {
        let mut all: Vec<CloudMachine> = Vec::new();
        loop {
            let since = all.last().map(|m| format!("&since={}", m.id)).unwrap_or_default();
            let path = format!("/rentals?most={MOST_LISTED}{since}");
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

fn decode_body<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, CloudError> {
    Ok(protocol::decode(body)?)
}
