//! Machines: what is known of each, and what is left of it.

use std::collections::{BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Instant;

use super::{JobState, MachineId, task_load};
use crate::jobs::JobSpec;
use crate::protocol::workers::{AttemptReport, AttemptStatus, TaskKey};
use crate::scheduling::messages::MessageSequence;
use crate::scheduling::one_way_partition::PartitionDetector;
use crate::sla::Load;

/// Images a machine is thought to hold where the cloud does not say how much it keeps.
const DEFAULT_CACHED_IMAGES: usize = 6;
/// Images remembered of a machine, whatever it keeps.
const MAX_TRACKED_IMAGES: usize = 64;

/// What an image is compared by: a digest, since names are compared at every placement. Two
/// names alike would only mislead a preference.
pub fn image_digest(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// What tasks take of their machine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AllocatedResources {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

impl AllocatedResources {
    pub(in crate::scheduling::cluster) fn add(&mut self, spec: &JobSpec, sign: f64) {
        self.cpus += sign * spec.cpus;
        self.gpus += sign * spec.gpus;
        self.memory_gb += sign * spec.memory_gb;
    }
}

/// Where a machine is between its rental and its return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Rented, not heard of yet.
    Booting,
    /// Its worker has reported, and it takes work.
    Up,
    /// No new work; returned when empty.
    Draining,
    /// To be returned now, with whatever is on it.
    Terminating,
}

/// One machine: what it is, what it was heard to run, and what has been told to it.
#[derive(Debug)]
pub struct Machine {
    /// The cloud's name of it.
    pub id: MachineId,
    /// Its worker's address, once known.
    pub addr: Option<String>,
    /// Its machine type; empty while only its name is known.
    pub type_name: String,
    /// Its zone; empty while only its name is known.
    pub zone: String,
    /// Whether the cloud may take it back.
    pub spot: bool,
    /// Where it is between its rental and its return.
    pub state: MachineState,
    pub(in crate::scheduling::cluster) agent_epoch: u64,
    /// The newest message of any kind, and the newest true heartbeat.
    pub(in crate::scheduling::cluster) newest_message: MessageSequence,
    pub(in crate::scheduling::cluster) newest_heartbeat: MessageSequence,
    /// The highest fencing token that its worker has reported.
    pub fencing_token: u64,
    /// When anything was last heard of it, by heartbeat or by reply.
    pub last_seen: Instant,
    /// Its last true heartbeat, or when it was first heard of: replies to commands renew no lease.
    pub last_heartbeat: Instant,
    /// When it was rented, as far as is known.
    pub since: Instant,
    /// When the cloud takes it back, if it has given notice.
    pub recall_at: Option<Instant>,
    /// The tasks that are bound to it.
    pub bound: BTreeSet<TaskKey>,
    pub(in crate::scheduling::cluster) attempts: Vec<AttemptReport>,
    pub(in crate::scheduling::cluster) command_under_way: bool,
    /// The command under way carries a launch.
    pub(in crate::scheduling::cluster) launch_under_way: bool,
    /// A command given under this fencing token may still arrive.
    pub(in crate::scheduling::cluster) unsettled_token: Option<u64>,
    /// The heartbeat whose answer carried a launch.
    pub(in crate::scheduling::cluster) launch_heartbeat: Option<MessageSequence>,
    pub(in crate::scheduling::cluster) next_command_at: Instant,
    /// Something new is to be told without waiting for a heartbeat.
    pub(in crate::scheduling::cluster) command_due: bool,
    /// Since when nothing has been bound to it.
    pub idle_since: Option<Instant>,
    /// Something has failed on it since anything was done there.
    pub failed_since_success: bool,
    /// Drained because it can be spared: what is over of it is idle work's until the rest has run out.
    pub scale_in_candidate: bool,
    /// Quarantined: no new work until it is decided whose fault its failures are.
    pub quarantined: bool,
    /// Its heartbeats arrive and nothing reaches it: no new work until it hears again.
    pub inbound_lost: bool,
    pub(in crate::scheduling::cluster) partition: PartitionDetector,
    /// This leader has rented it, was told of it by the cloud or the store, or was heard by it. Otherwise all
    /// that is known of it may be copies of heartbeats of a machine that is gone: no work for it yet.
    pub confirmed: bool,
    /// Images it is thought to hold, the most recently used last, with their sizes.
    pub(in crate::scheduling::cluster) expected_images: VecDeque<(u64, f64)>,
    /// What it keeps of them, if the cloud says.
    pub(in crate::scheduling::cluster) cache_gb: Option<f64>,
    /// Type, zone and kind, by their place in the cluster state's list.
    pub kind_index: Option<usize>,
    /// What the bound tasks take together, kept with every binding.
    allocated: AllocatedResources,
    /// What of it idle work takes: others may have it.
    idle_work_allocated: AllocatedResources,
    /// Their shares and returns, and when these were counted; none once a task has left.
    pub(in crate::scheduling::cluster) load: Load,
    pub(in crate::scheduling::cluster) load_computed_at: Option<Instant>,
    /// Live tasks were reported that are not bound here.
    unbound_tasks: bool,
    /// The cloud says that it is up, whether or not it was heard of here.
    pub(in crate::scheduling::cluster) listed_up: bool,
}

impl Machine {
    pub(in crate::scheduling::cluster) fn new(id: MachineId, now: Instant) -> Self {
        Self {
            id,
            addr: None,
            type_name: String::new(),
            zone: String::new(),
            spot: false,
            state: MachineState::Booting,
            agent_epoch: 0,
            newest_message: MessageSequence::default(),
            newest_heartbeat: MessageSequence::default(),
            fencing_token: 0,
            last_seen: now,
            last_heartbeat: now,
            since: now,
            recall_at: None,
            bound: BTreeSet::new(),
            attempts: Vec::new(),
            command_under_way: false,
            launch_under_way: false,
            unsettled_token: None,
            launch_heartbeat: None,
            next_command_at: now,
            command_due: false,
            idle_since: None,
            failed_since_success: false,
            scale_in_candidate: false,
            quarantined: false,
            inbound_lost: false,
            partition: PartitionDetector::new(now),
            confirmed: false,
            expected_images: VecDeque::new(),
            cache_gb: None,
            kind_index: None,
            allocated: AllocatedResources::default(),
            idle_work_allocated: AllocatedResources::default(),
            load: Load::default(),
            load_computed_at: Some(now),
            unbound_tasks: false,
            listed_up: false,
        }
    }

    /// No launch is under way towards it, so that what it does not report is not there and a
    /// reaped task cannot be started again.
    pub(in crate::scheduling::cluster) fn is_settled(&self) -> bool {
        !self.command_under_way
            && self.unsettled_token.is_none()
            && self.launch_heartbeat.is_none_or(|l| self.newest_heartbeat > l)
    }

    /// What it last reported of an attempt, if it did.
    pub(in crate::scheduling::cluster) fn reported_attempt(
        &self,
        key: &TaskKey,
        attempt: u64,
    ) -> Option<&AttemptReport> {
        let is_it = |l: &&AttemptReport| l.task.index == key.index && l.attempt == attempt && l.task.job == key.job;
        self.attempts.iter().find(is_it)
    }

    /// Live tasks that are not bound here: their room is not free, whoever they belong to.
    pub fn has_unbound_tasks(&self) -> bool {
        self.unbound_tasks
    }

    /// To be called when what was reported or what is bound has changed.
    pub(in crate::scheduling::cluster) fn update_unbound_tasks(&mut self) {
        self.unbound_tasks =
            self.attempts.iter().any(|l| l.status != AttemptStatus::Exited && !self.bound.contains(&l.task));
    }

    /// What its bound tasks take of it.
    pub fn allocated(&self) -> AllocatedResources {
        self.allocated
    }

    /// What idle work takes of it.
    pub fn idle_work_allocated(&self) -> AllocatedResources {
        self.idle_work_allocated
    }

    /// Nothing but idle work is on it, if anything.
    pub fn has_only_idle_work(&self) -> bool {
        self.allocated.cpus <= self.idle_work_allocated.cpus + 1e-6
            && self.allocated.memory_gb <= self.idle_work_allocated.memory_gb + 1e-6
    }

    /// The summed shares and returns of its tasks.
    pub fn load(&self) -> Load {
        self.load
    }

    /// A task comes onto this machine.
    pub(in crate::scheduling::cluster) fn bind(&mut self, key: TaskKey, job: &JobState, now: Instant) {
        self.confirmed = true;
        if self.bound.insert(key) {
            self.allocated.add(job.spec(), 1.0);
            if job.spec().is_idle() {
                self.idle_work_allocated.add(job.spec(), 1.0);
            }
            let (share, task_return) = task_load(job, None, now);
            self.load.share += share;
            self.load.total_return += task_return;
            self.idle_since = None;
        }
    }

    /// A task leaves it. What is left of an empty machine is exact, whatever was summed before.
    pub(in crate::scheduling::cluster) fn unbind(&mut self, key: &TaskKey, spec: &JobSpec, now: Instant) {
        if self.bound.remove(key) {
            self.allocated.add(spec, -1.0);
            if spec.is_idle() {
                self.idle_work_allocated.add(spec, -1.0);
            }
            self.load_computed_at = None;
            if self.bound.is_empty() {
                (self.allocated, self.idle_work_allocated) =
                    (AllocatedResources::default(), AllocatedResources::default());
                self.idle_since = Some(now);
            }
            if !self.unbound_tasks {
                self.update_unbound_tasks();
            }
        }
    }

    /// What it holds is about to be read again.
    pub(in crate::scheduling::cluster) fn clear_bindings(&mut self) {
        self.bound.clear();
        (self.allocated, self.idle_work_allocated) = (AllocatedResources::default(), AllocatedResources::default());
        self.load_computed_at = None;
    }

    /// Whether the image is expected to be in its cache or on its way there.
    pub fn expects_image(&self, image: u64) -> bool {
        self.expected_images.iter().any(|(i, _)| *i == image)
    }

    /// Whether its worker has ever been heard of.
    pub fn reported(&self) -> bool {
        self.newest_message.agent_epoch > 0
    }

    /// Its worker should be heard of: it was, or an earlier leader has given it tasks, or the cloud
    /// says that it is up.
    pub fn report_expected(&self) -> bool {
        (self.reported() && self.confirmed) || !self.bound.is_empty() || self.listed_up
    }

    /// A task with this image comes: the least recently used make room for it, as the worker
    /// does. What is on its way counts, so that tasks wait for one fetch together.
    pub(in crate::scheduling::cluster) fn expect_image(&mut self, image: u64, gb: f64) {
        let cache_gb = self.cache_gb;
        self.expected_images.retain(|(i, _)| *i != image);
        self.expected_images.push_back((image, gb));
        let mut held: f64 = self.expected_images.iter().map(|(_, gb)| gb).sum();
        let too_much = |held: f64, n: usize| {
            cache_gb.map_or(n > DEFAULT_CACHED_IMAGES, |most| held > most) || n > MAX_TRACKED_IMAGES
        };
        while self.expected_images.len() > 1 && too_much(held, self.expected_images.len()) {
            held -= self.expected_images.pop_front().map_or(0.0, |(_, gb)| gb);
        }
    }
}
