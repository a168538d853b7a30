//! What users were promised of a job, as the objectives and its own deadline say.

use std::time::Duration;

use crate::jobs::JobSpec;
use crate::settings::Objective;
use crate::sla::Agreement;

/// Starting must leave the run time, with this margin for the estimate.
const RUN_TIME_MARGIN: f64 = 1.2;

/// Stands in place of an objective's number for what a job says of itself.
pub const OWN_DEADLINE: u16 = u16::MAX;

/// The same for the time within which the largest gangs of a class are to begin.
pub const LARGEST_GANGS: u16 = u16::MAX - 1;

/// What is to happen in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromiseKind {
    /// The job's tasks have started.
    Started,
    /// The job is done.
    Done,
}

/// One promise: its objective's number, and within how many seconds from the job's submission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Promise {
    /// The number of its objective in the settings, `OWN` or `LARGEST`.
    pub objective: u16,
    /// What is to happen.
    pub kind: PromiseKind,
    /// Seconds from the submission.
    pub within_s: f64,
}

impl Promise {
    /// What an objective says of a job; none if it speaks of other jobs or of other things.
    fn of(at: usize, objective: &Objective, spec: &JobSpec) -> Option<Self> {
        let at = u16::try_from(at).ok().filter(|at| *at < LARGEST_GANGS && objective.class == spec.class)?;
        let (what, within_s) = match (objective.kind.as_str(), spec.due_s) {
            ("deadline", Some(due)) => (PromiseKind::Done, due * objective.times),
            ("finished", _) => (PromiseKind::Done, objective.within_s),
            ("wait", _) => (PromiseKind::Started, objective.within_s),
            _ => return None,
        };
        (within_s > 0.0).then_some(Self { objective: at, kind: what, within_s })
    }

    /// Within how many seconds from now the next task should start; below zero once it is too late.
    pub fn start_slack_s(self, run: Duration, age: Duration) -> f64 {
        let left = self.within_s - age.as_secs_f64();
        match self.kind {
            PromiseKind::Started => left,
            PromiseKind::Done => left - run.as_secs_f64() * RUN_TIME_MARGIN,
        }
    }
}

/// All that the user of a job was promised: what the objectives say of it, its deadline, and where
/// neither says anything the deadline that a soft job is given.
pub fn promises_of(objectives: &[Objective], spec: &JobSpec, agreement: &Agreement) -> Vec<Promise> {
    let mut promises: Vec<Promise> =
        objectives.iter().enumerate().filter_map(|(at, o)| Promise::of(at, o, spec)).collect();
    let own = |within_s| Promise { objective: OWN_DEADLINE, kind: PromiseKind::Done, within_s };
    match spec.due_s {
        Some(due) => promises.push(own(due)),
        None if promises.is_empty() => promises.push(own(agreement.deadline.as_secs_f64())),
        None => {}
    }
    promises
}

/// The promises that an account is kept of: where the objectives speak of a job, only theirs.
pub fn accounted_promises(promises: &[Promise]) -> impl Iterator<Item = Promise> {
    let alone = promises.len() == 1;
    promises.iter().copied().filter(move |p| alone || p.objective != OWN_DEADLINE)
}

/// Within how many seconds from now a job of this age should start its next task, for each promise
/// that can still be kept; earliest first.
pub fn feasible_start_slacks_s(promises: &[Promise], run: Duration, age: Duration) -> Vec<f64> {
    let mut left: Vec<f64> = promises.iter().map(|p| p.start_slack_s(run, age)).filter(|s| *s > 0.0).collect();
    left.sort_by(f64::total_cmp);
    left
}

/// The first of them; none once nothing that was promised can be kept any more.
pub fn min_start_slack_s(promises: &[Promise], run: Duration, age: Duration) -> Option<f64> {
    promises.iter().map(|p| p.start_slack_s(run, age)).filter(|s| *s > 0.0).min_by(f64::total_cmp)
}
