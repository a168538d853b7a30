//! Tracks the writes of users' requests until their outcome is known, so that the log agrees with the store.
//!
//! The state service may apply a write whose answer is lost, or apply it later. The user repeats the request and is told
//! what is stored. Operators count served jobs by the log, so that a cancellation without its line would count as a job
//! that was never served. Each write is therefore tracked from before it is sent until its answer, or the store, tells
//! the outcome. For an acceptance the watch cache is enough, which costs nothing; for a job that has ended the store is
//! asked once how it ended.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::runtime::Handle;
use tracing::info;

use super::lookup::open_task_count;
use super::service::UserService;
use crate::history::query_queue::JobQueryAnswer;
use crate::jobs::record::JobRecord;
use crate::jobs::{End, JobId, JobSpec};
use crate::sync::lock;

/// Most unanswered writes tracked at a time; the outcome of further ones is not logged.
const MOST_TRACKED: usize = 512;
/// Pause between two checks of a job.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Messages may be minutes late; after this a write counts as never applied.
const TRACKED_FOR: Duration = Duration::from_secs(600);

/// A write on behalf of a user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum JobWrite {
    Acceptance,
    Cancellation,
}

/// What this controller knows of a job whose write was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KnownJobState {
    /// The watch cache has it neither open nor recently ended.
    Unknown,
    Open,
    /// Ended, but not known how.
    EndUnknown,
    Ended(End),
}

/// What to do next about a tracked write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TrackingStep {
    Wait,
    /// Ask the store how the job ended.
    QueryStore,
    /// It was applied: log it.
    Log,
    /// It was not applied, and never will be.
    Discard,
}

/// What follows from what is known of the job. A stored cancellation may come from another request at another
/// controller; it is logged all the same, since the line tells what became of the job.
fn next_step(write: JobWrite, known: KnownJobState) -> TrackingStep {
    match (write, known) {
        (_, KnownJobState::Unknown) => TrackingStep::Wait,
        (JobWrite::Acceptance, _) => TrackingStep::Log,
        (JobWrite::Cancellation, KnownJobState::Open) => TrackingStep::Wait,
        (JobWrite::Cancellation, KnownJobState::EndUnknown) => TrackingStep::QueryStore,
        (JobWrite::Cancellation, KnownJobState::Ended(End::Cancelled)) => TrackingStep::Log,
        (JobWrite::Cancellation, KnownJobState::Ended(End::Done)) => TrackingStep::Discard,
    }
}

/// The unanswered writes of one controller.
pub(super) struct WriteTracker {
    service: Arc<UserService>,
    unanswered: Mutex<HashSet<(JobWrite, JobId)>>,
}

impl WriteTracker {
    pub(super) fn new(service: Arc<UserService>) -> Arc<Self> {
        Arc::new(Self { service, unanswered: Mutex::default() })
    }

    /// Tracks a write that is about to be sent.
    pub(super) fn track(self: &Arc<Self>, write: JobWrite, record: &Arc<JobRecord>) -> TrackedWrite {
        TrackedWrite { write_tracker: self.clone(), write, record: record.clone(), answered: false }
    }

    /// Adds an unanswered write. False if it is there already, or if there are too many.
    fn add(&self, write: JobWrite, id: &JobId) -> bool {
        let mut unanswered = lock(&self.unanswered);
        unanswered.len() < MOST_TRACKED && unanswered.insert((write, id.clone()))
    }

    /// Removes a write. False if it is not there.
    fn remove(&self, write: JobWrite, id: &JobId) -> bool {
        lock(&self.unanswered).remove(&(write, id.clone()))
    }
}

/// A write from before it is sent until it is answered. If it is dropped before, because no answer came or because the
/// user's connection was closed, its outcome is found out in the background.
pub(super) struct TrackedWrite {
    write_tracker: Arc<WriteTracker>,
    write: JobWrite,
    record: Arc<JobRecord>,
    answered: bool,
}

impl TrackedWrite {
    /// The write was applied.
    pub(super) fn applied(mut self) {
        self.answered = true;
        self.write_tracker.remove(self.write, &self.record.spec.id);
        log_applied(self.write, &self.record.spec);
    }

    /// The write was not applied, and will not be.
    pub(super) fn not_applied(mut self) {
        self.answered = true;
    }
}

impl Drop for TrackedWrite {
    fn drop(&mut self) {
        if self.answered || !self.write_tracker.add(self.write, &self.record.spec.id) {
            return;
        }
        // Without a runtime the process is ending.
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(await_outcome(self.write_tracker.clone(), self.write, self.record.clone()));
        }
    }
}

/// Logs the lines by which operators count served jobs.
fn log_applied(write: JobWrite, spec: &JobSpec) {
    match write {
        JobWrite::Acceptance => {
            info!(job = %spec.id, team = %spec.team, class = %spec.class, tasks = spec.tasks, "job accepted");
        }
        JobWrite::Cancellation => info!(job = %spec.id, "job cancelled"),
    }
}

/// Finds out whether an unanswered write was applied, and logs it if so.
async fn await_outcome(write_tracker: Arc<WriteTracker>, write: JobWrite, record: Arc<JobRecord>) {
    let id = &record.spec.id;
    let applied = tokio::time::timeout(TRACKED_FOR, was_applied(&write_tracker.service, write, id)).await;
    // Another attempt may have been answered, and logged, meanwhile.
    if write_tracker.remove(write, id) && applied == Ok(true) {
        log_applied(write, &record.spec);
    }
}

/// Whether the write was applied, once that is certain.
async fn was_applied(service: &UserService, write: JobWrite, id: &JobId) -> bool {
    loop {
        match next_step(write, known_job_state(service, id)) {
            TrackingStep::Log => return true,
            TrackingStep::Discard => return false,
            TrackingStep::QueryStore => {
                if let JobQueryAnswer::Ended(end) = service.history.query_job(id).await {
                    return next_step(write, KnownJobState::Ended(end)) == TrackingStep::Log;
                }
            }
            TrackingStep::Wait => (),
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// What this controller knows of a job without asking the store.
fn known_job_state(service: &UserService, id: &JobId) -> KnownJobState {
    if let Some(end) = service.history.known_end(id) {
        return KnownJobState::Ended(end);
    }
    if open_task_count(service, id).is_some() {
        return KnownJobState::Open;
    }
    if service.store.watch_cache().ended_record(id).is_some() {
        KnownJobState::EndUnknown
    } else {
        KnownJobState::Unknown
    }
}

#[cfg(test)]
mod tests;
