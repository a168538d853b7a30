//! Room: what is free on each machine, and which machines a job may use. Placing, renting and draining all search it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::cluster::{ClusterState, JobState, Machine, MachineState, Reservation};
use crate::jobs::JobSpec;
use crate::machine_kinds::MachineKind;
use crate::machine_kinds::{Catalog, MachineType};
use crate::sla::Load;

/// Amounts are decimal; sums of them are compared with this much slack.
pub const AMOUNT_TOLERANCE: f64 = 1e-6;
/// Machines silent for this many reports get no new work before they are given up.
const SUSPECT_HEARTBEATS: f64 = 2.5;

fn wastes_no_gpus(of: &MachineType, spec: &JobSpec) -> bool {
    spec.gpus > 0.0 || of.gpus <= 0.0
}

/// A type, zone and kind, with what the cloud says of the type.
#[derive(Debug, Clone, Copy)]
pub struct CapacityOffer<'a> {
    /// The machine type: its size, prices and usual boot time.
    pub machine_type: &'a MachineType,
    /// The zone in which it is offered.
    pub zone: &'a str,
    /// Whether it is a spot machine, which is cheaper and may be taken back by the cloud.
    pub spot: bool,
}

impl CapacityOffer<'_> {
    /// Price per hour of a machine of this kind, spot or on demand.
    pub fn price(&self) -> f64 {
        self.machine_type.price(self.spot)
    }

    /// Has nothing dear that such a task has no use for.
    pub fn wastes_no_gpus(&self, spec: &JobSpec) -> bool {
        wastes_no_gpus(self.machine_type, spec)
    }

    /// The same as a key that leads its names.
    pub fn kind(&self) -> MachineKind {
        MachineKind { type_name: self.machine_type.name.clone(), zone: self.zone.to_owned(), spot: self.spot }
    }
}

/// Every type, zone and kind: those that machines are of first, at the places the cluster state gives
/// them, then what else the cloud offers. Rooms name theirs by its place, so that what a job
/// allows is worked out once per job and not once per machine.
pub struct CapacityContext<'a> {
    /// None where the cloud knows no such type.
    pub offers: Vec<Option<CapacityOffer<'a>>>,
}

impl<'a> CapacityContext<'a> {
    /// The kinds that machines of the cluster state are of, and no others.
    pub fn new(cluster: &'a ClusterState, catalog: &'a Catalog) -> Self {
        let offer = |k: &'a MachineKind| {
            Some(CapacityOffer { machine_type: catalog.get(&k.type_name)?, zone: &k.zone, spot: k.spot })
        };
        Self { offers: cluster.kinds().iter().map(offer).collect() }
    }

    /// With what the cloud offers and no machine is of yet.
    pub fn with_all_offers(cluster: &'a ClusterState, catalog: &'a Catalog) -> Self {
        let mut ground = Self::new(cluster, catalog);
        for of in &catalog.types {
            for zone in &of.zones {
                for spot in [true, false] {
                    let known = |o: &Option<CapacityOffer>| {
                        o.is_some_and(|o| o.machine_type.name == of.name && o.zone == *zone && o.spot == spot)
                    };
                    if !ground.offers.iter().any(known) {
                        ground.offers.push(Some(CapacityOffer { machine_type: of, zone, spot }));
                    }
                }
            }
        }
        ground
    }

    /// What is left of a machine; none if its type is unknown.
    pub fn capacity(&self, machine: &'a Machine) -> Option<FreeCapacity<'a>> {
        let kind = machine.kind_index?;
        let of = self.offers.get(kind).copied().flatten()?.machine_type;
        let taken = machine.allocated();
        Some(FreeCapacity {
            machine: Some(machine),
            machine_type: of,
            kind,
            cpus: of.cpus - taken.cpus,
            gpus: of.gpus - taken.gpus,
            memory_gb: of.memory_gb - taken.memory_gb,
            load: machine.load(),
            idle_usage: (
                machine.idle_work_allocated().cpus,
                machine.idle_work_allocated().gpus,
                machine.idle_work_allocated().memory_gb,
            ),
            draining: machine.state == MachineState::Draining,
            kept_for_arrivals: false,
            reservation: None,
            preempted: false,
        })
    }

    /// The zone of the kind at this place; empty if the cloud does not know its type.
    pub fn zone(&self, kind: usize) -> &'a str {
        self.offers.get(kind).copied().flatten().map_or("", |o| o.zone)
    }

    /// The longest usual boot among the kinds that are open.
    pub fn longest_boot_s(&self, open: &[bool]) -> f64 {
        let boots = self.offers.iter().zip(open).filter(|(_, open)| **open).filter_map(|(o, _)| o.as_ref());
        boots.map(|o| o.machine_type.boot_s).fold(0.0, f64::max)
    }

    /// Which of the kinds a job's own words and where its other tasks are allow.
    pub fn allowed_kinds(&self, spec: &JobSpec, zones: &JobZones) -> Vec<bool> {
        let open = |o: &Option<CapacityOffer>| {
            o.is_some_and(|o| allows_kind(spec, &o.machine_type.name, o.zone, o.spot) && zones.allows(o.zone))
        };
        self.offers.iter().map(open).collect()
    }
}

