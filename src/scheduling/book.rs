//! The owner's book: tasks, machines and the bindings between them.
//!
//! A task is bound to its machine from the moment it is chosen until something proves it gone:
//! its exit, a report newer than every command that may still arrive, a new worker session, or
//! a completed return of the machine. The book is changed by reports, by what was stored and by
//! decisions; it does no I/O and reads no clock.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::{debug, info, warn};

use super::plan::Placement;
use crate::fleet::Catalog;
use crate::fleet::rent::Kind;
use crate::jobs::record::{CHUNK, JobRecord, Stored, time_of_day_ms};
use crate::jobs::{JobId, JobSpec, Shape};
use crate::membership::mesh::Counts;
use crate::settings::{Properties, Settings};
use crate::sla::{self, Agreement};
use crate::workers::{Cause, Leg, LegStatus, Order, Report, TaskKey};

pub type MachineId = Arc<str>;

/// Orders of one answer or command: about 60 bytes each, well below the body limit.
const MOST_ORDERS: usize = 400;
/// Direct commands to one machine are at least this far apart unless something new came up.
const COMMAND_GAP: Duration = Duration::from_millis(1000);
/// Tokens are raised at most this often.
const RAISE_GAP: Duration = Duration::from_secs(5);
/// Names of returned machines kept, so that their late reports are not taken for news.
const GONE_KEPT: usize = 20_000;
/// How far into the time allowed for a cancellation a machine that proves nothing is returned.
const CANCEL_PATIENCE: f64 = 0.45;
/// One in so many machines silent at once is no chance of single machines.
const TOGETHER: usize = 12;
/// One in so many lost is most of them, as far as handing over is concerned.
const MOST: usize = 3;
/// Past the end of a silent machine's lease; covers its clock's drift and the way of a report.
const LEASE_MARGIN: Duration = Duration::from_secs(2);
/// Ticks come at least every second; a longer gap is a pause of this process.
const LONGEST_TICK: Duration = Duration::from_millis(2500);
/// Longest pause of a job whose tasks fail.
const LONGEST_PAUSE: Duration = Duration::from_secs(60);
/// Images a machine is thought to hold.
const IMAGES_KEPT: usize = 6;

/// How a message reached us: only true reports prove that an earlier answer is dead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Via {
    Report,
    Command,
}

#[derive(Debug, Clone)]
pub struct Binding {
    pub machine: MachineId,
    /// The session in which this owner first told the worker, if it did.
    told: Option<u64>,
    /// Stored by an earlier owner, which may have told the worker under an older token.
    inherited: bool,
    pub status: Option<LegStatus>,
    pub running_since: Option<Instant>,
    /// Being stopped, with this much time to save.
    pub halting: Option<u64>,
    pub since: Instant,
}

impl Binding {
    /// For how long it has been running, as far as was reported.
    pub fn ran(&self, now: Instant) -> Duration {
        self.running_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}

#[derive(Debug, Clone)]
pub enum Phase {
    Waiting,
    Bound(Binding),
    Done,
}

#[derive(Debug, Clone)]
pub struct Task {
    pub attempt: u64,
    pub phase: Phase,
    /// Whether the store says the same.
    pub stored: bool,
}

impl Task {
    fn as_stored(&self) -> Stored {
        match &self.phase {
            Phase::Done => Stored::Done,
            Phase::Waiting if self.attempt == 0 => Stored::Untouched,
            Phase::Waiting => Stored::Waiting(self.attempt),
            Phase::Bound(b) => Stored::Bound(self.attempt, b.machine.to_string()),
        }
    }
}

pub struct JobState {
    pub record: Arc<JobRecord>,
    pub agreement: Agreement,
    /// When its user first asked, by this process's steady clock.
    pub since: Instant,
    pub tasks: Vec<Task>,
    pub waiting: BTreeSet<u32>,
    pub bound: BTreeSet<u32>,
    pub done: u64,
    stamps: Vec<u64>,
    pub ended: Option<Instant>,
    /// Not to be placed before, after failures.
    pub not_before: Instant,
    pub failed_on: HashSet<MachineId>,
    failures: u32,
    pub last_end: Option<Instant>,
}

impl JobState {
    pub fn spec(&self) -> &JobSpec {
        &self.record.spec
    }

    pub fn complete(&self) -> bool {
        self.done == self.tasks.len() as u64 || (self.spec().is_gang() && self.done > 0)
    }

    pub fn binding(&self, index: u32) -> Option<&Binding> {
        match &self.tasks.get(index as usize)?.phase {
            Phase::Bound(binding) => Some(binding),
            _ => None,
        }
    }

    fn binding_mut(&mut self, index: u32) -> Option<&mut Binding> {
        match &mut self.tasks.get_mut(index as usize)?.phase {
            Phase::Bound(binding) => Some(binding),
            _ => None,
        }
    }

