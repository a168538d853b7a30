//! What is asked of placing, renting, holding and sparing beyond the order of return. Whoever asks
//! (`declared`) works it out from what is stored; here nobody knows why. With no wishes, not one
//! decision differs.

use std::collections::{BTreeSet, HashMap, HashSet};

use super::book::{Book, JobState};
use super::served::floor::Names;
use crate::jobs::{JobId, JobSpec};
use crate::wire::workers::TaskKey;

/// A job's place in the order of its window.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Turn {
    pub window: String,
    pub number: u32,
}

/// Who goes ahead of others of the same urgency.
#[derive(Debug, Clone, PartialEq)]
pub struct Ahead {
    pub names: Names,
    /// The part of all cores given out that they may hold so; beyond it they go by return.
    pub most_part: f64,
}

/// Room that is to be there for tasks yet to come.
#[derive(Debug, Clone, PartialEq)]
pub struct RoomWish {
    /// The shape of each task.
    pub like: JobSpec,
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
    pub ahead: bool,
}

#[derive(Debug, Clone, Default, PartialEq)]
pub struct Wishes {
    /// Jobs whose turn in their window has come: of one window the lesser number first.
    pub turns: HashMap<JobId, Turn>,
    /// Jobs whose turn has not come: not placed yet, and nothing is held or rented for them.
    pub not_yet: HashSet<JobId>,
    pub ahead: Option<Ahead>,
    pub room: Vec<RoomWish>,
    pub replicas: HashMap<JobId, Replicas>,
}

impl Wishes {
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

impl Book {
    /// What is asked for from now on. Replicas are stopped at once: what was looked at for them still
    /// holds at this moment.
    pub fn set_wishes(&mut self, wishes: Wishes) {
        self.stirred |= self.wishes != wishes;
        for (id, of) in &wishes.replicas {
            let Some(job) = self.job(id).filter(|job| job.ended.is_none() && !job.spec().is_gang()) else { continue };
            let grace_s = job.spec().save_s.ceil() as u64 + 1;
            let stop: Vec<u32> = job.bound.intersection(&of.stop).copied().collect();
            for index in stop {
                self.halt_one(&TaskKey { job: id.clone(), index }, grace_s);
            }
        }
        self.wishes = wishes;
    }
}
