//! Machines: their reported state, their bindings and their allocated resources.

use std::collections::{BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Instant;

use super::{JobState, MachineId, task_load};
use crate::jobs::JobSpec;
use crate::protocol::workers::{AttemptReport, AttemptStatus, TaskKey};
use crate::scheduling::messages::MessageSequence;
use crate::scheduling::one_way_partition::PartitionDetector;
use crate::sla::Load;

/// Images that a machine is expected to cache if its cache size is not known.
const DEFAULT_CACHED_IMAGES: usize = 6;
/// Images tracked for a machine, whatever its cache size.
const MAX_TRACKED_IMAGES: usize = 64;

/// The digest of an image's name, which is cheaper to compare at every placement. A collision would only mislead a
/// preference.
pub fn image_digest(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// Resources of a machine that are allocated to tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AllocatedResources {
    /// Cores.
    pub cpus: f64,
    /// Accelerators.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

impl AllocatedResources {
    /// Adds the resources of one task, or subtracts them with a `sign` of -1.
    pub(in crate::scheduling::cluster) fn add(&mut self, spec: &JobSpec, sign: f64) {
        self.cpus += sign * spec.cpus;
        self.gpus += sign * spec.gpus;
        self.memory_gb += sign * spec.memory_gb;
    }
}

/// The state of a machine between its provisioning and its return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// The machine is provisioned and its worker has not reported yet.
    Booting,
    /// The worker has reported, and the machine takes work.
    Up,
    /// The machine takes no new work and is returned when empty.
    Draining,
    /// The machine is to be returned now, with whatever runs on it.
    Terminating,
}

/// A machine: its properties, its worker's last report, and the state of the commands sent to it.
#[derive(Debug)]
pub struct Machine {
    /// The cloud's name of the machine.
    pub id: MachineId,
    /// The worker's address, once known.
    pub addr: Option<String>,
    /// The machine type; empty while only the machine's name is known.
    pub type_name: String,
    /// The zone; empty while only the machine's name is known.
    pub zone: String,
    /// Whether the cloud may take the machine back.
    pub spot: bool,
    /// The machine's state between its provisioning and its return.
    pub state: MachineState,
    /// The highest agent epoch that the worker has reported.
    pub(in crate::scheduling::cluster) agent_epoch: u64,
    /// The newest message of any kind.
    pub(in crate::scheduling::cluster) newest_message: MessageSequence,
    /// The newest message that the worker sent as a heartbeat.
    pub(in crate::scheduling::cluster) newest_heartbeat: MessageSequence,
    /// The highest fencing token that the worker has reported.
    pub fencing_token: u64,
    /// When the last heartbeat or reply arrived.
    pub last_seen: Instant,
    /// When the last heartbeat arrived, or else the machine became known: replies to commands don't renew the lease.
    pub last_heartbeat: Instant,
    /// When the machine was provisioned, as far as is known.
    pub provisioned_at: Instant,
    /// When the cloud takes the machine back, if it has given notice.
    pub recall_at: Option<Instant>,
    /// The tasks that are bound to the machine.
    pub bound: BTreeSet<TaskKey>,
    /// The attempts in the worker's last report.
    pub(in crate::scheduling::cluster) attempts: Vec<AttemptReport>,
    /// Whether a direct command is in flight.
    pub(in crate::scheduling::cluster) direct_command_in_flight: bool,
    /// Whether the direct command in flight carries a launch.
    pub(in crate::scheduling::cluster) direct_launch_in_flight: bool,
    /// The highest fencing token of a direct command with a launch in this agent epoch: the command may be repeated
    /// until the worker has seen a higher one.
    pub(in crate::scheduling::cluster) direct_launch_token: Option<u64>,
    /// The fencing token that was raised for this machine alone; 0 if there was none.
    pub(in crate::scheduling::cluster) raised_token: u64,
    /// The fencing token of a launch that may still arrive.
    pub(in crate::scheduling::cluster) unsettled_token: Option<u64>,
    /// The heartbeat whose response carried a launch.
    pub(in crate::scheduling::cluster) launch_heartbeat: Option<MessageSequence>,
    /// The earliest time of the next direct command, unless one is due.
    pub(in crate::scheduling::cluster) next_command_at: Instant,
    /// Whether there are new commands to send without waiting for a heartbeat.
    pub(in crate::scheduling::cluster) command_due: bool,
    /// Since when no task has been bound to the machine.
    pub idle_since: Option<Instant>,
    /// Whether a task has failed on the machine since the last one was done there.
    pub failed_since_success: bool,
    /// Drained by scale-in: its free capacity goes to idle work until its other tasks have ended.
    pub scale_in_candidate: bool,
    /// Quarantined: the machine takes no new work until its failures are attributed.
    pub quarantined: bool,
    /// Whether heartbeats arrive from the machine but nothing reaches it: it takes no new work until this has healed.
    pub inbound_lost: bool,
    /// Evidence of a one-way partition.
    pub(in crate::scheduling::cluster) partition: PartitionDetector,
    /// Whether this leader has provisioned the machine, learned of it from the cloud or the store, or was heard by
    /// its worker. Otherwise all its messages may be delayed copies from a machine that is gone, so it takes no
    /// work yet.
    pub confirmed: bool,
    /// Images that the machine is expected to hold, the most recently used last, as (digest, size in GB).
    pub(in crate::scheduling::cluster) expected_images: VecDeque<(u64, f64)>,
    /// The size of the image cache, if the catalog states it.
    pub(in crate::scheduling::cluster) cache_gb: Option<f64>,
    /// Index of the machine type, zone and spot flag in the cluster state's list.
    pub kind_index: Option<usize>,
    /// The resources of all bound tasks, updated with every binding.
    allocated: AllocatedResources,
    /// The part of `allocated` that idle work holds; other work may take it.
    idle_work_allocated: AllocatedResources,
    /// The summed deadline shares and returns of the bound tasks.
    pub(in crate::scheduling::cluster) load: Load,
    /// When the load was computed; None once a task has left.
    pub(in crate::scheduling::cluster) load_computed_at: Option<Instant>,
    /// Whether the last report shows live tasks that are not bound to the machine.
    unbound_tasks: bool,
    /// Whether the cloud lists the machine as up, even if it has not reported.
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
            provisioned_at: now,
            recall_at: None,
            bound: BTreeSet::new(),
            attempts: Vec::new(),
            direct_command_in_flight: false,
            direct_launch_in_flight: false,
            direct_launch_token: None,
            raised_token: 0,
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

    /// Whether no launch to the machine is in flight, so that tasks missing from its report are not there and a reaped
    /// task cannot be started again.
    pub(in crate::scheduling::cluster) fn is_settled(&self) -> bool {
        !self.direct_command_in_flight
            && self.unsettled_token.is_none()
            && self.launch_heartbeat.is_none_or(|l| self.newest_heartbeat > l)
    }

    /// The last report of an attempt, if the machine reported it.
    pub(in crate::scheduling::cluster) fn reported_attempt(
        &self,
        key: &TaskKey,
        attempt: u64,
    ) -> Option<&AttemptReport> {
        let matches = |r: &&AttemptReport| r.task.index == key.index && r.attempt == attempt && r.task.job == key.job;
        self.attempts.iter().find(matches)
    }

    /// Whether live tasks that are not bound to the machine take capacity on it.
    pub fn has_unbound_tasks(&self) -> bool {
        self.unbound_tasks
    }

    /// Updates whether the report shows unbound tasks; to be called when the report or the bindings have changed.
    pub(in crate::scheduling::cluster) fn update_unbound_tasks(&mut self) {
        self.unbound_tasks =
            self.attempts.iter().any(|l| l.status != AttemptStatus::Exited && !self.bound.contains(&l.task));
    }

    /// The resources of the bound tasks.
    pub fn allocated(&self) -> AllocatedResources {
        self.allocated
    }

    /// The resources of bound tasks that are idle work.
    pub fn idle_work_allocated(&self) -> AllocatedResources {
        self.idle_work_allocated
    }

    /// Whether all bound tasks, if any, are idle work.
    pub fn has_only_idle_work(&self) -> bool {
        self.allocated.cpus <= self.idle_work_allocated.cpus + 1e-6
            && self.allocated.memory_gb <= self.idle_work_allocated.memory_gb + 1e-6
    }

    /// The summed deadline shares and returns of the bound tasks.
    pub fn load(&self) -> Load {
        self.load
    }

    /// Adds a task to the machine.
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

    /// Removes a task from the machine. Without bound tasks the sums are reset, which clears rounding errors.
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

    /// Removes all bindings, before they are loaded again.
    pub(in crate::scheduling::cluster) fn clear_bindings(&mut self) {
        self.bound.clear();
        (self.allocated, self.idle_work_allocated) = (AllocatedResources::default(), AllocatedResources::default());
        self.load_computed_at = None;
    }

    /// Whether the image is expected to be in the machine's cache or on its way there.
    pub fn expects_image(&self, image: u64) -> bool {
        self.expected_images.iter().any(|(i, _)| *i == image)
    }

    /// Whether the worker has ever reported.
    pub fn reported(&self) -> bool {
        self.newest_message.agent_epoch > 0
    }

    /// Whether the worker is expected to report: it has done so, tasks are bound to the machine, or the cloud lists the
    /// machine as up.
    pub fn report_expected(&self) -> bool {
        (self.reported() && self.confirmed) || !self.bound.is_empty() || self.listed_up
    }

    /// Records the image of a task that is bound to the machine, and evicts the least recently used images as the
    /// worker does. An image on its way counts as held, so that several tasks wait for one fetch.
    pub(in crate::scheduling::cluster) fn expect_image(&mut self, image: u64, gb: f64) {
        let cache_gb = self.cache_gb;
        self.expected_images.retain(|(i, _)| *i != image);
        self.expected_images.push_back((image, gb));
        let mut held_gb: f64 = self.expected_images.iter().map(|(_, gb)| gb).sum();
        let exceeds_cache = |held_gb: f64, n: usize| {
            cache_gb.map_or(n > DEFAULT_CACHED_IMAGES, |cache_gb| held_gb > cache_gb) || n > MAX_TRACKED_IMAGES
        };
        while self.expected_images.len() > 1 && exceeds_cache(held_gb, self.expected_images.len()) {
            held_gb -= self.expected_images.pop_front().map_or(0.0, |(_, gb)| gb);
        }
    }
}
