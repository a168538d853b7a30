//! Plays a scenario: the world, controllers as processes, users, faults; and keeps what the judge
//! and the report need.

use std::collections::{HashSet, VecDeque};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use hollylanding_wire::jobs::{JobId, JobSpec, Shape};
use hollylanding_wire::users::{JobAnswer, Status};
use hollylanding_wire::{self as wire, Http};
use hyper::Method;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use crate::controllers::{ControllerError, Controllers};
use crate::driver::relay::Passing;
use crate::driver::{Link, World, lock};
use crate::judge::{Ask, Event, SILENT, Terms, Verdict, judge};
use crate::scenario::{Condition, Fault, Plan, Trigger, Verb, Who};
use crate::sizes::Sizes;
use crate::world::fleet::Upload;

const STEP: Duration = Duration::from_millis(50);
const SAMPLE: Duration = Duration::from_millis(500);
/// As the protocol has users: how long they wait for an answer, when they come again.
const SUBMIT_WITHIN: Duration = Duration::from_secs(5);
const ASK_WITHIN: Duration = Duration::from_secs(2);
const COME_AGAIN: Duration = Duration::from_secs(1);
const POLL: Duration = Duration::from_millis(1000);
/// Once nothing is wrong any more each job is asked about by each controller's users in this time; of more jobs than
/// that, evenly chosen ones.
const ROUND: Duration = Duration::from_secs(5);
const MOST_ASKED: usize = 2000;
/// A verb that did not do what was wanted is tried again for this long.
const VERB_FOR: Duration = Duration::from_secs(20);
/// Longest answer time that is told apart, in milliseconds.
const LONGEST_MS: u64 = 120_000;
const DIGITS: u8 = 3;

/// Counters of the world at one moment.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sample {
    /// Seconds since the world began.
    pub at_s: f64,
    /// Tasks on machines that have not ended.
    pub running: usize,
    /// Submitted tasks that are neither on a machine nor done.
    pub waiting: usize,
    /// Tasks with a result.
    pub done: usize,
    /// Machines that are booting.
    pub booting: usize,
    /// Machines that are up.
    pub up: usize,
    /// Spot machines that are up.
    pub spot: usize,
    /// Requests to the state service per second since the previous sample.
    pub store_requests: f64,
    /// Changes of keys per second since the previous sample.
    pub store_changes: f64,
    /// Requests to the cloud per second since the previous sample.
    pub cloud_calls: f64,
}

/// The results of a rehearsal.
pub struct Outcome {
    /// The judge's verdict.
    pub verdict: Verdict,
    /// Counters over time.
    pub samples: Vec<Sample>,
    /// Faults and what they affected, with their times in seconds.
    pub faults: Vec<(f64, String)>,
    /// Time from the first attempt to submit a job until its acceptance, in milliseconds.
    pub accepted_ms: Histogram<u64>,
    /// Number of jobs.
    pub jobs: usize,
    /// Number of times that a controller exited by itself.
    pub own_ends: usize,
    /// Time from the end of all faults until every controller had answered about every job accepted by then.
    pub settled: Option<Duration>,
    /// Operator commands that did not have the expected result.
    pub failed: Vec<String>,
    /// Requests that the state service refused for being beyond its limits.
    pub refused: u64,
    /// Cost of all machines.
    pub spent: f64,
    /// Duration of the rehearsal.
    pub seconds: f64,
}

/// What users share.
struct Desk {
    world: Arc<World>,
    addrs: Vec<String>,
    http: Http,
    accepted_ms: Mutex<Histogram<u64>>,
    left: Mutex<usize>,
    /// Jobs that are withdrawn only at the end, and whether that has come.
    lingering: Mutex<usize>,
    closing: AtomicBool,
    /// Times as often as usual that users ask.
    often: f64,
    accepted: Mutex<Vec<JobId>>,
    /// Who has answered about which job since all has been well.
    answered: Mutex<HashSet<(usize, JobId)>>,
    /// Jobs of which a user has heard that they are over.
    over: Mutex<HashSet<JobId>>,
    rng: Mutex<ChaCha8Rng>,
}

