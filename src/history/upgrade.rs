//! Takes over what an earlier build has stored: its open jobs move to their new key, its ended ones
//! stay where they are and are read when somebody asks.
//!
//! Both listings are read side by side in the order of their keys, a page of each at a time. Every
//! job moves in a transaction of its own, conditional on all its keys: an interrupted upgrade is
//! begun again, and two controllers at it at once get in each other's way but lose nothing.

use std::collections::VecDeque;

use serde::Deserialize;
use tracing::{error, info};

use super::job_transactions::adopt_job;
use crate::jobs::record::{JobRecord, OLD_ENDS, OLD_JOBS, UPGRADED, Upgraded};
use crate::store::budget::RequestPriority;
use crate::store::client::{KeyValue, Pages};
use crate::store::{Change, CompareAndSwapOutcome, Condition, StateClient, StoreError};

/// One listing, item by item.
struct Cursor<'a> {
    pages: Pages<'a>,
    held: VecDeque<KeyValue>,
    prefix: &'static str,
}

impl<'a> Cursor<'a> {
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
    async fn id(&mut self) -> Result<Option<String>, StoreError> {
        let prefix = self.prefix;
        Ok(self.peek().await?.map(|item| item.path.trim_start_matches(prefix).to_owned()))
    }

    fn pass(&mut self) -> Option<KeyValue> {
        self.held.pop_front()
    }
}

/// Said once: whoever says it first has seen all that there was.
pub(crate) fn upgraded(old_kept: bool) -> (Condition, Change) {
    let value = serde_json::to_value(Upgraded { old_jobs_kept: old_kept }).unwrap_or_default();
    (Condition::absent(UPGRADED), Change::write(UPGRADED, value))
}

/// Moves what is open and says so in the store. Done again after any error.
pub async fn run(store: &StateClient) -> Result<(), StoreError> {
    let (mut jobs, mut ends) = (Cursor::new(store, OLD_JOBS), Cursor::new(store, OLD_ENDS));
    let (mut open, mut ended) = (0u64, 0u64);
    while let Some(id) = jobs.id().await? {
        while ends.id().await?.is_some_and(|e| e < id) {
            ends.pass();
        }
        let over = ends.id().await?.is_some_and(|e| e == id);
        let Some(item) = jobs.pass() else { break };
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
            Err(error) => error!(%error, path = item.path, "unreadable job of an earlier build"),
        }
    }
    let old_kept = open + ended > 0;
    let (condition, change) = upgraded(old_kept);
    store.compare_and_swap(&[condition], &[change], RequestPriority::Critical).await?;
    if old_kept {
        info!(open, ended, "took over what an earlier build has stored");
    }
    Ok(())
}
