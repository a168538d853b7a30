//! Calls to the state service. Every error says whether the call can still take effect.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::budget::{Budget, RequestPriority};
use super::share::Meter;
use crate::process_pause::ProcessPause;
pub use crate::protocol::state::{Change, Condition, KeyValue, KeyValuePage, WatchEvent, WatchResponse};
use crate::protocol::state::{CompareAndSwap, FailedConditions, GrantedLease, KeyVersionPage, StoreRevision};
use crate::protocol::{self, CallError, Http};
use crate::traffic::{CallKind, Traffic};
use hyper::Method;

/// Answers usually take 10 ms and at times a few hundred; past this one is not waited for.
const ANSWER_WITHIN: Duration = Duration::from_millis(1500);
/// Keys of one page. A page is all that is held of a listing.
const PAGE: u64 = 250;
/// Stands in place of a status where an answer was larger than can be read.
const TOO_LARGE: u16 = 0;
/// Between two looks at it: a right may have grown meanwhile.
const LONGEST_NAP: Duration = Duration::from_millis(200);
/// Longest wait for this controller's own share of the limits.
const BUDGET_WAIT: Duration = Duration::from_millis(2000);

/// Why a call to the state service has no usable answer, and whether it can still take effect.
#[derive(Debug, thiserror::Error, PartialEq, Eq, Clone)]
pub enum StoreError {
    /// Refused or never sent: not executed, now or later.
    #[error("the state service refused or could not be reached (status {0})")]
    Unavailable(u16),
    /// Executed, not executed, or executed later.
    #[error("the state service did not answer")]
    Unanswered,
    /// An answer that makes no sense.
    #[error("the state service answered {0}")]
    Malformed(String),
    /// The watch begins before what the service still keeps, or has more to tell than can be read.
    #[error("the revision is too old to follow")]
    TooOld,
}

/// The definite answer to a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CompareAndSwapOutcome {
    /// Applied, at this revision: the version of every key that it wrote.
    Applied(u64),
    /// These keys had other versions than asked.
    Failed(Vec<String>),
    /// A write was to be attached to a lease that does not exist any more. Nothing was applied.
    LeaseExpired,
}

/// A listing under way. Each page is as of its own moment, none older than the one before.
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
        let mut path = format!("/keys?prefix={}&most={PAGE}", self.prefix);
        if let Some(since) = &self.since {
            path.push_str("&since=");
            path.push_str(&escaped(since));
        }
        let page: KeyValuePage =
            match self.client.call(Method::GET, &path, None, ANSWER_WITHIN * 2, RequestPriority::Critical).await? {
                (200, body) => parse(&body)?,
                (other, _) => return Err(StoreError::Malformed(format!("{other} to a listing"))),
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
    requests: Mutex<Budget>,
    writes: Mutex<Budget>,
    /// When the service last served this controller, and when it last failed to.
    health: Mutex<Health>,
    /// Requests and changes that were asked for.
    wanted: Mutex<(Meter, Meter)>,
    traffic: Arc<Traffic>,
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
    /// Failing for this long without a single answer in between.
    pub fn failing_for(&self, now: Instant) -> Duration {
        match (self.served, self.failed) {
            (Some(served), Some(failed)) if failed > served => now.saturating_duration_since(served),
            _ => Duration::ZERO,
        }
    }
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    protocol::decode(body).map_err(|e| StoreError::Malformed(e.to_string()))
}

