//! An operator's requests: to the state service, repeated until they have a definite answer, and to a controller.

use std::cell::Cell;
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::{Value, json};

use super::error::{NoAnswer, OperatorError, Refusal};
use super::stored::{SpecWrite, StoredDeclarations, Transaction};
use crate::declarations::records::{DeclarationKind, OPERATORS, SPECS, STATUSES};
use crate::jobs::JobId;
use crate::jobs::record::time_of_day_ms;
use crate::protocol::Http;
use crate::settings::Settings;
use crate::store::budget::{RequestPriority, TokenBucket};
use crate::store::{CompareAndSwapOutcome, StateClient, StoreError};
use crate::sync::jitter;

/// Operators' part of the state service's limits.
const BUDGET_SHARE: f64 = 0.05;
/// Requests that may go at once.
const REQUEST_BURST: f64 = 20.0;
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// How long a controller's answer to a cancellation is waited for.
const CANCELLATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes of specs in one transaction of at most 64 KiB; the rest is for conditions and framing.
const MAX_TRANSACTION_BYTES: usize = 40 * 1024;
/// Bytes counted for the framing of each write.
const BYTES_PER_WRITE: usize = 200;

/// Whether a verb is applied for the first time, or again after a conflict.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// Nothing was written before.
    First,
    /// Somebody else has written meanwhile, or a part of it was written.
    Repeated,
}

enum WriteOutcome {
    /// At this revision.
    Written(u64),
    /// These keys had other versions.
    Conflict(Vec<String>),
}

/// Access to the state service and the controllers on behalf of an operator.
pub struct OperatorClient {
    /// The settings.
    pub settings: Settings,
    store: StateClient,
    http: Http,
    /// How long it goes on without an answer.
    patience: Duration,
}

impl OperatorClient {
    /// Gives up on the store after `patience`.
    pub fn new(settings: Settings, patience: Duration) -> Self {
        let (now, limits, http) = (Instant::now(), &settings.params.state, Http::default());
        let requests = TokenBucket::new(limits.rps * BUDGET_SHARE, REQUEST_BURST, now);
        let writes = TokenBucket::new(limits.write_rps * BUDGET_SHARE, limits.txn_ops as f64, now);
        let endpoint = settings.endpoints.state.clone();
        let store = StateClient::new(http.clone(), endpoint, requests, writes, Default::default());
        Self { settings, store, http, patience }
    }

    /// Reads what is declared, lets `decide` say what to write, and writes it; again from the start where something
    /// else was written meanwhile. Gives the names that were written.
    ///
    /// # Errors
    /// Those of `decide`; no definite answer, or conflicts, for as long as its patience lasts.
    pub async fn read_and_write(
        &self,
        kind: DeclarationKind,
        decide: impl AsyncFn(&StoredDeclarations, Attempt) -> Result<Vec<SpecWrite>, OperatorError>,
    ) -> Result<Vec<String>, OperatorError> {
        let (mut progress, mut written, mut attempt) = (Instant::now(), Vec::new(), Attempt::First);
        loop {
            let mut stored = self.read_declarations(Some(kind)).await?;
            let writes = decide(&stored, attempt).await?;
            let Some(keys) = self.write_all(kind, &mut stored, &writes, &mut written, &mut progress).await? else {
                return Ok(written);
            };
            if progress.elapsed() > self.patience {
                let removed = keys.iter().any(|key| key.starts_with(STATUSES));
                let why = if removed { NoAnswer::StillBeingRemoved(keys) } else { NoAnswer::Conflicts(keys) };
                return Err(why.into());
            }
            tokio::time::sleep(jitter(RETRY_INTERVAL)).await;
            attempt = Attempt::Repeated;
        }
    }

    /// Writes in as many transactions as needed. Gives the keys of the first conflict, if there is one.
    async fn write_all(
        &self,
        kind: DeclarationKind,
        stored: &mut StoredDeclarations,
        writes: &[SpecWrite],
        written: &mut Vec<String>,
        progress: &mut Instant,
    ) -> Result<Option<Vec<String>>, OperatorError> {
        let mut remaining = writes;
        while !remaining.is_empty() {
            let (batch, later) = remaining.split_at(self.batch_size(remaining));
            match self.write_batch(kind, stored, batch).await? {
                WriteOutcome::Written(revision) => {
                    stored.operators_version = revision;
                    *progress = Instant::now();
                    written.extend(batch.iter().map(|write| write.name.clone()));
                    remaining = later;
                }
                WriteOutcome::Conflict(keys) => return Ok(Some(keys)),
            }
        }
        Ok(None)
    }

