//! Input of a rollout's decisions: both jobs as observed by the leader.

use std::collections::{BTreeMap, BTreeSet};

use super::status::FailedMachine;

/// Whether the leader knows a job, and whether it is open.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum JobPresence {
    /// The leader has never seen the job.
    #[default]
    Unknown,
    /// The job is open.
    Open,
    /// The job is done, cancelled, or its record was dropped.
    Ended,
}

/// Replica that is bound to a machine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ObservedReplica {
    /// Machine to which the replica is bound.
    pub machine: String,
    /// The machine's type.
    pub type_name: String,
    /// The machine's zone.
    pub zone: String,
    /// Whether the replica was running at the last heartbeat.
    pub running: bool,
    /// Whether this leader has ordered the replica to stop.
    pub stopping: bool,
    /// Whether the machine has sent a heartbeat recently.
    pub machine_responsive: bool,
    /// Whether the machine is about to be reclaimed or returned.
    pub machine_leaving: bool,
    /// Whether the replica is running and expected to keep running: its machine has sent a heartbeat recently, is not
    /// about to be reclaimed or returned, and has seen a fencing token of this leader, so that a stop order of an
    /// earlier leader can no longer take effect.
    pub confirmed_running: bool,
    /// Time in seconds for which this leader has known the replica to be running.
    pub running_s: f64,
    /// Time in seconds for which the replica has been bound to its machine.
    pub bound_s: f64,
}

impl ObservedReplica {
    /// Returns whether the replica may be running. Replicas without a recent heartbeat are included, since a new leader
    /// has not received any yet.
    pub fn may_be_running(&self) -> bool {
        !self.stopping && !self.machine_leaving && (self.running || !self.machine_responsive)
    }
}

/// Observation of one of the two jobs of a rollout.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ObservedJob {
    /// Whether the job is known and open.
    pub presence: JobPresence,
    /// Number of replicas with which the job was submitted.
    pub tasks: u32,
    /// Bound replicas by index.
    pub replicas: BTreeMap<u32, ObservedReplica>,
    /// Number of replica failures reported to this leader.
    pub failures: u64,
    /// Machines of the most recent failures, oldest first.
    pub recent_failures: Vec<FailedMachine>,
    /// Whether the job is quarantined because it fails on every machine (`scheduling::failure_attribution`).
    pub quarantined: bool,
}

impl ObservedJob {
    /// Returns the allowed replicas that count as capacity.
    pub fn serving(&self, allowed: &BTreeSet<u32>) -> BTreeSet<u32> {
        self.running_for(allowed, 0.0)
    }

    /// Counts the allowed replicas that are not known to be lost.
    pub fn count_not_lost(&self, allowed: &BTreeSet<u32>) -> usize {
        self.replicas.iter().filter(|(i, r)| allowed.contains(i) && r.may_be_running()).count()
    }

    /// Returns the allowed replicas that have counted as capacity for at least the given time.
    pub fn running_for(&self, allowed: &BTreeSet<u32>, seconds: f64) -> BTreeSet<u32> {
        if self.presence == JobPresence::Ended {
            return BTreeSet::new();
        }
        let counts = |(_, r): &(&u32, &ObservedReplica)| {
            r.confirmed_running && r.running && !r.stopping && r.running_s >= seconds
        };
        self.replicas.iter().filter(counts).map(|(i, _)| *i).filter(|i| allowed.contains(i)).collect()
    }

    /// Counts the bound replicas that are not among the allowed ones.
    pub fn count_bound_not_allowed(&self, allowed: &BTreeSet<u32>) -> usize {
        if self.presence == JobPresence::Ended {
            0
        } else {
            self.replicas.keys().filter(|i| !allowed.contains(i)).count()
        }
    }

    /// Returns the zone of a replica, or an empty string if it is not bound.
    pub fn zone(&self, index: u32) -> &str {
        self.replicas.get(&index).map_or("", |r| r.zone.as_str())
    }
}

/// Input of one rollout decision.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RolloutObservation {
    /// Job of the old version.
    pub old: ObservedJob,
    /// Job of the new version.
    pub new: ObservedJob,
    /// Reason to refuse the rollout, if its jobs are unsuitable or held by another rollout.
    pub conflict: Option<String>,
    /// Reason why the team's limits prevent the rollout from beginning.
    pub quota_shortage: Option<String>,
    /// IDs of the quarantined machines.
    pub quarantined: BTreeSet<String>,
    /// Current time, in Unix milliseconds.
    pub now_ms: u64,
    /// Fencing token with which this leader began.
    pub fencing_token: u64,
}
