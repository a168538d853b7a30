//! Capacity that a plan keeps free for gangs and for expected arrivals, and capacity that can be reclaimed from idle
//! work.

use std::collections::BTreeMap;
use std::rc::Rc;

use super::demand::Demand;
use super::search::{GangReservation, Plan};
use crate::jobs::JobSpec;
use crate::scheduling::backfill;
use crate::scheduling::capacity::JobZones;
use crate::scheduling::cluster::ClusterState;
use crate::scheduling::intents;

impl<'a> Plan<'a> {
    /// Takes the capacity that a gang could use, in the zone that has most of it, out of this plan.
    pub(super) fn reserve_capacity_for_gang(&mut self, demand: &Demand<'a>) {
        let spec = demand.job.spec();
        let tasks_needed = demand.job.waiting.len() as u64;
        let mut zones = self.fitting_tasks_by_zone(demand);
        zones.sort_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(b.0)));
        let is_unreserved = |zone: &&str| {
            !self.gang_reserved_zones.iter().any(|reserved| reserved.is_empty() || zone.is_empty() || reserved == zone)
        };
        let Some((zone, _)) = zones.iter().find(|(zone, _)| is_unreserved(zone)).copied() else { return };
        self.gang_reserved_zones.push(zone);
        let mut tasks_left = tasks_needed;
        let mut order: Vec<usize> = (0..self.capacities.len()).collect();
        order.sort_by_key(|index| self.capacities[*index].gpu_waste(spec));
        for index in order {
            let capacity = &self.capacities[index];
            let in_zone = zone.is_empty() || self.context.zone(capacity.kind) == zone;
            if tasks_left == 0 || !in_zone || !demand.may_use(capacity) {
                continue;
            }
            let fitting_tasks = capacity.fitting_tasks(spec, tasks_left);
            for _ in 0..fitting_tasks {
                self.capacities[index].allocate(spec);
            }
            self.gang_reservations.push(GangReservation { index, tasks: fitting_tasks, spec });
            tasks_left -= fitting_tasks;
        }
    }

    /// Records that a job found no capacity. The record is shared with the idle jobs placed after it, not copied for
    /// each.
    pub(super) fn record_unplaced(&mut self, spec: &JobSpec, allowed_kinds: &[bool], quarantined: bool) {
        if !spec.is_idle() {
            Rc::make_mut(&mut self.unplaced_requests).record_unplaced(spec, allowed_kinds, quarantined);
        }
    }

    /// Before idle work is placed, keeps capacity free for the jobs expected to arrive in the time that preempting idle
    /// work takes, and for declared capacity that is due.
    pub(super) fn keep_capacity_for_arrivals(&mut self, cluster: &ClusterState) {
        for arrivals in cluster.arrivals.values() {
            let spec = &arrivals.latest.spec;
            let allowed_kinds = self.context.allowed_kinds(spec, &JobZones::without_tasks(spec));
            let boot_s = self.context.longest_boot_s(&allowed_kinds);
            let objectives = &cluster.settings.params.objectives;
            let mut tasks_left =
                backfill::tasks_kept_free_for(spec, arrivals.tasks_per_second(self.now), objectives, boot_s);
            self.keep_capacity_for_tasks(spec, &allowed_kinds, &mut tasks_left);
        }
        for (intent, allowed_kinds) in intents::due_capacity_intents(cluster, &self.context) {
            self.keep_capacity_for_tasks(&intent.task_spec, &allowed_kinds, &mut intent.tasks.clone());
        }
    }

    /// Keeps capacity free for `tasks_left` tasks, and reduces `tasks_left` by the tasks for which there is some.
    pub(super) fn keep_capacity_for_tasks(&mut self, spec: &JobSpec, allowed_kinds: &[bool], tasks_left: &mut u64) {
        for capacity in
            self.capacities.iter_mut().filter(|r| !r.draining && !r.kept_for_arrivals && r.wastes_no_gpus(spec))
        {
            if *tasks_left == 0 {
                break;
            }
            let fitting_tasks = if allowed_kinds.get(capacity.kind) == Some(&true) {
                capacity.fitting_tasks(spec, *tasks_left)
            } else {
                0
            };
            capacity.kept_for_arrivals = fitting_tasks > 0;
            *tasks_left -= fitting_tasks;
        }
    }

    /// Whether the capacity of `tasks_needed` tasks can be reclaimed from idle work on machines without accelerators.
    /// If so, that capacity is no longer counted as reclaimable.
    pub(super) fn reclaim_from_idle(&mut self, spec: &JobSpec, allowed_kinds: &[bool], tasks_needed: u64) -> bool {
        if self.reclaimable_capacities.is_empty() || spec.gpus > 0.0 {
            return false;
        }
        let mut fitting_tasks: BTreeMap<&str, u64> = BTreeMap::new();
        for capacity in self.reclaimable_capacities.iter().filter(|r| allowed_kinds.get(r.kind) == Some(&true)) {
            let zone = if spec.same_zone { self.context.zone(capacity.kind) } else { "" };
            *fitting_tasks.entry(zone).or_default() += capacity.fitting_tasks(spec, tasks_needed);
        }
        let Some(zone) = fitting_tasks.into_iter().find(|(_, n)| *n >= tasks_needed).map(|(zone, _)| zone) else {
            return false;
        };
        let mut tasks_left = tasks_needed;
        for capacity in &mut self.reclaimable_capacities {
            let in_zone = zone.is_empty() || self.context.zone(capacity.kind) == zone;
            if tasks_left == 0 || !in_zone || allowed_kinds.get(capacity.kind) != Some(&true) {
                continue;
            }
            let fitting_tasks = capacity.fitting_tasks(spec, tasks_left);
            capacity.add(-(fitting_tasks as f64) * spec.cpus, 0.0, -(fitting_tasks as f64) * spec.memory_gb);
            tasks_left -= fitting_tasks;
        }
        true
    }
}
