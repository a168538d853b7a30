//! The users of a rehearsal: they submit jobs, ask about them and cancel them, and report every answer to the judge.

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

/// How long users wait for the answer to a submission.
const SUBMIT_WITHIN: Duration = Duration::from_secs(5);
/// How long users wait for the answer to any other request.
const ASK_WITHIN: Duration = Duration::from_secs(2);
/// Time until a request is retried.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Interval at which a user asks for the job's status.
const POLL: Duration = Duration::from_millis(1000);
/// Once no fault is active any more, each controller is asked about every job within this time.
pub(super) const ROUND: Duration = Duration::from_secs(5);
/// The most jobs that a round asks about; of more jobs, evenly chosen ones.
const MAX_QUERIES: usize = 2000;
/// Longest answer time that the histogram distinguishes, in milliseconds.
const LONGEST_MS: u64 = 120_000;
/// Significant decimal digits of answer times.
const DIGITS: u8 = 3;
/// A job that nobody submits; every controller must answer that it does not know it.
const NO_JOB: &str = "run-99999999";

fn is_final(status: Option<Status>) -> bool {
    matches!(status, Some(Status::Done | Status::Cancelled))
}

/// What all users share.
pub(super) struct Users {
    world: Arc<World>,
    /// Addresses of the controllers.
    addrs: Vec<String>,
    http: Http,
    accepted_ms: Mutex<Histogram<u64>>,
    /// Jobs that have yet to end, without those that are cancelled only at the end.
    active: Mutex<usize>,
    /// Jobs that are cancelled only at the end, as far as they have yet to end.
    lingering: Mutex<usize>,
    /// Whether the end has come.
    closing: AtomicBool,
    /// Factor by which users ask more often than usual.
    often: f64,
    accepted: Mutex<Vec<JobId>>,
    /// Controllers and the jobs that they have answered about since no fault is active.
    answered: Mutex<HashSet<(usize, JobId)>>,
    /// Jobs whose users were told a final status.
    over: Mutex<HashSet<JobId>>,
    rng: Mutex<ChaCha8Rng>,
}

