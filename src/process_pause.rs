//! Detects pauses of this process, in one place, for all decisions that are based on time.
//!
//! After a process was stopped while its clocks ran on, all its timers are due at once, every lease and every silence
//! seems too long, and old answers wait in its sockets. None of that is evidence that another process failed, since
//! this one was absent; and a proof that was begun before the pause is not valid after it.

use std::time::{Duration, Instant};

/// Interval of the checks for a pause. Every decision based on time checks as well, so that none is made before the
/// pause is known.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between two checks that counts as a pause. On a fraction of a core a single turn of the event loop is
/// delayed by one second at most (docs/measurements.md).
pub const MIN_PAUSE: Duration = Duration::from_millis(2000);
/// Time that workers need after a pause to report their state to this controller.
const CONFIRMATION_TIME: Duration = Duration::from_secs(5);
/// Fraction of the cancellation deadline after which the controller waits no longer for proof that a cancelled task has
/// stopped.
pub const MAX_PROOF_WAIT_RATIO: f64 = 0.75;
/// Time after a pause within which most of the requests read were sent during the pause.
const STALE_REQUEST_WINDOW: Duration = Duration::from_millis(300);
/// Time after which users abandon a request.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// An interval in which this process did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessPause {
    /// Last moment before the pause at which the process is known to have run.
    pub began: Instant,
    /// First moment at which the process ran again.
    pub ended: Instant,
}

/// The assumptions from before a pause that its length invalidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Invalidated {
    /// Whether this controller must prove again that it holds the lease and leads, before it acts or answers.
    pub leadership: bool,
    /// Whether the requests waiting in the sockets were abandoned by their users.
    pub requests: bool,
}

impl ProcessPause {
    /// Length of the pause.
    pub fn length(&self) -> Duration {
        self.ended.saturating_duration_since(self.began)
    }

    /// Returns the assumptions that this pause invalidates because of its length. Proofs of freshness, and the silence
    /// and idle times of machines, are invalidated by any pause.
    pub fn invalidated(&self, election_lease: Duration) -> Invalidated {
        // The last renewal may precede the pause by up to a quarter of the lease.
        Invalidated {
            leadership: self.length() >= election_lease.mul_f64(0.75),
            requests: self.length() >= USER_TIMEOUT,
        }
    }

    /// Shifts a moment before the pause by the pause's length, up to its end, so that the time elapsed since then does
    /// not include the pause.
    pub fn shift_instant(&self, at: Instant) -> Instant {
        if at >= self.ended { at } else { (at + self.length()).min(self.ended) }
    }

    /// Whether a missing proof that a cancelled task has stopped may now count against its machine. `cancelled_at` is
    /// when the cancellation became known; `allowed` is the time within which the task must have stopped.
    pub fn is_proof_due(&self, cancelled_at: Instant, allowed: Duration, now: Instant) -> bool {
        cancelled_at >= self.ended
            || now >= self.ended + CONFIRMATION_TIME
            || now.saturating_duration_since(cancelled_at) >= allowed.mul_f64(MAX_PROOF_WAIT_RATIO)
    }

    /// Whether a request read now was most likely sent during the pause.
    pub fn is_stale_request(&self, now: Instant) -> bool {
        self.length() >= USER_TIMEOUT && now.saturating_duration_since(self.ended) <= STALE_REQUEST_WINDOW
    }
}

/// Detects pauses by the time between two checks.
#[derive(Debug)]
pub struct PauseDetector {
    last_check: Instant,
    last: Option<ProcessPause>,
    pauses: u64,
}

impl PauseDetector {
    /// Creates a detector for a process that runs at this moment.
    pub fn new(now: Instant) -> Self {
        Self { last_check: now, last: None, pauses: 0 }
    }

    /// Returns the pause that has just ended, if any. Must be called every `CHECK_INTERVAL` and before any decision
    /// based on time.
    pub fn detect(&mut self, now: Instant) -> Option<ProcessPause> {
        let pause = ProcessPause { began: self.last_check, ended: now };
        self.last_check = self.last_check.max(now);
        if pause.length() < MIN_PAUSE {
            return None;
        }
        self.pauses += 1;
        self.last = Some(pause);
        Some(pause)
    }

    /// Returns the latest pause, if any.
    pub fn last(&self) -> Option<ProcessPause> {
        self.last
    }

    /// Returns the number of pauses so far. A proof is not valid if this number changed while it was obtained.
    pub fn pauses(&self) -> u64 {
        self.pauses
    }
}

#[cfg(test)]
mod tests;
