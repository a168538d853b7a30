//! Commands to the workers: launch, halt and reap.

use std::sync::Arc;
use std::time::Duration;

use hollylanding_protocol::workers::{ExitCause, Heartbeat, TaskKey, WorkerCommand, WorkerCommands};

use super::worker::{Task, TaskState};
use super::{AttemptEvent, Fleet, Upload};

impl Fleet {
    /// Handles commands that are not a response to a heartbeat, whatever their age. Returns whether they were executed,
    /// and the heartbeat after them; none if they do not reach the worker.
    pub fn command(&mut self, name: &str, orders: &WorkerCommands, now: Duration) -> Option<(bool, Heartbeat)> {
        self.tick(now);
        let worker = self.workers.get_mut(name).filter(|worker| worker.receives(now))?;
        let accepted = orders.fencing_token >= worker.fencing_token && orders.agent_epoch == Some(worker.agent_epoch);
        if accepted {
            worker.fencing_token = orders.fencing_token;
            self.execute(name, &orders.orders, now);
        }
        Some((accepted, self.build_heartbeat(name, now)?))
    }

    /// Executes commands in sequence.
    pub(super) fn execute(&mut self, name: &str, orders: &[WorkerCommand], now: Duration) {
        for order in orders {
            match order {
                WorkerCommand::Launch { task, attempt } => self.launch(name, task, *attempt),
                WorkerCommand::Halt { task, attempt, grace_s } => self.halt(name, task, *attempt, *grace_s, now),
                WorkerCommand::Reap { task, attempt } => self.reap(name, task, *attempt),
            }
        }
    }

    /// Removes an attempt that has ended.
    fn reap(&mut self, name: &str, key: &TaskKey, attempt: u64) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.tasks.retain(|task| task.is_live() || !task.is_attempt(key, attempt));
        worker.unknown.remove(&(key.clone(), attempt));
    }

    /// The job of a task, if the job was uploaded and has such a task.
    fn uploaded_job(&self, key: &TaskKey) -> Option<Arc<Upload>> {
        let upload = self.uploads.get(&key.job)?;
        (u64::from(key.index) < upload.spec.tasks).then(|| upload.clone())
    }

    /// Starts an attempt, which begins with the fetch of its image, or refuses it.
    pub(super) fn launch(&mut self, name: &str, key: &TaskKey, attempt: u64) {
        let upload = self.uploaded_job(key);
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.has_attempt(key, attempt) || worker.unknown.contains(&(key.clone(), attempt)) {
            return;
        }
        let Some(job) = upload else {
            worker.unknown.insert((key.clone(), attempt));
            return;
        };
        let state = if worker.tasks.iter().any(|task| task.key == *key && task.is_live()) {
            TaskState::Ended(ExitCause::Busy, false)
        } else if !worker.has_room(&job.spec) {
            TaskState::Ended(ExitCause::NoRoom, false)
        } else {
            worker.use_image(&job.spec.image, job.spec.image_gb);
            TaskState::Fetching
        };
        worker.tasks.push(Task { key: key.clone(), attempt, job, state, progress: Duration::ZERO });
    }

    /// Stops an attempt. The attempt saves its progress first if it can do so within the grace period.
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
                    self.record_member_stop(key, attempt, now);
                }
            }
            // Only a second command with a grace period of zero ends an attempt that is saving.
            TaskState::Saving(_) if grace_s > 0 => {}
            _ => self.end_attempt(name, index, ExitCause::Stopped, false),
        }
    }

    /// Ends an attempt. Its progress since the last periodic checkpoint is lost unless it was saved (`saved`).
    pub(super) fn end_attempt(&mut self, name: &str, index: usize, cause: ExitCause, saved: bool) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if index >= worker.tasks.len() {
            return;
        }
        let mut task = worker.tasks.remove(index);
        if saved {
            self.checkpoints.insert(task.checkpoint_key(), task.progress);
        } else if cause == ExitCause::Done {
            self.results.insert(task.key.clone());
        } else {
            self.restore_last_checkpoint(&task);
        }
        task.state = TaskState::Ended(cause, saved);
        let (key, attempt) = (task.key.clone(), task.attempt);
        self.events.push(AttemptEvent::Ended { task: key, attempt, machine: name.to_owned(), cause });
        if let Some(worker) = self.workers.get_mut(name) {
            worker.tasks.insert(index, task);
        }
    }
}
