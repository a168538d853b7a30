//! The leader's task for declarations: evaluates them, stores the next statuses, and logs what was stored.

use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::debug;

use super::driver::{DeclarationDriver, DriverOutput, JobEnds, StatusWrite, changes, conditions};
use super::table::KINDS;
use crate::jobs::JobId;
use crate::jobs::record::time_of_day_ms;
use crate::scheduling::ClusterState;
use crate::store::budget::RequestPriority;
use crate::store::watch_cache::WatchCache;
use crate::store::{Change, CompareAndSwapOutcome, Condition, StoreError};

/// As long as anything is declared it is evaluated at least this often, and at most one transaction goes.
const EVALUATION_INTERVAL: Duration = Duration::from_secs(1);
/// Least pause between two evaluations, so that a burst of changes is evaluated at once.
const MIN_PAUSE: Duration = Duration::from_millis(250);
/// The pause after an evaluation is at least this many times as long as it took.
const PAUSE_PER_EVALUATION: u32 = 8;
/// Writes go after acceptances, placements and ends, but do not starve: what has waited for so long goes with
/// placements, which its two changes a second hardly slow down.
const ESCALATE_AFTER: Duration = Duration::from_secs(5);
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// What the task needs of its controller.
pub trait DeclarationContext: Send + Sync + 'static {
    /// Nothing is declared, nothing was, and nothing of it is left to be logged or asked for.
    fn is_idle(&self) -> bool;
    /// Runs this on the present state; none if nothing may be decided at the moment.
    fn with_state<T>(&self, work: impl FnOnce(&mut ClusterState, &mut WatchCache, JobEnds) -> T) -> Option<T>;
    /// Asks the store how a job ended; `with_state` shows it once the store has answered.
    fn query_job_end(&self, id: &JobId);
    /// How many changes of this urgency could be stored at once.
    fn writable_changes(&self, priority: RequestPriority) -> usize;
    /// Sends one transaction to the state service, within the controller's budget for calls of this urgency.
    fn compare_and_swap(
        &self,
        conditions: &[Condition],
        changes: &[Change],
        priority: RequestPriority,
    ) -> impl Future<Output = Result<CompareAndSwapOutcome, StoreError>> + Send;
    /// A transaction was refused: waits until the watch cache is proven up to date, and checks who leads.
    fn refresh_after_conflict(&self) -> impl Future<Output = ()> + Send;
    /// Waits until a declaration changes.
    fn wait_for_change(&self) -> impl Future<Output = ()> + Send;
}

/// Decides when a transaction may go, and with which urgency.
struct WritePacer {
    next: Instant,
    /// Since when something has been waiting to be stored.
    waiting_since: Option<Instant>,
    /// It has waited for so long that it goes with placements, until nothing waits any more.
    escalated: bool,
}

impl WritePacer {
    fn new(now: Instant) -> Self {
        Self { next: now, waiting_since: None, escalated: false }
    }

    fn mark_settled(&mut self) {
        self.waiting_since = None;
        self.escalated = false;
    }

    /// How many changes may go now, if `any` wait.
    fn allowed_writes(
        &mut self,
        any: bool,
        now: Instant,
        writable_changes: impl Fn(RequestPriority) -> usize,
    ) -> usize {
        if !any || now < self.next {
            return 0;
        }
        let since = *self.waiting_since.get_or_insert(now);
        self.escalated |= now.saturating_duration_since(since) >= ESCALATE_AFTER;
        // The smallest budget holds less than one change and its reserve.
        if self.escalated {
            writable_changes(RequestPriority::Placement).max(1)
        } else {
            writable_changes(RequestPriority::Background)
        }
    }

    fn mark_sent(&mut self, now: Instant) -> RequestPriority {
        self.next = now + EVALUATION_INTERVAL;
        if self.escalated {
            return RequestPriority::Placement;
        }
        self.waiting_since = None;
        RequestPriority::Background
    }
}

/// Runs for as long as this controller leads.
pub async fn run_declarations<C: DeclarationContext>(context: Arc<C>) {
    let mut driver = DeclarationDriver::new(KINDS);
    let mut pacer = WritePacer::new(Instant::now());
    loop {
        wait_for_work(&*context).await;
        let now = Instant::now();
        let output = context.with_state(|cluster, watch_cache, job_end| {
            driver.evaluate(cluster, watch_cache, job_end, now, time_of_day_ms())
        });
        let pause = MIN_PAUSE.max(now.elapsed() * PAUSE_PER_EVALUATION);
        let DriverOutput { mut writes, settled, fencing_token, events, unknown_ends } = output.unwrap_or_default();
        unknown_ends.iter().for_each(|id| context.query_job_end(id));
        events.iter().for_each(|event| event.log());
        if settled {
            pacer.mark_settled();
        }
        let allowed = pacer.allowed_writes(!writes.is_empty(), now, |priority| context.writable_changes(priority));
        writes.truncate(allowed);
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

/// The revision at which the writes were applied, if that is known.
async fn store_writes<C: DeclarationContext>(
    context: &C,
    writes: &[StatusWrite],
    fencing_token: u64,
    priority: RequestPriority,
) -> Option<u64> {
    let (conditions, changes) = (conditions(writes, fencing_token), changes(writes));
    let sent = context.compare_and_swap(&conditions, &changes, priority);
    match tokio::time::timeout(WRITE_TIMEOUT, sent).await {
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
