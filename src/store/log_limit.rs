//! A rate limit for log lines that external input can trigger: one per minute.

use std::time::{Duration, Instant};

/// Minimum time between two log lines that share a [`LogLimit`].
const LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Records when a log line was last written, and limits how often it is written.
#[derive(Debug, Default)]
pub struct LogLimit {
    last_logged: Option<Instant>,
}

impl LogLimit {
    /// Returns whether the line is due, and if so counts it as logged at `now`.
    pub fn due(&mut self, now: Instant) -> bool {
        let due = self.last_logged.is_none_or(|last| now.saturating_duration_since(last) >= LOG_INTERVAL);
        if due {
            self.last_logged = Some(now);
        }
        due
    }
}

#[cfg(test)]
mod tests;
