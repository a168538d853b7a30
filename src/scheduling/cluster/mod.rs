//! The leader's cluster state: tasks, machines and the bindings between them.
//!
//! A task is bound to its machine from the moment the machine is chosen until the task is proven gone: by its exit,
//! by a heartbeat newer than every command that may still arrive, by a new agent epoch, or by the completed
//! termination of the machine. Heartbeats, stored values and scheduling decisions change the cluster state; it does
//! no I/O and reads no clock.

mod accounting;
mod bindings;
mod command_tokens;
mod commands;
mod failures;
mod heartbeats;
mod intents;
mod jobs;
mod loads;
mod machines;
mod model;
mod one_way_partition;
mod storing;
mod tick;
mod unreadable;
mod watermark;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::num::NonZeroUsize;
use std::time::Instant;

use lru::LruCache;

pub use commands::DirectCommand;
pub use machines::TaskMove;
pub use model::{
    Arrivals, Binding, CapacityIntent, Intents, JobState, Machine, MachineId, MachineState, Phase, Placement,
    PriorityBoost, ReplicaIntent, Reservation, Task, TeamUsage, WindowPosition,
};
use storing::UnstoredShards;
pub use storing::{FoundShard, QueuePosition, ShardValue, ShardWrite};
use unreadable::SuspendedJobs;

use super::failure_attribution::FailureAttribution;
use super::fairness::AccountingEvent;
use super::fairness::floor::{CoreCredit, Underserved};
use super::ids::MAX_CLASSES;
use super::large::LargeGangs;
use super::passed_over::PassedOverJobs;
use crate::cloud_orders::CloudOrder;
use crate::jobs::JobId;
use crate::machine_kinds::MachineKind;
use crate::process_pause::ProcessPause;
use crate::settings::{Properties, Settings};

/// Distinct combinations of machine type, zone and spot flag that the cluster state tells apart.
const MAX_MACHINE_KINDS: usize = 1000;

/// Ended jobs whose end time is kept.
const MAX_JOB_END_TIMES: NonZeroUsize = NonZeroUsize::new(4096).unwrap();

/// Hashes job ids. Users choose the ids, so the hash is randomly keyed; in tests it is the same in every run, so that a
/// seed reproduces its interleaving.
#[cfg(not(test))]
type JobIdHasher = std::hash::RandomState;
#[cfg(test)]
type JobIdHasher = std::hash::BuildHasherDefault<std::hash::DefaultHasher>;

/// The state from which the leader schedules: jobs, machines, bindings and what is derived from them. It does no I/O
/// and reads no clock. One lock, held by `scheduling::leader_state`, guards all of it.
pub struct ClusterState {
    /// The fencing token of this leader, raised when commands have to be voided.
    pub fencing_token: u64,
    /// The first fencing token of this leader. Under higher ones it is still the same leader, which knows every command
    /// that it has sent since this one.
    pub first_fencing_token: u64,
    /// The newest revision of the store at which a write was applied that is conditional on this leader's record.
    fenced_revision: u64,
    /// Whether everything stored has been read; nothing is decided before.
    pub loaded: bool,
    /// The revision of the store up to which every job end is in this cluster state, once it is loaded.
    pub known_ends_revision: u64,
    /// The cancellation watermark, a revision of the store; it never decreases.
    watermark: u64,
    /// The platform's settings.
    pub settings: Settings,
    /// The operators' settings.
    pub properties: Properties,
    jobs: HashMap<JobId, JobState, JobIdHasher>,
    /// Jobs that have ended and still have bound tasks.
    ending_jobs: BTreeSet<JobId>,
    /// Jobs with shards that could not be read.
    suspended_jobs: SuspendedJobs,
    /// Every machine type, zone and spot flag that any machine has had; machines refer to theirs by its index.
    machine_kinds: Vec<MachineKind>,
    /// Machine kinds that the cloud has refused and of which no machine is held.
    pub unobtainable_kinds: HashSet<MachineKind>,
    /// Whether anything that placement depends on has changed since the last plan.
    pub(super) replan_needed: bool,
    /// Every machine that is provisioned or has reported, by id.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Returned machines, the latest last, so that their late heartbeats don't add them again.
    returned_machines: VecDeque<MachineId>,
    /// The ids in `returned_machines`, for lookup.
    returned_machine_ids: HashSet<MachineId>,
    /// Task shards whose stored value is out of date.
    unstored_shards: UnstoredShards,
    /// Jobs that are complete and not yet stored as done.
    completed_jobs: VecDeque<JobId>,
    /// Task shards of ended jobs, to be deleted from the store.
    shards_to_drop: VecDeque<(JobId, u64)>,
    /// Cores and accelerators that each team's bound tasks take.
    pub team_usage: HashMap<String, TeamUsage>,
    /// When the fencing token was last raised.
    token_raised_at: Instant,
    /// Whether a launch that may still arrive is to be voided by a higher fencing token.
    higher_token_wanted: bool,
    /// When many machines were last silent at the same time.
    many_silent_seen_at: Option<Instant>,
    /// The last pause of this controller's process.
    last_pause: Option<ProcessPause>,
    /// When everything stored had been read.
    loaded_at: Instant,
    /// By class, how observed run times compare with the users' estimates.
    estimate_errors: LruCache<String, EstimateErrors>,
    /// The recent arrival rate of tasks, by class.
    pub arrivals: BTreeMap<String, Arrivals>,
    /// Offered work and credit of the largest gangs.
    pub large_gangs: LargeGangs,
    /// Machines reserved for gangs that will soon fit.
    pub reservations: HashMap<MachineId, Reservation>,
    /// Machines on which tasks were preempted for a job, reserved until the job is placed there.
    pub preemption_reservations: HashMap<MachineId, Reservation>,
    /// Since when plans have reserved capacity for a gang.
    pub(super) gang_room_held_since: Option<Instant>,
    /// Jobs that wait although machines have capacity for them.
    pub(super) passed_over: PassedOverJobs,
    /// Classes and teams that were served less than the floor, by fair-share accounting.
    pub underserved: Underserved,
    /// Recent failures, and whether a job, a task or a machine is at fault.
    pub attribution: FailureAttribution,
    /// Cores that jobs too late for all their objectives may take ahead of other work.
    pub core_credit: CoreCredit,
    /// Cloud orders left by an earlier leader, for the fleet to resume.
    pub inherited_orders: Vec<CloudOrder>,
    /// When the most recently ended jobs ended.
    job_end_times: LruCache<JobId, Instant>,
    /// What the operators' declarations ask of scheduling.
    pub intents: Intents,
    /// Whether jobs have arrived since the intents were computed.
    pub intents_outdated: bool,
    /// Events not yet passed to fair-share accounting.
    accounting_events: Vec<(JobId, AccountingEvent, Instant)>,
}

