//! The leader's cluster state: tasks, machines and the bindings between them.
//!
//! A task is bound to its machine from the moment it is chosen until something proves it gone:
//! its exit, a heartbeat newer than every command that may still arrive, a new agent epoch, or
//! a completed return of the machine. The cluster state is changed by heartbeats, by what was stored and by
//! decisions; it does no I/O and reads no clock.

mod accounting;
mod bindings;
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
    PriorityBoost, ReplicaIntent, Reservation, Task, TeamUsage, WindowPlace,
};
pub use storing::ShardWrite;
use storing::UnstoredShards;
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

/// Types, zones and kinds kept apart.
const MAX_MACHINE_KINDS: usize = 1000;

/// Jobs of which it is kept when they ended.
const MAX_JOB_END_TIMES: NonZeroUsize = NonZeroUsize::new(4096).unwrap();

/// Users choose the ids, so they are digested as nobody can foresee; in tests alike in every run, so that a
/// seed runs the same interleaving again.
#[cfg(not(test))]
type JobIdHasher = std::hash::RandomState;
#[cfg(test)]
type JobIdHasher = std::hash::BuildHasherDefault<std::hash::DefaultHasher>;

/// What the leader knows and decides by: jobs, machines, bindings, and what follows from them. It does no I/O and reads
/// no clock. One lock, held by `scheduling::leader_state`, guards all of it.
pub struct ClusterState {
    /// The fencing token of this leader, raised when commands have to be voided.
    pub fencing_token: u64,
    /// The fencing token under which it began. Under later ones the same leader goes on, which knows what it has
    /// told under this one.
    pub first_fencing_token: u64,
    /// Everything stored has been read; nothing is decided before.
    pub loaded: bool,
    /// Every end that stood in the store at this revision is in this cluster state, once it is loaded.
    pub known_ends_revision: u64,
    /// The cancellation watermark, a revision of the store; it never goes back.
    watermark: u64,
    /// What the platform has handed over.
    pub settings: Settings,
    /// The operators' own settings.
    pub properties: Properties,
    jobs: HashMap<JobId, JobState, JobIdHasher>,
    /// Jobs whose end is known and of which something is still bound.
    ending_jobs: BTreeSet<JobId>,
    /// Jobs with shards that could not be read.
    suspended_jobs: SuspendedJobs,
    /// Every type, zone and kind that a machine was ever of; machines name theirs by its place.
    machine_kinds: Vec<MachineKind>,
    /// Something that placement depends on has changed since the last plan.
    pub(super) replan_needed: bool,
    /// Every machine that is held or was heard of, by name.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Machines that were returned, the latest last, so that their late heartbeats are not taken for new ones.
    returned_machines: VecDeque<MachineId>,
    /// The same, for lookup.
    returned_machine_ids: HashSet<MachineId>,
    /// Task shards that the store is behind on.
    unstored_shards: UnstoredShards,
    /// Jobs complete but not yet stored as done.
    completed_jobs: VecDeque<JobId>,
    /// Shards of jobs that are over, to be dropped.
    shards_to_drop: VecDeque<(JobId, u64)>,
    /// Cores and accelerators that each team's bound tasks take.
    pub team_usage: HashMap<String, TeamUsage>,
    /// When the fencing token was last raised.
    token_raised_at: Instant,
    /// A launch that may still arrive is to be voided by a higher fencing token.
    higher_token_wanted: bool,
    /// When many machines were last silent together.
    many_silent_seen_at: Option<Instant>,
    /// When this controller last was paused.
    last_pause: Option<ProcessPause>,
    /// When everything stored was read.
    loaded_at: Instant,
    /// By class: how observed run times compare with the leaders' estimates (sum of logs, count).
    observed: LruCache<String, (f64, f64)>,
    /// How fast tasks of each class have lately come.
    pub arrivals: BTreeMap<String, Arrivals>,
    /// Offered work and credit of the largest gangs.
    pub large_gangs: LargeGangs,
    /// Machines kept for gangs that will soon fit.
    pub reservations: HashMap<MachineId, Reservation>,
    /// Machines on which others were stopped for a job, until it has come there.
    pub preemption_reservations: HashMap<MachineId, Reservation>,
    /// Since when plans have kept room for a gang.
    pub(super) gang_room_held_since: Option<Instant>,
    /// Jobs that wait although machines have room for them.
    pub(super) passed_over: PassedOverJobs,
    /// Classes and teams that were served less than the floor, by fair-share accounting.
    pub underserved: Underserved,
    /// What is known of failures, by which they are attributed to a job, a task or a machine.
    pub attribution: FailureAttribution,
    /// Cores that work which is late for all its objectives may take before others.
    pub core_credit: CoreCredit,
    /// Orders to the cloud that an earlier leader has left, for whoever carries them out.
    pub inherited_orders: Vec<CloudOrder>,
    /// When jobs ended, of the last ones that this leader heard of.
    job_end_times: LruCache<JobId, Instant>,
    /// What the operators' declarations ask of scheduling.
    pub intents: Intents,
    /// Jobs have come since that was worked out.
    pub intents_outdated: bool,
    /// Events that fair-share accounting has not been told of yet.
    accounting_events: Vec<(JobId, AccountingEvent, Instant)>,
}

impl ClusterState {
    /// An empty state for a leader that has just been assigned; `load` fills it.
    pub fn new(fencing_token: u64, settings: Settings, properties: Properties, now: Instant) -> Self {
        Self {
            fencing_token,
            first_fencing_token: fencing_token,
            loaded: false,
            known_ends_revision: 0,
            watermark: 0,
            settings,
            jobs: HashMap::default(),
            ending_jobs: BTreeSet::new(),
            suspended_jobs: SuspendedJobs::new(),
            machine_kinds: Vec::new(),
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
            observed: LruCache::new(MAX_CLASSES),
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

    /// The place of a type, zone and kind in the list of kinds; none past what is sane, since
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

    /// Entries of everything that could grow, by name.
    pub fn entry_counts(&self) -> [(&'static str, usize); 12] {
        let [machines_quarantined, jobs_quarantined, jobs_failing] = self.attribution.held();
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
            ("classes", self.observed.len().max(self.arrivals.len())),
            ("to_store", self.unstored_shards.len() + self.completed_jobs.len()),
            ("to_drop", self.shards_to_drop.len()),
        ]
    }

    /// For whom a machine is held: first for whom others were stopped there.
    pub fn reservation(&self, id: &MachineId, now: Instant) -> Option<&Reservation> {
        self.preemption_reservations.get(id).filter(|h| h.until > now).or_else(|| self.reservations.get(id))
    }

    /// Every type, zone and kind that a machine was ever of; a machine's `kind` is a place in it.
    pub fn kinds(&self) -> &[MachineKind] {
        &self.machine_kinds
    }

    /// Whether a plan may find something that the last one did not.
    pub fn take_replan_needed(&mut self) -> bool {
        std::mem::take(&mut self.replan_needed)
    }
}