impl Users {
    /// The users of these jobs. They ask `often` times as often as usual.
    pub(super) fn new(world: Arc<World>, addrs: Vec<String>, jobs: &[&PendingJob], often: f64, seed: u64) -> Self {
        let lingering = jobs.iter().filter(|job| job.lingers()).count();
        Self {
            world,
            addrs,
            http: Http::default(),
            accepted_ms: Mutex::new(Histogram::new(DIGITS).expect("three digits are allowed")),
            active: Mutex::new(jobs.len() - lingering),
            lingering: Mutex::new(lingering),
            closing: AtomicBool::new(false),
            often: often.max(1.0),
            accepted: Mutex::default(),
            answered: Mutex::default(),
            over: Mutex::default(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        }
    }

    /// Answer times of submissions in milliseconds, from the first attempt to the acceptance.
    pub(super) fn accepted_ms(&self) -> Histogram<u64> {
        lock(&self.accepted_ms).clone()
    }

    /// Number of jobs accepted so far.
    pub(super) fn accepted(&self) -> usize {
        lock(&self.accepted).len()
    }

    /// Whether all jobs have ended but for those that are cancelled only at the end.
    pub(super) fn all_ended(&self) -> bool {
        *lock(&self.active) == 0
    }

    /// Lets the remaining jobs be cancelled; whether they are.
    pub(super) fn close(&self) -> bool {
        self.closing.store(true, Ordering::Relaxed);
        *lock(&self.lingering) == 0
    }

    /// Forgets which controllers have answered about which jobs.
    pub(super) fn forget_answers(&self) {
        lock(&self.answered).clear();
    }

    /// Number of controllers.
    pub(super) fn controllers(&self) -> usize {
        self.addrs.len()
    }

    /// The address of a random controller.
    fn any(&self) -> String {
        self.addrs.choose(&mut *lock(&self.rng)).cloned().unwrap_or_default()
    }

    /// Sends a request, records the answer for the judge, and returns the status that it contains.
    async fn ask(&self, to: &str, job: &JobId, ask: RequestKind, body: Option<Vec<u8>>) -> Option<Status> {
        let (method, path, within) = match ask {
            RequestKind::Submit => (Method::POST, "/work".to_owned(), SUBMIT_WITHIN),
            RequestKind::Status => (Method::GET, format!("/work/{job}"), ASK_WITHIN),
            RequestKind::Cancel => (Method::POST, format!("/work/{job}/withdraw"), ASK_WITHIN),
        };
        let body = body.or_else(|| (ask == RequestKind::Cancel).then(Vec::new));
        let answer = self.http.call(method, to, &path, body, within).await;
        let (code, status) = match answer {
            Ok((code @ (200 | 201), body)) => (Some(code), protocol::decode::<JobAnswer>(&body).ok().map(|a| a.status)),
            Ok((code, _)) => (Some(code), None),
            Err(_) => (None, None),
        };
        self.world.record_event(Event::Answered { job: job.clone(), ask, code, status });
        if is_final(status) {
            lock(&self.over).insert(job.clone());
        }
        status
    }

    /// Asks any controller for the job's status.
    async fn poll(&self, job: &JobId) -> Option<Status> {
        tokio::time::sleep(POLL.div_f64(self.often)).await;
        self.ask(&self.any(), job, RequestKind::Status, None).await
    }

    /// A user, from the first attempt to submit a job until the job has ended.
    pub(super) async fn user(self: Arc<Self>, pending: PendingJob) {
        let (lingers, cancelled) = (pending.lingers(), pending.cancelled);
        let job = self.submit(pending.spec).await;
        while lingers && !self.closing.load(Ordering::Relaxed) {
            self.poll(&job).await;
        }
        if cancelled.is_some() || lingers {
            tokio::time::sleep(cancelled.unwrap_or_default()).await;
            self.cancel(&job).await;
        } else {
            while !is_final(self.poll(&job).await) {}
        }
        *lock(if lingers { &self.lingering } else { &self.active }) -= 1;
    }

    /// Submits a job until it is accepted.
    async fn submit(&self, spec: JobSpec) -> JobId {
        let (job, begun) = (spec.id.clone(), Instant::now());
        let body = protocol::encode(&spec);
        self.world.record_event(Event::Submitted(Arc::new(spec)));
        while self.ask(&self.any(), &job, RequestKind::Submit, Some(body.clone())).await.is_none() {
            tokio::time::sleep(RETRY_AFTER).await;
        }
        let took = u64::try_from(begun.elapsed().as_millis()).unwrap_or(LONGEST_MS);
        let _ = lock(&self.accepted_ms).record(took.clamp(1, LONGEST_MS));
        lock(&self.accepted).push(job.clone());
        job
    }

    /// Cancels a job through any controller, retrying until a final status is answered.
    async fn cancel(&self, job: &JobId) {
        self.world.record_event(Event::CancellationAsked(job.clone()));
        while !is_final(self.ask(&self.any(), job, RequestKind::Cancel, None).await) {
            tokio::time::sleep(RETRY_AFTER).await;
        }
    }

    /// This fraction of the users whose jobs are accepted and not over cancel them now, and continue to ask for the
    /// status. Returns their number.
    pub(super) fn cancel_share(self: &Arc<Self>, part: f64) -> usize {
        let jobs: Vec<JobId> = {
            let over = lock(&self.over);
            lock(&self.accepted).iter().filter(|job| !over.contains(*job)).cloned().collect()
        };
        let n = (jobs.len() as f64 * part).round() as usize;
        let drawn: Vec<JobId> = jobs.choose_multiple(&mut *lock(&self.rng), n).cloned().collect();
        for job in drawn {
            let users = self.clone();
            tokio::spawn(async move { users.cancel(&job).await });
        }
        n
    }

    /// Asks one controller about every job, round after round, spread over time.
    pub(super) async fn ask_repeatedly(self: Arc<Self>, controller: usize) {
        let Some(addr) = self.addrs.get(controller).cloned() else { return };
        loop {
            let jobs = self.asked_about(usize::MAX);
            let pause = ROUND.div_f64(self.often * jobs.len().max(1) as f64);
            for job in jobs {
                let (users, addr) = (self.clone(), addr.clone());
                tokio::spawn(async move {
                    if users.ask(&addr, &job, RequestKind::Status, None).await.is_some() {
                        lock(&users.answered).insert((controller, job));
                    }
                });
                tokio::time::sleep(pause).await;
            }
            tokio::time::sleep(STEP).await;
        }
    }

    /// Whether every controller has answered about each of the first jobs that is asked about.
    pub(super) fn all_answered(&self, first: usize) -> bool {
        let (jobs, answered) = (self.asked_about(first), lock(&self.answered));
        jobs.iter().all(|job| (0..self.addrs.len()).all(|n| answered.contains(&(n, job.clone()))))
    }

    /// The first jobs that were accepted, or evenly chosen ones of them.
    fn asked_about(&self, first: usize) -> Vec<JobId> {
        let jobs = lock(&self.accepted);
        let step = jobs.len().div_ceil(MAX_QUERIES).max(1);
        jobs.iter().take(first).step_by(step).cloned().collect()
    }

    /// Asks every controller once more about every job: a final status must not change.
    pub(super) async fn ask_all(&self, jobs: &[JobId]) {
        for job in jobs {
            for addr in &self.addrs {
                self.ask(addr, job, RequestKind::Status, None).await;
            }
        }
        self.ask(&self.any(), &NO_JOB.into(), RequestKind::Status, None).await;
    }
}
