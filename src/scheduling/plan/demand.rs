//! The demand of one job's tasks: which machines they may use, and how good each machine is for them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::candidate::Candidate;
use super::queue::QueuedJob;
use crate::jobs::JobId;
use crate::scheduling::backfill::{Backfill, IdleJob};
use crate::scheduling::capacity::FreeCapacity;
use crate::scheduling::cluster::{JobState, MachineId};
use crate::scheduling::failure_attribution::FailureAttribution;
use crate::scheduling::fairness::floor::Rank;
use crate::sla;

/// A job with a waiting task that was attempted this often without success gets the machines least likely to be lost.
const ATTEMPTS_UNTIL_RISK_AVERSE: u64 = 2;
/// An idle job with a waiting task that was attempted this often is not placed on draining machines.
const MAX_ATTEMPTS_ON_DRAINING: u64 = 4;
/// A job that must start within this time to meet its hard deadline does not wait for reservations of others.
const URGENT_START_WINDOW: Duration = Duration::from_secs(30);

/// What a task of one job demands, and the rules by which machines are chosen for it.
pub(super) struct Demand<'a> {
    /// The id of the job.
    pub(super) id: &'a JobId,
    /// The state of the job.
    pub(super) job: &'a JobState,
    /// When the task would end if it started now. A machine reserved for another job is open to tasks that end before
    /// the reservation does.
    pub(super) expected_end: Instant,
    /// Whether the job would miss its hard deadline by waiting; reservations of others do not bind it, except those in
    /// `prioritized_reservations`.
    pub(super) urgent: bool,
    /// Whether no reservation of others binds the job, because it is below its floor or a credited large job.
    pub(super) ignores_reservations: bool,
    /// Jobs whose reservations do not bind this job, because it is prioritized over them.
    pub(super) overridden_reservations: Vec<&'a JobId>,
    /// Prioritized jobs whose reservations bind this job even if it is urgent.
    pub(super) prioritized_reservations: Vec<&'a JobId>,
    /// For idle work, the requests that found no capacity in this plan so far, which it must not block.
    pub(super) backfill: Option<Rc<Backfill>>,
    /// Whether the job takes no cores that accelerators will lack, since idle work can be preempted for it on machines
    /// without accelerators.
    pub(super) avoids_gpu_waste: bool,
    /// Whether the job fits only machines with accelerators, and may leave them unused.
    pub(super) needs_accelerated: bool,
    /// How long the job has waited since its submission.
    pub(super) waited: Duration,
    /// Whether the job has been passed over for so long that hardly any capacity is denied to it
    /// (`scheduling::passed_over`).
    pub(super) overdue: bool,
    /// The deadline share of the task (`sla::deadline_share`).
    pub(super) share: f64,
    /// The return of the task if it starts now.
    pub(super) task_return: f64,
    /// Whether the job meets its hard deadline if it starts now.
    pub(super) can_meet_hard_deadline: bool,
    /// Whether the job prefers machines that are unlikely to be lost.
    pub(super) risk_averse: bool,
    /// Machines on which the job has failed.
    pub(super) failed_machines: &'a [MachineId],
    /// Indices of the job's tasks that must not be started yet: faulty ones in their retry pause, and stopped replicas.
    pub(super) held_back_tasks: Vec<u32>,
    /// For each machine kind, by its index in the cluster state, whether the job allows it.
    pub(super) allowed_kinds: Vec<bool>,
    /// For each machine kind, whether work that may not use spot machines waits for it.
    pub(super) on_demand_contention: Rc<[bool]>,
}