    /// All tasks of a gang's attempt are stored: only then is any of them told to start.
    fn launchable(&self) -> bool {
        !self.spec().is_gang()
            || (self.waiting.is_empty()
                && self.tasks.iter().all(|t| t.stored && matches!(&t.phase, Phase::Bound(b) if b.halting.is_none())))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Rented, not heard of yet.
    Booting,
    Up,
    /// No new work; returned when empty.
    Draining,
    /// To be returned now, with whatever is on it.
    Condemned,
}

#[derive(Debug)]
pub struct Machine {
    pub id: MachineId,
    pub addr: Option<String>,
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub standing: Standing,
    session: u64,
    /// (session, seq) of the newest message of any kind, and of the newest true report.
    newest: (u64, u64),
    newest_report: (u64, u64),
    pub token: u64,
    pub heard: Instant,
    pub since: Instant,
    pub recall: Option<Instant>,
    pub bound: BTreeSet<TaskKey>,
    legs: Vec<Leg>,
    command_under_way: bool,
    /// A command given under this token may still arrive.
    unsettled: Option<u64>,
    /// The report whose answer carried a launch.
    launched_in: Option<(u64, u64)>,
    next_command: Instant,
    /// Something new is to be told without waiting for a report.
    tell: bool,
    pub idle_since: Option<Instant>,
    pub failures: f64,
    pub images: VecDeque<String>,
}

impl Machine {
    fn new(id: MachineId, now: Instant) -> Self {
        Self {
            id,
            addr: None,
            type_name: String::new(),
            zone: String::new(),
            spot: false,
            standing: Standing::Booting,
            session: 0,
            newest: (0, 0),
            newest_report: (0, 0),
            token: 0,
            heard: now,
            since: now,
            recall: None,
            bound: BTreeSet::new(),
            legs: Vec::new(),
            command_under_way: false,
            unsettled: None,
            launched_in: None,
            next_command: now,
            tell: false,
            idle_since: None,
            failures: 0.0,
            images: VecDeque::new(),
        }
    }

    /// No launch is under way towards it, so that what it does not report is not there and a
    /// reaped task cannot be started again.
    fn settled(&self) -> bool {
        !self.command_under_way && self.unsettled.is_none() && self.launched_in.is_none_or(|l| self.newest_report > l)
    }

    /// Live tasks that are not bound here: their room is not free, whoever they belong to.
    pub fn has_strays(&self) -> bool {
        self.legs.iter().any(|l| l.status != LegStatus::Exited && !self.bound.contains(&l.task))
    }

    pub fn reported(&self) -> bool {
        self.newest.0 > 0
    }

    fn remember_image(&mut self, image: &str) {
        self.images.retain(|i| i != image);
        self.images.push_back(image.to_owned());
        if self.images.len() > IMAGES_KEPT {
            self.images.pop_front();
        }
    }
}

/// A command to be sent straight to a worker.
#[derive(Debug)]
pub struct Direct {
    pub machine: MachineId,
    pub addr: String,
    pub token: u64,
    pub session: u64,
    pub orders: Vec<Order>,
}

/// One chunk as it is about to be stored.
#[derive(Debug, Clone)]
pub struct ChunkWrite {
    pub job: JobId,
    pub chunk: u64,
    pub stamp: u64,
    pub tasks: Vec<Stored>,
}

pub struct Book {
    pub token: u64,
    pub loaded: bool,
    pub settings: Settings,
    pub properties: Properties,
    jobs: BTreeMap<JobId, JobState>,
    /// Jobs whose end is known; their strays are stopped and reaped.
    over: HashSet<JobId>,
    pub machines: BTreeMap<MachineId, Machine>,
    gone: VecDeque<MachineId>,
    gone_set: HashSet<MachineId>,
    dirty: VecDeque<(JobId, u64)>,
    dirty_set: HashSet<(JobId, u64)>,
    /// Jobs complete but not yet stored as done.
    completed: VecDeque<JobId>,
    /// Chunks of jobs that are over, to be dropped.
    drops: VecDeque<(JobId, u64)>,
    pub usage: HashMap<String, (f64, f64)>,
    raised: Instant,
    raise: bool,
    ticked: Instant,
    /// By class: how observed run times compare with the owners' estimates (sum of logs, count).
    observed: HashMap<String, (f64, f64)>,
    pub arrivals: BTreeMap<String, Arrivals>,
}

/// How many tasks of a class have come lately: a count that fades, and one job to stand for all.
#[derive(Debug)]
pub struct Arrivals {
    faded: f64,
    at: Instant,
    pub like: Arc<JobRecord>,
}

/// Arrivals fade over this time: long enough to smooth single jobs, short enough to see an end.
const ARRIVALS_FADE: Duration = Duration::from_secs(60);

impl Arrivals {
    fn fade(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.faded * (-passed / ARRIVALS_FADE.as_secs_f64()).exp()
    }

    pub fn per_second(&self, now: Instant) -> f64 {
        self.fade(now) / ARRIVALS_FADE.as_secs_f64()
    }
}

impl Book {
    pub fn new(token: u64, settings: Settings, properties: Properties, now: Instant) -> Self {
        Self {
            token,
            loaded: false,
            settings,
            properties,
            jobs: BTreeMap::new(),
            over: HashSet::new(),
            machines: BTreeMap::new(),
            gone: VecDeque::new(),
            gone_set: HashSet::new(),
            dirty: VecDeque::new(),
            dirty_set: HashSet::new(),
            completed: VecDeque::new(),
            drops: VecDeque::new(),
            usage: HashMap::new(),
            raised: now,
            raise: false,
            ticked: now,
            observed: HashMap::new(),
            arrivals: BTreeMap::new(),
        }
    }

    // ---- jobs

    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, &JobState)> {
        self.jobs.iter()
    }
    pub fn job(&self, id: &JobId) -> Option<&JobState> {
        self.jobs.get(id)
    }
    pub fn has_job(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
    }
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    pub fn counts(&self, id: &JobId) -> Counts {
        self.jobs.get(id).map_or_else(Counts::default, count)
    }

