//! Fault injection for workers and their machines.

use std::time::Duration;

use hollylanding_protocol::workers::TaskKey;

use super::Fleet;
use super::heartbeats::CopyWindow;
use super::worker::{TaskState, Worker};

/// Added to the number of an attempt that is started a second time, so that the number differs from any real one.
const SECOND_ATTEMPT_OFFSET: u64 = 1000;

impl Fleet {
    /// Changes a worker, if its machine exists.
    fn change_worker(&mut self, name: &str, change: impl FnOnce(&mut Worker)) {
        if let Some(worker) = self.workers.get_mut(name) {
            change(worker);
        }
    }

    /// Makes a worker do nothing until a time; it continues afterwards.
    pub fn hang(&mut self, name: &str, until: Duration) {
        self.change_worker(name, |worker| worker.hangs_until = until);
    }

    /// Begins a one-way partition until a time: the worker's messages arrive, messages to the worker do not.
    pub fn partition_inbound(&mut self, name: &str, until: Duration) {
        self.change_worker(name, |worker| worker.unreachable_until = until);
    }

    /// Whether no one-way partition keeps responses and commands from the worker.
    pub fn is_reachable(&self, name: &str, now: Duration) -> bool {
        self.workers.get(name).is_some_and(|w| w.unreachable_until <= now)
    }

    /// Copies each of the worker's heartbeats until a time. Each copy is delivered between `from` and `to` after its
    /// heartbeat, in any order.
    pub fn copy_heartbeats(&mut self, name: &str, until: Duration, from: Duration, to: Duration) {
        self.change_worker(name, |worker| {
            worker.copy_window = CopyWindow { until, min_delay: from, max_delay: to.max(from) }
        });
    }

    /// Sets whether the worker fails every task that it runs.
    pub fn set_sick(&mut self, name: &str, sick: bool) {
        self.change_worker(name, |worker| worker.sick = sick);
    }

    /// Sets the rate of the worker's monotonic clock, by which it measures its lease; 1 is exact.
    pub fn set_clock_rate(&mut self, name: &str, clock_rate: f64) {
        self.change_worker(name, |worker| worker.clock_rate = clock_rate);
    }

    /// Sets the speed at which the machine runs tasks; 1 for an ordinary machine.
    pub fn set_speed(&mut self, name: &str, speed: f64) {
        self.change_worker(name, |worker| worker.machine.speed = speed);
    }

    /// Starts a running task on a second machine as well, which deliberately violates an invariant. Returns false if no
    /// task runs or no other machine has room.
    pub fn start_twice(&mut self, now: Duration) -> bool {
        self.tick(now);
        let running = self.running_attempts();
        let names: Vec<String> = self.workers.keys().cloned().collect();
        running.iter().any(|(machine, key, attempt)| {
            let mut others = names.iter().filter(|name| *name != machine);
            others.any(|other| self.try_launch(other, key, attempt + SECOND_ATTEMPT_OFFSET))
        })
    }

    /// The machine, task and attempt number of each running attempt.
    fn running_attempts(&self) -> Vec<(String, TaskKey, u64)> {
        let tasks = self.workers.iter().flat_map(|(name, worker)| worker.tasks.iter().map(move |task| (name, task)));
        tasks
            .filter(|(_, task)| task.state == TaskState::Running)
            .map(|(name, task)| (name.clone(), task.key.clone(), task.attempt))
            .collect()
    }

    /// Starts an attempt on a machine. Returns false, without a trace in the worker's reports, if it is refused.
    fn try_launch(&mut self, machine: &str, key: &TaskKey, attempt: u64) -> bool {
        self.launch(machine, key, attempt);
        let Some(worker) = self.workers.get_mut(machine) else { return false };
        if worker.live_index(key, attempt).is_some() {
            return true;
        }
        worker.tasks.retain(|task| !task.is_attempt(key, attempt));
        false
    }
}
