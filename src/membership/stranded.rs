//! Workers that cannot reach the owner: seen by the controllers that redirect them in vain.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// A worker that comes back within this time after it was sent to the owner did not get there.
const BACK_WITHIN: Duration = Duration::from_secs(8);
/// Redirects of one worker closer together than this are one.
const APART: Duration = Duration::from_millis(500);
/// This many stranded workers are no accident.
const ENOUGH: usize = 3;
const PLEA_GAP: Duration = Duration::from_secs(3);
/// Names kept at the most.
const MOST: usize = 10_000;

#[derive(Debug, Default)]
pub struct Stranded {
    /// By machine: when it was last redirected, and when it first came back in vain.
    seen: HashMap<String, (Instant, bool)>,
    pleaded: Option<Instant>,
}

impl Stranded {
    /// Machines remembered.
    pub fn remembered(&self) -> usize {
        self.seen.len()
    }

    /// Notes a redirect. Gives the number of stranded workers when it is time for a plea.
    pub fn note(&mut self, machine: &str, now: Instant) -> Option<usize> {
        self.seen.retain(|_, (at, _)| now.saturating_duration_since(*at) < BACK_WITHIN);
        if self.seen.len() >= MOST {
            return None;
        }
        let entry = self.seen.entry(machine.to_owned()).or_insert((now, false));
        entry.1 |= now.saturating_duration_since(entry.0) >= APART;
        entry.0 = now;
        let n = self.seen.values().filter(|(_, back)| *back).count();
        let rested = self.pleaded.is_none_or(|at| now.saturating_duration_since(at) >= PLEA_GAP);
        if n < ENOUGH || !rested {
            return None;
        }
        self.pleaded = Some(now);
        Some(n)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_workers_that_come_back_count() {
        let t = Instant::now();
        let s = Duration::from_secs;
        let mut stranded = Stranded::default();
        for machine in ["a", "b", "c", "d"] {
            assert_eq!(stranded.note(machine, t), None, "the first redirect is ordinary");
        }
        assert_eq!(stranded.note("a", t + s(2)), None);
        assert_eq!(stranded.note("b", t + s(2)), None);
        assert_eq!(stranded.note("c", t + s(3)), Some(3));
        assert_eq!(stranded.note("d", t + s(4)), None, "pleas keep their distance");
        assert_eq!(stranded.note("a", t + s(60)), None, "long ago does not count");
    }
}