    pub fn all_counts(&self) -> impl Iterator<Item = (&JobId, Counts)> {
        self.jobs.iter().map(|(id, job)| (id, count(job)))
    }

    pub fn add_job(&mut self, record: Arc<JobRecord>, now: Instant) {
        if !self.has_job(&record.spec.id) {
            let arrivals = self.arrivals.entry(record.spec.class.clone());
            let arrivals = arrivals.or_insert_with(|| Arrivals { faded: 0.0, at: now, like: record.clone() });
            arrivals.faded = arrivals.fade(now) + record.spec.tasks as f64;
            arrivals.at = now;
            arrivals.like = record.clone();
        }
        self.load_job(record, Vec::new(), now);
    }

    /// A job with what is stored of its tasks, as (chunk, stamp, tasks).
    pub fn load_job(&mut self, record: Arc<JobRecord>, chunks: Vec<(u64, u64, Vec<Stored>)>, now: Instant) {
        let id = record.spec.id.clone();
        if self.jobs.contains_key(&id) || self.over.contains(&id) {
            return;
        }
        let n = record.spec.tasks as usize;
        let age = record.age(time_of_day_ms());
        let mut job = JobState {
            agreement: self.agreement(&record.spec),
            since: now.checked_sub(age).unwrap_or(now),
            tasks: vec![Task { attempt: 0, phase: Phase::Waiting, stored: true }; n],
            waiting: BTreeSet::new(),
            bound: BTreeSet::new(),
            done: 0,
            stamps: vec![0; n.div_ceil(CHUNK as usize)],
            ended: None,
            not_before: now,
            failed_on: HashSet::new(),
            failures: 0,
            last_end: None,
            record,
        };
        for (chunk, stamp, stored) in chunks {
            if let Some(slot) = job.stamps.get_mut(chunk as usize) {
                *slot = stamp;
            }
            for (i, item) in stored.into_iter().enumerate() {
                let Some(task) = job.tasks.get_mut(chunk as usize * CHUNK as usize + i) else { break };
                match item {
                    Stored::Untouched => {}
                    Stored::Waiting(attempt) => task.attempt = attempt,
                    Stored::Done => task.phase = Phase::Done,
                    Stored::Bound(attempt, machine) => {
                        task.attempt = attempt;
                        let machine: MachineId = machine.into();
                        task.phase = Phase::Bound(Binding {
                            machine,
                            told: None,
                            inherited: true,
                            status: None,
                            running_since: None,
                            halting: None,
                            since: now,
                        });
                    }
                }
            }
        }
        for (index, task) in (0u32..).zip(&job.tasks) {
            match &task.phase {
                Phase::Waiting => {
                    job.waiting.insert(index);
                }
                Phase::Done => job.done += 1,
                Phase::Bound(binding) => {
                    job.bound.insert(index);
                    let key = TaskKey { job: id.clone(), index };
                    self.machines
                        .entry(binding.machine.clone())
                        .or_insert_with(|| Machine::new(binding.machine.clone(), now))
                        .bound
                        .insert(key);
                    let used = self.usage.entry(job.record.spec.team.clone()).or_default();
                    used.0 += job.record.spec.cpus;
                    used.1 += job.record.spec.gpus;
                }
            }
        }
        if job.complete() {
            self.completed.push_back(id.clone());
        }
        self.jobs.insert(id, job);
    }

    fn agreement(&self, spec: &JobSpec) -> Agreement {
        Agreement::of(spec, self.estimate(spec), self.properties.soft_deadline)
    }

    /// The owner's estimate, corrected by how its class has been off so far. A handful of
    /// finished tasks weigh as much as the owners' word.
    pub fn estimate(&self, spec: &JobSpec) -> Duration {
        let (logs, n) = self.observed.get(&spec.class).copied().unwrap_or_default();
        let factor = (logs / (n + 5.0)).exp().clamp(0.25, 4.0);
        spec.estimate().mul_f64(factor)
    }

    /// The job's end is stored: nothing of it starts any more, and what runs is stopped.
    pub fn end_job(&mut self, id: &JobId, now: Instant) {
        self.over.insert(id.clone());
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.ended.is_some() {
            return;
        }
        job.ended = Some(now);
        job.waiting.clear();
        let bound: Vec<u32> = job.bound.iter().copied().collect();
        for index in bound {
            let key = TaskKey { job: id.clone(), index };
            let Some(binding) = self.jobs.get(id).and_then(|j| j.binding(index)) else { continue };
            // Never told by anybody: nothing can arrive.
            if binding.told.is_none() && !binding.inherited {
                self.unbind(&key, now);
            } else if let Some(machine) = self.machines.get_mut(&binding.machine) {
                machine.tell = true;
            }
        }
        self.forget_if_over(id);
    }

    fn forget_if_over(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get(id)
            && job.ended.is_some()
            && job.bound.is_empty()
        {
            let stored: Vec<u64> = (0u64..).zip(&job.stamps).filter(|(_, s)| **s > 0).map(|(c, _)| c).collect();
            self.drops.extend(stored.into_iter().map(|c| (id.clone(), c)));
            self.jobs.remove(id);
        }
    }

    // ---- bindings

