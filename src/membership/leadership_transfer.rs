//! When a lease holder steps down because workers reach another controller and not this one.
//!
//! A takeover request is answered once: it stays in the store, and names the leader until another one is the leader. A
//! release that gets no answer is asked for again until it does, or the lease has ended; meanwhile this controller
//! neither renews it nor campaigns. Pure.

use std::time::{Duration, Instant};

/// After yielding, the others get this long to take over before this controller tries again.
const BACK_OFF: Duration = Duration::from_secs(10);
/// Whoever holds the lease again since nobody else did does not yield again before this: it would only cost time.
const YIELD_GAP: Duration = Duration::from_secs(60);

/// What a controller remembers of its yields.
#[derive(Debug, Default)]
pub struct LeadershipTransfer {
    /// The version of the last takeover request that was answered.
    answered: u64,
    begun: Option<Instant>,
    /// The lease that is to be released.
    lease: Option<u64>,
    back_off_until: Option<Instant>,
}

impl LeadershipTransfer {
    /// Whether to step down now for the takeover request with this version, giving up this lease. Counts as answered.
    pub fn begins(&mut self, takeover_request: u64, lease: u64, now: Instant) -> bool {
        let rested = self.begun.is_none_or(|at| now.saturating_duration_since(at) >= YIELD_GAP);
        if takeover_request <= self.answered || !rested {
            return false;
        }
        self.answered = takeover_request;
        self.begun = Some(now);
        self.lease = Some(lease);
        true
    }

    /// The lease whose release has got no answer yet.
    pub fn to_release(&self) -> Option<u64> {
        self.lease
    }

    /// The release was answered: from here on the others have their time.
    pub fn released(&mut self, now: Instant) {
        self.lease = None;
        self.back_off_until = Some(now + BACK_OFF);
    }

    /// Whether the election lease is left to the others.
    pub fn stands_back(&self, now: Instant) -> bool {
        self.lease.is_some() || self.back_off_until.is_some_and(|until| now < until)
    }
}

#[cfg(test)]
mod tests;
