//! Calls to the state service, within this controller's share of its limits.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::budget::{RequestPriority, TokenBucket};
use super::error::{StoreError, UndecodableAnswer};
use super::share::RateMeter;
use crate::process_pause::ProcessPause;
pub use crate::protocol::state::{Change, Condition, KeyValue, KeyValuePage, WatchEvent, WatchResponse};
use crate::protocol::state::{CompareAndSwap, FailedConditions, GrantedLease, KeyVersionPage, StoreRevision};
use crate::protocol::{self, CallError, Http};
use crate::traffic::{CallKind, Traffic};
use hyper::Method;

/// Deadline of a call. Answers usually take 10 ms and sometimes a few hundred.
const ANSWER_WITHIN: Duration = Duration::from_millis(1500);
/// Number of keys of one page; only one page of a listing is in memory at a time.
const PAGE_SIZE: u64 = 250;
/// Stands for the status of an answer that was too large to be read.
const TOO_LARGE: u16 = 0;
/// Longest time between two tries to take from the budget: the priority of the call may have risen in the meantime.
const MAX_BUDGET_SLEEP: Duration = Duration::from_millis(200);
/// How long a critical call waits for this controller's share of the limits before it fails.
const MAX_BUDGET_WAIT: Duration = Duration::from_millis(2000);

/// The definite answer to a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CompareAndSwapOutcome {
    /// Applied, at this revision: the version of every key that it wrote.
    Applied(u64),
    /// Not applied: these keys had other versions than the conditions require.
    Failed(Vec<String>),
    /// A write was to be attached to a lease that does not exist any more. Nothing was applied.
    LeaseExpired,
}

/// A listing in progress. Each page is consistent as of its own revision, none older than the one before.
pub struct Pages<'a> {
    client: &'a StateClient,
    prefix: &'a str,
    since: Option<String>,
    more: bool,
}

impl Pages<'_> {
    /// The next page, or none after the last. After an error the same page can be asked for again.
    pub async fn next(&mut self) -> Result<Option<KeyValuePage>, StoreError> {
        if !self.more {
            return Ok(None);
        }
        let mut path = format!("/keys?prefix={}&most={PAGE_SIZE}", self.prefix);
        if let Some(since) = &self.since {
            path.push_str("&since=");
            path.push_str(&escaped(since));
        }
        let page: KeyValuePage =
            match self.client.call(Method::GET, &path, None, ANSWER_WITHIN * 2, RequestPriority::Critical).await? {
                (200, body) => parse(&body)?,
                (status, _) => return Err(StoreError::UnexpectedStatus { status, request: "a listing" }),
            };
        self.more = page.more && !page.items.is_empty();
        self.since = page.items.last().map(|i| i.path.clone());
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
    /// When the service last served this controller, and when it last failed to.
    health: Mutex<Health>,
    /// How many requests and changes this controller lately wanted, admitted or not.
    demand: Mutex<DemandMeters>,
    traffic: Arc<Traffic>,
}

/// Requests and changes a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestRates {
    /// Requests per second.
    pub requests: f64,
    /// Changes of keys per second.
    pub writes: f64,
}

/// When further changes could be written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WriteDelay {
    /// Time until then.
    pub wait: Duration,
    /// Rate at which this controller may write changes.
    pub per_second: f64,
}

/// What this controller lately wanted of the service's limits.
struct DemandMeters {
    requests: RateMeter,
    writes: RateMeter,
}

/// When the state service last answered and last failed to, by this process's steady clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// The last answer other than 503 (a refusal for its rate, 429, counts); none before the first.
    pub served: Option<Instant>,
    /// The last call that was answered with 503 or not at all; none if there was none yet.
    pub failed: Option<Instant>,
}

