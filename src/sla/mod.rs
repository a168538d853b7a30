//! The arithmetic of LibraSLA (paper, sections 3 and 4), pure and in seconds.
//!
//! Terms are the paper's: budget, penalty rate, delay, utility (eq. 1 and 2), share (eq. 3 and
//! 4), the return of a task and of a machine (eq. 5 and 6). Tasks here hold full requests, so a
//! share is weighed in cores.

use std::time::Duration;

use crate::jobs::{JobSpec, Urgency};

/// Estimates of zero would divide by zero; a second is below anything worth scheduling.
pub const MIN_RUN_TIME: Duration = Duration::from_secs(1);

/// What a second of a core is worth, by urgency: each step outweighs the one below it tenfold,
/// so that a late urgent job still beats a punctual idle one of like size.
pub fn priority_weight(urgency: Urgency) -> f64 {
    match urgency {
        Urgency::Prod => 1000.0,
        Urgency::High => 100.0,
        Urgency::Normal => 10.0,
        Urgency::Idle => 1.0,
    }
}

/// The four parameters of the paper's agreement, derived for one task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Agreement {
    /// Whether the deadline is the user's own.
    pub hard: bool,
    /// Expected run time.
    pub run_time: Duration,
    /// Deadline from the submission.
    pub deadline: Duration,
    /// What its completion in time is worth.
    pub budget: f64,
    /// What each second of delay takes from that.
    pub penalty_rate: f64,
    /// Cores that it holds.
    pub cores: f64,
}

impl Agreement {
    /// `estimate` is the leader's, corrected by what was observed of the class.
    /// `soft_deadline` is how many estimates a job without a deadline is given.
    pub fn of(spec: &JobSpec, estimate: Duration, soft_deadline: f64) -> Self {
        let run_time = estimate.max(MIN_RUN_TIME);
        let deadline = match spec.due() {
            Some(due) => due.max(MIN_RUN_TIME),
            None => run_time.mul_f64(soft_deadline.max(1.0)),
        };
        // A task that takes no core still takes its place; it is weighed as a small one.
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

    /// Equation 2, with a finish before the deadline counting as no delay.
    pub fn delay(&self, finish_after: Duration) -> Duration {
        finish_after.saturating_sub(self.deadline)
    }

    /// Equation 1.
    pub fn utility(&self, finish_after: Duration) -> f64 {
        self.budget - self.delay(finish_after).as_secs_f64() * self.penalty_rate
    }

    /// Equation 5; zero or below counts as zero, so that hopeless work is neither sought nor shed.
    pub fn task_return(&self, finish_after: Duration) -> f64 {
        let utility = self.utility(finish_after);
        (utility / self.run_time.as_secs_f64() / self.deadline.as_secs_f64()).max(0.0)
    }

    /// Whether a hard job of this age can still make it when started now; one that cannot is soft.
    pub fn can_meet_hard_deadline(&self, age: Duration) -> bool {
        self.hard && self.delay(age + self.run_time) == Duration::ZERO
    }
}

/// Equation 3 in cores: remaining estimate times cores over the remaining deadline, the latter
/// clamped to at least the former, so that a share never exceeds what the task holds.
pub fn deadline_share(remaining: Duration, remaining_deadline: Duration, cores: f64) -> f64 {
    let remaining = remaining.max(MIN_RUN_TIME);
    remaining.as_secs_f64() * cores / remaining_deadline.max(remaining).as_secs_f64()
}

/// What is left of a task by its estimate. An overrun task would look finished and make its
/// machine look free (the paper assumes exact estimates); it is given half of what it has run.
pub fn remaining_run_time(estimate: Duration, ran: Duration) -> Duration {
    let overrun_guess = ran.mul_f64(0.5);
    if ran < estimate { (estimate - ran).max(MIN_RUN_TIME) } else { overrun_guess.max(MIN_RUN_TIME) }
}

/// A machine as admission sees it: what its tasks share and return.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Summed deadline shares, in cores.
    pub share: f64,
    /// Summed returns.
    pub total_return: f64,
}

/// Soft admission: the summed shares stay within the cores and the return does not fall.
/// Gives the machine's new return, by which the best machine is chosen.
pub fn admit(load: Load, cores: f64, task_share: f64, task_return: f64) -> Option<f64> {
    let new_return = load.total_return + task_return;
    // Work of no return cannot lower the sum and may go wherever it fits.
    let qualifies = task_return == 0.0 || (load.share + task_share <= cores + 1e-9 && new_return >= load.total_return);
    qualifies.then_some(new_return)
}

#[cfg(test)]
mod tests;
