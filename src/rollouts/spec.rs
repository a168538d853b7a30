//! What an operator declares of a rollout, and which field of it cannot be used.

use serde::{Deserialize, Serialize};

use crate::declarations::SpecError;
use crate::jobs::{JobId, is_valid_job_id};

/// Replicas of one rollout, and tasks of a job that takes part: which of them are to go is kept one by
/// one in a status, which has to fit a value of the store.
pub const MAX_REPLICAS: u32 = 512;
const MAX_STEPS: usize = 20;
/// A week, in seconds: longer than anybody watches a step.
const MAX_SECONDS: f64 = 604_800.0;
/// Machines on which a version failed that are remembered: more than this never has to be waited for.
pub const MAX_MACHINES: u32 = 8;

/// What the operator wants of it, by the last verb.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RolloutGoal {
    /// Go on.
    #[default]
    Forward,
    /// Stay as it is.
    Paused,
    /// Go back to the old version.
    Back,
    /// The old job is cancelled; there is no way back.
    Finish,
}

/// What speaks against the new version, as far as machines do not explain it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FailureCriteria {
    /// Different machines on which replicas of it failed within one step.
    pub failures: u32,
    /// Failures of its replicas within one step, on two machines at least.
    pub restarts: u32,
    /// Seconds within which a replica has to run once it has a machine, fetch included.
    pub not_running_s: f64,
}

impl Default for FailureCriteria {
    fn default() -> Self {
        Self { failures: 3, restarts: 10, not_running_s: 1800.0 }
    }
}

/// A rollout as operators declare it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutSpec {
    /// The service that is replaced.
    pub old: JobId,
    /// The service that replaces it.
    pub new: JobId,
    /// Replicas of both together that have to run at every moment.
    pub replicas: u32,
    /// Replicas of the new version after each step: below 1 a part of all, else a number. All of them is
    /// the last step, said or not.
    #[serde(default)]
    pub steps: Vec<f64>,
    /// Seconds for which a step has to hold once it is whole.
    pub hold_s: f64,
    /// Seconds for which a replica has to run before it counts in place of another; none: `hold_s`.
    #[serde(default)]
    pub ready_s: Option<f64>,
    /// How many more than asked may run meanwhile. 0: in place, one fewer than asked runs at times.
    #[serde(default)]
    pub surge: u32,
    /// The gap of a rollout in place is accepted.
    #[serde(default)]
    pub allow_gap: bool,
    /// When the new version counts as bad.
    #[serde(default)]
    pub bad: FailureCriteria,
    /// Where it is to go.
    #[serde(default, rename = "wanted")]
    pub goal: RolloutGoal,
    /// Counts the operator's requests, so that the same request made again is a new one.
    #[serde(default, rename = "word")]
    pub request_no: u64,
}

fn refuse(field: &str, reason: impl Into<String>) -> Result<(), SpecError> {
    Err(SpecError::new(field, reason))
}

fn check_count(field: &str, count: u32, least: u32, most: u32) -> Result<(), SpecError> {
    if (least..=most).contains(&count) {
        return Ok(());
    }
    refuse(field, format!("{count} is not from {least} to {most}"))
}

impl RolloutSpec {
    /// Refuses what could never be carried out.
    ///
    /// # Errors
    /// Names the first field that cannot be used.
    pub fn check(&self) -> Result<(), SpecError> {
        self.check_jobs()?;
        self.check_counts()?;
        let seconds = [
            ("hold_s", self.hold_s, 0.0),
            ("ready_s", self.ready_s(), 0.0),
            ("bad.not_running_s", self.bad.not_running_s, 1.0),
        ];
        for (field, value, least) in seconds {
            if !(least..=MAX_SECONDS).contains(&value) {
                return refuse(field, format!("{value} is not from {least} to {MAX_SECONDS} seconds"));
            }
        }
        self.check_steps()
    }

    fn check_jobs(&self) -> Result<(), SpecError> {
        for (field, id) in [("old", &self.old), ("new", &self.new)] {
            if !is_valid_job_id(id) {
                return refuse(field, format!("{id:?} is no id of a job"));
            }
        }
        if self.old == self.new {
            return refuse("new", format!("{:?} is the old job", self.new));
        }
        Ok(())
    }

    fn check_counts(&self) -> Result<(), SpecError> {
        check_count("replicas", self.replicas, 1, MAX_REPLICAS)?;
        check_count("surge", self.surge, 0, self.replicas)?;
        check_count("bad.failures", self.bad.failures, 2, MAX_MACHINES)?;
        check_count("bad.restarts", self.bad.restarts, 2, 1_000_000)?;
        if self.surge == 0 && !self.allow_gap {
            let reason = "0 changes replicas in place: each time one fewer than asked runs until a new one does; \
                       say how many more may run, or allow_gap";
            return refuse("surge", reason);
        }
        Ok(())
    }

    fn check_steps(&self) -> Result<(), SpecError> {
        if self.steps.len() > MAX_STEPS {
            return refuse("steps", format!("{} are more than {MAX_STEPS}", self.steps.len()));
        }
        let mut before = 0;
        for step in &self.steps {
            let Some(n) = self.replicas_of(*step) else {
                let most = self.replicas;
                let reason = format!("{step} is neither a part below 1 nor a number of replicas up to {most}");
                return refuse("steps", reason);
            };
            if n <= before {
                let reason = format!("{step} is {n} replicas, which is not more than the {before} before it");
                return refuse("steps", reason);
            }
            before = n;
        }
        Ok(())
    }

    /// The number of replicas that a step stands for.
    fn replicas_of(&self, step: f64) -> Option<u32> {
        let all = f64::from(self.replicas);
        if step > 0.0 && step < 1.0 {
            return Some((step * all).ceil() as u32);
        }
        (step >= 1.0 && step <= all && step.fract() == 0.0).then_some(step as u32)
    }

    /// Replicas of the new version after each step, growing, all of them at last.
    pub fn targets(&self) -> Vec<u32> {
        let mut targets: Vec<u32> = self.steps.iter().filter_map(|s| self.replicas_of(*s)).collect();
        if targets.last() != Some(&self.replicas) {
            targets.push(self.replicas);
        }
        targets
    }

    /// In seconds.
    pub fn ready_s(&self) -> f64 {
        self.ready_s.unwrap_or(self.hold_s)
    }

    /// Replicas that have to run at every moment: in place, one fewer than asked.
    pub fn min_available(&self) -> u32 {
        if self.surge == 0 { self.replicas - 1 } else { self.replicas }
    }

    /// The spec with the operator's next request in it.
    pub fn with_goal(&self, goal: RolloutGoal) -> Self {
        Self { goal, request_no: self.request_no.wrapping_add(1), ..self.clone() }
    }
}

#[cfg(test)]
pub mod tests;
