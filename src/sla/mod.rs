//! Arithmetic of LibraSLA (paper, sections 3 and 4): pure functions on times in seconds.
//!
//! The terms are those of the paper: budget, penalty rate, delay, utility (eq. 1 and 2), deadline share (eq. 3 and 4),
//! return of a task and of a machine (eq. 5 and 6). Tasks hold the resources that they request in full, so a share is
//! measured in cores.

use std::time::Duration;

use crate::jobs::{JobSpec, Urgency};

/// Lower bound on run times and deadlines; an estimate of zero would divide by zero, and a second is shorter than any
/// task worth scheduling.
pub const MIN_RUN_TIME: Duration = Duration::from_secs(1);

/// Value of a core for one second by urgency. Each step is ten times the one below it, so that a late urgent job still
/// precedes an idle job of similar size that is on time.
pub fn priority_weight(urgency: Urgency) -> f64 {
    match urgency {
        Urgency::Prod => 1000.0,
        Urgency::High => 100.0,
        Urgency::Normal => 10.0,
        Urgency::Idle => 1.0,
    }
}

/// Service level agreement of one task: the four parameters of the paper's agreement (run time, deadline, budget and
/// penalty rate), and the cores of the task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Agreement {
    /// Whether the deadline was set by the user.
    pub hard: bool,
    /// Estimated run time.
    pub run_time: Duration,
    /// Deadline, counted from the submission.
    pub deadline: Duration,
    /// Value of completing the task in time.
    pub budget: f64,
    /// Reduction of the budget per second of delay.
    pub penalty_rate: f64,
    /// Cores that the task holds.
    pub cores: f64,
}

impl Agreement {
    /// Derives the agreement of a job's tasks. `estimate` is the leader's estimate of the run time, corrected by the
    /// observed run times of the class; `soft_deadline_factor` times the estimate is the deadline of a job without one.
    pub fn of(spec: &JobSpec, estimate: Duration, soft_deadline_factor: f64) -> Self {
        let run_time = estimate.max(MIN_RUN_TIME);
        let deadline = match spec.due() {
            Some(due) => due.max(MIN_RUN_TIME),
            None => run_time.mul_f64(soft_deadline_factor.max(1.0)),
        };
        // A task that requests no cores still occupies a machine; it counts as a small task.
        let cores = spec.cpus.max(0.1);
        let budget = priority_weight(spec.urgency) * run_time.as_secs_f64() * cores;
        Self {
            hard: spec.due().is_some(),
            run_time,
            deadline,
            budget,
            penalty_rate: budget / deadline.as_secs_f64(),
            cores,
        }
    }

    /// Delay of a task that finishes this long after its submission (equation 2); zero before the deadline.
    pub fn delay(&self, finish_after: Duration) -> Duration {
        finish_after.saturating_sub(self.deadline)
    }

    /// Utility of a task that finishes this long after its submission (equation 1).
    pub fn utility(&self, finish_after: Duration) -> f64 {
        self.budget - self.delay(finish_after).as_secs_f64() * self.penalty_rate
    }

    /// Return of a task that finishes this long after its submission (equation 5). A negative return counts as zero, so
    /// that work that is too late is neither preferred nor rejected.
    pub fn task_return(&self, finish_after: Duration) -> f64 {
        let utility = self.utility(finish_after);
        (utility / self.run_time.as_secs_f64() / self.deadline.as_secs_f64()).max(0.0)
    }

    /// Whether a job with a hard deadline can still meet it when started at this age; a job that can't is treated as
    /// soft.
    pub fn can_meet_hard_deadline(&self, age: Duration) -> bool {
        self.hard && self.delay(age + self.run_time) == Duration::ZERO
    }
}

/// Deadline share of a task in cores (equation 3): the remaining run time times the cores, divided by the remaining
/// deadline. The deadline is clamped to at least the run time, so that the share never exceeds the cores of the task.
pub fn deadline_share(remaining_run_time: Duration, remaining_deadline: Duration, cores: f64) -> f64 {
    let remaining_run_time = remaining_run_time.max(MIN_RUN_TIME);
    remaining_run_time.as_secs_f64() * cores / remaining_deadline.max(remaining_run_time).as_secs_f64()
}

/// Remaining run time of a task by its estimate. The paper assumes exact estimates; without a correction, a task that
/// overruns its estimate would look finished and its machine free. Such a task is assumed to run half as long again as
/// it has run so far.
pub fn remaining_run_time(estimate: Duration, elapsed: Duration) -> Duration {
    let overrun_guess = elapsed.mul_f64(0.5);
    if elapsed < estimate { (estimate - elapsed).max(MIN_RUN_TIME) } else { overrun_guess.max(MIN_RUN_TIME) }
}

/// Load of a machine as considered by admission: the summed deadline shares and returns of its tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Sum of the deadline shares, in cores.
    pub share: f64,
    /// Sum of the returns.
    pub total_return: f64,
}

/// Soft admission of a task on a machine: the sum of the shares must stay within the machine's cores, and its return
/// must not fall. Returns the machine's new return, by which the best machine is chosen; none if the task is refused.
pub fn admit(load: Load, cores: f64, task_share: f64, task_return: f64) -> Option<f64> {
    let new_return = load.total_return + task_return;
    // A task without return cannot lower the sum and is admitted on any machine that it fits.
    let qualifies = task_return == 0.0 || (load.share + task_share <= cores + 1e-9 && new_return >= load.total_return);
    qualifies.then_some(new_return)
}

#[cfg(test)]
mod tests;
