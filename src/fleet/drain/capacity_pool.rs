//! Capacity of the machines, into which present and expected work is packed to find machines that stay empty.

use std::time::{Duration, Instant};

use crate::jobs::JobSpec;
use crate::machine_kinds::Catalog;
use crate::scheduling::backfill;
use crate::scheduling::capacity::{CapacityContext, FreeCapacity, JobZones, is_schedulable, suspect_timeout};
use crate::scheduling::cluster::{ClusterState, Machine, MachineId, MachineState};
use crate::scheduling::plan::QueuedJob;

/// Minimum time for which the cloud bills a machine: terminating one earlier saves nothing.
const MIN_BILLED_TIME: Duration = Duration::from_secs(60);
/// Age up to which a machine is kept for the next try of a quarantined job: enough to boot and for the longest pause
/// between two tries.
const MAX_AGE_KEPT_FOR_RETRY: Duration = Duration::from_secs(180);
/// Capacity kept free for expected arrivals, as the number of boot times for which recent arrival rates are covered.
const SPARE_BOOT_TIMES: f64 = 0.5;
/// Capacity kept free for expected arrivals of a class with a service-level objective for the start that is shorter
/// than a boot, in boot times as [`SPARE_BOOT_TIMES`].
const SPARE_BOOT_TIMES_PROMPT: f64 = 1.0;

/// Free capacity of each machine, in the order in which work is packed: machines with accelerators last, otherwise the
/// cheapest first, and of equally expensive machines the fullest first. A machine into which nothing was packed is a
/// candidate for scale-in.
pub(super) struct CapacityPool<'a> {
    pub(super) context: CapacityContext<'a>,
    capacities: Vec<FreeCapacity<'a>>,
    /// Whether each machine is needed, because it is reserved or work was packed into it.
    needed: Vec<bool>,
    /// For each machine kind, whether more work that suits it waits or is expected than there is capacity for.
    short_of_capacity: Vec<bool>,
}

/// Machine that is a candidate for scale-in.
#[derive(Clone, Copy)]
pub(super) struct Candidate<'a> {
    /// Index of the machine in the pool.
    pub(super) index: usize,
    /// The machine itself.
    pub(super) machine: &'a Machine,
    /// Whether the machine has accelerators.
    pub(super) accelerated: bool,
}

impl<'a> CapacityPool<'a> {
    /// Creates a pool of the machines that take work or boot. Idle tasks do not count as using capacity, since they are
    /// preempted for other work; idle work is packed last.
    pub(super) fn new(cluster: &'a ClusterState, catalog: &'a Catalog, now: Instant) -> Self {
        let context = CapacityContext::new(cluster, catalog);
        let suspect_after = suspect_timeout(cluster);
        let mut capacities: Vec<FreeCapacity> = cluster
            .machines
            .values()
            .filter(|machine| is_schedulable(machine, suspect_after, now) || machine.state == MachineState::Booting)
            .filter_map(|machine| context.capacity(machine))
            .map(|capacity| capacity.without_idle())
            .collect();
        capacities.sort_by(|a, b| {
            let accelerated = |capacity: &FreeCapacity| capacity.machine_type.gpus > 0.0;
            accelerated(a).cmp(&accelerated(b)).then(a.price().total_cmp(&b.price())).then(a.cpus.total_cmp(&b.cpus))
        });
        let is_reserved =
            |capacity: &FreeCapacity| capacity.machine.is_some_and(|m| cluster.reservations.contains_key(&m.id));
        let needed = capacities.iter().map(is_reserved).collect();
        let short_of_capacity = vec![false; context.offers.len()];
        Self { context, capacities, needed, short_of_capacity }
    }

    /// Returns the number of machines in the pool.
    pub(super) fn len(&self) -> usize {
        self.capacities.len()
    }

    /// Keeps capacity for `count` tasks of this kind. If there is not enough, no machine that could run them is a
    /// candidate for scale-in. This includes machines whose accelerators they would not use only if they are `overdue`.
    pub(super) fn keep_capacity(&mut self, spec: &JobSpec, zones: &JobZones, count: u64, overdue: bool) {
        let allowed = self.kinds_kept_for(spec, zones);
        let may_waste_gpus = self.context.idle_work_needs_accelerated_machine(spec) || (overdue && !spec.is_idle());
        if !self.pack_tasks(spec, &allowed, count, None) {
            for (index, offer) in self.context.offers.iter().enumerate() {
                let is_suitable = offer.is_some_and(|offer| may_waste_gpus || offer.wastes_no_gpus(spec));
                self.short_of_capacity[index] |= allowed[index] && is_suitable;
            }
        }
    }

    /// Returns, for each kind, whether machines of it are kept for the job. None is kept for idle work that would not
    /// use the machine's accelerators and fits other machines.
    fn kinds_kept_for(&self, spec: &JobSpec, zones: &JobZones) -> Vec<bool> {
        let needs_accelerated = self.context.idle_work_needs_accelerated_machine(spec);
        let mut kept = self.context.allowed_kinds(spec, zones);
        for (kept, offer) in kept.iter_mut().zip(&self.context.offers) {
            *kept &= offer.is_some_and(|offer| {
                backfill::idle_permissions(spec, &offer, 1.0, f64::INFINITY, false, needs_accelerated).keep
            });
        }
        kept
    }

