//! The search of one plan: the rooms that are left, and the machines for the tasks of one job after another.

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
    /// The machine.
    pub machine: MachineId,
}

/// The same, with the place of the room among those of the plan.
pub(super) struct PickedTask {
    pub(super) index: u32,
    pub(super) capacity: usize,
}

/// A piece of a room that is kept for tasks of a gang.
pub(super) struct GangReservation<'a> {
    /// The place of the room among those of the plan.
    pub(super) at: usize,
    /// How many tasks it is for.
    pub(super) tasks: u64,
    /// What each of them asks for.
    pub(super) spec: &'a JobSpec,
}

/// One plan: the rooms there are, and how many were looked at, by which its work is bounded.
pub struct Plan<'a> {
    pub(super) cluster: &'a ClusterState,
    pub(super) attribution: &'a FailureAttribution,
    pub(super) intents: &'a Intents,
    pub(super) context: CapacityContext<'a>,
    pub(super) capacities: Vec<FreeCapacity<'a>>,
    pub(super) unfit: Vec<UnfitRequest<'a>>,
    /// What fits nowhere even if nothing is kept from it.
    pub(super) unfit_anywhere: Vec<UnfitRequest<'a>>,
    /// Pieces of rooms that were kept for gangs.
    pub(super) gang_reservations: Vec<GangReservation<'a>>,
    /// What more urgent work than idle found no room for.
    pub(super) unplaced_requests: Rc<Backfill>,
    /// What idle work would give up of machines without accelerators, and is not yet counted with.
    pub(super) reclaimable_capacities: Vec<FreeCapacity<'a>>,
    pub(super) on_demand_contention: Rc<[bool]>,
    pub(super) now: Instant,
    /// Zones in which room was kept for a gang: for one at a time, since what is kept stands idle.
    pub(super) gang_reserved_zones: Vec<&'a str>,
    /// How many rooms were looked at.
    pub machines_examined: u64,
}

impl<'a> Plan<'a> {
    /// A plan for these jobs, before anything is placed.
    pub fn new(cluster: &'a ClusterState, catalog: &'a Catalog, queued_jobs: &[QueuedJob], now: Instant) -> Self {
        let ground = CapacityContext::new(cluster, catalog);
        let suspect = suspect_timeout(cluster);
        let least = queued_jobs.iter().map(|t| t.job.spec().cpus).fold(f64::INFINITY, f64::min);
        let capacities = cluster
            .machines
            .values()
            .filter(|m| is_schedulable(m, suspect, now) || is_schedulable_while_draining(m, suspect, now))
            .filter_map(|m| ground.capacity(m))
            .filter(|r| r.cpus + AMOUNT_TOLERANCE >= least)
            .map(|r| with_reservation(cluster, r, now))
            .collect();
        let giving = reclaimable_capacities(cluster, &ground, suspect, now);
        let sought = contended_on_demand_kinds(&ground, queued_jobs);
        Self {
            cluster,
            attribution: &cluster.attribution,
            intents: &cluster.intents,
            reclaimable_capacities: giving,
            on_demand_contention: sought,
            context: ground,
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

    /// Places up to `most` tasks, the best machine first, and gives them with their rooms.
    pub(super) fn place_greedily(
        &mut self,
        demand: &Demand<'a>,
        zones: &mut JobZones<'a>,
        most: usize,
        only: Option<&str>,
    ) -> Vec<PickedTask> {
        let ground = &self.context;
        let in_zone = |capacity: &FreeCapacity| only.is_none_or(|z| z == ground.zone(capacity.kind));
        self.machines_examined += self.capacities.len() as u64;
        let mut heap: BinaryHeap<Candidate> = self
            .capacities
            .iter()
            .enumerate()
            .filter(|(_, capacity)| in_zone(capacity))
            .filter_map(|(at, capacity)| demand.candidate(at, capacity))
            .collect();
        let mut picks = Vec::new();
        for index in demand.startable().take(most) {
            let Some(best) = self.pop_allowed(&mut heap, demand, zones) else { break };
            self.machines_examined += 1;
            demand.occupy(&mut self.capacities[best]);
            zones.add_task(self.context.zone(self.capacities[best].kind));
            picks.push(PickedTask { index, capacity: best });
            heap.extend(demand.candidate(best, &self.capacities[best]));
        }
        picks
    }

    /// The room of the best candidate in a zone that is still open to the job. Where the best is in a zone that the
    /// job has used up, all candidates in such zones are dropped in one pass.
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
        let open = self.context.allowed_kinds(demand.job.spec(), zones);
        heap.retain(|candidate| open.get(self.capacities[candidate.index].kind) == Some(&true));
        heap.pop().map(|candidate| candidate.index)
    }

    /// Places as many tasks of one job as there is room for; all or none of a gang.
    /// `keep`: what there is of its room, where that is too little, is kept from what comes after it.
    pub fn place_job(
        &mut self,
        queued: &QueuedJob<'a>,
        zones: &mut JobZones<'a>,
        most: usize,
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
            self.place_greedily(&demand, zones, most, None)
        };
        let short = if spec.is_gang() { picks.is_empty() } else { picks.len() < most.min(waiting) };
        if short {
            self.record_unplaced(spec, &demand.allowed_kinds, queued.quarantined);
        }
        if short && keep {
            self.reserve_capacity_for_gang(&demand);
        }
        if short {
            self.record_unfit(&demand, zones, tasks, picks.len() < most.min(demand.startable().count()));
        }
        let capacities = &self.capacities;
        let placed = |pick: PickedTask| {
            Some(PlacedTask { index: pick.index, machine: capacities[pick.capacity].machine?.id.clone() })
        };
        picks.into_iter().filter_map(placed).collect()
    }

