//! The workers: agent epochs, leases, fencing tokens, image caches, attempts of tasks, and gangs.
//!
//! [`Fleet`] holds the state. Its methods are split into modules: heartbeats and their responses, commands, images,
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

use gangs::{GangAttempt, GangStop};
use heartbeats::HeartbeatCopy;
use worker::{Task, TaskState, Worker};

/// Maximum time from a heartbeat to its response; a worker ignores a later response.
pub const MAX_RESPONSE_DELAY: Duration = Duration::from_secs(4);

/// Timeouts of the workers.
#[derive(Debug, Clone, Copy)]
pub struct Params {
    /// A worker ends its agent epoch and its tasks if no heartbeat was answered for this long.
    pub lease: Duration,
    /// Maximum time for which a member of a gang waits for the others to start.
    pub gang_wait: Duration,
    /// Time that the members of a gang take to detect that one is missing.
    pub gang_peer: Duration,
}

/// A job as its user uploaded it for the workers: its description, and properties that only its execution shows.
#[derive(Debug, Clone)]
pub struct Upload {
    /// The job's description.
    pub spec: JobSpec,
    /// Real run time of a task on a machine of speed 1; zero for services, which do not end.
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
    pub machine_type: MachineType,
    /// The machine's zone.
    pub zone: String,
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// Run time of a task that the machine completes per unit of time; 1 for an ordinary machine.
    pub speed: f64,
}

/// A change of an attempt of a task on a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEvent {
    /// The attempt has its image and occupies the machine from now on.
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
        /// Why the attempt ended.
        cause: ExitCause,
    },
    /// The attempt was lost with its machine or with its agent epoch.
    Lost {
        /// The task.
        task: TaskKey,
        /// Number of the attempt.
        attempt: u64,
        /// The machine.
        machine: String,
    },
}

/// All workers, and the state that outlives them: uploads, results and checkpoints. Times are durations since the start
/// of the world.
#[derive(Debug)]
pub struct Fleet {
    params: Params,
    workers: BTreeMap<String, Worker>,
    uploads: HashMap<JobId, Arc<Upload>>,
    results: HashSet<TaskKey>,
    /// The saved progress of tasks, by [`Task::checkpoint_key`].
    checkpoints: HashMap<TaskKey, Duration>,
    gang_stops: HashMap<GangAttempt, GangStop>,
    /// Running gangs of which a member is gone or hangs, and since when.
    incomplete_gangs: HashMap<GangAttempt, Duration>,
    /// Jobs whose gangs are done: if one task is done, all are.
    gangs_done: HashSet<JobId>,
    /// Events since the last call of [`Fleet::drain_events`].
    events: Vec<AttemptEvent>,
    /// Copies of heartbeats that will be delivered later. They are not stored in the worker, since they outlive their
    /// machines.
    copies: Vec<HeartbeatCopy>,
    /// The time up to which the fleet has been advanced.
    advanced_to: Duration,
}

impl Fleet {
    /// Creates a fleet without machines.
    pub fn new(params: Params) -> Self {
        Self {
            params,
            workers: BTreeMap::new(),
            uploads: HashMap::new(),
            results: HashSet::new(),
            checkpoints: HashMap::new(),
            gang_stops: HashMap::new(),
            incomplete_gangs: HashMap::new(),
            gangs_done: HashSet::new(),
            events: Vec::new(),
            copies: Vec::new(),
            advanced_to: Duration::ZERO,
        }
    }

    /// Makes a job's description available to the workers; users upload it before or after submitting the job.
    pub fn upload(&mut self, upload: Upload) {
        self.uploads.insert(upload.spec.id.clone(), Arc::new(upload));
    }

    /// Adds a machine that has booted. Its worker begins its first agent epoch.
    pub fn add_machine(&mut self, name: &str, machine: Machine, now: Duration) {
        self.workers.insert(name.to_owned(), Worker::new(machine, now));
    }

    /// Removes a machine with everything on it.
    pub fn remove_machine(&mut self, name: &str, now: Duration) {
        self.tick(now);
        if let Some(mut worker) = self.workers.remove(name) {
            self.lose_tasks(name, worker.tasks.drain(..));
        }
    }

