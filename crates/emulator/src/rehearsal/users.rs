//! The users of a rehearsal: they submit jobs, poll their status and cancel them, and record every response for the
//! judge.

use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use hollylanding_protocol::jobs::{JobId, JobSpec};
use hollylanding_protocol::users::{JobAnswer, Status};
use hollylanding_protocol::{self as protocol, Http};
use hyper::Method;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::STEP;
use super::jobs::PendingJob;
use crate::driver::{World, lock};
use crate::judge::{Event, RequestKind};

/// Time for which users wait for the response to a submission.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which users wait for the response to any other request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a request is retried.
pub(super) const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Interval at which a user polls the job's status.
const POLL_INTERVAL: Duration = Duration::from_millis(1000);
/// Duration of a polling round: after all faults, each controller is polled for every job within this time.
pub(super) const ROUND: Duration = Duration::from_secs(5);
/// Maximum number of jobs that a round polls; if there are more, evenly chosen ones.
const MAX_POLLED_JOBS: usize = 2000;
/// Longest response time that the histogram distinguishes, in milliseconds.
const MAX_RECORDED_MS: u64 = 120_000;
/// Number of significant decimal digits of response times.
const SIGNIFICANT_DIGITS: u8 = 3;
/// The id of a job that is never submitted; every controller must answer that the job is unknown.
const UNKNOWN_JOB: &str = "run-99999999";

fn is_final(status: Option<Status>) -> bool {
    matches!(status, Some(Status::Done | Status::Cancelled))
}

/// The state that all users share.
pub(super) struct Users {
    world: Arc<World>,
    /// Addresses of the controllers.
    addrs: Vec<String>,
    http: Http,
    accepted_ms: Mutex<Histogram<u64>>,
    /// Number of jobs that have yet to end, except those that are cancelled only at the end of the rehearsal.
    active: Mutex<usize>,
    /// Number of jobs that are cancelled only at the end of the rehearsal and have yet to end.
    lingering: Mutex<usize>,
    /// Whether the jobs that never end by themselves are to be cancelled.
    closing: AtomicBool,
    /// Factor by which the rate of polls exceeds the default.
    poll_rate_factor: f64,
    accepted: Mutex<Vec<JobId>>,
    /// The pairs of controller and job for which a poll was answered in the present period without faults.
    answered: Mutex<HashSet<(usize, JobId)>>,
    /// Jobs for which a final status was reported.
    ended: Mutex<HashSet<JobId>>,
    rng: Mutex<ChaCha8Rng>,
}