    /// Keeps capacity for the arrivals that are expected during the boot time of a machine.
    pub(super) fn keep_for_arrivals(&mut self, cluster: &ClusterState, now: Instant) {
        for (class, arrivals) in cluster.arrivals.iter().filter(|(_, arrivals)| !arrivals.latest.spec.is_idle()) {
            let spec = &arrivals.latest.spec;
            let allowed = self.context.allowed_kinds(spec, &JobZones::without_tasks(spec));
            let boot_s = self.context.longest_boot_s(&allowed);
            let mut objectives = cluster.settings.params.objectives.iter();
            let is_prompt = objectives.any(|o| o.kind == "wait" && o.class == *class && o.within_s < boot_s);
            let boot_times = if is_prompt { SPARE_BOOT_TIMES_PROMPT } else { SPARE_BOOT_TIMES };
            let tasks = (arrivals.tasks_per_second(now) * boot_s * boot_times).round() as u64;
            self.keep_capacity(spec, &JobZones::without_tasks(spec), tasks, false);
        }
    }

    /// Keeps machines for the next try of a quarantined job, if there is room for all `tasks` tasks on machines on which
    /// it has not failed and that are not older than [`MAX_AGE_KEPT_FOR_RETRY`]. The room stays free for other jobs,
    /// which are kept the same machines: tries are short.
    pub(super) fn keep_for_retry(
        &mut self,
        queued: &QueuedJob,
        zones: &JobZones,
        tasks: u64,
        failed_machines: &[MachineId],
        now: Instant,
    ) {
        let spec = queued.job.spec();
        let allowed = self.kinds_kept_for(spec, zones);
        let may_be_kept = |machine: &Machine| {
            !failed_machines.contains(&machine.id)
                && now.saturating_duration_since(machine.provisioned_at) < MAX_AGE_KEPT_FOR_RETRY
        };
        let mut tasks_left = tasks;
        let mut kept = Vec::new();
        for (index, capacity) in self.capacities.iter().enumerate() {
            let usable = allowed.get(capacity.kind) == Some(&true) && capacity.machine.is_some_and(may_be_kept);
            let fitting = if usable { capacity.fitting_tasks(spec, tasks_left) } else { 0 };
            if fitting > 0 {
                tasks_left -= fitting;
                kept.push(index);
            }
        }
        if tasks_left == 0 || !spec.is_gang() {
            kept.into_iter().for_each(|index| self.needed[index] = true);
        }
    }

    /// Packs up to `count` tasks of this kind into the first machines of allowed kinds that have room, but not into the
    /// machine with index `except`. Returns whether all of them fit.
    fn pack_tasks(&mut self, spec: &JobSpec, allowed: &[bool], mut count: u64, except: Option<usize>) -> bool {
        for (index, capacity) in self.capacities.iter_mut().enumerate() {
            if count == 0 {
                break;
            }
            if Some(index) == except || !allowed.get(capacity.kind).copied().unwrap_or(false) {
                continue;
            }
            let tasks = capacity.fitting_tasks(spec, count);
            if tasks > 0 {
                let n = tasks as f64;
                capacity.add(-n * spec.cpus, -n * spec.gpus, -n * spec.memory_gb);
                self.needed[index] = true;
                count -= tasks;
            }
        }
        count == 0
    }

    /// Packs one task of each of these specs into machines other than `except`. If one does not fit, returns false and
    /// frees the capacity again; machines that took one of the others still count as needed.
    pub(super) fn repack_tasks(&mut self, specs: &[&JobSpec], except: usize) -> bool {
        if specs.is_empty() {
            return true;
        }
        let previous = self.capacities.clone();
        for spec in specs {
            let allowed = self.context.allowed_kinds(spec, &JobZones::without_tasks(spec));
            if !self.pack_tasks(spec, &allowed, 1, Some(except)) {
                self.capacities = previous;
                return false;
            }
        }
        true
    }

    /// Returns the indices of the machines in the order in which they are considered for scale-in: the most expensive
    /// first, and of equally expensive ones those with the fewest tasks first.
    pub(super) fn scale_in_order(&self) -> Vec<usize> {
        let task_count = |index: usize| self.capacities[index].machine.map_or(0, |machine| machine.bound.len());
        let price = |index: usize| self.capacities[index].price();
        let mut order: Vec<usize> = (0..self.capacities.len()).collect();
        order.sort_by(|a, b| price(*b).total_cmp(&price(*a)).then(task_count(*a).cmp(&task_count(*b))).then(b.cmp(a)));
        order
    }

    /// Returns the machine at this index if it is up, not needed, and older than the minimum billed time.
    pub(super) fn candidate(&self, index: usize, now: Instant) -> Option<Candidate<'a>> {
        let capacity = &self.capacities[index];
        let machine = capacity.machine?;
        let past_min_billing = now.saturating_duration_since(machine.provisioned_at) >= MIN_BILLED_TIME;
        let is_needed = self.needed[index] || self.short_of_capacity[capacity.kind];
        let is_candidate = !is_needed && machine.state == MachineState::Up && past_min_billing;
        is_candidate.then_some(Candidate { index, machine, accelerated: capacity.machine_type.gpus > 0.0 })
    }

    /// Removes the machine's capacity, so that nothing more is packed into a machine that is about to be drained.
    pub(super) fn close_machine(&mut self, index: usize) {
        self.capacities[index].cpus = -1.0;
    }
}
