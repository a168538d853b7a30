//! Machines for the tries of quarantined jobs, which have failed everywhere so far. A job without room for a try would
//! otherwise wait forever: each of its tries needs a machine, and its earlier ones are returned as surplus.
//!
//! What these machines can cost is bounded. A job gets machines for one try, and the pauses between these times grow up
//! to an hour (`scheduling::failure_attribution`). Jobs share the machines: a try is short, so a machine on which other
//! quarantined jobs are tried counts as free.

use std::collections::BTreeMap;

use super::cheapest_offer::{PricedOffer, find_cheapest_offer};
use super::planner::{ScaleOutPlanner, takes_work};
use crate::jobs::JobSpec;
use crate::machine_kinds::MachineKind;
use crate::scheduling::capacity::{CapacityOffer, FreeCapacity, JobZones};
use crate::scheduling::cluster::Machine;
use crate::scheduling::plan::QueuedJob;

impl<'a> ScaleOutPlanner<'a> {
    /// Plans machines for the next try of the first of these quarantined jobs that needs some and may have them. The
    /// others find them in the next plan.
    pub(super) fn plan_retries(&mut self, quarantined: &[QueuedJob<'a>]) {
        let due = quarantined.iter().filter(|queued| queued.retry_on_new_machine);
        let demand = due.map(|queued| self.plan_retry(queued)).find(|demand| !demand.is_empty()).unwrap_or_default();
        for (kind, count) in demand {
            *self.planned.entry(kind).or_default() += count;
            self.total_machines += count;
        }
    }

    /// Returns the machines that the next try of a quarantined job needs beside the room that there is now.
    fn plan_retry(&self, queued: &QueuedJob<'a>) -> BTreeMap<MachineKind, u64> {
        let spec = queued.job.spec();
        let tasks = queued.tasks_per_retry(&self.cluster.intents);
        let zones = JobZones::new(self.cluster, queued.job);
        if tasks == 0 || !self.quotas.allows(spec, tasks as f64) || !self.fleet_may_grow() {
            return BTreeMap::new();
        }
        let zone_choices = self.zone_choices(spec, &zones);
        let demands = zone_choices.into_iter().map(|zone| self.demand_in_zone(queued, tasks, zone));
        let feasible: Vec<BTreeMap<MachineKind, u64>> = demands.flatten().collect();
        feasible.into_iter().min_by_key(|demand| demand.values().sum::<u64>()).unwrap_or_default()
    }

    /// The zones between which a try has to choose: each zone if its tasks must be in the same one, else all together.
    fn zone_choices(&self, spec: &JobSpec, zones: &JobZones) -> Vec<Option<&'a str>> {
        if !spec.same_zone {
            return vec![None];
        }
        let mut choices: Vec<&str> = self.context.offers.iter().flatten().map(|offer| offer.zone).collect();
        choices.sort_unstable();
        choices.dedup();
        choices.into_iter().filter(|zone| zones.allows(zone)).map(Some).collect()
    }

    /// Returns the machines that a try of `tasks` tasks needs in the zone, or in all zones together; `None` if they
    /// cannot be had. A gang is tried whole. For other jobs one task is enough, so nothing is needed where one has room.
    fn demand_in_zone(
        &self,
        queued: &QueuedJob<'a>,
        tasks: u64,
        only: Option<&str>,
    ) -> Option<BTreeMap<MachineKind, u64>> {
        let spec = queued.job.spec();
        let mut zones = JobZones::new(self.cluster, queued.job);
        let in_zone = |zone: &str| only.is_none_or(|only| only == zone);
        let allowed = self.context.allowed_kinds(spec, &zones);
        let mut capacities = self.capacity_for_retry(queued, &allowed);
        let mut demand = BTreeMap::new();
        for placed in 0..tasks {
            let allows = |zone: &str| in_zone(zone) && zones.allows(zone);
            let room = capacities.iter().position(|c| c.fits(spec) && allows(self.context.zone(c.kind)));
            if room.is_some() && placed == 0 && !spec.is_gang() {
                break;
            }
            let priced = match room {
                Some(_) => None,
                None => self.cheapest_for_retry(queued, tasks - placed, &allowed, allows),
            };
            if let Some(priced) = priced {
                *demand.entry(priced.offer.kind()).or_default() += 1;
                capacities.push(FreeCapacity::empty(priced.offer.machine_type, priced.index));
            }
            let Some(index) = room.or(priced.map(|_| capacities.len() - 1)) else {
                // A gang starts with all of its tasks or not at all.
                return (!spec.is_gang()).then_some(demand);
            };
            capacities[index].allocate(spec);
            zones.add_task(self.context.zone(capacities[index].kind));
        }
        Some(demand)
    }

    /// Returns the capacity that is free now, or will be once a machine has booted or other quarantined jobs were tried,
    /// on machines on which the job has not failed.
    fn capacity_for_retry(&self, queued: &QueuedJob<'a>, allowed: &[bool]) -> Vec<FreeCapacity<'a>> {
        let most_inbound_lost = self.cluster.most_inbound_lost();
        let failed_machines = self.cluster.attribution.failed_machines(queued.id);
        let machines = self.cluster.machines.values();
        let usable = machines.filter(|m| takes_work(m, most_inbound_lost) && !failed_machines.contains(&m.id));
        let mut capacities: Vec<FreeCapacity> =
            usable.filter_map(|m| self.capacity_without_retries(m)).filter(|c| allowed[c.kind]).collect();
        for (index, offer) in self.context.offers.iter().enumerate().filter(|(index, _)| allowed[*index]) {
            let requested = self.kinds[index].as_ref().and_then(|kind| self.requested.get(kind)).copied();
            if let Some(offer) = offer {
                let empty = FreeCapacity::empty(offer.machine_type, index);
                capacities.extend((0..requested.unwrap_or(0)).map(|_| empty));
            }
        }
        capacities
    }

    /// Returns the free capacity of a machine, including what quarantined jobs use of it.
    fn capacity_without_retries(&self, machine: &'a Machine) -> Option<FreeCapacity<'a>> {
        let mut capacity = self.context.capacity(machine)?;
        for task in machine.bound.iter().filter(|task| self.cluster.attribution.is_job_quarantined(&task.job)) {
            if let Some(job) = self.cluster.job(&task.job) {
                capacity.release(job.spec());
            }
        }
        Some(capacity)
    }

    /// Returns the cheapest offer that may be requested now for `count` more tasks of the job.
    fn cheapest_for_retry(
        &self,
        queued: &QueuedJob<'a>,
        count: u64,
        allowed: &[bool],
        allows_zone: impl Fn(&str) -> bool,
    ) -> Option<PricedOffer<'a>> {
        let spec = queued.job.spec();
        let cheapest = find_cheapest_offer(self.context, spec, count, |index, _| allowed[index])?;
        let is_candidate =
            |index: usize, offer: &CapacityOffer| self.is_requestable(allowed, index) && allows_zone(offer.zone);
        let priced = find_cheapest_offer(self.context, spec, count, is_candidate)?;
        self.idle_work_may_have(queued, &priced, cheapest.cost_per_task).then_some(priced)
    }
}
