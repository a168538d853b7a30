//! Steps of a loop that are due at intervals. The loop passes the current time in, so that a schedule depends on
//! nothing else.

use std::time::{Duration, Instant};

/// Schedule of one periodic step: its interval and when it is due next.
#[derive(Debug, Clone, Copy)]
pub struct Periodic {
    interval: Duration,
    due_at: Instant,
}

impl Periodic {
    /// Creates a step that is due at once, and from then on at intervals of `interval`.
    #[must_use]
    pub fn due_at_once(interval: Duration, now: Instant) -> Self {
        Self { interval, due_at: now }
    }

    /// Creates a step that is first due after one interval.
    #[must_use]
    pub fn due_after_interval(interval: Duration, now: Instant) -> Self {
        Self { interval, due_at: now + interval }
    }

    /// Whether the step is due.
    #[must_use]
    pub fn is_due(&self, now: Instant) -> bool {
        now >= self.due_at
    }

    /// Records that the step is taken now: it is due again after one interval.
    pub fn restart(&mut self, now: Instant) {
        self.restart_after(now, Duration::ZERO);
    }

    /// Records that the step is taken now: it is due again after one interval, or after `min_pause` if that is longer.
    pub fn restart_after(&mut self, now: Instant, min_pause: Duration) {
        self.due_at = now + self.interval.max(min_pause);
    }

    /// Returns whether the step is due; if so, records that it is taken now.
    #[must_use]
    pub fn take_due(&mut self, now: Instant) -> bool {
        let due = self.is_due(now);
        if due {
            self.restart(now);
        }
        due
    }
}

#[cfg(test)]
mod tests;
