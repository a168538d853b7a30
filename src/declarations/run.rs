//! The leader's task for declared things: works out the next status, stores it, and logs what is stored.

use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::{Level, debug, error, info, warn};

use super::driver::{DeclarationDriver, DriverOutput, JobEnds, changes, conditions};
use super::table::KINDS;
use crate::jobs::JobId;
use crate::jobs::record::time_of_day_ms;
use crate::scheduling::ClusterState;
use crate::store::budget::RequestPriority;
use crate::store::watch_cache::WatchCache;
use crate::store::{Change, CompareAndSwapOutcome, Condition, StoreError};

/// As long as anything is declared it is looked at this often, and at most one transaction goes.
const EVERY: Duration = Duration::from_secs(1);
/// Between two looks, so that a burst of news is looked at once; and a look rests this many times as
/// long as it took.
const GAP: Duration = Duration::from_millis(250);
const REST: u32 = 8;
/// Behind acceptances, placements and ends, but not for ever: what has waited for so long goes with
/// placements, which its two changes a second hardly notice.
const PRESSED: Duration = Duration::from_secs(5);
const STORE_WITHIN: Duration = Duration::from_secs(2);

/// What the task may do with its controller.
pub trait DeclarationContext: Send + Sync + 'static {
    /// Nothing is declared, nothing was, and nothing of it is left to be told or asked for.
    fn is_idle(&self) -> bool;
    /// Runs this on how things stand; none if nothing may be decided at the moment.
    fn with_state<T>(&self, work: impl FnOnce(&mut ClusterState, &mut WatchCache, JobEnds) -> T) -> Option<T>;
    /// Asks the store how a job ended; `with_state` shows it once it has answered.
    fn query_job_end(&self, id: &JobId);
    /// How many changes of this right could be stored at once.
    fn writable_changes(&self, urgent: RequestPriority) -> usize;
    /// Sends one transaction to the state service, with what is left of its limits for calls of this urgency.
    fn compare_and_swap(
        &self,
        conditions: &[Condition],
        changes: &[Change],
        urgent: RequestPriority,
    ) -> impl Future<Output = Result<CompareAndSwapOutcome, StoreError>> + Send;
    /// A transaction was refused: waits until the watch cache is proven fresh, and sees who leads.
    fn refresh_after_conflict(&self) -> impl Future<Output = ()> + Send;
    /// Until something declared changes.
    fn wait_for_change(&self) -> impl Future<Output = ()> + Send;
}

/// When a transaction may go, and by which right.
struct WritePacer {
    next: Instant,
    /// Something has been waiting to be stored since then.
    waits: Option<Instant>,
    /// For so long that it goes with placements, until nothing waits any more.
    pressed: bool,
}

impl WritePacer {
    fn new(now: Instant) -> Self {
        Self { next: now, waits: None, pressed: false }
    }

    fn settled(&mut self) {
        (self.waits, self.pressed) = (None, false);
    }

    /// How many changes may go now, of which `any` wait.
    fn most(&mut self, any: bool, now: Instant, ready: impl Fn(RequestPriority) -> usize) -> usize {
        if !any || now < self.next {
            return 0;
        }
        let since = *self.waits.get_or_insert(now);
        self.pressed |= now.saturating_duration_since(since) >= PRESSED;
        // The smallest share holds less than one change and its reserve.
        if self.pressed { ready(RequestPriority::Placement).max(1) } else { ready(RequestPriority::Background) }
    }

    fn sent(&mut self, now: Instant) -> RequestPriority {
        self.next = now + EVERY;
        if self.pressed {
            return RequestPriority::Placement;
        }
        self.waits = None;
        RequestPriority::Background
    }
}

/// For as long as this controller leads.
pub async fn run<C: DeclarationContext>(context: Arc<C>) {
    let mut driver = DeclarationDriver::new(KINDS);
    let mut pace = WritePacer::new(Instant::now());
    loop {
        if context.is_idle() {
            context.wait_for_change().await;
        } else {
            let _ = tokio::time::timeout(EVERY, context.wait_for_change()).await;
        }
        let now = Instant::now();
        let looked = context
            .with_state(|cluster, watch_cache, ended| driver.look(cluster, watch_cache, ended, now, time_of_day_ms()));
        let rest = GAP.max(now.elapsed() * REST);
        let DriverOutput { mut writes, settled, fencing_token, news, unknown } = looked.unwrap_or_default();
        unknown.iter().for_each(|id| context.query_job_end(id));
        for (level, line) in news {
            tell(level, &line);
        }
        if settled {
            pace.settled();
        }
        let most = pace.most(!writes.is_empty(), now, |urgent| context.writable_changes(urgent));
        writes.truncate(most);
        if !writes.is_empty() {
            driver.sent(&writes);
            let urgent = pace.sent(now);
            let (conditions, changes) = (conditions(&writes, fencing_token), changes(&writes));
            let sent = context.compare_and_swap(&conditions, &changes, urgent);
            match tokio::time::timeout(STORE_WITHIN, sent).await {
                Ok(Ok(CompareAndSwapOutcome::Applied(revision))) => driver.stored(revision),
                Ok(Ok(outcome)) => {
                    debug!(?outcome, "a status was not stored");
                    context.refresh_after_conflict().await;
                }
                outcome => debug!(?outcome, "storing a status"),
            }
        }
        tokio::time::sleep(rest).await;
    }
}

fn tell(level: Level, line: &str) {
    match level {
        Level::ERROR => error!("{line}"),
        Level::WARN => warn!("{line}"),
        _ => info!("{line}"),
    }
}

#[cfg(test)]
mod tests;
