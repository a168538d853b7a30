//! Seeded interleavings of users, controllers and the store: the real watch cache, query queue and moves, with
//! answers that come late, get lost or overtake each other, transactions that are applied minutes
//! later or twice, controllers that start, read anew and end between any two steps, and a store
//! that an earlier build has left, with two controllers taking it over at once.
//!
//! The model knows what each user was told and when, and judges every later answer by it.

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

const JOBS: usize = 60;
const CONTROLLERS: usize = 3;
/// Keys of a page: few, so that something happens between two.
const PAGE: usize = 6;

/// What a user is told; nothing where the answer is 503 or does not come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    Never,
    Open,
    Ended(End),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Intent {
    Submit,
    Poll,
    Cancel,
}

/// A user's question on its way through a controller.
struct Question {
    id: JobId,
    intent: Intent,
    begun: u64,
    /// Waits for a proof that was asked for after this step.
    proof_after: Option<u64>,
}

/// An answer of the store on its way.
enum Answer {
    Watch { asked: u64, response: WatchResponse },
    Page { epoch: u64, page: KeyValuePage },
    Compared { batch: QueryBatch<usize>, failed: Vec<String> },
    Moved { question: usize, outcome: Result<u64, Vec<String>>, told: Told },
    Ended { id: JobId, outcome: Result<u64, Vec<String>> },
    Swept { names: Vec<String> },
}

/// What a controller does about an earlier build's jobs.
struct Upgrade {
    jobs: VecDeque<(String, u64)>,
    ends: VecDeque<String>,
    jobs_since: String,
    ends_since: String,
    jobs_more: bool,
    ends_more: bool,
}

struct Controller {
    life: u64,
    watch_cache: WatchCache,
    queries: QueryQueue<usize>,
    loading: Option<(CacheReload, String, u64)>,
    upgrade: Option<Upgrade>,
    asked_page: bool,
    asked_watch: bool,
    epochs: u64,
}

impl Controller {
    fn new(life: u64) -> Self {
        Self {
            life,
            watch_cache: WatchCache::default(),
            queries: QueryQueue::new(3),
            loading: None,
            upgrade: None,
            asked_page: false,
            asked_watch: false,
            epochs: 0,
        }
    }
}

struct World {
    rng: StdRng,
    step: u64,
    store: Store,
    controllers: Vec<Controller>,
    lives: u64,
    /// Answers to controllers, by when they come, to whom and to which of its lives.
    answers: Vec<(u64, usize, u64, Answer)>,
    /// Transactions still to be applied: who asked, and what it is then told.
    moves: Vec<(u64, JobTransaction, Option<Waits>)>,
    questions: BTreeMap<usize, (usize, Question)>,
    asked: usize,
    submitted: HashMap<JobId, JobRecord>,
    cancelled: HashMap<JobId, u64>,
    told: Vec<(JobId, u64, Told)>,
    tally: [usize; 4],
}

/// The controller that waits for an answer, in which of its lives, and what for.
type Waits = (usize, u64, Waiting);

