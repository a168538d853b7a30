//! The input of a rollout's decisions: both jobs as the leader sees them.

use std::collections::{BTreeMap, BTreeSet};

use super::status::FailedMachine;

/// What is known of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum JobPresence {
    /// Never heard of.
    #[default]
    Unknown,
    /// The job is open.
    Open,
    /// It is done, cancelled, or was forgotten.
    Ended,
}

/// A replica that has a machine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ObservedReplica {
    /// Where it is bound.
    pub machine: String,
    /// The machine's type.
    pub type_name: String,
    /// The machine's zone.
    pub zone: String,
    /// By the last heartbeat.
    pub running: bool,
    /// Was told to stop by this leader.
    pub stopping: bool,
    /// Its machine was heard of lately.
    pub heard: bool,
    /// Its machine is to be taken or returned.
    pub leaving: bool,
    /// Runs and will go on, for all that is known: its machine was heard of lately, is not to be taken
    /// or returned, and has seen a fencing token of this leader, so that no earlier leader's stop can arrive any more.
    pub sure: bool,
    /// Seconds for which this leader has known it running, and for which it has had its machine.
    pub ran_s: f64,
    /// Seconds for which it has had its machine.
    pub bound_s: f64,
}

impl ObservedReplica {
    /// Whether it may be running: a new leader has received no heartbeats yet.
    pub fn may_run(&self) -> bool {
        !self.stopping && !self.leaving && (self.running || !self.heard)
    }
}

/// One of the two jobs of a rollout.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ObservedJob {
    /// What is known of the job.
    pub known: JobPresence,
    /// Replicas that it was submitted with.
    pub tasks: u32,
    /// Bound replicas, by number.
    pub replicas: BTreeMap<u32, ObservedReplica>,
    /// Failures of its replicas that this leader has heard of.
    pub failures: u64,
    /// Machines of the latest failures, the latest last.
    pub failed_lately: Vec<FailedMachine>,
    /// Fails wherever it is tried (`scheduling::failure_attribution`).
    pub quarantined: bool,
}

impl ObservedJob {
    /// The allowed replicas that count as capacity.
    pub fn serving(&self, may: &BTreeSet<u32>) -> BTreeSet<u32> {
        self.running_for(may, 0.0)
    }

    /// How many of the allowed replicas are not known to be lost.
    pub fn count_not_lost(&self, may: &BTreeSet<u32>) -> usize {
        self.replicas.iter().filter(|(i, r)| may.contains(i) && r.may_run()).count()
    }

    /// The allowed replicas that have counted as capacity for so many seconds.
    pub fn running_for(&self, may: &BTreeSet<u32>, seconds: f64) -> BTreeSet<u32> {
        if self.known == JobPresence::Ended {
            return BTreeSet::new();
        }
        let counts = |(_, r): &(&u32, &ObservedReplica)| r.sure && r.running && !r.stopping && r.ran_s >= seconds;
        self.replicas.iter().filter(counts).map(|(i, _)| *i).filter(|i| may.contains(i)).collect()
    }

    /// How many replicas beyond the allowed ones still have a machine.
    pub fn count_leaving(&self, may: &BTreeSet<u32>) -> usize {
        if self.known == JobPresence::Ended { 0 } else { self.replicas.keys().filter(|i| !may.contains(i)).count() }
    }

    /// The zone of a replica; empty if it is not bound.
    pub fn zone(&self, index: u32) -> &str {
        self.replicas.get(&index).map_or("", |r| r.zone.as_str())
    }
}

/// The input of one decision.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RolloutObservation {
    /// The version that is replaced.
    pub old: ObservedJob,
    /// The version that replaces it.
    pub new: ObservedJob,
    /// Why these jobs can have no rollout as declared.
    pub conflict: Option<String>,
    /// Why the team's limits do not let it begin.
    pub quota_shortage: Option<String>,
    /// Quarantined machines.
    pub quarantined: BTreeSet<String>,
    /// Time of day, in ms since 1970.
    pub now_ms: u64,
    /// The fencing token under which this leader began.
    pub fencing_token: u64,
}
