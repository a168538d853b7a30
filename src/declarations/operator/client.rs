//! Client for operators' requests to the state service, which are retried until they have a definite answer, and to a
//! controller.

use std::cell::Cell;
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::{Value, json};

use super::error::{NoAnswer, OperatorError, Refusal};
use super::stored::{SpecWrite, StoredDeclarations, Transaction};
use crate::declarations::records::{DeclarationKind, OPERATORS_KEY, SPEC_PREFIX, STATUS_PREFIX};
use crate::jobs::JobId;
use crate::jobs::record::time_of_day_ms;
use crate::protocol::Http;
use crate::settings::Settings;
use crate::store::budget::{RequestPriority, TokenBucket};
use crate::store::transaction_limits::LimitTracker;
use crate::store::{CompareAndSwapOutcome, StateClient, StoreError};
use crate::sync::jitter;

/// Fraction of the state service's rate limits that an operator uses.
const RATE_LIMIT_SHARE: f64 = 0.05;
/// Maximum number of requests in a burst.
const REQUEST_BURST: f64 = 20.0;
/// Mean pause before a retry.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout of one cancellation request to a controller.
const CANCELLATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum bytes of specifications in one transaction of at most 64 KiB; the rest is for conditions and framing.
const MAX_TRANSACTION_BYTES: usize = 40 * 1024;
/// Bytes counted for the framing of each write.
const FRAMING_BYTES_PER_WRITE: usize = 200;

/// Whether a transaction failed since it is larger than the state service allows.
fn is_too_large(error: &OperatorError) -> bool {
    matches!(error, OperatorError::NoAnswer(NoAnswer::StateService { source: StoreError::TooLarge(_), .. }))
}

/// Whether a verb is applied for the first time, or again after a conflict.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// Nothing was written before this attempt.
    First,
    /// Another operator or the leader wrote in the meantime, or part of the writes was stored.
    Repeated,
}

/// The definite outcome of a transaction.
enum WriteOutcome {
    /// The transaction was applied at this revision.
    Written(u64),
    /// These keys had other versions than expected.
    Conflict(Vec<String>),
}

/// Access to the state service and the controllers on behalf of an operator.
pub struct OperatorClient {
    /// The operator's settings.
    pub settings: Settings,
    store: StateClient,
    http: Http,
    /// How long requests are retried without a definite answer.
    timeout: Duration,
}

impl OperatorClient {
    /// Creates a client that stops retrying requests to the store after `timeout`.
    pub fn new(settings: Settings, timeout: Duration) -> Self {
        let (now, limits, http) = (Instant::now(), &settings.params.state, Http::default());
        let requests = TokenBucket::new(limits.rps * RATE_LIMIT_SHARE, REQUEST_BURST, now);
        let writes = TokenBucket::new(limits.write_rps * RATE_LIMIT_SHARE, limits.txn_ops as f64, now);
        let endpoint = settings.endpoints.state.clone();
        let store =
            StateClient::new(http.clone(), endpoint, requests, writes, LimitTracker::new(limits), Default::default());
        Self { settings, store, http, timeout }
    }

    /// Reads the declarations, lets `decide` choose the writes, and stores them; starts again after a conflicting
    /// write. Returns the names that were written.
    ///
    /// # Errors
    /// Returns the errors of `decide`, and fails after the timeout without a definite answer or without progress
    /// because of conflicts.
    pub async fn read_and_write(
        &self,
        kind: DeclarationKind,
        decide: impl AsyncFn(&StoredDeclarations, Attempt) -> Result<Vec<SpecWrite>, OperatorError>,
    ) -> Result<Vec<String>, OperatorError> {
        let (mut last_progress, mut written, mut attempt) = (Instant::now(), Vec::new(), Attempt::First);
        loop {
            let mut stored = self.read_declarations(Some(kind)).await?;
            let writes = decide(&stored, attempt).await?;
            let Some(keys) = self.write_all(kind, &mut stored, &writes, &mut written, &mut last_progress).await? else {
                return Ok(written);
            };
            if last_progress.elapsed() > self.timeout {
                let is_being_removed = keys.iter().any(|key| key.starts_with(STATUS_PREFIX));
                let error =
                    if is_being_removed { NoAnswer::StillBeingRemoved(keys) } else { NoAnswer::Conflicts(keys) };
                return Err(error.into());
            }
            tokio::time::sleep(jitter(RETRY_INTERVAL)).await;
            attempt = Attempt::Repeated;
        }
    }

    /// Stores the writes in as many transactions as needed. Returns the keys of the first conflict, if there is one.
    async fn write_all(
        &self,
        kind: DeclarationKind,
        stored: &mut StoredDeclarations,
        writes: &[SpecWrite],
        written: &mut Vec<String>,
        last_progress: &mut Instant,
    ) -> Result<Option<Vec<String>>, OperatorError> {
        let mut remaining = writes;
        while !remaining.is_empty() {
            let (batch, later) = remaining.split_at(self.batch_size(remaining));
            let outcome = self.write_batch(kind, stored, batch).await;
            if outcome.as_ref().is_err_and(is_too_large) && self.batch_size(remaining) < batch.len() {
                // The refusal has lowered the limits: the same writes follow in smaller transactions.
                continue;
            }
            match outcome? {
                WriteOutcome::Written(revision) => {
                    stored.operators_version = revision;
                    *last_progress = Instant::now();
                    written.extend(batch.iter().map(|write| write.name.clone()));
                    remaining = later;
                }
                WriteOutcome::Conflict(keys) => return Ok(Some(keys)),
            }
        }
        Ok(None)
    }