/// What is left of a machine, and what is on it in the paper's terms.
#[derive(Debug, Clone, Copy)]
pub struct FreeCapacity<'a> {
    /// None: one that could be rented.
    pub machine: Option<&'a Machine>,
    /// The machine's type.
    pub machine_type: &'a MachineType,
    /// Place of the machine's kind among [`CapacityContext::offers`].
    pub kind: usize,
    /// Free cores. Below zero where more is bound than the type has.
    pub cpus: f64,
    /// Free accelerators.
    pub gpus: f64,
    /// Free memory, in GB.
    pub memory_gb: f64,
    /// Deadline shares and returns of the tasks bound to it, by which soft work is admitted.
    pub load: Load,
    /// What idle work takes of it, as (cpus, gpus, GB): others may have it.
    pub idle_usage: (f64, f64, f64),
    /// It can be spared and is being left: only idle work that can save goes there.
    pub draining: bool,
    /// Kept free of idle work for what will soon arrive.
    pub kept_for_arrivals: bool,
    /// For whom it is held, if it is.
    pub reservation: Option<&'a Reservation>,
    /// Others were stopped there for whom it is held for.
    pub preempted: bool,
}

impl<'a> FreeCapacity<'a> {
    /// An empty machine of a type that could be rented; `kind` is its place among [`CapacityContext::offers`].
    pub fn empty(of: &'a MachineType, kind: usize) -> Self {
        Self {
            machine: None,
            machine_type: of,
            kind,
            cpus: of.cpus,
            gpus: of.gpus,
            memory_gb: of.memory_gb,
            load: Load::default(),
            idle_usage: (0.0, 0.0, 0.0),
            draining: false,
            kept_for_arrivals: false,
            reservation: None,
            preempted: false,
        }
    }

    /// Whether one task of the job fits into what is free, with [`AMOUNT_TOLERANCE`].
    pub fn fits(&self, spec: &JobSpec) -> bool {
        spec.cpus <= self.cpus + AMOUNT_TOLERANCE
            && spec.gpus <= self.gpus + AMOUNT_TOLERANCE
            && spec.memory_gb <= self.memory_gb + AMOUNT_TOLERANCE
    }

    /// Has nothing dear that such a task has no use for.
    pub fn apt(&self, spec: &JobSpec) -> bool {
        wastes_no_gpus(self.machine_type, spec)
    }

    /// The room there would be without its idle work.
    pub fn without_idle(&self) -> Self {
        let mut capacity = *self;
        capacity.add(self.idle_usage.0, self.idle_usage.1, self.idle_usage.2);
        capacity
    }

    /// How many tasks like this fit, up to `most`.
    pub fn fitting_tasks(&self, spec: &JobSpec, most: u64) -> u64 {
        let by = |left: f64, each: f64| if each > 0.0 { (left + AMOUNT_TOLERANCE) / each } else { f64::INFINITY };
        let least = by(self.cpus, spec.cpus).min(by(self.gpus, spec.gpus)).min(by(self.memory_gb, spec.memory_gb));
        // Casting saturates: nothing fits below zero, and infinity is above any `most`.
        (least.floor() as u64).min(most)
    }

    /// How badly a task uses what this machine is paid for: 0 for what its accelerators, each
    /// with its fair part of the cores, leave over; 1 for a machine as the task needs it; 2 for
    /// cores that an accelerator will lack.
    pub fn gpu_waste(&self, spec: &JobSpec) -> u8 {
        if self.machine_type.gpus <= 0.0 || spec.gpus > 0.0 {
            return 1;
        }
        let kept = self.gpus * self.machine_type.cpus / self.machine_type.gpus;
        if spec.cpus <= self.cpus - kept + AMOUNT_TOLERANCE { 0 } else { 2 }
    }

    /// How likely the machine is to be lost with what it runs: the cloud takes cheap ones back, and
    /// what has failed fails again.
    pub fn loss_risk(&self) -> u8 {
        self.machine.map_or(0, |m| 2 * u8::from(m.spot) + u8::from(m.failed_since_success))
    }

    /// Whether a task of the job needs no fetch here: it has no image, or the machine holds it.
    pub fn holds_image(&self, job: &JobState) -> bool {
        job.spec().image_gb <= 0.0 || self.machine.is_some_and(|m| m.expects_image(job.image_digest))
    }

    /// Adds to what is free; negative amounts take from it.
    pub fn add(&mut self, cpus: f64, gpus: f64, memory_gb: f64) {
        self.cpus += cpus;
        self.gpus += gpus;
        self.memory_gb += memory_gb;
    }

    /// Takes one task's request from what is free. Idle work is also counted in `idle`. `load` is not changed.
    pub fn allocate(&mut self, spec: &JobSpec) {
        self.apply_request(spec, -1.0);
    }

