//! A fencing token bucket for the limits of the state service, of which less urgent calls must leave a reserve.

use std::time::{Duration, Instant};

/// What a call is for, in falling order of right.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgent {
    /// Ends, acceptances, leases.
    First,
    /// Placements.
    Second,
    /// Users' questions about what is not open: a flood of them leaves the rest its burst.
    Asked,
    /// Clean-up.
    Last,
    /// A question that has waited for long: into debt, since whatever comes is taken by others first.
    Overdue,
}

/// A question has users waiting for 2 s. Past this it is overdue: where leases, ends and placements want
/// more than there is, questions would else be answered never, and not merely late.
const ASKED_PATIENCE: Duration = Duration::from_millis(400);

impl Urgent {
    /// The right of a call that has waited for so long.
    pub fn after(self, waited: Duration) -> Self {
        if self == Self::Asked && waited >= ASKED_PATIENCE { Self::Overdue } else { self }
    }
}

/// A fencing token bucket. What it holds grows with time up to a burst and may fall below zero for overdue calls and
/// for calls larger than the burst.
#[derive(Debug)]
pub struct Budget {
    per_second: f64,
    burst: f64,
    held: f64,
    at: Instant,
}

impl Budget {
    /// A full bucket that grows by `per_second` (at least 0.01) up to `burst` (at least 1).
    pub fn new(per_second: f64, burst: f64, now: Instant) -> Self {
        let burst = burst.max(1.0);
        Self { per_second: per_second.max(0.01), burst, held: burst, at: now }
    }

    /// Grows at another rate from now on; what it holds stays, up to the new burst.
    pub fn change(&mut self, per_second: f64, burst: f64, now: Instant) {
        self.refill(now);
        let burst = burst.max(1.0);
        (self.per_second, self.burst, self.held) = (per_second.max(0.01), burst, self.held.min(burst));
    }

    /// The rate at which it grows.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }

    /// The time in which it grows by `n`.
    pub fn time_for(&self, n: f64) -> Duration {
        Duration::from_secs_f64(n / self.per_second)
    }

    /// How much a call of this right could take at once.
    pub fn ready(&mut self, urgent: Urgent, now: Instant) -> f64 {
        self.refill(now);
        self.held - Self::reserve(urgent) * self.burst
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.held = (self.held + passed * self.per_second).min(self.burst);
        self.at = now;
    }

    /// The part of a burst that calls of this right must leave.
    fn reserve(urgent: Urgent) -> f64 {
        match urgent {
            Urgent::First | Urgent::Overdue => 0.0,
            Urgent::Second => 0.15,
            Urgent::Asked => 0.3,
            Urgent::Last => 0.6,
        }
    }

    /// Takes `n` or says how long to wait. More than a whole burst is taken once it is full.
    pub fn take(&mut self, n: f64, urgent: Urgent, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        let needed = match urgent {
            Urgent::Overdue => 0.0,
            _ => (n + Self::reserve(urgent) * self.burst).min(self.burst),
        };
        if self.held + 1e-9 >= needed {
            self.held -= n;
            return Ok(());
        }
        Err(Duration::from_secs_f64((needed - self.held) / self.per_second))
    }
}

#[cfg(test)]
mod tests;
