//! Seeded interleavings of users, controllers and the store, with the real watch cache, query queue and transactions.
//!
//! Responses come late, get lost or overtake each other. Transactions are applied many steps later, or twice.
//! Controllers start, reload their watch cache and end between any two steps. The store may hold the data of an earlier
//! build, which two controllers may upgrade at once.
//!
//! The model records what each user was told and when, and checks every later answer against it.

use std::collections::{BTreeMap, HashMap, VecDeque};

use hollylanding_emulator::world::store::Store;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::history::job_transactions::{
    self, JobTransaction, end_changes, locate_job, never_accepted_conditions, not_ended_conditions,
};
use crate::history::query_queue::{JobQueryAnswer, NextBatch, QueryBatch, QueryQueue, ResolvedBatch};
use crate::jobs::record::{
    CACHED_PREFIX, CACHED_START_AFTER, ENDED_RECORD_EXTRA_BYTES, JobRecord, OLD_END_PREFIX, OLD_JOB_PREFIX,
    UPGRADED_KEY, ended_key, old_end_key, old_job_key, open_key,
};
use crate::jobs::tests::spec;
use crate::jobs::{End, JobId, JobSpec};
use crate::store::client::{KeyValuePage, WatchResponse};
use crate::store::watch_cache::{CacheReload, WatchCache};
use crate::store::{Change, Condition};

const JOB_COUNT: usize = 60;
const CONTROLLER_COUNT: usize = 3;
/// Number of keys in a page: few, so that other steps happen between two pages of a listing.
const PAGE_SIZE: usize = 6;

/// What a user is told about a job. A request that is answered with 503, or not at all, has no such answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UserAnswer {
    NeverAccepted,
    Open,
    Ended(End),
}

/// What a user's request is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Intent {
    Submit,
    Poll,
    Cancel,
}

/// A user's request that a controller is working on.
struct UserRequest {
    id: JobId,
    intent: Intent,
    started_step: u64,
    /// Set while the request waits for a proof of freshness: a watch response that was requested after this step.
    proof_after: Option<u64>,
}

/// A response of the store on its way to a controller.
enum StoreResponse {
    Watch { requested_step: u64, response: WatchResponse },
    Page { reload_number: u64, page: KeyValuePage },
    Compared { batch: QueryBatch<usize>, failed: Vec<String> },
    TransactionOutcome { request_id: usize, outcome: Result<u64, Vec<String>>, answer: UserAnswer },
    EndOutcome { id: JobId, outcome: Result<u64, Vec<String>> },
    EndsPage { keys: Vec<String> },
}

/// A controller's progress in upgrading an earlier build's data.
struct UpgradeProgress {
    /// Ids and versions of listed jobs that are still to be moved.
    jobs: VecDeque<(String, u64)>,
    /// Ids of listed ends that are still to be merged.
    ends: VecDeque<String>,
    last_job_key: String,
    last_end_key: String,
    more_jobs: bool,
    more_ends: bool,
}

/// One of the controllers, with its parts that are under test.
struct Controller {
    /// Changes with each restart: responses to an earlier incarnation are dropped.
    incarnation: u64,
    watch_cache: WatchCache,
    /// Queries, whose waiters are the numbers of users' requests.
    queries: QueryQueue<usize>,
    /// A reload of the watch cache that is in progress, with the last key read and the reload's number.
    reload: Option<(CacheReload, String, u64)>,
    upgrade: Option<UpgradeProgress>,
    page_requested: bool,
    watch_requested: bool,
    /// Number of the latest reload: pages of earlier ones are ignored.
    reload_count: u64,
}

impl Controller {
    fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            watch_cache: WatchCache::default(),
            queries: QueryQueue::new(3),
            reload: None,
            upgrade: None,
            page_requested: false,
            watch_requested: false,
            reload_count: 0,
        }
    }
}

