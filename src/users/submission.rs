//! Handles submissions: decodes, checks and writes them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Deserialize;
use tracing::debug;

use super::feasibility::check_feasible;
use super::lookup::{look_up_job, open_task_count, respond_after_conflict};
use super::response::{RETRY_WHEN_JOBS_END_S, RequestError, UserResponse};
use super::service::UserService;
use super::write_tracker::{JobWrite, WriteTracker};
use crate::audit::AcknowledgedWrite;
use crate::history::job_transactions;
use crate::jobs::JobSpec;
use crate::jobs::limits::fits_in_memory;
use crate::jobs::record::{ENDED_RECORD_EXTRA_BYTES, JobRecord, time_of_day_ms};
use crate::protocol;
use crate::protocol::users::{JobAnswer, Status};
use crate::store::budget::RequestPriority;
use crate::store::client::WriteDelay;
use crate::store::{CompareAndSwapOutcome, StoreError};
use crate::sync::lock;

/// Attempts at a write that the store refuses because of its rate limit, before the user is told to retry.
const WRITE_ATTEMPTS: u32 = 2;
/// Pause after an attempt that the store refused because of its rate limit.
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(120);
/// HTTP status with which the store refuses a request because of its rate limit.
const TOO_MANY_REQUESTS: u16 = 429;

/// The id of the submitted job, which can be decoded whatever else is wrong with the submission.
#[derive(Deserialize)]
struct SubmittedId {
    #[serde(rename = "uid")]
    id: String,
}

/// Gives this response to a submission, unless its job was accepted before; then it responds with the job's status.
async fn respond_unless_accepted(service: &UserService, id: &str, response: UserResponse) -> UserResponse {
    match look_up_job(service, id).await {
        UserResponse::Rejected(RequestError::NoSuchJob) => response,
        status => status,
    }
}

/// Refuses a submission for good, unless its job was accepted before. An acceptance is final, whichever controller
/// accepted the job and whatever a repeated request contains.
async fn refuse_unless_accepted(service: &UserService, id: &str, error: RequestError) -> UserResponse {
    respond_unless_accepted(service, id, UserResponse::Rejected(error)).await
}

/// Decodes a submission and makes the checks that do not depend on machines and teams.
fn decode_submission(body: &[u8]) -> Result<JobSpec, RequestError> {
    let spec: JobSpec = protocol::decode_whole(body)?;
    spec.check()?;
    Ok(spec)
}

/// Handles a submission, which may be a retry: submissions are idempotent by the job's id.
pub(super) async fn submit_job(service: &UserService, write_tracker: &Arc<WriteTracker>, body: &[u8]) -> UserResponse {
    let spec = match decode_submission(body) {
        Ok(spec) => spec,
        Err(error) => {
            let Ok(submitted) = protocol::decode::<SubmittedId>(body) else { return UserResponse::Rejected(error) };
            return refuse_unless_accepted(service, &submitted.id, error).await;
        }
    };
    if !service.store.watch_cache().is_ready() {
        return UserResponse::retry_soon("the state service has not been read yet");
    }
    let id = spec.id.clone();
    if open_task_count(service, &id).is_some() || service.history.known_end(&id).is_some() {
        return look_up_job(service, &id).await;
    }
    let Some(catalog) = service.catalog.get() else {
        let undecided = UserResponse::retry_soon("the machine types are not known yet");
        return respond_unless_accepted(service, &id, undecided).await;
    };
    if let Err(infeasible) = check_feasible(&spec, &service.settings, &catalog) {
        return refuse_unless_accepted(service, &id, infeasible.into()).await;
    }
    accept_job(service, write_tracker, spec).await
}

