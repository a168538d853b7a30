//! Decides when ends are read in pages, because more jobs are asked about than comparisons can answer in time.
//!
//! A comparison answers up to 24 jobs, a page of keys up to 1,000. After a restart of all controllers none has any end
//! in memory, and if some ten thousand jobs are asked about every few seconds, comparisons alone take longer than users
//! wait. Ends are final, so whatever a page shows stays true.

use std::time::{Duration, Instant};

use super::end_cache::EndCache;

/// Keys of one page; the state service returns no more, and fewer if the records are large.
pub(super) const PAGE_SIZE: usize = 1000;
/// Pages read in one sweep: its ends should not evict each other from the cache.
const MAX_PAGES: usize = EndCache::capacity() * 3 / 4 / PAGE_SIZE;
/// How long a request for a sweep is valid.
const REQUEST_VALID: Duration = Duration::from_secs(10);
/// Pause between two sweeps: what ends in the meantime is noted as it ends, or queried.
const SWEEP_PAUSE: Duration = Duration::from_secs(30);

/// The progress of a sweep. Pure.
#[derive(Debug, Default)]
pub struct EndSweep {
    /// The last key read; the next sweep goes on after it.
    last_key: Option<String>,
    pages: usize,
    requested_at: Option<Instant>,
    paused_until: Option<Instant>,
}

impl EndSweep {
    /// Requests a sweep: more jobs are asked about than can be compared.
    pub fn request(&mut self, now: Instant) {
        self.requested_at = Some(now);
    }

    /// The key after which the next page begins (none: from the first key on), if a page is to be read now.
    pub fn next_page(&self, now: Instant) -> Option<Option<&str>> {
        let requested = self.requested_at.is_some_and(|at| now.saturating_duration_since(at) < REQUEST_VALID);
        let paused = self.paused_until.is_some_and(|until| now < until);
        (requested && !paused).then_some(self.last_key.as_deref())
    }

    /// Records that a page was read up to this key. True if that completes the sweep.
    pub fn finish_page(&mut self, last_key: Option<String>, more: bool, now: Instant) -> bool {
        self.pages += 1;
        self.last_key = last_key.filter(|_| more);
        let complete = self.last_key.is_none() || self.pages >= MAX_PAGES;
        if complete {
            self.pages = 0;
            self.paused_until = Some(now + SWEEP_PAUSE);
        }
        complete
    }
}

#[cfg(test)]
mod tests;
