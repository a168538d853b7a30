//! Free capacity of the machines, and which machines a job may use. Placement, scale-out and draining all search it.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use super::cluster::{ClusterState, JobState, Machine, MachineState, Reservation};
use crate::jobs::JobSpec;
use crate::machine_kinds::MachineKind;
use crate::machine_kinds::{Catalog, MachineType};
use crate::sla::Load;

/// Resource amounts are decimal fractions; their sums are compared with this tolerance.
pub const AMOUNT_TOLERANCE: f64 = 1e-6;
/// A machine that has been silent for this many heartbeat intervals gets no new work, before it is given up as lost.
const SUSPECT_HEARTBEATS: f64 = 2.5;

/// Whether a task uses the accelerators of the machine type, or the type has none.
fn wastes_no_gpus(machine_type: &MachineType, spec: &JobSpec) -> bool {
    spec.gpus > 0.0 || machine_type.gpus <= 0.0
}

/// A machine type in a zone, spot or on-demand, with what the cloud catalog says of the type.
#[derive(Debug, Clone, Copy)]
pub struct CapacityOffer<'a> {
    /// The machine type: its size, prices and usual boot time.
    pub machine_type: &'a MachineType,
    /// The zone in which it is offered.
    pub zone: &'a str,
    /// Whether it is a spot machine, which is cheaper and may be reclaimed by the cloud.
    pub spot: bool,
}

impl CapacityOffer<'_> {
    /// Returns the price per hour of a machine of this kind, spot or on-demand.
    pub fn price(&self) -> f64 {
        self.machine_type.price(self.spot)
    }

    /// Whether the machine has no accelerators that such a task would leave unused.
    pub fn wastes_no_gpus(&self, spec: &JobSpec) -> bool {
        wastes_no_gpus(self.machine_type, spec)
    }

    /// Returns the offer as a [`MachineKind`], which owns its names.
    pub fn kind(&self) -> MachineKind {
        MachineKind { type_name: self.machine_type.name.clone(), zone: self.zone.to_owned(), spot: self.spot }
    }
}

/// All machine kinds: first those of the machines in the cluster state, at the indices that the cluster state gives
/// them, then what else the cloud offers. Free capacity refers to its kind by index, so that the kinds a job allows are
/// computed once per job and not once per machine.
pub struct CapacityContext<'a> {
    /// The offer of each kind; `None` if the catalog lacks its type.
    pub offers: Vec<Option<CapacityOffer<'a>>>,
    catalog: &'a Catalog,
    unobtainable_kinds: &'a HashSet<MachineKind>,
}