impl Users {
    /// Creates the users of these jobs. They poll `poll_rate_factor` times as often as by default.
    pub(super) fn new(
        world: Arc<World>,
        addrs: Vec<String>,
        jobs: &[&PendingJob],
        poll_rate_factor: f64,
        seed: u64,
    ) -> Self {
        let lingering = jobs.iter().filter(|job| job.lingers()).count();
        Self {
            world,
            addrs,
            http: Http::default(),
            accepted_ms: Mutex::new(Histogram::new(SIGNIFICANT_DIGITS).expect("three digits are allowed")),
            active: Mutex::new(jobs.len() - lingering),
            lingering: Mutex::new(lingering),
            closing: AtomicBool::new(false),
            poll_rate_factor: poll_rate_factor.max(1.0),
            accepted: Mutex::default(),
            answered: Mutex::default(),
            ended: Mutex::default(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        }
    }

    /// The times from the first attempt to submit a job to its acceptance, in milliseconds.
    pub(super) fn accepted_ms(&self) -> Histogram<u64> {
        lock(&self.accepted_ms).clone()
    }

    /// Number of jobs accepted so far.
    pub(super) fn count_accepted(&self) -> usize {
        lock(&self.accepted).len()
    }

    /// Whether all jobs have ended, except those that are cancelled only at the end of the rehearsal.
    pub(super) fn all_ended(&self) -> bool {
        *lock(&self.active) == 0
    }

    /// Lets the users cancel the jobs that never end by themselves. Returns whether all of them have ended.
    pub(super) fn cancel_lingering(&self) -> bool {
        self.closing.store(true, Ordering::Relaxed);
        *lock(&self.lingering) == 0
    }

    /// Clears the record of answered polls.
    pub(super) fn clear_answered(&self) {
        lock(&self.answered).clear();
    }

    /// Number of controllers.
    pub(super) fn count_controllers(&self) -> usize {
        self.addrs.len()
    }

    /// The address of a random controller.
    fn random_addr(&self) -> String {
        self.addrs.choose(&mut *lock(&self.rng)).cloned().unwrap_or_default()
    }

    /// Sends a request, records the response for the judge, and returns the status that the response contains.
    async fn send(&self, to: &str, job: &JobId, kind: RequestKind, body: Option<Vec<u8>>) -> Option<Status> {
        let (method, path, timeout) = match kind {
            RequestKind::Submit => (Method::POST, "/work".to_owned(), SUBMIT_TIMEOUT),
            RequestKind::Status => (Method::GET, format!("/work/{job}"), REQUEST_TIMEOUT),
            RequestKind::Cancel => (Method::POST, format!("/work/{job}/withdraw"), REQUEST_TIMEOUT),
        };
        let body = body.or_else(|| (kind == RequestKind::Cancel).then(Vec::new));
        let answer = self.http.call(method, to, &path, body, timeout).await;
        let (code, status) = match answer {
            Ok((code @ (200 | 201), body)) => (Some(code), protocol::decode::<JobAnswer>(&body).ok().map(|a| a.status)),
            Ok((code, _)) => (Some(code), None),
            Err(_) => (None, None),
        };
        self.world.record_event(Event::Answered { job: job.clone(), ask: kind, code, status });
        if is_final(status) {
            lock(&self.ended).insert(job.clone());
        }
        status
    }

    /// Polls a random controller for the job's status, after the polling interval.
    async fn poll(&self, job: &JobId) -> Option<Status> {
        tokio::time::sleep(POLL_INTERVAL.div_f64(self.poll_rate_factor)).await;
        self.send(&self.random_addr(), job, RequestKind::Status, None).await
    }

    /// Runs a user from the first attempt to submit a job until the job has ended.
    pub(super) async fn run_user(self: Arc<Self>, pending: PendingJob) {
        let (lingers, cancelled_after) = (pending.lingers(), pending.cancelled_after);
        let job = self.submit(pending.spec).await;
        while lingers && !self.closing.load(Ordering::Relaxed) {
            self.poll(&job).await;
        }
        if cancelled_after.is_some() || lingers {
            tokio::time::sleep(cancelled_after.unwrap_or_default()).await;
            self.cancel(&job).await;
        } else {
            while !is_final(self.poll(&job).await) {}
        }
        *lock(if lingers { &self.lingering } else { &self.active }) -= 1;
    }

    /// Submits a job, with retries until it is accepted.
    async fn submit(&self, spec: JobSpec) -> JobId {
        let (job, started) = (spec.id.clone(), Instant::now());
        let body = protocol::encode(&spec);
        self.world.record_event(Event::Submitted(Arc::new(spec)));
        while self.send(&self.random_addr(), &job, RequestKind::Submit, Some(body.clone())).await.is_none() {
            tokio::time::sleep(RETRY_DELAY).await;
        }
        let elapsed_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(MAX_RECORDED_MS);
        let _ = lock(&self.accepted_ms).record(elapsed_ms.clamp(1, MAX_RECORDED_MS));
        lock(&self.accepted).push(job.clone());
        job
    }

    /// Cancels a job through a random controller, with retries until a final status is reported.
    async fn cancel(&self, job: &JobId) {
        self.world.record_event(Event::CancellationAsked(job.clone()));
        while !is_final(self.send(&self.random_addr(), job, RequestKind::Cancel, None).await) {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Cancels a random fraction of the jobs that are accepted and not ended; their users continue to poll. Returns the
    /// number of these jobs.
    pub(super) fn cancel_fraction(self: &Arc<Self>, fraction: f64) -> usize {
        let jobs: Vec<JobId> = {
            let ended = lock(&self.ended);
            lock(&self.accepted).iter().filter(|job| !ended.contains(*job)).cloned().collect()
        };
        let n = (jobs.len() as f64 * fraction).round() as usize;
        let drawn: Vec<JobId> = jobs.choose_multiple(&mut *lock(&self.rng), n).cloned().collect();
        for job in drawn {
            let users = self.clone();
            tokio::spawn(async move { users.cancel(&job).await });
        }
        n
    }

    /// Polls one controller for every job, round after round; the polls of a round are spread over its duration.
    pub(super) async fn poll_repeatedly(self: Arc<Self>, controller: usize) {
        let Some(addr) = self.addrs.get(controller).cloned() else { return };
        loop {
            let jobs = self.polled_jobs(usize::MAX);
            let pause = ROUND.div_f64(self.poll_rate_factor * jobs.len().max(1) as f64);
            for job in jobs {
                let (users, addr) = (self.clone(), addr.clone());
                tokio::spawn(async move {
                    if users.send(&addr, &job, RequestKind::Status, None).await.is_some() {
                        lock(&users.answered).insert((controller, job));
                    }
                });
                tokio::time::sleep(pause).await;
            }
            tokio::time::sleep(STEP).await;
        }
    }

    /// Whether every controller has answered a poll for each of the polled jobs among the first accepted ones.
    pub(super) fn all_answered(&self, first: usize) -> bool {
        let (jobs, answered) = (self.polled_jobs(first), lock(&self.answered));
        jobs.iter().all(|job| (0..self.addrs.len()).all(|n| answered.contains(&(n, job.clone()))))
    }

    /// The jobs to poll: the first accepted ones, or evenly chosen ones of these.
    fn polled_jobs(&self, first: usize) -> Vec<JobId> {
        let jobs = lock(&self.accepted);
        let step = jobs.len().div_ceil(MAX_POLLED_JOBS).max(1);
        jobs.iter().take(first).step_by(step).cloned().collect()
    }

    /// Polls every controller once more for every job, since a final status must not change, and a controller for an
    /// unknown job.
    pub(super) async fn poll_all(&self, jobs: &[JobId]) {
        for job in jobs {
            for addr in &self.addrs {
                self.send(addr, job, RequestKind::Status, None).await;
            }
        }
        self.send(&self.random_addr(), &UNKNOWN_JOB.into(), RequestKind::Status, None).await;
    }
}
