//! A token bucket for the limits of the state service, with reserves that calls of lower priority must leave.

use std::time::{Duration, Instant};

/// The priority of a call to the state service. The lower the priority, the larger the part of the bucket that the call
/// must leave to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPriority {
    /// Ends and acceptances of jobs, leases, reads that others wait for: may use the whole bucket.
    Critical,
    /// Placements of tasks.
    Placement,
    /// Users' queries about jobs that are not open: a flood of them must leave the burst to the others.
    Query,
    /// Clean-up and audit.
    Background,
    /// A query that has waited for `QUERY_PATIENCE`: it may put the bucket into debt, because calls of higher
    /// priority would otherwise take each token as it comes.
    OverdueQuery,
}

/// A query that has waited this long is overdue. Users wait for 2 s, and where leases, ends and placements ask for more
/// than the limit, queries without this rule would never be answered.
const QUERY_PATIENCE: Duration = Duration::from_millis(400);

impl RequestPriority {
    /// The priority of a call that has waited for so long.
    #[must_use]
    pub fn after(self, waited: Duration) -> Self {
        if self == Self::Query && waited >= QUERY_PATIENCE { Self::OverdueQuery } else { self }
    }

    /// The part of a full bucket that calls of this priority must leave, from 0 to 1.
    fn reserve(self) -> f64 {
        match self {
            Self::Critical | Self::OverdueQuery => 0.0,
            Self::Placement => 0.15,
            Self::Query => 0.3,
            Self::Background => 0.6,
        }
    }
}

/// A token bucket. Tokens are added at a constant rate up to the burst size. Their number falls below zero after an
/// overdue query or a call larger than the burst.
#[derive(Debug)]
pub struct TokenBucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// A full bucket that gains `per_second` tokens (at least 0.01) up to `burst` (at least 1).
    pub fn new(per_second: f64, burst: f64, now: Instant) -> Self {
        let burst = burst.max(1.0);
        Self { per_second: per_second.max(0.01), burst, tokens: burst, refilled_at: now }
    }

    /// Changes rate and burst size from now on. The tokens in the bucket stay, up to the new burst size.
    pub fn change(&mut self, per_second: f64, burst: f64, now: Instant) {
        self.refill(now);
        self.per_second = per_second.max(0.01);
        self.burst = burst.max(1.0);
        self.tokens = self.tokens.min(self.burst);
    }

    /// The rate at which tokens are added.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }

    /// The time in which `n` tokens are added.
    pub fn refill_time(&self, n: f64) -> Duration {
        Duration::from_secs_f64(n / self.per_second)
    }

    /// The number of tokens that a call of this priority could take at once; negative if it would have to wait.
    pub fn available(&mut self, priority: RequestPriority, now: Instant) -> f64 {
        self.refill(now);
        self.tokens - priority.reserve() * self.burst
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.per_second).min(self.burst);
        self.refilled_at = now;
    }

    /// Takes `n` tokens, or says how long to wait before the next try. More than a whole burst is taken once the bucket
    /// is full.
    pub fn take(&mut self, n: f64, priority: RequestPriority, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        let needed = match priority {
            RequestPriority::OverdueQuery => 0.0,
            _ => (n + priority.reserve() * self.burst).min(self.burst),
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
