//! The leader's cluster state: tasks, machines and the bindings between them.
//!
//! A task is bound to its machine from the moment it is chosen until something proves it gone:
//! its exit, a heartbeat newer than every command that may still arrive, a new agent epoch, or
//! a completed return of the machine. The cluster state is changed by heartbeats, by what was stored and by
//! decisions; it does no I/O and reads no clock.

mod bindings;
mod commands;
mod failures;
mod heartbeats;
mod jobs;
mod machine;
mod one_way_partition;
mod storing;
mod unreadable;
mod watermark;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::time::{Duration, Instant};

use lru::LruCache;
pub use machine::{Machine, MachineState};
use storing::Dirty;
use unreadable::RestingJobs;

use super::failure_attribution::FailureAttribution;
use super::fairness::Note;
use super::fairness::floor::{Below, CoreCredit};
use super::fairness::promises::{Promise, next_start_s};
use super::intents::Intents;
use super::large::Large;
use super::plan::beside::BesideRoom;
use super::reservations::Reservation;
use crate::cloud_orders::CloudOrder;
use crate::jobs::record::{JobRecord, StoredTask, TASKS_PER_SHARD};
use crate::jobs::{JobId, JobSpec};
use crate::machine_kinds::MachineKind;
use crate::process_pause::ProcessPause;
use crate::protocol::workers::{AttemptStatus, WorkerCommand};
use crate::settings::{Properties, Settings};
use crate::sla::Agreement;

/// The cloud's name of a machine, shared by all that refer to it.
pub type MachineId = Arc<str>;

/// Types, zones and kinds kept apart.
const MOST_KINDS: usize = 1000;
/// Classes of jobs of which anything is remembered: users name them as they like.
pub const MOST_CLASSES: NonZeroUsize = NonZeroUsize::new(256).unwrap();

/// Jobs of which it is kept when they ended.
const ENDED_KEPT: NonZeroUsize = NonZeroUsize::new(4096).unwrap();

/// Notes for the account between two looks; more are not counted.
const MOST_NOTES: usize = 20_000;

/// How a message reached us: only true heartbeats prove that an earlier answer is dead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Via {
    /// A heartbeat that the worker sent by itself.
    Heartbeat,
    /// The reply to a direct command.
    Command,
}

/// Where a task is placed, and what is known of it there.
#[derive(Debug, Clone)]
pub struct Binding {
    /// The machine that the task is bound to.
    pub machine: MachineId,
    /// The agent epoch in which this leader first told the worker, if it did.
    told: Option<u64>,
    /// Stored by an earlier leader, which may have told the worker under an older fencing token.
    inherited: bool,
    /// What the worker last reported of the task; none before the first heartbeat that shows it.
    pub status: Option<AttemptStatus>,
    /// When it was first seen running.
    pub running_since: Option<Instant>,
    /// Being stopped, with this much time to save.
    pub halting: Option<u64>,
    /// When the binding was made or read from the store.
    pub since: Instant,
}

impl Binding {
    fn new(machine: MachineId, inherited: bool, now: Instant) -> Self {
        Self { machine, told: None, inherited, status: None, running_since: None, halting: None, since: now }
    }