    /// How many of these fit one transaction.
    fn batch_size(&self, writes: &[SpecWrite]) -> usize {
        let max_writes = (self.settings.params.state.txn_ops as usize).saturating_sub(1).max(1);
        let mut bytes = 0;
        let fitting = writes.iter().take(max_writes).take_while(|write| {
            bytes += write.spec.as_ref().map_or(0, |spec| spec.to_string().len()) + BYTES_PER_WRITE;
            bytes <= MAX_TRANSACTION_BYTES
        });
        fitting.count().max(1)
    }

    /// One transaction, repeated until its answer is definite.
    async fn write_batch(
        &self,
        kind: DeclarationKind,
        stored: &StoredDeclarations,
        writes: &[SpecWrite],
    ) -> Result<WriteOutcome, OperatorError> {
        let marker = json!({"by": format!("{:016x}", rand::random::<u64>()), "at_ms": time_of_day_ms()});
        let Transaction { conditions, changes } = Transaction::new(kind, stored, writes, &marker);
        let unsure = Cell::new(false);
        let sent = self.retry_until_answered(async || {
            let outcome = self.store.compare_and_swap(&conditions, &changes, RequestPriority::Placement).await;
            unsure.set(unsure.get() || outcome == Err(StoreError::Unanswered));
            outcome
        });
        Ok(match sent.await? {
            CompareAndSwapOutcome::Applied(revision) => WriteOutcome::Written(revision),
            CompareAndSwapOutcome::LeaseExpired => WriteOutcome::Conflict(Vec::new()),
            CompareAndSwapOutcome::Failed(keys) if unsure.get() => match self.find_marker(&marker).await? {
                Some(revision) => WriteOutcome::Written(revision),
                None => WriteOutcome::Conflict(keys),
            },
            CompareAndSwapOutcome::Failed(keys) => WriteOutcome::Conflict(keys),
        })
    }

    /// The revision of a transaction with this marker, if it is the last one that was applied: an earlier copy may have
    /// been the one that changed the key.
    async fn find_marker(&self, marker: &Value) -> Result<Option<u64>, OperatorError> {
        let item =
            self.retry_until_answered(async || self.store.get(OPERATORS, RequestPriority::Placement).await).await?;
        Ok(item.filter(|item| item.value == *marker).map(|item| item.version))
    }

    /// Reads the declarations of a kind, or all, none older than the version of the operators' key.
    ///
    /// # Errors
    /// No definite answer for as long as its patience lasts.
    pub async fn read_declarations(&self, kind: Option<DeclarationKind>) -> Result<StoredDeclarations, OperatorError> {
        let item =
            self.retry_until_answered(async || self.store.get(OPERATORS, RequestPriority::Placement).await).await?;
        let operators_version = item.map_or(0, |item| item.version);
        let mut stored = StoredDeclarations { operators_version, ..StoredDeclarations::default() };
        for part in [SPECS, STATUSES] {
            let prefix = kind.map_or(part.to_owned(), |kind| format!("{part}{kind}/"));
            let pages = tokio::sync::Mutex::new(self.store.pages(&prefix, None));
            while let Some(page) = self.retry_until_answered(async || pages.lock().await.next().await).await? {
                page.items.into_iter().for_each(|item| stored.add_item(item));
            }
        }
        Ok(stored)
    }

    /// Cancels a job at a controller, as its user would.
    ///
    /// # Errors
    /// The controller refuses, or does not answer for as long as its patience lasts.
    pub async fn cancel_job(&self, node: &str, job: &JobId) -> Result<(), OperatorError> {
        let (path, begun) = (format!("/work/{job}/withdraw"), Instant::now());
        loop {
            let answer = self.http.call(Method::POST, node, &path, Some(Vec::new()), CANCELLATION_TIMEOUT).await;
            match answer {
                Ok((200, _)) => return Ok(()),
                Ok((status, _)) if !matches!(status, 429 | 500..) => {
                    return Err(Refusal::CancellationRefused { job: job.clone(), node: node.to_owned(), status }.into());
                }
                _ if begun.elapsed() > self.patience => {
                    return Err(NoAnswer::Cancellation { node: node.to_owned(), job: job.clone() }.into());
                }
                _ => tokio::time::sleep(jitter(RETRY_INTERVAL)).await,
            }
        }
    }

    /// Repeats a call until there is an answer, for as long as its patience lasts.
    async fn retry_until_answered<T>(&self, call: impl AsyncFn() -> Result<T, StoreError>) -> Result<T, NoAnswer> {
        let begun = Instant::now();
        loop {
            match call().await {
                Ok(answer) => return Ok(answer),
                Err(source) if begun.elapsed() > self.patience || source.is_invalid_response() => {
                    return Err(NoAnswer::StateService { endpoint: self.settings.endpoints.state.clone(), source });
                }
                Err(_) => tokio::time::sleep(jitter(RETRY_INTERVAL)).await,
            }
        }
    }
}
