//! The search of one plan: finds machines for the tasks of one job after another in the free capacity that is left.

use std::collections::{BinaryHeap, HashMap};
use std::rc::Rc;
use std::time::Instant;

use super::available::{contended_on_demand_kinds, reclaimable_capacities, with_reservation};
use super::candidate::Candidate;
use super::demand::Demand;
use super::queue::QueuedJob;
use super::unfit::UnfitRequest;
use crate::jobs::JobSpec;
use crate::machine_kinds::Catalog;
use crate::scheduling::backfill::Backfill;
use crate::scheduling::capacity::{
    AMOUNT_TOLERANCE, CapacityContext, FreeCapacity, JobZones, is_schedulable, is_schedulable_while_draining,
    suspect_timeout,
};
use crate::scheduling::cluster::{ClusterState, MachineId};
use crate::scheduling::failure_attribution::FailureAttribution;
use crate::scheduling::fairness::floor::Rank;
use crate::scheduling::intents::{self, Intents};

/// A task of a job, and the machine on which it is placed.
pub struct PlacedTask {
    /// The index of the task within its job.
    pub index: u32,
    /// The id of the machine.
    pub machine: MachineId,
}

/// A task of a job, and the index of the machine picked for it.
pub(super) struct PickedTask {
    /// The index of the task within its job.
    pub(super) index: u32,
    /// Index of the machine among the capacities of the plan.
    pub(super) capacity: usize,
}

/// Capacity of one machine that a plan reserves for tasks of a gang.
pub(super) struct GangReservation<'a> {
    /// Index of the machine among the capacities of the plan.
    pub(super) index: usize,
    /// How many tasks the capacity is for.
    pub(super) tasks: u64,
    /// The gang's description, with the request of each task.
    pub(super) spec: &'a JobSpec,
}

/// One plan: the free capacity that is left, and what jobs before have found or not found in it.
pub struct Plan<'a> {
    /// The cluster state that the plan is made for.
    pub(super) cluster: &'a ClusterState,
    /// Which jobs and tasks are faulty, and on which machines they failed.
    pub(super) attribution: &'a FailureAttribution,
    /// Constraints declared by operators.
    pub(super) intents: &'a Intents,
    /// The machine kinds that machines of the cluster have.
    pub(super) context: CapacityContext<'a>,
    /// The free capacity of each schedulable machine.
    pub(super) capacities: Vec<FreeCapacity<'a>>,
    /// Requests that did not fit in this plan.
    pub(super) unfit: Vec<UnfitRequest<'a>>,
    /// Requests that fit nowhere even if no capacity is denied to them.
    pub(super) unfit_anywhere: Vec<UnfitRequest<'a>>,
    /// Capacity that was taken out of the plan for gangs.
    pub(super) gang_reservations: Vec<GangReservation<'a>>,
    /// Requests of work more urgent than idle work that found no capacity.
    pub(super) unplaced_requests: Rc<Backfill>,
    /// Capacity on machines without accelerators that can be reclaimed from idle work, less what was promised to jobs
    /// of this plan.
    pub(super) reclaimable_capacities: Vec<FreeCapacity<'a>>,
    /// For each machine kind, whether work that may not use spot machines waits for it.
    pub(super) on_demand_contention: Rc<[bool]>,
    /// The time of the plan.
    pub(super) now: Instant,
    /// Zones in which capacity was kept for a gang: for one gang each, because that capacity stands idle. An empty name
    /// stands for all zones.
    pub(super) gang_reserved_zones: Vec<&'a str>,
    /// How often a machine was examined, which measures the work of the plan.
    pub machines_examined: u64,
}

impl<'a> Plan<'a> {
    /// Creates a plan for the queued jobs, before anything is placed.
    pub fn new(cluster: &'a ClusterState, catalog: &'a Catalog, queued_jobs: &[QueuedJob], now: Instant) -> Self {
        let context = CapacityContext::new(cluster, catalog);
        let suspect_timeout = suspect_timeout(cluster);
        let min_cpus = queued_jobs.iter().map(|t| t.job.spec().cpus).fold(f64::INFINITY, f64::min);
        let capacities = cluster
            .machines
            .values()
            .filter(|m| {
                is_schedulable(m, suspect_timeout, now) || is_schedulable_while_draining(m, suspect_timeout, now)
            })
            .filter_map(|m| context.capacity(m))
            .filter(|r| r.cpus + AMOUNT_TOLERANCE >= min_cpus)
            .map(|r| with_reservation(cluster, r, now))
            .collect();
        let reclaimable_capacities = reclaimable_capacities(cluster, &context, suspect_timeout, now);
        let on_demand_contention = contended_on_demand_kinds(&context, queued_jobs);
        Self {
            cluster,
            attribution: &cluster.attribution,
            intents: &cluster.intents,
            reclaimable_capacities,
            on_demand_contention,
            context,
            capacities,
            unfit: Vec::new(),
            unfit_anywhere: Vec::new(),
            gang_reservations: Vec::new(),
            unplaced_requests: Rc::default(),
            now,
            gang_reserved_zones: Vec::new(),
            machines_examined: 0,
        }
    }

