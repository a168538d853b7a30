//! The workers: sessions, leases, tokens, images, tasks that run, save and end, and gangs.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use hollylanding_wire::cloud::MachineType;
use hollylanding_wire::jobs::{JobId, JobSpec};
use hollylanding_wire::workers::{Cause, Leg, LegStatus, Order, Orders, Report, TaskKey};

/// A worker ignores an answer that arrives later than this after its report.
pub const ANSWER_TAKEN: Duration = Duration::from_secs(4);
/// Gigabytes of images kept where a type says nothing.
const CACHE_GB: f64 = 100.0;
/// Copies of reports on their way at the most; no more are made then.
const MOST_COPIES: usize = 20_000;

/// Timeouts of the workers.
#[derive(Debug, Clone, Copy)]
pub struct Params {
    /// A worker ends its session and its tasks if no report was answered for this long.
    pub lease: Duration,
    /// How long a member of a gang waits for the others before it gives up.
    pub gang_wait: Duration,
    /// How long the members of a gang take to notice that one is missing.
    pub gang_peer: Duration,
}

/// A job as its user uploaded it for the workers: its description, and what only running it shows.
#[derive(Debug, Clone)]
pub struct Upload {
    /// The job's description.
    pub spec: JobSpec,
    /// Real run time of a task on a machine of ordinary speed; zero for services, which do not end.
    pub run: Duration,
    /// Whether the job is faulty: its tasks fail on every machine.
    pub broken: bool,
}

#[derive(Debug, Clone, PartialEq)]
enum Doing {
    Fetching,
    /// Of a gang, waiting for the others since then.
    Gathering(Duration),
    Running,
    /// Told to stop, and saved by then.
    Saving(Duration),
    Ended(Cause, bool),
}

#[derive(Debug)]
struct Task {
    key: TaskKey,
    attempt: u64,
    job: Arc<Upload>,
    doing: Doing,
    /// Run time done so far, what was saved before included.
    progress: Duration,
}

impl Task {
    fn live(&self) -> bool {
        !matches!(self.doing, Doing::Ended(..))
    }

    fn holds(&self, key: &TaskKey, attempt: u64) -> bool {
        self.key == *key && self.attempt == attempt
    }
}

/// A machine as its worker sees it.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Address (`host:port`) at which its worker listens.
    pub addr: String,
    /// The machine's type.
    pub of: MachineType,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Its speed; 1 for a machine of ordinary speed.
    pub speed: f64,
}

#[derive(Debug)]
struct Worker {
    machine: Machine,
    session: u64,
    seq: u64,
    token: u64,
    /// When the last answered report was sent, or the session began.
    renewed: Duration,
    recall: Option<Duration>,
    tasks: Vec<Task>,
    /// Starts refused since there is no such job or task, until they are reaped.
    unknown: BTreeSet<(TaskKey, u64)>,
    /// Images held, the most recently used last, and what is left to fetch of each.
    images: VecDeque<(String, f64, f64)>,
    hangs_until: Duration,
    /// Hears neither answers nor commands until then, though its own reports arrive.
    deaf_until: Duration,
    /// Until when a copy is kept of each of its reports, and after how long at the least and at the most it comes.
    copied: (Duration, Duration, Duration),
    /// Fails every task that it starts.
    sick: bool,
    /// How fast its steady clock runs: 1 for a right one.
    clock: f64,
}

/// What happened to a task on a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Happening {
    /// The task has its image and occupies the machine from now on.
    Started {
        /// The task.
        task: TaskKey,
        /// Number of the attempt.
        attempt: u64,
        /// The machine.
        machine: String,
    },
    /// The attempt ended.
    Ended {
        /// The task.
        task: TaskKey,
        /// Number of the attempt.
        attempt: u64,
        /// The machine.
        machine: String,
        /// Why it ended.
        cause: Cause,
    },
    /// The attempt was lost with its machine, or with the worker's session.
    Lost {
        /// The task.
        task: TaskKey,
        /// Number of the attempt.
        attempt: u64,
        /// The machine.
        machine: String,
    },
}

/// An orderly stop of a gang's attempt: since when, and whom it was told in time.
#[derive(Debug)]
struct Stop {
    first: Duration,
    told: BTreeSet<u32>,
}