/// What an answer to a transaction is for.
enum Waiting {
    Question(usize, Told),
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
            controllers: (0..CONTROLLERS).map(|n| Controller::new(n as u64)).collect(),
            lives: CONTROLLERS as u64,
            answers: Vec::new(),
            moves: Vec::new(),
            questions: BTreeMap::new(),
            asked: 0,
            submitted: HashMap::new(),
            cancelled: HashMap::new(),
            told: Vec::new(),
            tally: [0; 4],
        };
        // Half of the seeds begin with what an earlier build has stored and told.
        if seed.is_multiple_of(2) {
            world.earlier_build();
        }
        world
    }

    fn record(&mut self, id: &JobId) -> JobRecord {
        let record = || JobRecord { spec: JobSpec { id: id.clone(), ..spec() }, at_ms: 1 };
        self.submitted.entry(id.clone()).or_insert_with(record).clone()
    }

    /// Open and ended jobs in their old form, and an acceptance and a cancellation of that build
    /// that will be applied only later.
    fn earlier_build(&mut self) {
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
                // Nobody was told of this one.
                let due = self.rng.random_range(0..300);
                self.moves.push((due, accept, None));
                continue;
            }
            self.store.apply_if(&accept.conditions, &accept.changes).unwrap();
            self.told.push((id.clone(), 0, Told::Open));
            // A copy that finds its key free again once the job was taken over.
            let due = self.rng.random_range(0..300);
            self.moves.push((due, accept, None));
            let late = end("withdrawn");
            match n {
                0 => drop(self.store.apply_if(&end("done").conditions, &end("done").changes)),
                1 => drop(self.store.apply_if(&late.conditions, &late.changes)),
                2 => self.moves.push((self.rng.random_range(0..300), late, None)),
                _ => {}
            }
            if n == 1 || n == 2 {
                self.cancelled.insert(id, 0);
            }
        }
    }

    fn later(&mut self) -> u64 {
        let far = self.rng.random_bool(0.1);
        self.step + if far { self.rng.random_range(20..200) } else { self.rng.random_range(1..6) }
    }

    fn answer(&mut self, to: usize, answer: Answer) {
        // Some answers never come.
        let due = if self.rng.random_bool(0.03) { u64::MAX } else { self.later() };
        let life = self.controllers[to].life;
        self.answers.push((due, to, life, answer));
    }

    /// A transaction on its way, and at times a copy of it that is applied much later.
    fn send(&mut self, from: usize, sent: JobTransaction, waiting: Waiting) {
        if self.rng.random_bool(0.25) {
            let due = self.step + self.rng.random_range(1..400);
            self.moves.push((due, sent.clone(), None));
        }
        let due = self.later();
        self.moves.push((due, sent, Some((from, self.controllers[from].life, waiting))));
    }

    /// What a user hears, judged by all that anybody was told before it asked.
    fn tell(&mut self, question: usize, told: Option<Told>) {
        let Some((_, asked)) = self.questions.remove(&question) else { return };
        let Some(told) = told else {
            self.tally[3] += 1;
            return;
        };
        let before = || self.told.iter().filter(|(id, at, _)| *id == asked.id && *at < asked.begun);
        let accepted = before().any(|(.., t)| *t != Told::Never);
        let ended = before().find(|(.., t)| matches!(t, Told::Ended(_))).map(|(.., t)| *t);
        match told {
            Told::Never => assert!(!accepted, "forgotten: {} at {}", asked.id, self.step),
            Told::Open => {
                assert_eq!(ended, None, "went back: {} at {}", asked.id, self.step);
                assert!(self.submitted.contains_key(&asked.id), "invented: {}", asked.id);
            }
            Told::Ended(end) => {
                assert!(ended.is_none_or(|t| t == told), "two ends: {} {end:?} after {ended:?}", asked.id);
                let old = self.store.has(&old_end_key(&asked.id));
                assert!(self.store.has(&ended_key(&asked.id, end)) || old, "an end that is not stored");
                assert!(end == End::Done || self.cancelled.contains_key(&asked.id), "nobody withdrew {}", asked.id);
            }
        }
        self.tally[match told {
            Told::Never => 0,
            Told::Open => 1,
            Told::Ended(_) => 2,
        }] += 1;
        self.told.push((asked.id, self.step, told));
    }

    /// As `users` looks a job up: ends at hand, the watch cache once proven fresh, else the store.
    fn look_up(&mut self, at: usize, question: usize, proven: bool) {
        let Some((_, asked)) = self.questions.get_mut(&question) else { return };
        let (job, now) = (asked.id.clone(), self.step);
        let controller = &mut self.controllers[at];
        if let Some(end) = controller.queries.known_end(&job) {
            return self.tell(question, Some(Told::Ended(end)));
        }
        if !controller.watch_cache.is_ready() {
            return self.tell(question, None);
        }
        if controller.watch_cache.open_job(&job).is_some() {
            if !proven {
                asked.proof_after = Some(now);
                return;
            }
            return self.found_open(at, question);
        }
        asked.proof_after = None;
        let instant = std::time::Instant::now();
        if controller.queries.enqueue(&job, question, instant).is_err() {
            self.tell(question, None);
        }
    }

    fn found_open(&mut self, at: usize, question: usize) {
        let Some((_, asked)) = self.questions.get(&question) else { return };
        let (job, intent) = (asked.id.clone(), asked.intent);
        match self.controllers[at].watch_cache.open_job(&job).cloned() {
            Some(record) if intent == Intent::Cancel => {
                self.cancelled.entry(job).or_insert(self.step);
                self.send(
                    at,
                    job_transactions::cancel_job(&record, None, 9),
                    Waiting::Question(question, Told::Ended(End::Cancelled)),
                );
            }
            None if intent == Intent::Cancel => self.tell(question, None),
            _ => self.tell(question, Some(Told::Open)),
        }
    }

    fn ask(&mut self) {
        let n = self.rng.random_range(0..JOBS);
        let intent = match self.rng.random_range(0..10) {
            0..4 => Intent::Submit,
            4..9 => Intent::Poll,
            _ => Intent::Cancel,
        };
        // A few ids that nobody ever submits.
        let job = if intent != Intent::Submit && self.rng.random_bool(0.1) { id(n + 100) } else { id(n) };
        let at = self.rng.random_range(0..CONTROLLERS);
        let question = self.asked;
        self.asked += 1;
        let asked = Question { id: job.clone(), intent, begun: self.step, proof_after: None };
        self.questions.insert(question, (at, asked));
        let controller = &mut self.controllers[at];
        let known = controller.watch_cache.open_job(&job).is_some() || controller.queries.known_end(&job).is_some();
        if intent == Intent::Submit && controller.watch_cache.is_ready() && !known {
            let old_kept = controller.watch_cache.may_hold_old_jobs();
            let record = self.record(&job);
            return self.send(
                at,
                job_transactions::accept_job(&record, old_kept),
                Waiting::Question(question, Told::Open),
            );
        }
        self.look_up(at, question, false);
    }

    /// The leader ends a job that it knows to be open; more than one may believe to lead.
    fn end(&mut self) {
        let at = self.rng.random_range(0..CONTROLLERS);
        let controller = &self.controllers[at];
        let mut open: Vec<_> = controller.watch_cache.open_jobs().map(|(id, r)| (id.clone(), r.clone())).collect();
        open.sort_by(|a, b| a.0.cmp(&b.0));
        if !controller.watch_cache.is_ready() || open.is_empty() {
            return;
        }
        let (job, record) = open.swap_remove(self.rng.random_range(0..open.len()));
        let end = JobTransaction {
            conditions: not_ended_conditions(&job).collect(),
            changes: end_changes(&record, End::Done, 9).into(),
        };
        self.send(at, end, Waiting::End(job));
    }

    fn apply(&mut self, sent: &JobTransaction) -> Result<u64, Vec<String>> {
        let version = self.store.apply_if(&sent.conditions, &sent.changes).map_err(|refused| refused.failed)?;
        for change in &sent.changes {
            let Change::Write { write, value, .. } = change else { continue };
            assert!(value.to_string().len() < 1024 + ENDED_RECORD_EXTRA_BYTES);
            let Some((job, place)) = locate_job(write) else { continue };
            let ends = [End::Done, End::Cancelled].map(|end| self.store.has(&ended_key(job, end)));
            let keys = usize::from(self.store.has(&open_key(job))) + ends.iter().filter(|has| **has).count();
            assert!(
                keys == 1 || (place == job_transactions::JobLocation::EarlierBuild && keys <= 1),
                "{job} has {keys} keys"
            );
        }
        Ok(version)
    }

    /// One thing that a controller does next, if nothing that it waits for is on its way.
    fn act(&mut self, at: usize) {
        let now = self.step;
        if self.rng.random_bool(0.02) {
            // Whether it is wanted or not: a page of ends, read beside everything else.
            let since = ended_key(&id(self.rng.random_range(0..JOBS)), End::Done);
            let names = self.store.page("h/", &since, PAGE).items.into_iter().map(|item| item.path).collect();
            self.answer(at, Answer::Swept { names });
        }
        if self.controllers[at].upgrade.is_some() {
            return self.upgrade(at);
        }
        let controller = &mut self.controllers[at];
        match controller.watch_cache.watch_revision() {
            Some(revision) if !controller.asked_watch => {
                controller.asked_watch = true;
                let response = self.store.watch(CACHED_PREFIX, revision).unwrap();
                self.answer(at, Answer::Watch { asked: now, response });
            }
            Some(revision) if self.rng.random_bool(0.3) => {
                // A proof of freshness beside the watch; the two may answer in either order.
                let response = self.store.watch(CACHED_PREFIX, revision).unwrap();
                self.answer(at, Answer::Watch { asked: now, response });
            }
            None if controller.loading.is_none() => {
                controller.epochs += 1;
                let loading = controller.watch_cache.begin_reload();
                controller.loading = Some((loading, CACHED_START_AFTER.to_owned(), controller.epochs));
                controller.asked_page = false;
            }
            None if !controller.asked_page => {
                let Some((_, since, epoch)) = &controller.loading else { return };
                let (since, epoch) = (since.clone(), *epoch);
                controller.asked_page = true;
                let page = self.store.page(CACHED_PREFIX, &since, PAGE);
                self.answer(at, Answer::Page { epoch, page });
            }
            _ => {}
        }
        let NextBatch { due: batch, expired: stale } =
            self.controllers[at].queries.next_batch(std::time::Instant::now());
        assert!(stale.is_empty());
        if !batch.is_empty() {
            let old_kept = self.controllers[at].watch_cache.may_hold_old_jobs();
            let conditions: Vec<_> = batch.ids().flat_map(|id| never_accepted_conditions(id, old_kept)).collect();
            let failed = self.store.compare(&conditions);
            self.answer(at, Answer::Compared { batch, failed });
        }
    }

    /// One step of taking over what an earlier build has left: a page, or one job.
    fn upgrade(&mut self, at: usize) {
        let Some(mut up) = self.controllers[at].upgrade.take() else { return };
        if up.jobs.is_empty() && up.jobs_more {
            let page = self.store.page(OLD_JOB_PREFIX, &up.jobs_since, PAGE);
            up.jobs_more = page.more && !page.items.is_empty();
            up.jobs_since = page.items.last().map_or(up.jobs_since, |i| i.path.clone());
            up.jobs.extend(page.items.into_iter().map(|i| (i.path[OLD_JOB_PREFIX.len()..].to_owned(), i.version)));
        } else if up.ends.is_empty() && up.ends_more {
            let page = self.store.page(OLD_END_PREFIX, &up.ends_since, PAGE);
            up.ends_more = page.more && !page.items.is_empty();
            up.ends_since = page.items.last().map_or(up.ends_since, |i| i.path.clone());
            up.ends.extend(page.items.into_iter().map(|i| i.path[OLD_END_PREFIX.len()..].to_owned()));
        } else if let Some((job, version)) = up.jobs.front().cloned() {
            if up.ends.front().is_some_and(|e| *e < job) {
                up.ends.pop_front();
            } else {
                up.jobs.pop_front();
                if up.ends.front() != Some(&job) {
                    let record = self.submitted[&*job].clone();
                    let _ = self.apply(&job_transactions::adopt_job(&record, version));
                }
            }
        } else {
            let value = json!({"old_kept": true});
            let _ = self.store.apply_if(&[Condition::absent(UPGRADED_KEY)], &[Change::write(UPGRADED_KEY, value)]);
            return;
        }
        self.controllers[at].upgrade = Some(up);
    }

    fn take(&mut self, at: usize, answer: Answer) {
        match answer {
            Answer::Watch { asked, response } => {
                let controller = &mut self.controllers[at];
                controller.asked_watch = false;
                if controller.watch_cache.apply_watch(&response).is_none() {
                    return;
                }
                let waits = |q: &Question| q.proof_after.is_some_and(|after| after < asked);
                let served: Vec<usize> =
                    self.questions.iter().filter(|(_, (c, q))| *c == at && waits(q)).map(|(n, _)| *n).collect();
                for question in served {
                    self.look_up(at, question, true);
                }
            }
            Answer::Page { epoch, page } => {
                let controller = &mut self.controllers[at];
                controller.asked_page = false;
                let Some((mut loading, mut since, of)) = controller.loading.take() else { return };
                if of != epoch {
                    controller.loading = Some((loading, since, of));
                    return;
                }
                controller.watch_cache.apply_page(&mut loading, &page);
                if page.more {
                    since = page.items.last().map_or(since, |i| i.path.clone());
                    controller.loading = Some((loading, since, of));
                } else if loading.store_is_upgraded() {
                    controller.watch_cache.finish_reload(loading);
                } else {
                    controller.upgrade = Some(Upgrade {
                        jobs: VecDeque::new(),
                        ends: VecDeque::new(),
                        jobs_since: String::new(),
                        ends_since: String::new(),
                        jobs_more: true,
                        ends_more: true,
                    });
                }
            }
            Answer::Compared { batch, failed } => {
                let ResolvedBatch { answers, old_jobs: old } = self.controllers[at].queries.resolve(batch, &failed);
                for (question, verdict) in answers {
                    match verdict {
                        JobQueryAnswer::NeverAccepted => self.tell(question, Some(Told::Never)),
                        JobQueryAnswer::Ended(end) => self.tell(question, Some(Told::Ended(end))),
                        JobQueryAnswer::Open => self.found_open(at, question),
                        JobQueryAnswer::Unavailable => self.tell(question, None),
                    }
                }
                for (job, waiters) in old.into_queries() {
                    // Looked at at a moment of its own.
                    let end = self.store.value(&old_end_key(&job)).map(|v| v["end"] == "done");
                    let told = match end {
                        Some(done) => Some(Told::Ended(if done { End::Done } else { End::Cancelled })),
                        None => {
                            let record = self.submitted[&job].clone();
                            let version = self.store.version(&old_job_key(&job));
                            let adopted =
                                version > 0 && self.apply(&job_transactions::adopt_job(&record, version)).is_ok();
                            adopted.then_some(Told::Open)
                        }
                    };
                    if let Some(Told::Ended(end)) = told {
                        self.controllers[at].queries.note_end(&job, end);
                    }
                    for question in waiters {
                        // A cancellation is asked for again; anything else is told.
                        let cancels = self.questions.get(&question).is_some_and(|(_, q)| q.intent == Intent::Cancel);
                        self.tell(question, told.filter(|t| !cancels || *t != Told::Open));
                    }
                }
            }
            Answer::Moved { question, outcome, told } => match outcome {
                Ok(_) => {
                    if let Some((_, asked)) = self.questions.get(&question)
                        && let Told::Ended(end) = told
                    {
                        self.controllers[at].queries.note_end(&asked.id, end);
                    }
                    self.tell(question, Some(told));
                }
                Err(keys) => {
                    let Some((_, asked)) = self.questions.get(&question) else { return };
                    let job = asked.id.clone();
                    if let Some(end) = job_transactions::find_end(&keys, &job) {
                        self.controllers[at].queries.note_end(&job, end);
                    }
                    self.look_up(at, question, false);
                }
            },
            Answer::Swept { names } => {
                for (id, place) in names.iter().filter_map(|name| locate_job(name)) {
                    let job_transactions::JobLocation::Ended(end) = place else {
                        panic!("{id} is not under an end's key")
                    };
                    self.controllers[at].queries.note_end(id, end);
                }
            }
            Answer::Ended { id, outcome } => {
                let end = match outcome {
                    Ok(_) => Some(End::Done),
                    Err(keys) => job_transactions::find_end(&keys, &id),
                };
                if let Some(end) = end {
                    self.controllers[at].queries.note_end(&id, end);
                }
            }
        }
    }

    fn restart(&mut self, at: usize) {
        self.lives += 1;
        self.controllers[at] = Controller::new(self.lives);
        self.questions.retain(|_, (c, _)| *c != at);
    }

    fn simulate(&mut self, steps: u64) {
        while self.step < steps {
            self.step += 1;
            if self.rng.random_bool(0.5) {
                self.ask();
            }
            if self.rng.random_bool(0.05) {
                self.end();
            }
            let at = self.rng.random_range(0..CONTROLLERS);
            if self.rng.random_bool(0.003) {
                self.restart(at);
            } else if self.rng.random_bool(0.01) {
                // Too far behind to follow.
                self.controllers[at].watch_cache.require_reload();
                self.controllers[at].loading = None;
            }
            for at in 0..CONTROLLERS {
                self.act(at);
            }
            let (due, later) = std::mem::take(&mut self.moves).into_iter().partition(|(at, ..)| *at <= self.step);
            self.moves = later;
            for (_, sent, waiting) in due {
                let outcome = self.apply(&sent);
                let Some((to, life, waiting)) = waiting else { continue };
                if self.controllers[to].life != life {
                    continue;
                }
                match waiting {
                    Waiting::Question(question, told) => self.answer(to, Answer::Moved { question, outcome, told }),
                    Waiting::End(id) => self.answer(to, Answer::Ended { id, outcome }),
                }
            }
            let (due, later) = std::mem::take(&mut self.answers).into_iter().partition(|(at, ..)| *at <= self.step);
            self.answers = later;
            for (_, to, life, answer) in due {
                if self.controllers[to].life == life {
                    self.take(to, answer);
                }
            }
        }
    }
}

#[test]
fn nobody_is_told_less_than_before() {
    let mut tally = [0; 4];
    for seed in 0..200 {
        let mut world = World::new(seed);
        world.simulate(1200);
        for (sum, n) in tally.iter_mut().zip(world.tally) {
            *sum += n;
        }
    }
    let [never, open, ended, nothing] = tally;
    assert!(never > 10_000 && open > 10_000 && ended > 10_000, "hardly asked: {never} {open} {ended} {nothing}");
    assert!(nothing < never + open + ended, "hardly answered: {nothing} of them not");
}