impl<'a> CapacityContext<'a> {
    /// Creates a context with the kinds of the machines in the cluster state, and no others.
    pub fn new(cluster: &'a ClusterState, catalog: &'a Catalog) -> Self {
        let offer = |k: &'a MachineKind| {
            Some(CapacityOffer { machine_type: catalog.get(&k.type_name)?, zone: &k.zone, spot: k.spot })
        };
        Self {
            offers: cluster.kinds().iter().map(offer).collect(),
            catalog,
            unobtainable_kinds: &cluster.unobtainable_kinds,
        }
    }

    /// Creates a context that also has the kinds that the cloud offers and no machine has yet.
    pub fn with_all_offers(cluster: &'a ClusterState, catalog: &'a Catalog) -> Self {
        let mut context = Self::new(cluster, catalog);
        for of in &catalog.types {
            for zone in &of.zones {
                for spot in [true, false] {
                    let known = |o: &Option<CapacityOffer>| {
                        o.is_some_and(|o| o.machine_type.name == of.name && o.zone == *zone && o.spot == spot)
                    };
                    if !context.offers.iter().any(known) {
                        context.offers.push(Some(CapacityOffer { machine_type: of, zone, spot }));
                    }
                }
            }
        }
        context
    }

    /// Whether a task of the job fits only machines with accelerators, among all that the job allows and that the cloud
    /// offers and has. Such a job may leave accelerators unused.
    pub fn needs_accelerated_machine(&self, spec: &JobSpec) -> bool {
        let without_gpus = self.catalog.types.iter().filter(|machine_type| machine_type.gpus <= 0.0);
        let mut fitting = without_gpus.filter(|machine_type| FreeCapacity::empty(machine_type, 0).fits(spec));
        !fitting.any(|machine_type| {
            let zones = machine_type.zones.iter();
            let kinds = zones.flat_map(|zone| [false, true].map(|spot| (zone, spot)));
            kinds.into_iter().any(|(zone, spot)| {
                allows_kind(spec, &machine_type.name, zone, spot) && self.is_obtainable(&machine_type.name, zone, spot)
            })
        })
    }

    /// Whether the job is idle work that fits only machines with accelerators. Other idle work leaves those to work that
    /// uses the accelerators.
    pub fn idle_work_needs_accelerated_machine(&self, spec: &JobSpec) -> bool {
        spec.is_idle() && self.needs_accelerated_machine(spec)
    }

    /// Whether the cloud has machines of a kind, as far as is known.
    fn is_obtainable(&self, type_name: &str, zone: &str, spot: bool) -> bool {
        let is_kind = |kind: &MachineKind| kind.type_name == type_name && kind.zone == zone && kind.spot == spot;
        !self.unobtainable_kinds.iter().any(is_kind)
    }

    /// Returns the free capacity of a machine; `None` if its type is unknown.
    pub fn capacity(&self, machine: &'a Machine) -> Option<FreeCapacity<'a>> {
        let kind = machine.kind_index?;
        let of = self.offers.get(kind).copied().flatten()?.machine_type;
        let allocated = machine.allocated();
        Some(FreeCapacity {
            machine: Some(machine),
            machine_type: of,
            kind,
            cpus: of.cpus - allocated.cpus,
            gpus: of.gpus - allocated.gpus,
            memory_gb: of.memory_gb - allocated.memory_gb,
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

    /// Returns the zone of the kind at this index; empty if the catalog lacks its type.
    pub fn zone(&self, kind: usize) -> &'a str {
        self.offers.get(kind).copied().flatten().map_or("", |o| o.zone)
    }

    /// Returns the longest usual boot time among the allowed kinds, in seconds.
    pub fn longest_boot_s(&self, allowed_kinds: &[bool]) -> f64 {
        let allowed =
            self.offers.iter().zip(allowed_kinds).filter(|(_, allowed)| **allowed).filter_map(|(o, _)| o.as_ref());
        allowed.map(|o| o.machine_type.boot_s).fold(0.0, f64::max)
    }

    /// Returns, for each kind, whether the job's constraints and the zones of its other tasks allow it.
    pub fn allowed_kinds(&self, spec: &JobSpec, zones: &JobZones) -> Vec<bool> {
        let is_allowed = |o: &Option<CapacityOffer>| {
            o.is_some_and(|o| allows_kind(spec, &o.machine_type.name, o.zone, o.spot) && zones.allows(o.zone))
        };
        self.offers.iter().map(is_allowed).collect()
    }
}

/// The free capacity of a machine, and the load on it in the paper's terms.
#[derive(Debug, Clone, Copy)]
pub struct FreeCapacity<'a> {
    /// The machine; `None` for one that could be provisioned.
    pub machine: Option<&'a Machine>,
    /// The machine's type.
    pub machine_type: &'a MachineType,
    /// Index of the machine's kind in [`CapacityContext::offers`].
    pub kind: usize,
    /// Free cores. Negative if more is bound than the type has.
    pub cpus: f64,
    /// Free accelerators.
    pub gpus: f64,
    /// Free memory, in GB.
    pub memory_gb: f64,
    /// Deadline shares and returns of the tasks bound to the machine, by which soft work is admitted.
    pub load: Load,
    /// What idle work uses of the machine, as (cpus, gpus, GB); other work may preempt it.
    pub idle_usage: (f64, f64, f64),
    /// Whether the machine is being drained for scale-in: only idle work that writes checkpoints is placed there.
    pub draining: bool,
    /// Whether the free capacity is kept from idle work, for jobs that will soon arrive.
    pub kept_for_arrivals: bool,
    /// The reservation of the machine, if there is one.
    pub reservation: Option<&'a Reservation>,
    /// Whether tasks on the machine were preempted for the job that holds the reservation.
    pub preempted: bool,
}

impl<'a> FreeCapacity<'a> {
    /// Returns an empty machine of a type that could be provisioned; `kind` is its index in
    /// [`CapacityContext::offers`].
    pub fn empty(machine_type: &'a MachineType, kind: usize) -> Self {
        Self {
            machine: None,
            machine_type,
            kind,
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
            load: Load::default(),
            idle_usage: (0.0, 0.0, 0.0),
            draining: false,
            kept_for_arrivals: false,
            reservation: None,
            preempted: false,
        }
    }

    /// Whether one task of the job fits into the free capacity, within [`AMOUNT_TOLERANCE`].
    pub fn fits(&self, spec: &JobSpec) -> bool {
        spec.cpus <= self.cpus + AMOUNT_TOLERANCE
            && spec.gpus <= self.gpus + AMOUNT_TOLERANCE
            && spec.memory_gb <= self.memory_gb + AMOUNT_TOLERANCE
    }

    /// Whether the machine has no accelerators that such a task would leave unused.
    pub fn wastes_no_gpus(&self, spec: &JobSpec) -> bool {
        wastes_no_gpus(self.machine_type, spec)
    }

    /// Returns the free capacity there would be without idle work on the machine.
    pub fn without_idle(&self) -> Self {
        let mut capacity = *self;
        capacity.add(self.idle_usage.0, self.idle_usage.1, self.idle_usage.2);
        capacity
    }

    /// Returns how many such tasks fit, up to `max_tasks`.
    pub fn fitting_tasks(&self, spec: &JobSpec, max_tasks: u64) -> u64 {
        let fitting = |free: f64, each: f64| if each > 0.0 { (free + AMOUNT_TOLERANCE) / each } else { f64::INFINITY };
        let least = fitting(self.cpus, spec.cpus)
            .min(fitting(self.gpus, spec.gpus))
            .min(fitting(self.memory_gb, spec.memory_gb));
        // The cast saturates: a negative number gives 0, and infinity is above any `max_tasks`.
        (least.floor() as u64).min(max_tasks)
    }

    /// Returns how badly a task would use the machine's accelerators: 0 if it takes only cores that the free
    /// accelerators, each with its proportional part of the cores, leave over; 1 if the task uses accelerators or the
    /// machine has none; 2 if it takes cores that an accelerator will lack.
    pub fn gpu_waste(&self, spec: &JobSpec) -> u8 {
        if self.machine_type.gpus <= 0.0 || spec.gpus > 0.0 {
            return 1;
        }
        let cores_for_gpus = self.gpus * self.machine_type.cpus / self.machine_type.gpus;
        if spec.cpus <= self.cpus - cores_for_gpus + AMOUNT_TOLERANCE { 0 } else { 2 }
    }

    /// Returns how likely the machine is to be lost with what it runs: the cloud reclaims spot machines, and machines
    /// with recent failures tend to fail again.
    pub fn loss_risk(&self) -> u8 {
        self.machine.map_or(0, |m| 2 * u8::from(m.spot) + u8::from(m.failed_since_success))
    }

    /// Whether a task of the job needs no image fetch on the machine: it has no image, or the machine holds it.
    pub fn holds_image(&self, job: &JobState) -> bool {
        job.spec().image_gb <= 0.0 || self.machine.is_some_and(|m| m.expects_image(job.image_digest))
    }

    /// Adds to the free capacity; negative amounts reduce it.
    pub fn add(&mut self, cpus: f64, gpus: f64, memory_gb: f64) {
        self.cpus += cpus;
        self.gpus += gpus;
        self.memory_gb += memory_gb;
    }

    /// Takes one task's request from the free capacity. Idle work is also counted in `idle_usage`. `load` does not
    /// change.
    pub fn allocate(&mut self, spec: &JobSpec) {
        self.apply_request(spec, -1.0);
    }

    /// Reverts [`Self::allocate`].
    pub fn release(&mut self, spec: &JobSpec) {
        self.apply_request(spec, 1.0);
    }

    /// Adds one task's request, multiplied by `sign`, to the free capacity.
    fn apply_request(&mut self, spec: &JobSpec, sign: f64) {
        let (cpus, gpus, memory_gb) = (sign * spec.cpus, sign * spec.gpus, sign * spec.memory_gb);
        self.add(cpus, gpus, memory_gb);
        if spec.is_idle() {
            self.idle_usage = (self.idle_usage.0 - cpus, self.idle_usage.1 - gpus, self.idle_usage.2 - memory_gb);
        }
    }

    /// Returns the price per hour of the machine; one that could be provisioned counts as on-demand.
    pub fn price(&self) -> f64 {
        self.machine_type.price(self.machine.is_some_and(|m| m.spot))
    }
}

/// Whether the job's constraints allow the type, zone and price model (spot or on-demand).
pub fn allows_kind(spec: &JobSpec, type_name: &str, zone: &str, spot: bool) -> bool {
    (!spot || spec.spot)
        && spec.zone.as_deref().is_none_or(|z| z == zone)
        && spec.types.as_ref().is_none_or(|t| t.iter().any(|t| t == type_name))
}

/// Whether new work may be placed on the machine: it is up and healthy.
pub fn is_schedulable(machine: &Machine, suspect_timeout: Duration, now: Instant) -> bool {
    machine.state == MachineState::Up && is_healthy(machine, suspect_timeout, now)
}

/// Whether idle work may be placed on the machine although it is being drained for scale-in: it is healthy, and its
/// other tasks have not all ended yet.
pub fn is_schedulable_while_draining(machine: &Machine, suspect_timeout: Duration, now: Instant) -> bool {
    machine.state == MachineState::Draining && machine.scale_in_candidate && is_healthy(machine, suspect_timeout, now)
}

/// Whether the machine has sent a heartbeat lately, is confirmed by more than what may be late copies of messages, is
/// not being recalled or quarantined, receives what is sent to it, and runs no tasks that are not bound to it.
fn is_healthy(machine: &Machine, suspect_timeout: Duration, now: Instant) -> bool {
    machine.reported()
        && machine.recall_at.is_none()
        && machine.confirmed
        && !machine.quarantined
        && !machine.inbound_lost
        && now.saturating_duration_since(machine.last_heartbeat) < suspect_timeout
        && !machine.has_unbound_tasks()
}

/// Returns how long a machine may be silent before it gets no new work.
pub fn suspect_timeout(cluster: &ClusterState) -> Duration {
    cluster.settings.params.workers.heartbeat_interval().mul_f64(SUSPECT_HEARTBEATS)
}

/// The zone of machines of which only the name is known.
const UNKNOWN_ZONE: &str = "";

/// How many tasks of one job are in each zone, for the `samePlace` and `scatter` constraints.
pub struct JobZones<'a> {
    spec: &'a JobSpec,
    counts: HashMap<&'a str, u64>,
}

