//! Cancellation of jobs by users.

use std::sync::Arc;

use tracing::debug;

use super::follow_ups::{FollowUps, Write};
use super::lookup::{ended, look_up, moved_on, open_tasks, tell_end};
use super::reply::Reply;
use super::service::UserService;
use crate::audit::Held;
use crate::history::job_transactions;
use crate::jobs::record::{JobRecord, LEADER, time_of_day_ms};
use crate::jobs::{End, JobId};
use crate::protocol::users::{JobAnswer, Status};
use crate::store::budget::RequestPriority;
use crate::store::{CompareAndSwapOutcome, StoreError};

/// A job that its user calls off.
pub(super) async fn cancel(service: &UserService, follow_ups: &Arc<FollowUps>, id: &str) -> Reply {
    let found = look_up(service, id).await;
    if !is_open(&found) {
        return found;
    }
    let id: JobId = id.into();
    // It may have been found open before the watch cache heard of it.
    if open_tasks(service, &id).is_none() {
        service.store.read_barrier.wait().await;
    }
    let record = service.store.watch_cache().open_job(&id).cloned();
    if let Some(record) = record {
        return write_cancellation(service, follow_ups, record).await;
    }
    let found = look_up(service, &id).await;
    if is_open(&found) { Reply::later("the job has not been read yet") } else { found }
}

fn is_open(found: &Reply) -> bool {
    matches!(found, Reply::Job(_, JobAnswer { status: Status::Pending | Status::Running, .. }))
}

/// Writes the end of a job that was seen open, and tells its user.
async fn write_cancellation(service: &UserService, follow_ups: &Arc<FollowUps>, record: Arc<JobRecord>) -> Reply {
    let id = record.spec.id.clone();
    let leader = service.membership.cancels_under();
    let cancellation = job_transactions::cancel_job(&record, leader, time_of_day_ms());
    let sent = follow_ups.begin(Write::Cancellation, &record);
    match service
        .store
        .client
        .compare_and_swap(&cancellation.conditions, &cancellation.changes, RequestPriority::Critical)
        .await
    {
        Ok(CompareAndSwapOutcome::Applied(version)) => {
            sent.applied();
            service.audit.note(Held::Ended(record, End::Cancelled));
            if leader.is_some_and(|fencing_token| service.membership.cancelled_by_leader(&id, fencing_token)) {
                return ended(&id, End::Cancelled);
            }
            service.history.note_cancellation(&id, version);
            tell_end(service, &id, End::Cancelled).await
        }
        Ok(CompareAndSwapOutcome::Failed(keys)) => {
            sent.refused();
            if keys != [LEADER] {
                return moved_on(service, &id, &keys).await;
            }
            // Another leads by now: the watch cache is about to hear it.
            service.store.read_barrier.request_proof();
            Reply::later("who owns has just changed")
        }
        outcome => {
            if matches!(outcome, Err(StoreError::Unavailable(_))) {
                sent.refused();
            }
            debug!(?outcome, job = %id, "withdrawing");
            Reply::later("the state service cannot be written")
        }
    }
}
