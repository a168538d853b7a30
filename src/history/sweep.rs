//! Reads ends in pages when more jobs are asked about than comparisons can answer in time.
//!
//! A comparison answers up to 24 jobs, a page of names up to 1,000. After a restart of all controllers none has any
//! end in memory, and if some ten thousand jobs are asked about every few seconds, comparisons alone take longer than
//! users wait. Ends are final, so whatever a page shows stays true.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::{debug, info};

use super::ends::Ends;
use super::moves::{Place, place_of};
use super::reader::History;
use crate::store::StateClient;
use crate::store::budget::RequestPriority;
use crate::sync::jitter;

/// Where ends are kept.
const ENDED: &str = "h/";
/// Keys of one page; the state service gives no more, and fewer of large records.
const PAGE: usize = 1000;
/// Read in one go: what is at hand afterwards should not have pushed itself out.
const MOST_PAGES: usize = Ends::most() * 3 / 4 / PAGE;
/// Questions that were too many this long ago say nothing any more.
const FADE: Duration = Duration::from_secs(10);
/// Between two goes: what ends meanwhile is noted as it ends, or compared.
const REST: Duration = Duration::from_secs(30);

/// Where the reading is. Pure.
#[derive(Debug, Default)]
pub struct Sweep {
    since: Option<String>,
    pages: usize,
    wanted: Option<Instant>,
    rests_until: Option<Instant>,
}

impl Sweep {
    /// More is asked than can be compared.
    pub fn want(&mut self, now: Instant) {
        self.wanted = Some(now);
    }

    /// After which name the next page begins, if one is to be read now.
    pub fn next(&self, now: Instant) -> Option<Option<&str>> {
        let wanted = self.wanted.is_some_and(|at| now.saturating_duration_since(at) < FADE);
        let rests = self.rests_until.is_some_and(|until| now < until);
        (wanted && !rests).then_some(self.since.as_deref())
    }

    /// A page was read, up to this name. True if that was a go.
    pub fn took(&mut self, last: Option<String>, more: bool, now: Instant) -> bool {
        self.pages += 1;
        self.since = last.filter(|_| more);
        let over = self.since.is_none() || self.pages >= MOST_PAGES;
        if over {
            self.pages = 0;
            self.rests_until = Some(now + REST);
        }
        over
    }
}

/// Pages take half of the share of the requests at the most.
pub const COST: f64 = 2.0;

/// Reads whenever it is wanted, one page at a time, ahead of comparisons: it answers more.
pub async fn run(history: Arc<History>, store: Arc<StateClient>) {
    loop {
        let since = match history.sweep(|sweep| sweep.next(Instant::now()).map(|s| s.map(str::to_owned))) {
            Some(since) => since,
            None => {
                history.sweep_wanted().await;
                continue;
            }
        };
        let page = store.names(ENDED, since.as_deref(), PAGE, RequestPriority::Placement);
        let (page, ()) = tokio::join!(page, tokio::time::sleep(store.time_for(COST)));
        match page {
            Ok((names, more)) => {
                let ends = names.iter().filter_map(|name| match place_of(&name.path)? {
                    (id, Place::Ended(end)) => Some((id, end, name.version)),
                    _ => None,
                });
                history.note_ends(ends);
                let last = names.last().map(|name| name.path.clone());
                let over = history.sweep(|sweep| sweep.took(last, more, Instant::now()));
                if over {
                    let [at_hand, ..] = history.held();
                    info!(at_hand, "read how jobs ended, since many are asked about");
                }
            }
            Err(error) => {
                debug!(%error, "reading how jobs ended");
                tokio::time::sleep(jitter(Duration::from_millis(300))).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;
