//! The judge: from requests, answers and what ran where, and from nothing else, it tells whether a rule of the protocol
//! was broken, and whether every accepted task has its result.
//!
//! It is pure, and independent of the world and of whoever drives it.

mod answers;
mod rule;
mod state;
mod tasks;
mod verdict;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hollylanding_protocol::jobs::{JobId, JobSpec};
use hollylanding_protocol::users::Status;
use serde_json::Value;

use crate::world::fleet::AttemptEvent;
pub use answers::SILENT;
pub use rule::Rule;
use state::Judge;
pub use verdict::{BEGIN_WITHIN, Break, LargestJobs, Verdict};

/// The kind of a user's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ask {
    /// Submits a job, or repeats the submission.
    Submit,
    /// Asks for a job's status.
    Status,
    /// Asks that a job be cancelled.
    Cancel,
}

/// Something that happened, as the judge sees it.
#[derive(Debug, Clone)]
pub enum Event {
    /// A user is about to submit a job for the first time.
    Submitted(Arc<JobSpec>),
    /// A user is about to ask for the first time that a job be cancelled.
    CancellationAsked(JobId),
    /// The answer to a user's request.
    Answered {
        /// The job that the request is about.
        job: JobId,
        /// The kind of the request.
        ask: Ask,
        /// HTTP status code; none if there was no answer.
        code: Option<u16>,
        /// The job's status, if the answer contains one.
        status: Option<Status>,
    },
    /// A machine came up.
    Up {
        /// The cloud's name of the machine.
        machine: String,
        /// Name of its type.
        type_name: String,
        /// Its zone.
        zone: String,
        /// Whether it is a spot machine.
        spot: bool,
    },
    /// Something happened to a task on a machine.
    Machine(AttemptEvent),
    /// The controllers stored the status of a declared object.
    Declared {
        /// Kind of the object, such as `window` or `heat`.
        kind: String,
        /// The object's name.
        name: String,
        /// The specification that was in force.
        spec: Value,
        /// The status stored.
        status: Value,
    },
    /// All faults are over: from now on every request about a job has to be answered.
    Quiet,
}

/// An event with its time.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Time since the world began.
    pub at: Duration,
    /// What happened.
    pub event: Event,
}

/// The parameters of the rules.
#[derive(Debug, Clone, Default)]
pub struct Terms {
    /// The most cores and accelerators that each team's tasks may use; 0: unlimited.
    pub quotas: HashMap<String, (f64, f64)>,
    /// Time from the report that a job is cancelled until none of its tasks may run.
    pub cancellation_deadline: Duration,
    /// Sets of services that replace one another, with the number of replicas that must run in total.
    pub capacity: Vec<(Vec<JobId>, usize)>,
    /// Wall-clock time at which the world began, in ms since 1970.
    pub begun_ms: u64,
}

/// Judges a whole history, whose entries must be ordered by time.
pub fn judge(history: &[Entry], terms: &Terms) -> Verdict {
    let mut judge = Judge::new(terms.clone());
    for entry in history {
        judge.take(entry);
    }
    let end = history.last().map_or(Duration::ZERO, |entry| entry.at);
    judge.close(end)
}

#[cfg(test)]
mod tests;
