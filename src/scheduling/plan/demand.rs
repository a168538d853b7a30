//! A task of one job, as machines are judged by it: which it may use, and how good each is.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::candidate::Candidate;
use super::queue::QueuedJob;
use crate::jobs::JobId;
use crate::scheduling::backfill::Backfill;
use crate::scheduling::capacity::FreeCapacity;
use crate::scheduling::cluster::{JobState, MachineId};
use crate::scheduling::failure_attribution::FailureAttribution;
use crate::scheduling::fairness::floor::Rank;
use crate::sla;

/// Work that was started so often in vain gets the machines least likely to be lost.
const ATTEMPTS_UNTIL_RISK_AVERSE: u64 = 2;
/// Idle work that was started so often goes to no machine that is being left.
const MAX_ATTEMPTS_ON_DRAINING: u64 = 4;
/// Hard work that must start within this time to be done in time is not kept waiting for reservations.
const URGENT_START_WINDOW: Duration = Duration::from_secs(30);

/// A task of one job, as machines are judged by it.
pub(super) struct Demand<'a> {
    pub(super) id: &'a JobId,
    pub(super) job: &'a JobState,
    /// When it would be over; what is held for others is open to what ends in time.
    pub(super) expected_end: Instant,
    /// Hard work that would be late for waiting; nothing is held against it.
    pub(super) urgent: bool,
    /// Who goes first is not kept out by what is held for others; who goes ahead not by what is held for these.
    pub(super) ignores_reservations: bool,
    /// Jobs whose reservations do not stand against it.
    pub(super) overridden_reservations: Vec<&'a JobId>,
    /// Holds for these stand against it even if it is pressed: they go ahead.
    pub(super) prioritized_reservations: Vec<&'a JobId>,
    /// Idle work, and what others wait for by now.
    pub(super) backfill: Option<Rc<Backfill>>,
    /// Idle work gives way for it on machines as it needs them: it takes no cores that an accelerator
    /// will lack.
    pub(super) avoids_gpu_waste: bool,
    /// Since it came.
    pub(super) waited: Duration,
    /// It has waited beside room for so long that hardly anything is kept from it (`beside`).
    pub(super) overdue: bool,
    pub(super) share: f64,
    pub(super) task_return: f64,
    /// It can be done in time if it starts now.
    pub(super) can_meet_hard_deadline: bool,
    /// It has lost starts enough to want a machine that lasts.
    pub(super) risk_averse: bool,
    /// Machines on which it has failed.
    pub(super) failed_machines: &'a [MachineId],
    /// Tasks of it that fail by themselves, and are not to be tried yet.
    pub(super) held_back_tasks: Vec<u32>,
    /// Kinds of machines that the job allows, by their places in the cluster state.
    pub(super) allowed_kinds: Vec<bool>,
    /// Kinds for which work waits that may use no cheap machine.
    pub(super) on_demand_contention: Rc<[bool]>,
}

impl<'a> Demand<'a> {
    /// A task of the job whose turn it is.
    pub(super) fn new(
        queued: &QueuedJob<'a>,
        attribution: &'a FailureAttribution,
        backfill: Option<Rc<Backfill>>,
        open: Vec<bool>,
        sought: Rc<[bool]>,
        overdue: bool,
        now: Instant,
    ) -> Self {
        let (job, age) = (queued.job, queued.age);
        let agreement = &job.agreement;
        Self {
            id: queued.id,
            job,
            expected_end: now + agreement.run_time,
            urgent: agreement.can_meet_hard_deadline(age)
                && !agreement.can_meet_hard_deadline(age + URGENT_START_WINDOW),
            ignores_reservations: queued.rank == Rank::BelowFloor || queued.credited,
            overridden_reservations: Vec::new(),
            prioritized_reservations: Vec::new(),
            backfill,
            avoids_gpu_waste: false,
            waited: age,
            overdue,
            share: sla::deadline_share(agreement.run_time, agreement.deadline.saturating_sub(age), agreement.cores),
            task_return: agreement.task_return(age + agreement.run_time),
            can_meet_hard_deadline: agreement.can_meet_hard_deadline(age),
            // Nor is what can't save and may wait put where it is likely to be lost, if there is another place.
            risk_averse: job.has_waiting_task_with_attempts(ATTEMPTS_UNTIL_RISK_AVERSE)
                || (job.spec().is_idle() && job.spec().checkpoint_s <= 0.0),
            failed_machines: attribution.failed_machines(queued.id),
            held_back_tasks: attribution.held_back_tasks(queued.id, now),
            allowed_kinds: open,
            on_demand_contention: sought,
        }
    }

