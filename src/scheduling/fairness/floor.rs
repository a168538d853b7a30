//! The floor: which classes and teams go first because they were served less than a stated part of what they were
//! promised or have offered, and the credit by which late work gets a part of the cores all the same.
//!
//! If all are served enough, nobody is below the floor and nothing is late, and the order is that of the paper: by
//! return.

use std::collections::HashSet;

use super::Subject;
use crate::jobs::JobSpec;

/// Credit for late work is kept up to this many cores, or to what the next of it needs.
const LEAST_CAP: f64 = 64.0;

/// Some classes and teams.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClassTeamSet {
    classes: HashSet<String>,
    teams: HashSet<String>,
}

impl ClassTeamSet {
    /// The classes and teams among these names.
    pub fn from_subjects<'a>(names: impl Iterator<Item = (Subject, &'a str)>) -> Self {
        let mut of = Self::default();
        for (whose, name) in names {
            match whose {
                Subject::Class => of.classes.insert(name.to_owned()),
                Subject::Team => of.teams.insert(name.to_owned()),
                Subject::Largest => false,
            };
        }
        of
    }

    /// All that either names.
    pub fn extend(&mut self, other: Self) {
        self.classes.extend(other.classes);
        self.teams.extend(other.teams);
    }

    /// Whether the job's class or team is among them.
    pub fn contains_job(&self, spec: &JobSpec) -> bool {
        self.classes.contains(&spec.class) || self.teams.contains(&spec.team)
    }
}

/// Of whom less than the floor was served lately, and who of them goes first.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Underserved {
    /// Those below the floor.
    pub below_floor: ClassTeamSet,
    /// Those of them that go first.
    pub prioritized: ClassTeamSet,
}

/// Where a waiting job stands, before its return is asked. The lesser one goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// Below the floor, and something that was promised can still be kept. Within it by return: by
    /// the earliest promise, each would be started just too late (docs/fairness.md).
    BelowFloor,
    /// By return alone, as the paper has it.
    ByReturn,
    /// Idle work, by return: what would be stopped for others is not started before them.
    Idle,
}

impl Rank {
    /// What is too late for all that was promised is not put before what can be in time.
    pub fn of(below: bool, too_late: bool, idle: bool) -> Self {
        match (idle, below && !too_late) {
            (true, _) => Self::Idle,
            (false, true) => Self::BelowFloor,
            (false, false) => Self::ByReturn,
        }
    }
}

/// Late work earns a part of what other work is given, in cores, and goes first as far as that
/// reaches: behind what can be in time, but not for ever.
#[derive(Debug, Clone, Default)]
pub struct CoreCredit {
    credit: f64,
}

impl CoreCredit {
    /// Cores that late work may take before others.
    pub fn cores(&self) -> f64 {
        self.credit
    }

    /// What placements of this many cores change: late ones spend, others earn.
    pub fn record_placement(&mut self, cores: f64, late: bool, part: f64) {
        if late {
            self.credit = (self.credit - cores).max(0.0);
        } else {
            self.credit += cores * part;
        }
    }

    /// `needs`: the cores of the oldest late job; none where nothing is late, which earns nothing.
    pub fn cap(&mut self, needs: Option<f64>) {
        self.credit = needs.map_or(0.0, |needs| self.credit.min(needs.max(LEAST_CAP)));
    }
}