/// All workers, and what outlives them: uploads, results, checkpoints. Times are since the world began.
#[derive(Debug)]
pub struct Fleet {
    params: Params,
    workers: BTreeMap<String, Worker>,
    uploads: HashMap<JobId, Arc<Upload>>,
    results: HashSet<TaskKey>,
    saved: HashMap<TaskKey, Duration>,
    stops: HashMap<(JobId, u64), Stop>,
    /// Gangs that run and of which somebody is gone or hangs, and since when.
    broken: HashMap<(JobId, u64), Duration>,
    /// Gangs that are done: if one task is, all are.
    gangs_done: HashSet<JobId>,
    happened: Vec<Happening>,
    /// Copies of reports, and when each comes: kept here, since they outlive their machines.
    copies: Vec<(Duration, Report)>,
    at: Duration,
}

/// Where checkpoints of a task are kept: a gang has one for all.
fn save_key(task: &Task) -> TaskKey {
    let index = if task.job.spec.is_gang() { 0 } else { task.key.index };
    TaskKey { job: task.key.job.clone(), index }
}

/// The last checkpoint that a task took by itself.
fn checkpoint(spec: &JobSpec, progress: Duration) -> Duration {
    if spec.checkpoint_s <= 0.0 {
        return Duration::ZERO;
    }
    Duration::from_secs_f64((progress.as_secs_f64() / spec.checkpoint_s).floor() * spec.checkpoint_s)
}

impl Fleet {
    /// A fleet without machines.
    pub fn new(params: Params) -> Self {
        Self {
            params,
            workers: BTreeMap::new(),
            uploads: HashMap::new(),
            results: HashSet::new(),
            saved: HashMap::new(),
            stops: HashMap::new(),
            broken: HashMap::new(),
            gangs_done: HashSet::new(),
            happened: Vec::new(),
            copies: Vec::new(),
            at: Duration::ZERO,
        }
    }

    /// A user uploads a job's description, before or after submitting it.
    pub fn upload(&mut self, upload: Upload) {
        self.uploads.insert(upload.spec.id.clone(), Arc::new(upload));
    }

    /// A machine is up: its worker begins its first session.
    pub fn up(&mut self, name: &str, machine: Machine, now: Duration) {
        let worker = Worker {
            machine,
            session: 1,
            seq: 0,
            token: 0,
            renewed: now,
            recall: None,
            tasks: Vec::new(),
            unknown: BTreeSet::new(),
            images: VecDeque::new(),
            hangs_until: Duration::ZERO,
            deaf_until: Duration::ZERO,
            copied: Default::default(),
            sick: false,
            clock: 1.0,
        };
        self.workers.insert(name.to_owned(), worker);
    }

    /// A machine and everything on it is gone.
    pub fn gone(&mut self, name: &str, now: Duration) {
        self.tick(now);
        if let Some(mut worker) = self.workers.remove(name) {
            self.lose_all(name, worker.tasks.drain(..));
        }
    }

    /// Differs whenever something has changed that a worker reports at once.
    pub fn digest(&self, name: &str) -> Option<u64> {
        let worker = self.workers.get(name)?;
        let mut hasher = DefaultHasher::new();
        (worker.session, worker.token, worker.recall, worker.unknown.len()).hash(&mut hasher);
        for task in &worker.tasks {
            (&task.key, task.attempt, std::mem::discriminant(&task.doing)).hash(&mut hasher);
        }
        Some(hasher.finish())
    }

    /// Machines on which a finished task waits to be reaped.
    pub fn holders(&self) -> impl Iterator<Item = &String> {
        let holds = |w: &Worker| w.tasks.iter().any(|t| matches!(t.doing, Doing::Ended(Cause::Done, _)));
        self.workers.iter().filter(move |(_, w)| holds(w)).map(|(name, _)| name)
    }

