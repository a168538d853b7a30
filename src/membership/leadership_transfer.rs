//! Transfer of leadership: when a lease holder releases its lease because workers reach another controller and not this
//! one.
//!
//! Each takeover request is answered once, because it stays in the store and names this leader until another controller
//! leads. A release that isn't answered is retried until it is answered or the lease has ended; meanwhile this
//! controller neither renews the lease nor campaigns. The functions are pure.

use std::time::{Duration, Instant};

/// Time after a release in which only the other controllers campaign.
const BACK_OFF: Duration = Duration::from_secs(10);
/// Minimum time between two transfers. A controller that holds the lease again because no other took it would only lose
/// time by releasing it again at once.
const MIN_TRANSFER_INTERVAL: Duration = Duration::from_secs(60);

/// State of the transfers of leadership by one controller.
#[derive(Debug, Default)]
pub struct LeadershipTransfer {
    /// Version of the last answered takeover request.
    answered_version: u64,
    /// Start of the last transfer.
    started_at: Option<Instant>,
    /// Lease whose release has not been answered yet.
    releasing: Option<u64>,
    /// End of the time in which only the other controllers campaign.
    back_off_until: Option<Instant>,
}

impl LeadershipTransfer {
    /// Starts a transfer for the takeover request with this version if one is due, and returns whether it did. The
    /// request then counts as answered, and `lease` is to be released.
    pub fn start_if_due(&mut self, request_version: u64, lease: u64, now: Instant) -> bool {
        let interval_passed =
            self.started_at.is_none_or(|at| now.saturating_duration_since(at) >= MIN_TRANSFER_INTERVAL);
        if request_version <= self.answered_version || !interval_passed {
            return false;
        }
        self.answered_version = request_version;
        self.started_at = Some(now);
        self.releasing = Some(lease);
        true
    }

    /// Returns the lease whose release has not been answered yet.
    pub fn lease_to_release(&self) -> Option<u64> {
        self.releasing
    }

    /// Records that the release was answered, which starts the back-off.
    pub fn record_release(&mut self, now: Instant) {
        self.releasing = None;
        self.back_off_until = Some(now + BACK_OFF);
    }

    /// Returns whether this controller leaves the election lease to the others.
    pub fn backs_off(&self, now: Instant) -> bool {
        self.releasing.is_some() || self.back_off_until.is_some_and(|until| now < until)
    }
}

#[cfg(test)]
mod tests;
