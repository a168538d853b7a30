//! Rules for idle work (urgency `idle`), which runs on capacity that nobody else needs (docs/fairness.md).
//!
//! It is placed after all other work and may be preempted by it. So that it is not preempted as soon as it has begun,
//! it gets no room that waiting work could use. Machines are rented for it only if they have nothing expensive, such
//! as accelerators, that it has no use for.

use std::time::Duration;

use super::capacity::{AMOUNT_TOLERANCE, CapacityOffer, FreeCapacity};
use crate::jobs::JobSpec;
use crate::settings::Objective;

/// Kinds of waiting work remembered in one plan: more say nothing new.
const MAX_UNPLACED_REQUESTS: usize = 12;

/// A task that takes no more than this part of a machine is tiny, and waits this long for a better place.
const TINY_TASK_FRACTION: f64 = 1.0 / 32.0;
const TINY_TASK_WAIT: Duration = Duration::from_secs(15);
/// The part of a machine that idle work may take beside anything else.
const SMALL_IDLE_FRACTION: f64 = 1.0 / 16.0;
/// Idle tasks need about this long to be gone, saving and reports included: so much of the arrivals of
/// classes whose users are promised a start sooner than machines boot finds room that is kept free.
const IDLE_EVICTION_TIME: Duration = Duration::from_secs(10);

/// Tasks like the last of a class for which idle work leaves room, by how many come a second.
pub fn tasks_kept_free_for(spec: &JobSpec, per_second: f64, objectives: &[Objective], boot_s: f64) -> u64 {
    let prompt = objectives.iter().any(|o| o.kind == "wait" && o.class == spec.class && o.within_s < boot_s);
    if spec.is_idle() || !prompt { 0 } else { (per_second * IDLE_EVICTION_TIME.as_secs_f64()).ceil() as u64 }
}

/// What idle work may cause at the cloud and to machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdlePermissions {
    /// Machines of this kind may be rented for it.
    pub rent: bool,
    /// A machine of this kind is kept for it, where it could be spared.
    pub keep: bool,
}

/// For work of any urgency: what it may cause of a kind of machine. `dearer`: what a task costs there,
/// against the cheapest kind open to it; `most_dear`: how much dearer a kind idle work may take.
/// `overdue`: it has waited for longer than it runs, and would for ever where the cheap kinds are refused.
pub fn idle_permissions(
    spec: &JobSpec,
    offer: &CapacityOffer,
    dearer: f64,
    most_dear: f64,
    overdue: bool,
) -> IdlePermissions {
    if !spec.is_idle() {
        return IdlePermissions { rent: true, keep: true };
    }
    let apt = offer.wastes_no_gpus(spec);
    IdlePermissions { rent: apt && (dearer <= most_dear || overdue), keep: apt }
}

/// A waiting task of other than idle work: what it asks of a machine, and where it may go.
#[derive(Debug, Clone)]
struct UnplacedRequest {
    cpus: f64,
    gpus: f64,
    memory_gb: f64,
    allowed_kinds: Vec<bool>,
}

impl UnplacedRequest {
    fn fits(&self, capacity: &FreeCapacity) -> bool {
        self.cpus <= capacity.cpus + AMOUNT_TOLERANCE
            && self.gpus <= capacity.gpus + AMOUNT_TOLERANCE
            && self.memory_gb <= capacity.memory_gb + AMOUNT_TOLERANCE
    }
}

/// What more urgent work found no room for in a plan.
#[derive(Debug, Clone, Default)]
pub struct Backfill {
    unplaced: Vec<UnplacedRequest>,
}

impl Backfill {
    /// Work like this found no room. What fails everywhere keeps nobody out.
    pub fn record_unplaced(&mut self, spec: &JobSpec, open: &[bool], quarantined: bool) {
        if spec.is_idle() || quarantined || self.unplaced.len() >= MAX_UNPLACED_REQUESTS {
            return;
        }
        let covered = |w: &UnplacedRequest| {
            w.cpus <= spec.cpus
                && w.gpus <= spec.gpus
                && w.memory_gb <= spec.memory_gb
                && open.iter().zip(&w.allowed_kinds).all(|(mine, theirs)| *theirs || !mine)
        };
        if !self.unplaced.iter().any(covered) {
            let (cpus, gpus, memory_gb) = (spec.cpus, spec.gpus, spec.memory_gb);
            self.unplaced.push(UnplacedRequest { cpus, gpus, memory_gb, allowed_kinds: open.to_vec() });
        }
    }

    /// Whether an idle task may start in this room: not where it alone would keep a machine with
    /// accelerators that it has no use for, and not where waiting work would fit once the idle work
    /// there is stopped.
    /// `waited`: how long it has waited for that.
    pub fn allows_start(&self, spec: &JobSpec, capacity: &FreeCapacity, waited: Duration) -> bool {
        let apt = capacity.wastes_no_gpus(spec);
        let free = capacity.without_idle();
        let alone = free.cpus >= capacity.machine_type.cpus - AMOUNT_TOLERANCE;
        if capacity.kept_for_arrivals {
            return false;
        }
        // Of a machine that is being left it has what the rest leaves over, and saves when that is gone.
        if capacity.draining && spec.checkpoint_s <= 0.0 {
            return false;
        }
        // Machines that it uses as they are it has whole, so that whole ones come free when it gives way; of
        // others it fills what is over. Of any it may have so little that hardly anything is kept out by it.
        let little = |idle: f64, more: f64, all: f64| idle + more <= all * SMALL_IDLE_FRACTION + AMOUNT_TOLERANCE;
        let little = little(capacity.idle_usage.0, spec.cpus, capacity.machine_type.cpus)
            && little(capacity.idle_usage.2, spec.memory_gb, capacity.machine_type.memory_gb);
        // What is tiny and has waited takes any hole that nobody waits for.
        let tiny = spec.cpus <= capacity.machine_type.cpus * TINY_TASK_FRACTION
            && spec.memory_gb <= capacity.machine_type.memory_gb * TINY_TASK_FRACTION;
        let whole = apt && !capacity.draining;
        if whole != alone && !(whole && (little || (tiny && waited >= TINY_TASK_WAIT))) {
            return false;
        }
        // What is free here but for idle work would be taken from who waits for it.
        let mut after = *capacity;
        after.allocate(spec);
        !self
            .unplaced
            .iter()
            .any(|w| w.allowed_kinds.get(capacity.kind) == Some(&true) && w.fits(&free) && !w.fits(&after))
    }
}

#[cfg(test)]
mod tests;
