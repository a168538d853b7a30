//! The served floor: the classes and teams that are prioritized because less than a configured share of what they were
//! promised, or are entitled to by their offered work, was served; and the credit by which late work still receives a
//! share of the cores.
//!
//! When no class or team is below the floor and no job is late, jobs are ordered by return alone, as in the LibraSLA
//! paper.

use std::collections::HashSet;

use super::Subject;
use crate::jobs::JobSpec;

/// Minimum of the limit on credit for late work; a late job that needs more cores raises the limit to its need.
const MIN_CREDIT_LIMIT_CORES: f64 = 64.0;

/// Set of classes and teams.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClassTeamSet {
    classes: HashSet<String>,
    teams: HashSet<String>,
}

impl ClassTeamSet {
    /// Creates a set of the classes and teams among these names; the largest gangs of a class are left out.
    pub fn from_subjects<'a>(names: impl Iterator<Item = (Subject, &'a str)>) -> Self {
        let mut set = Self::default();
        for (subject, name) in names {
            match subject {
                Subject::Class => set.classes.insert(name.to_owned()),
                Subject::Team => set.teams.insert(name.to_owned()),
                Subject::Largest => false,
            };
        }
        set
    }

    /// Adds all classes and teams of another set.
    pub fn extend(&mut self, other: Self) {
        self.classes.extend(other.classes);
        self.teams.extend(other.teams);
    }

    /// Returns whether the job's class or team is in the set.
    pub fn contains_job(&self, spec: &JobSpec) -> bool {
        self.classes.contains(&spec.class) || self.teams.contains(&spec.team)
    }
}

/// Classes and teams whose recent service is below the floor.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Underserved {
    /// All classes and teams below the floor.
    pub below_floor: ClassTeamSet,
    /// Those of them whose jobs are placed first.
    pub prioritized: ClassTeamSet,
}

/// Rank of a waiting job in the queue, compared before its return. The lowest rank is placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// The job's class or team is below the floor and prioritized, and at least one promise can still be kept. Jobs of
    /// this rank are ordered by return: ordered by their earliest promise, each would be started just too late
    /// (docs/fairness.md).
    BelowFloor,
    /// Ordered by return alone, as in the LibraSLA paper.
    ByReturn,
    /// Work of urgency `idle`, ordered by return: it would be preempted for other work, so it isn't started before it.
    Idle,
}

impl Rank {
    /// Determines a job's rank. A job too late for all of its promises isn't placed before jobs that can be in time.
    pub fn of(prioritized: bool, too_late: bool, idle: bool) -> Self {
        match (idle, prioritized && !too_late) {
            (true, _) => Self::Idle,
            (false, true) => Self::BelowFloor,
            (false, false) => Self::ByReturn,
        }
    }
}

/// Credit of late work, in cores. Late work earns a share of the cores that other work is given and is placed first as
/// far as its credit reaches, so that it waits behind work that can be in time, but does not starve.
#[derive(Debug, Clone, Default)]
pub struct CoreCredit {
    cores: f64,
}

impl CoreCredit {
    /// Cores that late work may take before other work.
    pub fn cores(&self) -> f64 {
        self.cores
    }

    /// Records a placement of `cores`: late work spends them, other work earns `earned_share` of them.
    pub fn record_placement(&mut self, cores: f64, late: bool, earned_share: f64) {
        if late {
            self.cores = (self.cores - cores).max(0.0);
        } else {
            self.cores += cores * earned_share;
        }
    }

    /// Limits the credit by the cores that the oldest late job needs; without a late job the credit is dropped.
    pub fn cap(&mut self, needed_cores: Option<f64>) {
        self.cores = needed_cores.map_or(0.0, |needed| self.cores.min(needed.max(MIN_CREDIT_LIMIT_CORES)));
    }
}
