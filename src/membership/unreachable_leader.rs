//! Detects that workers cannot reach the leader: they come back to a controller that has redirected them to it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::scheduling::messages::MessageSequence;

/// A worker that comes back within this time after it was sent to the leader did not get there.
const BACK_WITHIN: Duration = Duration::from_secs(8);
/// Redirects of one worker closer together than this are one.
const APART: Duration = Duration::from_millis(500);
/// This many workers that cannot reach the leader are no accident.
const ENOUGH: usize = 3;
const TAKEOVER_REQUEST_GAP: Duration = Duration::from_secs(3);
/// Names kept at the most.
const MOST: usize = 10_000;

/// One machine.
#[derive(Debug)]
struct Redirected {
    /// When it was last redirected.
    at: Instant,
    /// Its newest heartbeat: a late copy of an older one is no coming back.
    newest: MessageSequence,
    /// It came back in vain.
    back: bool,
}

/// Workers that were redirected to the leader lately, and when a takeover request was last made for them. Pure.
#[derive(Debug, Default)]
pub struct UnreachableLeader {
    redirected: HashMap<String, Redirected>,
    requested: Option<Instant>,
}

impl UnreachableLeader {
    /// Machines remembered.
    pub fn remembered(&self) -> usize {
        self.redirected.len()
    }

    /// Notes a redirect of this heartbeat. Gives the number of workers that cannot reach
    /// the leader when it is time for a takeover request.
    pub fn note(&mut self, machine: &str, heartbeat: MessageSequence, now: Instant) -> Option<usize> {
        self.redirected.retain(|_, seen| now.saturating_duration_since(seen.at) < BACK_WITHIN);
        if let Some(seen) = self.redirected.get_mut(machine) {
            if heartbeat <= seen.newest {
                return None;
            }
            seen.back |= now.saturating_duration_since(seen.at) >= APART;
            (seen.at, seen.newest) = (now, heartbeat);
        } else if self.redirected.len() < MOST {
            self.redirected.insert(machine.to_owned(), Redirected { at: now, newest: heartbeat, back: false });
        }
        let n = self.redirected.values().filter(|seen| seen.back).count();
        let rested = self.requested.is_none_or(|at| now.saturating_duration_since(at) >= TAKEOVER_REQUEST_GAP);
        if n < ENOUGH || !rested {
            return None;
        }
        self.requested = Some(now);
        Some(n)
    }
}

#[cfg(test)]
mod tests;
