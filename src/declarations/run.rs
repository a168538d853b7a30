//! The leader's controller loop for declarations: evaluates them, stores the next statuses and logs stored changes.

use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::debug;

use super::driver::{
    DeclarationDriver, DriverOutput, JobEnds, StatusWrite, transaction_changes, transaction_conditions,
};
use super::table::KINDS;
use crate::jobs::JobId;
use crate::jobs::record::time_of_day_ms;
use crate::scheduling::ClusterState;
use crate::store::budget::RequestPriority;
use crate::store::watch_cache::WatchCache;
use crate::store::{Change, CompareAndSwapOutcome, Condition, StoreError};

/// Declarations are evaluated at least this often, and at most one transaction is sent per interval.
const EVALUATION_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum pause between two evaluations, so that a burst of changes is evaluated once.
const MIN_EVALUATION_PAUSE: Duration = Duration::from_millis(250);
/// Minimum ratio of the pause after an evaluation to the duration of the evaluation.
const PAUSE_TO_EVALUATION_RATIO: u32 = 8;
/// Status writes have a lower priority than acceptances, placements and ends. To prevent starvation, writes that have
/// waited for this long are sent with the priority of placements, which two changes per second hardly slow down.
const ESCALATE_AFTER: Duration = Duration::from_secs(5);
/// Timeout of one transaction.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// The operations of the controller that the declaration loop uses.
pub trait DeclarationContext: Send + Sync + 'static {
    /// Returns whether nothing is declared, no status change is left to be logged and no intent is in effect.
    fn is_idle(&self) -> bool;
    /// Runs `action` on the current state. Returns `None` if no decision may be made at the moment.
    fn with_state<T>(&self, action: impl FnOnce(&mut ClusterState, &mut WatchCache, JobEnds) -> T) -> Option<T>;
    /// Queries the store for how a job ended; `with_state` provides the answer once the store has replied.
    fn query_job_end(&self, id: &JobId);
    /// Returns the number of changes that the request budget admits now at this priority.
    fn writable_changes(&self, priority: RequestPriority) -> usize;
    /// Returns the maximum size of a value that the state service takes, in bytes of JSON.
    fn max_value_bytes(&self) -> usize;
    /// Sends one transaction to the state service, within the controller's request budget for this priority.
    fn compare_and_swap(
        &self,
        conditions: &[Condition],
        changes: &[Change],
        priority: RequestPriority,
    ) -> impl Future<Output = Result<CompareAndSwapOutcome, StoreError>> + Send;
    /// Handles a rejected transaction: waits until the watch cache is proven up to date, and checks who is the leader.
    fn refresh_after_conflict(&self) -> impl Future<Output = ()> + Send;
    /// Waits until a declaration changes.
    fn wait_for_change(&self) -> impl Future<Output = ()> + Send;
}

/// Decides when a transaction may be sent, and with which priority.
struct WritePacer {
    /// Earliest time of the next transaction.
    next_write_at: Instant,
    /// Since when a write has been waiting.
    waiting_since: Option<Instant>,
    /// Whether writes have waited so long that they are sent with the priority of placements, until none is waiting.
    escalated: bool,
}

impl WritePacer {
    fn new(now: Instant) -> Self {
        Self { next_write_at: now, waiting_since: None, escalated: false }
    }

    /// Records that no write is waiting any more.
    fn mark_settled(&mut self) {
        self.waiting_since = None;
        self.escalated = false;
    }

    /// Returns the number of changes that may be sent now.
    fn allowed_writes(
        &mut self,
        has_writes: bool,
        now: Instant,
        writable_changes: impl Fn(RequestPriority) -> usize,
    ) -> usize {
        if !has_writes || now < self.next_write_at {
            return 0;
        }
        let waiting_since = *self.waiting_since.get_or_insert(now);
        self.escalated |= now.saturating_duration_since(waiting_since) >= ESCALATE_AFTER;
        // At least 1: the smallest budget is less than one change plus the reserve.
        if self.escalated {
            writable_changes(RequestPriority::Placement).max(1)
        } else {
            writable_changes(RequestPriority::Background)
        }
    }

    /// Records that a transaction is being sent and returns its priority.
    fn mark_sent(&mut self, now: Instant) -> RequestPriority {
        self.next_write_at = now + EVALUATION_INTERVAL;
        if self.escalated {
            return RequestPriority::Placement;
        }
        self.waiting_since = None;
        RequestPriority::Background
    }
}

/// Runs the declaration loop for as long as this controller is the leader.
pub async fn run_declarations<C: DeclarationContext>(context: Arc<C>) {
    let mut driver = DeclarationDriver::new(KINDS);
    let mut pacer = WritePacer::new(Instant::now());
    loop {
        wait_for_work(&*context).await;
        let now = Instant::now();
        driver.set_max_value_bytes(context.max_value_bytes());
        let output = context.with_state(|cluster, watch_cache, job_end| {
            driver.evaluate(cluster, watch_cache, job_end, now, time_of_day_ms())
        });
        let pause = MIN_EVALUATION_PAUSE.max(now.elapsed() * PAUSE_TO_EVALUATION_RATIO);
        let DriverOutput { mut writes, settled, fencing_token, events, unknown_ends } = output.unwrap_or_default();
        unknown_ends.iter().for_each(|id| context.query_job_end(id));
        events.iter().for_each(|event| event.log());
        if settled {
            pacer.mark_settled();
        }
        let allowed_writes =
            pacer.allowed_writes(!writes.is_empty(), now, |priority| context.writable_changes(priority));
        writes.truncate(allowed_writes);
        if !writes.is_empty() {
            driver.mark_sent(&writes);
            let priority = pacer.mark_sent(now);
            if let Some(revision) = store_writes(&*context, &writes, fencing_token, priority).await {
                driver.mark_stored(revision);
            }
        }
        tokio::time::sleep(pause).await;
    }
}

async fn wait_for_work<C: DeclarationContext>(context: &C) {
    if context.is_idle() {
        context.wait_for_change().await;
    } else {
        let _ = tokio::time::timeout(EVALUATION_INTERVAL, context.wait_for_change()).await;
    }
}

/// Sends the writes in one transaction. Returns the revision at which they were applied, if it is known.
async fn store_writes<C: DeclarationContext>(
    context: &C,
    writes: &[StatusWrite],
    fencing_token: u64,
    priority: RequestPriority,
) -> Option<u64> {
    let (conditions, changes) = (transaction_conditions(writes, fencing_token), transaction_changes(writes));
    let transaction = context.compare_and_swap(&conditions, &changes, priority);
    match tokio::time::timeout(WRITE_TIMEOUT, transaction).await {
        Ok(Ok(CompareAndSwapOutcome::Applied(revision))) => return Some(revision),
        Ok(Ok(outcome)) => {
            debug!(?outcome, "declaration status write rejected");
            context.refresh_after_conflict().await;
        }
        outcome => debug!(?outcome, "declaration status write failed"),
    }
    None
}

#[cfg(test)]
mod tests;