    /// Returns how many of the writes fit in one transaction, at least 1.
    fn batch_size(&self, writes: &[SpecWrite]) -> usize {
        let max_writes = self.store.limits().max_changes.saturating_sub(1).max(1);
        let mut bytes = 0;
        let fitting = writes.iter().take(max_writes).take_while(|write| {
            bytes += write.spec.as_ref().map_or(0, |spec| spec.to_string().len()) + FRAMING_BYTES_PER_WRITE;
            bytes <= MAX_TRANSACTION_BYTES
        });
        fitting.count().max(1)
    }

    /// Sends one transaction and repeats it until the answer is definite.
    async fn write_batch(
        &self,
        kind: DeclarationKind,
        stored: &StoredDeclarations,
        writes: &[SpecWrite],
    ) -> Result<WriteOutcome, OperatorError> {
        let marker = json!({"by": format!("{:016x}", rand::random::<u64>()), "at_ms": time_of_day_ms()});
        let Transaction { conditions, changes } = Transaction::new(kind, stored, writes, &marker);
        let may_be_applied = Cell::new(false);
        let answer = self.retry_until_answered(async || {
            let outcome = self.store.compare_and_swap(&conditions, &changes, RequestPriority::Placement).await;
            may_be_applied.set(may_be_applied.get() || outcome == Err(StoreError::Unanswered));
            outcome
        });
        Ok(match answer.await? {
            CompareAndSwapOutcome::Applied(revision) => WriteOutcome::Written(revision),
            CompareAndSwapOutcome::LeaseExpired => WriteOutcome::Conflict(Vec::new()),
            CompareAndSwapOutcome::Failed(keys) if may_be_applied.get() => {
                match self.find_marker_revision(&marker).await? {
                    Some(revision) => WriteOutcome::Written(revision),
                    None => WriteOutcome::Conflict(keys),
                }
            }
            CompareAndSwapOutcome::Failed(keys) => WriteOutcome::Conflict(keys),
        })
    }

    /// Returns the revision of the transaction with this marker if it is the last one that was applied: a rejected copy
    /// may have failed because an earlier copy of the same transaction changed the key.
    async fn find_marker_revision(&self, marker: &Value) -> Result<Option<u64>, OperatorError> {
        let item =
            self.retry_until_answered(async || self.store.get(OPERATORS_KEY, RequestPriority::Placement).await).await?;
        Ok(item.filter(|item| item.value == *marker).map(|item| item.version))
    }

    /// Reads the declarations of a kind, or of all kinds. None is older than the returned version of the operators'
    /// key.
    ///
    /// # Errors
    /// Fails after the timeout without a definite answer.
    pub async fn read_declarations(&self, kind: Option<DeclarationKind>) -> Result<StoredDeclarations, OperatorError> {
        let item =
            self.retry_until_answered(async || self.store.get(OPERATORS_KEY, RequestPriority::Placement).await).await?;
        let operators_version = item.map_or(0, |item| item.version);
        let mut stored = StoredDeclarations { operators_version, ..StoredDeclarations::default() };
        for part in [SPEC_PREFIX, STATUS_PREFIX] {
            let prefix = kind.map_or(part.to_owned(), |kind| format!("{part}{kind}/"));
            let pages = tokio::sync::Mutex::new(self.store.pages(&prefix, None));
            while let Some(page) = self.retry_until_answered(async || pages.lock().await.next().await).await? {
                page.items.into_iter().for_each(|item| stored.add_item(item));
            }
        }
        Ok(stored)
    }

    /// Cancels a job at a controller, through the same request as its user's.
    ///
    /// # Errors
    /// Fails if the controller refuses, or after the timeout without an answer.
    pub async fn cancel_job(&self, node: &str, job: &JobId) -> Result<(), OperatorError> {
        let (path, started_at) = (format!("/work/{job}/withdraw"), Instant::now());
        loop {
            let answer = self.http.call(Method::POST, node, &path, Some(Vec::new()), CANCELLATION_TIMEOUT).await;
            match answer {
                Ok((200, _)) => return Ok(()),
                Ok((status, _)) if !matches!(status, 429 | 500..) => {
                    return Err(Refusal::CancellationRefused { job: job.clone(), node: node.to_owned(), status }.into());
                }
                _ if started_at.elapsed() > self.timeout => {
                    return Err(NoAnswer::Cancellation { node: node.to_owned(), job: job.clone() }.into());
                }
                _ => tokio::time::sleep(jitter(RETRY_INTERVAL)).await,
            }
        }
    }

    /// Repeats a call until it is answered or the timeout has passed.
    async fn retry_until_answered<T>(&self, call: impl AsyncFn() -> Result<T, StoreError>) -> Result<T, NoAnswer> {
        let started_at = Instant::now();
        loop {
            match call().await {
                Ok(answer) => return Ok(answer),
                Err(source) if started_at.elapsed() > self.timeout || source.is_final() => {
                    return Err(NoAnswer::StateService { endpoint: self.settings.endpoints.state.clone(), source });
                }
                Err(_) => tokio::time::sleep(jitter(RETRY_INTERVAL)).await,
            }
        }
    }
}
