//! Limits log lines that input from outside can cause to one per minute.

use std::time::{Duration, Instant};

/// Time between two log lines about the same thing.
const LOG_INTERVAL: Duration = Duration::from_secs(60);

/// When a line was last logged.
#[derive(Debug, Default)]
pub struct LogLimit {
    logged: Option<Instant>,
}

impl LogLimit {
    /// Whether the line is to be logged now. If so, it counts as logged.
    pub fn due(&mut self, now: Instant) -> bool {
        let due = self.logged.is_none_or(|at| now.saturating_duration_since(at) >= LOG_INTERVAL);
        if due {
            self.logged = Some(now);
        }
        due
    }
}

#[cfg(test)]
mod tests;
