//! Counts of submissions, ends and promises per class and team, in slices of the sliding window.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

/// Allowance of a slice for tallies of classes, and the same again for teams; bounded because users choose class names
/// freely.
pub(super) const MAX_NAMES_PER_SLICE: usize = 256;

/// Weights of the kept and the missed promises of one objective.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct PromiseCounts {
    /// Weight of the promises that were kept.
    pub kept: f64,
    /// Weight of the promises that were missed.
    pub missed: f64,
}

impl PromiseCounts {
    /// Adds one promise of this weight.
    pub(super) fn record(&mut self, kept: bool, weight: f64) {
        if kept {
            self.kept += weight;
        } else {
            self.missed += weight;
        }
    }

    pub(super) fn add(&mut self, other: PromiseCounts) {
        self.kept += other.kept;
        self.missed += other.missed;
    }
}

/// Counts of one class or team.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tally {
    /// Jobs submitted.
    pub offered: u64,
    /// Jobs completed.
    pub done: u64,
    /// Jobs cancelled by their users.
    pub cancelled: u64,
    /// Starts whose task was lost before it was done.
    pub lost_starts: u64,
    /// Open jobs that have missed all their promises.
    pub overdue: u64,
    /// Promise counts by the number of the objective.
    pub(super) promises: BTreeMap<u16, PromiseCounts>,
}

impl Tally {
    /// Returns the counts of the objective with the number `at`, created if missing.
    pub(super) fn promise_counts_mut(&mut self, at: u16) -> &mut PromiseCounts {
        self.promises.entry(at).or_default()
    }

    pub(super) fn add(&mut self, other: &Tally) {
        self.offered += other.offered;
        self.done += other.done;
        self.cancelled += other.cancelled;
        self.lost_starts += other.lost_starts;
        self.overdue += other.overdue;
        for (at, counts) in &other.promises {
            self.promise_counts_mut(*at).add(*counts);
        }
    }
}

/// Kind of subject that service is accounted for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Subject {
    /// A class of jobs.
    Class,
    /// A team.
    Team,
    /// The largest gangs of a class. They are only reported here; `scheduling::large` guarantees their starts.
    Largest,
}

/// Tallies of one slice of the sliding window.
#[derive(Debug, Clone, Default)]
pub(super) struct WindowSlice {
    /// Number of the slice, counted from the origin of the accounting.
    pub(super) number: u64,
    pub(super) tallies: HashMap<(Subject, String), Tally>,
}

impl WindowSlice {
    /// Returns the tally of the subject, created if missing; none if the slice already holds the most tallies allowed.
    pub(super) fn tally_mut(&mut self, subject: Subject, name: &str) -> Option<&mut Tally> {
        let key = (subject, name.to_owned());
        if !self.tallies.contains_key(&key) && self.tallies.len() >= MAX_NAMES_PER_SLICE * 2 {
            return None;
        }
        Some(self.tallies.entry(key).or_default())
    }
}
