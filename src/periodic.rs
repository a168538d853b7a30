//! Steps of a loop that are due at intervals. The loop passes the time in, so that a schedule is a function of it.

use std::time::{Duration, Instant};

/// One periodic step: how often it is taken, and when it is due next.
#[derive(Debug, Clone, Copy)]
pub struct Periodic {
    every: Duration,
    due_at: Instant,
}

impl Periodic {
    /// A step that is due at once, and from then on at intervals of `every`.
    #[must_use]
    pub fn due_at_once(every: Duration, now: Instant) -> Self {
        Self { every, due_at: now }
    }

    /// A step that is first due after one interval.
    #[must_use]
    pub fn due_after_interval(every: Duration, now: Instant) -> Self {
        Self { every, due_at: now + every }
    }

    /// Whether the step is due.
    #[must_use]
    pub fn is_due(&self, now: Instant) -> bool {
        now >= self.due_at
    }

    /// The step is taken now: it is due again after one interval.
    pub fn restart(&mut self, now: Instant) {
        self.restart_after(now, Duration::ZERO);
    }

    /// The step is taken now: it is due again after one interval, or after `least` if that is longer.
    pub fn restart_after(&mut self, now: Instant, least: Duration) {
        self.due_at = now + self.every.max(least);
    }

    /// Whether the step is due; if so it counts as taken now.
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
