//! Machines and their workers: sessions, leases, tokens, tasks and gangs, as the protocol's page describes them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::msgpack::Value;

#[derive(Debug, Clone, PartialEq)]
pub enum Phase {
    Fetching(Instant),
    Gathering(Instant),
    Running(Instant),
    Saving(Instant),
    Ended { cause: &'static str, kept: bool },
}

#[derive(Debug, Clone)]
pub struct Task {
    pub leg: String,
    pub attempt: u64,
    pub phase: Phase,
    /// Whether the task has had its image, and so is on the machine until it ends.
    pub on_machine: bool,
}

/// What a user has uploaded for a job.
#[derive(Debug, Clone)]
pub struct Upload {
    pub gang: bool,
    pub tasks: u64,
    pub cpus: f64,
    pub mem: f64,
    pub run: Duration,
    pub checkpoint_s: f64,
    pub stow_s: f64,
    pub image: &'static str,
}

pub struct Worker {
    pub name: String,
    pub endpoint: String,
    pub fleet: String,
    pub yard: String,
    pub borrowed: bool,
    pub cpus: f64,
    pub mem: f64,
    pub shift: u64,
    pub tally: u64,
    pub baton: u64,
    pub renewed: Instant,
    pub tasks: Vec<Task>,
    pub alive: bool,
    /// When the machine stopped by itself.
    pub died: Option<Instant>,
    /// Until this time the machine does not execute.
    pub hangs_until: Instant,
    /// Until this time the machine's reports go nowhere.
    pub mute_until: Instant,
    /// Until this time answers and direct commands to the machine are lost.
    pub deaf_until: Instant,
    /// Images that the machine has fetched; it keeps them.
    pub images: BTreeSet<String>,
}

pub struct Timing {
    pub lease: Duration,
    pub gang_wait: Duration,
    pub gang_peer: Duration,
}

/// What happened to tasks, for the record and the judge.
#[derive(Debug, Clone)]
pub struct Event {
    pub at: Instant,
    pub leg: String,
    pub attempt: u64,
    pub machine: String,
    pub what: &'static str,
}

pub struct Fleet {
    pub timing: Timing,
    pub workers: BTreeMap<String, Worker>,
    pub uploads: HashMap<String, Upload>,
    pub results: BTreeSet<String>,
    pub events: Vec<Event>,
    broken_gangs: HashMap<(String, u64), Instant>,
    pub largest_report: usize,
}

const FETCH: Duration = Duration::from_millis(300);

fn job_of(leg: &str) -> &str {
    leg.split('/').next().unwrap_or("")
}

impl Task {
    pub fn is_live(&self) -> bool {
        !matches!(self.phase, Phase::Ended { .. })
    }

    fn report(&self) -> Value {
        let status = match self.phase {
            Phase::Fetching(_) => "fetching",
            Phase::Gathering(_) => "gathering",
            Phase::Running(_) => "running",
            Phase::Saving(_) => "saving",
            Phase::Ended { .. } => "ended",
        };
        let mut entries = vec![
            ("leg".to_owned(), Value::text(&self.leg)),
            ("try".to_owned(), Value::Uint(self.attempt)),
            ("status".to_owned(), Value::text(status)),
        ];
        if let Phase::Ended { cause, kept } = &self.phase {
            entries.push(("cause".to_owned(), Value::text(*cause)));
            if *kept {
                entries.push(("kept".to_owned(), Value::Bool(true)));
            }
        }
        Value::Map(entries)
    }
}

impl Worker {
    pub fn awake(&self, now: Instant) -> bool {
        self.alive && self.hangs_until <= now
    }

    pub fn hears(&self, now: Instant) -> bool {
        self.awake(now) && self.deaf_until <= now
    }

