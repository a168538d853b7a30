//! Decides when ends are read in pages because batches of queries cannot answer all jobs asked about in time.
//!
//! A batch answers up to 24 jobs, a page of keys up to 1,000. After a restart of all controllers none of them has any
//! end in memory, and if users poll some ten thousand jobs every few seconds, batches alone take longer than users
//! wait. Ends are final, so an end read from a page stays true. This module does no I/O.

use std::time::{Duration, Instant};

use super::end_cache::EndCache;

/// Number of keys requested per page. The state service returns no more, and fewer if the records are large.
pub(super) const PAGE_SIZE: usize = 1000;
/// Largest number of pages in one sweep: three quarters of the cache, so that the ends read evict few of each other.
const MAX_PAGES: usize = EndCache::capacity() * 3 / 4 / PAGE_SIZE;
/// How long a request for a sweep is valid.
const REQUEST_VALIDITY: Duration = Duration::from_secs(10);
/// Pause between two sweeps. Jobs that end meanwhile are noted as they end, or queried.
const SWEEP_PAUSE: Duration = Duration::from_secs(30);

/// The progress of a sweep over the keys of ended jobs.
#[derive(Debug, Default)]
pub struct EndSweep {
    /// The last key read, after which the next page begins, also in the next sweep. None: at the first key.
    last_key: Option<String>,
    /// Pages read in this sweep.
    pages_read: usize,
    /// When a sweep was last requested.
    requested_at: Option<Instant>,
    /// No page is read before this time.
    paused_until: Option<Instant>,
}

impl EndSweep {
    /// Requests a sweep, because more jobs are queued than batches may answer in time.
    pub fn request(&mut self, now: Instant) {
        self.requested_at = Some(now);
    }

    /// The key after which the next page begins, if a page is to be read now. The inner option is none if the page
    /// begins at the first key.
    pub fn next_page(&self, now: Instant) -> Option<Option<&str>> {
        let requested = self.requested_at.is_some_and(|at| now.saturating_duration_since(at) < REQUEST_VALIDITY);
        let paused = self.paused_until.is_some_and(|until| now < until);
        (requested && !paused).then_some(self.last_key.as_deref())
    }

    /// Records that a page was read up to `last_key`, and whether keys follow it. Returns whether the sweep is
    /// complete.
    pub fn finish_page(&mut self, last_key: Option<String>, more: bool, now: Instant) -> bool {
        self.pages_read += 1;
        self.last_key = last_key.filter(|_| more);
        let complete = self.last_key.is_none() || self.pages_read >= MAX_PAGES;
        if complete {
            self.pages_read = 0;
            self.paused_until = Some(now + SWEEP_PAUSE);
        }
        complete
    }
}

#[cfg(test)]
mod tests;
