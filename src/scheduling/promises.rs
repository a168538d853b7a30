//! What users were promised for a job, according to the objectives and the job's own deadline.

use std::time::Duration;

use crate::jobs::JobSpec;
use crate::settings::Objective;
use crate::sla::Agreement;

/// Factor on the estimated run time that must be left when a task starts.
const RUN_TIME_MARGIN: f64 = 1.2;

/// Stands in place of an objective's number for the deadline of the job itself.
pub const OWN_DEADLINE: u16 = u16::MAX;

/// Stands in place of an objective's number for the time within which the largest gangs of a class are to begin.
pub const LARGEST_GANGS: u16 = u16::MAX - 1;

/// What is promised to happen in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromiseKind {
    /// The job's tasks have started.
    Started,
    /// The job is done.
    Done,
}

/// One promise: what is to happen within how many seconds from the job's submission, and by which objective.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Promise {
    /// The number of the objective in the settings, or [`OWN_DEADLINE`] or [`LARGEST_GANGS`].
    pub objective: u16,
    /// What is promised.
    pub kind: PromiseKind,
    /// The time limit, in seconds from the submission.
    pub within_s: f64,
}

impl Promise {
    /// Returns the promise that an objective makes for a job; `None` if it is about other jobs or makes no such
    /// promise.
    fn from_objective(number: usize, objective: &Objective, spec: &JobSpec) -> Option<Self> {
        let number =
            u16::try_from(number).ok().filter(|number| *number < LARGEST_GANGS && objective.class == spec.class)?;
        let (kind, within_s) = match (objective.kind.as_str(), spec.due_s) {
            ("deadline", Some(due)) => (PromiseKind::Done, due * objective.times),
            ("finished", _) => (PromiseKind::Done, objective.within_s),
            ("wait", _) => (PromiseKind::Started, objective.within_s),
            _ => return None,
        };
        (within_s > 0.0).then_some(Self { objective: number, kind, within_s })
    }

    /// Returns the start slack: within how many seconds from now the next task must start to keep the promise. It is
    /// negative once it is too late.
    pub fn start_slack_s(self, run_time: Duration, age: Duration) -> f64 {
        let remaining_s = self.within_s - age.as_secs_f64();
        match self.kind {
            PromiseKind::Started => remaining_s,
            PromiseKind::Done => remaining_s - run_time.as_secs_f64() * RUN_TIME_MARGIN,
        }
    }
}

/// Returns everything that was promised for a job: by the objectives, by its own deadline, and if there is neither, by
/// the deadline that a soft job is given.
pub fn promises_of(objectives: &[Objective], spec: &JobSpec, agreement: &Agreement) -> Vec<Promise> {
    let mut promises: Vec<Promise> =
        objectives.iter().enumerate().filter_map(|(number, o)| Promise::from_objective(number, o, spec)).collect();
    let own_deadline = |within_s| Promise { objective: OWN_DEADLINE, kind: PromiseKind::Done, within_s };
    match spec.due_s {
        Some(due) => promises.push(own_deadline(due)),
        None if promises.is_empty() => promises.push(own_deadline(agreement.deadline.as_secs_f64())),
        None => {}
    }
    promises
}

/// Returns the promises that are accounted: if objectives apply to the job, only theirs.
pub fn accounted_promises(promises: &[Promise]) -> impl Iterator<Item = Promise> {
    let only_promise = promises.len() == 1;
    promises.iter().copied().filter(move |p| only_promise || p.objective != OWN_DEADLINE)
}

/// Returns the start slack of a job of this age for each promise that can still be kept, smallest first, in seconds.
pub fn feasible_start_slacks_s(promises: &[Promise], run_time: Duration, age: Duration) -> Vec<f64> {
    let mut slacks: Vec<f64> = promises.iter().map(|p| p.start_slack_s(run_time, age)).filter(|s| *s > 0.0).collect();
    slacks.sort_by(f64::total_cmp);
    slacks
}

/// Returns the smallest start slack, in seconds; `None` once no promise can be kept any more.
pub fn min_start_slack_s(promises: &[Promise], run_time: Duration, age: Duration) -> Option<f64> {
    promises.iter().map(|p| p.start_slack_s(run_time, age)).filter(|s| *s > 0.0).min_by(f64::total_cmp)
}