    /// For how long it has been running, as far as was reported.
    pub fn ran(&self, now: Instant) -> Duration {
        self.running_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}

/// Where a task stands.
#[derive(Debug, Clone)]
pub enum Phase {
    /// Not placed.
    Waiting,
    /// Boxed, so that the many that wait take little.
    Bound(Box<Binding>),
    /// Completed; it never runs again.
    Done,
}

/// One task of an open job.
#[derive(Debug, Clone)]
pub struct Task {
    /// The number of its last start; 0 if it never had one.
    pub attempt: u64,
    /// Where it stands.
    pub phase: Phase,
    /// Whether the store says the same.
    pub stored: bool,
}

impl Task {
    fn as_stored(&self) -> StoredTask {
        match &self.phase {
            Phase::Done => StoredTask::Done,
            Phase::Waiting if self.attempt == 0 => StoredTask::Untouched,
            Phase::Waiting => StoredTask::Waiting(self.attempt),
            Phase::Bound(b) => StoredTask::Bound(self.attempt, b.machine.to_string()),
        }
    }
}

/// A job as the leader schedules it: its record, its tasks and what is derived from them.
pub struct JobState {
    /// The job as it is stored.
    pub record: Arc<JobRecord>,
    /// Run time, deadline, budget and penalty rate by which its tasks are admitted and ordered.
    pub agreement: Agreement,
    /// When its user first asked, by this process's steady clock.
    pub since: Instant,
    /// All tasks, by number.
    pub tasks: Vec<Task>,
    /// Numbers of the tasks that wait for a place.
    pub waiting: BTreeSet<u32>,
    /// Numbers of the tasks that are bound to a machine.
    pub bound: BTreeSet<u32>,
    /// How many tasks are done.
    pub done: u64,
    versions: Vec<u64>,
    /// When this process heard that the job ended, done or cancelled.
    pub ended: Option<Instant>,
    /// Its end was not stored yet at this revision.
    ended_after: u64,
    /// It ended as done: whatever is left of it needs no proof in time.
    finished: bool,
    /// Not to be placed before, after failures.
    pub not_before: Instant,
    /// The image's name, digested: what machines hold is compared by this.
    pub image: u64,
    /// When a task of it last ended.
    pub last_end: Option<Instant>,
    /// All that its user was promised.
    pub promises: Box<[Promise]>,
    /// Tasks that had a place at least once.
    touched: usize,
    /// Starts of the task that had most of them.
    most_starts: u64,
    /// This leader knows that it runs, or has.
    begun: bool,
}

impl JobState {
    /// What was submitted.
    pub fn spec(&self) -> &JobSpec {
        &self.record.spec
    }

    /// Shards with their versions in the store, of those that the store is not behind on: nothing of
    /// them is on its way there.
    pub fn settled_shards(&self) -> impl Iterator<Item = (u64, u64)> {
        let settled = |shard: u64| self.shard(shard).iter().all(|t| t.stored);
        (0u64..).zip(self.versions.iter().copied()).filter(move |(shard, version)| *version > 0 && settled(*shard))
    }

    fn shard(&self, shard: u64) -> &[Task] {
        let from = (shard * TASKS_PER_SHARD) as usize;
        let to = (from + TASKS_PER_SHARD as usize).min(self.tasks.len());
        self.tasks.get(from..to).unwrap_or_default()
    }

    /// Nothing that was promised of it can be kept by starting it now or later.
    pub fn too_late(&self, age: Duration) -> bool {
        next_start_s(&self.promises, self.agreement.run, age).is_none()
    }

    /// The part of its tasks that never had a place.
    pub fn untouched(&self) -> f64 {
        1.0 - self.touched as f64 / self.tasks.len().max(1) as f64
    }

    /// This leader knows that it runs, or has.
    pub fn begun(&self) -> bool {
        self.begun
    }

    /// A gang runs once all its tasks do; of anything else one is enough. A task that is done has run.
    fn runs(&self) -> bool {
        let runs = |index: &u32| {
            self.binding(*index)
                .is_some_and(|b| matches!(b.status, Some(AttemptStatus::Running | AttemptStatus::Saving)))
        };
        if self.done > 0 {
            return true;
        }
        if self.spec().is_gang() {
            return self.bound.len() == self.tasks.len() && self.bound.iter().all(runs);
        }
        self.bound.iter().any(runs)
    }

    /// What must be free together for anything of it to start, in cores.
    pub fn cores_at_once(&self) -> f64 {
        let spec = self.spec();
        if spec.is_gang() { spec.cpus * spec.tasks as f64 } else { spec.cpus }
    }

    /// A waiting task of it has lost so many starts. Looked for only where any task was started so
    /// often: jobs may have a hundred thousand.
    pub fn lost_starts(&self, least: u64) -> bool {
        self.most_starts >= least
            && self.waiting.iter().any(|i| self.tasks.get(*i as usize).is_some_and(|t| t.attempt >= least))
    }

