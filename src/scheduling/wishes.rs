//! What is asked of placing, renting, holding and sparing beyond the order of return. Whoever asks
//! (`declared`) works it out from what is stored; here nobody knows why. With no wishes, not one
//! decision differs.

use std::collections::{BTreeSet, HashMap, HashSet};

use super::book::Book;
use super::served::floor::Names;
use crate::jobs::{JobId, JobSpec};

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
    /// Bound at the most.
    pub most: u64,
    /// Replicas to be stopped.
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
}

impl Book {
    /// What is asked for from now on.
    pub fn set_wishes(&mut self, wishes: Wishes) {
        self.stirred |= self.wishes != wishes;
        self.wishes = wishes;
    }
}
