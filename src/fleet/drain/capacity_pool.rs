//! The capacity of the machines, into which all present and expected work is packed to find machines that stay empty.

use std::time::{Duration, Instant};

use crate::jobs::JobSpec;
use crate::machine_kinds::Catalog;
use crate::scheduling::backfill;
use crate::scheduling::capacity::{CapacityContext, FreeCapacity, JobZones, is_schedulable, suspect_timeout};
use crate::scheduling::cluster::{ClusterState, Machine, MachineState};

/// A machine costs this long in any case.
const LEAST_CHARGED: Duration = Duration::from_secs(60);
/// Capacity kept free for expected arrivals, in boot times' worth of the rate of the arrivals seen lately.
const SPARE_BOOTS: f64 = 0.5;
/// The same for classes with a service-level objective for the start that is shorter than a boot.
const SPARE_BOOTS_PROMPT: f64 = 1.0;

/// Free capacity of each machine, in the order in which work is packed: the cheapest machines first, those with
/// accelerators last, and of machines alike the fullest first. A machine that nothing was packed into is a candidate
/// for scale-in.
pub(super) struct CapacityPool<'a> {
    pub(super) ground: CapacityContext<'a>,
    capacities: Vec<FreeCapacity<'a>>,
    /// Whether waiting or expected work was packed into each machine.
    packed: Vec<bool>,
    /// Kinds for which more work waits or is expected than there is capacity for.
    short: Vec<bool>,
}

/// A scale-in candidate.
#[derive(Clone, Copy)]
pub(super) struct Candidate<'a> {
    /// Its place in the pool.
    pub(super) index: usize,
    pub(super) machine: &'a Machine,
    /// Whether its type has accelerators.
    pub(super) accelerated: bool,
}

impl<'a> CapacityPool<'a> {
    /// The machines that are up or boot. Idle work counts as absent: it gives way, and is packed last.
    pub(super) fn new(cluster: &'a ClusterState, catalog: &'a Catalog, now: Instant) -> Self {
        let ground = CapacityContext::new(cluster, catalog);
        let suspect = suspect_timeout(cluster);
        let mut capacities: Vec<FreeCapacity> = cluster
            .machines
            .values()
            .filter(|machine| is_schedulable(machine, suspect, now) || machine.state == MachineState::Booting)
            .filter_map(|machine| ground.capacity(machine))
            .map(|capacity| capacity.without_idle())
            .collect();
        capacities.sort_by(|a, b| {
            let accelerated = |capacity: &FreeCapacity| capacity.machine_type.gpus > 0.0;
            accelerated(a).cmp(&accelerated(b)).then(a.price().total_cmp(&b.price())).then(a.cpus.total_cmp(&b.cpus))
        });
        let reserved =
            |capacity: &FreeCapacity| capacity.machine.is_some_and(|m| cluster.reservations.contains_key(&m.id));
        let packed = capacities.iter().map(reserved).collect();
        let short = vec![false; ground.offers.len()];
        Self { ground, capacities, packed, short }
    }

    /// Number of machines.
    pub(super) fn len(&self) -> usize {
        self.capacities.len()
    }

    /// Keeps capacity for `count` tasks like this. Where there is not enough, no machine that they could use is a
    /// candidate; machines with accelerators that they have no use for only if the work is `overdue`.
    pub(super) fn keep_capacity(&mut self, spec: &JobSpec, zones: &JobZones, count: u64, overdue: bool) {
        let mut open = self.ground.allowed_kinds(spec, zones);
        // Idle work keeps no machine with accelerators that it has no use for.
        for (open, offer) in open.iter_mut().zip(&self.ground.offers) {
            *open &=
                offer.is_some_and(|offer| backfill::idle_permissions(spec, &offer, 1.0, f64::INFINITY, false).keep);
        }
        let overdue = overdue && !spec.is_idle();
        if !self.pack_tasks(spec, &open, count, None) {
            for (index, offer) in self.ground.offers.iter().enumerate() {
                let suitable = offer.is_some_and(|offer| overdue || offer.wastes_no_gpus(spec));
                self.short[index] |= open[index] && suitable;
            }
        }
    }