    /// Notes that a job found no room. `out_of_room`: it has more tasks that could start than it found places for.
    fn record_unfit(&mut self, demand: &Demand<'a>, zones: &JobZones<'a>, tasks: usize, out_of_room: bool) {
        let (job, spec) = (demand.job, demand.job.spec());
        // A spread gang was refused rooms that others may use.
        if spec.is_gang() && spec.spread {
            return;
        }
        // Rooms in zones that a job's own tasks have closed to it may be free for others: only of the kinds that are
        // still open to it is it known that no room is left.
        let closes_zones = zones.restricts_zones() && !spec.is_gang();
        if closes_zones && !out_of_room {
            return;
        }
        let open = if closes_zones { self.context.allowed_kinds(spec, zones) } else { demand.allowed_kinds.clone() };
        self.unfit.push(UnfitRequest { spec, run_time: job.agreement.run_time, tasks, allowed_kinds: open });
    }

    /// By what the machines are judged for a job of which so many tasks wait.
    fn build_demand(&mut self, queued: &QueuedJob<'a>, zones: &JobZones<'a>, waiting: usize) -> Demand<'a> {
        let spec = queued.job.spec();
        let open = self.context.allowed_kinds(spec, zones);
        // What is to begin needs one place, wherever it is: it is not asked to keep out of the way.
        let backfill = (spec.is_idle() && queued.rank == Rank::Idle).then(|| self.unplaced_requests.clone());
        let overdue = self.cluster.passed_over.is_overdue(queued.id, self.now);
        let mut demand =
            Demand::new(queued, self.attribution, backfill, open, self.on_demand_contention.clone(), overdue, self.now);
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

    /// Whether work that asks for no more has found no room in this plan, and no room is held for this job.
    fn is_known_unfit(&self, demand: &Demand<'a>, tasks: usize) -> bool {
        let is_held = |capacity: &FreeCapacity| {
            capacity
                .reservation
                .is_some_and(|h| h.job == *demand.id || demand.overridden_reservations.contains(&&h.job))
        };
        !demand.urgent
            && !demand.overdue
            && self.unfit.iter().any(|unfit| unfit.covers(demand.job, tasks, &demand.allowed_kinds))
            && !self.capacities.iter().any(is_held)
    }

    /// How many tasks of a gang fit in each zone that it may use, or in all together.
    pub(super) fn fitting_tasks_by_zone(&self, demand: &Demand<'a>) -> Vec<(&'a str, u64)> {
        let spec = demand.job.spec();
        let need = demand.job.waiting.len() as u64;
        let mut units: HashMap<&str, u64> = HashMap::new();
        let apt = |r: &FreeCapacity| !demand.avoids_gpu_waste || r.gpu_waste(spec) <= 1;
        for capacity in self.capacities.iter().filter(|r| demand.may_use(r) && apt(r)) {
            let zone = if spec.same_zone { self.context.zone(capacity.kind) } else { "" };
            *units.entry(zone).or_default() += capacity.fitting_tasks(spec, need);
        }
        units.into_iter().collect()
    }

    /// A gang in one zone is tried zone by zone, since a greedy start may pick a zone too small.
    pub(super) fn place_gang(&mut self, demand: &Demand<'a>, zones: &mut JobZones<'a>) -> Vec<PickedTask> {
        let spec = demand.job.spec();
        let need = demand.job.waiting.len();
        self.machines_examined += self.capacities.len() as u64;
        let mut enough: Vec<&str> =
            self.fitting_tasks_by_zone(demand).into_iter().filter(|(_, n)| *n >= need as u64).map(|(z, _)| z).collect();
        enough.sort_unstable();
        for zone in enough {
            let before = zones.counts();
            let picks = self.place_greedily(demand, zones, need, Some(zone).filter(|_| spec.same_zone));
            if picks.len() == need {
                return picks;
            }
            for pick in &picks {
                demand.vacate(&mut self.capacities[pick.capacity]);
            }
            zones.set_counts(before);
        }
        Vec::new()
    }
}