/// Accepts a feasible job, if there is room for one more open job and admission control admits it.
async fn accept_job(service: &UserService, write_tracker: &Arc<WriteTracker>, spec: JobSpec) -> UserResponse {
    let id = spec.id.clone();
    let (open_work, may_hold_old_jobs) = {
        let watch_cache = service.store.watch_cache();
        (watch_cache.open_work(), watch_cache.may_hold_old_jobs())
    };
    let record = JobRecord { spec, accepted_ms: time_of_day_ms() };
    if !fits_in_store(service, &record) {
        return refuse_unless_accepted(service, &id, RequestError::JobTooLarge).await;
    }
    if !fits_in_memory(&record.spec, open_work, service.settings.params.limits.memory_mb) {
        let full =
            UserResponse::RetryLater { reason: "more work is open than can be held", after_s: RETRY_WHEN_JOBS_END_S };
        return respond_unless_accepted(service, &id, full).await;
    }
    let ticket = match admit_submission(service, &record.spec) {
        Ok(ticket) => ticket,
        // Refused at once, without a request to the store; a retry for a job that was accepted has to retry again.
        Err(refused) => {
            return UserResponse::RetryLater {
                reason: "too many jobs are submitted at once",
                after_s: refused.retry_after_s,
            };
        }
    };
    let response = write_acceptance(service, write_tracker, Arc::new(record), may_hold_old_jobs).await;
    drop(ticket);
    response
}

/// Whether the job's record, with the bytes that its end adds, stays within the store's size limit for a value.
fn fits_in_store(service: &UserService, record: &JobRecord) -> bool {
    record.json_bytes().saturating_add(ENDED_RECORD_EXTRA_BYTES) <= service.store.client.limits().max_value_bytes
}

/// A refusal by admission control.
struct AdmissionRefused {
    retry_after_s: u64,
}

/// Passes a submission through admission control.
fn admit_submission<'a>(service: &'a UserService, spec: &JobSpec) -> Result<AdmissionTicket<'a>, AdmissionRefused> {
    let mut admission = lock(&service.admission);
    let WriteDelay { wait, per_second } =
        service.store.client.estimate_write_delay(admission.waiting_count() as f64 + 1.0);
    admission
        .admit(spec, wait, per_second, rand::random(), Instant::now())
        .map_err(|retry_after_s| AdmissionRefused { retry_after_s })?;
    Ok(AdmissionTicket { service, spec: spec.clone() })
}

/// An admitted submission. It is released from admission control when dropped, however the request ends.
struct AdmissionTicket<'a> {
    service: &'a UserService,
    spec: JobSpec,
}

impl Drop for AdmissionTicket<'_> {
    fn drop(&mut self) {
        lock(&self.service.admission).release(&self.spec);
    }
}

/// Writes a job unless it exists, and responds to the user.
async fn write_acceptance(
    service: &UserService,
    write_tracker: &Arc<WriteTracker>,
    record: Arc<JobRecord>,
    may_hold_old_jobs: bool,
) -> UserResponse {
    let id = record.spec.id.clone();
    let acceptance = job_transactions::accept_job(&record, may_hold_old_jobs);
    for _ in 0..WRITE_ATTEMPTS {
        let tracked = write_tracker.track(JobWrite::Acceptance, &record);
        match service
            .store
            .client
            .compare_and_swap(&acceptance.conditions, &acceptance.changes, RequestPriority::Critical)
            .await
        {
            Ok(CompareAndSwapOutcome::Applied(_)) => {
                tracked.applied();
                service.audit.remember(AcknowledgedWrite::Accepted(record));
                let job = JobAnswer { id: id.to_string(), status: Status::Pending, done: 0, running: 0 };
                return UserResponse::Created(job);
            }
            Ok(CompareAndSwapOutcome::Failed(keys)) => {
                tracked.not_applied();
                return respond_after_conflict(service, &id, &keys).await;
            }
            Err(StoreError::Unavailable(TOO_MANY_REQUESTS)) => {
                tracked.not_applied();
                tokio::time::sleep(WRITE_RETRY_PAUSE).await;
            }
            Err(StoreError::TooLarge(_)) if !fits_in_store(service, &record) => {
                tracked.not_applied();
                return refuse_unless_accepted(service, &id, RequestError::JobTooLarge).await;
            }
            Err(error @ (StoreError::TooLarge(_) | StoreError::Unavailable(_))) => {
                tracked.not_applied();
                debug!(%error, job = %id, "job acceptance refused by the store");
                return UserResponse::retry_soon("the state service cannot be written");
            }
            outcome => {
                debug!(?outcome, job = %id, "job acceptance unanswered");
                return UserResponse::retry_soon("the state service cannot be written");
            }
        }
    }
    UserResponse::retry_soon("too many changes at once")
}
