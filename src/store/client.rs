//! The client of the state service, which keeps to this controller's share of the service's rate limits and to its limits
//! on transactions.

mod leases;
mod listing;
mod refusals;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub use listing::Pages;
use listing::percent_encode;

use super::budget::{RequestPriority, TokenBucket};
use super::error::{StoreError, UndecodableResponse};
use super::log_limit::LogLimit;
use super::share::RateMeter;
use super::transaction_limits::{LimitTracker, TransactionLimits};
use crate::process_pause::ProcessPause;
pub use crate::protocol::state::{Change, Condition, KeyValue, KeyValuePage, WatchEvent, WatchResponse};
use crate::protocol::state::{CompareAndSwap, FailedConditions, InvalidRequest, NO_SUCH_LEASE, StoreRevision};
use crate::protocol::{self, CallError, Http};
use crate::traffic::{CallKind, Traffic};
use hyper::Method;

/// Timeout of a request. Responses usually take 10 ms and occasionally a few hundred.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
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
    limits: Mutex<LimitTracker>,
    /// Held while the limits are found out, so that several refusals at once are explained once.
    probing: tokio::sync::Mutex<()>,
    /// Limits the rate of log lines about transactions that are too large.
    too_large: Mutex<LogLimit>,
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

/// Whether any of the changes attaches a key to a lease.
fn names_lease(changes: &[Change]) -> bool {
    changes.iter().any(|change| matches!(change, Change::Write { permit: Some(_), .. }))
}

/// Whether the body of a refusal of a transaction with a lease says that the lease has ended. A refusal without a
/// readable reason counts as one, since a new lease can always be granted.
fn is_missing_lease(body: &[u8]) -> bool {
    protocol::decode::<InvalidRequest>(body).map_or(true, |refusal| refusal.error == NO_SUCH_LEASE)
}

impl StateClient {
    /// Creates a client of the service at `addr`. `requests` and `writes` hold this controller's shares of its rate
    /// limits, `limits` the limits on transactions.
    pub fn new(
        http: Http,
        addr: String,
        requests: TokenBucket,
        writes: TokenBucket,
        limits: LimitTracker,
        traffic: Arc<Traffic>,
    ) -> Self {
        let (limits, probing, too_large) = (Mutex::new(limits), tokio::sync::Mutex::default(), Mutex::default());
        let (requests, writes) = (Mutex::new(requests), Mutex::new(writes));
        let now = Instant::now();
        let demand = Mutex::new(DemandMeters { requests: RateMeter::new(now), writes: RateMeter::new(now) });
        Self { http, addr, requests, writes, health: Mutex::default(), demand, limits, probing, too_large, traffic }
    }

    /// Returns the limits on a transaction, as far as this controller knows them. They may fall with any refusal.
    pub fn limits(&self) -> TransactionLimits {
        crate::sync::lock(&self.limits).limits()
    }

    /// Returns the rates that the service allows to all controllers in total, as far as this controller knows them.
    pub fn total_rates(&self) -> RequestRates {
        crate::sync::lock(&self.limits).rates()
    }

    /// Returns how many changes may be sent at once.
    pub fn changes_at_once(&self) -> usize {
        crate::sync::lock(&self.limits).changes_at_once(Instant::now())
    }

    /// Lets half as many changes be sent at once for a while, since the service does not take so many and the known limits
    /// do not say why.
    pub fn halve_changes_at_once(&self, changes: usize) {
        crate::sync::lock(&self.limits).halve_changes_at_once(changes, Instant::now());
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
        self.check_size(conditions, changes)?;
        if !changes.is_empty() {
            crate::sync::lock(&self.demand).writes.count(changes.len() as f64, Instant::now());
            Self::take_tokens(&self.writes, changes.len() as f64, priority).await?;
            self.traffic.add(CallKind::StoreChange, changes.len() as u64);
        }
        self.reserve(priority).await?;
        self.transact_reserved(conditions, changes).await
    }

    /// Sends a transaction, using a request that was reserved before.
    async fn transact_reserved(
        &self,
        conditions: &[Condition],
        changes: &[Change],
    ) -> Result<CompareAndSwapOutcome, StoreError> {
        let body = protocol::encode(&CompareAndSwap::new(conditions, changes));
        let (status, body) = self.call_reserved(Method::POST, "/txn", Some(body), REQUEST_TIMEOUT).await?;
        match status {
            200 => Ok(CompareAndSwapOutcome::Applied(decode_response::<StoreRevision>(&body)?.revision)),
            409 => Ok(CompareAndSwapOutcome::Failed(decode_response::<FailedConditions>(&body)?.failed)),
            400 if names_lease(changes) && is_missing_lease(&body) => Ok(CompareAndSwapOutcome::LeaseExpired),
            400 => Err(self.record_refusal(conditions, changes).await),
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
        match self.transact_reserved(conditions, &[]).await? {
            CompareAndSwapOutcome::Failed(keys) => Ok(keys),
            CompareAndSwapOutcome::Applied(_) | CompareAndSwapOutcome::LeaseExpired => Ok(Vec::new()),
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
}

#[cfg(test)]
mod tests;
