//! Upgrades what an earlier build has stored: its open jobs move to their new keys, its ended ones stay under the old keys
//! and are read when somebody asks.
//!
//! Both listings are read side by side in the order of their keys, a page of each at a time. Every
//! job moves in a transaction of its own, conditional on all its keys: an interrupted upgrade is
//! begun again, and two controllers that upgrade at once delay each other but lose nothing.

use std::collections::VecDeque;

use serde::Deserialize;
use tracing::{error, info};

use super::job_transactions::adopt_job;
use crate::jobs::record::{JobRecord, OLD_END_PREFIX, OLD_JOB_PREFIX, UPGRADED_KEY, UpgradeRecord};
use crate::store::budget::RequestPriority;
use crate::store::client::{KeyValue, Pages};
use crate::store::{Change, CompareAndSwapOutcome, Condition, StateClient, StoreError};

/// A listing, read item by item.
struct ListingCursor<'a> {
    pages: Pages<'a>,
    held: VecDeque<KeyValue>,
    prefix: &'static str,
}

impl<'a> ListingCursor<'a> {
    fn new(store: &'a StateClient, prefix: &'static str) -> Self {
        Self { pages: store.pages(prefix, None), held: VecDeque::new(), prefix }
    }

    async fn peek(&mut self) -> Result<Option<&KeyValue>, StoreError> {
        while self.held.is_empty() {
            match self.pages.next().await? {
                Some(page) => self.held.extend(page.items),
                None => return Ok(None),
            }
        }
        Ok(self.held.front())
    }

    /// The next item's id, if there is one.
    async fn peek_id(&mut self) -> Result<Option<String>, StoreError> {
        let prefix = self.prefix;
        Ok(self.peek().await?.map(|item| item.path.trim_start_matches(prefix).to_owned()))
    }

    fn advance(&mut self) -> Option<KeyValue> {
        self.held.pop_front()
    }
}

/// Marks the store as upgraded. The mark is written once, by whoever has first moved everything.
pub(crate) fn mark_upgraded(old_kept: bool) -> (Condition, Change) {
    let value = serde_json::to_value(UpgradeRecord { old_jobs_kept: old_kept }).unwrap_or_default();
    (Condition::absent(UPGRADED_KEY), Change::write(UPGRADED_KEY, value))
}

/// Moves all open jobs and marks the store as upgraded. To be run again after an error.
///
/// # Errors
///
/// The state service refused or did not answer.
pub async fn run(store: &StateClient) -> Result<(), StoreError> {
    let (mut jobs, mut ends) = (ListingCursor::new(store, OLD_JOB_PREFIX), ListingCursor::new(store, OLD_END_PREFIX));
    let (mut open, mut ended) = (0u64, 0u64);
    while let Some(id) = jobs.peek_id().await? {
        while ends.peek_id().await?.is_some_and(|e| e < id) {
            ends.advance();
        }
        let over = ends.peek_id().await?.is_some_and(|e| e == id);
        let Some(item) = jobs.advance() else { break };
        if over {
            ended += 1;
            continue;
        }
        match JobRecord::deserialize(&item.value) {
            Ok(record) => {
                let adopt = adopt_job(&record, item.version);
                // Failed: another controller was faster, or it has ended meanwhile.
                let outcome =
                    store.compare_and_swap(&adopt.conditions, &adopt.changes, RequestPriority::Critical).await?;
                open += u64::from(matches!(outcome, CompareAndSwapOutcome::Applied(_)));
            }
            Err(error) => {
                error!(%error, key = item.path, "stored job of an earlier build not decoded; skipping it in the upgrade")
            }
        }
    }
    let old_kept = open + ended > 0;
    let (condition, change) = mark_upgraded(old_kept);
    store.compare_and_swap(&[condition], &[change], RequestPriority::Critical).await?;
    if old_kept {
        info!(open, ended, "store upgrade completed");
    }
    Ok(())
}
