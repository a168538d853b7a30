//! A token bucket for the rate limits of the state service, with reserves that calls of lower priority must leave.

use std::time::{Duration, Instant};

/// The priority of a call to the state service. The lower the priority, the larger the fraction of the bucket that the
/// call must leave for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPriority {
    /// Ends and acceptances of jobs, leases, and reads that other work waits for: they may use the whole bucket.
    Critical,
    /// Placements of tasks.
    Placement,
    /// Users' queries about jobs that are not open: a flood of them must leave the burst for other calls.
    Query,
    /// Clean-up and audit.
    Background,
    /// A query that has waited for `OVERDUE_QUERY_AGE`. It may bring the number of tokens below zero, because calls of
    /// higher priority would otherwise take each token as it is added.
    OverdueQuery,
}

/// Waiting time after which a query is overdue. Users wait for 2 s, and where leases, ends and placements exceed the
/// limit, queries would never be answered without this rule.
const OVERDUE_QUERY_AGE: Duration = Duration::from_millis(400);

impl RequestPriority {
    /// Returns the priority of a call that has waited for `waited`.
    #[must_use]
    pub fn after_waiting(self, waited: Duration) -> Self {
        if self == Self::Query && waited >= OVERDUE_QUERY_AGE { Self::OverdueQuery } else { self }
    }

    /// Returns the fraction of a full bucket that calls of this priority must leave, from 0 to 1.
    fn reserved_fraction(self) -> f64 {
        match self {
            Self::Critical | Self::OverdueQuery => 0.0,
            Self::Placement => 0.15,
            Self::Query => 0.3,
            Self::Background => 0.6,
        }
    }
}

/// A token bucket. Tokens are added at a constant rate up to the burst size. Their number can fall below zero after an
/// overdue query or a call larger than the burst.
#[derive(Debug)]
pub struct TokenBucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket that gains `per_second` tokens per second (at least 0.01) up to `burst` (at least 1).
    pub fn new(per_second: f64, burst: f64, now: Instant) -> Self {
        let burst = burst.max(1.0);
        Self { per_second: per_second.max(0.01), burst, tokens: burst, refilled_at: now }
    }

    /// Sets the rate and the burst size from `now` on. The tokens in the bucket stay, up to the new burst size.
    pub fn set_rate(&mut self, per_second: f64, burst: f64, now: Instant) {
        self.refill(now);
        self.per_second = per_second.max(0.01);
        self.burst = burst.max(1.0);
        self.tokens = self.tokens.min(self.burst);
    }

    /// Returns the rate at which tokens are added.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Returns the time in which `n` tokens are added.
    pub fn refill_time(&self, n: f64) -> Duration {
        Duration::from_secs_f64(n / self.per_second)
    }

    /// Returns the number of tokens that a call of this priority could take at `now`; negative if it would have to
    /// wait.
    pub fn available(&mut self, priority: RequestPriority, now: Instant) -> f64 {
        self.refill(now);
        self.tokens - priority.reserved_fraction() * self.burst
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.burst);
        self.refilled_at = now;
    }

    /// Takes `n` tokens, or returns how long to wait before the next attempt. A call larger than the burst is admitted
    /// once the bucket is full.
    pub fn take(&mut self, n: f64, priority: RequestPriority, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        let needed = match priority {
            RequestPriority::OverdueQuery => 0.0,
            _ => (n + priority.reserved_fraction() * self.burst).min(self.burst),
        };
        if self.tokens + 1e-9 >= needed {
            self.tokens -= n;
            return Ok(());
        }
        Err(Duration::from_secs_f64((needed - self.tokens) / self.per_second))
    }
}

#[cfg(test)]
mod tests;