impl<'a> JobZones<'a> {
    /// Counts the job's bound tasks by zone, if its description restricts zones at all. Machines of which only the
    /// name is known count as in an unknown zone.
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

    /// Creates the counts of a job that has no tasks yet.
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
        // Inherited tasks on machines of which a successor knows only the names may be in any zone.
        let unknown = if zone == UNKNOWN_ZONE { 0 } else { self.counts.get(UNKNOWN_ZONE).copied().unwrap_or(0) };
        let in_zone = self.counts.get(zone).copied().unwrap_or(0) + unknown;
        (!self.spec.same_zone || self.counts.iter().all(|(z, n)| *n == 0 || *z == zone))
            && (!self.spec.spread || in_zone < self.spec.tasks.div_ceil(2))
    }

    /// Counts one more task in the zone.
    pub fn add_task(&mut self, zone: &'a str) {
        if self.restricts_zones() {
            *self.counts.entry(zone).or_default() += 1;
        }
    }

    /// Returns the counts, for [`Self::set_counts`] to restore when a placement attempt is undone.
    pub fn counts(&self) -> HashMap<&'a str, u64> {
        self.counts.clone()
    }

    /// Restores counts that [`Self::counts`] returned before.
    pub fn set_counts(&mut self, counts: HashMap<&'a str, u64>) {
        self.counts = counts;
    }
}
