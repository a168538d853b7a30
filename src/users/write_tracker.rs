//! Tracks the writes of users' requests until their outcome is known, so that the log agrees with the store.
//!
//! The state service may apply a write whose response is lost, or apply it later. The user retries the request and gets
//! the stored result. Operators count served jobs by the log, so a cancellation without its line would count as a job
//! that was never served. Each write is therefore tracked from before it is sent until its response, or the store, shows
//! the outcome. For an acceptance the watch cache is enough, which costs no request; for a cancellation the store has to
//! answer one query for how the job ended, after it has ended.

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

/// Maximum number of unanswered writes tracked at a time; the outcome of further ones is not logged.
const MAX_TRACKED_WRITES: usize = 512;
/// Pause between two checks of a job's state.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which an unanswered write counts as never applied. Messages may arrive minutes late.
const TRACKING_TIMEOUT: Duration = Duration::from_secs(600);

/// The kind of a write on behalf of a user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum JobWrite {
    Acceptance,
    Cancellation,
}

/// The state of a job as far as this controller knows it without a request to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KnownJobState {
    /// The watch cache has the job neither as open nor as recently ended.
    Unknown,
    /// The job is open.
    Open,
    /// The job has ended, but it is not known how.
    EndUnknown,
    /// The job has ended this way.
    Ended(End),
}

/// The next step for a tracked write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TrackingStep {
    /// Check again later.
    Wait,
    /// Query the store for how the job ended.
    QueryStore,
    /// The write was applied: log it.
    Log,
    /// The write was not applied and never will be: stop tracking it.
    Discard,
}

/// Decides the next step for a write from the known state of its job. A stored cancellation may come from another
/// request at another controller; it is logged all the same, since the line records what happened to the job.
fn next_step(write: JobWrite, state: KnownJobState) -> TrackingStep {
    match (write, state) {
        (_, KnownJobState::Unknown) => TrackingStep::Wait,
        (JobWrite::Acceptance, _) => TrackingStep::Log,
        (JobWrite::Cancellation, KnownJobState::Open) => TrackingStep::Wait,
        (JobWrite::Cancellation, KnownJobState::EndUnknown) => TrackingStep::QueryStore,
        (JobWrite::Cancellation, KnownJobState::Ended(End::Cancelled)) => TrackingStep::Log,
        (JobWrite::Cancellation, KnownJobState::Ended(End::Done)) => TrackingStep::Discard,
    }
}

/// Tracks the unanswered writes of one controller.
pub(super) struct WriteTracker {
    service: Arc<UserService>,
    unanswered: Mutex<HashSet<(JobWrite, JobId)>>,
}

impl WriteTracker {
    /// Creates a tracker without unanswered writes.
    pub(super) fn new(service: Arc<UserService>) -> Arc<Self> {
        Arc::new(Self { service, unanswered: Mutex::default() })
    }

    /// Tracks a write that is about to be sent.
    pub(super) fn track(self: &Arc<Self>, write: JobWrite, record: &Arc<JobRecord>) -> TrackedWrite {
        TrackedWrite { write_tracker: self.clone(), write, record: record.clone(), answered: false }
    }

    /// Adds an unanswered write. Returns false if it is already tracked or if too many writes are tracked.
    fn add(&self, write: JobWrite, id: &JobId) -> bool {
        let mut unanswered = lock(&self.unanswered);
        unanswered.len() < MAX_TRACKED_WRITES && unanswered.insert((write, id.clone()))
    }

    /// Removes a write. Returns false if it is not tracked.
    fn remove(&self, write: JobWrite, id: &JobId) -> bool {
        lock(&self.unanswered).remove(&(write, id.clone()))
    }
}

/// A write, from before it is sent until it is answered. If it is dropped without an answer, because none came or because
/// the user's connection was closed, its outcome is found out in the background.
pub(super) struct TrackedWrite {
    write_tracker: Arc<WriteTracker>,
    write: JobWrite,
    record: Arc<JobRecord>,
    answered: bool,
}

impl TrackedWrite {
    /// Records that the write was applied, and logs it.
    pub(super) fn applied(mut self) {
        self.answered = true;
        self.write_tracker.remove(self.write, &self.record.spec.id);
        log_applied(self.write, &self.record.spec);
    }

    /// Records that the write was not applied and never will be.
    pub(super) fn not_applied(mut self) {
        self.answered = true;
    }
}

impl Drop for TrackedWrite {
    fn drop(&mut self) {
        if self.answered || !self.write_tracker.add(self.write, &self.record.spec.id) {
            return;
        }
        // There is no runtime only while the process is ending.
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(await_outcome(self.write_tracker.clone(), self.write, self.record.clone()));
        }
    }
}

/// Logs an applied write; operators count served jobs by these lines.
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
    let applied = tokio::time::timeout(TRACKING_TIMEOUT, was_applied(&write_tracker.service, write, id)).await;
    // Another attempt at this write may have been answered and logged meanwhile.
    if write_tracker.remove(write, id) && applied == Ok(true) {
        log_applied(write, &record.spec);
    }
}

/// Waits until it is certain whether the write was applied, and returns that.
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

/// The state of a job as far as it is known without a request to the store.
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
