//! Looks up the status of a job, as far as it may be reported to users.

use std::time::Duration;

use tracing::debug;

use super::response::{RequestError, UserResponse};
use super::service::UserService;
use crate::history::job_transactions::find_end;
use crate::history::query_queue::JobQueryAnswer;
use crate::history::visibility::{CancelledJobAnswer, EndVisibility};
use crate::jobs::{End, JobId, is_valid_job_id};
use crate::protocol::users::{JobAnswer, Status};

/// Reason of the response for a stored cancellation of which it is not known whether users were told
/// (`history::visibility`).
const UNCONFIRMED_CANCELLATION: &str = "the job is being withdrawn: its owner has not confirmed that yet";
/// Reason of the response while nothing can be proven.
const STORE_UNREACHABLE: &str = "the state service cannot be asked";
/// How long a request to cancel a job waits for the confirmation. Its user waits for 5 s and repeats it after a 503.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(1);

/// Responds with a job's end; a cancellation is reported only once it is confirmed. As long as no user was told of a
/// cancellation, its job is reported as open, so that polls are answered however long the confirmation takes. Every
/// response with an end that may still be hidden goes through this function or [`respond_when_confirmed`].
pub(super) async fn respond_with_end(service: &UserService, id: &JobId, end: End) -> UserResponse {
    if find_visibility(service, id, end).await == EndVisibility::Visible {
        return end_response(id, end);
    }
    if !service.store.read_barrier.wait_for_proof().await {
        return UserResponse::retry_soon(STORE_UNREACHABLE);
    }
    if let Some(response) = respond_by_confirmations(service, id) {
        return response;
    }
    // The watch has not shown at which revision the job was cancelled.
    fetch_cancellation_version(service, id).await;
    respond_by_confirmations(service, id).unwrap_or(UserResponse::retry_soon(UNCONFIRMED_CANCELLATION))
}

/// Responds to a request to cancel a job whose cancellation is stored, and waits a moment for its confirmation.
pub(super) async fn respond_when_confirmed(service: &UserService, id: &JobId) -> UserResponse {
    let mut changes = service.history.subscribe_confirmed();
    let confirmed = async {
        while find_visibility(service, id, End::Cancelled).await != EndVisibility::Visible {
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    };
    match tokio::time::timeout(CONFIRMATION_TIMEOUT, confirmed).await {
        Ok(()) => end_response(id, End::Cancelled),
        Err(_) => UserResponse::retry_soon(UNCONFIRMED_CANCELLATION),
    }
}

/// Responds to a question about a cancelled job by the confirmed cancellations in the watch cache, which was proven to
/// be up to date since the question arrived. None if they don't tell whether users may have been told.
fn respond_by_confirmations(service: &UserService, id: &JobId) -> Option<UserResponse> {
    let (answer, tasks) = {
        let watch_cache = service.store.watch_cache();
        let tasks = watch_cache.ended_record(id).map_or(u64::MAX, |record| record.spec.tasks);
        (service.history.answer_for_cancelled(id, &watch_cache)?, tasks)
    };
    Some(match answer {
        CancelledJobAnswer::Cancelled => end_response(id, End::Cancelled),
        CancelledJobAnswer::Open => open_response(service, id, tasks),
    })
}

/// Finds out whether users may be told of an end, from the watch cache or else from the store.
async fn find_visibility(service: &UserService, id: &JobId, end: End) -> EndVisibility {
    let visibility = service.history.end_visibility(id, end);
    if visibility != EndVisibility::Unknown {
        return visibility;
    }
    let version = service.store.watch_cache().revision_with_end(id);
    match version {
        Some(version) => service.history.note_cancellation(id, version),
        None => fetch_cancellation_version(service, id).await,
    }
    service.history.end_visibility(id, end)
}

/// Reads from the store at which revision the job was cancelled.
async fn fetch_cancellation_version(service: &UserService, id: &JobId) {
    if let Err(error) = service.history.fetch_cancellation_version(&service.store.client, id).await {
        debug!(%error, job = %id, "cancellation revision lookup failed");
    }
}

/// The response with an end that may be reported.
pub(super) fn end_response(id: &str, end: End) -> UserResponse {
    let status = match end {
        End::Done => Status::Done,
        End::Cancelled => Status::Cancelled,
    };
    UserResponse::Found(JobAnswer { id: id.to_owned(), status, done: 0, running: 0 })
}

/// The response with an open job. Its task counts are for display and may be ahead of the store.
fn open_response(service: &UserService, id: &JobId, tasks: u64) -> UserResponse {
    let counts = service.membership.counts(id);
    let status = if counts.running > 0 { Status::Running } else { Status::Pending };
    UserResponse::Found(JobAnswer { id: id.to_string(), status, done: counts.done.min(tasks), running: counts.running })
}

/// Number of tasks of an open job, if the watch cache has the job.
pub(super) fn open_task_count(service: &UserService, id: &str) -> Option<u64> {
    service.store.watch_cache().open_job(id).map(|record| record.spec.tasks)
}

/// Looks up the status of a job, no older than the request. Ends are final and reported from memory; an open job is
/// reported from the watch cache after a read barrier. Any other job is looked up in the store, with one read of every
/// key that the job may have.
pub(super) async fn look_up_job(service: &UserService, id: &str) -> UserResponse {
    if !is_valid_job_id(id) {
        return UserResponse::Rejected(RequestError::NoSuchJob);
    }
    let id: JobId = id.into();
    if let Some(end) = service.history.known_end(&id) {
        return respond_with_end(service, &id, end).await;
    }
    if !service.store.watch_cache().is_ready() {
        return UserResponse::retry_soon("the state service has not been read yet");
    }
    if open_task_count(service, &id).is_some() {
        if !service.store.read_barrier.wait_for_proof().await {
            return UserResponse::retry_soon(STORE_UNREACHABLE);
        }
        if let Some(tasks) = open_task_count(service, &id) {
            return open_response(service, &id, tasks);
        }
        // The job has ended meanwhile; the store shows how.
    }
    match service.history.query_job(&id).await {
        JobQueryAnswer::Ended(end) => respond_with_end(service, &id, end).await,
        JobQueryAnswer::NeverAccepted => UserResponse::Rejected(RequestError::NoSuchJob),
        // The job was accepted so recently that the watch cache does not have it.
        JobQueryAnswer::Open => open_response(service, &id, u64::MAX),
        JobQueryAnswer::Unavailable => {
            UserResponse::retry_soon("the state service cannot be asked, or too much is asked at once")
        }
    }
}

/// Responds with the status of a job after a compare-and-swap failed on these keys. If the keys show an end, the end is
/// recorded and the store need not be read.
pub(super) async fn respond_after_conflict(service: &UserService, id: &JobId, keys: &[String]) -> UserResponse {
    if let Some(end) = find_end(keys, id) {
        service.history.note_end(id, end);
    }
    look_up_job(service, id).await
}
