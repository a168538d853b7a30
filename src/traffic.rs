//! Counts of requests and messages of this controller, logged once a second at `debug`. After an incident they show
//! operators whether clients, workers or controllers reconnected all at once.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tracing::debug;

/// Interval between two log lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

macro_rules! call_kinds {
    ($($(#[doc = $doc:literal])+ $variant:ident = $name:literal,)+) => {
        /// Kinds of calls, in the order in which they are logged.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum CallKind { $($(#[doc = $doc])+ $variant,)+ }

        /// Names of the kinds in the log.
        const CALL_KIND_NAMES: &[&str] = &[$($name,)+];
    };
}

call_kinds! {
    /// Requests sent to the state service.
    StoreRequest = "store_requests",
    /// Puts and deletes sent to the state service.
    StoreChange = "store_changes",
    /// Requests that the state service refused (429, 503) or did not answer.
    StoreRefused = "store_refused",
    /// Requests sent to the cloud.
    CloudCall = "cloud_calls",
    /// Commands sent directly to workers.
    Command = "commands",
    /// Heartbeats of workers that were accepted.
    Heartbeat = "reports",
    /// Heartbeats redirected to another controller, or rejected.
    HeartbeatElsewhere = "reports_elsewhere",
    /// Users' requests that were fulfilled.
    Answered = "answered",
    /// Users' requests that were told to retry later.
    Later = "later",
}

/// Counts of calls by kind since they were last logged.
#[derive(Debug)]
pub struct Traffic([AtomicU64; CALL_KIND_NAMES.len()]);

impl Default for Traffic {
    fn default() -> Self {
        Self(std::array::from_fn(|_| AtomicU64::new(0)))
    }
}

impl Traffic {
    /// Counts one call.
    pub fn count(&self, kind: CallKind) {
        self.add(kind, 1);
    }

    /// Counts `n` calls.
    pub fn add(&self, kind: CallKind, n: u64) {
        self.0[kind as usize].fetch_add(n, Ordering::Relaxed);
    }

    /// Returns the counts by name and resets them; kinds without calls are left out.
    pub fn take_counts(&self) -> Vec<(&'static str, u64)> {
        let counts = self.0.iter().map(|count| count.swap(0, Ordering::Relaxed));
        CALL_KIND_NAMES.iter().copied().zip(counts).filter(|(_, n)| *n > 0).collect()
    }

    /// Logs the counts at intervals for as long as the level `debug` is enabled.
    pub async fn run(&self) {
        while tracing::enabled!(tracing::Level::DEBUG) {
            tokio::time::sleep(REPORT_INTERVAL).await;
            let counts: Vec<String> =
                self.take_counts().iter().map(|(name, count)| format!("{name}={count}")).collect();
            if !counts.is_empty() {
                debug!(traffic = counts.join(" "), "traffic reported");
            }
        }
    }
}

#[cfg(test)]
mod tests;