/// The users, the controllers, the store and everything on its way between them.
struct World {
    rng: StdRng,
    step: u64,
    store: Store,
    controllers: Vec<Controller>,
    incarnation_count: u64,
    /// Responses to controllers: the step at which each arrives, its controller and that controller's incarnation.
    responses: Vec<(u64, usize, u64, StoreResponse)>,
    /// Transactions still to be applied: the step at which each is applied and where its response goes, if anywhere.
    transactions: Vec<(u64, JobTransaction, Option<ResponseTarget>)>,
    /// Users' requests by number, each with the index of its controller.
    requests: BTreeMap<usize, (usize, UserRequest)>,
    request_count: usize,
    submitted: HashMap<JobId, JobRecord>,
    /// Jobs that a user has cancelled, with the step of the first cancellation.
    cancelled: HashMap<JobId, u64>,
    /// What users were told about each job, and at which step.
    given_answers: Vec<(JobId, u64, UserAnswer)>,
    /// Number of users that were told never accepted, open, ended, and nothing.
    answer_counts: [usize; 4],
}

/// The index and the incarnation of the controller that a transaction's response goes to, and what it is for.
type ResponseTarget = (usize, u64, ResponsePurpose);

/// What the response to a transaction is for.
enum ResponsePurpose {
    Request(usize, UserAnswer),
    End(JobId),
}

