//! The client of the state service, which keeps to this controller's share of the service's rate limits.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::budget::{RequestPriority, TokenBucket};
use super::error::{StoreError, UndecodableResponse};
use super::share::RateMeter;
use crate::process_pause::ProcessPause;
pub use crate::protocol::state::{Change, Condition, KeyValue, KeyValuePage, WatchEvent, WatchResponse};
use crate::protocol::state::{CompareAndSwap, FailedConditions, GrantedLease, KeyVersionPage, StoreRevision};
use crate::protocol::{self, CallError, Http};
use crate::traffic::{CallKind, Traffic};
use hyper::Method;

/// Timeout of a request. Responses usually take 10 ms and occasionally a few hundred.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum number of keys on one page of a listing; only one page is in memory at a time.
const PAGE_SIZE: u64 = 250;
/// Status reported in place of the HTTP status when the response was too large to be read.
const OVERSIZED_RESPONSE_STATUS: u16 = 0;
/// Maximum time between two attempts to take tokens: the priority of the call may have risen in the meantime.
const MAX_TOKEN_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// How long a critical call waits for this controller's share of the rate limits before it fails.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(2000);

/// The definite outcome of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CompareAndSwapOutcome {
    /// The transaction was applied at this revision, which is now the version of every key that it wrote.
    Applied(u64),
    /// Nothing was applied: these keys had other versions than the conditions require.
    Failed(Vec<String>),
    /// Nothing was applied: a write was to be attached to a lease that no longer exists.
    LeaseExpired,
}

/// A listing in progress. Each page is consistent as of its own revision, which is never older than that of the page
/// before.
pub struct Pages<'a> {
    client: &'a StateClient,
    prefix: &'a str,
    after_key: Option<String>,
    has_more: bool,
}

impl Pages<'_> {
    /// Reads the next page; none after the last. After an error the same page can be requested again.
    pub async fn next(&mut self) -> Result<Option<KeyValuePage>, StoreError> {
        if !self.has_more {
            return Ok(None);
        }
        let mut path = format!("/keys?prefix={}&most={PAGE_SIZE}", self.prefix);
        if let Some(key) = &self.after_key {
            path.push_str("&since=");
            path.push_str(&percent_encode(key));
        }
        let page: KeyValuePage =
            match self.client.call(Method::GET, &path, None, REQUEST_TIMEOUT * 2, RequestPriority::Critical).await? {
                (200, body) => decode_response(&body)?,
                (status, _) => return Err(StoreError::UnexpectedStatus { status, request: "a listing" }),
            };
        self.has_more = page.more && !page.items.is_empty();
        self.after_key = page.items.last().map(|item| item.path.clone());
        Ok(Some(page))
    }
}

/// Client of the state service. Every call first waits for this controller's share of the request rate, and every
/// transaction for its share of the change rate.
pub struct StateClient {
    http: Http,
    addr: String,
    requests: Mutex<TokenBucket>,
    writes: Mutex<TokenBucket>,
    /// When the service last served this controller, and when it last failed to do so.
    health: Mutex<StoreHealth>,
    /// Recent rates of the requests and changes that this controller attempted, admitted or not.
    demand: Mutex<DemandMeters>,
    traffic: Arc<Traffic>,
}

/// Rates of requests to the state service and of changes to its keys.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestRates {
    /// Requests per second.
    pub requests: f64,
    /// Changes of keys per second.
    pub writes: f64,
}

/// When further changes could be written, and at which rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WriteDelay {
    /// Time until the changes could be written.
    pub wait: Duration,
    /// Rate at which this controller may write changes.
    pub per_second: f64,
}

/// Meters of this controller's recent demand, one per rate limit of the service.
struct DemandMeters {
    requests: RateMeter,
    writes: RateMeter,
}

/// When the state service last served this controller and last failed to, by this process's monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    /// Time of the last response other than 503, including rejections by the rate limit (429); none before the first.
    pub last_served: Option<Instant>,
    /// Time of the last call that was answered with 503 or not at all; none before the first.
    pub last_failed: Option<Instant>,
}