    pub fn bind_all(&mut self, placements: Vec<Placement>, now: Instant) {
        for placement in placements {
            self.bind(placement, now);
        }
    }

    fn bind(&mut self, p: Placement, now: Instant) {
        let Some(job) = self.jobs.get_mut(&p.task.job) else { return };
        let Some(task) = job.tasks.get_mut(p.task.index as usize) else { return };
        if !matches!(task.phase, Phase::Waiting) {
            return;
        }
        let Some(machine) = self.machines.get_mut(&p.machine) else { return };
        task.attempt = p.attempt;
        task.stored = false;
        task.phase = Phase::Bound(Binding {
            machine: p.machine,
            told: None,
            inherited: false,
            status: None,
            running_since: None,
            halting: None,
            since: now,
        });
        job.waiting.remove(&p.task.index);
        job.bound.insert(p.task.index);
        machine.remember_image(&job.record.spec.image);
        machine.idle_since = None;
        let used = self.usage.entry(job.record.spec.team.clone()).or_default();
        used.0 += job.record.spec.cpus;
        used.1 += job.record.spec.gpus;
        machine.bound.insert(p.task.clone());
        self.mark(&p.task);
    }

    fn mark(&mut self, key: &TaskKey) {
        let chunk = (key.job.clone(), u64::from(key.index) / CHUNK);
        if self.dirty_set.insert(chunk.clone()) {
            self.dirty.push_back(chunk);
        }
    }

    /// Takes a proven-gone task off its machine; it waits again unless its job is over.
    fn unbind(&mut self, key: &TaskKey, now: Instant) {
        self.release(key, now);
        let Some(job) = self.jobs.get(&key.job) else { return };
        if job.ended.is_some() {
            self.forget_if_over(&key.job);
        } else if job.spec().is_gang() && !job.complete() {
            // An attempt that lost a task is over; the rest must be gone before the next one.
            self.halt_job(&key.job, 0, now);
        }
    }

    /// The bare act: place, quota and machine are free again, and the task waits.
    fn release(&mut self, key: &TaskKey, now: Instant) {
        self.leave(key, now);
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(task) = job.tasks.get_mut(key.index as usize) else { return };
        if !matches!(task.phase, Phase::Bound(_)) {
            return;
        }
        task.phase = Phase::Waiting;
        task.stored = false;
        if job.ended.is_none() {
            job.waiting.insert(key.index);
            self.mark(key);
        }
    }

    fn leave(&mut self, key: &TaskKey, now: Instant) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(binding) = job.binding(key.index) else { return };
        if let Some(machine) = self.machines.get_mut(&binding.machine) {
            machine.bound.remove(key);
            if machine.bound.is_empty() {
                machine.idle_since = Some(now);
            }
        }
        job.bound.remove(&key.index);
        if let Some(used) = self.usage.get_mut(&job.record.spec.team) {
            used.0 = (used.0 - job.record.spec.cpus).max(0.0);
            used.1 = (used.1 - job.record.spec.gpus).max(0.0);
        }
    }

