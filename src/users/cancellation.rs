//! Cancellation of jobs by users.

use std::sync::Arc;

use tracing::debug;

use super::lookup::{end_response, look_up_job, open_task_count, respond_after_conflict, respond_with_end};
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

/// Cancels a job on behalf of its user.
pub(super) async fn cancel_job(service: &UserService, write_tracker: &Arc<WriteTracker>, id: &str) -> UserResponse {
    let found = look_up_job(service, id).await;
    if !is_open(&found) {
        return found;
    }
    let id: JobId = id.into();
    // The store may have told of it before the watch cache has it.
    if open_task_count(service, &id).is_none() {
        service.store.read_barrier.wait_for_proof().await;
    }
    let record = service.store.watch_cache().open_job(&id).cloned();
    if let Some(record) = record {
        return write_cancellation(service, write_tracker, record).await;
    }
    let found = look_up_job(service, &id).await;
    if is_open(&found) { UserResponse::retry_soon("the job has not been read yet") } else { found }
}

fn is_open(found: &UserResponse) -> bool {
    matches!(found, UserResponse::Found(JobAnswer { status: Status::Pending | Status::Running, .. }))
}

/// Writes the end of an open job, and responds once the cancellation may be reported.
async fn write_cancellation(
    service: &UserService,
    write_tracker: &Arc<WriteTracker>,
    record: Arc<JobRecord>,
) -> UserResponse {
    let id = record.spec.id.clone();
    let leader = service.membership.cancellation_fencing_token();
    let cancellation = job_transactions::cancel_job(&record, leader, time_of_day_ms());
    let tracked = write_tracker.track(JobWrite::Cancellation, &record);
    let outcome = service
        .store
        .client
        .compare_and_swap(&cancellation.conditions, &cancellation.changes, RequestPriority::Critical)
        .await;
    match outcome {
        Ok(CompareAndSwapOutcome::Applied(version)) => {
            tracked.applied();
            service.audit.remember(AcknowledgedWrite::Ended(record, End::Cancelled));
            if leader.is_some_and(|fencing_token| service.membership.apply_cancellation(&id, fencing_token)) {
                return end_response(&id, End::Cancelled);
            }
            service.history.note_cancellation(&id, version);
            respond_with_end(service, &id, End::Cancelled).await
        }
        Ok(CompareAndSwapOutcome::Failed(keys)) => {
            tracked.not_applied();
            if keys != [LEADER_RECORD_KEY] {
                return respond_after_conflict(service, &id, &keys).await;
            }
            // Another controller leads by now; the watch cache is about to receive its leader record.
            service.store.read_barrier.request_proof();
            UserResponse::retry_soon("who owns has just changed")
        }
        outcome => {
            if matches!(outcome, Err(StoreError::Unavailable(_))) {
                tracked.not_applied();
            }
            debug!(?outcome, job = %id, "job cancellation failed");
            UserResponse::retry_soon("the state service cannot be written")
        }
    }
}
