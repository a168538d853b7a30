//! Specification of a rollout and its validation.

use serde::{Deserialize, Serialize};

use crate::declarations::SpecError;
use crate::jobs::{JobId, is_valid_job_id};

/// Maximum number of replicas of a rollout, and of tasks of each of its jobs. The status lists individual replicas and
/// must fit into one value of the store.
pub const MAX_REPLICAS: u32 = 512;
/// Maximum number of declared steps.
const MAX_STEPS: usize = 20;
/// Maximum of all declared durations, in seconds: one week, longer than any step is watched.
const MAX_DURATION_S: f64 = 604_800.0;
/// Maximum number of machines recorded as having failed the new version. `bad.failures` may not exceed it, so the
/// criterion never needs more.
pub const MAX_FAILED_MACHINES: u32 = 8;

/// Goal of a rollout, set by the operator's last request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RolloutGoal {
    /// Continue the rollout.
    #[default]
    Forward,
    /// Pause the rollout.
    Paused,
    /// Roll back to the old version.
    Back,
    /// Finish the rollout: the old job is cancelled, and a rollback is no longer possible.
    Finish,
}

/// Criteria by which the new version counts as bad, apart from failures explained by faulty machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FailureCriteria {
    /// Number of distinct machines on which new replicas failed within one step.
    pub failures: u32,
    /// Number of failures of new replicas within one step, on at least two machines.
    pub restarts: u32,
    /// Time in seconds within which a replica must be running once it is bound to a machine, including image fetching.
    pub not_running_s: f64,
}

impl Default for FailureCriteria {
    fn default() -> Self {
        Self { failures: 3, restarts: 10, not_running_s: 1800.0 }
    }
}

/// Specification of a rollout, as declared by an operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutSpec {
    /// Job of the old version, which is replaced.
    pub old: JobId,
    /// Job of the new version, which replaces `old`.
    pub new: JobId,
    /// Number of replicas of both versions together that must be running at any time.
    pub replicas: u32,
    /// Replicas of the new version after each step: a value below 1 is a share of `replicas`, other values are counts.
    /// A last step with all replicas is added if it is not listed.
    #[serde(default)]
    pub steps: Vec<f64>,
    /// Time in seconds for which a completed step must hold before the next one begins.
    pub hold_s: f64,
    /// Time in seconds for which a replica must run before it may replace another; defaults to `hold_s`.
    #[serde(default)]
    pub ready_s: Option<f64>,
    /// Number of replicas that may run in addition to `replicas` during the rollout. With 0 replicas are replaced in
    /// place, and at times one fewer than `replicas` is running.
    #[serde(default)]
    pub surge: u32,
    /// Accepts the capacity gap of a rollout in place (`surge` 0).
    #[serde(default)]
    pub allow_gap: bool,
    /// Criteria by which the new version counts as bad.
    #[serde(default)]
    pub bad: FailureCriteria,
    /// Goal of the rollout.
    #[serde(default, rename = "wanted")]
    pub goal: RolloutGoal,
    /// Counter of the operator's requests, so that a repeated request is recognized as a new one.
    #[serde(default, rename = "word")]
    pub request_no: u64,
}

fn reject_field(field: &str, reason: impl Into<String>) -> Result<(), SpecError> {
    Err(SpecError::new(field, reason))
}

fn check_count(field: &str, count: u32, min: u32, max: u32) -> Result<(), SpecError> {
    if (min..=max).contains(&count) {
        return Ok(());
    }
    reject_field(field, format!("{count} is not from {min} to {max}"))
}

impl RolloutSpec {
    /// Validates the specification.
    ///
    /// # Errors
    /// Returns an error that names the first invalid field.
    pub fn check(&self) -> Result<(), SpecError> {
        self.check_jobs()?;
        self.check_counts()?;
        let seconds = [
            ("hold_s", self.hold_s, 0.0),
            ("ready_s", self.ready_s(), 0.0),
            ("bad.not_running_s", self.bad.not_running_s, 1.0),
        ];
        for (field, value, min) in seconds {
            if !(min..=MAX_DURATION_S).contains(&value) {
                return reject_field(field, format!("{value} is not from {min} to {MAX_DURATION_S} seconds"));
            }
        }
        self.check_steps()
    }

    fn check_jobs(&self) -> Result<(), SpecError> {
        for (field, id) in [("old", &self.old), ("new", &self.new)] {
            if !is_valid_job_id(id) {
                return reject_field(field, format!("{id:?} is no id of a job"));
            }
        }
        if self.old == self.new {
            return reject_field("new", format!("{:?} is the old job", self.new));
        }
        Ok(())
    }

    fn check_counts(&self) -> Result<(), SpecError> {
        check_count("replicas", self.replicas, 1, MAX_REPLICAS)?;
        check_count("surge", self.surge, 0, self.replicas)?;
        check_count("bad.failures", self.bad.failures, 2, MAX_FAILED_MACHINES)?;
        check_count("bad.restarts", self.bad.restarts, 2, 1_000_000)?;
        if self.surge == 0 && !self.allow_gap {
            let reason = "0 changes replicas in place: each time one fewer than asked runs until a new one does; \
                       say how many more may run, or allow_gap";
            return reject_field("surge", reason);
        }
        Ok(())
    }

    fn check_steps(&self) -> Result<(), SpecError> {
        if self.steps.len() > MAX_STEPS {
            return reject_field("steps", format!("{} are more than {MAX_STEPS}", self.steps.len()));
        }
        let mut previous = 0;
        for step in &self.steps {
            let Some(count) = self.resolve_step(*step) else {
                let max = self.replicas;
                let reason = format!("{step} is neither a part below 1 nor a number of replicas up to {max}");
                return reject_field("steps", reason);
            };
            if count <= previous {
                let reason = format!("{step} is {count} replicas, which is not more than the {previous} before it");
                return reject_field("steps", reason);
            }
            previous = count;
        }
        Ok(())
    }

    /// Returns the number of new replicas that a declared step stands for, or `None` if the step is invalid.
    fn resolve_step(&self, step: f64) -> Option<u32> {
        let replicas = f64::from(self.replicas);
        if step > 0.0 && step < 1.0 {
            return Some((step * replicas).ceil() as u32);
        }
        (step >= 1.0 && step <= replicas && step.fract() == 0.0).then_some(step as u32)
    }

    /// Returns the number of new replicas after each step, in ascending order and ending with all replicas.
    pub fn step_targets(&self) -> Vec<u32> {
        let mut targets: Vec<u32> = self.steps.iter().filter_map(|step| self.resolve_step(*step)).collect();
        if targets.last() != Some(&self.replicas) {
            targets.push(self.replicas);
        }
        targets
    }

    /// Returns the time in seconds for which a replica must run before it may replace another.
    pub fn ready_s(&self) -> f64 {
        self.ready_s.unwrap_or(self.hold_s)
    }

    /// Returns the number of replicas that must be running at any time: `replicas`, or one fewer in place.
    pub fn min_available(&self) -> u32 {
        if self.surge == 0 { self.replicas - 1 } else { self.replicas }
    }

    /// Returns the specification with a new goal, counted as the operator's next request.
    pub fn with_goal(&self, goal: RolloutGoal) -> Self {
        Self { goal, request_no: self.request_no.wrapping_add(1), ..self.clone() }
    }
}

#[cfg(test)]
pub mod tests;
