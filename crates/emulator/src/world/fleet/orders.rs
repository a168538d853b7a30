//! Orders to the workers: launch, halt and reap.

use std::sync::Arc;
use std::time::Duration;

use hollylanding_protocol::workers::{ExitCause, Heartbeat, TaskKey, WorkerCommand, WorkerCommands};

use super::worker::{Task, TaskState};
use super::{Fleet, Happening, Upload};

impl Fleet {
    /// A direct command, of whatever age: whether it was executed, and the heartbeat after it.
    pub fn command(&mut self, name: &str, orders: &WorkerCommands, now: Duration) -> Option<(bool, Heartbeat)> {
        self.tick(now);
        let worker = self.workers.get_mut(name).filter(|worker| worker.receives(now))?;
        let taken = orders.fencing_token >= worker.fencing_token && orders.agent_epoch == Some(worker.agent_epoch);
        if taken {
            worker.fencing_token = orders.fencing_token;
            self.execute(name, &orders.orders, now);
        }
        Some((taken, self.build_report(name, now)?))
    }

    /// Executes orders in sequence.
    pub(super) fn execute(&mut self, name: &str, orders: &[WorkerCommand], now: Duration) {
        for order in orders {
            match order {
                WorkerCommand::Launch { task, attempt } => self.launch(name, task, *attempt),
                WorkerCommand::Halt { task, attempt, grace_s } => self.halt(name, task, *attempt, *grace_s, now),
                WorkerCommand::Reap { task, attempt } => self.reap(name, task, *attempt),
            }
        }
    }

    fn reap(&mut self, name: &str, key: &TaskKey, attempt: u64) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.tasks.retain(|task| task.live() || !task.holds(key, attempt));
        worker.unknown.remove(&(key.clone(), attempt));
    }

    /// The job of a task, if it was uploaded and has such a task.
    fn uploaded(&self, key: &TaskKey) -> Option<Arc<Upload>> {
        let upload = self.uploads.get(&key.job)?;
        (u64::from(key.index) < upload.spec.tasks).then(|| upload.clone())
    }

    /// Starts an attempt, which begins with fetching its image, or refuses it.
    pub(super) fn launch(&mut self, name: &str, key: &TaskKey, attempt: u64) {
        let upload = self.uploaded(key);
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.has(key, attempt) || worker.unknown.contains(&(key.clone(), attempt)) {
            return;
        }
        let Some(job) = upload else {
            worker.unknown.insert((key.clone(), attempt));
            return;
        };
        let state = if worker.tasks.iter().any(|task| task.key == *key && task.live()) {
            TaskState::Ended(ExitCause::Busy, false)
        } else if !worker.has_room(&job.spec) {
            TaskState::Ended(ExitCause::NoRoom, false)
        } else {
            worker.use_image(&job.spec.image, job.spec.image_gb);
            TaskState::Fetching
        };
        worker.tasks.push(Task { key: key.clone(), attempt, job, state, progress: Duration::ZERO });
    }

    fn halt(&mut self, name: &str, key: &TaskKey, attempt: u64, grace_s: u64, now: Duration) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(index) = worker.live_index(key, attempt) else { return };
        let task = &mut worker.tasks[index];
        let spec = &task.job.spec;
        let can_save = spec.checkpoint_s > 0.0 && grace_s as f64 >= spec.save_s;
        match task.state {
            TaskState::Running if can_save => {
                task.state = TaskState::Saving(now + Duration::from_secs_f64(spec.save_s));
                if spec.is_gang() {
                    self.stop_member(key, attempt, now);
                }
            }
            // Only a second order without any time ends an attempt that saves.
            TaskState::Saving(_) if grace_s > 0 => {}
            _ => self.end(name, index, ExitCause::Stopped, false),
        }
    }

    /// An attempt ends. Unless its progress was saved (`kept`), it is lost but for the last periodic checkpoint.
    pub(super) fn end(&mut self, name: &str, index: usize, cause: ExitCause, kept: bool) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if index >= worker.tasks.len() {
            return;
        }
        let mut task = worker.tasks.remove(index);
        if kept {
            self.saved.insert(task.save_key(), task.progress);
        } else if cause == ExitCause::Done {
            self.results.insert(task.key.clone());
        } else {
            self.lose(&task);
        }
        task.state = TaskState::Ended(cause, kept);
        let (key, attempt) = (task.key.clone(), task.attempt);
        self.happened.push(Happening::Ended { task: key, attempt, machine: name.to_owned(), cause });
        if let Some(worker) = self.workers.get_mut(name) {
            worker.tasks.insert(index, task);
        }
    }
}