impl StoreHealth {
    /// Returns for how long the service has been failing without a single response; zero if it is not failing.
    pub fn failing_for(&self, now: Instant) -> Duration {
        match (self.last_served, self.last_failed) {
            (Some(served), Some(failed)) if failed > served => now.saturating_duration_since(served),
            _ => Duration::ZERO,
        }
    }
}

fn decode_response<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    protocol::decode(body).map_err(|error| UndecodableResponse::from(error).into())
}

/// Percent-encodes a key for a URI. Without it, a key with a character that no URI may contain would end every listing
/// at that key.
pub(super) fn percent_encode(key: &str) -> String {
    let is_unreserved = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte);
    let mut encoded = String::with_capacity(key.len());
    for byte in key.bytes() {
        if is_unreserved(byte) {
            encoded.push(char::from(byte));
        } else {
            encoded.push_str(&format!("%{byte:02X}"));
        }
    }
    encoded
}

impl StateClient {
    /// Creates a client of the service at `addr`. `requests` and `writes` hold this controller's shares of its limits.
    pub fn new(http: Http, addr: String, requests: TokenBucket, writes: TokenBucket, traffic: Arc<Traffic>) -> Self {
        let (requests, writes) = (Mutex::new(requests), Mutex::new(writes));
        let now = Instant::now();
        let demand = Mutex::new(DemandMeters { requests: RateMeter::new(now), writes: RateMeter::new(now) });
        Self { http, addr, requests, writes, health: Mutex::default(), demand, traffic }
    }

    /// Returns when the service last served this controller and last failed to.
    pub fn health(&self) -> StoreHealth {
        *crate::sync::lock(&self.health)
    }

    /// Sets this controller's shares of the rate limits.
    pub fn set_shares(&self, shares: RequestRates) {
        let now = Instant::now();
        crate::sync::lock(&self.requests).set_rate(shares.requests, shares.requests, now);
        crate::sync::lock(&self.writes).set_rate(shares.writes, shares.writes, now);
    }

    /// Excludes a pause of this process from the time for which the service has been failing: this controller cannot
    /// know whether it failed during the pause.
    pub fn discount_pause(&self, pause: ProcessPause) {
        let mut health = crate::sync::lock(&self.health);
        health.last_served = health.last_served.map(|at| pause.shift_instant(at));
    }

    /// Returns this controller's recent demand.
    pub fn demand(&self) -> RequestRates {
        let (now, demand) = (Instant::now(), crate::sync::lock(&self.demand));
        RequestRates { requests: demand.requests.per_second(now), writes: demand.writes.per_second(now) }
    }

    /// Returns the time in which this controller's share of the request rate admits `n` requests.
    pub fn refill_time(&self, n: f64) -> Duration {
        crate::sync::lock(&self.requests).refill_time(n)
    }

    /// Estimates when `n` more changes of the highest priority could be written.
    pub fn estimate_write_delay(&self, n: f64) -> WriteDelay {
        let mut writes = crate::sync::lock(&self.writes);
        let missing = n - writes.available(RequestPriority::Critical, Instant::now());
        WriteDelay { wait: writes.refill_time(missing.max(0.0)), per_second: writes.per_second() }
    }

    /// Returns how many changes of this priority could be written now, without waiting.
    pub fn available_writes(&self, priority: RequestPriority) -> usize {
        crate::sync::lock(&self.writes).available(priority, Instant::now()).max(0.0) as usize
    }

    /// Takes `n` tokens, waiting until the bucket admits them. A critical call fails after [`MAX_TOKEN_WAIT`].
    async fn take_tokens(bucket: &Mutex<TokenBucket>, n: f64, priority: RequestPriority) -> Result<(), StoreError> {
        let started = Instant::now();
        loop {
            let wait =
                match crate::sync::lock(bucket).take(n, priority.after_waiting(started.elapsed()), Instant::now()) {
                    Ok(()) => return Ok(()),
                    Err(wait) => wait,
                };
            if started.elapsed() + wait > MAX_TOKEN_WAIT && priority == RequestPriority::Critical {
                return Err(StoreError::Unavailable(429));
            }
            tokio::time::sleep(wait.clamp(Duration::from_millis(2), MAX_TOKEN_RETRY_INTERVAL)).await;
        }
    }