    /// Places up to `max_tasks` tasks, each on the best machine, and returns them. `only`: the zone to use, if
    /// restricted.
    pub(super) fn place_greedily(
        &mut self,
        demand: &Demand<'a>,
        zones: &mut JobZones<'a>,
        max_tasks: usize,
        only: Option<&str>,
    ) -> Vec<PickedTask> {
        let context = &self.context;
        let in_zone = |capacity: &FreeCapacity| only.is_none_or(|z| z == context.zone(capacity.kind));
        self.machines_examined += self.capacities.len() as u64;
        let mut heap: BinaryHeap<Candidate> = self
            .capacities
            .iter()
            .enumerate()
            .filter(|(_, capacity)| in_zone(capacity))
            .filter_map(|(index, capacity)| demand.candidate(index, capacity))
            .collect();
        let mut picks = Vec::new();
        for index in demand.startable().take(max_tasks) {
            let Some(best) = self.pop_allowed(&mut heap, demand, zones) else { break };
            self.machines_examined += 1;
            demand.occupy(&mut self.capacities[best]);
            zones.add_task(self.context.zone(self.capacities[best].kind));
            picks.push(PickedTask { index, capacity: best });
            heap.extend(demand.candidate(best, &self.capacities[best]));
        }
        picks
    }

    /// Removes the best candidate in a zone that the job may still use and returns its index. If the best one is in a
    /// zone that the job may no longer use, all candidates in such zones are dropped in one pass.
    fn pop_allowed(
        &self,
        heap: &mut BinaryHeap<Candidate>,
        demand: &Demand<'a>,
        zones: &JobZones<'a>,
    ) -> Option<usize> {
        let best = heap.pop()?.index;
        if zones.allows(self.context.zone(self.capacities[best].kind)) {
            return Some(best);
        }
        let allowed_kinds = self.context.allowed_kinds(demand.job.spec(), zones);
        heap.retain(|candidate| allowed_kinds.get(self.capacities[candidate.index].kind) == Some(&true));
        heap.pop().map(|candidate| candidate.index)
    }

    /// Places as many tasks of one job as fit, up to `max_tasks`; all or none of a gang. `keep`: if a gang does not
    /// fit, what there is of the capacity it needs is kept from the jobs after it.
    pub fn place_job(
        &mut self,
        queued: &QueuedJob<'a>,
        zones: &mut JobZones<'a>,
        max_tasks: usize,
        keep: bool,
    ) -> Vec<PlacedTask> {
        let (job, spec) = (queued.job, queued.job.spec());
        let tasks = if spec.is_gang() { job.waiting.len() } else { 1 };
        let waiting = self.intents.placeable_tasks(queued.id, job);
        let keep = keep && spec.is_gang();
        let demand = self.build_demand(queued, zones, waiting);
        if !keep && self.is_known_unfit(&demand, tasks) {
            self.record_unplaced(spec, &demand.allowed_kinds, queued.quarantined);
            return Vec::new();
        }
        let picks = if spec.is_gang() {
            self.place_gang(&demand, zones)
        } else {
            self.place_greedily(&demand, zones, max_tasks, None)
        };
        let has_unplaced = if spec.is_gang() { picks.is_empty() } else { picks.len() < max_tasks.min(waiting) };
        if has_unplaced {
            self.record_unplaced(spec, &demand.allowed_kinds, queued.quarantined);
        }
        if has_unplaced && keep {
            self.reserve_capacity_for_gang(&demand);
        }
        if has_unplaced {
            self.record_unfit(&demand, zones, tasks, picks.len() < max_tasks.min(demand.startable().count()));
        }
        let capacities = &self.capacities;
        let placed = |pick: PickedTask| {
            Some(PlacedTask { index: pick.index, machine: capacities[pick.capacity].machine?.id.clone() })
        };
        picks.into_iter().filter_map(placed).collect()
    }

    /// Records that a job does not fit. `out_of_capacity`: more of its tasks could start than found a machine.
    fn record_unfit(&mut self, demand: &Demand<'a>, zones: &JobZones<'a>, tasks: usize, out_of_capacity: bool) {
        let (job, spec) = (demand.job, demand.job.spec());
        // A spread gang may have been refused capacity that other jobs may use.
        if spec.is_gang() && spec.spread {
            return;
        }
        // In zones that the job may not use because of its own tasks, capacity may be left for others. Only for the
        // kinds that it may still use is it known that no capacity is left.
        let closes_zones = zones.restricts_zones() && !spec.is_gang();
        if closes_zones && !out_of_capacity {
            return;
        }
        let allowed_kinds =
            if closes_zones { self.context.allowed_kinds(spec, zones) } else { demand.allowed_kinds.clone() };
        let needs_accelerated = demand.needs_accelerated;
        self.unfit.push(UnfitRequest {
            spec,
            run_time: job.agreement.run_time,
            tasks,
            allowed_kinds,
            needs_accelerated,
        });
    }

