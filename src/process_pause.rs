//! Detects pauses of this process, in one place, for everything that judges by time.
//!
//! A process that was stopped while its clocks ran on finds every timer due at once, every lease and every silence too
//! long, and old answers in its sockets. None of that is evidence against anybody else, since it was this process that
//! was absent; and what was begun before the pause proves nothing after it.

use std::time::{Duration, Instant};

/// Beats come this often; any judge by time beats as well, so none judges before the pause is known.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Without a beat for this long the process was paused. A share of a slice of a core holds single turns
/// up for a second at the most (docs/measurements.md).
pub const MIN_PAUSE: Duration = Duration::from_millis(2000);
/// Workers need about this long to tell a controller that was absent what has happened.
const CONFIRMATION_TIME: Duration = Duration::from_secs(5);
/// Of the time a cancelled task has to be gone in: past this part nothing is waited for any more.
pub const MAX_PROOF_WAIT_RATIO: f64 = 0.75;
/// Questions read so soon after a pause were mostly asked within it.
const STALE_REQUEST_WINDOW: Duration = Duration::from_millis(300);
/// A question is given up by its user after this long.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// A time in which this process did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessPause {
    /// The last moment at which it is known to have run before.
    pub began: Instant,
    /// The first moment at which it ran again.
    pub ended: Instant,
}

/// What of all that was judged before a pause is void after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Invalidated {
    /// Whether this controller still holds the lease and leads has to be proven before it acts or answers.
    pub leadership: bool,
    /// Questions that lie in the sockets were given up by those who asked.
    pub requests: bool,
}

impl ProcessPause {
    /// How long it lasted.
    pub fn length(&self) -> Duration {
        self.ended.saturating_duration_since(self.began)
    }

    /// Proofs of freshness, silence and idleness of machines are void after any pause; this is what
    /// depends on its length.
    pub fn invalidated(&self, election_lease: Duration) -> Invalidated {
        // The lease was renewed up to a quarter of it before the pause began.
        Invalidated {
            leadership: self.length() >= election_lease.mul_f64(0.75),
            requests: self.length() >= USER_TIMEOUT,
        }
    }

    /// A moment before the pause, as one judges by how long ago it was for a process that was there.
    pub fn shift_instant(&self, at: Instant) -> Instant {
        if at >= self.ended { at } else { (at + self.length()).min(self.ended) }
    }

    /// Whether a machine that has not proven a cancelled task gone may be judged by that now. `at`: when
    /// the cancellation was heard of; `allowed`: the time in which the task must be gone.
    pub fn is_proof_due(&self, at: Instant, allowed: Duration, now: Instant) -> bool {
        at >= self.ended
            || now >= self.ended + CONFIRMATION_TIME
            || now.saturating_duration_since(at) >= allowed.mul_f64(MAX_PROOF_WAIT_RATIO)
    }

    /// Whether a question read now was most likely asked within the pause.
    pub fn is_stale_request(&self, now: Instant) -> bool {
        self.length() >= USER_TIMEOUT && now.saturating_duration_since(self.ended) <= STALE_REQUEST_WINDOW
    }
}

/// Notices pauses.
#[derive(Debug)]
pub struct PauseDetector {
    last_check: Instant,
    last: Option<ProcessPause>,
    pauses: u64,
}

impl PauseDetector {
    /// A process that runs at this moment.
    pub fn new(now: Instant) -> Self {
        Self { last_check: now, last: None, pauses: 0 }
    }

    /// To be called every `CHECK_INTERVAL` and before anything is judged by time: the pause, if one has just ended.
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

    /// The latest pause, if there was any.
    pub fn last(&self) -> Option<ProcessPause> {
        self.last
    }

    /// How often the process was paused: what spans a change of this proves nothing.
    pub fn pauses(&self) -> u64 {
        self.pauses
    }
}

#[cfg(test)]
mod tests;
