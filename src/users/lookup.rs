//! Answers to questions about a job: its status as far as it may be reported to users.

use tracing::debug;

use super::reply::{Refusal, Reply};
use super::service::UserService;
use crate::history::job_transactions::find_end;
use crate::history::query_queue::JobQueryAnswer;
use crate::history::visibility::EndVisibility;
use crate::jobs::{End, JobId, well_formed_id};
use crate::protocol::users::{JobAnswer, Status};

/// Stored, and hidden until the leader is known to have it (`history::visibility`).
const UNCONFIRMED: &str = "the job is being withdrawn: its owner has not confirmed that yet";

/// An end as its users may hear it: a cancellation only once the leader has it. Every path that tells of an end
/// goes through here.
pub(super) async fn tell_end(service: &UserService, id: &JobId, end: End) -> Reply {
    service.membership.watermark();
    let mut visible = service.history.end_visibility(id, end);
    if visible == EndVisibility::Unknown {
        let version = service.store.watch_cache().revision_with_end(id);
        match version {
            Some(version) => service.history.note_cancellation(id, version),
            None => {
                if let Err(error) = service.history.learn_version(&service.store.client, id).await {
                    debug!(%error, job = %id, "asking when it was withdrawn");
                }
            }
        }
        visible = service.history.end_visibility(id, end);
    }
    match visible {
        EndVisibility::Visible => ended(id, end),
        EndVisibility::NotYet | EndVisibility::Unknown => Reply::later(UNCONFIRMED),
    }
}

/// An end that may be told.
pub(super) fn ended(id: &str, end: End) -> Reply {
    let status = match end {
        End::Done => Status::Done,
        End::Cancelled => Status::Cancelled,
    };
    Reply::Job(200, JobAnswer { id: id.to_owned(), status, done: 0, running: 0 })
}

/// An open job; its counts are for display and may run ahead of what is stored.
fn open(service: &UserService, id: &JobId, tasks: u64) -> Reply {
    let counts = service.membership.counts(id);
    let status = if counts.running > 0 { Status::Running } else { Status::Pending };
    Reply::Job(200, JobAnswer { id: id.to_string(), status, done: counts.done.min(tasks), running: counts.running })
}

/// The number of tasks of a job that is open, as far as the watch cache has heard.
pub(super) fn open_tasks(service: &UserService, id: &str) -> Option<u64> {
    service.store.watch_cache().open_job(id).map(|record| record.spec.tasks)
}

/// The state of a job, no older than the moment of asking. Ends are final and told from memory;
/// an open job is told from the watch cache once that is proven fresh; all else the store is asked for,
/// which looks at every key that the job may have at one moment.
pub(super) async fn look_up(service: &UserService, id: &str) -> Reply {
    if !well_formed_id(id) {
        return Reply::Refused(Refusal::NoSuchJob);
    }
    let id: JobId = id.into();
    if let Some(end) = service.history.ended(&id) {
        return tell_end(service, &id, end).await;
    }
    if !service.store.watch_cache().is_ready() {
        return Reply::later("the state service has not been read yet");
    }
    if open_tasks(service, &id).is_some() {
        if !service.store.read_barrier.wait().await {
            return Reply::later("the state service cannot be asked");
        }
        if let Some(tasks) = open_tasks(service, &id) {
            return open(service, &id, tasks);
        }
        // It has ended in between: how, the store says.
    }
    match service.history.query_job(&id).await {
        JobQueryAnswer::Ended(end) => tell_end(service, &id, end).await,
        JobQueryAnswer::NeverAccepted => Reply::Refused(Refusal::NoSuchJob),
        // Accepted so lately that the watch cache has not heard.
        JobQueryAnswer::Open => open(service, &id, u64::MAX),
        JobQueryAnswer::Unavailable => Reply::later("the state service cannot be asked, or too much is asked at once"),
    }
}

/// A transaction found the job further on; an end among the failed keys needs no question.
pub(super) async fn moved_on(service: &UserService, id: &JobId, keys: &[String]) -> Reply {
    if let Some(end) = find_end(keys, id) {
        service.history.note_end(id, end);
    }
    look_up(service, id).await
}