impl Desk {
    fn any(&self) -> String {
        self.addrs.choose(&mut *lock(&self.rng)).cloned().unwrap_or_default()
    }

    /// One request of a user, as the judge sees it, and when to come again.
    async fn ask(&self, to: &str, job: &JobId, ask: Ask, body: Option<Vec<u8>>) -> Option<Status> {
        let (method, path, within) = match ask {
            Ask::Submit => (Method::POST, "/work".to_owned(), SUBMIT_WITHIN),
            Ask::Status => (Method::GET, format!("/work/{job}"), ASK_WITHIN),
            Ask::Withdraw => (Method::POST, format!("/work/{job}/withdraw"), ASK_WITHIN),
        };
        let body = body.or_else(|| (ask == Ask::Withdraw).then(Vec::new));
        let answer = self.http.call(method, to, &path, body, within).await;
        let (code, status) = match answer {
            Ok((code @ (200 | 201), body)) => (Some(code), wire::decode::<JobAnswer>(&body).ok().map(|a| a.status)),
            Ok((code, _)) => (Some(code), None),
            Err(_) => (None, None),
        };
        self.world.note(Event::Answered { job: job.clone(), ask, code, status });
        if matches!(status, Some(Status::Done | Status::Withdrawn)) {
            lock(&self.over).insert(job.clone());
        }
        status
    }

    /// A user from the first attempt to submit until the job has ended.
    async fn user(self: Arc<Self>, spec: JobSpec, withdraw_after: Option<Duration>, lingers: bool) {
        let (job, begun) = (spec.id.clone(), Instant::now());
        let body = wire::encode(&spec);
        self.world.note(Event::Submitted(Arc::new(spec)));
        while self.ask(&self.any(), &job, Ask::Submit, Some(body.clone())).await.is_none() {
            tokio::time::sleep(COME_AGAIN).await;
        }
        let took = u64::try_from(begun.elapsed().as_millis()).unwrap_or(LONGEST_MS);
        let _ = lock(&self.accepted_ms).record(took.clamp(1, LONGEST_MS));
        lock(&self.accepted).push(job.clone());
        while lingers && !self.closing.load(Ordering::Relaxed) {
            tokio::time::sleep(POLL.div_f64(self.often)).await;
            self.ask(&self.any(), &job, Ask::Status, None).await;
        }
        if withdraw_after.is_some() || lingers {
            tokio::time::sleep(withdraw_after.unwrap_or_default()).await;
            self.withdraw(&job).await;
        } else {
            loop {
                tokio::time::sleep(POLL.div_f64(self.often)).await;
                if let Some(Status::Done | Status::Withdrawn) = self.ask(&self.any(), &job, Ask::Status, None).await {
                    break;
                }
            }
        }
        *lock(if lingers { &self.lingering } else { &self.left }) -= 1;
    }

    /// Through whichever controller each attempt comes to, until the job is called over.
    async fn withdraw(&self, job: &JobId) {
        self.world.note(Event::WithdrawalAsked(job.clone()));
        while !matches!(self.ask(&self.any(), job, Ask::Withdraw, None).await, Some(Status::Done | Status::Withdrawn)) {
            tokio::time::sleep(COME_AGAIN).await;
        }
    }

    /// This part of the users whose jobs are accepted and not over withdraw them now, while they go on asking.
    fn withdraw_share(self: &Arc<Self>, part: f64) -> usize {
        let jobs: Vec<JobId> = {
            let over = lock(&self.over);
            lock(&self.accepted).iter().filter(|job| !over.contains(*job)).cloned().collect()
        };
        let n = (jobs.len() as f64 * part).round() as usize;
        let drawn: Vec<JobId> = jobs.choose_multiple(&mut *lock(&self.rng), n).cloned().collect();
        for job in drawn {
            let desk = self.clone();
            tokio::spawn(async move { desk.withdraw(&job).await });
        }
        n
    }