impl Health {
    /// For how long the service has been failing without a single answer in between; zero if it is not failing.
    pub fn failing_for(&self, now: Instant) -> Duration {
        match (self.served, self.failed) {
            (Some(served), Some(failed)) if failed > served => now.saturating_duration_since(served),
            _ => Duration::ZERO,
        }
    }
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    protocol::decode(body).map_err(|error| UndecodableAnswer::from(error).into())
}

/// A key, percent-encoded for an address. Without it a key with a character that no address may contain would end every
/// listing at that key.
pub(super) fn escaped(key: &str) -> String {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte);
    let mut text = String::with_capacity(key.len());
    for byte in key.bytes() {
        if plain(byte) {
            text.push(char::from(byte));
        } else {
            text.push_str(&format!("%{byte:02X}"));
        }
    }
    text
}

impl StateClient {
    /// A client of the service at `addr`, with what this controller may use of its limits.
    pub fn new(http: Http, addr: String, requests: TokenBucket, writes: TokenBucket, traffic: Arc<Traffic>) -> Self {
        let (requests, writes) = (Mutex::new(requests), Mutex::new(writes));
        let now = Instant::now();
        let demand = Mutex::new(DemandMeters { requests: RateMeter::new(now), writes: RateMeter::new(now) });
        Self { http, addr, requests, writes, health: Mutex::default(), demand, traffic }
    }

    /// When the service last answered and last failed to.
    pub fn health(&self) -> Health {
        *crate::sync::lock(&self.health)
    }

    /// Changes this controller's shares of the limits.
    pub fn set_shares(&self, shares: RequestRates) {
        let now = Instant::now();
        crate::sync::lock(&self.requests).change(shares.requests, shares.requests, now);
        crate::sync::lock(&self.writes).change(shares.writes, shares.writes, now);
    }

    /// Accounts for a pause of this process: during it the service was not failing, as far as this controller knows.
    pub fn discount_pause(&self, pause: ProcessPause) {
        let mut health = crate::sync::lock(&self.health);
        health.served = health.served.map(|at| pause.forgive(at));
    }

    /// The rates that this controller lately wanted.
    pub fn demand(&self) -> RequestRates {
        let (now, demand) = (Instant::now(), crate::sync::lock(&self.demand));
        RequestRates { requests: demand.requests.per_second(now), writes: demand.writes.per_second(now) }
    }

    /// The time in which this controller's share of the requests grows by `n`.
    pub fn refill_time(&self, n: f64) -> Duration {
        crate::sync::lock(&self.requests).refill_time(n)
    }

    /// When `n` more changes of the highest priority could be written.
    pub fn estimate_write_delay(&self, n: f64) -> WriteDelay {
        let mut writes = crate::sync::lock(&self.writes);
        let short = n - writes.available(RequestPriority::Critical, Instant::now());
        WriteDelay { wait: writes.refill_time(short.max(0.0)), per_second: writes.per_second() }
    }

    /// How many changes of this priority could be written at once.
    pub fn available_writes(&self, priority: RequestPriority) -> usize {
        crate::sync::lock(&self.writes).available(priority, Instant::now()).max(0.0) as usize
    }

