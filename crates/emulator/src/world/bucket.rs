//! A limit per second that allows bursts.

use std::time::Duration;

/// Holds up to `burst`, and grows by `per_second`.
#[derive(Debug, Clone)]
pub struct Bucket {
    per_second: f64,
    burst: f64,
    held: f64,
    at: Duration,
}

impl Bucket {
    /// Full at the beginning. A limit of infinity refuses nothing.
    pub fn new(per_second: f64, burst_s: f64) -> Self {
        let burst = per_second * burst_s;
        Self { per_second, burst, held: burst, at: Duration::ZERO }
    }

    /// Takes `n` if it holds as much at this time; otherwise nothing.
    pub fn take(&mut self, n: f64, now: Duration) -> bool {
        if self.per_second.is_infinite() {
            return true;
        }
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.held = (self.held + passed * self.per_second).min(self.burst);
        self.at = self.at.max(now);
        let enough = self.held + 1e-9 >= n;
        if enough {
            self.held -= n;
        }
        enough
    }
}
