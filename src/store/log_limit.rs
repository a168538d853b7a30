//! Limits log lines that input from outside can cause to one a minute.

use std::time::{Duration, Instant};

/// Between two lines about the same thing.
const LOG_EVERY: Duration = Duration::from_secs(60);

/// When something was logged last.
#[derive(Debug, Default)]
pub struct LogLimit {
    logged: Option<Instant>,
}

impl LogLimit {
    /// Whether it is to be logged now; counts as logged.
    pub fn due(&mut self, now: Instant) -> bool {
        let due = self.logged.is_none_or(|at| now.saturating_duration_since(at) >= LOG_EVERY);
        if due {
            self.logged = Some(now);
        }
        due
    }
}

#[cfg(test)]
mod tests;
