//! Rules for idle work (urgency `idle`), which runs on capacity that no other work needs (docs/fairness.md).
//!
//! It is placed after all other work and may be preempted by it. So that it is not preempted as soon as it has begun,
//! it gets no capacity that waiting work could use. Machines are provisioned for it only if they have nothing
//! expensive, such as accelerators, that it has no use for, unless it fits no others.

use std::time::Duration;

use super::capacity::{AMOUNT_TOLERANCE, CapacityOffer, FreeCapacity};
use crate::jobs::JobSpec;
use crate::settings::Objective;

/// Maximum distinct unplaced requests recorded in one plan; more would add no information.
const MAX_UNPLACED_REQUESTS: usize = 12;

/// A task that takes at most this fraction of a machine is tiny.
const TINY_TASK_FRACTION: f64 = 1.0 / 32.0;
/// A tiny task waits this long for a better place before it takes any gap that no waiting work fits.
const TINY_TASK_WAIT: Duration = Duration::from_secs(15);
/// Idle work may take this fraction of a machine beside any other work.
const SMALL_IDLE_FRACTION: f64 = 1.0 / 16.0;
/// Approximate time until preempted idle tasks are gone, including saving and reports. For classes with a promised
/// start sooner than machines boot, capacity is kept free for the arrivals expected in this time.
const IDLE_EVICTION_TIME: Duration = Duration::from_secs(10);

/// Returns for how many tasks like `spec`, the latest of its class, idle work leaves capacity free, given how many
/// arrive per second.
pub fn tasks_kept_free_for(spec: &JobSpec, per_second: f64, objectives: &[Objective], boot_s: f64) -> u64 {
    let promised_before_boot =
        objectives.iter().any(|o| o.kind == "wait" && o.class == spec.class && o.within_s < boot_s);
    if spec.is_idle() || !promised_before_boot {
        0
    } else {
        (per_second * IDLE_EVICTION_TIME.as_secs_f64()).ceil() as u64
    }
}

/// Whether machines may be provisioned and kept for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdlePermissions {
    /// Whether machines of this kind may be provisioned for the job.
    pub provision: bool,
    /// Whether a machine of this kind is kept for the job when scale-in could return it.
    pub keep: bool,
}

/// Returns whether machines of a kind may be provisioned and kept for a job of any urgency. `relative_price`: the price
/// of a task there relative to the cheapest kind that the job allows; `max_relative_price`: the limit of that for idle
/// work. `overdue`: the job has waited longer than it runs, so the limit no longer applies: where the cloud refuses the
/// kinds with a low price, it would wait forever. `needs_accelerated`: the job fits only machines with accelerators
/// ([`CapacityContext::needs_accelerated_machine`](super::capacity::CapacityContext::needs_accelerated_machine)).
pub fn idle_permissions(
    spec: &JobSpec,
    offer: &CapacityOffer,
    relative_price: f64,
    max_relative_price: f64,
    overdue: bool,
    needs_accelerated: bool,
) -> IdlePermissions {
    if !spec.is_idle() {
        return IdlePermissions { provision: true, keep: true };
    }
    let is_suitable = offer.wastes_no_gpus(spec) || needs_accelerated;
    IdlePermissions { provision: is_suitable && (relative_price <= max_relative_price || overdue), keep: is_suitable }
}

/// An idle job of which a task is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct IdleJob<'a> {
    /// The job's description, with the request of a task.
    pub spec: &'a JobSpec,
    /// How long the job has waited since its submission.
    pub waited: Duration,
    /// Whether the job fits only machines with accelerators.
    pub needs_accelerated: bool,
}