    /// Stops all that is left of a job's attempt, with this much time to save. What no worker
    /// was ever told of is simply released.
    pub fn halt_job(&mut self, id: &JobId, grace_s: u64, now: Instant) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let bound: Vec<u32> = job.bound.iter().copied().collect();
        for index in bound {
            let Some(binding) = self.jobs.get_mut(id).and_then(|j| j.binding_mut(index)) else { continue };
            if binding.told.is_none() && !binding.inherited {
                self.release(&TaskKey { job: id.clone(), index }, now);
            } else if binding.halting.is_none() {
                binding.halting = Some(grace_s);
                if let Some(machine) = self.machines.get_mut(&binding.machine) {
                    machine.tell = true;
                }
            }
        }
    }

    /// Stops one task, or all of its gang.
    pub fn halt(&mut self, key: &TaskKey, grace_s: u64, now: Instant) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        if job.spec().is_gang() {
            return self.halt_job(&key.job, grace_s, now);
        }
        if let Some(binding) = job.binding_mut(key.index)
            && binding.halting.is_none()
        {
            binding.halting = Some(grace_s);
            if let Some(machine) = self.machines.get_mut(&binding.machine) {
                machine.tell = true;
            }
        }
    }

    // ---- reports

    pub fn take_report(&mut self, report: Report, via: Via, catalog: Option<&Catalog>, now: Instant) {
        let id: MachineId = report.machine.as_str().into();
        if self.gone_set.contains(&id) {
            return;
        }
        let machine = self.machines.entry(id.clone()).or_insert_with(|| {
            info!(machine = %id, "adopted");
            Machine::new(id.clone(), now)
        });
        let at = (report.session, report.seq);
        if at <= machine.newest {
            debug!(machine = %id, "an old report");
            return;
        }
        if machine.standing == Standing::Booting {
            machine.standing = Standing::Up;
            machine.idle_since = machine.bound.is_empty().then_some(now);
            info!(machine = %id, after_s = now.saturating_duration_since(machine.since).as_secs(), "machine is up");
        }
        if report.session > machine.session {
            machine.session = report.session;
            // Commands of an earlier session are refused by the worker.
            machine.unsettled = None;
            machine.launched_in = None;
            machine.images.clear();
        }
        machine.newest = at;
        if via == Via::Report {
            machine.newest_report = at;
        }
        machine.heard = now;
        machine.addr = Some(report.addr);
        machine.type_name = report.type_name;
        machine.zone = report.zone;
        machine.spot = report.spot;
        machine.token = machine.token.max(report.token);
        if machine.unsettled.is_some_and(|t| machine.token > t) {
            machine.unsettled = None;
        }
        machine.legs = report.legs;
        let notice = report.notice_s.map(|s| now + Duration::from_secs_f64(s.max(0.0)));
        let news = notice.is_some() && machine.recall.is_none();
        machine.recall = notice.or(machine.recall);
        if catalog.is_some_and(|c| c.get(&machine.type_name).is_none()) {
            warn!(machine = %id, type_name = machine.type_name, "a machine of no known type");
        }
        self.reconcile(&id, now);
        if news {
            self.recalled(&id, now);
        }
    }

    pub fn reconcile_all(&mut self, now: Instant) {
        let ids: Vec<MachineId> = self.machines.keys().cloned().collect();
        for id in ids {
            self.reconcile(&id, now);
        }
    }

    /// Compares what a machine reported with what is bound to it.
    fn reconcile(&mut self, id: &MachineId, now: Instant) {
        if !self.loaded {
            return;
        }
        let Some(machine) = self.machines.get(id) else { return };
        if !machine.reported() {
            return;
        }
        // Below this owner's token, commands of an earlier one may still arrive.
        let settled = machine.settled() && machine.token >= self.token;
        let session = machine.session;
        let mut exits = Vec::new();
        let mut missing = Vec::new();
        for key in &machine.bound {
            let Some(job) = self.jobs.get_mut(&key.job) else { continue };
            let ended = job.ended.is_some();
            let Some(task) = job.tasks.get_mut(key.index as usize) else { continue };
            let attempt = task.attempt;
            let Phase::Bound(binding) = &mut task.phase else { continue };
            match machine.legs.iter().find(|l| l.task == *key && l.attempt == attempt) {
                Some(leg) if leg.status == LegStatus::Exited => {
                    exits.push((key.clone(), leg.cause.unwrap_or(Cause::Error)));
                }
                Some(leg) => {
                    binding.status = Some(leg.status);
                    binding.told.get_or_insert(session);
                    if leg.status == LegStatus::Running {
                        binding.running_since.get_or_insert(now);
                    }
                }
                None => {
                    let session_over = binding.told.is_some_and(|s| s < session);
                    let unneeded = ended || binding.halting.is_some() || binding.inherited || binding.status.is_some();
                    if session_over || (settled && unneeded) {
                        missing.push(key.clone());
                    }
                }
            }
        }
        for (key, cause) in exits {
            self.exited(&key, cause, id, now);
        }
        for key in missing {
            debug!(task = %key.job, index = key.index, machine = %id, "proven gone");
            self.unbind(&key, now);
        }
    }

    fn exited(&mut self, key: &TaskKey, cause: Cause, on: &MachineId, now: Instant) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let spec_shape = job.spec().shape;
        if cause == Cause::Done && spec_shape != Shape::Service && job.ended.is_none() {
            let ran =
                job.binding(key.index).and_then(|b| b.running_since).map(|since| now.saturating_duration_since(since));
            let estimate = job.spec().estimate();
            if let Some(ran) = ran.filter(|_| !estimate.is_zero() && job.tasks[key.index as usize].attempt == 1) {
                let off = (ran.as_secs_f64().max(1.0) / estimate.as_secs_f64()).ln().clamp(-2.0, 2.0);
                let seen = self.observed.entry(job.record.spec.class.clone()).or_default();
                seen.0 += off;
                seen.1 += 1.0;
            }
            self.completed_task(key, on, now);
            return;
        }
        if cause == Cause::Error {
            self.failed(key, on, now);
        } else if matches!(cause, Cause::NoRoom | Cause::Busy | Cause::Unknown) {
            warn!(task = %key.job, index = key.index, machine = %on, ?cause, "start refused");
            job.not_before = job.not_before.max(now + Duration::from_secs(1));
        }
        self.unbind(key, now);
    }

    fn completed_task(&mut self, key: &TaskKey, on: &MachineId, now: Instant) {
        self.leave(key, now);
        if let Some(machine) = self.machines.get_mut(on) {
            machine.failures = 0.0;
        }
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(task) = job.tasks.get_mut(key.index as usize) else { return };
        task.phase = Phase::Done;
        task.stored = false;
        job.waiting.remove(&key.index);
        job.done += 1;
        job.failures = 0;
        if job.complete() {
            if !self.completed.contains(&key.job) {
                self.completed.push_back(key.job.clone());
            }
        } else {
            self.mark(key);
        }
    }

    /// A failure counts against its machine, unless the job fails on machine after machine.
    fn failed(&mut self, key: &TaskKey, on: &MachineId, now: Instant) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        job.failures += 1;
        job.failed_on.insert(on.clone());
        let elsewhere = job.failed_on.len();
        if elsewhere >= 3 {
            let pause = Duration::from_secs(1u64 << job.failures.min(6)).min(LONGEST_PAUSE);
            job.not_before = job.not_before.max(now + pause);
        }
        info!(task = %key.job, index = key.index, machine = %on, elsewhere, "task failed");
        if elsewhere < 3
            && let Some(machine) = self.machines.get_mut(on)
        {
            machine.failures += 1.0;
            if machine.failures >= self.properties.machine_failures && machine.standing == Standing::Up {
                warn!(machine = %on, "given up: task after task fails on it");
                machine.standing = Standing::Draining;
            }
        }
    }

    /// The cloud takes the machine away: what can save and would not finish in time is stopped.
    fn recalled(&mut self, id: &MachineId, now: Instant) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        let Some(recall) = machine.recall else { return };
        let left = recall.saturating_duration_since(now);
        info!(machine = %id, left_s = left.as_secs_f64(), "to be taken away");
        machine.standing = match machine.standing {
            Standing::Condemned => Standing::Condemned,
            _ => Standing::Draining,
        };
        let keys: Vec<TaskKey> = machine.bound.iter().cloned().collect();
        for key in keys {
            let Some(job) = self.jobs.get(&key.job) else { continue };
            let Some(binding) = job.binding(key.index) else { continue };
            let rest = sla::remaining(self.estimate(job.spec()), binding.ran(now));
            let save_s = job.spec().save_s;
            let can_save = job.spec().checkpoint_s > 0.0 && save_s + 1.0 < left.as_secs_f64();
            if binding.running_since.is_none() || (can_save && rest > left) {
                self.halt(&key, save_s.ceil() as u64 + 1, now);
            }
        }
    }

    // ---- commands

    pub fn orders_in_answer(&mut self, machine: &str, now: Instant) -> Vec<Order> {
        let Some(m) = self.machines.get(machine) else { return Vec::new() };
        // One way at a time: with a direct command under way, what it did is not known yet.
        if m.command_under_way {
            return Vec::new();
        }
        let orders = self.orders(m);
        self.note_told(&orders, machine);
        if let Some(m) = self.machines.get_mut(machine) {
            if orders.iter().any(|o| matches!(o, Order::Launch { .. })) {
                m.launched_in = Some(m.newest_report);
            }
            if !orders.is_empty() {
                m.tell = false;
                m.next_command = now + COMMAND_GAP;
            }
        }
        orders
    }

    fn note_told(&mut self, orders: &[Order], machine: &str) {
        let Some(session) = self.machines.get(machine).map(|m| m.session) else { return };
        for order in orders {
            if let Order::Launch { task, .. } = order
                && let Some(binding) = self.jobs.get_mut(&task.job).and_then(|j| j.binding_mut(task.index))
            {
                binding.told.get_or_insert(session);
            }
        }
    }

    /// All that a machine should be told now, as a function of the book alone.
    fn orders(&self, m: &Machine) -> Vec<Order> {
        let mut orders = Vec::new();
        if !self.loaded || m.standing == Standing::Condemned {
            return orders;
        }
        for leg in &m.legs {
            let (task, attempt) = (leg.task.clone(), leg.attempt);
            let job = self.jobs.get(&task.job);
            if job.is_none() && !self.over.contains(&task.job) {
                continue;
            }
            let known = job.and_then(|j| j.tasks.get(task.index as usize).map(|t| (j, t)));
            let binding = known.and_then(|(_, t)| match &t.phase {
                Phase::Bound(b) if t.attempt == attempt && b.machine == m.id => Some(b),
                _ => None,
            });
            let ended = job.is_none_or(|j| j.ended.is_some());
            if leg.status == LegStatus::Exited {
                // A completion is stored before it may be forgotten, and nothing is forgotten
                // that a command still under way could start again.
                let unstored =
                    matches!(known, Some((j, t)) if matches!(t.phase, Phase::Done) && !t.stored && j.ended.is_none());
                if binding.is_none() && !unstored && m.settled() {
                    orders.push(Order::Reap { task, attempt });
                }
            } else if binding.is_none() || ended {
                orders.push(Order::Halt { task, attempt, grace_s: 0 });
            } else if let Some(grace_s) = binding.and_then(|b| b.halting)
                && (leg.status != LegStatus::Saving || grace_s == 0)
            {
                orders.push(Order::Halt { task, attempt, grace_s });
            }
        }
        if m.recall.is_none() {
            for key in &m.bound {
                let Some(job) = self.jobs.get(&key.job) else { continue };
                let Some(task) = job.tasks.get(key.index as usize) else { continue };
                let Phase::Bound(binding) = &task.phase else { continue };
                let shown = m.legs.iter().any(|l| l.task == *key && l.attempt == task.attempt);
                if task.stored
                    && !shown
                    && !binding.inherited
                    && job.ended.is_none()
                    && binding.halting.is_none()
                    && job.launchable()
                {
                    orders.push(Order::Launch { task: key.clone(), attempt: task.attempt });
                }
            }
        }
        orders.truncate(MOST_ORDERS);
        orders
    }

    /// Machines that have something new to be told, or have not yet seen this owner's token.
    pub fn direct_commands(&mut self, now: Instant) -> Vec<Direct> {
        let mut due = Vec::new();
        let ids: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| {
                !m.command_under_way
                    && m.standing != Standing::Condemned
                    && (m.tell || (m.token < self.token && now >= m.next_command))
            })
            .map(|m| m.id.clone())
            .collect();
        for id in ids {
            let Some(m) = self.machines.get(&id) else { continue };
            let Some(addr) = m.addr.clone() else { continue };
            let orders = self.orders(m);
            if orders.is_empty() && m.token >= self.token {
                if let Some(m) = self.machines.get_mut(&id) {
                    m.tell = false;
                }
                continue;
            }
            self.note_told(&orders, &id);
            let token = self.token;
            let Some(m) = self.machines.get_mut(&id) else { continue };
            m.command_under_way = true;
            m.tell = false;
            m.next_command = now + COMMAND_GAP;
            due.push(Direct { machine: id, addr, token, session: m.session.max(1), orders });
        }
        due
    }

    /// A direct command is no longer waited for. Unless settled, it may still be executed.
    pub fn command_over(&mut self, machine: &MachineId, token: u64, settled: bool, now: Instant) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        m.command_under_way = false;
        m.next_command = now + COMMAND_GAP;
        if !settled {
            m.unsettled = Some(m.unsettled.map_or(token, |t| t.max(token)));
            self.raise = true;
        }
    }

    /// Whether commands that may still arrive are to be made void by a higher token.
    pub fn raise_wanted(&self, now: Instant) -> bool {
        self.raise
            && self.loaded
            && now.saturating_duration_since(self.raised) >= RAISE_GAP
            && self.machines.values().any(|m| m.unsettled.is_some_and(|t| t >= self.token))
    }

    pub fn raise_token(&mut self, token: u64) {
        self.token = self.token.max(token);
        self.raise = false;
        self.raised += RAISE_GAP;
    }

    // ---- storing

    pub fn anything_to_store(&self) -> usize {
        self.dirty.len() + self.completed.len()
    }

    /// The next changes to store: ends first, then chunks, at most `most` together.
    pub fn next_writes(&mut self, most: usize) -> (Vec<JobId>, Vec<ChunkWrite>) {
        let mut ends = Vec::new();
        while ends.len() < most {
            let Some(id) = self.completed.pop_front() else { break };
            if self.jobs.get(&id).is_some_and(|j| j.ended.is_none()) {
                ends.push(id);
            }
        }
        let mut chunks = Vec::new();
        while ends.len() + chunks.len() < most {
            let Some(entry) = self.dirty.pop_front() else { break };
            self.dirty_set.remove(&entry);
            if let Some(write) = self.chunk_write(&entry.0, entry.1) {
                chunks.push(write);
            }
        }
        (ends, chunks)
    }

    /// None when there is nothing to say: the job is over, or about to be stored as done.
    fn chunk_write(&self, id: &JobId, chunk: u64) -> Option<ChunkWrite> {
        let job = self.jobs.get(id)?;
        if job.ended.is_some() || job.complete() {
            return None;
        }
        let from = (chunk * CHUNK) as usize;
        let to = (from + CHUNK as usize).min(job.tasks.len());
        let tasks = job.tasks.get(from..to)?;
        if tasks.iter().all(|t| t.stored) {
            return None;
        }
        Some(ChunkWrite {
            job: id.clone(),
            chunk,
            stamp: job.stamps.get(chunk as usize).copied()?,
            tasks: tasks.iter().map(Task::as_stored).collect(),
        })
    }

    /// These stand in the store under this stamp. What has changed since stays to be stored.
    pub fn chunks_stored(&mut self, writes: &[ChunkWrite], stamp: u64) {
        for write in writes {
            let Some(job) = self.jobs.get_mut(&write.job) else { continue };
            if let Some(slot) = job.stamps.get_mut(write.chunk as usize) {
                *slot = stamp;
            }
            let from = (write.chunk * CHUNK) as usize;
            let mut changed = false;
            for (task, stored) in job.tasks.iter_mut().skip(from).zip(&write.tasks) {
                task.stored = task.as_stored() == *stored;
                changed |= !task.stored;
                if let (true, Phase::Bound(binding)) = (task.stored, &task.phase)
                    && binding.told.is_none()
                    && let Some(machine) = self.machines.get_mut(&binding.machine)
                {
                    machine.tell = true;
                }
            }
            // A gang in several chunks is told to start by the last of them.
            if job.spec().is_gang() && job.stamps.len() > 1 && job.launchable() {
                for index in &job.bound {
                    if let Some(machine) = job.binding(*index).and_then(|b| self.machines.get_mut(&b.machine)) {
                        machine.tell = true;
                    }
                }
            }
            if changed {
                let key = TaskKey { job: write.job.clone(), index: from as u32 };
                self.mark(&key);
            }
        }
    }

    /// What was refused or is unknown is taken up again.
    pub fn to_store_again(&mut self, ends: &[JobId], writes: &[ChunkWrite]) {
        for id in ends.iter().rev() {
            if !self.completed.contains(id) {
                self.completed.push_front(id.clone());
            }
        }
        for write in writes.iter().rev() {
            let entry = (write.job.clone(), write.chunk);
            if self.dirty_set.insert(entry.clone()) {
                self.dirty.push_front(entry);
            }
        }
    }

    pub fn set_stamp(&mut self, id: &JobId, chunk: u64, stamp: u64) {
        if let Some(slot) = self.jobs.get_mut(id).and_then(|j| j.stamps.get_mut(chunk as usize)) {
            *slot = stamp;
        }
    }

    pub fn next_drops(&mut self, most: usize) -> Vec<(JobId, u64)> {
        let n = self.drops.len().min(most);
        self.drops.drain(..n).collect()
    }

    pub fn drop_again(&mut self, drops: Vec<(JobId, u64)>) {
        self.drops.extend(drops);
    }

    // ---- machines

    /// A machine that was rented or listed, before it reports.
    pub fn expect(&mut self, id: &str, kind: &Kind, addr: Option<&str>, held: Duration, now: Instant) {
        let id: MachineId = id.into();
        if self.gone_set.contains(&id) {
            return;
        }
        let machine = self.machines.entry(id.clone()).or_insert_with(|| {
            let mut machine = Machine::new(id, now);
            machine.since = now.checked_sub(held).unwrap_or(now);
            machine
        });
        if !machine.reported() {
            machine.type_name = kind.type_name.clone();
            machine.zone = kind.zone.clone();
            machine.spot = kind.spot;
            if let Some(addr) = addr.filter(|a| a.parse::<std::net::SocketAddr>().is_ok()) {
                machine.addr = Some(addr.to_owned());
            }
        }
    }

    pub fn condemn(&mut self, id: &str, why: &str) {
        if let Some(machine) = self.machines.get_mut(id)
            && machine.standing != Standing::Condemned
        {
            info!(machine = id, why, bound = machine.bound.len(), "to be returned");
            machine.standing = Standing::Condemned;
        }
    }

    /// No new work for a machine that can be spared; these tasks of it save and move.
    pub fn drain(&mut self, id: &MachineId, moves: &[(TaskKey, u64)], now: Instant) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        machine.standing = Standing::Draining;
        info!(machine = %id, bound = machine.bound.len(), moved = moves.len(), "drained: it can be spared");
        for (key, grace_s) in moves {
            self.halt(key, *grace_s, now);
        }
    }

    /// The cloud has confirmed the return: everything on it is gone.
    pub fn machine_gone(&mut self, id: &MachineId, now: Instant) {
        let Some(machine) = self.machines.get(id) else { return };
        let keys: Vec<TaskKey> = machine.bound.iter().cloned().collect();
        for key in keys {
            self.unbind(&key, now);
        }
        self.machines.remove(id);
        if self.gone_set.insert(id.clone()) {
            self.gone.push_back(id.clone());
        }
        if self.gone.len() > GONE_KEPT
            && let Some(oldest) = self.gone.pop_front()
        {
            self.gone_set.remove(&oldest);
        }
    }

    /// A controller that stood still has not listened: the machines were not silent for that
    /// long, and what it missed may still be on its way.
    fn forgive_own_pause(&mut self, now: Instant) {
        let pause = now.saturating_duration_since(self.ticked);
        self.ticked = now;
        if pause > LONGEST_TICK {
            warn!(pause_s = pause.as_secs_f64(), "stood still");
            for machine in self.machines.values_mut() {
                machine.heard = (machine.heard + pause).min(now);
            }
        }
    }

    /// At least three machines, and one in `part` of those that ever reported, have been silent
    /// for about as long as the silence that is still tolerated.
    fn many_silent(&self, silence: Duration, part: usize, now: Instant) -> bool {
        let reported = self.machines.values().filter(|m| m.reported());
        let (mut all, mut silent) = (0, 0);
        for machine in reported {
            all += 1;
            silent += usize::from(now.saturating_duration_since(machine.heard) > silence.mul_f64(0.8));
        }
        silent >= 3 && silent * part >= all
    }

    /// Most machines have missed two reports: whoever they talk to, it is not this controller.
    pub fn lost_most(&self, now: Instant) -> bool {
        let missed = self.settings.params.workers.report().mul_f64(2.0);
        self.many_silent(missed, MOST, now)
    }

    /// Holds a task of a job that is over, and has not proven it gone for too long.
    pub fn overdue(&self, machine: &Machine, now: Instant) -> bool {
        let patience = self.settings.params.workers.cancel().mul_f64(CANCEL_PATIENCE);
        let ended = machine.bound.iter().filter_map(|k| self.jobs.get(&k.job)?.ended);
        ended.into_iter().any(|at| now.saturating_duration_since(at) > patience)
    }

    /// What time alone brings about: silence, overdue proofs, empty machines that drain.
    pub fn tick(&mut self, now: Instant) {
        if !self.loaded {
            return;
        }
        self.forgive_own_pause(now);
        // Many machines that fall silent together point at the network or at this controller:
        // returning them all would lose what they run. They get until their leases are over.
        let silence = if self.many_silent(self.properties.silence, TOGETHER, now) {
            (self.settings.params.workers.lease() + LEASE_MARGIN).max(self.properties.silence)
        } else {
            self.properties.silence
        };
        let mut condemn: Vec<(MachineId, &str)> = Vec::new();
        for machine in self.machines.values() {
            let quiet = now.saturating_duration_since(machine.heard);
            if machine.reported() && quiet > silence {
                condemn.push((machine.id.clone(), "silent"));
            } else if !machine.reported() && !machine.bound.is_empty() && quiet > silence {
                condemn.push((machine.id.clone(), "holds tasks and was never heard of"));
            } else if machine.standing == Standing::Draining && machine.bound.is_empty() {
                condemn.push((machine.id.clone(), "drained"));
            } else if self.overdue(machine, now) {
                condemn.push((machine.id.clone(), "a withdrawn task is not proven gone"));
            }
        }
        for (id, why) in condemn {
            self.condemn(&id, why);
        }
    }
}

fn count(job: &JobState) -> Counts {
    let running = job
        .bound
        .iter()
        .filter(|i| matches!(job.binding(**i).and_then(|b| b.status), Some(LegStatus::Running | LegStatus::Saving)))
        .count();
    Counts { running: running as u64, done: job.done }
}
