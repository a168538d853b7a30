//! Stored status of a rollout: everything a new leader needs to continue it.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::spec::RolloutSpec;
use crate::jobs::JobId;

/// Phase of a rollout.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPhase {
    /// Not begun; the reason says what is missing. No replica of the new version is placed.
    #[default]
    Planned,
    /// Some missing replicas of the step are bound to machines, and none of those is running yet.
    Fetching,
    /// New replicas are started up to the step's target, and old ones are stopped as new ones become ready.
    Growing,
    /// All new replicas of the step are running; surplus old ones are being stopped.
    Shrinking,
    /// The step is complete and must stay so for the hold time.
    Holding,
    /// Paused by an operator, or because both versions fail.
    Paused,
    /// The rollback is in progress.
    GoingBack,
    /// Rolled back: the old version serves, and the new one is held at zero replicas.
    Back,
    /// Completed: the new version serves, and the old one is held at zero replicas.
    Done,
    /// Both jobs have ended.
    Ended,
    /// The rollout cannot be carried out.
    Refused,
}

impl RolloutPhase {
    /// Returns whether the rollout has begun and controls its jobs.
    pub fn has_begun(self) -> bool {
        !matches!(self, Self::Planned | Self::Ended | Self::Refused)
    }

    /// Returns the phase's name as shown to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Planned => "planned",
            Self::Fetching => "fetching",
            Self::Growing => "growing",
            Self::Shrinking => "shrinking",
            Self::Holding => "holding",
            Self::Paused => "paused",
            Self::GoingBack => "going back",
            Self::Back => "back",
            Self::Done => "done",
            Self::Ended => "ended",
            Self::Refused => "refused",
        }
    }
}

/// Set of replica indexes, stored as inclusive ranges: `[[0,11],[14,14]]`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<(u32, u32)>", into = "Vec<(u32, u32)>")]
pub struct ReplicaIndexes(pub BTreeSet<u32>);

impl From<Vec<(u32, u32)>> for ReplicaIndexes {
    /// Drops indexes beyond `MAX_REPLICAS`, which no rollout stores, so that a bad value cannot exhaust the memory.
    fn from(ranges: Vec<(u32, u32)>) -> Self {
        let max_index = super::spec::MAX_REPLICAS - 1;
        Self(ranges.into_iter().flat_map(|(from, to)| from.min(max_index + 1)..=to.min(max_index)).collect())
    }
}

impl From<ReplicaIndexes> for Vec<(u32, u32)> {
    fn from(indexes: ReplicaIndexes) -> Self {
        let mut ranges: Vec<(u32, u32)> = Vec::new();
        for index in indexes.0 {
            match ranges.last_mut() {
                Some((_, to)) if *to + 1 == index => *to = index,
                _ => ranges.push((index, index)),
            }
        }
        ranges
    }
}

impl std::fmt::Display for ReplicaIndexes {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let ranges: Vec<(u32, u32)> = self.clone().into();
        let texts = ranges.iter().map(|(a, b)| if a == b { a.to_string() } else { format!("{a}-{b}") });
        let texts: Vec<String> = texts.collect();
        f.write_str(if texts.is_empty() { "none" } else { "" })?;
        f.write_str(&texts.join(","))
    }
}

/// Machine on which the new version failed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FailedMachine {
    /// Machine ID.
    pub machine: String,
    /// The machine's type.
    #[serde(rename = "type")]
    pub type_name: String,
    /// Whether the machine was quarantined since, because other jobs fail on it as well.
    pub faulty: bool,
}

/// Failures counted in the current step.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct FailureCounts {
    /// Distinct machines on which replicas of the new version failed.
    pub failed_on: Vec<FailedMachine>,
    /// Failures of replicas of the new version.
    pub new: u64,
    /// Failures of replicas of the old version.
    pub old: u64,
    /// Fencing token of the leader that counted. Another leader's own count of each job's failures starts at zero.
    #[serde(rename = "epoch")]
    pub fencing_token: u64,
    /// That leader's total of the new job's failures when they were last added.
    pub counted_new: u64,
    /// That leader's total of the old job's failures when they were last added.
    pub counted_old: u64,
}

/// Status of a rollout, as stored by the leader.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RolloutStatus {
    /// Current phase.
    pub phase: RolloutPhase,
    /// Reason for the phase, where it deviates from the goal.
    #[serde(rename = "why")]
    pub reason: String,
    /// Old job with which the rollout began. A specification that names other jobs later does not change it.
    pub old: Option<JobId>,
    /// New job with which the rollout began, likewise unaffected by later specifications.
    pub new: Option<JobId>,
    /// Index of the current step, from 0.
    pub step: u32,
    /// Fencing token of the leader that decided this status.
    #[serde(rename = "epoch")]
    pub fencing_token: u64,
    /// Time at which the phase or step began, in Unix milliseconds.
    pub since_ms: u64,
    /// Number of the operator's last request that was taken into account.
    #[serde(rename = "word")]
    pub request_no: u64,
    /// Replicas of the old job that are to stop or have stopped.
    #[serde(rename = "go_old")]
    pub stopping_old: ReplicaIndexes,
    /// Replicas of the new job that may run; all others are to stop.
    #[serde(rename = "may_new")]
    pub allowed_new: ReplicaIndexes,
    /// Failures counted in the current step.
    #[serde(rename = "against")]
    pub failure_counts: FailureCounts,
}

impl RolloutStatus {
    /// Returns the old and the new job: those with which the rollout began, or the declared ones if it has not begun.
    pub fn jobs<'a>(&'a self, spec: &'a RolloutSpec) -> [&'a JobId; 2] {
        let has_begun = self.phase.has_begun();
        let of = |id: &'a Option<JobId>, declared: &'a JobId| id.as_ref().filter(|_| has_begun).unwrap_or(declared);
        [of(&self.old, &spec.old), of(&self.new, &spec.new)]
    }
}

#[cfg(test)]
mod tests;
