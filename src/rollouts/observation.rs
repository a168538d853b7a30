//! What a rollout looks at: both jobs as the leader sees them, without the cluster state.

use std::collections::{BTreeMap, BTreeSet};

/// What is known of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Known {
    /// Never heard of.
    #[default]
    Unknown,
    /// The job is open.
    Open,
    /// Done, cancelled, or both forgotten.
    Over,
}

/// A replica that has a machine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Replica {
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

impl Replica {
    /// Runs, or may for all that is known: a new leader has heard of nothing yet.
    pub fn may_run(&self) -> bool {
        !self.stopping && !self.leaving && (self.running || !self.heard)
    }
}

/// One of the two jobs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Side {
    /// What is known of the job.
    pub known: Known,
    /// Replicas that it was submitted with.
    pub tasks: u32,
    /// Bound replicas, by number.
    pub replicas: BTreeMap<u32, Replica>,
    /// Failures of its replicas that this leader has heard of, and the machines of the latest of them, the
    /// latest last, with their types.
    pub failures: u64,
    /// Machine and machine type of the latest failures.
    pub failed_lately: Vec<(String, String)>,
    /// Fails wherever it is tried (`scheduling::failure_attribution`).
    pub quarantined: bool,
}

impl Side {
    /// Those of the allowed replicas that count as capacity.
    pub fn live(&self, may: &BTreeSet<u32>) -> BTreeSet<u32> {
        self.running_for(may, 0.0)
    }

    /// Those of the allowed replicas that are not known to be lost.
    pub fn not_lost(&self, may: &BTreeSet<u32>) -> usize {
        self.replicas.iter().filter(|(i, r)| may.contains(i) && r.may_run()).count()
    }

    /// Those that have counted for so many seconds.
    pub fn running_for(&self, may: &BTreeSet<u32>, seconds: f64) -> BTreeSet<u32> {
        if self.known == Known::Over {
            return BTreeSet::new();
        }
        let counts = |(_, r): &(&u32, &Replica)| r.sure && r.running && !r.stopping && r.ran_s >= seconds;
        self.replicas.iter().filter(counts).map(|(i, _)| *i).filter(|i| may.contains(i)).collect()
    }

    /// What of its replicas beyond the allowed ones still has a machine.
    pub fn leaving(&self, may: &BTreeSet<u32>) -> usize {
        if self.known == Known::Over { 0 } else { self.replicas.keys().filter(|i| !may.contains(i)).count() }
    }

    /// The zone of a replica; empty if it is not bound.
    pub fn zone(&self, index: u32) -> &str {
        self.replicas.get(&index).map_or("", |r| r.zone.as_str())
    }
}

/// All that is looked at for one decision.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Observation {
    /// The version that is replaced.
    pub old: Side,
    /// The version that replaces it.
    pub new: Side,
    /// Why these jobs can have no rollout as declared.
    pub unfit: Option<String>,
    /// Why the rollout has no room to begin.
    pub no_room: Option<String>,
    /// Machines quarantined.
    pub quarantined: BTreeSet<String>,
    /// Time of day, in ms since 1970.
    pub now_ms: u64,
    /// The fencing token under which this leader began.
    pub epoch: u64,
}