    /// What `take` has taken.
    pub fn release(&mut self, spec: &JobSpec) {
        self.apply_request(spec, 1.0);
    }

    fn apply_request(&mut self, spec: &JobSpec, sign: f64) {
        let (cpus, gpus, memory_gb) = (sign * spec.cpus, sign * spec.gpus, sign * spec.memory_gb);
        self.add(cpus, gpus, memory_gb);
        if spec.is_idle() {
            self.idle_usage = (self.idle_usage.0 - cpus, self.idle_usage.1 - gpus, self.idle_usage.2 - memory_gb);
        }
    }

    /// Price per hour of the machine; one that could be rented counts as on demand.
    pub fn price(&self) -> f64 {
        self.machine_type.price(self.machine.is_some_and(|m| m.spot))
    }
}

/// Whether a job's own words allow the type, zone and kind.
pub fn allows_kind(spec: &JobSpec, type_name: &str, zone: &str, spot: bool) -> bool {
    (!spot || spec.spot)
        && spec.zone.as_deref().is_none_or(|z| z == zone)
        && spec.types.as_ref().is_none_or(|t| t.iter().any(|t| t == type_name))
}

/// Up, sane, lately reporting, not known from what may be late copies alone, hearing, and free of tasks that should not
/// be there.
pub fn is_schedulable(machine: &Machine, suspect: Duration, now: Instant) -> bool {
    machine.state == MachineState::Up && is_healthy(machine, suspect, now)
}

/// The same of one that can be spared and has not been left yet.
pub fn is_schedulable_while_draining(machine: &Machine, suspect: Duration, now: Instant) -> bool {
    machine.state == MachineState::Draining && machine.scale_in_candidate && is_healthy(machine, suspect, now)
}

fn is_healthy(machine: &Machine, suspect: Duration, now: Instant) -> bool {
    machine.reported()
        && machine.recall_at.is_none()
        && machine.confirmed
        && !machine.quarantined
        && !machine.inbound_lost
        && now.saturating_duration_since(machine.last_heartbeat) < suspect
        && !machine.has_unbound_tasks()
}

/// After this long without a heartbeat a machine gets no new work.
pub fn suspect_timeout(cluster: &ClusterState) -> Duration {
    cluster.settings.params.workers.heartbeat_interval().mul_f64(SUSPECT_HEARTBEATS)
}

/// The zone of a machine of which only the name is known.
const UNKNOWN_ZONE: &str = "";

/// Where the tasks of one job are, for `samePlace` and `scatter`.
pub struct JobZones<'a> {
    spec: &'a JobSpec,
    counts: HashMap<&'a str, u64>,
}

impl<'a> JobZones<'a> {
    /// Counts the job's bound tasks by zone, if its description restricts zones at all. Machines of which only the
    /// name is known count as an unknown zone.
    pub fn new(cluster: &'a ClusterState, job: &'a JobState) -> Self {
        let mut counts = HashMap::new();
        if job.spec().same_zone || job.spec().spread {
            for index in &job.bound {
                let machine = job.binding(*index).and_then(|b| cluster.machines.get(&b.machine));
                *counts.entry(machine.map_or(UNKNOWN_ZONE, |m| m.zone.as_str())).or_default() += 1;
            }
        }
        Self { spec: job.spec(), counts }
    }

    /// Where a job of this kind would begin.
    pub fn without_tasks(spec: &'a JobSpec) -> Self {
        Self { spec, counts: HashMap::new() }
    }

    /// Whether the job restricts zones (`same_zone` or `spread`); else every zone is allowed.
    pub fn restricts_zones(&self) -> bool {
        self.spec.same_zone || self.spec.spread
    }

    /// Whether one more task may be placed in the zone: with `same_zone` only where all others are, with `spread` at
    /// most half of the job's tasks, rounded up, in one zone.
    pub fn allows(&self, zone: &str) -> bool {
        // What a successor has inherited on machines of which nobody has told it more than their names may be anywhere.
        let unknown = if zone == UNKNOWN_ZONE { 0 } else { self.counts.get(UNKNOWN_ZONE).copied().unwrap_or(0) };
        let here = self.counts.get(zone).copied().unwrap_or(0) + unknown;
        (!self.spec.same_zone || self.counts.iter().all(|(z, n)| *n == 0 || *z == zone))
            && (!self.spec.spread || here < self.spec.tasks.div_ceil(2))
    }

    /// Counts one more task in the zone.
    pub fn add_task(&mut self, zone: &'a str) {
        if self.restricts_zones() {
            *self.counts.entry(zone).or_default() += 1;
        }
    }

    /// What `set_counts` puts back when a try is undone.
    pub fn counts(&self) -> HashMap<&'a str, u64> {
        self.counts.clone()
    }

    /// Replaces the counts by those that [`Self::counts`] gave before.
    pub fn set_counts(&mut self, counts: HashMap<&'a str, u64>) {
        self.counts = counts;
    }
}
