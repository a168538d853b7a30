//! Tasks that run: their progress and their ends.

use std::time::Duration;

use hollylanding_protocol::workers::ExitCause;

use super::Fleet;
use super::worker::{Task, TaskState};

/// An attempt that ends now.
struct Ending {
    /// Index among the worker's tasks.
    index: usize,
    cause: ExitCause,
    /// Whether its progress was saved.
    kept: bool,
}

impl Fleet {
    /// Whether its result exists already.
    fn finished(&self, task: &Task) -> bool {
        self.results.contains(&task.key) || self.gangs_done.contains(&task.key.job)
    }

    /// How an attempt ends now, if it does.
    fn ending(&self, task: &Task, sick: bool, now: Duration) -> Option<(ExitCause, bool)> {
        // Services run until they are stopped.
        let complete = task.progress >= task.job.run && !task.job.run.is_zero();
        match task.state {
            TaskState::Running if self.finished(task) => Some((ExitCause::Done, false)),
            TaskState::Running if sick || task.job.broken => Some((ExitCause::Error, false)),
            TaskState::Running if complete => Some((ExitCause::Done, false)),
            TaskState::Saving(until) if until <= now && !task.in_gang() => Some((ExitCause::Stopped, true)),
            _ => None,
        }
    }

    /// Advances the tasks of one worker, and ends those that are over. The progress of gangs is counted with the gang.
    pub(super) fn run(&mut self, name: &str, passed: Duration, now: Duration) {
        let Some(worker) = self.workers.get_mut(name).filter(|worker| worker.awake(now)) else { return };
        let (progress, sick) = (passed.mul_f64(worker.machine.speed), worker.sick);
        for task in worker.tasks.iter_mut().filter(|task| task.state == TaskState::Running && !task.in_gang()) {
            task.progress += progress;
        }
        let Some(worker) = self.workers.get(name) else { return };
        let tasks = worker.tasks.iter().enumerate();
        let endings: Vec<Ending> = tasks
            .filter_map(|(index, task)| {
                let (cause, kept) = self.ending(task, sick, now)?;
                Some(Ending { index, cause, kept })
            })
            .collect();
        for Ending { index, cause, kept } in endings {
            if cause == ExitCause::Done {
                self.finish_gang(name, index);
            }
            self.end(name, index, cause, kept);
        }
    }

    /// If one member of a gang is done, the whole gang is.
    fn finish_gang(&mut self, name: &str, index: usize) {
        let task = self.workers.get(name).and_then(|worker| worker.tasks.get(index));
        if let Some(task) = task.filter(|task| task.in_gang()) {
            self.gangs_done.insert(task.key.job.clone());
        }
    }
}