    /// Asks one controller about every job, round after round, spread over time.
    async fn ask_on(self: Arc<Self>, controller: usize) {
        let Some(addr) = self.addrs.get(controller).cloned() else { return };
        loop {
            let jobs = self.asked_about(usize::MAX);
            let pause = ROUND.div_f64(self.often * jobs.len().max(1) as f64);
            for job in jobs {
                let (desk, addr) = (self.clone(), addr.clone());
                tokio::spawn(async move {
                    if desk.ask(&addr, &job, Ask::Status, None).await.is_some() {
                        lock(&desk.answered).insert((controller, job));
                    }
                });
                tokio::time::sleep(pause).await;
            }
            tokio::time::sleep(STEP).await;
        }
    }

    /// Whether every controller has answered about every one of the first so many jobs that is asked about.
    fn all_answered(&self, first: usize) -> bool {
        let (jobs, answered) = (self.asked_about(first), lock(&self.answered));
        jobs.iter().all(|job| (0..self.addrs.len()).all(|n| answered.contains(&(n, job.clone()))))
    }

    /// The first so many accepted jobs, or evenly chosen ones of them.
    fn asked_about(&self, first: usize) -> Vec<JobId> {
        let jobs = lock(&self.accepted);
        let step = jobs.len().div_ceil(MOST_ASKED).max(1);
        jobs.iter().take(first).step_by(step).cloned().collect()
    }

    /// Asks every controller once more about every job: an end stays an end.
    async fn ask_all(&self, jobs: &[JobId]) {
        for job in jobs {
            for addr in &self.addrs {
                self.ask(addr, job, Ask::Status, None).await;
            }
        }
        self.ask(&self.any(), &"run-99999999".into(), Ask::Status, None).await;
    }
}

struct Coming {
    at_s: f64,
    spec: JobSpec,
    run_s: f64,
    /// How long after its acceptance, if at all.
    withdrawn: Option<Duration>,
    broken: bool,
}

impl Coming {
    /// Never ends by itself: withdrawn at the end.
    fn lingers(&self) -> bool {
        self.withdrawn.is_none() && (self.broken || self.spec.shape == Shape::Service)
    }
}

fn jobs(sizes: &Sizes, rng: &mut ChaCha8Rng) -> VecDeque<Coming> {
    let mut all = Vec::new();
    for work in &sizes.work {
        for at in work.arrivals() {
            let withdrawn =
                rng.random_bool(work.withdrawn).then(|| Duration::from_secs_f64(rng.random_range(0.5..6.0)));
            all.push((at, work, withdrawn));
        }
    }
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    let job = |(n, (at, work, withdrawn)): (usize, (f64, &crate::sizes::Work, Option<Duration>))| {
        let spec = work.spec(&format!("run-{:06}", n + 1));
        Coming { at_s: at, spec, run_s: work.run_s * rng.random_range(0.7..1.3), withdrawn, broken: work.broken }
    };
    all.into_iter().enumerate().map(job).collect()
}

struct Play {
    world: Arc<World>,
    desk: Arc<Desk>,
    controllers: Controllers,
    rng: ChaCha8Rng,
    /// What is to be undone, and when.
    undo: Vec<(Instant, Undo)>,
    told: Vec<(f64, String)>,
    placed: usize,
    /// Time of day at the beginning.
    begun_ms: u64,
    /// Revision up to which it is known what was stored of what operators declare.
    seen: u64,
    /// Who led and who owned at the last look.
    led: [String; 2],
    folder: PathBuf,
    beside: PathBuf,
    /// Verbs that are being run, and what became of those that failed.
    verbs: JoinSet<Result<String, String>>,
    failed: Vec<String>,
}