impl<'a> Demand<'a> {
    /// Creates the demand of a task of the job whose turn it is.
    pub(super) fn new(
        queued: &QueuedJob<'a>,
        attribution: &'a FailureAttribution,
        backfill: Option<Rc<Backfill>>,
        allowed_kinds: Vec<bool>,
        on_demand_contention: Rc<[bool]>,
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
            needs_accelerated: false,
            waited: age,
            overdue,
            share: sla::deadline_share(agreement.run_time, agreement.deadline.saturating_sub(age), agreement.cores),
            task_return: agreement.task_return(age + agreement.run_time),
            can_meet_hard_deadline: agreement.can_meet_hard_deadline(age),
            // Idle work that writes no checkpoints avoids machines that are likely to be lost, if there are others.
            risk_averse: job.has_waiting_task_with_attempts(ATTEMPTS_UNTIL_RISK_AVERSE)
                || (job.spec().is_idle() && job.spec().checkpoint_s <= 0.0),
            failed_machines: attribution.failed_machines(queued.id),
            held_back_tasks: attribution.held_back_tasks(queued.id, now),
            allowed_kinds,
            on_demand_contention,
        }
    }

    /// Returns the indices of the tasks that may be started now.
    pub(super) fn startable(&self) -> impl Iterator<Item = u32> {
        self.job.waiting.iter().copied().filter(|index| !self.held_back_tasks.contains(index))
    }

    /// Whether the job allows machines of this kind.
    pub(super) fn allows_kind(&self, kind: usize) -> bool {
        self.allowed_kinds.get(kind).copied().unwrap_or(false)
    }

    /// Whether the placement rules allow the job on the machine, regardless of its size.
    pub(super) fn may_use(&self, capacity: &FreeCapacity) -> bool {
        if self.overdue {
            return self.allows_kind(capacity.kind) && self.may_use_when_overdue(capacity);
        }
        self.allows_kind(capacity.kind)
            && match &self.backfill {
                Some(backfill) => {
                    backfill.allows_start(self.idle_job(), capacity)
                        && (!capacity.draining || !self.job.has_waiting_task_with_attempts(MAX_ATTEMPTS_ON_DRAINING))
                }
                None => !capacity.draining,
            }
            && self.passes_reservation(capacity)
    }

    /// The job as idle work.
    fn idle_job(&self) -> IdleJob<'a> {
        IdleJob { spec: self.job.spec(), waited: self.waited, needs_accelerated: self.needs_accelerated }
    }

    /// Whether the rules that remain for an overdue job allow it on the machine: it gets no capacity for which tasks
    /// are being preempted for another job, and idle work that runs elsewhere gets no capacity kept for arrivals.
    pub(super) fn may_use_when_overdue(&self, capacity: &FreeCapacity) -> bool {
        let kept_from_job = capacity.kept_for_arrivals && self.backfill.is_some() && !self.job.bound.is_empty();
        !kept_from_job && (!capacity.preempted || self.passes_reservation(capacity))
    }

    /// Whether the machine's reservation, if there is one, does not bind the job.
    pub(super) fn passes_reservation(&self, capacity: &FreeCapacity) -> bool {
        capacity.reservation.is_none_or(|reservation| {
            ((self.urgent && !self.prioritized_reservations.contains(&&reservation.job))
                || self.ignores_reservations
                || reservation.job == *self.id
                || self.expected_end <= reservation.until)
                || self.overridden_reservations.contains(&&reservation.job)
        })
    }

    /// Returns the machine as a candidate for a task; `None` if the task does not fit or may not use the machine.
    /// `index`: its index among the capacities of the plan.
    pub(super) fn candidate(&self, index: usize, capacity: &FreeCapacity) -> Option<Candidate> {
        let spec = self.job.spec();
        if !capacity.fits(spec) || !self.may_use(capacity) {
            return None;
        }
        if self.avoids_gpu_waste && capacity.gpu_waste(spec) > 1 {
            return None;
        }
        // A job that can meet its hard deadline only has to fit; soft work must be admitted as well.
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
            index,
        })
    }

    /// Counts a task as placed on the machine.
    pub(super) fn occupy(&self, capacity: &mut FreeCapacity) {
        capacity.allocate(self.job.spec());
        capacity.load.share += self.share;
        capacity.load.total_return += self.task_return;
    }

    /// Reverts [`Self::occupy`].
    pub(super) fn vacate(&self, capacity: &mut FreeCapacity) {
        capacity.release(self.job.spec());
        capacity.load.share -= self.share;
        capacity.load.total_return -= self.task_return;
    }
}
