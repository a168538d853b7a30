//! Faults of workers and their machines, injected on command.

use std::time::Duration;

use hollylanding_protocol::workers::TaskKey;

use super::Fleet;
use super::heartbeats::CopyWindow;
use super::worker::{TaskState, Worker};

/// Added to the number of an attempt that is started a second time, so that it differs from any real one.
const SECOND_ATTEMPT: u64 = 1000;

impl Fleet {
    /// Changes a worker, if its machine is there.
    fn on_worker(&mut self, name: &str, change: impl FnOnce(&mut Worker)) {
        if let Some(worker) = self.workers.get_mut(name) {
            change(worker);
        }
    }

    /// The worker does nothing until then, and continues afterwards.
    pub fn hang(&mut self, name: &str, until: Duration) {
        self.on_worker(name, |worker| worker.hangs_until = until);
    }

    /// A one-way partition until then: the worker's messages arrive, messages to it do not.
    pub fn cut_off(&mut self, name: &str, until: Duration) {
        self.on_worker(name, |worker| worker.unreachable_until = until);
    }

    /// Whether answers and commands reach the worker.
    pub fn is_reachable(&self, name: &str, now: Duration) -> bool {
        self.workers.get(name).is_some_and(|w| w.unreachable_until <= now)
    }

    /// A copy of each of its heartbeats until then comes between `from` and `to` later, in whatever order.
    pub fn copy_reports(&mut self, name: &str, until: Duration, from: Duration, to: Duration) {
        self.on_worker(name, |worker| {
            worker.copied = CopyWindow { until, least_delay: from, most_delay: to.max(from) }
        });
    }

    /// Sets whether the worker fails every task that it runs.
    pub fn set_sick(&mut self, name: &str, sick: bool) {
        self.on_worker(name, |worker| worker.sick = sick);
    }

    /// Sets the rate of the worker's monotonic clock, by which it measures its lease; 1 is exact.
    pub fn set_clock(&mut self, name: &str, clock: f64) {
        self.on_worker(name, |worker| worker.clock = clock);
    }

    /// Runs this many times as fast as an ordinary machine.
    pub fn set_speed(&mut self, name: &str, speed: f64) {
        self.on_worker(name, |worker| worker.machine.speed = speed);
    }

    /// Starts a running task on a second machine too: a rule broken on purpose. False if nothing runs, or no other
    /// machine has room.
    pub fn start_twice(&mut self, now: Duration) -> bool {
        self.tick(now);
        let running = self.running_attempts();
        let names: Vec<String> = self.workers.keys().cloned().collect();
        running.iter().any(|(machine, key, attempt)| {
            let mut others = names.iter().filter(|name| *name != machine);
            others.any(|other| self.start_second(other, key, attempt + SECOND_ATTEMPT))
        })
    }

    /// Machine, task and attempt of everything that runs.
    fn running_attempts(&self) -> Vec<(String, TaskKey, u64)> {
        let tasks = self.workers.iter().flat_map(|(name, worker)| worker.tasks.iter().map(move |task| (name, task)));
        tasks
            .filter(|(_, task)| task.state == TaskState::Running)
            .map(|(name, task)| (name.clone(), task.key.clone(), task.attempt))
            .collect()
    }

    /// Whether a machine took the attempt; a refused one leaves no trace.
    fn start_second(&mut self, machine: &str, key: &TaskKey, attempt: u64) -> bool {
        self.launch(machine, key, attempt);
        let Some(worker) = self.workers.get_mut(machine) else { return false };
        if worker.live_index(key, attempt).is_some() {
            return true;
        }
        worker.tasks.retain(|task| !task.holds(key, attempt));
        false
    }
}