impl IdleJob<'_> {
    /// Whether a task takes no more of the machine than idle work may. Idle work takes machines without unused
    /// accelerators whole, so that whole machines come free when it is preempted; on other machines it fills what is
    /// left over. A machine that other work uses it may share if it takes so little that it blocks hardly anything. A
    /// job that fits no other machines takes those with accelerators in either way.
    fn takes_its_share(&self, capacity: &FreeCapacity) -> bool {
        let (spec, machine_type) = (self.spec, capacity.machine_type);
        let wastes_no_gpus = capacity.wastes_no_gpus(spec);
        if !wastes_no_gpus && self.needs_accelerated {
            return true;
        }
        let idle_only = capacity.without_idle().cpus >= machine_type.cpus - AMOUNT_TOLERANCE;
        let is_small = |idle: f64, more: f64, total: f64| idle + more <= total * SMALL_IDLE_FRACTION + AMOUNT_TOLERANCE;
        let small = is_small(capacity.idle_usage.0, spec.cpus, machine_type.cpus)
            && is_small(capacity.idle_usage.2, spec.memory_gb, machine_type.memory_gb);
        // A tiny task that has waited takes any gap that no waiting work fits.
        let tiny = spec.cpus <= machine_type.cpus * TINY_TASK_FRACTION
            && spec.memory_gb <= machine_type.memory_gb * TINY_TASK_FRACTION;
        let takes_whole_machine = wastes_no_gpus && !capacity.draining;
        takes_whole_machine == idle_only || (takes_whole_machine && (small || (tiny && self.waited >= TINY_TASK_WAIT)))
    }
}

/// A request of work other than idle work that found no capacity, with the machine kinds it allows.
#[derive(Debug, Clone)]
struct UnplacedRequest {
    cpus: f64,
    gpus: f64,
    memory_gb: f64,
    allowed_kinds: Vec<bool>,
}

impl UnplacedRequest {
    /// Whether the request fits into the free capacity.
    fn fits(&self, capacity: &FreeCapacity) -> bool {
        self.cpus <= capacity.cpus + AMOUNT_TOLERANCE
            && self.gpus <= capacity.gpus + AMOUNT_TOLERANCE
            && self.memory_gb <= capacity.memory_gb + AMOUNT_TOLERANCE
    }
}

/// The requests of work more urgent than idle work that found no capacity in a plan, which idle work must not block.
#[derive(Debug, Clone, Default)]
pub struct Backfill {
    unplaced: Vec<UnplacedRequest>,
}

impl Backfill {
    /// Records that a job found no capacity. Quarantined jobs, which have failed everywhere, are left out, so that they
    /// block no idle work.
    pub fn record_unplaced(&mut self, spec: &JobSpec, allowed_kinds: &[bool], quarantined: bool) {
        if spec.is_idle() || quarantined || self.unplaced.len() >= MAX_UNPLACED_REQUESTS {
            return;
        }
        let is_covered_by = |w: &UnplacedRequest| {
            w.cpus <= spec.cpus
                && w.gpus <= spec.gpus
                && w.memory_gb <= spec.memory_gb
                && allowed_kinds
                    .iter()
                    .zip(&w.allowed_kinds)
                    .all(|(allowed, allowed_before)| *allowed_before || !allowed)
        };
        if !self.unplaced.iter().any(is_covered_by) {
            let (cpus, gpus, memory_gb) = (spec.cpus, spec.gpus, spec.memory_gb);
            self.unplaced.push(UnplacedRequest { cpus, gpus, memory_gb, allowed_kinds: allowed_kinds.to_vec() });
        }
    }

    /// Whether a task of an idle job may start in this free capacity: not where idle work alone would keep a machine with
    /// accelerators that it leaves unused, unless the job fits no other machines, and not where waiting work would fit
    /// once the idle work there is preempted.
    pub fn allows_start(&self, job: IdleJob, capacity: &FreeCapacity) -> bool {
        let spec = job.spec;
        if capacity.kept_for_arrivals {
            return false;
        }
        // On a draining machine idle work uses what other tasks leave over, and must save when those have ended.
        if capacity.draining && spec.checkpoint_s <= 0.0 {
            return false;
        }
        if !job.takes_its_share(capacity) {
            return false;
        }
        let without_idle = capacity.without_idle();
        // Waiting work that would fit here once idle work is preempted must fit still with this task placed.
        let mut with_task = *capacity;
        with_task.allocate(spec);
        !self
            .unplaced
            .iter()
            .any(|w| w.allowed_kinds.get(capacity.kind) == Some(&true) && w.fits(&without_idle) && !w.fits(&with_task))
    }
}

#[cfg(test)]
mod tests;