    /// Builds the demand of a job of which `waiting` tasks wait.
    fn build_demand(&mut self, queued: &QueuedJob<'a>, zones: &JobZones<'a>, waiting: usize) -> Demand<'a> {
        let spec = queued.job.spec();
        let allowed_kinds = self.context.allowed_kinds(spec, zones);
        // A large idle job that begins with its first task has a better rank: it needs one place only, wherever that
        // is, so the rules of backfill do not apply to it.
        let backfill = (spec.is_idle() && queued.rank == Rank::Idle).then(|| self.unplaced_requests.clone());
        let overdue = self.cluster.passed_over.is_overdue(queued.id, self.now);
        let mut demand = Demand::new(
            queued,
            self.attribution,
            backfill,
            allowed_kinds,
            self.on_demand_contention.clone(),
            overdue,
            self.now,
        );
        demand.needs_accelerated = self.context.idle_work_needs_accelerated_machine(spec);
        demand.held_back_tasks.extend(self.intents.stopped_replicas(queued.id));
        demand.avoids_gpu_waste =
            !spec.is_idle() && !overdue && self.reclaim_from_idle(spec, &demand.allowed_kinds, waiting as u64);
        if queued.prioritized {
            demand.overridden_reservations =
                intents::jobs_with_reservations(self.cluster, |other, ahead| !ahead && other <= spec.urgency);
        } else if demand.urgent {
            demand.prioritized_reservations =
                intents::jobs_with_reservations(self.cluster, |other, ahead| ahead && other >= spec.urgency);
        }
        demand
    }

    /// Whether a job that asks for no more did not fit in this plan, and no machine is reserved for this job.
    fn is_known_unfit(&self, demand: &Demand<'a>, tasks: usize) -> bool {
        let is_reserved_for_job = |capacity: &FreeCapacity| {
            capacity
                .reservation
                .is_some_and(|r| r.job == *demand.id || demand.overridden_reservations.contains(&&r.job))
        };
        !demand.urgent
            && !demand.overdue
            && self.unfit.iter().any(|unfit| {
                // What was denied to work that fits other machines may be allowed to work that does not.
                unfit.needs_accelerated >= demand.needs_accelerated
                    && unfit.covers(demand.job, tasks, &demand.allowed_kinds)
            })
            && !self.capacities.iter().any(is_reserved_for_job)
    }

    /// Returns how many tasks of a gang fit in each zone that it may use, by zone. A gang that may span zones gets one
    /// entry, with an empty name, for all zones together.
    pub(super) fn fitting_tasks_by_zone(&self, demand: &Demand<'a>) -> Vec<(&'a str, u64)> {
        let spec = demand.job.spec();
        let tasks_needed = demand.job.waiting.len() as u64;
        let mut fitting_tasks: HashMap<&str, u64> = HashMap::new();
        let avoids_waste = |r: &FreeCapacity| !demand.avoids_gpu_waste || r.gpu_waste(spec) <= 1;
        for capacity in self.capacities.iter().filter(|r| demand.may_use(r) && avoids_waste(r)) {
            let zone = if spec.same_zone { self.context.zone(capacity.kind) } else { "" };
            *fitting_tasks.entry(zone).or_default() += capacity.fitting_tasks(spec, tasks_needed);
        }
        fitting_tasks.into_iter().collect()
    }

    /// Places all tasks of a gang or none. A gang that must run in one zone is tried zone by zone, because a greedy
    /// start may pick a zone that is too small.
    pub(super) fn place_gang(&mut self, demand: &Demand<'a>, zones: &mut JobZones<'a>) -> Vec<PickedTask> {
        let spec = demand.job.spec();
        let tasks_needed = demand.job.waiting.len();
        self.machines_examined += self.capacities.len() as u64;
        let mut sufficient_zones: Vec<&str> = self
            .fitting_tasks_by_zone(demand)
            .into_iter()
            .filter(|(_, n)| *n >= tasks_needed as u64)
            .map(|(z, _)| z)
            .collect();
        sufficient_zones.sort_unstable();
        for zone in sufficient_zones {
            let previous_counts = zones.counts();
            let picks = self.place_greedily(demand, zones, tasks_needed, Some(zone).filter(|_| spec.same_zone));
            if picks.len() == tasks_needed {
                return picks;
            }
            for pick in &picks {
                demand.vacate(&mut self.capacities[pick.capacity]);
            }
            zones.set_counts(previous_counts);
        }
        Vec::new()
    }
}
