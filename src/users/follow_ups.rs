//! Finds out the result of writes that were not answered.
//!
//! The state service may carry out a write whose answer is lost, or carry it out later. The user asks again and is told
//! what is stored, and the log has to agree: whoever counts by the log would take a job whose cancellation has no line
//! for work that was never served. So each write is tracked from before it is sent until its answer, or the store,
//! tells the result. For an acceptance the watch cache is enough, which costs nothing; for a job that has ended the
//! store is asked once how it did.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::runtime::Handle;
use tracing::info;

use super::lookup::open_tasks;
use super::service::UserService;
use crate::history::query_queue::JobQueryAnswer;
use crate::jobs::record::JobRecord;
use crate::jobs::{End, JobId, JobSpec};
use crate::sync::lock;

/// Writes followed at a time: with more, some are not logged.
const MOST_FOLLOWED: usize = 512;
/// Between two looks at what is known of a job.
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// Messages may be minutes late; past this it is taken for never carried out.
const FOLLOWED_FOR: Duration = Duration::from_secs(600);

/// A write that a user asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Write {
    Acceptance,
    Cancellation,
}

/// What is known of a job whose write was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Known {
    /// Not in the watch cache, and not lately ended in it.
    Nothing,
    Open,
    /// Ended, and how is not known here.
    EndedSomehow,
    Ended(End),
}

/// What is to be done about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    Wait,
    /// The store is asked how the job has ended.
    Ask,
    Log,
    /// It was not carried out, and never will be.
    Forget,
}

/// The whole rule. A cancellation that is stored may be another user's request by another controller: it is logged all
/// the same, since the line says what became of the job.
fn next(write: Write, known: Known) -> Next {
    match (write, known) {
        (_, Known::Nothing) => Next::Wait,
        (Write::Acceptance, _) => Next::Log,
        (Write::Cancellation, Known::Open) => Next::Wait,
        (Write::Cancellation, Known::EndedSomehow) => Next::Ask,
        (Write::Cancellation, Known::Ended(End::Cancelled)) => Next::Log,
        (Write::Cancellation, Known::Ended(End::Done)) => Next::Forget,
    }
}

/// The writes of one controller that are under way or were not answered.
pub(super) struct FollowUps {
    service: Arc<UserService>,
    followed: Mutex<HashSet<(Write, JobId)>>,
}

impl FollowUps {
    pub(super) fn new(service: Arc<UserService>) -> Arc<Self> {
        Arc::new(Self { service, followed: Mutex::default() })
    }

    /// A write is about to be sent.
    pub(super) fn begin(self: &Arc<Self>, write: Write, record: &Arc<JobRecord>) -> Sent {
        Sent { follow_ups: self.clone(), write, record: record.clone(), answered: false }
    }

    /// False if it is followed already, or if too many are.
    fn add(&self, write: Write, id: &JobId) -> bool {
        let mut followed = lock(&self.followed);
        followed.len() < MOST_FOLLOWED && followed.insert((write, id.clone()))
    }

    /// Whether it was still followed.
    fn remove(&self, write: Write, id: &JobId) -> bool {
        lock(&self.followed).remove(&(write, id.clone()))
    }
}

/// A write from before it is sent. Dropped without an answer, be it since none came or since its user has gone, it
/// is followed.
pub(super) struct Sent {
    follow_ups: Arc<FollowUps>,
    write: Write,
    record: Arc<JobRecord>,
    answered: bool,
}

impl Sent {
    /// It was carried out.
    pub(super) fn applied(mut self) {
        self.answered = true;
        self.follow_ups.remove(self.write, &self.record.spec.id);
        log(self.write, &self.record.spec);
    }

    /// It was not, and will not be.
    pub(super) fn refused(mut self) {
        self.answered = true;
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        if self.answered || !self.follow_ups.add(self.write, &self.record.spec.id) {
            return;
        }
        // Without a runtime the process is ending.
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(follow(self.follow_ups.clone(), self.write, self.record.clone()));
        }
    }
}

/// The lines from which it is counted who was served.
fn log(write: Write, spec: &JobSpec) {
    match write {
        Write::Acceptance => {
            info!(job = %spec.id, team = spec.team, class = spec.class, tasks = spec.tasks, "accepted");
        }
        Write::Cancellation => info!(job = %spec.id, "withdrawn"),
    }
}

async fn follow(follow_ups: Arc<FollowUps>, write: Write, record: Arc<JobRecord>) {
    let id = &record.spec.id;
    let stored = tokio::time::timeout(FOLLOWED_FOR, became(&follow_ups.service, write, id)).await;
    // Another try may have been answered, and logged, meanwhile.
    if follow_ups.remove(write, id) && stored == Ok(true) {
        log(write, &record.spec);
    }
}

/// Whether it was carried out, once that is certain.
async fn became(service: &UserService, write: Write, id: &JobId) -> bool {
    loop {
        match next(write, known(service, id)) {
            Next::Log => return true,
            Next::Forget => return false,
            Next::Ask => {
                if let JobQueryAnswer::Ended(end) = service.history.query_job(id).await {
                    return next(write, Known::Ended(end)) == Next::Log;
                }
            }
            Next::Wait => (),
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

/// What this controller knows without asking.
fn known(service: &UserService, id: &JobId) -> Known {
    if let Some(end) = service.history.ended(id) {
        return Known::Ended(end);
    }
    if open_tasks(service, id).is_some() {
        return Known::Open;
    }
    if service.store.watch_cache().ended_record(id).is_some() { Known::EndedSomehow } else { Known::Nothing }
}

#[cfg(test)]
mod tests;