enum Undo {
    Open(usize, Link),
    StoreBack,
    StoreQuick,
    CloudBack,
    Serve(usize),
    Well(Vec<String>),
    End(usize),
    StartTwice,
    /// It is over by itself.
    Over,
}

/// So long after the beginning, by an operator's time of day, in an offset in which the beginning is around noon.
fn times(text: &str, begun_s: u64) -> String {
    let offset_min = 720 - (begun_s / 60 % 1440) as i64;
    let mut out = text.replace("\"{offset}\"", &offset_min.to_string());
    while let Some(from) = out.find("{clock:") {
        let Some(to) = out[from..].find('}').map(|n| from + n) else { break };
        let later: u64 = out[from + 7..to].trim().parse().unwrap_or(0);
        let at = 12 * 3600 + begun_s % 60 + later;
        let clock = format!("{:02}:{:02}:{:02}", at / 3600 % 24, at / 60 % 60, at % 60);
        out.replace_range(from..=to, &clock);
    }
    out
}

impl Play {
    fn owner(&self) -> usize {
        let state = lock(&self.world.state);
        let owner = state.store.value("c/owner/0").and_then(|v| v["node"].as_str()).unwrap_or_default();
        owner.strip_prefix("node-").and_then(|n| n.parse().ok()).unwrap_or(0)
    }

    fn leads(&self) -> [String; 2] {
        let state = lock(&self.world.state);
        ["c/leader", "c/owner/0"].map(|key| state.store.value(key).map_or_else(String::new, |v| v.to_string()))
    }

    /// An operator's verb, tried again until it does what is wanted or its time is over.
    fn operate(&mut self, verb: &Verb) {
        let begun_s = self.begun_ms / 1000;
        let file = self.folder.join(format!("spec-{}.json", self.told.len()));
        if let Some(spec) = &verb.spec
            && let Err(error) = std::fs::write(&file, times(spec, begun_s))
        {
            return self.failed.push(format!("{}: {error}", file.display()));
        }
        let arg = |arg: &String| {
            let arg = times(arg, begun_s).replace("{spec}", &file.display().to_string());
            match arg.strip_prefix("{file:").and_then(|name| name.strip_suffix('}')) {
                Some(name) => self.beside.join(name).display().to_string(),
                None => arg,
            }
        };
        let args: Vec<String> = verb.args.iter().map(arg).collect();
        let (verb, until) = (verb.clone(), Instant::now() + VERB_FOR);
        let runs = self.controllers.verbs(args);
        self.verbs.spawn(async move {
            loop {
                let (exit, said) = runs().await;
                if exit == Some(verb.exit) && said.contains(&verb.says) {
                    return Ok(said);
                }
                if Instant::now() > until {
                    return Err(format!("{}: exit {exit:?}: {said}", verb.args.join(" ")));
                }
                tokio::time::sleep(COME_AGAIN).await;
            }
        });
    }

    /// Tells the judge what the controllers have stored of what operators declare.
    fn look_at_declared(&mut self) {
        let state = lock(&self.world.state);
        let Ok(told) = state.store.follow("c/t/", self.seen) else {
            self.seen = state.store.revision();
            return;
        };
        self.seen = told.revision;
        for event in told.log {
            let Some((kind, name)) = event.write.as_ref().and_then(|key| key.strip_prefix("c/t/")?.split_once('/'))
            else {
                continue;
            };
            let spec = state.store.value(&format!("c/s/{kind}/{name}")).cloned().unwrap_or_default();
            let (kind, name, status) = (kind.to_owned(), name.to_owned(), event.value.clone());
            self.world.note(Event::Declared { kind, name, spec, status });
        }
    }

    /// What became of verbs that have been run.
    fn verbs_done(&mut self) {
        while let Some(done) = self.verbs.try_join_next() {
            let at = self.world.now().as_secs_f64();
            match done.unwrap_or_else(|error| Err(error.to_string())) {
                Ok(said) => self.told.push((at, format!("an operator was told: {said}"))),
                Err(why) => self.failed.push(why),
            }
        }
    }

