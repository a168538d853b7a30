//! This process's own standstill: noticed in one place, and handed to all that judge by time.
//!
//! A process that was stopped while its clocks ran on finds every timer due at once, every lease and
//! silence long, and answers of before in its sockets. None of that is evidence against anybody: it
//! was this process that was absent. What was begun before the gap proves nothing after it.

use std::time::{Duration, Instant};

/// Beats come this often; any judge by time beats as well, so none judges before the gap is known.
pub const BEAT: Duration = Duration::from_millis(250);
/// Without a beat for this long the process stood still. A share of a slice of a core holds single turns
/// up for a second at the most (docs/measurements.md).
pub const STANDSTILL: Duration = Duration::from_millis(2000);
/// Workers need about this long to tell a controller that was absent what has happened.
const TOLD_WITHIN: Duration = Duration::from_secs(5);
/// Of the time a withdrawn task has to be gone in: past this part nothing is waited for any more.
pub const PROOF_PART: f64 = 0.75;
/// Questions read so soon after a gap were mostly asked within it.
const BACKLOG: Duration = Duration::from_millis(300);
/// A question is given up by its user after this long.
const ASKED_FOR: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gap {
    pub began: Instant,
    pub ended: Instant,
}

/// What of all that was judged before a gap is void after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Void {
    /// Whether this controller still leads and owns has to be proven before it acts or answers.
    pub ownership: bool,
    /// Questions that lie in the sockets were given up by those who asked.
    pub questions: bool,
}

impl Gap {
    pub fn length(&self) -> Duration {
        self.ended.saturating_duration_since(self.began)
    }

    /// Proofs of freshness, silence and idleness of machines are void after any gap; this is what
    /// depends on its length.
    pub fn void(&self, leader_lease: Duration) -> Void {
        // The lease was renewed up to a quarter of it before the gap began.
        Void { ownership: self.length() >= leader_lease.mul_f64(0.75), questions: self.length() >= ASKED_FOR }
    }

    /// A moment before the gap, as one judges by how long ago it was for a process that was there.
    pub fn forgive(&self, at: Instant) -> Instant {
        if at >= self.ended { at } else { (at + self.length()).min(self.ended) }
    }

    /// Whether a machine that has not proven a withdrawn task gone may be judged by that now. `at`: when
    /// the withdrawal was heard of; `allowed`: the time in which the task must be gone.
    pub fn proof_due(&self, at: Instant, allowed: Duration, now: Instant) -> bool {
        at >= self.ended
            || now >= self.ended + TOLD_WITHIN
            || now.saturating_duration_since(at) >= allowed.mul_f64(PROOF_PART)
    }

    /// Whether a question read now was most likely asked within the gap.
    pub fn stale_question(&self, now: Instant) -> bool {
        self.length() >= ASKED_FOR && now.saturating_duration_since(self.ended) <= BACKLOG
    }
}

/// Notices gaps.
#[derive(Debug)]
pub struct Pulse {
    beaten: Instant,
    last: Option<Gap>,
    gaps: u64,
}

impl Pulse {
    pub fn new(now: Instant) -> Self {
        Self { beaten: now, last: None, gaps: 0 }
    }

    /// To be called every `BEAT` and before anything is judged by time: the gap, if one has just ended.
    pub fn beat(&mut self, now: Instant) -> Option<Gap> {
        let gap = Gap { began: self.beaten, ended: now };
        self.beaten = self.beaten.max(now);
        if gap.length() < STANDSTILL {
            return None;
        }
        self.gaps += 1;
        self.last = Some(gap);
        Some(gap)
    }

    pub fn last(&self) -> Option<Gap> {
        self.last
    }

    /// How often the process stood still: what spans a change of this proves nothing.
    pub fn gaps(&self) -> u64 {
        self.gaps
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn s(seconds: f64) -> Duration {
        Duration::from_secs_f64(seconds)
    }

    #[test]
    fn what_is_void_by_cases() {
        let lease = s(3.0);
        for (name, length, gap, ownership, questions) in [
            ("a busy turn", 0.9, false, false, false),
            ("just noticed", 2.1, true, false, true),
            ("most of the lease", 2.4, true, true, true),
            ("past the lease", 5.0, true, true, true),
            ("a minute", 60.0, true, true, true),
        ] {
            let start = Instant::now();
            let mut pulse = Pulse::new(start);
            assert_eq!(pulse.beat(start + BEAT), None);
            let got = pulse.beat(start + BEAT + s(length));
            assert_eq!((got.is_some(), pulse.gaps()), (gap, u64::from(gap)), "{name}");
            assert_eq!(pulse.beat(start + BEAT + s(length) + BEAT), None, "{name}: told once");
            if let Some(got) = got {
                assert_eq!(got.void(lease), Void { ownership, questions }, "{name}");
            }
        }
    }

    #[test]
    fn absence_is_no_evidence_by_cases() {
        let start = Instant::now();
        let gap = Gap { began: start + s(100.0), ended: start + s(140.0) };
        for (name, at, as_of) in [
            ("heard just before", 99.0, 139.0),
            ("silent for 10 s before", 90.0, 130.0),
            ("heard since", 141.0, 141.0),
            ("heard within, as the clock has it", 120.0, 140.0),
        ] {
            assert_eq!(gap.forgive(start + s(at)), start + s(as_of), "{name}");
        }
        // A cancellation has 49 s; without a gap its proof is asked for after 22.
        for (name, at, now, due) in [
            ("withdrawn before, just back", 95.0, 141.0, true),
            ("withdrawn shortly before, workers have not been heard", 120.0, 141.0, false),
            ("the same, 5 s later", 120.0, 145.0, true),
            ("the same, with hardly any time left", 103.0, 141.0, true),
            ("withdrawn since", 141.0, 142.0, true),
        ] {
            assert_eq!(gap.proof_due(start + s(at), s(49.0), start + s(now)), due, "{name}");
        }
        assert!(gap.stale_question(start + s(140.1)) && !gap.stale_question(start + s(140.5)));
    }
}
