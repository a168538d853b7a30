//! The owner's task: looks at what is declared, stores what follows, tells what is stored.

use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::{Level, debug, error, info, warn};

use super::driver::{Driver, Ended, Looked, changes, conditions};
use super::table::KINDS;
use crate::jobs::record::time_of_day_ms;
use crate::scheduling::Book;
use crate::store::budget::Urgent;
use crate::store::mirror::Mirror;
use crate::store::{Change, Condition, StoreError, TxnOutcome};

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
pub trait Hands: Send + Sync + 'static {
    /// Nothing is declared, nothing was, and nothing of it is left to be told or asked for.
    fn quiet(&self) -> bool;
    /// Runs this on how things stand; none if nothing may be decided at the moment.
    fn look<T>(&self, look: impl FnOnce(&mut Book, &mut Mirror, Ended) -> T) -> Option<T>;
    /// How many changes of this right could be stored at once.
    fn ready(&self, urgent: Urgent) -> usize;
    fn store(
        &self,
        conditions: &[Condition],
        changes: &[Change],
        urgent: Urgent,
    ) -> impl Future<Output = Result<TxnOutcome, StoreError>> + Send;
    /// A transaction was refused: waits until the mirror is proven fresh, and sees who owns.
    fn refused(&self) -> impl Future<Output = ()> + Send;
    /// Until something declared changes.
    fn woken(&self) -> impl Future<Output = ()> + Send;
}

/// For as long as this controller owns.
pub async fn run<H: Hands>(hands: Arc<H>) {
    let mut driver = Driver::new(KINDS);
    let (mut store_next, mut waits) = (Instant::now(), None::<Instant>);
    loop {
        if hands.quiet() {
            hands.woken().await;
        } else {
            let _ = tokio::time::timeout(EVERY, hands.woken()).await;
        }
        let now = Instant::now();
        let looked = hands.look(|book, mirror, ended| driver.look(book, mirror, ended, now, time_of_day_ms()));
        let rest = GAP.max(now.elapsed() * REST);
        let Looked { writes, token, news } = looked.unwrap_or_default();
        for (level, line) in news {
            tell(level, &line);
        }
        if writes.is_empty() {
            waits = None;
        } else if now >= store_next {
            let since = *waits.get_or_insert(now);
            let pressed = now.saturating_duration_since(since) >= PRESSED;
            let urgent = if pressed { Urgent::Second } else { Urgent::Last };
            if hands.ready(urgent) >= writes.len() {
                store_next = now + EVERY;
                driver.sent(&writes);
                let (conditions, changes) = (conditions(&writes, token), changes(&writes));
                let sent = hands.store(&conditions, &changes, urgent);
                match tokio::time::timeout(STORE_WITHIN, sent).await {
                    Ok(Ok(TxnOutcome::Applied(revision))) => {
                        driver.stored(revision);
                        waits = None;
                    }
                    Ok(Ok(outcome)) => {
                        debug!(?outcome, "a status was not stored");
                        hands.refused().await;
                    }
                    outcome => debug!(?outcome, "storing a status"),
                }
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