    fn these(&self, who: Who) -> Vec<usize> {
        match who {
            Who::All => (0..self.controllers.count()).collect(),
            Who::Owner => vec![self.owner()],
            Who::Number(n) => vec![n].into_iter().filter(|n| *n < self.controllers.count()).collect(),
        }
    }

    fn some_machines(&mut self, many: crate::scenario::Many) -> Vec<String> {
        let names: Vec<String> = self.world.with_fleet(|fleet, _| fleet.names().cloned().collect());
        let n = many.of(names.len());
        names.choose_multiple(&mut self.rng, n).cloned().collect()
    }

    fn holds(&self, condition: Condition) -> bool {
        match condition {
            Condition::HoldsResult => self.world.with_fleet(|fleet, _| fleet.holders().next().is_some()),
            Condition::JustPlaced => lock(&self.world.starts).len() > self.placed,
            Condition::AcknowledgedOnly => lock(&self.world.state).faults.lost > 0,
            // Somebody led, and now nobody or another does; or who leads does not own yet.
            Condition::Election => !self.led[0].is_empty() && self.leads() != self.led,
        }
    }

    fn later(&mut self, after: Duration, undo: Undo) {
        self.undo.push((Instant::now() + after, undo));
    }

    async fn undo_due(&mut self) {
        let now = Instant::now();
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.undo).into_iter().partition(|(at, _)| *at <= now);
        self.undo = rest;
        for (_, undo) in due {
            match undo {
                Undo::Open(of, link) => self.world.gate(of, link).set(Passing::Open),
                Undo::StoreBack => {
                    let mut state = lock(&self.world.state);
                    let now = state.now();
                    state.store.set_out(false, now);
                }
                Undo::StoreQuick => lock(&self.world.state).faults.slow = Duration::ZERO,
                Undo::CloudBack => lock(&self.world.cloud).set_out(false),
                Undo::Serve(of) => lock(&self.world.state).store.set_refused(&of.to_string(), false),
                Undo::Well(machines) => self.world.with_fleet(|fleet, _| {
                    machines.iter().for_each(|m| fleet.set_sick(m, false));
                }),
                Undo::StartTwice => self.start_twice(),
                Undo::Over => {}
                Undo::End(of) => self.controllers.end(of, Duration::from_secs(1)).await,
            }
        }
    }

    fn link(&mut self, of: usize, link: Link, passing: Passing, time: Duration) {
        self.world.gate(of, link).set(passing);
        self.later(time, Undo::Open(of, link));
    }

    /// All links to the other controllers, both ways.
    fn peers(&mut self, of: usize, passing: Passing, time: Duration) {
        for other in (0..self.controllers.count()).filter(|n| *n != of) {
            self.link(of, Link::Peer(other), passing, time);
            self.link(other, Link::Peer(of), passing, time);
        }
    }

    /// Tried again until something runs that another machine has room for.
    fn start_twice(&mut self) {
        if !self.world.with_fleet(|fleet, now| fleet.start_twice(now)) {
            self.later(STEP, Undo::StartTwice);
        }
    }

    fn on_machines(&mut self, fault: &Fault) {
        match fault {
            Fault::LoseMachines(many) => {
                for machine in self.some_machines(*many) {
                    self.world.kill(&machine);
                }
            }
            Fault::LoseZone(zone) => {
                let lost: Vec<String> = self.world.with_fleet(|fleet, _| fleet.in_zone(zone).cloned().collect());
                lost.iter().for_each(|machine| self.world.kill(machine));
            }
            Fault::LoseHolder => {
                let holder = self.world.with_fleet(|fleet, _| fleet.holders().next().cloned());
                if let Some(machine) = holder {
                    self.world.kill(&machine);
                }
            }
            Fault::TakeSpot(part) => {
                let events = lock(&self.world.cloud).take_spot(*part, self.world.now());
                for event in events {
                    if let crate::world::cloud::Event::Notice(machine, left) = event {
                        self.world.notice(&machine, left);
                    }
                }
            }
            Fault::Hang(many, time) => {
                let machines = self.some_machines(*many);
                self.world.with_fleet(|fleet, now| machines.iter().for_each(|m| fleet.hang(m, now + *time)));
                self.later(*time, Undo::Over);
            }
            Fault::Deaf(many, time) => {
                let machines = self.some_machines(*many);
                self.world.with_fleet(|fleet, now| machines.iter().for_each(|m| fleet.deafen(m, now + *time)));
                self.later(*time, Undo::Over);
            }
            Fault::LateCopies(many, from, to, time) => {
                let machines = self.some_machines(*many);
                self.world.with_fleet(|fleet, now| {
                    machines.iter().for_each(|m| fleet.copy_reports(m, now + *time, *from, *to));
                });
                self.later(*time + *to, Undo::Over);
            }
            Fault::Sick(many, time) => {
                let machines = self.some_machines(*many);
                self.world.with_fleet(|fleet, _| machines.iter().for_each(|m| fleet.set_sick(m, true)));
                self.later(*time, Undo::Well(machines));
            }
            Fault::Slow(many, by) => {
                let machines = self.some_machines(*many);
                self.world.with_fleet(|fleet, _| machines.iter().for_each(|m| fleet.set_speed(m, 1.0 / by)));
            }
            Fault::Drift(many, by) => {
                let machines = self.some_machines(*many);
                self.world.with_fleet(|fleet, _| machines.iter().for_each(|m| fleet.set_clock(m, *by)));
            }
            Fault::Boots(boots) => lock(&self.world.cloud).set_boots(*boots),
            Fault::StartTwice => self.start_twice(),
            _ => {}
        }
    }

    fn on_store(&mut self, fault: &Fault) {
        let world = self.world.clone();
        let mut state = lock(&world.state);
        let now = state.now();
        match fault {
            Fault::Outage(time) => {
                state.store.set_out(true, now);
                self.later(*time, Undo::StoreBack);
            }
            Fault::LoseWrites(n) => state.faults.lose += n,
            Fault::Vanish(prefix, n) => {
                let lost = state.store.vanish(prefix, *n);
                self.told.push((world.now().as_secs_f64(), format!("vanished: {}", lost.join(", "))));
            }
            Fault::Unanswered(n) => state.faults.unanswered += n,
            Fault::LateWrites(n, by) => state.faults.late = (*n, *by),
            Fault::DropLeases => state.store.drop_leases(),
            Fault::StallWatches(time) => state.faults.stalled_until = Some(Instant::now() + *time),
            Fault::SlowStore(by, time) => {
                state.faults.slow = *by;
                self.later(*time, Undo::StoreQuick);
            }
            Fault::ForgetLog => state.store.forget_log(),
            _ => {}
        }
    }

    async fn apply(&mut self, fault: &Fault) {
        self.told.push((self.world.now().as_secs_f64(), format!("{fault:?}")));
        match fault {
            Fault::Link(who, link, passing, time) => {
                for of in self.these(*who) {
                    self.link(of, *link, *passing, *time);
                }
            }
            Fault::Peers(who, passing, time) => {
                self.these(*who).into_iter().for_each(|of| self.peers(of, *passing, *time));
            }
            Fault::Lone(who, time) => {
                for of in self.these(*who) {
                    self.link(of, Link::Store, Passing::Held, *time);
                    self.peers(of, Passing::Held, *time);
                }
            }
            Fault::Refuse(who, time) => {
                for of in self.these(*who) {
                    lock(&self.world.state).store.set_refused(&of.to_string(), true);
                    self.later(*time, Undo::Serve(of));
                }
            }
            Fault::CloudOutage(time) => {
                lock(&self.world.cloud).set_out(true);
                self.later(*time, Undo::CloudBack);
            }
            Fault::End(who, again) => {
                for of in self.these(*who) {
                    self.controllers.end(of, *again).await;
                }
            }
            Fault::Pause(who, time) => {
                for of in self.these(*who) {
                    self.controllers.pause(of, *time);
                }
            }
            Fault::Roll(every) => {
                for of in 0..self.controllers.count() {
                    self.later(every.mul_f64(of as f64), Undo::End(of));
                }
            }
            Fault::Operator(verb) => self.operate(verb),
            Fault::WillWithdraw(job) => self.world.note(Event::WithdrawalAsked(job.clone())),
            Fault::WithdrawShare(part) => {
                let n = self.desk.withdraw_share(*part);
                self.told.push((self.world.now().as_secs_f64(), format!("{n} users withdraw their jobs")));
            }
            other => {
                self.on_machines(other);
                self.on_store(other);
            }
        }
    }

    fn sample(&self, before: &mut (u64, u64, u64), every: Duration, waiting: usize) -> Sample {
        let (booting, up, spot) = lock(&self.world.cloud).counts();
        let (requests, changes) = {
            let state = lock(&self.world.state);
            (state.requests, state.changes)
        };
        let calls = self.world.cloud_calls();
        let rate = |now: u64, then: u64| (now - then) as f64 / every.as_secs_f64();
        let (running, done) = self.world.with_fleet(|fleet, _| (fleet.live_all(), fleet.results().len()));
        let sample = Sample {
            at_s: self.world.now().as_secs_f64(),
            running,
            waiting: waiting.saturating_sub(running + done),
            done,
            booting,
            up,
            spot,
            store_requests: rate(requests, before.0),
            store_changes: rate(changes, before.1),
            cloud_calls: rate(calls, before.2),
        };
        *before = (requests, changes, calls);
        sample
    }
}

