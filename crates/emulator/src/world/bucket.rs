//! A rate limiter that allows bursts.

use std::time::Duration;

/// A token bucket that holds up to `burst` tokens and gains `per_second` tokens per second.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket that holds `burst_s` seconds' worth of tokens. An infinite rate refuses nothing.
    pub fn new(per_second: f64, burst_s: f64) -> Self {
        let burst = per_second * burst_s;
        Self { per_second, burst, tokens: burst, refilled_at: Duration::ZERO }
    }

    /// Takes `n` tokens if the bucket holds that many at `now`; otherwise takes none and returns false.
    pub fn try_take(&mut self, n: f64, now: Duration) -> bool {
        if self.per_second.is_infinite() {
            return true;
        }
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
        let enough = self.tokens + 1e-9 >= n;
        if enough {
            self.tokens -= n;
        }
        enough
    }
}
