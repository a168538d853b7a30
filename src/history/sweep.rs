//! Reads ends in pages when more jobs are asked about than comparisons can answer in time.
//!
//! A comparison answers up to 24 jobs, a page of names up to 1,000. After a restart of all controllers none has any
//! end in memory, and if some ten thousand jobs are asked about every few seconds, comparisons alone take longer than
//! users wait. Ends are final, so whatever a page shows stays true.

use std::time::{Duration, Instant};

use super::ends::Ends;

/// Keys of one page; the state service gives no more, and fewer of large records.
pub(super) const PAGE: usize = 1000;
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

#[cfg(test)]
mod tests;