    /// Reserves a request and sends it.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
        priority: RequestPriority,
    ) -> Result<(u16, bytes::Bytes), StoreError> {
        self.reserve(priority).await?;
        self.call_reserved(method, path, body, timeout).await
    }

    /// Waits until one request of this priority may be sent, and counts it as sent.
    pub async fn reserve(&self, priority: RequestPriority) -> Result<(), StoreError> {
        crate::sync::lock(&self.demand).requests.count(1.0, Instant::now());
        Self::take_tokens(&self.requests, 1.0, priority).await
    }

    /// Sends a request that was reserved before, and records whether the service answered.
    async fn call_reserved(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<(u16, bytes::Bytes), StoreError> {
        self.traffic.count(CallKind::StoreRequest);
        let outcome = self.http.call(method, &self.addr, path, body, timeout).await;
        if !matches!(outcome, Ok((status, _)) if status != 429 && status != 503) {
            self.traffic.count(CallKind::StoreRefused);
        }
        let served = matches!(outcome, Ok((status, _)) if status != 503) || outcome == Err(CallError::TooLarge);
        self.record_health(served);
        match outcome {
            Ok((status @ (429 | 503), _)) => Err(StoreError::Unavailable(status)),
            Ok(response) => Ok(response),
            Err(CallError::NotSent) => Err(StoreError::Unavailable(0)),
            Err(CallError::TooLarge) => Ok((OVERSIZED_RESPONSE_STATUS, bytes::Bytes::new())),
            Err(CallError::Unanswered) => Err(StoreError::Unanswered),
        }
    }

    fn record_health(&self, served: bool) {
        let mut health = crate::sync::lock(&self.health);
        let now = Some(Instant::now());
        if served {
            health.last_served = now;
        } else {
            health.last_failed = now;
        }
    }

    /// Applies all changes if all conditions hold, and none otherwise. With no changes it only compares versions.
    pub async fn compare_and_swap(
        &self,
        conditions: &[Condition],
        changes: &[Change],
        priority: RequestPriority,
    ) -> Result<CompareAndSwapOutcome, StoreError> {
        if !changes.is_empty() {
            crate::sync::lock(&self.demand).writes.count(changes.len() as f64, Instant::now());
            Self::take_tokens(&self.writes, changes.len() as f64, priority).await?;
            self.traffic.add(CallKind::StoreChange, changes.len() as u64);
        }
        let body = protocol::encode(&CompareAndSwap::new(conditions, changes));
        let (status, body) = self.call(Method::POST, "/txn", Some(body), REQUEST_TIMEOUT, priority).await?;
        match status {
            200 => Ok(CompareAndSwapOutcome::Applied(decode_response::<StoreRevision>(&body)?.revision)),
            409 => Ok(CompareAndSwapOutcome::Failed(decode_response::<FailedConditions>(&body)?.failed)),
            400 if changes.iter().any(|change| matches!(change, Change::Write { permit: Some(_), .. })) => {
                Ok(CompareAndSwapOutcome::LeaseExpired)
            }
            status => Err(StoreError::UnexpectedStatus { status, request: "a transaction" }),
        }
    }

    /// Reads the value and version of a key; none if it does not exist.
    pub async fn get(&self, key: &str, priority: RequestPriority) -> Result<Option<KeyValue>, StoreError> {
        let path = format!("/keys/{}", percent_encode(key));
        match self.call(Method::GET, &path, None, REQUEST_TIMEOUT, priority).await? {
            (200, body) => Ok(Some(decode_response(&body)?)),
            (404, _) => Ok(None),
            (status, _) => Err(StoreError::UnexpectedStatus { status, request: "a read" }),
        }
    }

    /// Compares versions without changing anything, using a request that was reserved before. Returns the keys whose
    /// versions differ from the required ones, all as of one revision.
    pub async fn compare_reserved(&self, conditions: &[Condition]) -> Result<Vec<String>, StoreError> {
        let body = protocol::encode(&CompareAndSwap::new(conditions, &[]));
        match self.call_reserved(Method::POST, "/txn", Some(body), REQUEST_TIMEOUT).await? {
            (200, _) => Ok(Vec::new()),
            (409, body) => Ok(decode_response::<FailedConditions>(&body)?.failed),
            (status, _) => Err(StoreError::UnexpectedStatus { status, request: "a comparison" }),
        }
    }

    /// Lists the keys under a prefix page by page, starting after `after_key` if it is given.
    pub fn pages<'a>(&'a self, prefix: &'a str, after_key: Option<&str>) -> Pages<'a> {
        Pages { client: self, prefix, after_key: after_key.map(str::to_owned), has_more: true }
    }

    /// Reads one page of the keys under a prefix with their versions: at most `limit` keys, starting after `after_key`
    /// if it is given. The values are skipped while the response is decoded.
    pub async fn key_versions(
        &self,
        prefix: &str,
        after_key: Option<&str>,
        limit: usize,
        priority: RequestPriority,
    ) -> Result<KeyVersionPage, StoreError> {
        let since = after_key.map(|key| format!("&since={}", percent_encode(key))).unwrap_or_default();
        let path = format!("/keys?prefix={prefix}&most={limit}{since}");
        match self.call(Method::GET, &path, None, REQUEST_TIMEOUT * 2, priority).await? {
            (200, body) => decode_response(&body),
            (status, _) => Err(StoreError::UnexpectedStatus { status, request: "a listing" }),
        }
    }

    /// Reads the changes under a prefix after revision `since`. If there are none yet, the service waits up to `wait`
    /// for the first.
    pub async fn watch(&self, prefix: &str, since: u64, wait: Duration) -> Result<WatchResponse, StoreError> {
        self.reserve(RequestPriority::Critical).await?;
        self.watch_reserved(prefix, since, wait).await
    }

    /// Does the same as [`watch`](Self::watch), using a request that was reserved before.
    pub async fn watch_reserved(&self, prefix: &str, since: u64, wait: Duration) -> Result<WatchResponse, StoreError> {
        let path = format!("/follow?prefix={prefix}&since={since}&waitMs={}", wait.as_millis());
        let timeout = wait + REQUEST_TIMEOUT;
        match self.call_reserved(Method::GET, &path, None, timeout).await? {
            (200, body) => decode_response(&body),
            (410 | OVERSIZED_RESPONSE_STATUS, _) => Err(StoreError::RevisionTooOld),
            (status, _) => Err(StoreError::UnexpectedStatus { status, request: "a watch" }),
        }
    }

    /// Creates a lease that expires after `ttl` unless it is renewed, and returns its id. The keys attached to it are
    /// deleted when it ends.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<u64, StoreError> {
        let body = protocol::encode(&serde_json::json!({"lifeMs": ttl.as_millis() as u64}));
        match self.call(Method::POST, "/grants", Some(body), REQUEST_TIMEOUT, RequestPriority::Critical).await? {
            (200, body) => Ok(decode_response::<GrantedLease>(&body)?.permit),
            (status, _) => Err(StoreError::UnexpectedStatus { status, request: "a lease grant" }),
        }
    }

    /// Revokes a lease at once and deletes the keys attached to it.
    pub async fn revoke_lease(&self, lease: u64) -> Result<(), StoreError> {
        let path = format!("/grants/{lease}");
        match self.call(Method::DELETE, &path, None, REQUEST_TIMEOUT, RequestPriority::Critical).await? {
            (200..=299 | 404, _) => Ok(()),
            (status, _) => Err(StoreError::UnexpectedStatus { status, request: "a lease revocation" }),
        }
    }

    /// Renews a lease. Returns false if it no longer exists.
    pub async fn renew_lease(&self, lease: u64) -> Result<bool, StoreError> {
        let path = format!("/grants/{lease}/renew");
        match self
            .call(
                Method::POST,
                &path,
                Some(protocol::encode(&serde_json::json!({}))),
                REQUEST_TIMEOUT,
                RequestPriority::Critical,
            )
            .await?
        {
            (200, _) => Ok(true),
            (404, _) => Ok(false),
            (status, _) => Err(StoreError::UnexpectedStatus { status, request: "a lease renewal" }),
        }
    }
}

#[cfg(test)]
mod tests;
