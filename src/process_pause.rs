//! Detects pauses of this process, in one place, for everything that judges by time.
//!
//! A process that was stopped while its clocks ran on finds every timer due at once, every lease and every silence too
//! long, and old answers in its sockets. None of that is evidence against anybody else, since it was this process that
//! was absent; and what was begun before the pause proves nothing after it.

use std::time::{Duration, Instant};

/// Beats come this often; any judge by time beats as well, so none judges before the pause is known.
pub const BEAT: Duration = Duration::from_millis(250);
/// Without a beat for this long the process was paused. A share of a slice of a core holds single turns
/// up for a second at the most (docs/measurements.md).
pub const SHORTEST_PAUSE: Duration = Duration::from_millis(2000);
/// Workers need about this long to tell a controller that was absent what has happened.
const CONFIRMATION_TIME: Duration = Duration::from_secs(5);
/// Of the time a cancelled task has to be gone in: past this part nothing is waited for any more.
pub const PROOF_PART: f64 = 0.75;
/// Questions read so soon after a pause were mostly asked within it.
const BACKLOG: Duration = Duration::from_millis(300);
/// A question is given up by its user after this long.
const ASKED_FOR: Duration = Duration::from_secs(2);

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
pub struct Void {
    /// Whether this controller still holds the lease and leads has to be proven before it acts or answers.
    pub leadership: bool,
    /// Questions that lie in the sockets were given up by those who asked.
    pub questions: bool,
}

impl ProcessPause {
    /// How long it lasted.
    pub fn length(&self) -> Duration {
        self.ended.saturating_duration_since(self.began)
    }

    /// Proofs of freshness, silence and idleness of machines are void after any pause; this is what
    /// depends on its length.
    pub fn void(&self, election_lease: Duration) -> Void {
        // The lease was renewed up to a quarter of it before the pause began.
        Void { leadership: self.length() >= election_lease.mul_f64(0.75), questions: self.length() >= ASKED_FOR }
    }

    /// A moment before the pause, as one judges by how long ago it was for a process that was there.
    pub fn forgive(&self, at: Instant) -> Instant {
        if at >= self.ended { at } else { (at + self.length()).min(self.ended) }
    }

    /// Whether a machine that has not proven a cancelled task gone may be judged by that now. `at`: when
    /// the cancellation was heard of; `allowed`: the time in which the task must be gone.
    pub fn proof_due(&self, at: Instant, allowed: Duration, now: Instant) -> bool {
        at >= self.ended
            || now >= self.ended + CONFIRMATION_TIME
            || now.saturating_duration_since(at) >= allowed.mul_f64(PROOF_PART)
    }

    /// Whether a question read now was most likely asked within the pause.
    pub fn stale_question(&self, now: Instant) -> bool {
        self.length() >= ASKED_FOR && now.saturating_duration_since(self.ended) <= BACKLOG
    }
}

/// Notices pauses.
#[derive(Debug)]
pub struct PauseDetector {
    beaten: Instant,
    last: Option<ProcessPause>,
    pauses: u64,
}

impl PauseDetector {
    /// A process that runs at this moment.
    pub fn new(now: Instant) -> Self {
        Self { beaten: now, last: None, pauses: 0 }
    }

    /// To be called every `BEAT` and before anything is judged by time: the pause, if one has just ended.
    pub fn beat(&mut self, now: Instant) -> Option<ProcessPause> {
        let pause = ProcessPause { began: self.beaten, ended: now };
        self.beaten = self.beaten.max(now);
        if pause.length() < SHORTEST_PAUSE {
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
