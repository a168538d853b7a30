//! Counts of what was seen of each class and team, in slices of the window.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

/// Names of classes, and of teams, kept apart in one part; users name classes as they like.
pub(super) const MOST_NAMES: usize = 256;

/// How often a promise was kept and missed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct PromiseCounts {
    /// Weight of the promises that were kept.
    pub kept: f64,
    /// Weight of the promises that were missed.
    pub missed: f64,
}

impl PromiseCounts {
    pub(super) fn note(&mut self, kept: bool, weight: f64) {
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

/// What was seen of one class or team.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tally {
    /// Jobs that were submitted.
    pub offered: u64,
    /// Jobs that were done.
    pub done: u64,
    /// Cancelled by their users.
    pub cancelled: u64,
    /// Starts whose task was lost before it was done.
    pub lost_starts: u64,
    /// Open, and past all that was promised of them.
    pub overdue: u64,
    /// By the number of the objective.
    pub(super) promises: BTreeMap<u16, PromiseCounts>,
}

impl Tally {
    pub(super) fn promise(&mut self, at: u16) -> &mut PromiseCounts {
        self.promises.entry(at).or_default()
    }

    pub(super) fn add(&mut self, other: &Tally) {
        self.offered += other.offered;
        self.done += other.done;
        self.cancelled += other.cancelled;
        self.lost_starts += other.lost_starts;
        self.overdue += other.overdue;
        for (at, kept) in &other.promises {
            self.promise(*at).add(*kept);
        }
    }
}

/// What a name stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Subject {
    /// A class of jobs.
    Class,
    /// A team.
    Team,
    /// The largest gangs of a class: told, and given their floor by `scheduling::large`.
    Largest,
}

#[derive(Debug, Clone, Default)]
pub(super) struct WindowSlice {
    pub(super) number: u64,
    pub(super) tallies: HashMap<(Subject, String), Tally>,
}

impl WindowSlice {
    /// One name too many is not kept apart.
    pub(super) fn tally(&mut self, whose: Subject, name: &str) -> Option<&mut Tally> {
        let key = (whose, name.to_owned());
        if !self.tallies.contains_key(&key) && self.tallies.len() >= MOST_NAMES * 2 {
            return None;
        }
        Some(self.tallies.entry(key).or_default())
    }
}
