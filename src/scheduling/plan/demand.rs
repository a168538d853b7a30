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
const LOST_STARTS: u64 = 2;
/// Idle work that was started so often goes to no machine that is being left.
const MOST_LEFT: u64 = 4;
/// Hard work that must start within this time to be done in time is not kept waiting for reservations.
const URGENT_WITHIN: Duration = Duration::from_secs(30);

/// A task of one job, as machines are judged by it.
pub(super) struct Demand<'a> {
    pub(super) id: &'a JobId,
    pub(super) job: &'a JobState,
    /// When it would be over; what is held for others is open to what ends in time.
    pub(super) over: Instant,
    /// Hard work that would be late for waiting; nothing is held against it.
    pub(super) pressed: bool,
    /// Who goes first is not kept out by what is held for others; who goes ahead not by what is held for these.
    pub(super) first: bool,
    /// Jobs whose reservations do not stand against it.
    pub(super) passes: Vec<&'a JobId>,
    /// Holds for these stand against it even if it is pressed: they go ahead.
    pub(super) ahead: Vec<&'a JobId>,
    /// Idle work, and what others wait for by now.
    pub(super) backfill: Option<Rc<Backfill>>,
    /// Idle work gives way for it on machines as it needs them: it takes no cores that an accelerator
    /// will lack.
    pub(super) apt_only: bool,
    /// Since it came.
    pub(super) waited: Duration,
    /// It has waited beside room for so long that hardly anything is kept from it (`beside`).
    pub(super) overdue: bool,
    pub(super) share: f64,
    pub(super) task_return: f64,
    /// It can be done in time if it starts now.
    pub(super) hard: bool,
    /// It has lost starts enough to want a machine that lasts.
    pub(super) wary: bool,
    /// Machines on which it has failed.
    pub(super) failed_on: &'a [MachineId],
    /// Tasks of it that fail by themselves, and are not to be tried yet.
    pub(super) held_back: Vec<u32>,
    /// Kinds of machines that the job allows, by their places in the cluster state.
    pub(super) open: Vec<bool>,
    /// Kinds for which work waits that may use no cheap machine.
    pub(super) sought: Rc<[bool]>,
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
            over: now + agreement.run_time,
            pressed: agreement.can_meet_hard_deadline(age) && !agreement.can_meet_hard_deadline(age + URGENT_WITHIN),
            first: queued.rank == Rank::BelowFloor || queued.credited,
            passes: Vec::new(),
            ahead: Vec::new(),
            backfill,
            apt_only: false,
            waited: age,
            overdue,
            share: sla::deadline_share(agreement.run_time, agreement.deadline.saturating_sub(age), agreement.cores),
            task_return: agreement.task_return(age + agreement.run_time),
            hard: agreement.can_meet_hard_deadline(age),
            // Nor is what can't save and may wait put where it is likely to be lost, if there is another place.
            wary: job.has_waiting_task_with_attempts(LOST_STARTS)
                || (job.spec().is_idle() && job.spec().checkpoint_s <= 0.0),
            failed_on: attribution.failed_machines(queued.id),
            held_back: attribution.held_back_tasks(queued.id, now),
            open,
            sought,
        }
    }

    /// Indices of the tasks that may be started now.
    pub(super) fn startable(&self) -> impl Iterator<Item = u32> {
        self.job.waiting.iter().copied().filter(|index| !self.held_back.contains(index))
    }

    /// Whether the job allows machines of this kind.
    pub(super) fn is_open(&self, kind: usize) -> bool {
        self.open.get(kind).copied().unwrap_or(false)
    }

    /// Whether the rules leave the room to this work, whatever its size.
    pub(super) fn may_use(&self, capacity: &FreeCapacity) -> bool {
        if self.overdue {
            return self.is_open(capacity.kind) && self.may_use_overdue(capacity);
        }
        self.is_open(capacity.kind)
            && match &self.backfill {
                Some(backfill) => {
                    backfill.allows_start(self.job.spec(), capacity, self.waited)
                        && (!capacity.draining || !self.job.has_waiting_task_with_attempts(MOST_LEFT))
                }
                None => !capacity.draining,
            }
            && self.passes_hold(capacity)
    }

    /// What is left of the rules for work that has waited beside room for too long: not where others are being stopped
    /// for somebody, and idle work that runs elsewhere leaves free what is kept for arrivals.
    pub(super) fn may_use_overdue(&self, capacity: &FreeCapacity) -> bool {
        let for_arrivals = capacity.kept_for_arrivals && self.backfill.is_some() && !self.job.bound.is_empty();
        !for_arrivals && (!capacity.preempted || self.passes_hold(capacity))
    }

    /// Whether what the room is held for, if it is, leaves it to this work.
    pub(super) fn passes_hold(&self, capacity: &FreeCapacity) -> bool {
        capacity.reservation.is_none_or(|reservation| {
            ((self.pressed && !self.ahead.contains(&&reservation.job))
                || self.first
                || reservation.job == *self.id
                || self.over <= reservation.until)
                || self.passes.contains(&&reservation.job)
        })
    }

    /// The room as a place for a task; none if the task does not fit or may not go there.
    pub(super) fn candidate(&self, at: usize, capacity: &FreeCapacity) -> Option<Candidate> {
        let spec = self.job.spec();
        if !capacity.fits(spec) || !self.may_use(capacity) {
            return None;
        }
        if self.apt_only && capacity.gpu_waste(spec) > 1 {
            return None;
        }
        // Fit-now is the whole test for hard work; soft work must also be admitted.
        let new_return = match sla::admit(capacity.load, capacity.machine_type.cpus, self.share, self.task_return) {
            Some(new_return) => new_return,
            None if self.hard || self.overdue => capacity.load.total_return + self.task_return,
            None => return None,
        };
        Some(Candidate {
            failed: capacity.machine.is_some_and(|m| self.failed_on.contains(&m.id)),
            held: capacity.reservation.is_some_and(|reservation| reservation.job != *self.id),
            risk: if self.wary { capacity.loss_risk() } else { 0 },
            sought: spec.spot && self.sought.get(capacity.kind) == Some(&true),
            waste: capacity.gpu_waste(spec),
            has_image: capacity.holds_image(self.job),
            new_return,
            left: capacity.cpus,
            at,
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
