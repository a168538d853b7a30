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
    pub position: u32,
}

/// Who goes ahead of others of the same urgency.
#[derive(Debug, Clone, PartialEq)]
pub struct PriorityBoost {
    /// The classes and teams that go ahead.
    pub names: ClassTeamSet,
    /// The part of all cores given out that they may hold so; beyond it they go by return.
    pub max_core_share: f64,
}

/// Room that is to be there for tasks yet to come.
#[derive(Debug, Clone, PartialEq)]
pub struct CapacityIntent {
    /// The shape of each task.
    pub task_spec: JobSpec,
    /// How many tasks.
    pub tasks: u64,
    /// Seconds from now; 0: now.
    pub needed_in_s: f64,
}

/// A service whose replicas somebody decides.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ReplicaIntent {
    /// Bound at the most, beside those that stop.
    pub max_bound: u64,
    /// Replicas to be stopped, and not to be placed again.
    pub stop: BTreeSet<u32>,
    /// Sparing machines leaves them where they are.
    pub keep_in_place: bool,
    /// They go ahead of others of the same urgency.
    pub prioritized: bool,
}

/// All that scheduling follows of what operators have declared.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Intents {
    /// Jobs whose turn in their window has come: of one window the lesser number first.
    pub window_turns: HashMap<JobId, WindowPlace>,
    /// Jobs whose turn has not come: not placed yet, and nothing is held or rented for them.
    pub deferred_jobs: HashSet<JobId>,
    /// Classes and teams that go ahead at the moment.
    pub priority_boost: Option<PriorityBoost>,
    /// Room that is to be there in time.
    pub capacity: Vec<CapacityIntent>,
    /// Services whose replicas are decided elsewhere.
    pub replicas: HashMap<JobId, ReplicaIntent>,
}

impl Intents {
    /// Whether nothing is asked for.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// How many waiting tasks of a job may be placed now: all, unless somebody decides its replicas.
    pub fn placeable_tasks(&self, id: &JobId, job: &JobState) -> usize {
        let Some(of) = self.replicas.get(id) else { return job.waiting.len() };
        let beside = |tasks: &BTreeSet<u32>| tasks.difference(&of.stop).count();
        beside(&job.waiting).min((of.max_bound as usize).saturating_sub(beside(&job.bound)))
    }

    /// Replicas of a job that are not to be placed.
    pub fn stopped_replicas(&self, id: &JobId) -> impl Iterator<Item = u32> {
        self.replicas.get(id).into_iter().flat_map(|of| of.stop.iter().copied())
    }

    /// Sparing a machine moves nothing of this job.
    pub fn keeps_in_place(&self, id: &JobId) -> bool {
        self.replicas.get(id).is_some_and(|of| of.keep_in_place)
    }

    /// A job short of the replicas that it has to have goes first.
    pub fn prioritizes_replicas(&self, id: &JobId) -> bool {
        self.replicas.get(id).is_some_and(|of| of.prioritized)
    }
}
