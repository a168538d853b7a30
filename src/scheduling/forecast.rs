//! A coarse simulation of when waiting work would start on the existing machines, each of which frees capacity as its
//! tasks are expected to end. Scale-out and reservations are decided by it.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use crate::jobs::{JobSpec, Shape};
use crate::scheduling::capacity::{CapacityContext, FreeCapacity, JobZones};
use crate::scheduling::cluster::{ClusterState, JobState, Machine, MachineState};
use crate::sla;

/// Time after an idle task has saved until it is gone and another task has started in its place.
const IDLE_HANDOVER_TIME: Duration = Duration::from_secs(6);

/// Capacity that comes free: in how many seconds from now, and how much (cpus, gpus, GB).
type Release = (f64, f64, f64, f64);

/// A machine's free capacity now and as it is expected to come free, in seconds from now.
#[derive(Debug, Clone)]
pub struct Timeline<'a> {
    /// The free capacity of the machine, from `available_from_s` on and without `releases`.
    pub capacity: FreeCapacity<'a>,
    /// Seconds from now from which on tasks can start on the machine.
    available_from_s: f64,
    /// Capacity that comes free later, earliest first.
    releases: Vec<Release>,
}

impl<'a> Timeline<'a> {
    /// Creates the timeline of a machine on which tasks can start from `available_from_s` seconds from now on.
    pub fn new(capacity: FreeCapacity<'a>, available_from_s: f64) -> Self {
        Self { capacity, available_from_s, releases: Vec::new() }
    }

    /// Creates the timeline of a machine of the cluster state from what its tasks still have to run. `for_urgent`: for
    /// work that may have the capacity of idle tasks as soon as these have saved. `None` if the machine's type is
    /// unknown.
    pub fn from_machine(
        cluster: &'a ClusterState,
        context: &CapacityContext<'a>,
        machine: &'a Machine,
        for_urgent: bool,
        now: Instant,
    ) -> Option<Self> {
        let capacity = context.capacity(machine)?;
        let boot_remaining = match machine.state {
            MachineState::Booting => Duration::from_secs_f64(capacity.machine_type.boot_s)
                .saturating_sub(now.saturating_duration_since(machine.provisioned_at)),
            _ => Duration::ZERO,
        };
        let mut timeline = Self::new(capacity, boot_remaining.as_secs_f64());
        for key in &machine.bound {
            let Some(job) = cluster.job(&key.job) else { continue };
            let Some(binding) = job.binding(key.index) else { continue };
            let remaining = match (job.ended, binding.halt_grace_s) {
                (None, None) => sla::remaining_run_time(job.agreement.run_time, binding.run_time(now)),
                _ => Duration::ZERO,
            };
            let spec = job.spec();
            let is_halted = job.ended.is_some() || binding.halt_grace_s.is_some();
            let ends = spec.shape != Shape::Service || is_halted || (for_urgent && spec.is_idle());
            if !ends {
                continue;
            }
            let remaining = if for_urgent && spec.is_idle() {
                remaining.min(Duration::try_from_secs_f64(spec.save_s).unwrap_or_default() + IDLE_HANDOVER_TIME)
            } else {
                remaining
            };
            timeline.releases.push((remaining.as_secs_f64(), spec.cpus, spec.gpus, spec.memory_gb));
        }
        timeline.releases.sort_by(|a, b| a.0.total_cmp(&b.0));
        Some(timeline)
    }

    /// Returns the seconds from now until a task of this job could start on the machine; `None` if never.
    pub fn earliest_start_s(&self, spec: &JobSpec) -> Option<f64> {
        if self.capacity.fits(spec) {
            return Some(self.available_from_s);
        }
        let mut capacity = self.capacity;
        for (release_s, cpus, gpus, memory_gb) in &self.releases {
            capacity.add(*cpus, *gpus, *memory_gb);
            if capacity.fits(spec) {
                return Some(release_s.max(self.available_from_s));
            }
        }
        None
    }

