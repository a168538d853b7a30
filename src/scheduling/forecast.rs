//! A coarse simulation of when waiting work would start on the machines that there are, each of which frees room as
//! its tasks are expected to end. Renting and reservations are decided by it.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use crate::jobs::JobSpec;
use crate::scheduling::capacity::{CapacityContext, FreeCapacity, JobZones};
use crate::scheduling::cluster::{ClusterState, JobState, Machine, MachineState};
use crate::sla;

/// Past its saving, an idle task is gone and another in its place within this time.
const IDLE_HANDOVER_TIME: Duration = Duration::from_secs(6);

/// Room that comes free: when, and how much (cpus, gpus, GB).
type Release = (f64, f64, f64, f64);

/// A machine's room now and as it is expected to come free, in seconds from now.
#[derive(Debug, Clone)]
pub struct Timeline<'a> {
    /// The room that is left on the machine, as of the times below.
    pub capacity: FreeCapacity<'a>,
    available_from_s: f64,
    /// Earliest first.
    releases: Vec<Release>,
}

impl<'a> Timeline<'a> {
    /// A machine whose room is free from `from_s` seconds from now on.
    pub fn new(capacity: FreeCapacity<'a>, from_s: f64) -> Self {
        Self { capacity, available_from_s: from_s, releases: Vec::new() }
    }

    /// A machine of the cluster state with what its tasks still have to run. `for_urgent`: for work that may have
    /// the room of idle tasks as soon as these have saved.
    pub fn from_machine(
        cluster: &'a ClusterState,
        ground: &CapacityContext<'a>,
        machine: &'a Machine,
        for_urgent: bool,
        now: Instant,
    ) -> Option<Self> {
        let capacity = ground.capacity(machine)?;
        let from = match machine.state {
            MachineState::Booting => Duration::from_secs_f64(capacity.machine_type.boot_s)
                .saturating_sub(now.saturating_duration_since(machine.rented_at)),
            _ => Duration::ZERO,
        };
        let mut timeline = Self::new(capacity, from.as_secs_f64());
        for key in &machine.bound {
            let Some(job) = cluster.job(&key.job) else { continue };
            let Some(binding) = job.binding(key.index) else { continue };
            let rest = match (job.ended, binding.halt_grace_s) {
                (None, None) => sla::remaining_run_time(job.agreement.run_time, binding.run_time(now)),
                _ => Duration::ZERO,
            };
            let spec = job.spec();
            let rest = if for_urgent && spec.is_idle() {
                rest.min(Duration::try_from_secs_f64(spec.save_s).unwrap_or_default() + IDLE_HANDOVER_TIME)
            } else {
                rest
            };
            timeline.releases.push((rest.as_secs_f64(), spec.cpus, spec.gpus, spec.memory_gb));
        }
        timeline.releases.sort_by(|a, b| a.0.total_cmp(&b.0));
        Some(timeline)
    }

    /// Seconds from now until a task of this job could start there; none if never.
    pub fn earliest_start_s(&self, spec: &JobSpec) -> Option<f64> {
        if self.capacity.fits(spec) {
            return Some(self.available_from_s);
        }
        let mut capacity = self.capacity;
        for (at, cpus, gpus, memory_gb) in &self.releases {
            capacity.add(*cpus, *gpus, *memory_gb);
            if capacity.fits(spec) {
                return Some(at.max(self.available_from_s));
            }
        }
        None
    }

    /// Gives a task its place. What comes after it on this machine starts no earlier, which is
    /// near enough for work taken in the order of its turn.
    fn occupy(&mut self, spec: &JobSpec, at: f64, run_s: f64) {
        let due = self.releases.partition_point(|r| r.0 <= at);
        for (_, cpus, gpus, memory_gb) in self.releases.drain(..due) {
            self.capacity.add(cpus, gpus, memory_gb);
        }
        self.available_from_s = self.available_from_s.max(at);
        self.capacity.allocate(spec);
        let end = at + run_s;
        let place = self.releases.partition_point(|r| r.0 <= end);
        self.releases.insert(place, (end, spec.cpus, spec.gpus, spec.memory_gb));
    }
}

/// A place for the next task of a job; the earliest, then the least wasteful, is the least.
#[derive(Clone, Copy)]
pub struct Slot {
    /// Seconds from now until the task could start.
    pub start_s: f64,
    wasteful: bool,
    /// The place of its machine among the timelines.
    pub timeline: usize,
}

impl Ord for Slot {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.start_s.total_cmp(&other.start_s))
            .then(self.wasteful.cmp(&other.wasteful))
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

/// The places for the tasks of one job, the earliest first: every machine is looked at once per
/// job, and then only the one that was taken.
pub struct Slots<'j> {
    job: &'j JobState,
    heap: BinaryHeap<Reverse<Slot>>,
}

impl<'j> Slots<'j> {
    /// Places for the tasks of `job` on the kinds of machine that are `open` to it.
    pub fn new(timelines: &[Timeline], job: &'j JobState, open: &[bool]) -> Self {
        let mut slots = Self { job, heap: BinaryHeap::new() };
        let places = timelines.iter().enumerate().filter(|(_, t)| open.get(t.capacity.kind) == Some(&true));
        slots.heap = places.filter_map(|(which, t)| slots.slot(t, which)).map(Reverse).collect();
        slots
    }

    fn slot(&self, timeline: &Timeline, which: usize) -> Option<Slot> {
        let spec = self.job.spec();
        let wasteful = timeline.capacity.machine_type.gpus > 0.0 && spec.gpus <= 0.0;
        timeline.earliest_start_s(spec).map(|at_s| Slot { start_s: at_s, wasteful, timeline: which })
    }

    /// The next place, left where it is. Places that the job's other tasks have closed are dropped.
    pub fn peek_earliest(
        &mut self,
        timelines: &[Timeline],
        ground: &CapacityContext,
        zones: &JobZones,
    ) -> Option<Slot> {
        while let Some(Reverse(slot)) = self.heap.peek() {
            if !zones.restricts_zones() || zones.allows(ground.zone(timelines[slot.timeline].capacity.kind)) {
                return Some(*slot);
            }
            self.heap.pop();
        }
        None
    }

    /// A machine that was added.
    pub fn add_timeline(&mut self, timelines: &[Timeline], which: usize) {
        self.heap.extend(self.slot(&timelines[which], which).map(Reverse));
    }

    /// The next task takes the next place.
    pub fn occupy(&mut self, timelines: &mut [Timeline], slot: Slot) {
        // A place just added need not be the first.
        if self.heap.peek().is_some_and(|Reverse(s)| s.timeline == slot.timeline) {
            self.heap.pop();
        } else {
            self.heap.retain(|Reverse(s)| s.timeline != slot.timeline);
        }
        let timeline = &mut timelines[slot.timeline];
        let spec = self.job.spec();
        let fetch = if timeline.capacity.holds_image(self.job) {
            0.0
        } else {
            spec.image_gb / timeline.capacity.machine_type.fetch_gb_per_s.max(0.001)
        };
        timeline.occupy(spec, slot.start_s, fetch + self.job.agreement.run_time.as_secs_f64());
        self.add_timeline(timelines, slot.timeline);
    }
}
