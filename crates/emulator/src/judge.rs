//! The judge: a checker that decides from a history of requests, responses and attempts on machines alone whether an
//! invariant of the protocol was violated, and whether every accepted task has its result.
//!
//! The checker is a pure function of the history, independent of the emulated world and its driver.

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
pub use answers::UNANSWERED_AFTER;
pub use rule::Rule;
use state::Judge;
pub use verdict::{LargestJobs, MAX_START_DELAY, Verdict, Violation};

/// The kind of a user's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Submits a job, or repeats the submission.
    Submit,
    /// Asks for a job's status.
    Status,
    /// Asks that a job be cancelled.
    Cancel,
}

/// An event of a history that the judge checks.
#[derive(Debug, Clone)]
pub enum Event {
    /// A user is about to submit a job for the first time.
    Submitted(Arc<JobSpec>),
    /// A user is about to request the cancellation of a job for the first time.
    CancellationAsked(JobId),
    /// A user's request was answered, or failed without a response.
    Answered {
        /// The job that the request is about.
        job: JobId,
        /// The kind of the request.
        ask: RequestKind,
        /// HTTP status code; none if there was no response.
        code: Option<u16>,
        /// The job's status, if the response contains one.
        status: Option<Status>,
    },
    /// A machine finished booting.
    Up {
        /// The cloud's name of the machine.
        machine: String,
        /// Name of the machine's type.
        type_name: String,
        /// The machine's zone.
        zone: String,
        /// Whether the machine is a spot machine.
        spot: bool,
    },
    /// An attempt of a task changed on a machine.
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
    /// All faults are over. From now on requests about jobs must be answered.
    FaultsOver,
}

/// An event with its time.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Time since the start of the world.
    pub at: Duration,
    /// What happened.
    pub event: Event,
}

/// The parameters of the judge's rules.
#[derive(Debug, Clone, Default)]
pub struct RuleParams {
    /// Maximum numbers of cores and accelerators that each team's tasks may use; 0 means unlimited.
    pub quotas: HashMap<String, (f64, f64)>,
    /// Time from the first response that reports a job as cancelled until none of its tasks may run.
    pub cancellation_deadline: Duration,
    /// Sets of services that replace one another, with the number of replicas that must run in total.
    pub capacity: Vec<(Vec<JobId>, usize)>,
    /// Wall-clock time of the start of the world, in ms since 1970.
    pub start_ms: u64,
}

/// Checks a whole history, whose entries must be ordered by time.
pub fn judge(history: &[Entry], params: &RuleParams) -> Verdict {
    let mut judge = Judge::new(params.clone());
    for entry in history {
        judge.process(entry);
    }
    let end = history.last().map_or(Duration::ZERO, |entry| entry.at);
    judge.close(end)
}

#[cfg(test)]
mod tests;