/// Plays a plan to its end, or until the sizes' seconds are over. `progress` hears of results in,
/// and of how many are expected.
pub async fn play(
    sizes: &Sizes,
    plan: &Plan,
    seed: u64,
    binary: PathBuf,
    folder: &Path,
    beside: &Path,
    progress: impl Fn(usize, usize),
) -> Result<Outcome, ControllerError> {
    let world = World::open(sizes.world(seed, true));
    let begun = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    let controllers = Controllers::start(&world, sizes, binary, folder).await?;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut coming = jobs(sizes, &mut rng);
    let (total, tasks) = (coming.len(), coming.iter().map(|c| c.spec.tasks as usize).sum::<usize>());
    let ids: Vec<JobId> = coming.iter().map(|c| c.spec.id.clone()).collect();
    let lingering = coming.iter().filter(|c| c.lingers()).count();
    let desk = Arc::new(Desk {
        world: world.clone(),
        addrs: controllers.for_users.clone(),
        http: Http::default(),
        accepted_ms: Mutex::new(Histogram::new(DIGITS).expect("three digits are allowed")),
        left: Mutex::new(total - lingering),
        lingering: Mutex::new(lingering),
        closing: AtomicBool::new(false),
        often: plan.often.max(1.0),
        accepted: Mutex::default(),
        answered: Mutex::default(),
        over: Mutex::default(),
        rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed ^ 1)),
    });
    let mut play = Play {
        world: world.clone(),
        desk: desk.clone(),
        controllers,
        rng,
        undo: vec![],
        told: vec![],
        placed: 0,
        begun_ms: begun.as_millis() as u64,
        seen: 0,
        led: Default::default(),
        folder: folder.to_owned(),
        beside: beside.to_owned(),
        verbs: JoinSet::new(),
        failed: vec![],
    };
    // Since when nothing is wrong any more, and until when all were answered by all.
    let (mut quiet, mut settled): (Option<Duration>, Option<Duration>) = (None, None);
    // Jobs accepted by then.
    let mut before = 0;
    let mut askers = JoinSet::new();
    let mut steps = plan.steps.clone();
    let (mut samples, mut sampled, mut counted) = (Vec::new(), Duration::ZERO, (0, 0, 0));
    let mut asked_for = 0;
    let limit = Duration::from_secs_f64(sizes.seconds);
    while world.now() < limit {
        let now = world.now();
        while coming.front().is_some_and(|c| c.at_s <= now.as_secs_f64()) {
            let Some(job) = coming.pop_front() else { break };
            asked_for += job.spec.tasks as usize;
            let (spec, run, lingers) = (job.spec.clone(), Duration::from_secs_f64(job.run_s), job.lingers());
            let run = if spec.shape == Shape::Service { Duration::ZERO } else { run };
            world.upload(Upload { spec, run, broken: job.broken });
            tokio::spawn(desk.clone().user(job.spec, job.withdrawn, lingers));
        }
        play.controllers.tick()?;
        play.undo_due().await;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut steps).into_iter().partition(|(trigger, _)| match trigger {
                Trigger::At(at) => *at <= now,
                Trigger::When(condition, from) => *from <= now && play.holds(*condition),
            });
        steps = rest;
        for (_, fault) in due {
            play.apply(&fault).await;
        }
        play.verbs_done();
        play.look_at_declared();
        (play.placed, play.led) = (lock(&world.starts).len(), play.leads());
        if now.saturating_sub(sampled) >= SAMPLE {
            let sample = play.sample(&mut counted, now - sampled, asked_for);
            progress(sample.done, tasks);
            samples.push(sample);
            sampled = now;
        }
        let timed = steps.iter().any(|(trigger, _)| matches!(trigger, Trigger::At(_)));
        if timed || !play.undo.is_empty() || !play.controllers.all_well() {
            (quiet, settled) = (None, None);
            askers.abort_all();
        } else if quiet.is_none() {
            (quiet, before) = (Some(now), lock(&desk.accepted).len());
            world.note(Event::Quiet);
            lock(&desk.answered).clear();
            askers = (0..desk.addrs.len()).map(|n| desk.clone().ask_on(n)).collect();
        }
        if quiet.is_some() && desk.all_answered(before) {
            settled = settled.or(Some(now));
        }
        // Longer than a job may stay unanswered there is nothing to wait for.
        let over = |q: Duration| {
            (now >= q + plan.quiet && desk.all_answered(usize::MAX))
                || now > q + plan.quiet.max(SILENT) + ROUND.mul_f64(3.0)
        };
        if *lock(&desk.left) == 0 && play.verbs.is_empty() && quiet.is_some_and(over) {
            desk.closing.store(true, Ordering::Relaxed);
            if *lock(&desk.lingering) == 0 {
                break;
            }
        }
        tokio::time::sleep(STEP).await;
    }
    askers.abort_all();
    if *lock(&desk.left) == 0 {
        desk.ask_all(&ids).await;
    }
    play.verbs_done();
    let (late, failed) = (play.verbs.len(), std::mem::take(&mut play.failed));
    let record = std::mem::take(&mut *lock(&world.record));
    let (refused, spent) = (lock(&world.state).refused, lock(&world.cloud).spent());
    let accepted_ms = lock(&desk.accepted_ms).clone();
    let terms = Terms { capacity: plan.capacity.clone(), begun_ms: play.begun_ms, ..sizes.terms() };
    Ok(Outcome {
        verdict: judge(&record, &terms),
        settled: quiet.zip(settled).map(|(quiet, settled)| settled.saturating_sub(quiet)),
        failed: failed.into_iter().chain((late > 0).then(|| format!("{late} verbs were not over"))).collect(),
        samples,
        faults: play.told,
        accepted_ms,
        jobs: total,
        own_ends: play.controllers.own_ends,
        refused,
        spent,
        seconds: world.now().as_secs_f64(),
    })
}

#[cfg(test)]
mod tests;