    /// The worker's next report.
    pub fn report(&mut self) -> Value {
        self.tally += 1;
        Value::map([
            ("berth", Value::text(&self.name)),
            ("endpoint", Value::text(&self.endpoint)),
            ("fleet", Value::text(&self.fleet)),
            ("yard", Value::text(&self.yard)),
            ("borrowed", Value::Bool(self.borrowed)),
            ("shift", Value::Uint(self.shift)),
            ("tally", Value::Uint(self.tally)),
            ("baton", Value::Uint(self.baton)),
            ("recallS", Value::Null),
            ("legs", Value::List(self.tasks.iter().map(Task::report).collect())),
        ])
    }

    /// What counts as a change that is reported at once.
    pub fn digest(&self) -> (u64, u64, Vec<(String, u64, u8)>) {
        let phase = |task: &Task| match task.phase {
            Phase::Fetching(_) => 0,
            Phase::Gathering(_) => 1,
            Phase::Running(_) => 2,
            Phase::Saving(_) => 3,
            Phase::Ended { .. } => 4,
        };
        (self.shift, self.baton, self.tasks.iter().map(|t| (t.leg.clone(), t.attempt, phase(t))).collect())
    }

    fn live_index(&self, leg: &str, attempt: u64) -> Option<usize> {
        self.tasks.iter().position(|t| t.leg == leg && t.attempt == attempt && t.is_live())
    }
}

impl Fleet {
    pub fn new(timing: Timing) -> Self {
        Self {
            timing,
            workers: BTreeMap::new(),
            uploads: HashMap::new(),
            results: BTreeSet::new(),
            events: Vec::new(),
            broken_gangs: HashMap::new(),
            largest_report: 0,
        }
    }

    fn event(&mut self, now: Instant, task: &Task, machine: &str, what: &'static str) {
        self.events.push(Event {
            at: now,
            leg: task.leg.clone(),
            attempt: task.attempt,
            machine: machine.to_owned(),
            what,
        });
    }

    fn end(&mut self, name: &str, index: usize, cause: &'static str, kept: bool, now: Instant) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.tasks[index].phase = Phase::Ended { cause, kept };
        let task = worker.tasks[index].clone();
        if task.on_machine {
            self.event(now, &task, name, cause);
        }
        if cause == "done" {
            self.results.insert(task.leg.clone());
        }
    }

    /// Executes the commands of a response or of `/do`, in order.
    pub fn execute(&mut self, name: &str, orders: &[Value], now: Instant) {
        for order in orders {
            let leg = order.get("leg").as_str().unwrap_or("").to_owned();
            let attempt = order.get("try").as_u64().unwrap_or(0);
            match order.get("verb").as_str() {
                Some("launch") => self.launch(name, leg, attempt, now),
                Some("halt") => self.halt(name, &leg, attempt, order.get("windDownS").as_f64().unwrap_or(0.0), now),
                Some("reap") => {
                    if let Some(worker) = self.workers.get_mut(name) {
                        worker.tasks.retain(|t| t.is_live() || t.leg != leg || t.attempt != attempt);
                    }
                }
                _ => {}
            }
        }
    }

    fn launch(&mut self, name: &str, leg: String, attempt: u64, now: Instant) {
        let upload = self.uploads.get(job_of(&leg)).cloned();
        let uploads = &self.uploads;
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.tasks.iter().any(|t| t.leg == leg && t.attempt == attempt) {
            return;
        }
        let used = |amount: fn(&Upload) -> f64| -> f64 {
            let live = worker.tasks.iter().filter(|t| t.is_live());
            live.filter_map(|t| uploads.get(job_of(&t.leg))).map(amount).sum()
        };
        let refused = match &upload {
            None => Some("no_such"),
            Some(_) if worker.tasks.iter().any(|t| t.leg == leg && t.is_live()) => Some("busy"),
            Some(u)
                if used(|u| u.cpus) + u.cpus > worker.cpus + 1e-6 || used(|u| u.mem) + u.mem > worker.mem + 1e-6 =>
            {
                Some("full")
            }
            Some(_) => None,
        };
        let has_image = upload.is_some_and(|u| worker.images.contains(u.image));
        let phase = match refused {
            Some(cause) => Phase::Ended { cause, kept: false },
            // An image that the machine has already needs no fetch: the task starts at once.
            None if has_image => Phase::Fetching(now.checked_sub(FETCH).unwrap_or(now)),
            None => Phase::Fetching(now),
        };
        let task = Task { leg, attempt, phase, on_machine: false };
        worker.tasks.push(task.clone());
        let index = worker.tasks.len() - 1;
        self.advance(name, index, &task, now);
    }

