//! What a leader stores of a rollout: all that a successor needs to go on with it.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::spec::RolloutSpec;
use crate::jobs::JobId;

/// Where a rollout stands.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPhase {
    /// Not begun; the reason says what is missing. Of the new version nothing is placed.
    #[default]
    Planned,
    /// Replicas of the step have machines, and none of those that are missing runs yet.
    Fetching,
    /// Replicas of the step come, and old ones go for them.
    Growing,
    /// All replicas of the step run; old ones go.
    Shrinking,
    /// The step is whole, and has to stay so for its time.
    Holding,
    /// An operator has paused it.
    Paused,
    /// The old version takes its place again.
    GoingBack,
    /// The old version serves, the new one is held at no replicas.
    Back,
    /// The new version serves, the old one is held at no replicas.
    Done,
    /// Both jobs are over.
    Ended,
    /// It cannot be carried out.
    Refused,
}

impl RolloutPhase {
    /// The rollout decides over its jobs.
    pub fn begun(self) -> bool {
        !matches!(self, Self::Planned | Self::Ended | Self::Refused)
    }

    /// The phase's name, as told to operators.
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

/// Numbers of replicas, stored as ranges: `[[0,11],[14,14]]`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<(u32, u32)>", into = "Vec<(u32, u32)>")]
pub struct ReplicaIndexes(pub BTreeSet<u32>);

impl From<Vec<(u32, u32)>> for ReplicaIndexes {
    /// What no rollout stores is cut off, so that a bad value cannot fill the memory.
    fn from(ranges: Vec<(u32, u32)>) -> Self {
        let most = super::spec::MAX_REPLICAS - 1;
        Self(ranges.into_iter().flat_map(|(from, to)| from.min(most + 1)..=to.min(most)).collect())
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

/// A machine on which the new version failed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FailedMachine {
    /// Where it failed.
    pub machine: String,
    /// The machine's type.
    #[serde(rename = "type")]
    pub type_name: String,
    /// It came quarantined: other work fails on it as well.
    pub faulty: bool,
}

/// What was seen against the new version in this step.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct FailureCounts {
    /// Different machines on which replicas of the new version failed.
    pub failed_on: Vec<FailedMachine>,
    /// Failures of replicas of the new and of the old version.
    pub new: u64,
    /// Failures of replicas of the old version.
    pub old: u64,
    /// The leader that counted, and how far it had counted each job's failures. Another leader's own
    /// count begins at none.
    #[serde(rename = "epoch")]
    pub fencing_token: u64,
    /// How far that leader had counted the new job's failures.
    pub counted_new: u64,
    /// How far it had counted the old job's failures.
    pub counted_old: u64,
}

/// What the leader has stored of a rollout.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RolloutStatus {
    /// Where it stands.
    pub phase: RolloutPhase,
    /// Why it is so, where that is not what was asked for.
    #[serde(rename = "why")]
    pub reason: String,
    /// The jobs it has begun with. A spec that names others later does not change them.
    pub old: Option<JobId>,
    /// The new version that it was begun with.
    pub new: Option<JobId>,
    /// From 0.
    pub step: u32,
    /// The leader that decided this.
    #[serde(rename = "epoch")]
    pub fencing_token: u64,
    /// When the phase began, in ms since 1970.
    pub since_ms: u64,
    /// The operator's word that this answers.
    #[serde(rename = "word")]
    pub request_no: u64,
    /// Replicas of the old job that are meant to go, or have gone.
    #[serde(rename = "go_old")]
    pub stopping_old: ReplicaIndexes,
    /// Replicas of the new job that may run; all others are meant to go.
    #[serde(rename = "may_new")]
    pub allowed_new: ReplicaIndexes,
    /// What speaks against the new version.
    #[serde(rename = "against")]
    pub failure_counts: FailureCounts,
}

impl RolloutStatus {
    /// The old and the new job: those it has begun with, else those declared.
    pub fn jobs<'a>(&'a self, spec: &'a RolloutSpec) -> [&'a JobId; 2] {
        let begun = self.phase.begun();
        let of = |id: &'a Option<JobId>, declared: &'a JobId| id.as_ref().filter(|_| begun).unwrap_or(declared);
        [of(&self.old, &spec.old), of(&self.new, &spec.new)]
    }
}

#[cfg(test)]
mod tests;
