//! What operators have declared asks of scheduling, as plain data. `declarations` works it out from what is stored;
//! `scheduling::intents` applies it.

use std::collections::{BTreeSet, HashMap, HashSet};

use super::JobState;
use crate::jobs::{JobId, JobSpec};
use crate::scheduling::fairness::floor::ClassTeamSet;

/// A job's place in the order of its window.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct WindowPlace {
    /// The name of the window.
    pub window: String,
    /// Its number in the window's order.
    pub number: u32,
}

/// Who goes ahead of others of the same urgency.
#[derive(Debug, Clone, PartialEq)]
pub struct Ahead {
    /// The classes and teams that go ahead.
    pub names: ClassTeamSet,
    /// The part of all cores given out that they may hold so; beyond it they go by return.
    pub most_part: f64,
}

/// Room that is to be there for tasks yet to come.
#[derive(Debug, Clone, PartialEq)]
pub struct CapacityIntent {
    /// The shape of each task.
    pub task_spec: JobSpec,
    /// How many tasks.
    pub tasks: u64,
    /// Seconds from now; 0: now.
    pub in_s: f64,
}

/// A service whose replicas somebody decides.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Replicas {
    /// Bound at the most, beside those that stop.
    pub most: u64,
    /// Replicas to be stopped, and not to be placed again.
    pub stop: BTreeSet<u32>,
    /// Sparing machines leaves them where they are.
    pub stay: bool,
    /// They go ahead of others of the same urgency.
    pub ahead: bool,
}

/// All that scheduling follows of what operators have declared.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Intents {
    /// Jobs whose turn in their window has come: of one window the lesser number first.
    pub turns: HashMap<JobId, WindowPlace>,
    /// Jobs whose turn has not come: not placed yet, and nothing is held or rented for them.
    pub not_yet: HashSet<JobId>,
    /// Classes and teams that go ahead at the moment.
    pub ahead: Option<Ahead>,
    /// Room that is to be there in time.
    pub capacity: Vec<CapacityIntent>,
    /// Services whose replicas are decided elsewhere.
    pub replicas: HashMap<JobId, Replicas>,
}

impl Intents {
    /// Whether nothing is asked for.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// How many waiting tasks of a job may be placed now: all, unless somebody decides its replicas.
    pub fn waiting(&self, id: &JobId, job: &JobState) -> usize {
        let Some(of) = self.replicas.get(id) else { return job.waiting.len() };
        let beside = |tasks: &BTreeSet<u32>| tasks.difference(&of.stop).count();
        beside(&job.waiting).min((of.most as usize).saturating_sub(beside(&job.bound)))
    }

    /// Replicas of a job that are not to be placed.
    pub fn stopped(&self, id: &JobId) -> impl Iterator<Item = u32> {
        self.replicas.get(id).into_iter().flat_map(|of| of.stop.iter().copied())
    }

    /// Sparing a machine moves nothing of this job.
    pub fn stays(&self, id: &JobId) -> bool {
        self.replicas.get(id).is_some_and(|of| of.stay)
    }

    /// A job short of the replicas that it has to have goes first.
    pub fn short(&self, id: &JobId) -> bool {
        self.replicas.get(id).is_some_and(|of| of.ahead)
    }
}