    /// Whether nothing of it is left to run: all tasks are done, or one of a gang.
    pub fn complete(&self) -> bool {
        self.done == self.tasks.len() as u64 || (self.spec().is_gang() && self.done > 0)
    }

    /// Where a task is bound, if it is.
    pub fn binding(&self, index: u32) -> Option<&Binding> {
        match &self.tasks.get(index as usize)?.phase {
            Phase::Bound(binding) => Some(binding),
            _ => None,
        }
    }

    fn binding_mut(&mut self, index: u32) -> Option<&mut Binding> {
        match &mut self.tasks.get_mut(index as usize)?.phase {
            Phase::Bound(binding) => Some(binding),
            _ => None,
        }
    }

    /// All tasks of a gang's attempt are stored: only then is any of them told to start.
    fn launchable(&self) -> bool {
        !self.spec().is_gang()
            || (self.waiting.is_empty()
                && self.tasks.iter().all(|t| t.stored && matches!(&t.phase, Phase::Bound(b) if b.halting.is_none())))
    }
}

/// A command to be sent straight to a worker.
#[derive(Debug)]
pub struct Direct {
    /// The machine that is to carry it out.
    pub machine: MachineId,
    /// Its worker's address.
    pub addr: String,
    /// The fencing token under which it is given.
    pub fencing_token: u64,
    /// The agent's epoch that it is meant for.
    pub agent_epoch: u64,
    /// Launches, stops and reaps, in this order.
    pub orders: Vec<WorkerCommand>,
}

/// One shard as it is about to be stored.
#[derive(Debug, Clone)]
pub struct ShardWrite {
    /// The job whose tasks these are.
    pub job: JobId,
    /// Which shard of the job's tasks.
    pub shard: u64,
    /// The version of the shard that the write replaces; 0 for a first one.
    pub version: u64,
    /// The tasks' states as they are to be stored.
    pub tasks: Vec<StoredTask>,
}

/// Users choose the ids, so they are digested as nobody can foresee; in tests alike in every run, so that a
/// seed runs the same interleaving again.
#[cfg(not(test))]
type Hashing = std::hash::RandomState;
#[cfg(test)]
type Hashing = std::hash::BuildHasherDefault<std::hash::DefaultHasher>;

/// What the leader knows and decides by: jobs, machines, bindings, and what follows from them. It does no I/O and reads
/// no clock.
pub struct ClusterState {
    /// The fencing token of this leader, raised when commands have to be voided.
    pub fencing_token: u64,
    /// The fencing token under which it began. Under later ones the same leader goes on, which knows what it has
    /// told under this one.
    pub first_fencing_token: u64,
    /// Everything stored has been read; nothing is decided before.
    pub loaded: bool,
    /// Every end that stood in the store at this revision is in this cluster state, once it is loaded.
    pub known: u64,
    watermark: u64,
    /// What the platform has handed over.
    pub settings: Settings,
    /// The operators' own settings.
    pub properties: Properties,
    jobs: HashMap<JobId, JobState, Hashing>,
    /// Jobs whose end is known and of which something is still bound.
    ending: BTreeSet<JobId>,
    /// Jobs with shards that could not be read.
    resting: RestingJobs,
    /// Every type, zone and kind that a machine was ever of; machines name theirs by its place.
    kinds: Vec<MachineKind>,
    /// Something that placement depends on has changed since the last plan.
    pub(super) stirred: bool,
    /// Every machine that is held or was heard of, by name.
    pub machines: BTreeMap<MachineId, Machine>,
    gone: VecDeque<MachineId>,
    gone_set: HashSet<MachineId>,
    dirty: Dirty,
    /// Jobs complete but not yet stored as done.
    completed: VecDeque<JobId>,
    /// Shards of jobs that are over, to be dropped.
    drops: VecDeque<(JobId, u64)>,
    /// Cores and accelerators that each team's bound tasks take.
    pub usage: HashMap<String, (f64, f64)>,
    raised: Instant,
    raise: bool,
    /// When many machines were last silent together.
    many_silent_at: Option<Instant>,
    /// When this controller last was paused.
    last_pause: Option<ProcessPause>,
    /// When everything stored was read.
    loaded_at: Instant,
    /// By class: how observed run times compare with the leaders' estimates (sum of logs, count).
    observed: LruCache<String, (f64, f64)>,
    /// How fast tasks of each class have lately come.
    pub arrivals: BTreeMap<String, Arrivals>,
    /// What the largest gangs offer and earn.
    pub large: Large,
    /// Machines kept for gangs that will soon fit.
    pub reservations: HashMap<MachineId, Reservation>,
    /// Machines on which others were stopped for a job, until it has come there.
    pub preemption_reservations: HashMap<MachineId, Reservation>,
    /// Since when plans have kept room for a gang.
    pub(super) keeping: Option<Instant>,
    /// Jobs that wait although machines have room for them.
    pub(super) beside_room: BesideRoom,
    /// Classes and teams that go first, by the account.
    pub below: Below,
    /// Whose fault failures are.
    pub attribution: FailureAttribution,
    /// What work that is late for everything may take before others.
    pub core_credit: CoreCredit,
    /// Orders to the cloud that an earlier leader has left, for whoever carries them out.
    pub inherited: Vec<CloudOrder>,
    /// When jobs ended, of the last ones that this leader heard of.
    ended_at: LruCache<JobId, Instant>,
    /// What operators have declared asks for.
    pub intents: Intents,
    /// Jobs have come since that was worked out.
    pub intents_due: bool,
    /// What the account is to be told next.
    notes: Vec<(JobId, Note, Instant)>,
}

/// How many tasks of a class have come lately: a count that fades, and one job to stand for all.
#[derive(Debug)]
pub struct Arrivals {
    faded: f64,
    at: Instant,
    /// The latest job of the class.
    pub like: Arc<JobRecord>,
}

/// Arrivals fade over this time: long enough to smooth single jobs, short enough to see an end.
const ARRIVALS_FADE: Duration = Duration::from_secs(60);

impl Arrivals {
    fn fade(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.faded * (-passed / ARRIVALS_FADE.as_secs_f64()).exp()
    }

