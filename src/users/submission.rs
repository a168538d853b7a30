//! Submissions: parsed, checked and written.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Deserialize;
use tracing::debug;

use super::feasibility::can_ever_run;
use super::follow_ups::{FollowUps, Write};
use super::lookup::{look_up, moved_on, open_tasks};
use super::reply::{COME_AGAIN_LATER_S, Refusal, Reply};
use super::service::UserService;
use crate::audit::Held;
use crate::history::job_transactions;
use crate::jobs::JobSpec;
use crate::jobs::limits::fits_in_memory;
use crate::jobs::record::{ENDED_EXTRA, JobRecord, time_of_day_ms};
use crate::protocol;
use crate::protocol::users::{JobAnswer, Status};
use crate::store::budget::RequestPriority;
use crate::store::{CompareAndSwapOutcome, StoreError};
use crate::sync::lock;

/// Tries at a write that the limits refused, before its user is told to come again.
const RETRIES: u32 = 2;
/// Between two of them.
const RETRY_PAUSE: Duration = Duration::from_millis(120);

/// Which job a submission speaks of, whatever else is wrong with it.
#[derive(Deserialize)]
struct Named {
    #[serde(rename = "uid")]
    id: String,
}

/// A submission that is refused for good, unless its job was accepted: that stays so, whoever accepted it and
/// whatever its repeat says.
async fn unless_accepted(service: &UserService, id: &str, refusal: Refusal) -> Reply {
    match look_up(service, id).await {
        Reply::Refused(Refusal::NoSuchJob) => Reply::Refused(refusal),
        other => other,
    }
}

/// A body that describes a job, whatever machines and teams there are.
fn parse(body: &[u8]) -> Result<JobSpec, Refusal> {
    let spec: JobSpec = protocol::decode_whole(body)?;
    spec.check()?;
    Ok(spec)
}

/// A job as its user sends it, for the first time or again.
pub(super) async fn submit(service: &UserService, follow_ups: &Arc<FollowUps>, body: &[u8]) -> Reply {
    let spec = match parse(body) {
        Ok(spec) => spec,
        Err(refusal) => {
            let Ok(named) = protocol::decode::<Named>(body) else { return Reply::Refused(refusal) };
            return unless_accepted(service, &named.id, refusal).await;
        }
    };
    if !service.store.watch_cache().is_ready() {
        return Reply::later("the state service has not been read yet");
    }
    let id = spec.id.clone();
    if open_tasks(service, &id).is_some() || service.history.ended(&id).is_some() {
        return look_up(service, &id).await;
    }
    let Some(catalog) = service.catalog.get() else {
        return Reply::later("the machine types are not known yet");
    };
    if let Err(impossible) = can_ever_run(&spec, &service.settings, &catalog) {
        return unless_accepted(service, &id, impossible.into()).await;
    }
    accept(service, follow_ups, spec).await
}

/// A job that could run is accepted, if there is room for one more and its turn has come.
async fn accept(service: &UserService, follow_ups: &Arc<FollowUps>, spec: JobSpec) -> Reply {
    let id = spec.id.clone();
    let (open, old_kept) = {
        let watch_cache = service.store.watch_cache();
        (watch_cache.open_work(), watch_cache.may_hold_old_jobs())
    };
    let record = JobRecord { spec, at_ms: time_of_day_ms() };
    if !can_be_kept(service, &record) {
        return unless_accepted(service, &id, Refusal::TooLarge).await;
    }
    if !fits_in_memory(&record.spec, open, service.settings.params.limits.memory_mb) {
        // A retry of a job that is already held must not be told so.
        return match look_up(service, &id).await {
            Reply::Refused(Refusal::NoSuchJob) => {
                Reply::Later { why: "more work is open than can be held", after_s: COME_AGAIN_LATER_S }
            }
            other => other,
        };
    }
    let admitted = match admit(service, &record.spec) {
        Ok(admitted) => admitted,
        // At once, without a question to the store; a retry of a job that is held is told later.
        Err(after_s) => return Reply::Later { why: "too many jobs are submitted at once", after_s },
    };
    let reply = write_acceptance(service, follow_ups, Arc::new(record), old_kept).await;
    drop(admitted);
    reply
}

/// Whether the store takes a value of this size, for ever.
fn can_be_kept(service: &UserService, record: &JobRecord) -> bool {
    let size = serde_json::to_vec(record).map_or(usize::MAX, |bytes| bytes.len().saturating_add(ENDED_EXTRA));
    size as f64 <= service.settings.params.state.value_kb * 1024.0
}

/// Whether the job's turn has come, or after how many seconds its user is to come again.
fn admit<'a>(service: &'a UserService, spec: &JobSpec) -> Result<Admitted<'a>, u64> {
    let mut admission = lock(&service.admission);
    let (wait, per_second) = service.store.client.wait_for_writes(admission.waiting() as f64 + 1.0);
    admission.admit(spec, wait, per_second, rand::random(), Instant::now())?;
    Ok(Admitted { service, spec: spec.clone() })
}

/// Leaves admission control whatever becomes of the request.
struct Admitted<'a> {
    service: &'a UserService,
    spec: JobSpec,
}

impl Drop for Admitted<'_> {
    fn drop(&mut self) {
        lock(&self.service.admission).leave(&self.spec);
    }
}

/// Writes a job where there is none, and tells its user.
async fn write_acceptance(
    service: &UserService,
    follow_ups: &Arc<FollowUps>,
    record: Arc<JobRecord>,
    old_kept: bool,
) -> Reply {
    let id = record.spec.id.clone();
    let accept = job_transactions::accept_job(&record, old_kept);
    for _ in 0..RETRIES {
        let sent = follow_ups.begin(Write::Acceptance, &record);
        match service
            .store
            .client
            .compare_and_swap(&accept.conditions, &accept.changes, RequestPriority::Critical)
            .await
        {
            Ok(CompareAndSwapOutcome::Applied(_)) => {
                sent.applied();
                service.audit.note(Held::Accepted(record));
                let job = JobAnswer { id: id.to_string(), status: Status::Pending, done: 0, running: 0 };
                return Reply::Job(201, job);
            }
            Ok(CompareAndSwapOutcome::Failed(keys)) => {
                sent.refused();
                return moved_on(service, &id, &keys).await;
            }
            Err(StoreError::Unavailable(429)) => {
                sent.refused();
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            Err(StoreError::Unavailable(status)) => {
                sent.refused();
                debug!(status, job = %id, "accepting");
                return Reply::later("the state service cannot be written");
            }
            outcome => {
                debug!(?outcome, job = %id, "accepting");
                return Reply::later("the state service cannot be written");
            }
        }
    }
    Reply::later("too many changes at once")
}