/// How far the run times of a class were from their estimates.
#[derive(Debug, Clone, Copy, Default)]
struct EstimateErrors {
    /// Sum of the logarithms of observed over estimated run time.
    log_ratio_sum: f64,
    /// How many tasks were observed.
    samples: f64,
}

impl ClusterState {
    /// An empty state for a new leader; `scheduling::load` fills it.
    pub fn new(fencing_token: u64, settings: Settings, properties: Properties, now: Instant) -> Self {
        Self {
            fencing_token,
            first_fencing_token: fencing_token,
            fenced_revision: fencing_token,
            loaded: false,
            known_ends_revision: 0,
            watermark: 0,
            settings,
            jobs: HashMap::default(),
            ending_jobs: BTreeSet::new(),
            suspended_jobs: SuspendedJobs::new(),
            machine_kinds: Vec::new(),
            unobtainable_kinds: HashSet::new(),
            replan_needed: true,
            machines: BTreeMap::new(),
            returned_machines: VecDeque::new(),
            returned_machine_ids: HashSet::new(),
            unstored_shards: UnstoredShards::default(),
            completed_jobs: VecDeque::new(),
            shards_to_drop: VecDeque::new(),
            team_usage: HashMap::new(),
            token_raised_at: now,
            higher_token_wanted: false,
            many_silent_seen_at: None,
            last_pause: None,
            loaded_at: now,
            estimate_errors: LruCache::new(MAX_CLASSES),
            arrivals: BTreeMap::new(),
            large_gangs: LargeGangs::new(&properties, now),
            reservations: HashMap::new(),
            preemption_reservations: HashMap::new(),
            gang_room_held_since: None,
            passed_over: PassedOverJobs::default(),
            underserved: Underserved::default(),
            attribution: FailureAttribution::default(),
            core_credit: CoreCredit::default(),
            inherited_orders: Vec::new(),
            job_end_times: LruCache::new(MAX_JOB_END_TIMES),
            intents: Intents::default(),
            intents_outdated: true,
            accounting_events: Vec::new(),
            properties,
        }
    }

    /// The index of a machine type, zone and spot flag in `machine_kinds`. None beyond `MAX_MACHINE_KINDS`, since
    /// reports may name anything.
    fn kind_index(&mut self, type_name: &str, zone: &str, spot: bool) -> Option<usize> {
        let same = |k: &MachineKind| k.type_name == type_name && k.zone == zone && k.spot == spot;
        let known = self.machine_kinds.iter().position(same);
        if known.is_none() && self.machine_kinds.len() < MAX_MACHINE_KINDS {
            self.machine_kinds.push(MachineKind { type_name: type_name.to_owned(), zone: zone.to_owned(), spot });
            return Some(self.machine_kinds.len() - 1);
        }
        known
    }

    /// Entry counts of all collections that could grow, by name.
    pub fn entry_counts(&self) -> [(&'static str, usize); 12] {
        let [machines_quarantined, jobs_quarantined, jobs_failing] = self.attribution.counts();
        [
            ("machines_suspected", machines_quarantined),
            ("jobs_suspected", jobs_quarantined),
            ("jobs_failing", jobs_failing),
            ("book_jobs", self.jobs.len()),
            ("ending", self.ending_jobs.len()),
            ("machines", self.machines.len()),
            ("deaf", self.machines.values().filter(|m| m.inbound_lost).count()),
            ("returned", self.returned_machines.len()),
            ("kinds", self.machine_kinds.len()),
            ("classes", self.estimate_errors.len().max(self.arrivals.len())),
            ("to_store", self.unstored_shards.len() + self.completed_jobs.len()),
            ("to_drop", self.shards_to_drop.len()),
        ]
    }

    /// The reservation of a machine; one made by preemption comes first.
    pub fn reservation(&self, id: &MachineId, now: Instant) -> Option<&Reservation> {
        self.preemption_reservations.get(id).filter(|r| r.until > now).or_else(|| self.reservations.get(id))
    }

    /// Every machine type, zone and spot flag that any machine has had, in the order of `Machine::kind_index`.
    pub fn kinds(&self) -> &[MachineKind] {
        &self.machine_kinds
    }

    /// Returns whether placement may differ from the last plan, and resets the flag.
    pub fn take_replan_needed(&mut self) -> bool {
        std::mem::take(&mut self.replan_needed)
    }
}