    async fn take_from_budget(
        budget: &Mutex<TokenBucket>,
        n: f64,
        priority: RequestPriority,
    ) -> Result<(), StoreError> {
        let begun = Instant::now();
        loop {
            let wait = match crate::sync::lock(budget).take(n, priority.after(begun.elapsed()), Instant::now()) {
                Ok(()) => return Ok(()),
                Err(wait) => wait,
            };
            if begun.elapsed() + wait > MAX_BUDGET_WAIT && priority == RequestPriority::Critical {
                return Err(StoreError::Unavailable(429));
            }
            tokio::time::sleep(wait.clamp(Duration::from_millis(2), MAX_BUDGET_SLEEP)).await;
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        within: Duration,
        priority: RequestPriority,
    ) -> Result<(u16, bytes::Bytes), StoreError> {
        self.reserve(priority).await?;
        self.call_reserved(method, path, body, within).await
    }

    /// Waits until one request of this priority may be sent, and counts it as sent.
    pub async fn reserve(&self, priority: RequestPriority) -> Result<(), StoreError> {
        crate::sync::lock(&self.demand).requests.count(1.0, Instant::now());
        Self::take_from_budget(&self.requests, 1.0, priority).await
    }

    async fn call_reserved(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        within: Duration,
    ) -> Result<(u16, bytes::Bytes), StoreError> {
        self.traffic.count(CallKind::StoreRequest);
        let outcome = self.http.call(method, &self.addr, path, body, within).await;
        if !matches!(outcome, Ok((status, _)) if status != 429 && status != 503) {
            self.traffic.count(CallKind::StoreRefused);
        }
        let served = matches!(outcome, Ok((status, _)) if status != 503) || outcome == Err(CallError::TooLarge);
        self.record_health(served);
        match outcome {
            Ok((status @ (429 | 503), _)) => Err(StoreError::Unavailable(status)),
            Ok(answer) => Ok(answer),
            Err(CallError::NotSent) => Err(StoreError::Unavailable(0)),
            Err(CallError::TooLarge) => Ok((TOO_LARGE, bytes::Bytes::new())),
            Err(CallError::Unanswered) => Err(StoreError::Unanswered),
        }
    }

    fn record_health(&self, served: bool) {
        let mut health = crate::sync::lock(&self.health);
        let at = Some(Instant::now());
        if served {
            health.served = at;
        } else {
            health.failed = at;
        }
    }

    /// Applies all changes if all conditions hold, and nothing otherwise. Without changes it only compares.
    pub async fn compare_and_swap(
        &self,
        conditions: &[Condition],
        apply: &[Change],
        priority: RequestPriority,
    ) -> Result<CompareAndSwapOutcome, StoreError> {
        if !apply.is_empty() {
            crate::sync::lock(&self.demand).writes.count(apply.len() as f64, Instant::now());
            Self::take_from_budget(&self.writes, apply.len() as f64, priority).await?;
            self.traffic.add(CallKind::StoreChange, apply.len() as u64);
        }
        let body = protocol::encode(&CompareAndSwap::new(conditions, apply));
        let (status, body) = self.call(Method::POST, "/txn", Some(body), ANSWER_WITHIN, priority).await?;
        match status {
            200 => Ok(CompareAndSwapOutcome::Applied(parse::<StoreRevision>(&body)?.revision)),
            409 => Ok(CompareAndSwapOutcome::Failed(parse::<FailedConditions>(&body)?.failed)),
            400 if apply.iter().any(|c| matches!(c, Change::Write { permit: Some(_), .. })) => {
                Ok(CompareAndSwapOutcome::LeaseExpired)
            }
            status => Err(StoreError::UnexpectedStatus { status, request: "a transaction" }),
        }
    }

    /// The value and version of a key, or none.
    pub async fn get(&self, key: &str, priority: RequestPriority) -> Result<Option<KeyValue>, StoreError> {
        let path = format!("/keys/{}", escaped(key));
        match self.call(Method::GET, &path, None, ANSWER_WITHIN, priority).await? {
            (200, body) => Ok(Some(parse(&body)?)),
            (404, _) => Ok(None),
            (status, _) => Err(StoreError::UnexpectedStatus { status, request: "a read" }),
        }
    }

    /// Compares versions without changing anything, with a request that was reserved before. Returns the keys that had
    /// other versions than required, all as of one revision.
    pub async fn compare_reserved(&self, conditions: &[Condition]) -> Result<Vec<String>, StoreError> {
        let body = protocol::encode(&CompareAndSwap::new(conditions, &[]));
        match self.call_reserved(Method::POST, "/txn", Some(body), ANSWER_WITHIN).await? {
            (200, _) => Ok(Vec::new()),
            (409, body) => Ok(parse::<FailedConditions>(&body)?.failed),
            (status, _) => Err(StoreError::UnexpectedStatus { status, request: "a comparison" }),
        }
    }

    /// Keys under a prefix, a page at a time, beginning after a key if one is given.
    pub fn pages<'a>(&'a self, prefix: &'a str, since: Option<&str>) -> Pages<'a> {
        Pages { client: self, prefix, since: since.map(str::to_owned), more: true }
    }

    /// One page of the keys under a prefix with their versions, at most `most` of them, beginning after `since` if it is
    /// given. The values are skipped while the answer is decoded.
    pub async fn key_versions(
        &self,
        prefix: &str,
        since: Option<&str>,
        most: usize,
        priority: RequestPriority,
    ) -> Result<KeyVersionPage, StoreError> {
        let since = since.map(|key| format!("&since={}", escaped(key))).unwrap_or_default();
        let path = format!("/keys?prefix={prefix}&most={most}{since}");
        match self.call(Method::GET, &path, None, ANSWER_WITHIN * 2, priority).await? {
            (200, body) => parse(&body),
            (status, _) => Err(StoreError::UnexpectedStatus { status, request: "a listing" }),
        }
    }

    /// The changes under a prefix after revision `since`. If there are none yet, the service waits up to `wait` for
    /// the first.
    pub async fn watch(&self, prefix: &str, since: u64, wait: Duration) -> Result<WatchResponse, StoreError> {
        self.reserve(RequestPriority::Critical).await?;
        self.watch_reserved(prefix, since, wait).await
    }

    /// Watches like [`watch`](Self::watch), with a request that was reserved before.
    pub async fn watch_reserved(&self, prefix: &str, since: u64, wait: Duration) -> Result<WatchResponse, StoreError> {
        let path = format!("/follow?prefix={prefix}&since={since}&waitMs={}", wait.as_millis());
        let within = wait + ANSWER_WITHIN;
        match self.call_reserved(Method::GET, &path, None, within).await? {
            (200, body) => parse(&body),
            (410 | TOO_LARGE, _) => Err(StoreError::RevisionTooOld),
            (status, _) => Err(StoreError::UnexpectedStatus { status, request: "a watch" }),
        }
    }

    /// Creates a lease that ends after `life` unless it is renewed, and returns its number. Keys attached to it are
    /// dropped when it ends.
    pub async fn grant_lease(&self, life: Duration) -> Result<u64, StoreError> {
        let body = protocol::encode(&serde_json::json!({"lifeMs": life.as_millis() as u64}));
        match self.call(Method::POST, "/grants", Some(body), ANSWER_WITHIN, RequestPriority::Critical).await? {
            (200, body) => Ok(parse::<GrantedLease>(&body)?.permit),
            (status, _) => Err(StoreError::UnexpectedStatus { status, request: "a lease" }),
        }
    }

    /// Ends a lease at once, with the keys attached to it.
    pub async fn revoke_lease(&self, permit: u64) -> Result<(), StoreError> {
        let path = format!("/grants/{permit}");
        match self.call(Method::DELETE, &path, None, ANSWER_WITHIN, RequestPriority::Critical).await? {
            (200..=299 | 404, _) => Ok(()),
            (status, _) => Err(StoreError::UnexpectedStatus { status, request: "the end of a lease" }),
        }
    }

    /// Renews a lease. False if it does not exist any more.
    pub async fn renew_lease(&self, permit: u64) -> Result<bool, StoreError> {
        let path = format!("/grants/{permit}/renew");
        match self
            .call(
                Method::POST,
                &path,
                Some(protocol::encode(&serde_json::json!({}))),
                ANSWER_WITHIN,
                RequestPriority::Critical,
            )
            .await?
        {
            (200, _) => Ok(true),
            (404, _) => Ok(false),
            (status, _) => Err(StoreError::UnexpectedStatus { status, request: "a renewal" }),
        }
    }
}

#[cfg(test)]
mod tests;