    /// Keeps capacity for the arrivals that are expected while a machine would boot.
    pub(super) fn keep_for_arrivals(&mut self, cluster: &ClusterState, now: Instant) {
        for (class, arrivals) in cluster.arrivals.iter().filter(|(_, arrivals)| !arrivals.latest.spec.is_idle()) {
            let spec = &arrivals.latest.spec;
            let open = self.ground.allowed_kinds(spec, &JobZones::without_tasks(spec));
            let boot_s = self.ground.longest_boot_s(&open);
            let mut objectives = cluster.settings.params.objectives.iter();
            let prompt = objectives.any(|o| o.kind == "wait" && o.class == *class && o.within_s < boot_s);
            let boots = if prompt { SPARE_BOOTS_PROMPT } else { SPARE_BOOTS };
            let tasks = (arrivals.tasks_per_second(now) * boot_s * boots).round() as u64;
            self.keep_capacity(spec, &JobZones::without_tasks(spec), tasks, false);
        }
    }

    /// Packs up to `count` tasks like this into the first machines that take them, but not into `except`. False if some
    /// are left.
    fn pack_tasks(&mut self, spec: &JobSpec, open: &[bool], mut count: u64, except: Option<usize>) -> bool {
        for (index, capacity) in self.capacities.iter_mut().enumerate() {
            if count == 0 {
                break;
            }
            if Some(index) == except || !open.get(capacity.kind).copied().unwrap_or(false) {
                continue;
            }
            let tasks = capacity.fitting_tasks(spec, count);
            if tasks > 0 {
                let n = tasks as f64;
                capacity.add(-n * spec.cpus, -n * spec.gpus, -n * spec.memory_gb);
                self.packed[index] = true;
                count -= tasks;
            }
        }
        count == 0
    }

    /// Packs one task of each of these jobs into machines other than `except`. If one does not fit, nothing changes
    /// but the marks of machines that took others.
    pub(super) fn repack_tasks(&mut self, specs: &[&JobSpec], except: usize) -> bool {
        if specs.is_empty() {
            return true;
        }
        let before = self.capacities.clone();
        for spec in specs {
            let open = self.ground.allowed_kinds(spec, &JobZones::without_tasks(spec));
            if !self.pack_tasks(spec, &open, 1, Some(except)) {
                self.capacities = before;
                return false;
            }
        }
        true
    }

    /// Machines in the order in which they are considered for scale-in: the dearest first, and the emptiest of these.
    pub(super) fn scale_in_order(&self) -> Vec<usize> {
        let bound = |index: usize| self.capacities[index].machine.map_or(0, |machine| machine.bound.len());
        let price = |index: usize| self.capacities[index].price();
        let mut order: Vec<usize> = (0..self.capacities.len()).collect();
        order.sort_by(|a, b| price(*b).total_cmp(&price(*a)).then(bound(*a).cmp(&bound(*b))).then(b.cmp(a)));
        order
    }

    /// The machine at this place, if it may be drained as far as its capacity and age go.
    pub(super) fn candidate(&self, index: usize, now: Instant) -> Option<Candidate<'a>> {
        let capacity = &self.capacities[index];
        let machine = capacity.machine?;
        let charged = now.saturating_duration_since(machine.rented_at) >= LEAST_CHARGED;
        let needed = self.packed[index] || self.short[capacity.kind];
        let is_candidate = !needed && machine.state == MachineState::Up && charged;
        is_candidate.then_some(Candidate { index, machine, accelerated: capacity.machine_type.gpus > 0.0 })
    }

    /// Takes the machine out, so that nothing is packed into one that is about to be drained.
    pub(super) fn close_machine(&mut self, index: usize) {
        self.capacities[index].cpus = -1.0;
    }
}
