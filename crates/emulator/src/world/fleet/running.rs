//! Running tasks: their progress, and how they end.

use std::time::Duration;

use hollylanding_protocol::workers::ExitCause;

use super::Fleet;
use super::worker::{Task, TaskState};

/// An attempt that is due to end.
struct Ending {
    /// Index of the attempt among the worker's tasks.
    index: usize,
    cause: ExitCause,
    /// Whether the attempt's progress was saved.
    saved: bool,
}

impl Fleet {
    /// Whether the task's result exists already.
    fn is_completed(&self, task: &Task) -> bool {
        self.results.contains(&task.key) || self.gangs_done.contains(&task.key.job)
    }

    /// Why an attempt is due to end and whether its progress was saved; none if it goes on.
    fn due_end(&self, task: &Task, sick: bool, now: Duration) -> Option<(ExitCause, bool)> {
        // Services run until they are stopped.
        let complete = task.progress >= task.job.run && !task.job.run.is_zero();
        match task.state {
            TaskState::Running if self.is_completed(task) => Some((ExitCause::Done, false)),
            TaskState::Running if sick || task.job.broken => Some((ExitCause::Error, false)),
            TaskState::Running if complete => Some((ExitCause::Done, false)),
            TaskState::Saving(until) if until <= now && !task.in_gang() => Some((ExitCause::Stopped, true)),
            _ => None,
        }
    }

    /// Advances the tasks of one worker, and ends those that are due to end. The progress of gangs is advanced by
    /// [`Fleet::advance_gangs`].
    pub(super) fn advance_tasks(&mut self, name: &str, elapsed: Duration, now: Duration) {
        let Some(worker) = self.workers.get_mut(name).filter(|worker| worker.awake(now)) else { return };
        let (progress, sick) = (elapsed.mul_f64(worker.machine.speed), worker.sick);
        for task in worker.tasks.iter_mut().filter(|task| task.state == TaskState::Running && !task.in_gang()) {
            task.progress += progress;
        }
        let Some(worker) = self.workers.get(name) else { return };
        let tasks = worker.tasks.iter().enumerate();
        let endings: Vec<Ending> = tasks
            .filter_map(|(index, task)| {
                let (cause, saved) = self.due_end(task, sick, now)?;
                Some(Ending { index, cause, saved })
            })
            .collect();
        for Ending { index, cause, saved } in endings {
            if cause == ExitCause::Done {
                self.complete_gang(name, index);
            }
            self.end_attempt(name, index, cause, saved);
        }
    }

    /// Records that a whole gang is done, since one of its members is.
    fn complete_gang(&mut self, name: &str, index: usize) {
        let task = self.workers.get(name).and_then(|worker| worker.tasks.get(index));
        if let Some(task) = task.filter(|task| task.in_gang()) {
            self.gangs_done.insert(task.key.job.clone());
        }
    }
}