    fn halt(&mut self, name: &str, leg: &str, attempt: u64, wind_down_s: f64, now: Instant) {
        let Some(upload) = self.uploads.get(job_of(leg)).cloned() else { return };
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(index) = worker.live_index(leg, attempt) else { return };
        match worker.tasks[index].phase {
            Phase::Running(_) if upload.checkpoint_s > 0.0 && wind_down_s >= upload.stow_s => {
                worker.tasks[index].phase = Phase::Saving(now + Duration::from_secs_f64(upload.stow_s));
            }
            Phase::Saving(_) if wind_down_s > 0.0 => {}
            _ => self.end(name, index, "halted", false, now),
        }
    }

    /// Loses everything on a machine: with its session or with the machine itself.
    pub fn lose_all(&mut self, name: &str, now: Instant) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let tasks = std::mem::take(&mut worker.tasks);
        for task in tasks.iter().filter(|t| t.is_live() && t.on_machine) {
            self.event(now, task, name, "lost");
        }
    }

    /// Removes a machine with all that is on it.
    pub fn remove(&mut self, name: &str, now: Instant) {
        self.lose_all(name, now);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.alive = false;
        }
    }

    /// Handles the answer to a report that was sent at `sent` in session `shift`.
    pub fn answer(&mut self, name: &str, shift: u64, sent: Instant, body: &Value, now: Instant) {
        let Some(worker) = self.workers.get_mut(name).filter(|w| w.hears(now)) else { return };
        let Some(baton) = body.get("baton").as_u64() else { return };
        if worker.shift != shift || baton < worker.baton || now - sent > Duration::from_secs(4) {
            return;
        }
        worker.baton = baton;
        worker.renewed = worker.renewed.max(sent);
        self.execute(name, body.get("orders").items(), now);
    }

    /// Handles `/do`; none if the machine does not hear.
    pub fn command(&mut self, name: &str, body: &Value, now: Instant) -> Option<(u16, Value)> {
        let worker = self.workers.get_mut(name).filter(|w| w.hears(now))?;
        let (Some(baton), Some(shift)) = (body.get("baton").as_u64(), body.get("shift").as_u64()) else {
            return Some((400, Value::Null));
        };
        let accepted = baton >= worker.baton && shift == worker.shift;
        if accepted {
            worker.baton = baton;
            self.execute(name, body.get("orders").items(), now);
        }
        let worker = self.workers.get_mut(name)?;
        Some((if accepted { 200 } else { 409 }, worker.report()))
    }

    fn start_ready_gangs(&mut self, now: Instant) {
        let mut gathering: HashMap<(String, u64), Vec<(String, usize)>> = HashMap::new();
        for (name, worker) in self.workers.iter().filter(|(_, w)| w.awake(now)) {
            for (index, task) in worker.tasks.iter().enumerate() {
                if matches!(task.phase, Phase::Gathering(_)) {
                    let key = (job_of(&task.leg).to_owned(), task.attempt);
                    gathering.entry(key).or_default().push((name.clone(), index));
                }
            }
        }
        for ((job, _), places) in gathering {
            if self.uploads.get(&job).is_some_and(|u| u.tasks == places.len() as u64) {
                for (name, index) in places {
                    if let Some(worker) = self.workers.get_mut(&name) {
                        worker.tasks[index].phase = Phase::Running(now);
                    }
                }
            }
        }
    }

    /// Ends the tasks of running gangs that lost a task.
    fn end_broken_gangs(&mut self, now: Instant) {
        let mut running: HashMap<(String, u64), Vec<(String, usize)>> = HashMap::new();
        for (name, worker) in self.workers.iter().filter(|(_, w)| w.awake(now)) {
            for (index, task) in worker.tasks.iter().enumerate() {
                let gang = self.uploads.get(job_of(&task.leg)).is_some_and(|u| u.gang);
                if gang && matches!(task.phase, Phase::Running(_) | Phase::Saving(_)) {
                    let key = (job_of(&task.leg).to_owned(), task.attempt);
                    running.entry(key).or_default().push((name.clone(), index));
                }
            }
        }
        self.broken_gangs.retain(|key, _| running.contains_key(key));
        for (key, places) in running {
            let is_done = |leg: &String| job_of(leg) == key.0;
            if self.uploads.get(&key.0).is_some_and(|u| u.tasks == places.len() as u64)
                || self.results.iter().any(is_done)
            {
                continue;
            }
            let since = *self.broken_gangs.entry(key).or_insert(now);
            if now - since >= self.timing.gang_peer {
                places.into_iter().for_each(|(name, index)| self.end(&name, index, "peers", false, now));
            }
        }
    }

    /// Whether all tasks of a running gang are there, on machines that do not hang; or one has just completed, and with it
    /// all: the tasks of a gang complete together.
    fn is_gang_whole(&self, task: &Task, tasks: u64, now: Instant) -> bool {
        let machines = self.workers.values().filter(|w| w.awake(now));
        let same = |t: &&Task| {
            job_of(&t.leg) == job_of(&task.leg)
                && t.attempt == task.attempt
                && matches!(t.phase, Phase::Running(_) | Phase::Ended { cause: "done", .. })
        };
        machines.flat_map(|w| &w.tasks).filter(same).count() as u64 == tasks
    }

    /// Advances all machines to `now`.
    pub fn tick(&mut self, now: Instant) {
        let names: Vec<String> = self.workers.iter().filter(|(_, w)| w.awake(now)).map(|(n, _)| n.clone()).collect();
        for name in &names {
            let Some(worker) = self.workers.get_mut(name) else { continue };
            if now - worker.renewed > self.timing.lease {
                worker.shift += 1;
                worker.tally = 0;
                worker.renewed = now;
                self.lose_all(name, now);
                continue;
            }
            let mut index = 0;
            while let Some(task) = self.workers.get(name).and_then(|w| w.tasks.get(index)).cloned() {
                self.advance(name, index, &task, now);
                index += 1;
            }
        }
        self.start_ready_gangs(now);
        self.end_broken_gangs(now);
    }

    fn advance(&mut self, name: &str, index: usize, task: &Task, now: Instant) {
        let Some(upload) = self.uploads.get(job_of(&task.leg)).cloned() else { return };
        match task.phase {
            Phase::Fetching(since) if now - since >= FETCH => {
                let done = self.results.contains(&task.leg);
                if let Some(worker) = self.workers.get_mut(name) {
                    worker.images.insert(upload.image.to_owned());
                    worker.tasks[index].on_machine = true;
                    worker.tasks[index].phase = if upload.gang { Phase::Gathering(now) } else { Phase::Running(now) };
                }
                self.event(now, task, name, "start");
                if done {
                    self.end(name, index, "done", false, now);
                }
            }
            Phase::Gathering(since) if now - since >= self.timing.gang_wait => {
                self.end(name, index, "alone", false, now)
            }
            Phase::Running(since)
                if !upload.run.is_zero()
                    && now - since >= upload.run
                    && (!upload.gang || self.is_gang_whole(task, upload.tasks, now)) =>
            {
                self.end(name, index, "done", false, now);
            }
            Phase::Saving(until) if now >= until => self.end(name, index, "halted", true, now),
            _ => {}
        }
    }

    /// The number of live tasks of a job on all machines.
    pub fn live_tasks(&self, job: &str) -> usize {
        let tasks = self.workers.values().filter(|w| w.alive).flat_map(|w| &w.tasks);
        tasks.filter(|t| t.is_live() && t.on_machine && job_of(&t.leg) == job).count()
    }
}
