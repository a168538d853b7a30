//! Cancellation of jobs by users.

use std::sync::Arc;

use tracing::debug;

use super::lookup::{look_up_job, open_task_count, respond_after_conflict, respond_when_confirmed};
use super::response::UserResponse;
use super::service::UserService;
use super::write_tracker::{JobWrite, WriteTracker};
use crate::audit::AcknowledgedWrite;
use crate::history::job_transactions;
use crate::jobs::record::{JobRecord, LEADER_RECORD_KEY, time_of_day_ms};
use crate::jobs::{End, JobId};
use crate::protocol::users::{JobAnswer, Status};
use crate::store::budget::RequestPriority;
use crate::store::{CompareAndSwapOutcome, StoreError};

/// Handles a user's request to cancel a job, which may be a repeated request.
pub(super) async fn cancel_job(service: &UserService, write_tracker: &Arc<WriteTracker>, id: &str) -> UserResponse {
    let response = look_up_job(service, id).await;
    if !is_open(&response) {
        return response;
    }
    let id: JobId = id.into();
    if service.history.known_end(&id) == Some(End::Cancelled) {
        return respond_when_confirmed(service, &id).await;
    }
    // A read from the store may show the job before the watch cache has it.
    if open_task_count(service, &id).is_none() {
        service.store.read_barrier.wait_for_proof().await;
    }
    let record = service.store.watch_cache().open_job(&id).cloned();
    if let Some(record) = record {
        return write_cancellation(service, write_tracker, record).await;
    }
    let response = look_up_job(service, &id).await;
    if is_open(&response) { UserResponse::retry_soon("the job has not been read yet") } else { response }
}

/// Whether the response reports an open job.
fn is_open(response: &UserResponse) -> bool {
    matches!(response, UserResponse::Found(JobAnswer { status: Status::Pending | Status::Running, .. }))
}

/// Writes the cancellation of an open job, and reports it to the user if it is confirmed within a moment.
async fn write_cancellation(
    service: &UserService,
    write_tracker: &Arc<WriteTracker>,
    record: Arc<JobRecord>,
) -> UserResponse {
    let id = record.spec.id.clone();
    let leader = service.membership.cancellation_fencing_token();
    let tracked = write_tracker.track(JobWrite::Cancellation, &record);
    match send_cancellation(service, &record, leader).await {
        Ok(CompareAndSwapOutcome::Applied(version)) => {
            tracked.applied();
            service.audit.remember(AcknowledgedWrite::Ended(record, End::Cancelled));
            service.history.note_cancellation(&id, version);
            if let Some(fencing_token) = leader {
                service.membership.apply_cancellation(&id, fencing_token);
            }
            // The leader confirms only what its watch has reported.
            service.store.read_barrier.request_proof();
            respond_when_confirmed(service, &id).await
        }
        Ok(CompareAndSwapOutcome::Failed(keys)) => {
            tracked.not_applied();
            respond_to_failure(service, &id, &keys).await
        }
        outcome => {
            if matches!(outcome, Err(StoreError::Unavailable(_) | StoreError::TooLarge(_))) {
                tracked.not_applied();
            }
            debug!(?outcome, job = %id, "job cancellation failed");
            UserResponse::retry_soon("the state service cannot be written")
        }
    }
}

/// Sends the transaction that cancels a job, and once more if it is too large for the state service: the refusal has
/// lowered the limits, to which the record of the end is cut.
async fn send_cancellation(
    service: &UserService,
    record: &JobRecord,
    leader: Option<u64>,
) -> Result<CompareAndSwapOutcome, StoreError> {
    let client = &service.store.client;
    let send = async || {
        let max_bytes = client.limits().max_value_bytes;
        let cancellation = job_transactions::cancel_job(record, leader, time_of_day_ms(), max_bytes);
        client.compare_and_swap(&cancellation.conditions, &cancellation.changes, RequestPriority::Critical).await
    };
    match send().await {
        Err(StoreError::TooLarge(_)) => send().await,
        outcome => outcome,
    }
}

/// Responds after the transaction that cancels a job failed on these keys.
async fn respond_to_failure(service: &UserService, id: &JobId, keys: &[String]) -> UserResponse {
    if keys == [LEADER_RECORD_KEY] {
        // Another controller has become the leader; the watch cache is about to receive its leader record.
        service.store.read_barrier.request_proof();
        return UserResponse::retry_soon("who owns has just changed");
    }
    let response = respond_after_conflict(service, id, keys).await;
    let is_cancelled = service.history.known_end(id) == Some(End::Cancelled);
    if is_cancelled { respond_when_confirmed(service, id).await } else { response }
}