    /// Places a task that starts in `start_s` seconds. Later tasks on this machine start no earlier, which is accurate
    /// enough for jobs considered in the order of the queue. A task of a service does not end.
    fn occupy(&mut self, spec: &JobSpec, start_s: f64, run_s: f64) {
        let released = self.releases.partition_point(|r| r.0 <= start_s);
        for (_, cpus, gpus, memory_gb) in self.releases.drain(..released) {
            self.capacity.add(cpus, gpus, memory_gb);
        }
        self.available_from_s = self.available_from_s.max(start_s);
        self.capacity.allocate(spec);
        if spec.shape == Shape::Service {
            return;
        }
        let end = start_s + run_s;
        let position = self.releases.partition_point(|r| r.0 <= end);
        self.releases.insert(position, (end, spec.cpus, spec.gpus, spec.memory_gb));
    }
}

/// A possible start of the next task of a job on one machine. The least of two slots is the earlier one, and of equally
/// early ones that which leaves no accelerators unused.
#[derive(Clone, Copy)]
pub struct Slot {
    /// Seconds from now until the task could start.
    pub start_s: f64,
    /// Whether the task would leave the machine's accelerators unused.
    wastes_gpus: bool,
    /// The index of the machine among the timelines.
    pub timeline: usize,
}

impl Ord for Slot {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.start_s.total_cmp(&other.start_s))
            .then(self.wastes_gpus.cmp(&other.wastes_gpus))
            .then(self.timeline.cmp(&other.timeline))
    }
}
impl PartialOrd for Slot {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl PartialEq for Slot {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for Slot {}

/// The slots for the tasks of one job, the earliest first. Every machine is examined once per job, and after that only
/// the one whose slot was used.
pub struct Slots<'j> {
    job: &'j JobState,
    heap: BinaryHeap<Reverse<Slot>>,
}

impl<'j> Slots<'j> {
    /// Creates the slots for the tasks of `job` on machines of the allowed kinds.
    pub fn new(timelines: &[Timeline], job: &'j JobState, allowed_kinds: &[bool]) -> Self {
        let mut slots = Self { job, heap: BinaryHeap::new() };
        let allowed = timelines.iter().enumerate().filter(|(_, t)| allowed_kinds.get(t.capacity.kind) == Some(&true));
        slots.heap = allowed.filter_map(|(index, t)| slots.slot(t, index)).map(Reverse).collect();
        slots
    }

    /// Returns the earliest slot on the timeline at `index`; `None` if the task never fits.
    fn slot(&self, timeline: &Timeline, index: usize) -> Option<Slot> {
        let spec = self.job.spec();
        let wastes_gpus = timeline.capacity.machine_type.gpus > 0.0 && spec.gpus <= 0.0;
        timeline.earliest_start_s(spec).map(|start_s| Slot { start_s, wastes_gpus, timeline: index })
    }

    /// Returns the earliest slot without removing it. Slots in zones that the job may no longer use are dropped.
    pub fn peek_earliest(
        &mut self,
        timelines: &[Timeline],
        context: &CapacityContext,
        zones: &JobZones,
    ) -> Option<Slot> {
        while let Some(Reverse(slot)) = self.heap.peek() {
            if !zones.restricts_zones() || zones.allows(context.zone(timelines[slot.timeline].capacity.kind)) {
                return Some(*slot);
            }
            self.heap.pop();
        }
        None
    }

    /// Adds the slot of a timeline that was appended or changed.
    pub fn add_timeline(&mut self, timelines: &[Timeline], index: usize) {
        self.heap.extend(self.slot(&timelines[index], index).map(Reverse));
    }

    /// Places the next task in the slot.
    pub fn occupy(&mut self, timelines: &mut [Timeline], slot: Slot) {
        // A slot that was just added need not be the first.
        if self.heap.peek().is_some_and(|Reverse(s)| s.timeline == slot.timeline) {
            self.heap.pop();
        } else {
            self.heap.retain(|Reverse(s)| s.timeline != slot.timeline);
        }
        let timeline = &mut timelines[slot.timeline];
        let spec = self.job.spec();
        let fetch_s = if timeline.capacity.holds_image(self.job) {
            0.0
        } else {
            spec.image_gb / timeline.capacity.machine_type.fetch_gb_per_s.max(0.001)
        };
        timeline.occupy(spec, slot.start_s, fetch_s + self.job.agreement.run_time.as_secs_f64());
        self.add_timeline(timelines, slot.timeline);
    }
}