    /// Indices of the tasks that may be started now.
    pub(super) fn startable(&self) -> impl Iterator<Item = u32> {
        self.job.waiting.iter().copied().filter(|index| !self.held_back_tasks.contains(index))
    }

    /// Whether the job allows machines of this kind.
    pub(super) fn allows_kind(&self, kind: usize) -> bool {
        self.allowed_kinds.get(kind).copied().unwrap_or(false)
    }

    /// Whether the rules leave the room to this work, whatever its size.
    pub(super) fn may_use(&self, capacity: &FreeCapacity) -> bool {
        if self.overdue {
            return self.allows_kind(capacity.kind) && self.may_use_when_overdue(capacity);
        }
        self.allows_kind(capacity.kind)
            && match &self.backfill {
                Some(backfill) => {
                    backfill.allows_start(self.job.spec(), capacity, self.waited)
                        && (!capacity.draining || !self.job.has_waiting_task_with_attempts(MAX_ATTEMPTS_ON_DRAINING))
                }
                None => !capacity.draining,
            }
            && self.passes_reservation(capacity)
    }

    /// What is left of the rules for work that has waited beside room for too long: not where others are being stopped
    /// for somebody, and idle work that runs elsewhere leaves free what is kept for arrivals.
    pub(super) fn may_use_when_overdue(&self, capacity: &FreeCapacity) -> bool {
        let for_arrivals = capacity.kept_for_arrivals && self.backfill.is_some() && !self.job.bound.is_empty();
        !for_arrivals && (!capacity.preempted || self.passes_reservation(capacity))
    }

    /// Whether what the room is held for, if it is, leaves it to this work.
    pub(super) fn passes_reservation(&self, capacity: &FreeCapacity) -> bool {
        capacity.reservation.is_none_or(|reservation| {
            ((self.urgent && !self.prioritized_reservations.contains(&&reservation.job))
                || self.ignores_reservations
                || reservation.job == *self.id
                || self.expected_end <= reservation.until)
                || self.overridden_reservations.contains(&&reservation.job)
        })
    }

    /// The room as a place for a task; none if the task does not fit or may not go there.
    pub(super) fn candidate(&self, at: usize, capacity: &FreeCapacity) -> Option<Candidate> {
        let spec = self.job.spec();
        if !capacity.fits(spec) || !self.may_use(capacity) {
            return None;
        }
        if self.avoids_gpu_waste && capacity.gpu_waste(spec) > 1 {
            return None;
        }
        // Fit-now is the whole test for hard work; soft work must also be admitted.
        let new_return = match sla::admit(capacity.load, capacity.machine_type.cpus, self.share, self.task_return) {
            Some(new_return) => new_return,
            None if self.can_meet_hard_deadline || self.overdue => capacity.load.total_return + self.task_return,
            None => return None,
        };
        Some(Candidate {
            failed_before: capacity.machine.is_some_and(|m| self.failed_machines.contains(&m.id)),
            reserved_for_other: capacity.reservation.is_some_and(|reservation| reservation.job != *self.id),
            risk: if self.risk_averse { capacity.loss_risk() } else { 0 },
            on_demand_contended: spec.spot && self.on_demand_contention.get(capacity.kind) == Some(&true),
            gpu_waste: capacity.gpu_waste(spec),
            has_image: capacity.holds_image(self.job),
            new_return,
            free_cpus: capacity.cpus,
            index: at,
        })
    }

    /// Counts a task as placed in the room.
    pub(super) fn occupy(&self, capacity: &mut FreeCapacity) {
        capacity.allocate(self.job.spec());
        capacity.load.share += self.share;
        capacity.load.total_return += self.task_return;
    }

    /// Takes back what `occupy` did.
    pub(super) fn vacate(&self, capacity: &mut FreeCapacity) {
        capacity.release(self.job.spec());
        capacity.load.share -= self.share;
        capacity.load.total_return -= self.task_return;
    }
}