fn id(n: usize) -> JobId {
    format!("run-{n:06}").into()
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            step: 0,
            store: Store::default(),
            controllers: (0..CONTROLLER_COUNT).map(|n| Controller::new(n as u64)).collect(),
            incarnation_count: CONTROLLER_COUNT as u64,
            responses: Vec::new(),
            transactions: Vec::new(),
            requests: BTreeMap::new(),
            request_count: 0,
            submitted: HashMap::new(),
            cancelled: HashMap::new(),
            given_answers: Vec::new(),
            answer_counts: [0; 4],
        };
        // Half of the seeds begin with data that an earlier build has stored, and with its answers to users.
        if seed.is_multiple_of(2) {
            world.store_earlier_build_data();
        }
        world
    }

    /// The record with which a job is submitted, the same one each time.
    fn record(&mut self, id: &JobId) -> JobRecord {
        let record = || JobRecord { spec: JobSpec { id: id.clone(), ..spec() }, accepted_ms: 1 };
        self.submitted.entry(id.clone()).or_insert_with(record).clone()
    }

    /// Stores open and ended jobs under the keys of an earlier build, and queues transactions of that build that are
    /// applied only later, among them an acceptance and a cancellation.
    fn store_earlier_build_data(&mut self) {
        for n in 0..6 {
            let id = id(n);
            let record = self.record(&id);
            let accept = JobTransaction {
                conditions: vec![Condition::absent(old_job_key(&id))],
                changes: vec![Change::write(old_job_key(&id), serde_json::to_value(record).unwrap())],
            };
            let end = |end: &str| JobTransaction {
                conditions: vec![Condition::absent(old_end_key(&id))],
                changes: vec![Change::write(old_end_key(&id), json!({"end": end, "at_ms": 3}))],
            };
            if n == 5 {
                // No user was told of this acceptance.
                let due = self.rng.random_range(0..300);
                self.transactions.push((due, accept, None));
                continue;
            }
            self.store.apply_if(&accept.conditions, &accept.changes).unwrap();
            self.given_answers.push((id.clone(), 0, UserAnswer::Open));
            // A second copy of the acceptance, which finds its key absent again if the job was upgraded before.
            let due = self.rng.random_range(0..300);
            self.transactions.push((due, accept, None));
            let late = end("withdrawn");
            match n {
                0 => drop(self.store.apply_if(&end("done").conditions, &end("done").changes)),
                1 => drop(self.store.apply_if(&late.conditions, &late.changes)),
                2 => self.transactions.push((self.rng.random_range(0..300), late, None)),
                _ => {}
            }
            if n == 1 || n == 2 {
                self.cancelled.insert(id, 0);
            }
        }
    }

    /// Draws the step at which a message arrives.
    fn draw_arrival_step(&mut self) -> u64 {
        let delayed = self.rng.random_bool(0.1);
        self.step + if delayed { self.rng.random_range(20..200) } else { self.rng.random_range(1..6) }
    }

    /// Sends a response of the store to a controller. Some responses never arrive.
    fn respond(&mut self, to: usize, response: StoreResponse) {
        let due = if self.rng.random_bool(0.03) { u64::MAX } else { self.draw_arrival_step() };
        let incarnation = self.controllers[to].incarnation;
        self.responses.push((due, to, incarnation, response));
    }

    /// Sends a transaction, and sometimes a copy of it that may be applied much later.
    fn send_transaction(&mut self, from: usize, transaction: JobTransaction, purpose: ResponsePurpose) {
        if self.rng.random_bool(0.25) {
            let due = self.step + self.rng.random_range(1..400);
            self.transactions.push((due, transaction.clone(), None));
        }
        let due = self.draw_arrival_step();
        self.transactions.push((due, transaction, Some((from, self.controllers[from].incarnation, purpose))));
    }

    /// Answers a user's request, and checks the answer against all that users were told before the request started.
    fn answer_user(&mut self, request_id: usize, answer: Option<UserAnswer>) {
        let Some((_, request)) = self.requests.remove(&request_id) else { return };
        let Some(answer) = answer else {
            self.answer_counts[3] += 1;
            return;
        };
        let earlier_answers =
            || self.given_answers.iter().filter(|(id, step, _)| *id == request.id && *step < request.started_step);
        let accepted = earlier_answers().any(|(.., t)| *t != UserAnswer::NeverAccepted);
        let ended = earlier_answers().find(|(.., t)| matches!(t, UserAnswer::Ended(_))).map(|(.., t)| *t);
        match answer {
            UserAnswer::NeverAccepted => {
                assert!(!accepted, "accepted job {} reported as never accepted at step {}", request.id, self.step)
            }
            UserAnswer::Open => {
                assert_eq!(ended, None, "ended job {} reported as open at step {}", request.id, self.step);
                assert!(
                    self.submitted.contains_key(&request.id),
                    "job {} reported as open was never submitted",
                    request.id
                );
            }
            UserAnswer::Ended(end) => {
                assert!(ended.is_none_or(|t| t == answer), "job {} reported as {end:?} after {ended:?}", request.id);
                let old_end_stored = self.store.has(&old_end_key(&request.id));
                assert!(
                    self.store.has(&ended_key(&request.id, end)) || old_end_stored,
                    "reported end is not in the store"
                );
                assert!(
                    end == End::Done || self.cancelled.contains_key(&request.id),
                    "job {} reported as cancelled, but no user cancelled it",
                    request.id
                );
            }
        }
        self.answer_counts[match answer {
            UserAnswer::NeverAccepted => 0,
            UserAnswer::Open => 1,
            UserAnswer::Ended(_) => 2,
        }] += 1;
        self.given_answers.push((request.id, self.step, answer));
    }

    /// Looks a job up as `users` does: among the ends in memory, in the watch cache once it is proven fresh, then in
    /// the store.
    fn look_up_job(&mut self, index: usize, request_id: usize, proven: bool) {
        let Some((_, request)) = self.requests.get_mut(&request_id) else { return };
        let (job, now) = (request.id.clone(), self.step);
        let controller = &mut self.controllers[index];
        if let Some(end) = controller.queries.known_end(&job) {
            return self.answer_user(request_id, Some(UserAnswer::Ended(end)));
        }
        if !controller.watch_cache.is_ready() {
            return self.answer_user(request_id, None);
        }
        if controller.watch_cache.open_job(&job).is_some() {
            if !proven {
                request.proof_after = Some(now);
                return;
            }
            return self.handle_open_job(index, request_id);
        }
        request.proof_after = None;
        let instant = std::time::Instant::now();
        if controller.queries.enqueue(&job, request_id, instant).is_err() {
            self.answer_user(request_id, None);
        }
    }

    /// Handles a request about a job that the watch cache or the store shows as open.
    fn handle_open_job(&mut self, index: usize, request_id: usize) {
        let Some((_, request)) = self.requests.get(&request_id) else { return };
        let (job, intent) = (request.id.clone(), request.intent);
        match self.controllers[index].watch_cache.open_job(&job).cloned() {
            Some(record) if intent == Intent::Cancel => {
                self.cancelled.entry(job).or_insert(self.step);
                self.send_transaction(
                    index,
                    job_transactions::cancel_job(&record, None, 9, usize::MAX),
                    ResponsePurpose::Request(request_id, UserAnswer::Ended(End::Cancelled)),
                );
            }
            None if intent == Intent::Cancel => self.answer_user(request_id, None),
            _ => self.answer_user(request_id, Some(UserAnswer::Open)),
        }
    }

    /// Starts a request of a random user about a random job.
    fn start_request(&mut self) {
        let n = self.rng.random_range(0..JOB_COUNT);
        let intent = match self.rng.random_range(0..10) {
            0..4 => Intent::Submit,
            4..9 => Intent::Poll,
            _ => Intent::Cancel,
        };
        // Some of the ids are never submitted.
        let job = if intent != Intent::Submit && self.rng.random_bool(0.1) { id(n + 100) } else { id(n) };
        let index = self.rng.random_range(0..CONTROLLER_COUNT);
        let request_id = self.request_count;
        self.request_count += 1;
        let request = UserRequest { id: job.clone(), intent, started_step: self.step, proof_after: None };
        self.requests.insert(request_id, (index, request));
        let controller = &mut self.controllers[index];
        let known = controller.watch_cache.open_job(&job).is_some() || controller.queries.known_end(&job).is_some();
        if intent == Intent::Submit && controller.watch_cache.is_ready() && !known {
            let old_jobs_kept = controller.watch_cache.may_hold_old_jobs();
            let record = self.record(&job);
            return self.send_transaction(
                index,
                job_transactions::accept_job(&record, old_jobs_kept),
                ResponsePurpose::Request(request_id, UserAnswer::Open),
            );
        }
        self.look_up_job(index, request_id, false);
    }

    /// A controller ends as leader a job that its watch cache shows as open. Any controller may do so, as several may
    /// believe that they lead.
    fn end_random_job(&mut self) {
        let index = self.rng.random_range(0..CONTROLLER_COUNT);
        let controller = &self.controllers[index];
        let mut open_jobs: Vec<_> = controller.watch_cache.open_jobs().map(|(id, r)| (id.clone(), r.clone())).collect();
        open_jobs.sort_by(|a, b| a.0.cmp(&b.0));
        if !controller.watch_cache.is_ready() || open_jobs.is_empty() {
            return;
        }
        let (job, record) = open_jobs.swap_remove(self.rng.random_range(0..open_jobs.len()));
        let end = JobTransaction {
            conditions: not_ended_conditions(&job).collect(),
            changes: end_changes(&record, End::Done, 9, usize::MAX).into(),
        };
        self.send_transaction(index, end, ResponsePurpose::End(job));
    }

    /// Applies a transaction to the store, and checks that each job it writes then has one key.
    fn apply_transaction(&mut self, transaction: &JobTransaction) -> Result<u64, Vec<String>> {
        let version =
            self.store.apply_if(&transaction.conditions, &transaction.changes).map_err(|refused| refused.failed)?;
        for change in &transaction.changes {
            let Change::Write { write, value, .. } = change else { continue };
            assert!(value.to_string().len() < 1024 + ENDED_RECORD_EXTRA_BYTES);
            let Some((job, location)) = locate_job(write) else { continue };
            let ends = [End::Done, End::Cancelled].map(|end| self.store.has(&ended_key(job, end)));
            let keys = usize::from(self.store.has(&open_key(job))) + ends.iter().filter(|has| **has).count();
            assert!(
                keys == 1 || (location == job_transactions::JobLocation::EarlierBuild && keys <= 1),
                "job {job} has {keys} keys"
            );
        }
        Ok(version)
    }

    /// Sends what a controller sends next: pages and the main watch one at a time, then a batch of queries.
    fn run_controller(&mut self, index: usize) {
        let now = self.step;
        if self.rng.random_bool(0.02) {
            // A page of an end sweep, whether or not a sweep was requested.
            let start_after = ended_key(&id(self.rng.random_range(0..JOB_COUNT)), End::Done);
            let keys = self.store.page("h/", &start_after, PAGE_SIZE).items.into_iter().map(|item| item.path).collect();
            self.respond(index, StoreResponse::EndsPage { keys });
        }
        if self.controllers[index].upgrade.is_some() {
            return self.run_upgrade_step(index);
        }
        let controller = &mut self.controllers[index];
        match controller.watch_cache.watch_revision() {
            Some(revision) if !controller.watch_requested => {
                controller.watch_requested = true;
                let response = self.store.watch(CACHED_PREFIX, revision).unwrap();
                self.respond(index, StoreResponse::Watch { requested_step: now, response });
            }
            Some(revision) if self.rng.random_bool(0.3) => {
                // A proof of freshness beside the watch; the two responses may arrive in either order.
                let response = self.store.watch(CACHED_PREFIX, revision).unwrap();
                self.respond(index, StoreResponse::Watch { requested_step: now, response });
            }
            None if controller.reload.is_none() => {
                controller.reload_count += 1;
                let reload = controller.watch_cache.begin_reload();
                controller.reload = Some((reload, CACHED_START_AFTER.to_owned(), controller.reload_count));
                controller.page_requested = false;
            }
            None if !controller.page_requested => {
                let Some((_, last_key, reload_number)) = &controller.reload else { return };
                let (last_key, reload_number) = (last_key.clone(), *reload_number);
                controller.page_requested = true;
                let page = self.store.page(CACHED_PREFIX, &last_key, PAGE_SIZE);
                self.respond(index, StoreResponse::Page { reload_number, page });
            }
            _ => {}
        }
        let NextBatch { due: batch, expired } = self.controllers[index].queries.next_batch(std::time::Instant::now());
        assert!(expired.is_empty());
        if !batch.is_empty() {
            let old_jobs_kept = self.controllers[index].watch_cache.may_hold_old_jobs();
            let conditions: Vec<_> = batch.ids().flat_map(|id| never_accepted_conditions(id, old_jobs_kept)).collect();
            let failed = self.store.failed_conditions(&conditions);
            self.respond(index, StoreResponse::Compared { batch, failed });
        }
    }

    /// One step of the upgrade of an earlier build's data: reads a page, moves a job or marks the store as upgraded.
    fn run_upgrade_step(&mut self, index: usize) {
        let Some(mut progress) = self.controllers[index].upgrade.take() else { return };
        if progress.jobs.is_empty() && progress.more_jobs {
            let page = self.store.page(OLD_JOB_PREFIX, &progress.last_job_key, PAGE_SIZE);
            progress.more_jobs = page.more && !page.items.is_empty();
            progress.last_job_key = page.items.last().map_or(progress.last_job_key, |i| i.path.clone());
            progress
                .jobs
                .extend(page.items.into_iter().map(|i| (i.path[OLD_JOB_PREFIX.len()..].to_owned(), i.version)));
        } else if progress.ends.is_empty() && progress.more_ends {
            let page = self.store.page(OLD_END_PREFIX, &progress.last_end_key, PAGE_SIZE);
            progress.more_ends = page.more && !page.items.is_empty();
            progress.last_end_key = page.items.last().map_or(progress.last_end_key, |i| i.path.clone());
            progress.ends.extend(page.items.into_iter().map(|i| i.path[OLD_END_PREFIX.len()..].to_owned()));
        } else if let Some((job, version)) = progress.jobs.front().cloned() {
            if progress.ends.front().is_some_and(|e| *e < job) {
                progress.ends.pop_front();
            } else {
                progress.jobs.pop_front();
                if progress.ends.front() != Some(&job) {
                    let record = self.submitted[&*job].clone();
                    let _ = self.apply_transaction(&job_transactions::adopt_job(&record, version));
                }
            }
        } else {
            let value = json!({"old_kept": true});
            let _ = self.store.apply_if(&[Condition::absent(UPGRADED_KEY)], &[Change::write(UPGRADED_KEY, value)]);
            return;
        }
        self.controllers[index].upgrade = Some(progress);
    }

    /// Handles a response of the store.
    fn handle_response(&mut self, index: usize, response: StoreResponse) {
        match response {
            StoreResponse::Watch { requested_step, response } => {
                let controller = &mut self.controllers[index];
                controller.watch_requested = false;
                if controller.watch_cache.apply_watch(&response).is_none() {
                    return;
                }
                let is_proven = |request: &UserRequest| request.proof_after.is_some_and(|after| after < requested_step);
                let request_ids: Vec<usize> = self
                    .requests
                    .iter()
                    .filter(|(_, (controller, request))| *controller == index && is_proven(request))
                    .map(|(n, _)| *n)
                    .collect();
                for request_id in request_ids {
                    self.look_up_job(index, request_id, true);
                }
            }
            StoreResponse::Page { reload_number, page } => {
                let controller = &mut self.controllers[index];
                controller.page_requested = false;
                let Some((mut reload, mut last_key, current)) = controller.reload.take() else { return };
                if current != reload_number {
                    controller.reload = Some((reload, last_key, current));
                    return;
                }
                controller.watch_cache.apply_page(&mut reload, &page);
                if page.more {
                    last_key = page.items.last().map_or(last_key, |i| i.path.clone());
                    controller.reload = Some((reload, last_key, current));
                } else if reload.store_is_upgraded() {
                    controller.watch_cache.finish_reload(reload);
                } else {
                    controller.upgrade = Some(UpgradeProgress {
                        jobs: VecDeque::new(),
                        ends: VecDeque::new(),
                        last_job_key: String::new(),
                        last_end_key: String::new(),
                        more_jobs: true,
                        more_ends: true,
                    });
                }
            }
            StoreResponse::Compared { batch, failed } => {
                let ResolvedBatch { answers, old_jobs } = self.controllers[index].queries.resolve(batch, &failed);
                for (request_id, answer) in answers {
                    match answer {
                        JobQueryAnswer::NeverAccepted => self.answer_user(request_id, Some(UserAnswer::NeverAccepted)),
                        JobQueryAnswer::Ended(end) => self.answer_user(request_id, Some(UserAnswer::Ended(end))),
                        JobQueryAnswer::Open => self.handle_open_job(index, request_id),
                        JobQueryAnswer::Unavailable => self.answer_user(request_id, None),
                    }
                }
                for (job, waiters) in old_jobs.into_queries() {
                    // These keys are read after the batch, and so may have changed since.
                    let end = self.store.value(&old_end_key(&job)).map(|v| v["end"] == "done");
                    let answer = match end {
                        Some(done) => Some(UserAnswer::Ended(if done { End::Done } else { End::Cancelled })),
                        None => {
                            let record = self.submitted[&job].clone();
                            let version = self.store.version(&old_job_key(&job));
                            let adopted = version > 0
                                && self.apply_transaction(&job_transactions::adopt_job(&record, version)).is_ok();
                            adopted.then_some(UserAnswer::Open)
                        }
                    };
                    if let Some(UserAnswer::Ended(end)) = answer {
                        self.controllers[index].queries.note_end(&job, end);
                    }
                    for request_id in waiters {
                        // The user of a cancellation has to retry if the job is open; any other user is told.
                        let cancels =
                            self.requests.get(&request_id).is_some_and(|(_, request)| request.intent == Intent::Cancel);
                        self.answer_user(request_id, answer.filter(|t| !cancels || *t != UserAnswer::Open));
                    }
                }
            }
            StoreResponse::TransactionOutcome { request_id, outcome, answer } => match outcome {
                Ok(_) => {
                    if let Some((_, request)) = self.requests.get(&request_id)
                        && let UserAnswer::Ended(end) = answer
                    {
                        self.controllers[index].queries.note_end(&request.id, end);
                    }
                    self.answer_user(request_id, Some(answer));
                }
                Err(keys) => {
                    let Some((_, request)) = self.requests.get(&request_id) else { return };
                    let job = request.id.clone();
                    if let Some(end) = job_transactions::find_end(&keys, &job) {
                        self.controllers[index].queries.note_end(&job, end);
                    }
                    self.look_up_job(index, request_id, false);
                }
            },
            StoreResponse::EndsPage { keys } => {
                for (id, location) in keys.iter().filter_map(|key| locate_job(key)) {
                    let job_transactions::JobLocation::Ended(end) = location else {
                        panic!("job {id} in a page of ends is not under an end's key")
                    };
                    self.controllers[index].queries.note_end(id, end);
                }
            }
            StoreResponse::EndOutcome { id, outcome } => {
                let end = match outcome {
                    Ok(_) => Some(End::Done),
                    Err(keys) => job_transactions::find_end(&keys, &id),
                };
                if let Some(end) = end {
                    self.controllers[index].queries.note_end(&id, end);
                }
            }
        }
    }

    /// Restarts a controller: it loses its memory, and its users get no answers.
    fn restart_controller(&mut self, index: usize) {
        self.incarnation_count += 1;
        self.controllers[index] = Controller::new(self.incarnation_count);
        self.requests.retain(|_, (controller, _)| *controller != index);
    }

    /// Runs the simulation up to step `steps`.
    fn simulate(&mut self, steps: u64) {
        while self.step < steps {
            self.step += 1;
            if self.rng.random_bool(0.5) {
                self.start_request();
            }
            if self.rng.random_bool(0.05) {
                self.end_random_job();
            }
            let index = self.rng.random_range(0..CONTROLLER_COUNT);
            if self.rng.random_bool(0.003) {
                self.restart_controller(index);
            } else if self.rng.random_bool(0.01) {
                // The watch has fallen too far behind and cannot be resumed.
                self.controllers[index].watch_cache.require_reload();
                self.controllers[index].reload = None;
            }
            for index in 0..CONTROLLER_COUNT {
                self.run_controller(index);
            }
            let (due, later) =
                std::mem::take(&mut self.transactions).into_iter().partition(|(due, ..)| *due <= self.step);
            self.transactions = later;
            for (_, transaction, purpose) in due {
                let outcome = self.apply_transaction(&transaction);
                let Some((to, incarnation, purpose)) = purpose else { continue };
                if self.controllers[to].incarnation != incarnation {
                    continue;
                }
                match purpose {
                    ResponsePurpose::Request(request_id, answer) => {
                        self.respond(to, StoreResponse::TransactionOutcome { request_id, outcome, answer })
                    }
                    ResponsePurpose::End(id) => self.respond(to, StoreResponse::EndOutcome { id, outcome }),
                }
            }
            let (due, later) = std::mem::take(&mut self.responses).into_iter().partition(|(due, ..)| *due <= self.step);
            self.responses = later;
            for (_, to, incarnation, response) in due {
                if self.controllers[to].incarnation == incarnation {
                    self.handle_response(to, response);
                }
            }
        }
    }
}

/// A user who was told of a job's acceptance or end must never be told less by a later answer of any controller.
#[test]
fn later_answers_never_contradict_earlier_ones() {
    let mut answer_counts = [0; 4];
    for seed in 0..200 {
        let mut world = World::new(seed);
        world.simulate(1200);
        for (sum, n) in answer_counts.iter_mut().zip(world.answer_counts) {
            *sum += n;
        }
    }
    let [never_accepted, open, ended, unanswered] = answer_counts;
    assert!(
        never_accepted > 10_000 && open > 10_000 && ended > 10_000,
        "too few answers: {never_accepted} never accepted, {open} open, {ended} ended, {unanswered} none"
    );
    assert!(unanswered < never_accepted + open + ended, "too many requests without an answer: {unanswered}");
}
