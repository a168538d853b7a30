//! The workers: agent epochs, leases, fencing tokens, images, tasks that run, save and end, and gangs.
//!
//! [`Fleet`] holds the state. Its methods are parted by what they do: reports and their answers, orders, images,
//! running tasks, gangs, and faults.

mod faults;
mod gangs;
mod heartbeats;
mod images;
mod orders;
mod running;
mod worker;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use hollylanding_protocol::cloud::MachineType;
use hollylanding_protocol::jobs::{JobId, JobSpec};
use hollylanding_protocol::workers::{ExitCause, TaskKey};

use gangs::{GangAttempt, Stop};
use heartbeats::ReportCopy;
use worker::{Task, TaskState, Worker};

/// A worker ignores an answer that arrives later than this after its heartbeat.
pub const ANSWER_TAKEN: Duration = Duration::from_secs(4);

/// Timeouts of the workers.
#[derive(Debug, Clone, Copy)]
pub struct Params {
    /// A worker ends its agent epoch and its tasks if no heartbeat was answered for this long.
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
        cause: ExitCause,
    },
    /// The attempt was lost with its machine, or with the agent's epoch.
    Lost {
        /// The task.
        task: TaskKey,
        /// Number of the attempt.
        attempt: u64,
        /// The machine.
        machine: String,
    },
}

/// All workers, and what outlives them: uploads, results, checkpoints. Times are since the world began.
#[derive(Debug)]
pub struct Fleet {
    params: Params,
    workers: BTreeMap<String, Worker>,
    uploads: HashMap<JobId, Arc<Upload>>,
    results: HashSet<TaskKey>,
    saved: HashMap<TaskKey, Duration>,
    stops: HashMap<GangAttempt, Stop>,
    /// Gangs that run and of which somebody is gone or hangs, and since when.
    broken: HashMap<GangAttempt, Duration>,
    /// Gangs that are done: if one task is, all are.
    gangs_done: HashSet<JobId>,
    happened: Vec<Happening>,
    /// Copies of heartbeats that will be delivered later: kept here, since they outlive their machines.
    copies: Vec<ReportCopy>,
    at: Duration,
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

    /// A machine is up: its worker begins its first agent epoch.
    pub fn up(&mut self, name: &str, machine: Machine, now: Duration) {
        self.workers.insert(name.to_owned(), Worker::new(machine, now));
    }

    /// A machine and everything on it is gone.
    pub fn gone(&mut self, name: &str, now: Duration) {
        self.tick(now);
        if let Some(mut worker) = self.workers.remove(name) {
            self.lose_all(name, worker.tasks.drain(..));
        }
    }

    /// The cloud's notice: the machine will be taken at that time.
    pub fn recall(&mut self, name: &str, at: Duration) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.recall = Some(at);
        }
    }

    /// Differs whenever something has changed that a worker reports at once.
    pub fn digest(&self, name: &str) -> Option<u64> {
        let worker = self.workers.get(name)?;
        let mut hasher = DefaultHasher::new();
        (worker.agent_epoch, worker.fencing_token, worker.recall, worker.unknown.len()).hash(&mut hasher);
        for task in &worker.tasks {
            (&task.key, task.attempt, std::mem::discriminant(&task.state)).hash(&mut hasher);
        }
        Some(hasher.finish())
    }

    /// Machines on which a finished task waits to be reaped.
    pub fn holders(&self) -> impl Iterator<Item = &String> {
        let holds = |w: &Worker| w.tasks.iter().any(|t| matches!(t.state, TaskState::Ended(ExitCause::Done, _)));
        self.workers.iter().filter(move |(_, w)| holds(w)).map(|(name, _)| name)
    }

    /// Names of the machines in a zone.
    pub fn in_zone(&self, zone: &str) -> impl Iterator<Item = &String> {
        self.workers.iter().filter(move |(_, worker)| worker.machine.zone == zone).map(|(name, _)| name)
    }

    /// Names of all machines that are up.
    pub fn machine_names(&self) -> impl Iterator<Item = &String> {
        self.workers.keys()
    }

    /// Tasks of a job that are on some machine and have not ended.
    pub fn count_live_tasks(&self, job: &str) -> usize {
        self.workers.values().flat_map(|w| &w.tasks).filter(|t| t.live() && *t.key.job == *job).count()
    }

    /// Tasks that are on machines and have not ended.
    pub fn live_all(&self) -> usize {
        self.workers.values().flat_map(|w| &w.tasks).filter(|t| t.live()).count()
    }

    /// Tasks whose results are kept.
    pub fn results(&self) -> &HashSet<TaskKey> {
        &self.results
    }

    /// What has happened since the last call, for whoever judges.
    pub fn happened(&mut self) -> Vec<Happening> {
        std::mem::take(&mut self.happened)
    }

    /// All that time has brought about since the last call.
    pub fn tick(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at);
        // Every message calls this: many arrive at the same moment, and advancing all workers is expensive.
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

    /// A lease that is over ends the agent epoch and all that runs in it, once the machine can act.
    fn expire(&mut self, name: &str, now: Duration) {
        let lease = self.params.lease;
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.hangs_until > now || now.saturating_sub(worker.renewed).mul_f64(worker.clock) <= lease {
            return;
        }
        worker.agent_epoch += 1;
        worker.renewed = now;
        worker.unknown.clear();
        let killed = std::mem::take(&mut worker.tasks);
        self.lose_all(name, killed.into_iter());
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

    /// What is lost of a task that ends without having saved.
    fn lose(&mut self, task: &Task) {
        if matches!(task.state, TaskState::Running | TaskState::Saving(_)) {
            let kept = task.checkpoint();
            let saved = self.saved.entry(task.save_key()).or_default();
            *saved = (*saved).max(kept);
        }
    }
}

#[cfg(test)]
mod tests;