    /// A job that came so long ago.
    fn come(&mut self, record: Arc<JobRecord>, age: Duration, now: Instant) {
        let gone_by = (-age.as_secs_f64() / ARRIVALS_FADE.as_secs_f64()).exp();
        self.faded = self.fade(now) + record.spec.tasks as f64 * gone_by;
        (self.at, self.like) = (now, record);
    }

    /// Tasks a second, as of now.
    pub fn per_second(&self, now: Instant) -> f64 {
        self.fade(now) / ARRIVALS_FADE.as_secs_f64()
    }
}

impl ClusterState {
    /// An empty state for a leader that has just been assigned; `load` fills it.
    pub fn new(fencing_token: u64, settings: Settings, properties: Properties, now: Instant) -> Self {
        Self {
            fencing_token,
            first_fencing_token: fencing_token,
            loaded: false,
            known: 0,
            watermark: 0,
            settings,
            jobs: HashMap::default(),
            ending: BTreeSet::new(),
            resting: RestingJobs::new(),
            kinds: Vec::new(),
            stirred: true,
            machines: BTreeMap::new(),
            gone: VecDeque::new(),
            gone_set: HashSet::new(),
            dirty: Dirty::default(),
            completed: VecDeque::new(),
            drops: VecDeque::new(),
            usage: HashMap::new(),
            raised: now,
            raise: false,
            many_silent_at: None,
            last_pause: None,
            loaded_at: now,
            observed: LruCache::new(MOST_CLASSES),
            arrivals: BTreeMap::new(),
            large: Large::new(&properties, now),
            reservations: HashMap::new(),
            preemption_reservations: HashMap::new(),
            keeping: None,
            beside_room: BesideRoom::default(),
            below: Below::default(),
            attribution: FailureAttribution::default(),
            core_credit: CoreCredit::default(),
            inherited: Vec::new(),
            ended_at: LruCache::new(ENDED_KEPT),
            intents: Intents::default(),
            intents_due: true,
            notes: Vec::new(),
            properties,
        }
    }

