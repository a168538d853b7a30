//! Intents: what the operators' declarations ask of scheduling, as plain data. `declarations` computes them from the
//! stored declarations; `scheduling::intents` applies them.

use std::collections::{BTreeSet, HashMap, HashSet};

use super::JobState;
use crate::jobs::{JobId, JobSpec};
use crate::scheduling::fairness::floor::ClassTeamSet;

/// A job's position in the order of its window.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct WindowPosition {
    /// The name of the window.
    pub window: String,
    /// The job's position in the window's order; lower ones go first.
    pub position: u32,
}

/// Classes and teams whose jobs go ahead of others of the same urgency.
#[derive(Debug, Clone, PartialEq)]
pub struct PriorityBoost {
    /// The classes and teams that go ahead.
    pub names: ClassTeamSet,
    /// The share of all allocated cores that they may hold this way; beyond it their jobs are ordered by return.
    pub max_core_share: f64,
}

/// Capacity that is to be available for expected tasks.
#[derive(Debug, Clone, PartialEq)]
pub struct CapacityIntent {
    /// The specification of each task.
    pub task_spec: JobSpec,
    /// The number of tasks.
    pub tasks: u64,
    /// Seconds until the capacity is needed; 0 means now.
    pub needed_in_s: f64,
}

/// Limits on the replicas of a service, set by a declaration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ReplicaIntent {
    /// Maximum number of bound replicas, not counting those in `stop`.
    pub max_bound: u64,
    /// Replicas to be stopped and not placed again.
    pub stop: BTreeSet<u32>,
    /// Whether scale-in leaves the replicas on their machines.
    pub keep_in_place: bool,
    /// Whether the replicas go ahead of others of the same urgency.
    pub prioritized: bool,
}

/// All intents that scheduling follows.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Intents {
    /// Jobs whose turn in their window has come; within a window, lower positions go first.
    pub window_turns: HashMap<JobId, WindowPosition>,
    /// Jobs whose turn has not come: they are not placed, and no capacity is reserved or provisioned for them.
    pub deferred_jobs: HashSet<JobId>,
    /// Classes and teams that go ahead at present.
    pub priority_boost: Option<PriorityBoost>,
    /// Capacity that is to be available in time.
    pub capacity: Vec<CapacityIntent>,
    /// Limits on the replicas of services, by job.
    pub replicas: HashMap<JobId, ReplicaIntent>,
}

impl Intents {
    /// Whether there are no intents.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// How many waiting tasks of a job may be placed now: all, unless its replicas are limited.
    pub fn placeable_tasks(&self, id: &JobId, job: &JobState) -> usize {
        let Some(replicas) = self.replicas.get(id) else { return job.waiting.len() };
        let count_unstopped = |tasks: &BTreeSet<u32>| tasks.difference(&replicas.stop).count();
        count_unstopped(&job.waiting).min((replicas.max_bound as usize).saturating_sub(count_unstopped(&job.bound)))
    }

    /// Replicas of a job that are not to be placed.
    pub fn stopped_replicas(&self, id: &JobId) -> impl Iterator<Item = u32> {
        self.replicas.get(id).into_iter().flat_map(|replicas| replicas.stop.iter().copied())
    }

    /// Whether scale-in leaves the tasks of this job on their machines.
    pub fn keeps_in_place(&self, id: &JobId) -> bool {
        self.replicas.get(id).is_some_and(|replicas| replicas.keep_in_place)
    }

    /// Whether a job goes first because it has fewer replicas than it has to have.
    pub fn prioritizes_replicas(&self, id: &JobId) -> bool {
        self.replicas.get(id).is_some_and(|replicas| replicas.prioritized)
    }
}
