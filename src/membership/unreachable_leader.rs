//! Detection of a leader that workers can't reach: they come back to a controller that has redirected them to it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::scheduling::messages::MessageSequence;

/// A worker that comes back within this time after its redirect did not reach the leader.
const RETURN_LIMIT: Duration = Duration::from_secs(8);
/// Redirects of one worker within less than this time count as one.
const MIN_REDIRECT_INTERVAL: Duration = Duration::from_millis(500);
/// Returned workers from which on the leader counts as unreachable; fewer may be a coincidence.
const MIN_RETURNED_WORKERS: usize = 3;
/// Minimum time between two takeover requests.
const TAKEOVER_REQUEST_INTERVAL: Duration = Duration::from_secs(3);
/// Limit on the number of machines tracked.
const MAX_MACHINES: usize = 10_000;

/// A machine that was redirected to the leader.
#[derive(Debug)]
struct Redirected {
    /// When the machine was last redirected.
    at: Instant,
    /// Newest heartbeat of the machine: a late copy of an older one doesn't count as a return.
    newest: MessageSequence,
    /// Whether the machine came back without having reached the leader.
    returned: bool,
}

/// Workers that were recently redirected to the leader, and the time of the last takeover request for them. The
/// functions are pure.
#[derive(Debug, Default)]
pub struct UnreachableLeader {
    redirected: HashMap<String, Redirected>,
    /// When a takeover request was last due.
    requested_at: Option<Instant>,
}

impl UnreachableLeader {
    /// Returns the number of machines tracked.
    pub fn machine_count(&self) -> usize {
        self.redirected.len()
    }

    /// Records the redirect of a heartbeat. Returns the number of workers that can't reach the leader if a takeover
    /// request is due.
    pub fn record_redirect(&mut self, machine: &str, heartbeat: MessageSequence, now: Instant) -> Option<usize> {
        self.redirected.retain(|_, entry| now.saturating_duration_since(entry.at) < RETURN_LIMIT);
        if let Some(entry) = self.redirected.get_mut(machine) {
            if heartbeat <= entry.newest {
                return None;
            }
            entry.returned |= now.saturating_duration_since(entry.at) >= MIN_REDIRECT_INTERVAL;
            (entry.at, entry.newest) = (now, heartbeat);
        } else if self.redirected.len() < MAX_MACHINES {
            self.redirected.insert(machine.to_owned(), Redirected { at: now, newest: heartbeat, returned: false });
        }
        let returned_workers = self.redirected.values().filter(|entry| entry.returned).count();
        let interval_passed =
            self.requested_at.is_none_or(|at| now.saturating_duration_since(at) >= TAKEOVER_REQUEST_INTERVAL);
        if returned_workers < MIN_RETURNED_WORKERS || !interval_passed {
            return None;
        }
        self.requested_at = Some(now);
        Some(returned_workers)
    }
}

#[cfg(test)]
mod tests;