/// A key as part of an address: one that holds what no address may hold would end every listing at itself.
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
    pub fn new(http: Http, addr: String, requests: Budget, writes: Budget, traffic: Arc<Traffic>) -> Self {
        let (requests, writes) = (Mutex::new(requests), Mutex::new(writes));
        let now = Instant::now();
        let wanted = Mutex::new((Meter::new(now), Meter::new(now)));
        Self { http, addr, requests, writes, health: Mutex::default(), wanted, traffic }
    }

    /// When the service last answered and last failed to.
    pub fn health(&self) -> Health {
        *crate::sync::lock(&self.health)
    }

    /// Changes the shares, in requests and changes a second.
    pub fn set_shares(&self, requests: f64, writes: f64) {
        let now = Instant::now();
        crate::sync::lock(&self.requests).change(requests, requests, now);
        crate::sync::lock(&self.writes).change(writes, writes, now);
    }

    /// This process was paused: the store was not failing meanwhile, as far as anybody knows here.
    pub fn after_pause(&self, pause: ProcessPause) {
        let mut health = crate::sync::lock(&self.health);
        health.served = health.served.map(|at| pause.forgive(at));
    }

    /// What this controller lately wanted, in requests and changes a second.
    pub fn wants(&self) -> (f64, f64) {
        let (now, wanted) = (Instant::now(), crate::sync::lock(&self.wanted));
        (wanted.0.per_second(now), wanted.1.per_second(now))
    }

    /// The time in which this controller's share of the requests grows by `n`.
    pub fn time_for(&self, n: f64) -> Duration {
        crate::sync::lock(&self.requests).time_for(n)
    }

    /// After how long `n` more changes of the highest right could be written, and how many a second.
    pub fn wait_for_writes(&self, n: f64) -> (Duration, f64) {
        let mut writes = crate::sync::lock(&self.writes);
        let short = n - writes.available(RequestPriority::Critical, Instant::now());
        (writes.time_for(short.max(0.0)), writes.per_second())
    }

    /// How many changes of this right could be written at once.
    pub fn writes_ready(&self, priority: RequestPriority) -> usize {
        crate::sync::lock(&self.writes).available(priority, Instant::now()).max(0.0) as usize
    }

    async fn budgeted(budget: &Mutex<Budget>, n: f64, priority: RequestPriority) -> Result<(), StoreError> {
        let begun = Instant::now();
        loop {
            let wait = match crate::sync::lock(budget).take(n, priority.after(begun.elapsed()), Instant::now()) {
                Ok(()) => return Ok(()),
                Err(wait) => wait,
            };
            if begun.elapsed() + wait > BUDGET_WAIT && priority == RequestPriority::Critical {
                return Err(StoreError::Unavailable(429));
            }
            tokio::time::sleep(wait.clamp(Duration::from_millis(2), LONGEST_NAP)).await;
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

    /// Waits until one request of this right may be sent, and counts it as sent.
    pub async fn reserve(&self, priority: RequestPriority) -> Result<(), StoreError> {
        crate::sync::lock(&self.wanted).0.count(1.0, Instant::now());
        Self::budgeted(&self.requests, 1.0, priority).await
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
        {
            let mut health = crate::sync::lock(&self.health);
            let at = Some(Instant::now());
            if served {
                health.served = at;
            } else {
                health.failed = at;
            }
        }
        match outcome {
            Ok((status @ (429 | 503), _)) => Err(StoreError::Unavailable(status)),
            Ok(answer) => Ok(answer),
            Err(CallError::NotSent) => Err(StoreError::Unavailable(0)),
            Err(CallError::TooLarge) => Ok((TOO_LARGE, bytes::Bytes::new())),
            Err(CallError::Unanswered) => Err(StoreError::Unanswered),
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
            crate::sync::lock(&self.wanted).1.count(apply.len() as f64, Instant::now());
            Self::budgeted(&self.writes, apply.len() as f64, priority).await?;
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
            other => Err(StoreError::Malformed(format!("{other} to a transaction"))),
        }
    }

    /// The value and version of a key, or none.
    pub async fn get(&self, key: &str, priority: RequestPriority) -> Result<Option<KeyValue>, StoreError> {
        let path = format!("/keys/{}", escaped(key));
        match self.call(Method::GET, &path, None, ANSWER_WITHIN, priority).await? {
            (200, body) => Ok(Some(parse(&body)?)),
            (404, _) => Ok(None),
            (other, _) => Err(StoreError::Malformed(format!("{other} to a read"))),
        }
    }

    /// Compares without changing anything, with a request that was reserved before: the keys that
    /// had other versions than asked, all as of one moment.
    pub async fn compare_reserved(&self, conditions: &[Condition]) -> Result<Vec<String>, StoreError> {
        let body = protocol::encode(&CompareAndSwap::new(conditions, &[]));
        match self.call_reserved(Method::POST, "/txn", Some(body), ANSWER_WITHIN).await? {
            (200, _) => Ok(Vec::new()),
            (409, body) => Ok(parse::<FailedConditions>(&body)?.failed),
            (other, _) => Err(StoreError::Malformed(format!("{other} to a comparison"))),
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
            (other, _) => Err(StoreError::Malformed(format!("{other} to a listing"))),
        }
    }

    /// The changes under a prefix after revision `since`. If there are none yet, the service waits up to `wait` for
    /// the first.
    pub async fn watch(&self, prefix: &str, since: u64, wait: Duration) -> Result<WatchResponse, StoreError> {
        self.reserve(RequestPriority::Critical).await?;
        self.watch_reserved(prefix, since, wait).await
    }

    /// The same, with a request that was reserved before.
    pub async fn watch_reserved(&self, prefix: &str, since: u64, wait: Duration) -> Result<WatchResponse, StoreError> {
        let path = format!("/follow?prefix={prefix}&since={since}&waitMs={}", wait.as_millis());
        let within = wait + ANSWER_WITHIN;
        match self.call_reserved(Method::GET, &path, None, within).await? {
            (200, body) => parse(&body),
            (410 | TOO_LARGE, _) => Err(StoreError::TooOld),
            (other, _) => Err(StoreError::Malformed(format!("{other} to a watch"))),
        }
    }

    /// Creates a lease that ends after `life` unless it is renewed, and returns its number. Keys attached to it are
    /// dropped when it ends.
    pub async fn grant(&self, life: Duration) -> Result<u64, StoreError> {
        let body = protocol::encode(&serde_json::json!({"lifeMs": life.as_millis() as u64}));
        match self.call(Method::POST, "/grants", Some(body), ANSWER_WITHIN, RequestPriority::Critical).await? {
            (200, body) => Ok(parse::<GrantedLease>(&body)?.permit),
            (other, _) => Err(StoreError::Malformed(format!("{other} to a lease"))),
        }
    }

    /// Ends a lease at once, with the keys attached to it.
    pub async fn release(&self, permit: u64) -> Result<(), StoreError> {
        let path = format!("/grants/{permit}");
        match self.call(Method::DELETE, &path, None, ANSWER_WITHIN, RequestPriority::Critical).await? {
            (200..=299 | 404, _) => Ok(()),
            (other, _) => Err(StoreError::Malformed(format!("{other} to the end of a lease"))),
        }
    }

    /// Whether the lease still lives.
    pub async fn renew(&self, permit: u64) -> Result<bool, StoreError> {
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
            (other, _) => Err(StoreError::Malformed(format!("{other} to a renewal"))),
        }
    }
}

#[cfg(test)]
mod tests;
