//! Upgrades the data of an earlier build: its open jobs move to their new keys, its ended jobs stay under the old keys
//! and are read when a user asks about them.
//!
//! The listings of jobs and of ends are merged in key order, with a page of each in memory at a time. Every job moves
//! in a compare-and-swap of its own, conditional on all its keys: an interrupted upgrade can be repeated, and two
//! controllers that upgrade at once delay each other but lose nothing.

use std::collections::VecDeque;

use serde::Deserialize;
use tracing::{error, info};

use super::job_transactions::adopt_job;
use crate::jobs::record::{JobRecord, OLD_END_PREFIX, OLD_JOB_PREFIX, UPGRADED_KEY, UpgradeRecord};
use crate::store::budget::RequestPriority;
use crate::store::client::{KeyValue, Pages};
use crate::store::{Change, CompareAndSwapOutcome, Condition, StateClient, StoreError};

/// A position in the listing of the keys under a prefix, which is read page by page.
struct ListingCursor<'a> {
    pages: Pages<'a>,
    /// Items of the current page that are still to be read.
    buffered: VecDeque<KeyValue>,
    prefix: &'static str,
}

impl<'a> ListingCursor<'a> {
    fn new(store: &'a StateClient, prefix: &'static str) -> Self {
        Self { pages: store.pages(prefix, None), buffered: VecDeque::new(), prefix }
    }

    /// The next item, if there is one.
    async fn peek(&mut self) -> Result<Option<&KeyValue>, StoreError> {
        while self.buffered.is_empty() {
            match self.pages.next().await? {
                Some(page) => self.buffered.extend(page.items),
                None => return Ok(None),
            }
        }
        Ok(self.buffered.front())
    }

    /// The job id in the next item's key, if there is a next item.
    async fn peek_id(&mut self) -> Result<Option<String>, StoreError> {
        let prefix = self.prefix;
        Ok(self.peek().await?.map(|item| item.path.trim_start_matches(prefix).to_owned()))
    }

    /// Takes the next item from the current page, if it has one.
    fn advance(&mut self) -> Option<KeyValue> {
        self.buffered.pop_front()
    }
}

/// Condition and change that mark the store as upgraded. The mark is written once, by the first controller that has
/// moved all open jobs. `old_jobs_kept` says whether the store may hold jobs of earlier builds.
pub(crate) fn mark_upgraded(old_jobs_kept: bool) -> (Condition, Change) {
    let value = serde_json::to_value(UpgradeRecord { old_jobs_kept }).unwrap_or_default();
    (Condition::absent(UPGRADED_KEY), Change::write(UPGRADED_KEY, value))
}

/// Moves all open jobs of an earlier build and marks the store as upgraded. After an error it must be run again.
///
/// # Errors
///
/// The state service refused or did not answer.
pub async fn run(store: &StateClient) -> Result<(), StoreError> {
    let (mut jobs, mut ends) = (ListingCursor::new(store, OLD_JOB_PREFIX), ListingCursor::new(store, OLD_END_PREFIX));
    let (mut open, mut ended) = (0u64, 0u64);
    while let Some(id) = jobs.peek_id().await? {
        while ends.peek_id().await?.is_some_and(|ended_id| ended_id < id) {
            ends.advance();
        }
        let has_ended = ends.peek_id().await?.is_some_and(|ended_id| ended_id == id);
        let Some(item) = jobs.advance() else { break };
        if has_ended {
            ended += 1;
            continue;
        }
        match JobRecord::deserialize(&item.value) {
            Ok(record) => {
                let adoption = adopt_job(&record, item.version);
                // It fails if another controller has moved the job already, or the job has ended meanwhile.
                match store.compare_and_swap(&adoption.conditions, &adoption.changes, RequestPriority::Critical).await {
                    Ok(outcome) => open += u64::from(matches!(outcome, CompareAndSwapOutcome::Applied(_))),
                    Err(error @ StoreError::TooLarge(_)) => {
                        ended += 1;
                        error!(
                            %error,
                            key = item.path,
                            "stored job of an earlier build too large to move; skipping it in the upgrade"
                        );
                    }
                    Err(error) => return Err(error),
                }
            }
            Err(error) => {
                error!(%error, key = item.path, "stored job of an earlier build not decoded; skipping it in the upgrade")
            }
        }
    }
    let old_jobs_kept = open + ended > 0;
    let (condition, change) = mark_upgraded(old_jobs_kept);
    store.compare_and_swap(&[condition], &[change], RequestPriority::Critical).await?;
    if old_jobs_kept {
        info!(open, ended, "store upgrade completed");
    }
    Ok(())
}