    /// Starts a task that runs somewhere on another machine too: a rule broken on purpose. False if
    /// nothing runs, or no other machine has room.
    pub fn start_twice(&mut self, now: Duration) -> bool {
        self.tick(now);
        let running = self.workers.iter().flat_map(|(name, w)| w.tasks.iter().map(move |t| (name, t)));
        let found: Vec<(String, TaskKey, u64)> = running
            .filter(|(_, t)| t.doing == Doing::Running)
            .map(|(name, t)| (name.clone(), t.key.clone(), t.attempt))
            .collect();
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for (on, key, attempt) in found {
            for other in names.iter().filter(|n| **n != on) {
                let attempt = attempt + 1000;
                self.launch(other, &key, attempt);
                let worker = self.workers.get_mut(other);
                let Some(worker) = worker else { continue };
                if worker.tasks.iter().any(|t| t.holds(&key, attempt) && t.live()) {
                    return true;
                }
                worker.tasks.retain(|t| !t.holds(&key, attempt));
            }
        }
        false
    }

    /// Sets the rate of the worker's monotonic clock, by which it measures its lease; 1 is exact.
    pub fn set_clock(&mut self, name: &str, clock: f64) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.clock = clock;
        }
    }

    /// Runs this many times as fast as an ordinary machine.
    pub fn set_speed(&mut self, name: &str, speed: f64) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.machine.speed = speed;
        }
    }

    /// Tasks that are on machines and have not ended.
    pub fn live_all(&self) -> usize {
        self.workers.values().flat_map(|w| &w.tasks).filter(|t| t.live()).count()
    }

    fn lose_all(&mut self, name: &str, tasks: impl Iterator<Item = Task>) {
        for task in tasks {
            self.lose(&task);
            if task.live() {
                let (task, attempt) = (task.key, task.attempt);
                self.happened.push(Happening::Lost { task, attempt, machine: name.to_owned() });
            }
        }
    }

    /// Names of the machines in a zone.
    pub fn in_zone(&self, zone: &str) -> impl Iterator<Item = &String> {
        self.workers.iter().filter(move |(_, worker)| worker.machine.zone == zone).map(|(name, _)| name)
    }

    /// Names of all machines that are up.
    pub fn names(&self) -> impl Iterator<Item = &String> {
        self.workers.keys()
    }

    /// The worker does nothing until then, and continues afterwards.
    pub fn hang(&mut self, name: &str, until: Duration) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.hangs_until = until;
        }
    }

    /// A one-way partition until then: the worker's messages arrive, messages to it do not.
    pub fn deafen(&mut self, name: &str, until: Duration) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.deaf_until = until;
        }
    }

    /// Whether answers and commands reach the worker.
    pub fn hears(&self, name: &str, now: Duration) -> bool {
        self.workers.get(name).is_some_and(|w| w.deaf_until <= now)
    }

    /// A copy of each of its reports until then comes between `from` and `to` later, in whatever order.
    pub fn copy_reports(&mut self, name: &str, until: Duration, from: Duration, to: Duration) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.copied = (until, from, to.max(from));
        }
    }

    /// Copies that come now: of machines that are gone, too.
    pub fn copies_due(&mut self, now: Duration) -> Vec<Report> {
        let (due, rest) = std::mem::take(&mut self.copies).into_iter().partition(|(at, _)| *at <= now);
        self.copies = rest;
        due.into_iter().map(|(_, report): (Duration, Report)| report).collect()
    }

    /// Sets whether the worker fails every task that it runs.
    pub fn set_sick(&mut self, name: &str, sick: bool) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.sick = sick;
        }
    }

    /// The cloud's notice: the machine will be taken at that time.
    pub fn recall(&mut self, name: &str, at: Duration) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.recall = Some(at);
        }
    }

    /// Tasks of a job that are on some machine and have not ended.
    pub fn live(&self, job: &str) -> usize {
        self.workers.values().flat_map(|w| &w.tasks).filter(|t| t.live() && *t.key.job == *job).count()
    }

    /// Tasks whose results are kept.
    pub fn results(&self) -> &HashSet<TaskKey> {
        &self.results
    }

    /// What has happened since the last call, for whoever judges.
    pub fn happened(&mut self) -> Vec<Happening> {
        std::mem::take(&mut self.happened)
    }

    /// What is lost of a task that ends without having saved.
    fn lose(&mut self, task: &Task) {
        if matches!(task.doing, Doing::Running | Doing::Saving(_)) {
            let kept = checkpoint(&task.job.spec, task.progress);
            let saved = self.saved.entry(save_key(task)).or_default();
            *saved = (*saved).max(kept);
        }
    }

    /// A report of a worker that answers, and the session it is of.
    pub fn report(&mut self, name: &str, now: Duration) -> Option<Report> {
        let report = self.tell(name, now)?;
        let (until, from, to) = self.workers.get(name)?.copied;
        if now < until && self.copies.len() < MOST_COPIES {
            let mut hasher = DefaultHasher::new();
            (name, report.session, report.seq).hash(&mut hasher);
            let part = f64::from(hasher.finish() as u8) / 255.0;
            self.copies.push((now + from + (to - from).mul_f64(part), report.clone()));
        }
        Some(report)
    }

    fn tell(&mut self, name: &str, now: Duration) -> Option<Report> {
        self.tick(now);
        let worker = self.workers.get_mut(name).filter(|w| w.hangs_until <= now)?;
        worker.seq += 1;
        let status = |doing: &Doing| match doing {
            Doing::Fetching => (LegStatus::Fetching, None, None),
            Doing::Gathering(_) => (LegStatus::Waiting, None, None),
            Doing::Running => (LegStatus::Running, None, None),
            Doing::Saving(_) => (LegStatus::Saving, None, None),
            Doing::Ended(cause, kept) => (LegStatus::Exited, Some(*cause), kept.then_some(true)),
        };
        let leg = |task: &Task| {
            let (status, cause, saved) = status(&task.doing);
            Leg { task: task.key.clone(), attempt: task.attempt, status, cause, saved }
        };
        let refused = |(task, attempt): &(TaskKey, u64)| Leg {
            task: task.clone(),
            attempt: *attempt,
            status: LegStatus::Exited,
            cause: Some(Cause::Unknown),
            saved: None,
        };
        Some(Report {
            machine: name.to_owned(),
            addr: worker.machine.addr.clone(),
            type_name: worker.machine.of.name.clone(),
            zone: worker.machine.zone.clone(),
            spot: worker.machine.spot,
            session: worker.session,
            seq: worker.seq,
            token: worker.token,
            notice_s: worker.recall.map(|at| at.saturating_sub(now).as_secs_f64()),
            legs: worker.tasks.iter().map(leg).chain(worker.unknown.iter().map(refused)).collect(),
        })
    }

    /// An answer to a report of this session, sent then. False if it was dropped.
    pub fn answer(&mut self, name: &str, session: u64, sent: Duration, orders: &Orders, now: Duration) -> bool {
        self.tick(now);
        let Some(worker) = self.workers.get_mut(name) else { return false };
        let late = now.saturating_sub(sent) > ANSWER_TAKEN || worker.hangs_until.max(worker.deaf_until) > now;
        if late || worker.session != session || orders.token < worker.token {
            return false;
        }
        worker.token = orders.token;
        worker.renewed = worker.renewed.max(sent);
        self.execute(name, &orders.orders, now);
        true
    }

    /// A direct command, of whatever age: whether it was executed, and the report after it.
    pub fn command(&mut self, name: &str, orders: &Orders, now: Duration) -> Option<(bool, Report)> {
        self.tick(now);
        let worker = self.workers.get_mut(name).filter(|w| w.hangs_until.max(w.deaf_until) <= now)?;
        let taken = orders.token >= worker.token && orders.session == Some(worker.session);
        if taken {
            worker.token = orders.token;
            self.execute(name, &orders.orders, now);
        }
        Some((taken, self.tell(name, now)?))
    }

    fn execute(&mut self, name: &str, orders: &[Order], now: Duration) {
        for order in orders {
            match order {
                Order::Launch { task, attempt } => self.launch(name, task, *attempt),
                Order::Halt { task, attempt, grace_s } => self.halt(name, task, *attempt, *grace_s, now),
                Order::Reap { task, attempt } => {
                    if let Some(worker) = self.workers.get_mut(name) {
                        worker.tasks.retain(|t| t.live() || !t.holds(task, *attempt));
                        worker.unknown.remove(&(task.clone(), *attempt));
                    }
                }
            }
        }
    }

    fn launch(&mut self, name: &str, key: &TaskKey, attempt: u64) {
        let upload = self.uploads.get(&key.job).cloned();
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.tasks.iter().any(|t| t.holds(key, attempt)) || worker.unknown.contains(&(key.clone(), attempt)) {
            return;
        }
        let known = upload.filter(|u| u64::from(key.index) < u.spec.tasks);
        let Some(job) = known else {
            worker.unknown.insert((key.clone(), attempt));
            return;
        };
        let taken = |f: fn(&JobSpec) -> f64| -> f64 {
            worker.tasks.iter().filter(|t| t.live()).map(|t| f(&t.job.spec)).sum::<f64>() + f(&job.spec)
        };
        let full = taken(|s| s.cpus) > worker.machine.of.cpus + 1e-6
            || taken(|s| s.gpus) > worker.machine.of.gpus + 1e-6
            || taken(|s| s.memory_gb) > worker.machine.of.memory_gb + 1e-6;
        let doing = if worker.tasks.iter().any(|t| t.key == *key && t.live()) {
            Doing::Ended(Cause::Busy, false)
        } else if full {
            Doing::Ended(Cause::NoRoom, false)
        } else {
            let image = &job.spec.image;
            match worker.images.iter().position(|(i, ..)| i == image) {
                // Used again: the last to make room.
                Some(at) => {
                    if let Some(held) = worker.images.remove(at) {
                        worker.images.push_back(held);
                    }
                }
                None => worker.images.push_back((image.clone(), job.spec.image_gb, job.spec.image_gb)),
            }
            Doing::Fetching
        };
        worker.tasks.push(Task { key: key.clone(), attempt, job, doing, progress: Duration::ZERO });
    }

    fn halt(&mut self, name: &str, key: &TaskKey, attempt: u64, grace_s: u64, now: Duration) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(task) = worker.tasks.iter_mut().find(|t| t.holds(key, attempt) && t.live()) else { return };
        let spec = &task.job.spec;
        let can_save = spec.checkpoint_s > 0.0 && grace_s as f64 >= spec.save_s;
        let ends = match task.doing {
            Doing::Running if can_save => {
                task.doing = Doing::Saving(now + Duration::from_secs_f64(spec.save_s));
                if spec.is_gang() {
                    let stop = self.stops.entry((key.job.clone(), attempt));
                    let stop = stop.or_insert_with(|| Stop { first: now, told: BTreeSet::new() });
                    stop.told.insert(key.index);
                }
                false
            }
            // Only a second one without any time ends what is being saved.
            Doing::Saving(_) => grace_s == 0,
            _ => true,
        };
        if ends {
            let task = worker.tasks.iter().position(|t| t.holds(key, attempt) && t.live());
            if let Some(at) = task {
                self.end(name, at, Cause::Stopped, false);
            }
        }
    }

    /// A task exits. What it has not saved by itself is lost unless it has `kept` it.
    fn end(&mut self, name: &str, at: usize, cause: Cause, kept: bool) {
        let Some(mut task) = self.workers.get_mut(name).and_then(|w| (at < w.tasks.len()).then(|| w.tasks.remove(at)))
        else {
            return;
        };
        if kept {
            self.saved.insert(save_key(&task), task.progress);
        } else if cause == Cause::Done {
            self.results.insert(task.key.clone());
        } else {
            self.lose(&task);
        }
        task.doing = Doing::Ended(cause, kept);
        let (key, attempt) = (task.key.clone(), task.attempt);
        self.happened.push(Happening::Ended { task: key, attempt, machine: name.to_owned(), cause });
        if let Some(worker) = self.workers.get_mut(name) {
            worker.tasks.insert(at, task);
        }
    }

    /// All that time has brought about since the last call.
    pub fn tick(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at);
        // Every message is a call: many come at the same moment, and looking at all is dear.
        if passed.is_zero() && self.at > Duration::ZERO {
            return;
        }
        self.at = self.at.max(now);
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in &names {
            self.expire(name, now);
            self.fetch(name, passed, now);
        }
        self.gangs(passed, now);
        for name in &names {
            self.run(name, passed, now);
        }
    }

    /// A lease that is over ends the session and all that runs in it, once the machine can act.
    fn expire(&mut self, name: &str, now: Duration) {
        let lease = self.params.lease;
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.hangs_until > now || now.saturating_sub(worker.renewed).mul_f64(worker.clock) <= lease {
            return;
        }
        worker.session += 1;
        worker.renewed = now;
        worker.unknown.clear();
        let killed = std::mem::take(&mut worker.tasks);
        self.lose_all(name, killed.into_iter());
    }

    /// Images are fetched together; tasks that have theirs start, or wait for their gang.
    fn fetch(&mut self, name: &str, passed: Duration, now: Duration) {
        let Some(worker) = self.workers.get_mut(name).filter(|w| w.hangs_until <= now) else { return };
        let wanted: HashSet<String> =
            worker.tasks.iter().filter(|t| t.doing == Doing::Fetching).map(|t| t.job.spec.image.clone()).collect();
        // A fetch that nobody waits for any more is given up.
        worker.images.retain(|(image, _, left)| *left <= 0.0 || wanted.contains(image));
        let under_way = worker.images.iter().filter(|(.., left)| *left > 0.0).count().max(1);
        let share = worker.machine.of.fetch_gb_per_s * passed.as_secs_f64() / under_way as f64;
        for (_, _, left) in &mut worker.images {
            *left -= share;
        }
        let most = worker.machine.of.cache_gb.unwrap_or(CACHE_GB);
        while worker.images.len() > 1 && worker.images.iter().map(|(_, gb, _)| gb).sum::<f64>() > most {
            let idle = worker.images.iter().position(|(image, _, left)| *left <= 0.0 && !wanted.contains(image));
            let Some(idle) = idle else { break };
            worker.images.remove(idle);
        }
        let images: HashSet<&String> =
            worker.images.iter().filter(|(.., left)| *left <= 0.0).map(|(i, ..)| i).collect();
        let mut started = Vec::new();
        for task in worker.tasks.iter_mut().filter(|t| t.doing == Doing::Fetching && images.contains(&t.job.spec.image))
        {
            started.push(Happening::Started {
                task: task.key.clone(),
                attempt: task.attempt,
                machine: name.to_owned(),
            });
            let key = save_key(task);
            task.progress = self.saved.get(&key).copied().unwrap_or_default();
            task.doing = if task.job.spec.is_gang() { Doing::Gathering(now) } else { Doing::Running };
        }
        self.happened.extend(started);
    }

    /// Gangs start once all are there, and notice who is missing.
    fn gangs(&mut self, passed: Duration, now: Duration) {
        let mut attempts: BTreeMap<(JobId, u64), Vec<(String, usize)>> = BTreeMap::new();
        for (name, worker) in &self.workers {
            for (at, task) in worker.tasks.iter().enumerate().filter(|(_, t)| t.live() && t.job.spec.is_gang()) {
                attempts.entry((task.key.job.clone(), task.attempt)).or_default().push((name.clone(), at));
            }
        }
        self.stops.retain(|key, _| attempts.contains_key(key));
        self.broken.retain(|key, _| attempts.contains_key(key));
        for (key, members) in attempts {
            self.gang(&key, &members, passed, now);
        }
    }

    fn task(&self, (name, at): &(String, usize)) -> Option<(&Worker, &Task)> {
        let worker = self.workers.get(name)?;
        Some((worker, worker.tasks.get(*at)?))
    }

    fn gang(&mut self, key: &(JobId, u64), members: &[(String, usize)], passed: Duration, now: Duration) {
        let found: Vec<(&Worker, &Task)> = members.iter().filter_map(|m| self.task(m)).collect();
        let Some(size) = found.first().map(|(_, t)| t.job.spec.tasks as usize) else { return };
        let awake = found.iter().filter(|(w, _)| w.hangs_until <= now).count();
        let begun = found.iter().any(|(_, t)| matches!(t.doing, Doing::Running | Doing::Saving(_)));
        let gathered = found.iter().filter(|(_, t)| matches!(t.doing, Doing::Gathering(_))).count();
        let done = self.gangs_done.contains(&key.0);
        let speed = found.iter().map(|(w, _)| w.machine.speed).fold(f64::INFINITY, f64::min);
        let progress = self.saved.get(&TaskKey { job: key.0.clone(), index: 0 }).copied().unwrap_or_default();
        if !begun {
            let together = gathered == size && awake == size;
            for member in members {
                let Some(task) = self.workers.get_mut(&member.0).and_then(|w| w.tasks.get_mut(member.1)) else {
                    continue;
                };
                if (together || done) && matches!(task.doing, Doing::Gathering(_)) {
                    (task.doing, task.progress) = (Doing::Running, progress);
                } else if let Doing::Gathering(since) = task.doing
                    && now.saturating_sub(since) > self.params.gang_wait
                {
                    self.end(&member.0, member.1, Cause::Alone, false);
                }
            }
            return;
        }
        let stop = self.stops.get(key).map(|s| (s.first, s.told.len()));
        if let Some((first, told)) = stop {
            // Progress stands still. In time and all told, it is kept; otherwise the save fails.
            let saved = members
                .iter()
                .filter_map(|m| self.task(m))
                .all(|(_, t)| matches!(t.doing, Doing::Saving(at) if at <= now));
            let late = now.saturating_sub(first) > self.params.gang_peer;
            if (told == size && saved) || late {
                for member in members {
                    let was_told = matches!(self.task(member), Some((_, t)) if matches!(t.doing, Doing::Saving(_)));
                    let cause = if was_told { Cause::Stopped } else { Cause::Peers };
                    self.end(&member.0, member.1, cause, told == size && saved);
                }
            }
        } else if members.len() < size || awake < members.len() {
            // Somebody is gone or hangs: noticed after a while by those who can.
            let missing = *self.broken.entry(key.clone()).or_insert(now);
            if now.saturating_sub(missing) >= self.params.gang_peer {
                for member in members {
                    if self.task(member).is_some_and(|(w, _)| w.hangs_until <= now) {
                        self.end(&member.0, member.1, Cause::Peers, false);
                    }
                }
            }
        } else {
            self.broken.remove(key);
            let more = passed.mul_f64(speed);
            for member in members {
                if let Some(task) = self.workers.get_mut(&member.0).and_then(|w| w.tasks.get_mut(member.1)) {
                    task.progress += more;
                }
            }
        }
    }

    /// Whether its result is kept already.
    fn finished(&self, task: &Task) -> bool {
        self.results.contains(&task.key) || self.gangs_done.contains(&task.key.job)
    }

    /// What runs goes on by itself, and ends; a gang's progress has been counted with the gang.
    fn run(&mut self, name: &str, passed: Duration, now: Duration) {
        let Some(worker) = self.workers.get_mut(name).filter(|w| w.hangs_until <= now) else { return };
        let (more, sick) = (passed.mul_f64(worker.machine.speed), worker.sick);
        for task in worker.tasks.iter_mut().filter(|t| t.doing == Doing::Running && !t.job.spec.is_gang()) {
            task.progress += more;
        }
        let mut ends = Vec::new();
        if let Some(worker) = self.workers.get(name) {
            for (at, task) in worker.tasks.iter().enumerate() {
                match task.doing {
                    Doing::Running if self.finished(task) => ends.push((at, Cause::Done, false)),
                    Doing::Running if sick || task.job.broken => ends.push((at, Cause::Error, false)),
                    // Services run until they are stopped.
                    Doing::Running if task.progress >= task.job.run && !task.job.run.is_zero() => {
                        ends.push((at, Cause::Done, false));
                    }
                    Doing::Saving(at_time) if at_time <= now && !task.job.spec.is_gang() => {
                        ends.push((at, Cause::Stopped, true));
                    }
                    _ => {}
                }
            }
        }
        for (at, cause, kept) in ends {
            let gang = self.workers.get(name).and_then(|w| w.tasks.get(at)).filter(|t| t.job.spec.is_gang());
            if let Some(job) = gang.map(|t| t.key.job.clone()).filter(|_| cause == Cause::Done) {
                self.gangs_done.insert(job);
            }
            self.end(name, at, cause, kept);
        }
    }
}

#[cfg(test)]
mod tests;
