//! Counts of requests and messages of this controller, logged once a second at `debug`: after an incident operators
//! see whether clients, workers or controllers came back all at once.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tracing::debug;

const EVERY: Duration = Duration::from_secs(1);

macro_rules! call_kinds {
    ($($(#[doc = $doc:literal])+ $variant:ident = $name:literal,)+) => {
        /// Kinds of calls, in the order in which they are logged.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum CallKind { $($(#[doc = $doc])+ $variant,)+ }

        const NAMES: &[&str] = &[$($name,)+];
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
    /// Commands sent straight to workers.
    Command = "commands",
    /// Workers' reports that were taken in.
    Heartbeat = "reports",
    /// Heartbeats sent on to another controller, or away.
    HeartbeatElsewhere = "reports_elsewhere",
    /// Users' requests that got what they asked for.
    Answered = "answered",
    /// Users' requests told to come again.
    Later = "later",
}

/// Counts since they were last told.
#[derive(Debug)]
pub struct Traffic([AtomicU64; NAMES.len()]);

impl Default for Traffic {
    fn default() -> Self {
        Self(std::array::from_fn(|_| AtomicU64::new(0)))
    }
}

impl Traffic {
    /// Counts one.
    pub fn count(&self, kind: CallKind) {
        self.add(kind, 1);
    }

    /// Counts several.
    pub fn add(&self, kind: CallKind, n: u64) {
        self.0[kind as usize].fetch_add(n, Ordering::Relaxed);
    }

    /// What has passed since the last call, by name; what has not is left out.
    pub fn take(&self) -> Vec<(&'static str, u64)> {
        let counts = self.0.iter().map(|count| count.swap(0, Ordering::Relaxed));
        NAMES.iter().copied().zip(counts).filter(|(_, n)| *n > 0).collect()
    }

    /// Tells for ever, if anybody listens.
    pub async fn run(&self) {
        while tracing::enabled!(tracing::Level::DEBUG) {
            tokio::time::sleep(EVERY).await;
            let passed: Vec<String> = self.take().iter().map(|(what, n)| format!("{what}={n}")).collect();
            if !passed.is_empty() {
                debug!(traffic = passed.join(" "), "traffic reported");
            }
        }
    }
}

#[cfg(test)]
mod tests;