    /// The place of a type, zone and kind in the list of kinds; none past what is sane, since
    /// reports may name anything.
    fn kind(&mut self, type_name: &str, zone: &str, spot: bool) -> Option<usize> {
        let same = |k: &MachineKind| k.type_name == type_name && k.zone == zone && k.spot == spot;
        let known = self.kinds.iter().position(same);
        if known.is_none() && self.kinds.len() < MOST_KINDS {
            self.kinds.push(MachineKind { type_name: type_name.to_owned(), zone: zone.to_owned(), spot });
            return Some(self.kinds.len() - 1);
        }
        known
    }

    /// Entries of everything that could grow, by name.
    pub fn held(&self) -> [(&'static str, usize); 12] {
        let [machines_quarantined, jobs_quarantined, jobs_failing] = self.attribution.held();
        [
            ("machines_suspected", machines_quarantined),
            ("jobs_suspected", jobs_quarantined),
            ("jobs_failing", jobs_failing),
            ("book_jobs", self.jobs.len()),
            ("ending", self.ending.len()),
            ("machines", self.machines.len()),
            ("deaf", self.machines.values().filter(|m| m.inbound_lost).count()),
            ("returned", self.gone.len()),
            ("kinds", self.kinds.len()),
            ("classes", self.observed.len().max(self.arrivals.len())),
            ("to_store", self.dirty.len() + self.completed.len()),
            ("to_drop", self.drops.len()),
        ]
    }

    /// For whom a machine is held: first for whom others were stopped there.
    pub fn reservation(&self, id: &MachineId, now: Instant) -> Option<&Reservation> {
        self.preemption_reservations.get(id).filter(|h| h.until > now).or_else(|| self.reservations.get(id))
    }

    /// Every type, zone and kind that a machine was ever of; a machine's `kind` is a place in it.
    pub fn kinds(&self) -> &[MachineKind] {
        &self.kinds
    }

    /// What happened since the last call that the account counts, as (job, note, when).
    pub fn take_notes(&mut self) -> Vec<(JobId, Note, Instant)> {
        std::mem::take(&mut self.notes)
    }

    /// Who goes first from now on.
    pub fn set_below(&mut self, below: Below) {
        self.stirred |= self.below != below;
        self.below = below;
    }

    /// What late work has earned is bounded by what the oldest of it needs.
    pub fn bound_core_credit(&mut self, now: Instant) {
        let waits = |job: &&JobState| !job.waiting.is_empty() && job.ended.is_none() && !job.complete();
        let late = self
            .jobs
            .iter()
            .filter(|(id, _)| !self.attribution.suspects(id) && !self.intents.not_yet.contains(*id))
            .filter(|(id, job)| self.intents.waiting(id, job) > 0)
            .map(|(_, job)| job)
            .filter(waits);
        let late = late.filter(|job| job.too_late(now.saturating_duration_since(job.since)));
        let needs = late.min_by_key(|job| job.since).map(JobState::cores_at_once);
        self.core_credit.bound(needs);
        let waits = self.jobs.iter().filter(|(id, _)| !self.attribution.suspects(id)).map(|(_, job)| job).filter(waits);
        self.large.bound(waits, self.properties.large_begin, now);
    }

    fn note(&mut self, id: &JobId, note: Note, now: Instant) {
        if self.notes.len() < MOST_NOTES {
            self.notes.push((id.clone(), note, now));
        }
    }

    /// Whether a plan may find something that the last one did not.
    pub fn take_stirred(&mut self) -> bool {
        std::mem::take(&mut self.stirred)
    }
}