    /// Gives a machine's worker notice that the machine will be interrupted at this time.
    pub fn notify_interruption(&mut self, name: &str, at: Duration) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.interruption_at = Some(at);
        }
    }

    /// A hash of the state whose changes a worker reports at once; none if there is no such machine.
    pub fn report_digest(&self, name: &str) -> Option<u64> {
        let worker = self.workers.get(name)?;
        let mut hasher = DefaultHasher::new();
        (worker.agent_epoch, worker.fencing_token, worker.interruption_at, worker.unknown.len()).hash(&mut hasher);
        for task in &worker.tasks {
            (&task.key, task.attempt, std::mem::discriminant(&task.state)).hash(&mut hasher);
        }
        Some(hasher.finish())
    }

    /// Names of the machines on which a completed task waits to be reaped.
    pub fn machines_with_results(&self) -> impl Iterator<Item = &String> {
        let has_result = |w: &Worker| w.tasks.iter().any(|t| matches!(t.state, TaskState::Ended(ExitCause::Done, _)));
        self.workers.iter().filter(move |(_, w)| has_result(w)).map(|(name, _)| name)
    }

    /// Names of the machines in a zone.
    pub fn machines_in_zone(&self, zone: &str) -> impl Iterator<Item = &String> {
        self.workers.iter().filter(move |(_, worker)| worker.machine.zone == zone).map(|(name, _)| name)
    }

    /// Names of all machines that are up.
    pub fn machine_names(&self) -> impl Iterator<Item = &String> {
        self.workers.keys()
    }

    /// Number of attempts of a job that are on some machine and have not ended.
    pub fn count_live_tasks(&self, job: &str) -> usize {
        self.workers.values().flat_map(|w| &w.tasks).filter(|t| t.is_live() && *t.key.job == *job).count()
    }

    /// Number of attempts of a job that are on this machine and have not ended.
    pub fn count_live_tasks_on(&self, machine: &str, job: &str) -> usize {
        let tasks = self.workers.get(machine).into_iter().flat_map(|worker| &worker.tasks);
        tasks.filter(|t| t.is_live() && *t.key.job == *job).count()
    }

    /// Number of attempts of all jobs that are on some machine and have not ended.
    pub fn count_all_live_tasks(&self) -> usize {
        self.workers.values().flat_map(|w| &w.tasks).filter(|t| t.is_live()).count()
    }

    /// Number of attempts that the workers know, live or ended and not yet reaped.
    pub fn count_attempts(&self) -> usize {
        self.workers.values().map(|worker| worker.tasks.len()).sum()
    }

    /// The completed tasks, whose results are stored.
    pub fn results(&self) -> &HashSet<TaskKey> {
        &self.results
    }

    /// Removes and returns the events since the last call, for the judge.
    pub fn drain_events(&mut self) -> Vec<AttemptEvent> {
        std::mem::take(&mut self.events)
    }

    /// Advances all workers and gangs to `now`.
    pub fn tick(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.advanced_to);
        // Every message calls this function. Many messages arrive at the same moment, and advancing all workers is
        // expensive.
        if elapsed.is_zero() && self.advanced_to > Duration::ZERO {
            return;
        }
        self.advanced_to = self.advanced_to.max(now);
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in &names {
            self.expire_lease(name, now);
            self.advance_fetches(name, elapsed, now);
        }
        self.advance_gangs(elapsed, now);
        for name in &names {
            self.advance_tasks(name, elapsed, now);
        }
    }

    /// Ends the agent epoch and all its attempts if the worker's lease has expired; a hanging worker does so later.
    fn expire_lease(&mut self, name: &str, now: Duration) {
        let lease = self.params.lease;
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.hangs_until > now || now.saturating_sub(worker.lease_renewed_at).mul_f64(worker.clock_rate) <= lease {
            return;
        }
        worker.agent_epoch += 1;
        worker.lease_renewed_at = now;
        worker.unknown.clear();
        let killed = std::mem::take(&mut worker.tasks);
        self.lose_tasks(name, killed.into_iter());
    }

    /// Discards tasks that are lost with their machine or agent epoch, and records the loss of those that were live.
    fn lose_tasks(&mut self, name: &str, tasks: impl Iterator<Item = Task>) {
        for task in tasks {
            self.restore_last_checkpoint(&task);
            if task.is_live() {
                let (task, attempt) = (task.key, task.attempt);
                self.events.push(AttemptEvent::Lost { task, attempt, machine: name.to_owned() });
            }
        }
    }

    /// Reduces the progress of a task that ends without saving to its last periodic checkpoint.
    fn restore_last_checkpoint(&mut self, task: &Task) {
        if matches!(task.state, TaskState::Running | TaskState::Saving(_)) {
            let periodic = task.periodic_checkpoint();
            let saved = self.checkpoints.entry(task.checkpoint_key()).or_default();
            *saved = (*saved).max(periodic);
        }
    }
}

#[cfg(test)]
mod tests;
